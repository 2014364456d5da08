#ifndef HEATHERSADDLE_NET_HTTPSERVER_H
#define HEATHERSADDLE_NET_HTTPSERVER_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/net/Message.h"
#include <cstdint>
#include <memory>
#include <string_view>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace heathersaddle::net {

struct ServerCore;

/// An HTTP/1.1 server with bounds on everything a caller can send.
///
/// \code
///   Executor Threads(2);
///   HttpServer Server(Threads.context(), {}, [](Request R, Respond Reply) {
///     Reply({.Body = "{}"});
///   });
///   auto Port = Server.listen("127.0.0.1", 0);
/// \endcode
///
/// Faults in the HTTP itself are answered here (400, 413, 431, 503) with the
/// same JSON errors as the API's. The io_context may run on many threads.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Context, ServerLimits Limits,
             Handler OnRequest);
  /// Closes everything at once; see drain() for a graceful stop.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// bind() and accept() in one step.
  base::Expected<std::uint16_t> listen(std::string_view Address,
                                       std::uint16_t Port);
  /// Takes the port, so that callers queue but are not served yet; port 0 takes
  /// a free one. Returns the port.
  base::Expected<std::uint16_t> bind(std::string_view Address,
                                     std::uint16_t Port);
  /// Starts to serve; once, after bind().
  void accept();
  /// Stops accepting, closes idle connections, finishes the requests in
  /// progress, then calls \p Done once on a thread of the io_context.
  void drain(std::function<void()> Done);

  /// Bytes of requests and responses, headers included.
  std::uint64_t bytesIn() const;
  std::uint64_t bytesOut() const;
  std::size_t connections() const;

private:
  std::shared_ptr<ServerCore> Core;
};

} // namespace heathersaddle::net

#endif
