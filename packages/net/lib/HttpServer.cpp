// Each connection has a Session on its own strand. A session waits for a first
// byte within IdleTimeLimit, reads one whole request within ReadTimeLimit,
// calls the handler, writes the response and starts again. Beast's stream
// closes the socket when a time limit expires. A malformed or oversized request
// gets an error response, and the rest of the input is discarded up to
// MaxLingerBytes, because closing a socket with unread input resets the
// connection and the caller would lose the response.
#include "heathersaddle/net/HttpServer.h"
#include "Target.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <poll.h>
#include <set>
#include <vector>

namespace heathersaddle::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// Input bytes discarded after an error response before the connection is
/// closed.
static constexpr std::size_t MaxLingerBytes = 1024UL * 1024;
static constexpr std::size_t ReadChunkBytes = 4096;
/// Pause after a connection could not be accepted. If the process has no free
/// descriptor, the next attempt would fail at once.
static constexpr std::chrono::milliseconds AcceptRetryDelay{100};

namespace {
class Session;
} // namespace

struct ServerCore : std::enable_shared_from_this<ServerCore> {
  ServerCore(asio::io_context &Context, ServerLimits Limits, Handler OnRequest)
      : Context(Context), Acceptor(asio::make_strand(Context)),
        AcceptTimer(Acceptor.get_executor()), Limits(Limits),
        OnRequest(std::move(OnRequest)) {}

  void accept();
  void admit(tcp::socket Socket);
  void removeSession(Session *S);
  void finishDrain();
  /// The sessions that still have owners. The caller must release them without
  /// holding Mutex, since the destructor of a session locks it.
  std::vector<std::shared_ptr<Session>> sessions();

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  ServerLimits Limits;
  Handler OnRequest;
  std::atomic<std::uint64_t> BytesReceived{0};
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> RejectedConnections{0};
  std::atomic<std::uint64_t> AcceptFailures{0};
  std::atomic<bool> Draining{false};

  std::mutex Mutex; ///< Guards the members below.
  std::set<Session *> Sessions;
  std::function<void()> OnDrained;
};

namespace {

Response errorResponse(unsigned Status, std::string_view Code,
                       std::string_view Message,
                       std::string_view Run = "not_run") {
  Response R;
  R.Status = Status;
  R.Body = R"({"error":{"code":")" + std::string(Code) +
           R"(","field":"","message":")" + std::string(Message) +
           R"(","step":"read_request","peer":"","run":")" + std::string(Run) +
           R"("}})";
  return R;
}

/// The response to a request that could not be read; empty if the connection
/// has ended and no response is due.
std::optional<Response> errorResponseFor(const error_code &Ec) {
  if (Ec == http::error::body_limit)
    return errorResponse(413, "too_large", "the body is too large");
  if (Ec == http::error::header_limit || Ec == http::error::buffer_overflow)
    return errorResponse(431, "too_large", "the headers are too large");
  if (Ec == http::error::end_of_stream || Ec == http::error::partial_message ||
      Ec.category() != make_error_code(http::error::bad_method).category())
    return std::nullopt;
  return errorResponse(400, "invalid_argument", "the request is not HTTP/1.1");
}

class Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, std::shared_ptr<ServerCore> Core)
      : Stream(std::move(Socket)),
        Buffer(Core->Limits.MaxHeaderBytes + ReadChunkBytes),
        Core(std::move(Core)) {
    error_code Ec;
    Stream.socket().set_option(tcp::no_delay(true), Ec);
    auto Remote = Stream.socket().remote_endpoint(Ec);
    if (!Ec)
      RemoteAddress =
          Remote.address().to_string() + ":" + std::to_string(Remote.port());
  }
  ~Session() { Core->removeSession(this); }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  void start() {
    asio::dispatch(Stream.get_executor(),
                   [Self = shared_from_this()] { Self->awaitRequest(); });
  }
  /// Closes the connection if no request is in progress on it.
  void closeIfIdle() {
    asio::post(Stream.get_executor(), [Self = shared_from_this()] {
      error_code Ec;
      if (Self->Idle && Self->Stream.socket().available(Ec) == 0)
        Self->close();
    });
  }
  void closeNow() {
    asio::post(Stream.get_executor(),
               [Self = shared_from_this()] { Self->close(); });
  }
  void respond(Response R) {
    asio::post(Stream.get_executor(),
               [Self = shared_from_this(), R = std::move(R)]() mutable {
                 Self->write(std::move(R));
               });
  }

  /// The kernel does not tell whether a caller that has closed its sending side
  /// has also closed the other one.
  bool isCallerConnected() {
    if (!Stream.socket().is_open())
      return false;
    // Unlike a read, POLLRDHUP is also seen behind input that was not read yet.
    pollfd Poll{Stream.socket().native_handle(), POLLRDHUP, 0};
    return poll(&Poll, 1, 0) <= 0;
  }

private:
  void awaitRequest() {
    if (Buffer.size() > 0)
      return readHeader();
    if (Core->Draining)
      return close();
    Idle = true;
    Stream.expires_after(Core->Limits.IdleTimeLimit);
    Stream.async_read_some(
        Buffer.prepare(ReadChunkBytes),
        [Self = shared_from_this()](error_code Ec, std::size_t Bytes) {
          Self->Idle = false;
          if (Ec)
            return Self->close();
          Self->Buffer.commit(Bytes);
          Self->readHeader();
        });
  }

  void readHeader() {
    Parser.emplace();
    Parser->body_limit(Core->Limits.MaxBodyBytes);
    Parser->header_limit(
        static_cast<std::uint32_t>(Core->Limits.MaxHeaderBytes));
    Stream.expires_after(Core->Limits.ReadTimeLimit);
    http::async_read_header(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](error_code Ec, std::size_t Bytes) {
          Self->Core->BytesReceived += Bytes;
          Self->RequestBytes = Bytes;
          if (Ec)
            return Self->handleReadError(Ec);
          if (beast::iequals(Self->Parser->get()[http::field::expect],
                             "100-continue"))
            return Self->writeContinue();
          Self->readBody();
        });
  }

  void writeContinue() {
    static constexpr std::string_view Text = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(
        Stream, asio::buffer(Text),
        [Self = shared_from_this()](error_code Ec, std::size_t Bytes) {
          Self->Core->BytesSent += Bytes;
          if (Ec)
            return Self->close();
          Self->readBody();
        });
  }

  void readBody() {
    http::async_read(
        Stream, Buffer, *Parser,
        [Self = shared_from_this()](error_code Ec, std::size_t Bytes) {
          Self->Core->BytesReceived += Bytes;
          Self->RequestBytes += Bytes;
          if (Ec)
            return Self->handleReadError(Ec);
          Self->handle();
        });
  }

  void handle();

  void handleReadError(error_code Ec) {
    auto Answer = errorResponseFor(Ec);
    if (!Answer)
      return close();
    CloseAfter = Linger = true;
    write(std::move(*Answer));
  }

  void write(Response R) {
    CloseAfter = CloseAfter || Core->Draining;
    Message = {};
    Message.version(11);
    Message.result(R.Status);
    if (!R.ContentType.empty())
      Message.set(http::field::content_type, R.ContentType);
    for (const auto &[Name, Value] : R.Headers)
      Message.set(Name, Value);
    Message.body() = std::move(R.Body);
    Message.keep_alive(!CloseAfter);
    Message.prepare_payload();
    Stream.expires_after(Core->Limits.IdleTimeLimit);
    http::async_write(
        Stream, Message,
        [Self = shared_from_this()](error_code Ec, std::size_t Bytes) {
          Self->Core->BytesSent += Bytes;
          if (Ec)
            return Self->close();
          if (!Self->CloseAfter)
            return Self->awaitRequest();
          Self->finish();
        });
  }

  /// Closes the connection such that the caller still receives the response.
  void finish() {
    error_code Ec;
    Stream.socket().shutdown(tcp::socket::shutdown_send, Ec);
    if (Ec || !Linger)
      return close();
    Stream.expires_after(Core->Limits.ReadTimeLimit);
    discard(0);
  }

  void discard(std::size_t Discarded) {
    Buffer.clear();
    Stream.async_read_some(Buffer.prepare(ReadChunkBytes),
                           [Self = shared_from_this(),
                            Discarded](error_code Ec, std::size_t Bytes) {
                             if (Ec || Discarded + Bytes > MaxLingerBytes)
                               return Self->close();
                             Self->discard(Discarded + Bytes);
                           });
  }

  void close() {
    error_code Ec;
    Stream.socket().shutdown(tcp::socket::shutdown_both, Ec);
    Stream.close();
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  http::response<http::string_body> Message;
  std::string RemoteAddress;
  std::size_t RequestBytes = 0; ///< Received of the current request.
  bool Idle = false;
  bool CloseAfter = false;
  bool Linger = false;
  std::shared_ptr<ServerCore> Core;
};

/// Sends exactly one response: that of the first send(), or 500 if it is
/// destroyed before any.
class Responder {
public:
  explicit Responder(std::shared_ptr<Session> ReplySession)
      : ReplySession(std::move(ReplySession)) {}
  ~Responder() {
    // The handler may have carried it out.
    send(errorResponse(500, "internal", "the request was not answered",
                       "unresolved"));
  }
  Responder(const Responder &) = delete;
  Responder &operator=(const Responder &) = delete;

  void send(Response R) {
    if (!Answered.exchange(true))
      std::exchange(ReplySession, nullptr)->respond(std::move(R));
  }

private:
  std::atomic<bool> Answered{false};
  std::shared_ptr<Session> ReplySession;
};

void Session::handle() {
  auto Message = Parser->release();
  CloseAfter = !Message.keep_alive();
  std::string_view Text(Message.target().data(), Message.target().size());
  auto ParsedTarget = parseTarget(Text);
  if (!ParsedTarget)
    return write(errorResponse(400, "invalid_argument",
                               "the request target is malformed"));
  Request R;
  R.Method = std::string(Message.method_string());
  R.Path = std::move(ParsedTarget->Path);
  R.Query = std::move(ParsedTarget->Query);
  for (const auto &Field : Message) {
    std::string Name(Field.name_string());
    for (char &C : Name)
      C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
    R.Headers[Name] = std::string(Field.value());
  }
  R.Body = std::move(Message.body());
  R.RemoteAddress = RemoteAddress;
  R.WireBytes = RequestBytes;
  R.IsCallerConnected = [Weak = weak_from_this()] {
    auto Self = Weak.lock();
    return Self && Self->isCallerConnected();
  };
  Stream.expires_never();
  auto SharedResponder = std::make_shared<Responder>(shared_from_this());
  Core->OnRequest(std::move(R), [SharedResponder](Response Reply) {
    SharedResponder->send(std::move(Reply));
  });
}

} // namespace

void ServerCore::accept() {
  Acceptor.async_accept(
      asio::make_strand(Context),
      [Self = shared_from_this()](error_code Ec, tcp::socket Socket) {
        if (!Self->Acceptor.is_open())
          return;
        if (!Ec) {
          Self->admit(std::move(Socket));
          return Self->accept();
        }
        ++Self->AcceptFailures;
        Self->AcceptTimer.expires_after(AcceptRetryDelay);
        Self->AcceptTimer.async_wait([Self](error_code) {
          if (Self->Acceptor.is_open())
            Self->accept();
        });
      });
}

void ServerCore::admit(tcp::socket Socket) {
  std::unique_lock Lock(Mutex);
  if (Sessions.size() >= Limits.MaxConnections) {
    ++RejectedConnections;
    static constexpr std::string_view Busy =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n";
    error_code Ec;
    Socket.non_blocking(true, Ec);
    Socket.write_some(asio::buffer(Busy), Ec);
    Socket.shutdown(tcp::socket::shutdown_send, Ec);
    return;
  }
  auto S = std::make_shared<Session>(std::move(Socket), shared_from_this());
  Sessions.insert(S.get());
  Lock.unlock();
  S->start();
}

void ServerCore::removeSession(Session *S) {
  {
    std::lock_guard Lock(Mutex);
    Sessions.erase(S);
  }
  finishDrain();
}

std::vector<std::shared_ptr<Session>> ServerCore::sessions() {
  std::vector<std::shared_ptr<Session>> All;
  std::lock_guard Lock(Mutex);
  for (Session *S : Sessions)
    if (auto Owned = S->weak_from_this().lock())
      All.push_back(std::move(Owned));
  return All;
}

void ServerCore::finishDrain() {
  std::function<void()> Done;
  {
    std::lock_guard Lock(Mutex);
    if (Draining && Sessions.empty())
      Done = std::exchange(OnDrained, nullptr);
  }
  if (Done)
    asio::post(Context, std::move(Done));
}

HttpServer::HttpServer(asio::io_context &Context, ServerLimits Limits,
                       Handler OnRequest)
    : Core(std::make_shared<ServerCore>(Context, Limits,
                                        std::move(OnRequest))) {}

HttpServer::~HttpServer() {
  Core->Draining = true;
  asio::post(Core->Acceptor.get_executor(), [Core = Core] {
    error_code Ec;
    Core->Acceptor.close(Ec);
  });
  for (const auto &S : Core->sessions())
    S->closeNow();
}

base::Expected<std::uint16_t> HttpServer::listen(std::string_view Address,
                                                 std::uint16_t Port) {
  auto Bound = bind(Address, Port);
  if (Bound)
    accept();
  return Bound;
}

void HttpServer::accept() {
  asio::post(Core->Acceptor.get_executor(), [Core = Core] { Core->accept(); });
}

base::Expected<std::uint16_t> HttpServer::bind(std::string_view Address,
                                               std::uint16_t Port) {
  error_code Ec;
  auto Ip = asio::ip::make_address(std::string(Address), Ec);
  tcp::endpoint LocalEndpoint(Ip, Port);
  if (!Ec)
    Core->Acceptor.open(LocalEndpoint.protocol(), Ec);
  if (!Ec)
    Core->Acceptor.set_option(tcp::acceptor::reuse_address(true), Ec);
  if (!Ec)
    Core->Acceptor.bind(LocalEndpoint, Ec);
  if (!Ec)
    Core->Acceptor.listen(asio::socket_base::max_listen_connections, Ec);
  if (Ec)
    return base::makeError(base::ErrorCode::Unavailable, "listen", Ec.message(),
                           std::string(Address) + ":" + std::to_string(Port));
  return Core->Acceptor.local_endpoint(Ec).port();
}

void HttpServer::drain(std::function<void()> Done) {
  {
    std::lock_guard Lock(Core->Mutex);
    Core->OnDrained = std::move(Done);
  }
  asio::post(Core->Acceptor.get_executor(), [Core = Core] {
    error_code Ec;
    Core->Acceptor.close(Ec);
    Core->Draining = true;
    for (const auto &S : Core->sessions())
      S->closeIfIdle();
    Core->finishDrain();
  });
}

std::uint64_t HttpServer::bytesIn() const { return Core->BytesReceived; }
std::uint64_t HttpServer::bytesOut() const { return Core->BytesSent; }
std::uint64_t HttpServer::rejectedConnections() const {
  return Core->RejectedConnections;
}
std::uint64_t HttpServer::acceptFailures() const {
  return Core->AcceptFailures;
}
std::size_t HttpServer::connections() const {
  std::lock_guard Lock(Core->Mutex);
  return Core->Sessions.size();
}

} // namespace heathersaddle::net
