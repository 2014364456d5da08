// Each connection has a Session on its own strand. A session waits for a first
// byte within IdleTimeLimit, reads one whole request within ReadTimeLimit,
// calls the handler, writes the response and starts again; it reads nothing
// while a request is handled or its response is written, so pipelined requests
// wait in the kernel's buffer. Beast's stream closes the socket when a time
// limit expires. A malformed or oversized request gets an error response, and
// the rest of the input is discarded up to MaxLingerBytes, because closing a
// socket with unread input resets the connection and the caller would lose the
// response. ClientBudget decides whether there is room; the session reports to
// it through its Ticket.
#include "ServerSession.h"
#include "ParserInput.h"
#include "Target.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <poll.h>

namespace heathersaddle::net {

/// Input bytes discarded after an error response before the connection is
/// closed.
static constexpr std::size_t MaxLingerBytes = 1024UL * 1024;
static constexpr std::chrono::milliseconds LingerTimeLimit{2'000};
static constexpr std::size_t ReadChunkBytes = 4096;
/// What a request costs while it is handled, besides its headers and two copies
/// of its body: as received, or as a job, and as forwarded to another daemon.
static constexpr std::size_t HandlingBytes = 4096;

static Response errorResponse(unsigned Status, std::string_view Code,
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

Response noRoomResponse() {
  Response R = errorResponse(503, "overloaded", "the daemon is overloaded");
  R.Headers["Retry-After"] = "1";
  return R;
}

/// The response to a request that could not be read; empty if the connection
/// has ended and no response is due.
static std::optional<Response> errorResponseFor(const error_code &Ec) {
  if (Ec == http::error::body_limit)
    return errorResponse(413, "too_large", "the body is too large");
  if (Ec == http::error::header_limit || Ec == http::error::buffer_overflow)
    return errorResponse(431, "too_large", "the headers are too large");
  if (Ec == http::error::end_of_stream || Ec == http::error::partial_message ||
      Ec.category() != make_error_code(http::error::bad_method).category())
    return std::nullopt;
  return errorResponse(400, "invalid_argument", "the request is not HTTP/1.1");
}

namespace {

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

} // namespace

Session::Session(tcp::socket Socket, std::shared_ptr<ServerCore> Core,
                 BudgetTicket Ticket)
    : Stream(std::move(Socket)),
      Buffer(Core->Limits.MaxHeaderBytes + ReadChunkBytes),
      Core(std::move(Core)), Ticket(std::move(Ticket)) {
  error_code Ec;
  Stream.socket().set_option(tcp::no_delay(true), Ec);
  auto Remote = Stream.socket().remote_endpoint(Ec);
  if (!Ec)
    RemoteAddress =
        Remote.address().to_string() + ":" + std::to_string(Remote.port());
}

void Session::start() {
  asio::dispatch(Stream.get_executor(),
                 [Self = shared_from_this()] { Self->awaitRequest(); });
}

void Session::closeIfIdle() {
  asio::post(Stream.get_executor(), [Self = shared_from_this()] {
    error_code Ec;
    if (Self->Idle && Self->Stream.socket().available(Ec) == 0)
      Self->close();
  });
}

void Session::closeNow() {
  asio::post(Stream.get_executor(),
             [Self = shared_from_this()] { Self->close(); });
}

void Session::giveWay() {
  asio::post(Stream.get_executor(), [Self = shared_from_this()] {
    if (Self->Parser && !Self->Parser->is_done()) {
      error_code Ec;
      Self->Stream.socket().write_some(asio::buffer(Self->Core->NoRoomText),
                                       Ec);
    }
    Self->close();
  });
}

void Session::respond(Response R) {
  asio::post(Stream.get_executor(),
             [Self = shared_from_this(), R = std::move(R)]() mutable {
               Self->write(std::move(R));
             });
}

bool Session::isCallerConnected() {
  if (!Stream.socket().is_open())
    return false;
  // Unlike a read, POLLRDHUP is also seen behind input that was not read yet.
  pollfd Poll{Stream.socket().native_handle(), POLLRDHUP, 0};
  return poll(&Poll, 1, 0) <= 0;
}

void Session::awaitRequest() {
  Parser.reset();
  if (Buffer.size() > 0)
    return beginRequest();
  if (Core->Draining)
    return close();
  Buffer.shrink_to_fit();
  Ticket.holdRequired(0);
  Ticket.enter(Phase::Idle);
  Idle = true;
  Stream.expires_after(Core->Limits.IdleTimeLimit);
  Stream.async_read_some(
      Buffer.prepare(ReadChunkBytes),
      [Self = shared_from_this()](error_code Ec, std::size_t Bytes) {
        Self->Idle = false;
        if (Ec)
          return Self->close();
        Self->Buffer.commit(Bytes);
        Self->beginRequest();
      });
}

void Session::beginRequest() {
  Parser.emplace(Core->Limits);
  PhaseStart = Clock::now();
  PhaseBytes = Buffer.size();
  RequestBytes = 0;
  Ticket.enter(Phase::Receiving);
  Ticket.progress(PhaseBytes);
  parse();
}

void Session::parse() {
  error_code Ec;
  while (!Ec && canParse()) {
    bool HeaderWasDone = Parser->is_header_done();
    parseSome(Ec);
    if (!HeaderWasDone && Parser->is_header_done() && !Ec) {
      if (!checkHeader())
        return;
      if (beast::iequals(header("expect"), "100-continue"))
        return writeContinue();
    }
  }
  if (Ec && Ec != http::error::need_more)
    return handleReadError(Ec);
  // What handling it takes is held from the beginning: if complete requests had
  // to wait for room that incomplete ones have, none would be handled.
  if (!Ticket.hold(Buffer.capacity() + Parser->memory() +
                   Parser->Parsed.Body.capacity() + HandlingBytes))
    return refuse(noRoomResponse());
  if (Parser->is_done())
    return handle();
  receive();
}

bool Session::canParse() const { return net::canParse(*Parser, Buffer); }

void Session::parseSome(error_code &Ec) {
  std::size_t Used = net::parseSome(*Parser, Buffer, Ec);
  RequestBytes += Used;
  Core->BytesReceived += Used;
}

void Session::receive() {
  // Only a header, or that of a chunk, can fill the buffer.
  if (Buffer.size() == Buffer.max_size())
    return handleReadError(http::error::buffer_overflow);
  auto Limit =
      Parser->is_header_done()
          ? Core->Limits.ReadTimeLimit
          : std::min(Core->Limits.ReadTimeLimit, Core->Limits.HeaderTimeLimit);
  Stream.expires_at(deadline(Limit));
  Stream.async_read_some(
      Buffer.prepare(
          std::min(ReadChunkBytes, Buffer.max_size() - Buffer.size())),
      [Self = shared_from_this()](error_code Ec, std::size_t Bytes) {
        if (Ec)
          return Self->handleReadError(Ec);
        Self->Buffer.commit(Bytes);
        Self->recordProgress(Bytes);
        Self->parse();
      });
}

void Session::writeContinue() {
  static constexpr std::string_view Text = "HTTP/1.1 100 Continue\r\n\r\n";
  Stream.expires_at(deadline(Core->Limits.ReadTimeLimit));
  asio::async_write(
      Stream, asio::buffer(Text),
      [Self = shared_from_this()](error_code Ec, std::size_t Bytes) {
        Self->Core->BytesSent += Bytes;
        if (Ec)
          return Self->close();
        Self->parse();
      });
}

std::string_view Session::header(const std::string &Name) const {
  auto It = Parser->Parsed.Headers.find(Name);
  return It == Parser->Parsed.Headers.end() ? std::string_view() : It->second;
}

void Session::recordProgress(std::size_t Bytes) {
  PhaseBytes += Bytes;
  Ticket.progress(Bytes);
}

Session::Clock::time_point
Session::deadline(std::chrono::milliseconds Limit) const {
  const ServerLimits &L = Core->Limits;
  return PhaseStart +
         std::min(Limit, L.ProgressGrace +
                             std::chrono::milliseconds(PhaseBytes * 1'000 /
                                                       L.MinBytesPerSecond));
}

void Session::closeAfterError(const error_code &Ec) {
  if (Ec == beast::error::timeout)
    ++Core->SlowConnections;
  close();
}

void Session::handleReadError(const error_code &Ec) {
  auto Answer = errorResponseFor(Ec);
  if (!Answer)
    return closeAfterError(Ec);
  if (Answer->Status != 400)
    ++Core->OversizedRequests;
  refuse(std::move(*Answer));
}

void Session::refuse(Response R) {
  R.Headers.insert(Core->Protection.RefusalHeaders.begin(),
                   Core->Protection.RefusalHeaders.end());
  Linger = !Parser->is_done();
  CloseAfter = Linger || !Parser->keep_alive();
  Parser.reset();
  write(std::move(R));
}

void Session::write(Response R) {
  CloseAfter = CloseAfter || Core->Draining;
  Message.emplace();
  Message->version(11);
  Message->result(R.Status);
  if (!R.ContentType.empty())
    Message->set(http::field::content_type, R.ContentType);
  for (const auto &[Name, Value] : R.Headers)
    Message->set(Name, Value);
  Message->body() = std::move(R.Body);
  Message->keep_alive(!CloseAfter);
  Message->prepare_payload();
  Ticket.holdRequired(Buffer.capacity() + Message->body().capacity());
  Ticket.enter(Phase::Sending);
  PhaseStart = Clock::now();
  PhaseBytes = 0;
  Serializer.emplace(*Message);
  writeSome();
}

void Session::writeSome() {
  Stream.expires_at(deadline(Core->Limits.IdleTimeLimit));
  http::async_write_some(
      Stream, *Serializer,
      [Self = shared_from_this()](error_code Ec, std::size_t Bytes) {
        Self->Core->BytesSent += Bytes;
        Self->recordProgress(Bytes);
        if (Ec)
          return Self->closeAfterError(Ec);
        if (!Self->Serializer->is_done())
          return Self->writeSome();
        Self->Serializer.reset();
        Self->Message.reset();
        if (!Self->CloseAfter)
          return Self->awaitRequest();
        Self->finish();
      });
}

void Session::finish() {
  error_code Ec;
  Stream.socket().shutdown(tcp::socket::shutdown_send, Ec);
  if (Ec || !Linger)
    return close();
  Ticket.holdRequired(0);
  Ticket.enter(Phase::Discarding);
  Stream.expires_after(std::min(Core->Limits.ReadTimeLimit, LingerTimeLimit));
  discard(0);
}

void Session::discard(std::size_t Discarded) {
  Buffer.clear();
  Stream.async_read_some(
      Buffer.prepare(ReadChunkBytes),
      [Self = shared_from_this(), Discarded](error_code Ec, std::size_t Bytes) {
        if (Ec || Discarded + Bytes > MaxLingerBytes)
          return Self->close();
        Self->discard(Discarded + Bytes);
      });
}

void Session::close() {
  error_code Ec;
  Stream.socket().shutdown(tcp::socket::shutdown_both, Ec);
  Stream.close();
}

bool Session::checkHeader() {
  Request &R = Parser->Parsed;
  auto ParsedTarget = parseTarget(Parser->target());
  HeaderVerdict Verdict;
  if (ParsedTarget) {
    R.Path = std::move(ParsedTarget->Path);
    R.Query = std::move(ParsedTarget->Query);
    R.RemoteAddress = RemoteAddress;
    if (Core->Protection.CheckHeaders)
      Verdict = Core->Protection.CheckHeaders(R);
  } else {
    Verdict.Answer = errorResponse(400, "invalid_argument",
                                   "the request target is malformed");
  }
  if (!Verdict.Answer) {
    Ticket.markKnown();
    if (!Verdict.NeedsBody)
      Parser->dropBody();
    return true;
  }
  if (ParsedTarget)
    ++Core->AnsweredByHeaders;
  // A body that has arrived with its header does not end the connection.
  Parser->dropBody();
  error_code Ec;
  while (!Ec && canParse())
    parseSome(Ec);
  refuse(std::move(*Verdict.Answer));
  return false;
}

void Session::handle() {
  Request R = std::move(Parser->Parsed);
  CloseAfter = !Parser->keep_alive();
  R.WireBytes = RequestBytes;
  // The connection may have given way while its last bytes arrived. What the
  // handler has got must not be refused afterwards.
  if (!Ticket.enter(Phase::Handling))
    return refuse(noRoomResponse());
  Parser.reset();
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

} // namespace heathersaddle::net
