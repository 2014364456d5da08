#include "heathersaddle/net/HttpServer.h"
#include "ServerSession.h"
#include <array>
#include <boost/asio/post.hpp>

namespace heathersaddle::net {

/// Pause after a connection could not be accepted. If the process has no free
/// descriptor, the next attempt would fail at once.
static constexpr std::chrono::milliseconds AcceptRetryDelay{100};
/// Input of a refused connection that is read and discarded at most.
static constexpr std::size_t MaxDiscardedBytes = 32UL * 1024;

void ServerCore::accept() {
  Acceptor.async_accept(
      asio::make_strand(Executor),
      [Self = shared_from_this()](error_code Ec, tcp::socket Socket) {
        if (!Self->Acceptor.is_open())
          return;
        if (!Ec) {
          Self->admit(std::move(Socket));
          return Self->accept();
        }
        ++Self->AcceptFailures;
        if (Ec == asio::error::no_descriptors && Self->Protection.Budget)
          Self->Protection.Budget->closeOne(Self->Protection.Class);
        Self->AcceptTimer.expires_after(AcceptRetryDelay);
        Self->AcceptTimer.async_wait([Self](error_code) {
          if (Self->Acceptor.is_open())
            Self->accept();
        });
      });
}

/// Sends \p Text without waiting, and closes the connection. What has arrived
/// is read first, as closing with unread input would discard the response.
static void refuseConnection(tcp::socket &Socket, std::string_view Text) {
  std::array<char, 4096> Scratch{};
  error_code Ec;
  Socket.non_blocking(true, Ec);
  Socket.write_some(asio::buffer(Text), Ec);
  Socket.shutdown(tcp::socket::shutdown_send, Ec);
  for (std::size_t Discarded = 0; Discarded < MaxDiscardedBytes && !Ec;)
    Discarded += Socket.read_some(asio::buffer(Scratch), Ec);
}

std::string ServerCore::noRoomText() const {
  Response R = noRoomResponse();
  R.Headers.insert(Protection.RefusalHeaders.begin(),
                   Protection.RefusalHeaders.end());
  std::string Text = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                     "Content-Type: " +
                     R.ContentType +
                     "\r\nContent-Length: " + std::to_string(R.Body.size()) +
                     "\r\n";
  for (const auto &[Name, Value] : R.Headers)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  return Text + "\r\n" + R.Body;
}

void ServerCore::admit(tcp::socket Socket) {
  std::unique_lock Lock(Mutex);
  if (Sessions.size() >= Limits.MaxConnections) {
    ++RejectedConnections;
    static constexpr std::string_view Busy =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n";
    return refuseConnection(Socket, Busy);
  }
  Lock.unlock();
  auto Admitted = std::make_shared<std::weak_ptr<Session>>();
  ClientBudget::Id Id = 0;
  if (Protection.Budget) {
    error_code Ec;
    auto Granted = Protection.Budget->open(
        Protection.Class, Socket.remote_endpoint(Ec).address().to_string(),
        [Admitted] {
          if (auto S = Admitted->lock())
            S->giveWay();
        });
    if (!Granted) {
      ++RejectedConnections;
      return refuseConnection(Socket, NoRoomText);
    }
    Id = *Granted;
  }
  auto S = std::make_shared<Session>(std::move(Socket), shared_from_this(),
                                     BudgetTicket(Protection.Budget, Id));
  *Admitted = S;
  Lock.lock();
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
    asio::post(Executor, std::move(Done));
}

HttpServer::HttpServer(const asio::any_io_executor &Executor,
                       ServerLimits Limits, Handler OnRequest,
                       ServerProtection Protection)
    : Core(std::make_shared<ServerCore>(Executor, Limits, std::move(OnRequest),
                                        std::move(Protection))) {}

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
  // Accepted connections inherit the sizes; after listen() it would be too late
  // for the window that the first segments announce.
  if (int Size = Core->Protection.SocketBufferBytes; !Ec && Size) {
    Core->Acceptor.set_option(asio::socket_base::receive_buffer_size(Size), Ec);
    if (!Ec)
      Core->Acceptor.set_option(asio::socket_base::send_buffer_size(Size), Ec);
  }
  if (!Ec)
    Core->Acceptor.bind(LocalEndpoint, Ec);
  if (int Backlog = Core->Protection.Backlog; !Ec)
    Core->Acceptor.listen(
        Backlog ? Backlog : asio::socket_base::max_listen_connections, Ec);
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
ServerCounts HttpServer::counts() const {
  return {Core->SlowConnections, Core->OversizedRequests,
          Core->AnsweredByHeaders};
}
std::size_t HttpServer::connections() const {
  std::lock_guard Lock(Core->Mutex);
  return Core->Sessions.size();
}

} // namespace heathersaddle::net
