// All work of a client runs on one strand. Each address has an Endpoint with a
// bounded queue, at most MaxConnections Connections and a circuit breaker. An
// Exchange is one request with its timer. complete() ends it exactly once;
// later events on its Connection have no effect on it. An idle Connection waits
// for its socket to become readable, which means that the server has closed it,
// and is then discarded. If MaxTotalConnections are open, a new Connection
// takes the place of the one that has been idle longest.
//
// A request whose time limit has passed must not reach the server any more, as
// it would be handled for a caller that has given up. After a pause of the
// process the timer of an Exchange may run after its Connection is ready, so
// the time is checked again before a request is written. Bytes that the server
// has not acknowledged by the time limit are discarded with the connection;
// otherwise the kernel would deliver them when the path to the server is back.
#include "heathersaddle/net/HttpClient.h"
#include "CircuitBreaker.h"
#include "ParserInput.h"
#include "Target.h"
#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <sys/ioctl.h>
#include <time.h>

namespace heathersaddle::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::ErrorCode;
using boost::system::error_code;
using Strand = asio::strand<asio::any_io_executor>;

/// TCP keep-alive: the first probe is sent after 11 s without traffic, and
/// there are 3 probes 3 s apart, so an unreachable host is detected after 20 s.
/// No probes are sent while data is unacknowledged, so TCP_USER_TIMEOUT sets a
/// limit of the same length for that.
static constexpr int KeepIdleSeconds = 11;
static constexpr int KeepIntervalSeconds = 3;
static constexpr int KeepProbes = 3;
static constexpr unsigned UnacknowledgedMs = 20'000;

/// A read fills the free part of its buffer, and each takes a turn of the event
/// loop. The first one is large enough for the usual answer of a worker; the
/// buffer grows for a larger response and shrinks after it, since thousands of
/// connections may be open.
static constexpr std::size_t FirstReadBytes = 2'048;
static constexpr std::size_t MinReadBytes = 512;
static constexpr std::size_t MaxReadBytes = 65'536;

namespace {

struct Connection;

struct Exchange {
  Exchange(const Strand &S, ClientRequest Request, HttpClient::Callback Done)
      : Request(std::move(Request)), Done(std::move(Done)), Timer(S) {}

  ClientRequest Request;
  HttpClient::Callback Done; ///< Empty once the exchange is complete.
  asio::steady_timer Timer;
  std::chrono::nanoseconds SendBy{}; ///< By bootTime().
  std::weak_ptr<Connection> AssignedConnection;
  bool Retried = false;
};

struct Endpoint {
  std::string Address;
  HostPort HostAndPort;
  std::deque<std::shared_ptr<Exchange>> Queue;
  std::set<std::shared_ptr<Connection>> Connections;
  CircuitBreaker Breaker;
};

struct Connection {
  Connection(const Strand &S, Endpoint &Remote)
      : Socket(S), Timer(S), Remote(Remote) {}

  tcp::socket Socket;
  asio::steady_timer Timer; ///< Limits the connect time and the idle time.
  Endpoint &Remote;
  beast::flat_buffer Buffer;
  http::request<http::string_body> Message;
  std::optional<http::response_parser<http::string_body>> Parser;
  std::shared_ptr<Exchange> CurrentExchange; ///< Null while idle.
  std::uint64_t IdleNumber = 0; ///< Key in IdleConnections; 0 unless there.
  unsigned RequestCount = 0;
  bool Connected = false;
  bool WriteStarted = false; ///< Of the current request; false while idle.
  bool SocketClosed = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;
using ExchangePtr = std::shared_ptr<Exchange>;

void setKeepAlive(tcp::socket &Socket) {
  int Fd = Socket.native_handle();
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_KEEPALIVE, &One, sizeof One);
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPIDLE, &KeepIdleSeconds, sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPINTVL, &KeepIntervalSeconds, sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_KEEPCNT, &KeepProbes, sizeof(int));
  setsockopt(Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedMs,
             sizeof(unsigned));
}

/// Unlike the steady clock, it also advances while the host is suspended.
std::chrono::nanoseconds bootTime() {
  timespec T{};
  clock_gettime(CLOCK_BOOTTIME, &T);
  return std::chrono::seconds(T.tv_sec) + std::chrono::nanoseconds(T.tv_nsec);
}

/// Lets close() discard the bytes that the other side has not acknowledged, if
/// there are any.
void discardUndelivered(tcp::socket &Socket) {
  int Bytes = 0;
  if (ioctl(Socket.native_handle(), SIOCOUTQ, &Bytes) || !Bytes)
    return;
  error_code Ec;
  Socket.set_option(asio::socket_base::linger(true, 0), Ec);
}

/// Whether bytes of the response to the current request have arrived.
bool hasInput(Connection &C) {
  error_code Ec;
  return (C.Parser && C.Parser->got_some()) || C.Socket.available(Ec) > 0;
}

/// How far the response to the current request has got, for an error message.
std::string responseProgress(Connection &C) {
  error_code Ec;
  std::size_t Unread = C.Socket.available(Ec);
  if (!C.Parser || !C.Parser->got_some())
    return Unread ? "no response in time: " + std::to_string(Unread) +
                        " bytes had arrived and were not read"
                  : "no response in time";
  if (!C.Parser->is_header_done())
    return "no response in time: " + std::to_string(C.Buffer.size()) +
           " bytes of an incomplete header were read, " +
           std::to_string(Unread) + " more had arrived";
  return "no response in time: " +
         std::to_string(C.Parser->get().body().size()) + " of " +
         std::to_string(C.Parser->content_length().value_or(0)) +
         " bytes of the body were read, " + std::to_string(Unread) +
         " more had arrived";
}

/// Whether the response announces another one to the same request.
bool isInterim(const http::response_parser<http::string_body> &Parser) {
  return Parser.is_done() &&
         http::to_status_class(Parser.get().result_int()) ==
             http::status_class::informational &&
         Parser.get().result() != http::status::switching_protocols;
}

ClientResponse toClientResponse(http::response<http::string_body> &&From) {
  ClientResponse R;
  R.Status = From.result_int();
  for (const auto &Field : From) {
    std::string Name(Field.name_string());
    std::transform(Name.begin(), Name.end(), Name.begin(), [](unsigned char C) {
      return static_cast<char>(std::tolower(C));
    });
    R.Headers[Name] = std::string(Field.value());
  }
  R.Body = std::move(From.body());
  return R;
}

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  Impl(const asio::any_io_executor &Executor, ClientLimits Limits)
      : ClientStrand(asio::make_strand(Executor)), Limits(std::move(Limits)),
        Resolver(ClientStrand), Random(std::random_device{}()) {}

  std::chrono::steady_clock::time_point now() const {
    return Limits.Clock ? Limits.Clock() : std::chrono::steady_clock::now();
  }

  void enqueue(const std::string &Address, const ExchangePtr &E);
  void startQueued(Endpoint &Remote);
  /// Completes a request that was not sent within its time limit; returns
  /// whether it is one.
  bool expire(Endpoint &Remote, const ExchangePtr &E);
  void connect(const ConnectionPtr &C);
  void resolve(const ConnectionPtr &C);
  void connectTo(const ConnectionPtr &C, const tcp::endpoint &Destination);
  void sendRequest(const ConnectionPtr &C);
  void readResponse(const ConnectionPtr &C);
  void beginResponse(const ConnectionPtr &C) const;
  void receive(const ConnectionPtr &C);
  void parse(const ConnectionPtr &C);
  /// Called when the server has closed its side of the connection.
  void handleEnd(const ConnectionPtr &C);
  void handleResponse(const ConnectionPtr &C);
  void keepIdle(const ConnectionPtr &C);
  void handleFailure(const ConnectionPtr &C, const error_code &Ec);
  void handleTimeout(Endpoint &Remote, const ExchangePtr &E);
  void abandon(const std::string &Address, const ExchangePtr &E);
  /// Completes the request without a response, and closes its connection.
  void giveUp(Endpoint &Remote, const ExchangePtr &E);
  void closeConnection(const ConnectionPtr &C);
  void makeRoom();
  void removeFromIdle(const ConnectionPtr &C);
  void completeWithError(Endpoint &Remote, const ExchangePtr &E, ErrorCode Code,
                         std::string_view Message);
  static void complete(const ExchangePtr &E,
                       base::Expected<ClientResponse> Result);
  void closeAll();

  Strand ClientStrand;
  ClientLimits Limits;
  tcp::resolver Resolver;
  std::minstd_rand Random; ///< For the breakers' jitter.
  std::map<std::string, Endpoint> Endpoints;
  bool Closed = false;
  std::size_t TotalConnections = 0; ///< To all addresses.
  /// Of all addresses, the one that has been idle longest first.
  std::map<std::uint64_t, ConnectionPtr> IdleConnections;
  std::uint64_t LatestIdleNumber = 0;
  std::atomic<std::uint64_t> BytesReceived{0};
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> RequestsQueued{0};
  std::atomic<std::uint64_t> QueueTimeouts{0};
  std::atomic<std::uint64_t> QueueFullRejections{0};
  std::atomic<std::uint64_t> BreakerRejections{0};
  std::atomic<std::uint64_t> IdleConnectionsClosed{0};
  std::atomic<std::uint64_t> ConnectionsAboveLimit{0};
  std::atomic<std::uint64_t> ResponseTimeouts{0};
  std::atomic<std::uint64_t> UnreadResponses{0};
};

void HttpClient::Impl::complete(const ExchangePtr &E,
                                base::Expected<ClientResponse> Result) {
  if (!E->Done)
    return;
  E->Timer.cancel();
  auto Done = std::exchange(E->Done, nullptr);
  Done(std::move(Result));
}

void HttpClient::Impl::completeWithError(Endpoint &Remote, const ExchangePtr &E,
                                         ErrorCode Code,
                                         std::string_view Message) {
  complete(E, base::makeError(Code, "request", Message, Remote.Address));
}

void HttpClient::Impl::enqueue(const std::string &Address,
                               const ExchangePtr &E) {
  auto HostAndPort = parseHostPort(Address);
  if (!HostAndPort)
    return complete(E,
                    base::makeError(ErrorCode::Unavailable, "request",
                                    "the address is not HOST:PORT", Address));
  Endpoint &Remote = Endpoints[Address];
  Remote.Address = Address;
  Remote.HostAndPort = *HostAndPort;
  if (Closed)
    return completeWithError(Remote, E, ErrorCode::Unavailable,
                             "the client is closed");
  if (Remote.Queue.size() >= Limits.MaxQueuedRequests) {
    ++QueueFullRejections;
    return completeWithError(Remote, E, ErrorCode::Unavailable,
                             "too many requests are queued");
  }
  if (!Remote.Breaker.allow(now())) {
    ++BreakerRejections;
    return completeWithError(Remote, E, ErrorCode::Unavailable,
                             "the circuit breaker is open");
  }
  E->SendBy = bootTime() + E->Request.TimeLimit;
  E->Timer.expires_after(E->Request.TimeLimit);
  E->Timer.async_wait([Self = shared_from_this(), &Remote, E](error_code Ec) {
    if (!Ec && E->Done)
      Self->handleTimeout(Remote, E);
  });
  Remote.Queue.push_back(E);
  startQueued(Remote);
  if (!Remote.Queue.empty()) // E is the last.
    ++RequestsQueued;
}

bool HttpClient::Impl::expire(Endpoint &Remote, const ExchangePtr &E) {
  // A request that is repeated may have been delivered; its timer ends it.
  if (bootTime() < E->SendBy || E->Retried)
    return false;
  Remote.Breaker.abandoned();
  ++QueueTimeouts;
  completeWithError(Remote, E, ErrorCode::Unavailable,
                    "no connection was free in time");
  return true;
}

void HttpClient::Impl::startQueued(Endpoint &Remote) {
  while (!Remote.Queue.empty() && !Closed) {
    if (ExchangePtr First = Remote.Queue.front(); expire(Remote, First)) {
      Remote.Queue.pop_front();
      continue;
    }
    auto Idle = std::find_if(
        Remote.Connections.begin(), Remote.Connections.end(),
        [](const ConnectionPtr &C) { return !C->CurrentExchange; });
    if (Idle != Remote.Connections.end()) {
      const ConnectionPtr &C = *Idle;
      C->CurrentExchange = Remote.Queue.front();
      Remote.Queue.pop_front();
      sendRequest(C);
      continue;
    }
    if (Remote.Connections.size() >= Limits.MaxConnections)
      return;
    makeRoom();
    auto C = std::make_shared<Connection>(ClientStrand, Remote);
    C->CurrentExchange = Remote.Queue.front();
    Remote.Queue.pop_front();
    Remote.Connections.insert(C);
    ++TotalConnections;
    connect(C);
  }
}

/// Load pattern: calls to hundreds of addresses in turn, each with copies, so
/// that the idle connections alone would use up the descriptors of the process.
void HttpClient::Impl::makeRoom() {
  while (TotalConnections >= Limits.MaxTotalConnections &&
         !IdleConnections.empty()) {
    ConnectionPtr LongestIdle = IdleConnections.begin()->second;
    closeConnection(LongestIdle);
    ++IdleConnectionsClosed;
  }
  if (TotalConnections >= Limits.MaxTotalConnections)
    ++ConnectionsAboveLimit;
}

void HttpClient::Impl::removeFromIdle(const ConnectionPtr &C) {
  if (auto Number = std::exchange(C->IdleNumber, 0))
    IdleConnections.erase(Number);
}

void HttpClient::Impl::connect(const ConnectionPtr &C) {
  C->CurrentExchange->AssignedConnection = C;
  C->Timer.expires_after(Limits.ConnectTimeLimit);
  C->Timer.async_wait([Self = shared_from_this(), C](error_code Ec) {
    if (!Ec && !C->Connected && !C->SocketClosed)
      Self->handleFailure(C, asio::error::timed_out);
  });
  error_code Ec;
  auto Ip = asio::ip::make_address(C->Remote.HostAndPort.Host, Ec);
  if (Ec)
    return resolve(C);
  connectTo(C, tcp::endpoint(Ip, C->Remote.HostAndPort.Port));
}

void HttpClient::Impl::resolve(const ConnectionPtr &C) {
  Resolver.async_resolve(
      C->Remote.HostAndPort.Host, std::to_string(C->Remote.HostAndPort.Port),
      [Self = shared_from_this(), C](error_code Ec, const auto &Found) {
        if (C->SocketClosed)
          return;
        if (Ec || Found.empty())
          return Self->handleFailure(C, Ec ? Ec : asio::error::host_not_found);
        Self->connectTo(C, Found.begin()->endpoint());
      });
}

void HttpClient::Impl::connectTo(const ConnectionPtr &C,
                                 const tcp::endpoint &Destination) {
  C->Socket.async_connect(Destination,
                          [Self = shared_from_this(), C](error_code Ec) {
                            if (C->SocketClosed)
                              return;
                            if (Ec)
                              return Self->handleFailure(C, Ec);
                            C->Connected = true;
                            C->Timer.cancel();
                            C->Socket.set_option(tcp::no_delay(true), Ec);
                            if (Self->Limits.TcpKeepAlive)
                              setKeepAlive(C->Socket);
                            Endpoint &Remote = C->Remote;
                            if (!Self->expire(Remote, C->CurrentExchange))
                              return Self->sendRequest(C);
                            C->CurrentExchange = nullptr;
                            Self->keepIdle(C);
                            Self->startQueued(Remote);
                          });
}

void HttpClient::Impl::sendRequest(const ConnectionPtr &C) {
  ClientRequest &R = C->CurrentExchange->Request;
  C->CurrentExchange->AssignedConnection = C;
  removeFromIdle(C);
  ++C->RequestCount;
  C->WriteStarted = true;
  C->Parser.reset();
  error_code Ec;
  C->Timer.cancel();
  C->Socket.cancel(Ec); // Ends the wait of keepIdle().
  C->Message = {};
  C->Message.version(11);
  C->Message.method_string(R.Method);
  C->Message.target(R.Target);
  C->Message.set(http::field::host, C->Remote.Address);
  if (!R.Body.empty() && !R.ContentType.empty())
    C->Message.set(http::field::content_type, R.ContentType);
  for (const auto &[Name, Value] : R.Headers)
    C->Message.set(Name, Value);
  C->Message.body() = R.Body;
  C->Message.prepare_payload();
  http::async_write(
      C->Socket, C->Message,
      [Self = shared_from_this(), C](error_code Ec, std::size_t Bytes) {
        Self->BytesSent += Bytes;
        if (C->SocketClosed)
          return;
        if (Ec)
          return Self->handleFailure(C, Ec);
        Self->readResponse(C);
      });
}

void HttpClient::Impl::readResponse(const ConnectionPtr &C) {
  beginResponse(C);
  C->Buffer.reserve(FirstReadBytes);
  receive(C);
}

void HttpClient::Impl::beginResponse(const ConnectionPtr &C) const {
  C->Parser.emplace();
  C->Parser->body_limit(Limits.MaxResponseBytes);
  // Only what is incomplete is compared with this limit, so that a lower one
  // than that of the buffer would depend on the pieces that arrive.
  C->Parser->header_limit(MaxReadBytes);
  if (C->Message.method() == http::verb::head)
    C->Parser->skip(true);
}

void HttpClient::Impl::receive(const ConnectionPtr &C) {
  std::size_t Free = C->Buffer.capacity() - C->Buffer.size();
  C->Socket.async_read_some(
      C->Buffer.prepare(std::clamp(Free, MinReadBytes, MaxReadBytes)),
      [Self = shared_from_this(), C](error_code Ec, std::size_t Bytes) {
        Self->BytesReceived += Bytes;
        if (C->SocketClosed)
          return;
        if (Ec == asio::error::eof)
          return Self->handleEnd(C);
        if (Ec)
          return Self->handleFailure(C, Ec);
        C->Buffer.commit(Bytes);
        Self->parse(C);
      });
}

void HttpClient::Impl::parse(const ConnectionPtr &C) {
  error_code Ec;
  parseAvailable(*C->Parser, C->Buffer, Ec);
  while (!Ec && isInterim(*C->Parser)) {
    beginResponse(C);
    parseAvailable(*C->Parser, C->Buffer, Ec);
  }
  if (Ec)
    return handleFailure(C, Ec);
  if (C->Parser->is_done())
    return handleResponse(C);
  // Only a header, or that of a chunk, can't be parsed in parts.
  if (C->Buffer.size() >= MaxReadBytes)
    return handleFailure(C, http::error::buffer_overflow);
  if (C->Parser->is_header_done()) {
    // The rest, if its length is known; otherwise twice as much as now.
    std::uint64_t Rest = C->Parser->content_length_remaining().value_or(
        2 * C->Buffer.capacity());
    C->Buffer.reserve(
        static_cast<std::size_t>(std::min<std::uint64_t>(Rest, MaxReadBytes)));
  }
  receive(C);
}

void HttpClient::Impl::handleEnd(const ConnectionPtr &C) {
  if (!C->Parser->got_some())
    return handleFailure(C, http::error::end_of_stream);
  // A response without a length ends with the connection.
  error_code Ec;
  C->Parser->put_eof(Ec);
  if (Ec)
    return handleFailure(C, Ec);
  handleResponse(C);
}

void HttpClient::Impl::handleResponse(const ConnectionPtr &C) {
  Endpoint &Remote = C->Remote;
  Remote.Breaker.succeeded();
  bool KeepAlive =
      C->Parser->keep_alive() && C->Buffer.size() == 0 &&
      C->Parser->get().result() != http::status::switching_protocols;
  auto Response = toClientResponse(C->Parser->release());
  ExchangePtr E = std::exchange(C->CurrentExchange, nullptr);
  if (C->Buffer.size() == 0 && C->Buffer.capacity() > FirstReadBytes)
    C->Buffer = {};
  if (KeepAlive)
    keepIdle(C);
  else
    closeConnection(C);
  complete(E, std::move(Response));
  startQueued(Remote);
}

void HttpClient::Impl::keepIdle(const ConnectionPtr &C) {
  C->WriteStarted = false;
  C->IdleNumber = ++LatestIdleNumber;
  IdleConnections[C->IdleNumber] = C;
  C->Timer.expires_after(Limits.IdleTimeLimit);
  C->Timer.async_wait([Self = shared_from_this(), C](error_code Ec) {
    if (!Ec && !C->CurrentExchange && !C->SocketClosed)
      Self->closeConnection(C);
  });
  C->Socket.async_wait(tcp::socket::wait_read,
                       [Self = shared_from_this(), C](error_code Ec) {
                         if (!Ec && !C->CurrentExchange && !C->SocketClosed)
                           Self->closeConnection(C);
                       });
}

void HttpClient::Impl::closeConnection(const ConnectionPtr &C) {
  C->SocketClosed = true;
  error_code Ec;
  C->Timer.cancel();
  C->Socket.close(Ec);
  removeFromIdle(C);
  TotalConnections -= C->Remote.Connections.erase(C);
}

void HttpClient::Impl::handleFailure(const ConnectionPtr &C,
                                     const error_code &Ec) {
  Endpoint &Remote = C->Remote;
  ExchangePtr E = std::exchange(C->CurrentExchange, nullptr);
  bool Stale = C->RequestCount > 1 && !(C->Parser && C->Parser->got_some());
  closeConnection(C);
  if (Stale) {
    // The server has most likely closed the other idle connections as well.
    std::vector<ConnectionPtr> All(Remote.Connections.begin(),
                                   Remote.Connections.end());
    for (const ConnectionPtr &Other : All)
      if (!Other->CurrentExchange)
        closeConnection(Other);
  }
  if (Stale && E->Request.Method == "GET" && !E->Retried && E->Done) {
    E->Retried = true;
    Remote.Queue.push_front(E);
    return startQueued(Remote);
  }
  if (Ec == http::error::body_limit)
    Remote.Breaker.succeeded(); // The server responded.
  else if (Stale)
    Remote.Breaker.abandoned();
  else
    Remote.Breaker.failed(now(), Limits, Random);
  if (Ec == http::error::body_limit)
    completeWithError(Remote, E, ErrorCode::TooLarge,
                      "the response is too large");
  else
    completeWithError(Remote, E,
                      C->WriteStarted ? ErrorCode::Unresolved
                                      : ErrorCode::Unavailable,
                      (C->WriteStarted ? "the connection failed after sending: "
                                       : "no connection: ") +
                          Ec.message());
  startQueued(Remote);
}

void HttpClient::Impl::handleTimeout(Endpoint &Remote, const ExchangePtr &E) {
  bool Waiting = std::find(Remote.Queue.begin(), Remote.Queue.end(), E) !=
                 Remote.Queue.end();
  if (Waiting)
    ++QueueTimeouts;
  else
    Remote.Breaker.failed(now(), Limits, Random);
  ConnectionPtr C = E->AssignedConnection.lock();
  if (!Waiting && C && C->CurrentExchange == E && C->WriteStarted) {
    ++ResponseTimeouts;
    UnreadResponses += hasInput(*C);
  }
  giveUp(Remote, E);
}

void HttpClient::Impl::abandon(const std::string &Address,
                               const ExchangePtr &E) {
  auto Remote = Endpoints.find(Address);
  if (!E->Done || Remote == Endpoints.end())
    return;
  Remote->second.Breaker.abandoned();
  giveUp(Remote->second, E);
}

void HttpClient::Impl::giveUp(Endpoint &Remote, const ExchangePtr &E) {
  auto Waiting = std::find(Remote.Queue.begin(), Remote.Queue.end(), E);
  if (Waiting != Remote.Queue.end()) {
    Remote.Queue.erase(Waiting);
    Remote.Breaker.abandoned();
    return completeWithError(Remote, E, ErrorCode::Unavailable,
                             "no connection was free in time");
  }
  ConnectionPtr C = E->AssignedConnection.lock();
  bool WriteStarted = C && C->WriteStarted;
  std::string Progress = "no response in time";
  if (C && C->CurrentExchange == E) {
    if (WriteStarted)
      Progress = responseProgress(*C);
    C->CurrentExchange = nullptr;
    if (WriteStarted)
      discardUndelivered(C->Socket);
    closeConnection(C);
  }
  completeWithError(Remote, E,
                    WriteStarted ? ErrorCode::Timeout : ErrorCode::Unavailable,
                    WriteStarted ? Progress : "no connection in time");
  startQueued(Remote);
}

void HttpClient::Impl::closeAll() {
  Closed = true;
  for (auto &[Address, Remote] : Endpoints) {
    auto Queue = std::exchange(Remote.Queue, {});
    for (const ExchangePtr &E : Queue)
      completeWithError(Remote, E, ErrorCode::Unavailable,
                        "the client is closed");
    std::vector<ConnectionPtr> All(Remote.Connections.begin(),
                                   Remote.Connections.end());
    for (const ConnectionPtr &C : All) {
      ExchangePtr E = std::exchange(C->CurrentExchange, nullptr);
      closeConnection(C);
      if (E)
        completeWithError(Remote, E,
                          C->WriteStarted ? ErrorCode::Unresolved
                                          : ErrorCode::Unavailable,
                          "the client is closed");
    }
  }
}

HttpClient::HttpClient(const asio::any_io_executor &Executor,
                       ClientLimits Limits)
    : Pimpl(std::make_shared<Impl>(Executor, std::move(Limits))) {}

HttpClient::~HttpClient() {
  asio::post(Pimpl->ClientStrand, [Pimpl = Pimpl] { Pimpl->closeAll(); });
}

std::function<void()> HttpClient::send(std::string_view Address,
                                       ClientRequest Request, Callback Done) {
  auto E = std::make_shared<Exchange>(Pimpl->ClientStrand, std::move(Request),
                                      std::move(Done));
  asio::post(Pimpl->ClientStrand,
             [Pimpl = Pimpl, Address = std::string(Address), E] {
               Pimpl->enqueue(Address, E);
             });
  return [Weak = std::weak_ptr(Pimpl), Address = std::string(Address), E] {
    if (auto Pimpl = Weak.lock())
      asio::post(Pimpl->ClientStrand,
                 [Pimpl, Address, E] { Pimpl->abandon(Address, E); });
  };
}

std::uint64_t HttpClient::bytesIn() const { return Pimpl->BytesReceived; }
std::uint64_t HttpClient::bytesOut() const { return Pimpl->BytesSent; }
ClientCounts HttpClient::counts() const {
  return {.RequestsQueued = Pimpl->RequestsQueued,
          .QueueTimeouts = Pimpl->QueueTimeouts,
          .QueueFullRejections = Pimpl->QueueFullRejections,
          .BreakerRejections = Pimpl->BreakerRejections,
          .IdleConnectionsClosed = Pimpl->IdleConnectionsClosed,
          .ConnectionsAboveLimit = Pimpl->ConnectionsAboveLimit,
          .ResponseTimeouts = Pimpl->ResponseTimeouts,
          .UnreadResponses = Pimpl->UnreadResponses};
}

struct BlockingClient::Impl {
  explicit Impl(ClientLimits Limits) : Client(Context, std::move(Limits)) {}
  asio::io_context Context;
  HttpClient Client;
};

BlockingClient::BlockingClient(ClientLimits Limits)
    : Pimpl(std::make_unique<Impl>(std::move(Limits))) {}
BlockingClient::~BlockingClient() = default;

base::Expected<ClientResponse> BlockingClient::send(std::string_view Address,
                                                    ClientRequest Request) {
  std::optional<base::Expected<ClientResponse>> Result;
  Pimpl->Context.restart();
  Pimpl->Context.poll(); // Discards connections that the server has closed.
  Pimpl->Context.restart();
  Pimpl->Client.send(Address, std::move(Request),
                     [&Result](auto R) { Result = std::move(R); });
  while (!Result && Pimpl->Context.run_one())
    ;
  return *Result;
}

} // namespace heathersaddle::net
