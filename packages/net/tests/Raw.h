#ifndef HEATHERSADDLE_NET_TESTS_RAW_H
#define HEATHERSADDLE_NET_TESTS_RAW_H

#include <arpa/inet.h>
#include <cerrno>
#include <cstdint>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace heathersaddle::net::test {

/// A blocking loopback socket, for input that an HTTP client would not send.
class RawSocket {
public:
  RawSocket() : Fd(socket(AF_INET, SOCK_STREAM, 0)) {}
  explicit RawSocket(int Fd) : Fd(Fd) {}
  ~RawSocket() { close(); }
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;

  void connectTo(std::uint16_t Port) const {
    sockaddr_in A = address(Port);
    if (connect(Fd, reinterpret_cast<sockaddr *>(&A), sizeof A))
      throw std::runtime_error("connect");
  }
  static RawSocket connected(std::uint16_t Port) {
    RawSocket R;
    R.connectTo(Port);
    return RawSocket(std::exchange(R.Fd, -1));
  }
  /// Binds a free port without listening, so that connections are refused.
  std::uint16_t bindFreePort() const {
    sockaddr_in A = address(0);
    socklen_t Size = sizeof A;
    if (bind(Fd, reinterpret_cast<sockaddr *>(&A), Size) ||
        getsockname(Fd, reinterpret_cast<sockaddr *>(&A), &Size))
      throw std::runtime_error("bind");
    return ntohs(A.sin_port);
  }
  void limitReceiveBuffer(int Bytes) const {
    if (setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof Bytes))
      throw std::runtime_error("setsockopt");
  }
  /// Lets each send() arrive by itself and at once.
  void sendInPieces() const {
    int One = 1;
    if (setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One))
      throw std::runtime_error("setsockopt");
  }
  void startListening() const {
    if (listen(Fd, 16))
      throw std::runtime_error("listen");
  }
  int acceptOne() const { return accept(Fd, nullptr, nullptr); }
  void send(const std::string &Text) const {
    std::size_t Done = 0;
    while (Done < Text.size()) {
      ssize_t N =
          ::send(Fd, Text.data() + Done, Text.size() - Done, MSG_NOSIGNAL);
      if (N <= 0)
        return;
      Done += static_cast<std::size_t>(N);
    }
  }
  /// Whether the other side has closed and all input has been read.
  bool isClosedByPeer() const {
    char C;
    ssize_t N = recv(Fd, &C, 1, MSG_PEEK | MSG_DONTWAIT);
    return N == 0 || (N < 0 && errno != EAGAIN);
  }
  void shutdownSend() const { shutdown(Fd, SHUT_WR); }
  /// Reads until the other side closes.
  std::string readAll() const {
    std::string Text;
    char Chunk[4096];
    for (ssize_t N; (N = recv(Fd, Chunk, sizeof Chunk, 0)) > 0;)
      Text.append(Chunk, static_cast<std::size_t>(N));
    return Text;
  }
  /// Reads until \p Delimiter has been received.
  std::string readUntil(const std::string &Delimiter) const {
    std::string Text;
    char C;
    while (Text.find(Delimiter) == std::string::npos && recv(Fd, &C, 1, 0) == 1)
      Text += C;
    return Text;
  }
  void close() {
    if (Fd >= 0)
      ::close(std::exchange(Fd, -1));
  }

private:
  static sockaddr_in address(std::uint16_t Port) {
    sockaddr_in A{};
    A.sin_family = AF_INET;
    A.sin_port = htons(Port);
    A.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return A;
  }
  int Fd;
};

inline std::string loopbackAddress(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

} // namespace heathersaddle::net::test

#endif
