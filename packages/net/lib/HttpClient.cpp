// All of a client runs on one strand. Every address has an Endpoint: a bounded
// queue, at most MaxConnections Links and a circuit breaker. An Exchange is one
// request with its timer; it ends exactly once, by end(), whatever its Link
// does afterwards. A Link without an exchange watches its socket, so that a
// connection the server closes is not used again.
#include "heathersaddle/net/HttpClient.h"
#include "CircuitBreaker.h"
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
#include <netinet/tcp.h>
#include <optional>
#include <set>

namespace heathersaddle::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using base::ErrorCode;
using boost::system::error_code;
using Strand = asio::strand<asio::io_context::executor_type>;

/// TCP keep-alive: first probe after 11 s without traffic, then 3 probes 3 s
/// apart: a vanished host is noticed after 20 s. Unacknowledged data is not
/// probed, so it has a limit of the same length.
static constexpr int KeepIdleSeconds = 11;
static constexpr int KeepIntervalSeconds = 3;
static constexpr int KeepProbes = 3;
static constexpr unsigned UnacknowledgedMs = 20'000;

namespace {

struct Link;

struct Exchange {
  Exchange(const Strand &S, ClientRequest Request, HttpClient::Callback Done)
      : Request(std::move(Request)), Done(std::move(Done)), Timer(S) {}

  ClientRequest Request;
  HttpClient::Callback Done; ///< Empty once the exchange has ended.
  asio::steady_timer Timer;
  std::weak_ptr<Link> On;
  bool Retried = false;
};

struct Endpoint {
  std::string Address;
  HostPort Where;
  std::deque<std::shared_ptr<Exchange>> Queue;
  std::set<std::shared_ptr<Link>> Links;
  CircuitBreaker Breaker;
};

struct Link {
  Link(const Strand &S, Endpoint &Owner) : Socket(S), Timer(S), Owner(Owner) {}

  tcp::socket Socket;
  asio::steady_timer Timer; ///< Limits connecting and being idle.
  Endpoint &Owner;
  beast::flat_buffer Buffer;
  http::request<http::string_body> Message;
  std::optional<http::response_parser<http::string_body>> Parser;
  std::shared_ptr<Exchange> Current; ///< Null while idle.
  unsigned Uses = 0;
  bool Connected = false;
  bool Sent = false; ///< Writing has begun.
  bool Gone = false;
};

using LinkPtr = std::shared_ptr<Link>;
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

ClientResponse convert(http::response<http::string_body> &&From) {
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
  Impl(asio::io_context &Context, ClientLimits Limits)
      : Executor(asio::make_strand(Context)), Limits(std::move(Limits)),
        Resolver(Executor), Random(std::random_device{}()) {}

  std::chrono::steady_clock::time_point now() const {
    return Limits.Clock ? Limits.Clock() : std::chrono::steady_clock::now();
  }

  void begin(const std::string &Address, const ExchangePtr &E);
  void pump(Endpoint &P);
  void connect(const LinkPtr &L);
  void resolve(const LinkPtr &L);
  void connectTo(const LinkPtr &L, const tcp::endpoint &Where);
  void use(const LinkPtr &L);
  void read(const LinkPtr &L);
  void received(const LinkPtr &L);
  void rest(const LinkPtr &L);
  void broken(const LinkPtr &L, const error_code &Ec);
  void expired(Endpoint &P, const ExchangePtr &E);
  void drop(const LinkPtr &L);
  void fail(Endpoint &P, const ExchangePtr &E, ErrorCode Code,
            std::string_view Message);
  static void end(const ExchangePtr &E, base::Expected<ClientResponse> Result);
  void closeAll();

  Strand Executor;
  ClientLimits Limits;
  tcp::resolver Resolver;
  std::minstd_rand Random; ///< For the breakers' jitter.
  std::map<std::string, Endpoint> Endpoints;
  bool Closed = false;
  std::atomic<std::uint64_t> In{0};
  std::atomic<std::uint64_t> Out{0};
};

void HttpClient::Impl::end(const ExchangePtr &E,
                           base::Expected<ClientResponse> Result) {
  if (!E->Done)
    return;
  E->Timer.cancel();
  auto Done = std::exchange(E->Done, nullptr);
  Done(std::move(Result));
}

void HttpClient::Impl::fail(Endpoint &P, const ExchangePtr &E, ErrorCode Code,
                            std::string_view Message) {
  end(E, base::makeError(Code, "request", Message, P.Address));
}

void HttpClient::Impl::begin(const std::string &Address, const ExchangePtr &E) {
  auto Where = parseHostPort(Address);
  if (!Where)
    return end(E, base::makeError(ErrorCode::Unavailable, "request",
                                  "the address is not HOST:PORT", Address));
  Endpoint &P = Endpoints[Address];
  P.Address = Address;
  P.Where = *Where;
  if (Closed)
    return fail(P, E, ErrorCode::Unavailable, "the client is closed");
  if (P.Queue.size() >= Limits.MaxQueued)
    return fail(P, E, ErrorCode::Unavailable, "too many requests wait");
  if (!P.Breaker.allow(now()))
    return fail(P, E, ErrorCode::Unavailable, "the circuit breaker is open");
  E->Timer.expires_after(E->Request.TimeLimit);
  E->Timer.async_wait([Self = shared_from_this(), &P, E](error_code Ec) {
    if (!Ec && E->Done)
      Self->expired(P, E);
  });
  P.Queue.push_back(E);
  pump(P);
}

void HttpClient::Impl::pump(Endpoint &P) {
  while (!P.Queue.empty() && !Closed) {
    auto Idle = std::find_if(P.Links.begin(), P.Links.end(),
                             [](const LinkPtr &L) { return !L->Current; });
    if (Idle != P.Links.end()) {
      const LinkPtr &L = *Idle;
      L->Current = P.Queue.front();
      P.Queue.pop_front();
      use(L);
      continue;
    }
    if (P.Links.size() >= Limits.MaxConnections)
      return;
    auto L = std::make_shared<Link>(Executor, P);
    L->Current = P.Queue.front();
    P.Queue.pop_front();
    P.Links.insert(L);
    connect(L);
  }
}

void HttpClient::Impl::connect(const LinkPtr &L) {
  L->Current->On = L;
  L->Timer.expires_after(Limits.ConnectTimeLimit);
  L->Timer.async_wait([Self = shared_from_this(), L](error_code Ec) {
    if (!Ec && !L->Connected && !L->Gone)
      Self->broken(L, asio::error::timed_out);
  });
  error_code Ec;
  auto Ip = asio::ip::make_address(L->Owner.Where.Host, Ec);
  if (Ec)
    return resolve(L);
  connectTo(L, tcp::endpoint(Ip, L->Owner.Where.Port));
}

void HttpClient::Impl::resolve(const LinkPtr &L) {
  Resolver.async_resolve(
      L->Owner.Where.Host, std::to_string(L->Owner.Where.Port),
      [Self = shared_from_this(), L](error_code Ec, const auto &Found) {
        if (L->Gone)
          return;
        if (Ec || Found.empty())
          return Self->broken(L, Ec ? Ec : asio::error::host_not_found);
        Self->connectTo(L, Found.begin()->endpoint());
      });
}

void HttpClient::Impl::connectTo(const LinkPtr &L, const tcp::endpoint &Where) {
  L->Socket.async_connect(Where, [Self = shared_from_this(), L](error_code Ec) {
    if (L->Gone)
      return;
    if (Ec)
      return Self->broken(L, Ec);
    L->Connected = true;
    L->Timer.cancel();
    L->Socket.set_option(tcp::no_delay(true), Ec);
    if (Self->Limits.TcpKeepAlive)
      setKeepAlive(L->Socket);
    Self->use(L);
  });
}

void HttpClient::Impl::use(const LinkPtr &L) {
  ClientRequest &R = L->Current->Request;
  L->Current->On = L;
  ++L->Uses;
  L->Sent = true;
  L->Parser.reset();
  error_code Ec;
  L->Timer.cancel();
  L->Socket.cancel(Ec); // Ends the watch for a closed connection.
  L->Message = {};
  L->Message.version(11);
  L->Message.method_string(R.Method);
  L->Message.target(R.Target);
  L->Message.set(http::field::host, L->Owner.Address);
  if (!R.Body.empty() && !R.ContentType.empty())
    L->Message.set(http::field::content_type, R.ContentType);
  for (const auto &[Name, Value] : R.Headers)
    L->Message.set(Name, Value);
  L->Message.body() = R.Body;
  L->Message.prepare_payload();
  http::async_write(
      L->Socket, L->Message,
      [Self = shared_from_this(), L](error_code Ec, std::size_t Bytes) {
        Self->Out += Bytes;
        if (L->Gone)
          return;
        if (Ec)
          return Self->broken(L, Ec);
        Self->read(L);
      });
}

void HttpClient::Impl::read(const LinkPtr &L) {
  L->Parser.emplace();
  L->Parser->body_limit(Limits.MaxResponseBytes);
  if (L->Message.method() == http::verb::head)
    L->Parser->skip(true);
  http::async_read(
      L->Socket, L->Buffer, *L->Parser,
      [Self = shared_from_this(), L](error_code Ec, std::size_t Bytes) {
        Self->In += Bytes;
        if (L->Gone)
          return;
        if (Ec)
          return Self->broken(L, Ec);
        Self->received(L);
      });
}

void HttpClient::Impl::received(const LinkPtr &L) {
  Endpoint &P = L->Owner;
  P.Breaker.succeeded();
  bool Keep = L->Parser->keep_alive() && L->Buffer.size() == 0;
  auto Response = convert(L->Parser->release());
  ExchangePtr E = std::exchange(L->Current, nullptr);
  if (Keep)
    rest(L);
  else
    drop(L);
  end(E, std::move(Response));
  pump(P);
}

void HttpClient::Impl::rest(const LinkPtr &L) {
  L->Sent = false;
  L->Timer.expires_after(Limits.IdleTimeLimit);
  L->Timer.async_wait([Self = shared_from_this(), L](error_code Ec) {
    if (!Ec && !L->Current && !L->Gone)
      Self->drop(L);
  });
  L->Socket.async_wait(tcp::socket::wait_read,
                       [Self = shared_from_this(), L](error_code Ec) {
                         if (!Ec && !L->Current && !L->Gone)
                           Self->drop(L);
                       });
}

void HttpClient::Impl::drop(const LinkPtr &L) {
  L->Gone = true;
  error_code Ec;
  L->Timer.cancel();
  L->Socket.close(Ec);
  L->Owner.Links.erase(L);
}

void HttpClient::Impl::broken(const LinkPtr &L, const error_code &Ec) {
  Endpoint &P = L->Owner;
  ExchangePtr E = std::exchange(L->Current, nullptr);
  bool Stale = L->Uses > 1 && !(L->Parser && L->Parser->got_some());
  drop(L);
  if (Stale) {
    // The server has most likely closed its other kept connections as well.
    std::vector<LinkPtr> All(P.Links.begin(), P.Links.end());
    for (const LinkPtr &Other : All)
      if (!Other->Current)
        drop(Other);
  }
  if (Stale && E->Request.Method == "GET" && !E->Retried && E->Done) {
    E->Retried = true;
    P.Queue.push_front(E);
    return pump(P);
  }
  if (Ec == http::error::body_limit)
    P.Breaker.succeeded(); // The peer answers well.
  else if (Stale)
    P.Breaker.abandoned();
  else
    P.Breaker.failed(now(), Limits, Random);
  if (Ec == http::error::body_limit)
    fail(P, E, ErrorCode::TooLarge, "the response is too large");
  else
    fail(P, E, L->Sent ? ErrorCode::Unresolved : ErrorCode::Unavailable,
         (L->Sent ? "the connection failed after sending: "
                  : "no connection: ") +
             Ec.message());
  pump(P);
}

void HttpClient::Impl::expired(Endpoint &P, const ExchangePtr &E) {
  auto Waiting = std::find(P.Queue.begin(), P.Queue.end(), E);
  if (Waiting != P.Queue.end()) {
    P.Queue.erase(Waiting);
    P.Breaker.abandoned();
    return fail(P, E, ErrorCode::Unavailable, "no connection was free in time");
  }
  LinkPtr L = E->On.lock();
  bool Sent = L && L->Sent;
  if (L && L->Current == E) {
    L->Current = nullptr;
    drop(L);
  }
  P.Breaker.failed(now(), Limits, Random);
  fail(P, E, Sent ? ErrorCode::Timeout : ErrorCode::Unavailable,
       Sent ? "no response in time" : "no connection in time");
  pump(P);
}

void HttpClient::Impl::closeAll() {
  Closed = true;
  for (auto &[Address, P] : Endpoints) {
    auto Queue = std::exchange(P.Queue, {});
    for (const ExchangePtr &E : Queue)
      fail(P, E, ErrorCode::Unavailable, "the client is closed");
    std::vector<LinkPtr> All(P.Links.begin(), P.Links.end());
    for (const LinkPtr &L : All) {
      ExchangePtr E = std::exchange(L->Current, nullptr);
      drop(L);
      if (E)
        fail(P, E, L->Sent ? ErrorCode::Unresolved : ErrorCode::Unavailable,
             "the client is closed");
    }
  }
}

HttpClient::HttpClient(asio::io_context &Context, ClientLimits Limits)
    : I(std::make_shared<Impl>(Context, std::move(Limits))) {}

HttpClient::~HttpClient() {
  asio::post(I->Executor, [I = I] { I->closeAll(); });
}

void HttpClient::send(std::string_view Address, ClientRequest Request,
                      Callback Done) {
  auto E = std::make_shared<Exchange>(I->Executor, std::move(Request),
                                      std::move(Done));
  asio::post(I->Executor, [I = I, Address = std::string(Address), E] {
    I->begin(Address, E);
  });
}

std::uint64_t HttpClient::bytesIn() const { return I->In; }
std::uint64_t HttpClient::bytesOut() const { return I->Out; }

struct BlockingClient::Impl {
  explicit Impl(ClientLimits Limits) : Client(Context, std::move(Limits)) {}
  asio::io_context Context;
  HttpClient Client;
};

BlockingClient::BlockingClient(ClientLimits Limits)
    : I(std::make_unique<Impl>(std::move(Limits))) {}
BlockingClient::~BlockingClient() = default;

base::Expected<ClientResponse> BlockingClient::send(std::string_view Address,
                                                    ClientRequest Request) {
  std::optional<base::Expected<ClientResponse>> Result;
  I->Context.restart();
  I->Context.poll(); // Notices kept connections that the server has closed.
  I->Context.restart();
  I->Client.send(Address, std::move(Request),
                 [&Result](auto R) { Result = std::move(R); });
  while (!Result && I->Context.run_one())
    ;
  return *Result;
}

} // namespace heathersaddle::net
