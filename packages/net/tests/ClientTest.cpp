#include "Raw.h"
#include "heathersaddle/net/Executor.h"
#include "heathersaddle/net/HttpClient.h"
#include "heathersaddle/net/HttpServer.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace heathersaddle;
using namespace heathersaddle::net;
using base::ErrorCode;
using test::RawSocket;

namespace {

using Result = base::Expected<ClientResponse>;

std::future<Result> start(HttpClient &C, std::uint16_t Port, ClientRequest R) {
  auto Done = std::make_shared<std::promise<Result>>();
  C.send(test::loopbackAddress(Port), std::move(R),
         [Done](Result Value) { Done->set_value(std::move(Value)); });
  return Done->get_future();
}

Result send(HttpClient &C, std::uint16_t Port, ClientRequest R = {}) {
  if (R.Target.empty())
    R.Target = "/";
  return start(C, Port, std::move(R)).get();
}

constexpr const char *OkResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

BOOST_AUTO_TEST_SUITE(Client)

// Guards against losing headers, bodies or byte counts.
BOOST_AUTO_TEST_CASE(RequestAndResponseArriveComplete) {
  Executor Threads(2);
  HttpServer Server(Threads.context(), {}, [](Request R, const Respond &Reply) {
    Reply({.Status = 202,
           .Headers = {{"X-Method", R.Method + R.Query["q"]}},
           .Body = R.Body + R.Headers["x-key"]});
  });
  auto Port = Server.listen("127.0.0.1", 0).value();
  HttpClient C(Threads.context(), {});
  auto R = send(C, Port,
                {.Method = "POST",
                 .Target = "/?q=1",
                 .Headers = {{"X-Key", "k"}},
                 .Body = "body-"});
  BOOST_REQUIRE(R);
  BOOST_TEST(R->Status == 202u);
  BOOST_TEST(R->Headers["x-method"] == "POST1");
  BOOST_TEST(R->Body == "body-k");
  BOOST_TEST(C.bytesOut() == Server.bytesIn());
  BlockingClient B;
  BOOST_TEST(B.send(test::loopbackAddress(Port), {.Target = "/"})->Status ==
             202u);
}

BOOST_AUTO_TEST_SUITE(Failures)

// Guards against reporting a request as possibly delivered that was never sent.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsUnavailable) {
  Executor Threads(1);
  HttpClient C(Threads.context(), {});
  RawSocket Port;
  auto R = send(C, Port.bindFreePort());
  BOOST_REQUIRE(!R);
  BOOST_TEST((R.error().Code == ErrorCode::Unavailable));
}

// Guards against waiting forever for a server that accepts and never responds.
BOOST_AUTO_TEST_CASE(SilentServerTimesOut) {
  Executor Threads(1);
  HttpClient C(Threads.context(), {});
  RawSocket Peer;
  auto Port = Peer.bindFreePort();
  Peer.startListening();
  auto R = send(C, Port, {.TimeLimit = std::chrono::milliseconds(30)});
  BOOST_REQUIRE(!R);
  BOOST_TEST((R.error().Code == ErrorCode::Timeout));
}

// Guards against a request that is sent when its caller has given up: the
// process was paused while it was connecting, or while the request waited for a
// connection.
BOOST_AUTO_TEST_CASE(RequestIsNotSentAfterItsTimeLimit) {
  boost::asio::io_context Context;
  HttpClient C(Context, {.MaxConnections = 1});
  RawSocket Peer;
  auto Port = Peer.bindFreePort();
  Peer.startListening();
  std::vector<Result> Results;
  for (int N = 0; N < 2; ++N)
    C.send(test::loopbackAddress(Port),
           {.Method = "POST",
            .Target = "/",
            .TimeLimit = std::chrono::milliseconds(20)},
           [&](Result R) { Results.push_back(std::move(R)); });
  // The requests are queued and a connection is begun.
  Context.run_one();
  Context.run_one();
  std::this_thread::sleep_for(std::chrono::milliseconds(40));
  while (Results.size() < 2)
    Context.run_one();
  for (const Result &R : Results)
    BOOST_TEST((!R && R.error().Code == ErrorCode::Unavailable));
  // The server gets no byte of them, and the connection can still be used.
  C.send(test::loopbackAddress(Port), {.Target = "/next"},
         [&](Result R) { Results.push_back(std::move(R)); });
  RawSocket Connection(Peer.acceptOne());
  for (int N = 0; N < 3; ++N)
    Context.poll();
  BOOST_TEST(Connection.readUntil("\r\n").starts_with("GET /next "));
}

// Guards against a request that goes on, or blocks a connection or the breaker,
// after its caller has abandoned it.
BOOST_AUTO_TEST_CASE(AbandonedRequestsEndAtOnce) {
  boost::asio::io_context Context;
  HttpClient C(Context, {.MaxConnections = 1, .BreakerFailures = 1});
  RawSocket Peer;
  auto Port = Peer.bindFreePort();
  Peer.startListening();
  std::vector<ErrorCode> Codes;
  auto Send = [&] {
    return C.send(test::loopbackAddress(Port),
                  {.Method = "POST", .Target = "/"}, [&](Result R) {
                    Codes.push_back(R ? ErrorCode::Internal : R.error().Code);
                  });
  };
  auto AbandonSent = Send();
  auto AbandonQueued = Send();
  for (int N = 0; N < 5; ++N)
    Context.run_one_for(std::chrono::milliseconds(5));
  AbandonQueued();
  AbandonSent();
  AbandonSent();
  while (Codes.size() < 2)
    Context.run_one();
  BOOST_REQUIRE(
      (Codes == std::vector{ErrorCode::Unavailable, ErrorCode::Timeout}));
  RawSocket First(Peer.acceptOne());
  BOOST_TEST(First.readAll().starts_with("POST / "));
  // The next request is sent on a new connection.
  Send();
  for (int N = 0; N < 5; ++N)
    Context.run_one_for(std::chrono::milliseconds(5));
  RawSocket Second(Peer.acceptOne());
  BOOST_TEST(Second.readUntil("\r\n").starts_with("POST / "));
}

// Guards against a request that the kernel delivers, when the server reads
// again, after its caller was told that there is no answer.
BOOST_AUTO_TEST_CASE(RequestIsNotDeliveredAfterItsTimeLimit) {
  Executor Threads(1);
  HttpClient C(Threads.context(), {});
  RawSocket Peer;
  Peer.limitReceiveBuffer(4'096);
  auto Port = Peer.bindFreePort();
  Peer.startListening();
  std::string Body(200'000, 'x');
  auto R = send(C, Port,
                {.Method = "POST",
                 .Target = "/",
                 .Body = Body,
                 .TimeLimit = std::chrono::milliseconds(100)});
  BOOST_REQUIRE(!R);
  BOOST_TEST((R.error().Code == ErrorCode::Timeout));
  RawSocket Connection(Peer.acceptOne());
  BOOST_TEST(Connection.readAll().size() < Body.size());
}

// Guards against reporting a request as not delivered that the server may have
// handled.
BOOST_AUTO_TEST_CASE(LostResponseIsUnresolved) {
  Executor Threads(1);
  HttpClient C(Threads.context(), {.MaxResponseBytes = 10});
  RawSocket Peer;
  auto Port = Peer.bindFreePort();
  Peer.startListening();
  const std::pair<const char *, ErrorCode> Cases[] = {
      {"", ErrorCode::Unresolved},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", ErrorCode::Unresolved},
      {"nonsense\r\n", ErrorCode::Unresolved},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", ErrorCode::TooLarge}};
  for (auto [Text, Code] : Cases) {
    auto Pending = start(C, Port, {.Method = "POST", .Target = "/"});
    RawSocket Connection(Peer.acceptOne());
    Connection.readUntil("\r\n\r\n");
    Connection.send(Text);
    Connection.close();
    auto R = Pending.get();
    BOOST_REQUIRE(!R);
    BOOST_TEST((R.error().Code == Code), Text);
  }
}

// Guards against failing a GET because the server closed an idle connection.
BOOST_AUTO_TEST_CASE(GetIsRetriedAfterAStaleConnection) {
  Executor Threads(1);
  HttpClient C(Threads.context(), {});
  RawSocket Peer;
  auto Port = Peer.bindFreePort();
  Peer.startListening();
  for (int N = 0; N < 20; ++N) {
    auto Pending = start(C, Port, {.Target = "/"});
    RawSocket Connection(Peer.acceptOne());
    Connection.readUntil("\r\n\r\n");
    Connection.send(OkResponse);
    BOOST_REQUIRE(Pending.get());
  }
}

// Guards against unbounded memory use for a server that does not respond.
BOOST_AUTO_TEST_CASE(RequestBeyondTheQueueLimitIsUnavailable) {
  Executor Threads(1);
  HttpClient C(Threads.context(),
               {.MaxConnections = 1, .MaxQueuedRequests = 1});
  RawSocket Peer;
  auto Port = Peer.bindFreePort();
  Peer.startListening();
  auto First = start(C, Port, {.Target = "/1"});
  auto Second = start(C, Port, {.Target = "/2"});
  auto Third = send(C, Port);
  BOOST_REQUIRE(!Third);
  BOOST_TEST((Third.error().Code == ErrorCode::Unavailable));
  BOOST_TEST(C.counts().QueueFullRejections == 1u);
  RawSocket Connection(Peer.acceptOne());
  Connection.readUntil("\r\n\r\n");
  Connection.send(OkResponse);
  BOOST_TEST(First.get().has_value());
  BOOST_TEST(Connection.readUntil("\r\n\r\n").starts_with("GET /2 "));
  Connection.send(OkResponse);
  BOOST_TEST(Second.get().has_value());
}

// Guards against requests that wait for a connection, also until their time
// limit, without a trace in the metrics.
BOOST_AUTO_TEST_CASE(RequestsThatWaitForAConnectionAreCounted) {
  Executor Threads(1);
  HttpClient C(Threads.context(), {.MaxConnections = 1});
  RawSocket Peer;
  auto Port = Peer.bindFreePort();
  Peer.startListening();
  auto First = start(C, Port, {.Target = "/1"});
  RawSocket Connection(Peer.acceptOne());
  Connection.readUntil("\r\n\r\n");
  BOOST_TEST(C.counts().RequestsQueued == 0u);
  auto Second = send(C, Port, {.TimeLimit = std::chrono::milliseconds(30)});
  BOOST_REQUIRE(!Second);
  BOOST_TEST((Second.error().Code == ErrorCode::Unavailable));
  BOOST_TEST(C.counts().RequestsQueued == 1u);
  BOOST_TEST(C.counts().QueueTimeouts == 1u);
  Connection.send(OkResponse);
  BOOST_TEST(First.get().has_value());
  BOOST_TEST(C.counts().QueueTimeouts == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ResponsesInPieces)

namespace {

/// A client and a server whose responses the test sends piece by piece. The
/// client reads each piece before the next one is sent.
class PieceByPiece {
public:
  PieceByPiece()
      : Client(Context,
               {.MaxResponseBytes = 1'000, .BreakerFailures = 1'000'000}),
        Port(Listener.bindFreePort()) {
    Listener.startListening();
  }
  /// Sends a request and \p Pieces as the response to it, then closes the
  /// connection if \p Close is set or the request has no result.
  Result exchange(const std::vector<std::string> &Pieces, bool Close = false) {
    std::optional<Result> Got;
    Client.send(test::loopbackAddress(Port),
                {.Method = "POST", .Target = "/", .Body = "b"},
                [&](Result R) { Got = std::move(R); });
    runUntil([&] { return Client.bytesOut() > Sent; });
    Sent = Client.bytesOut();
    if (!Connection || isClosed()) {
      Connection.emplace(Listener.acceptOne());
      Connection->sendInPieces();
    }
    Connection->readUntil("\r\n\r\nb");
    std::uint64_t Received = Client.bytesIn();
    for (const std::string &Piece : Pieces) {
      Connection->send(Piece);
      Received += Piece.size();
      runUntil([&] { return Got || Client.bytesIn() == Received; });
    }
    if (Close || !Got)
      Connection->close();
    runUntil([&] { return Got.has_value(); });
    BOOST_REQUIRE(Got.has_value());
    return *Got;
  }
  /// Whether the client has closed the connection.
  bool isClosed() {
    Context.poll();
    return Connection->isClosedByPeer();
  }

private:
  void runUntil(const std::function<bool()> &Done) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Done() && std::chrono::steady_clock::now() < End) {
      Context.run_one_for(std::chrono::milliseconds(10));
      Context.restart();
    }
  }
  boost::asio::io_context Context;
  HttpClient Client;
  RawSocket Listener;
  std::uint16_t Port;
  std::optional<RawSocket> Connection;
  std::uint64_t Sent = 0;
};

/// All ways to cut \p Text once, or twice around one byte, and into bytes.
std::vector<std::vector<std::string>> cuts(const std::string &Text) {
  std::vector<std::vector<std::string>> All(1);
  for (char C : Text)
    All[0].emplace_back(1, C);
  for (std::size_t N = 0; N < Text.size(); ++N) {
    All.push_back({Text.substr(0, N), Text.substr(N)});
    All.push_back({Text.substr(0, N), Text.substr(N, 1), Text.substr(N + 1)});
  }
  for (auto &Pieces : All)
    std::erase(Pieces, "");
  return All;
}

struct CompleteResponse {
  std::string Text;
  unsigned Status = 200;
  std::string Body;
  bool EndsConnection = false; ///< By what its header says.
};

const std::vector<CompleteResponse> &completeResponses() {
  static const std::string Ok = "HTTP/1.1 200 OK\r\n";
  static const std::string Chunked =
      "HTTP/1.1 503 Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n";
  static const std::vector<CompleteResponse> All{
      {Ok + "Content-Length: 5\r\n\r\nhello", 200, "hello"},
      {Ok + "Content-Length: 0\r\n\r\n", 200, ""},
      {Ok + "Connection: close\r\nContent-Length: 2\r\n\r\nab", 200, "ab",
       true},
      {"HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
      {"HTTP/1.1 304 Not Modified\r\n\r\n", 304, ""},
      {Chunked + "0\r\n\r\n", 503, ""},
      {Chunked + "000\r\n\r\n", 503, ""},
      {Chunked + "0;a=b;c=\"d\"\r\n\r\n", 503, ""},
      {Chunked + "0\r\nTrailer: value\r\n\r\n", 503, ""},
      {Chunked + "5\r\nhello\r\n0\r\n\r\n", 503, "hello"},
      {Chunked + "2;e=f\r\nhe\r\n3\r\nllo\r\n0;g\r\nT: v\r\nU: w\r\n\r\n", 503,
       "hello"},
      {Ok + "\r\nuntil the end", 200, "until the end", true},
      {"HTTP/1.0 200 OK\r\n\r\nold", 200, "old", true},
      {"HTTP/1.1 100 Continue\r\n\r\n" + Chunked + "0\r\n\r\n", 503, ""},
      {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
       "HTTP/1.1 102 Processing\r\n\r\n" +
           Ok + "Content-Length: 2\r\n\r\nok",
       200, "ok"},
  };
  return All;
}

} // namespace

// Guards against a process that a worker, the store or another daemon ends by a
// response whose last chunk arrives in pieces: an assertion of Boost.Beast
// failed on some lengths.
BOOST_AUTO_TEST_CASE(AreReadWhereverTheyAreCut) {
  PieceByPiece Exchanges;
  for (const CompleteResponse &Expected : completeResponses())
    for (const auto &Pieces : cuts(Expected.Text)) {
      auto R = Exchanges.exchange(Pieces, Expected.EndsConnection);
      BOOST_REQUIRE_MESSAGE(R, Expected.Text);
      BOOST_TEST(R->Status == Expected.Status, Expected.Text);
      BOOST_TEST(R->Body == Expected.Body, Expected.Text);
      BOOST_TEST(Exchanges.isClosed() == Expected.EndsConnection,
                 Expected.Text);
    }
}

// Guards against a process that a server ends by stopping within a response:
// how much of it had arrived was asked of a parser without its header.
BOOST_AUTO_TEST_CASE(TimeOutWhereverTheyStop) {
  const std::string Text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  Executor Threads(1);
  HttpClient C(Threads.context(), {.MaxConnections = 100});
  RawSocket Listener;
  auto Port = Listener.bindFreePort();
  Listener.startListening();
  std::vector<std::future<Result>> Results;
  std::vector<std::unique_ptr<RawSocket>> Servers;
  for (std::size_t N = 0; N < Text.size(); ++N) {
    Results.push_back(start(C, Port,
                            {.Method = "POST",
                             .Target = "/",
                             .TimeLimit = std::chrono::milliseconds(1'000)}));
    Servers.push_back(std::make_unique<RawSocket>(Listener.acceptOne()));
    Servers.back()->readUntil("\r\n\r\n");
    Servers.back()->send(Text.substr(0, N));
  }
  for (std::size_t N = 0; N < Text.size(); ++N) {
    auto R = Results[N].get();
    BOOST_REQUIRE_MESSAGE(!R, "stopped after " << N);
    BOOST_TEST((R.error().Code == ErrorCode::Timeout), "stopped after " << N);
  }
}

// Guards against a response that is taken for complete although the connection
// ended before its end.
BOOST_AUTO_TEST_CASE(AreUnresolvedIfTheyEndTooEarly) {
  PieceByPiece Exchanges;
  for (const CompleteResponse &Whole : completeResponses()) {
    std::size_t HeaderEnd = Whole.Text.rfind("\r\n\r\n");
    bool UntilTheEnd =
        Whole.EndsConnection && Whole.Text.find("Length") == std::string::npos;
    std::size_t Bytes = UntilTheEnd ? HeaderEnd + 4 : Whole.Text.size();
    for (std::size_t N = 0; N < Bytes; ++N) {
      auto R = Exchanges.exchange({Whole.Text.substr(0, N)}, true);
      BOOST_REQUIRE_MESSAGE(!R, Whole.Text << " cut after " << N);
      BOOST_TEST((R.error().Code == ErrorCode::Unresolved));
    }
  }
}

// Guards against a malformed response that does more than to end its exchange
// and its connection.
BOOST_AUTO_TEST_CASE(EndTheirExchangeIfTheyAreMalformed) {
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, ErrorCode> Cases[] = {
      {"nonsense\r\n\r\n", ErrorCode::Unresolved},
      {"HTTP/1.1 2000 OK\r\n\r\n", ErrorCode::Unresolved},
      {Ok + "no colon\r\n\r\n", ErrorCode::Unresolved},
      {Ok + "Content-Length: -1\r\n\r\n", ErrorCode::Unresolved},
      {Ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       ErrorCode::Unresolved},
      {Ok + "Long: " + std::string(70'000, 'x'), ErrorCode::Unresolved},
      {Ok + "Content-Length: 1001\r\n\r\n", ErrorCode::TooLarge},
      {Chunked + "g\r\nhello\r\n", ErrorCode::Unresolved},
      {Chunked + "-1\r\nhello\r\n", ErrorCode::Unresolved},
      {Chunked + "ffffffffffffffffff\r\n", ErrorCode::Unresolved},
      {Chunked + "3e9\r\nhello", ErrorCode::TooLarge},
      {Chunked + "5\r\nhelloXX0\r\n\r\n", ErrorCode::Unresolved},
      {Chunked + "5;=\r\nhello\r\n0\r\n\r\n", ErrorCode::Unresolved},
      {Chunked + "0;=\r\n\r\n", ErrorCode::Unresolved},
      {Chunked + "0\r\nno colon\r\n\r\n", ErrorCode::Unresolved},
      {Chunked + "0;" + std::string(70'000, 'x'), ErrorCode::Unresolved},
  };
  PieceByPiece Exchanges;
  for (const auto &[Text, Code] : Cases) {
    std::vector<std::string> Bytes;
    for (char C : Text.substr(0, 400))
      Bytes.emplace_back(1, C);
    Bytes.push_back(Text.substr(Bytes.size()));
    for (const auto &Pieces : {std::vector{Text}, Bytes}) {
      auto R = Exchanges.exchange(Pieces);
      BOOST_REQUIRE_MESSAGE(!R, Text.substr(0, 200));
      BOOST_TEST((R.error().Code == Code), Text.substr(0, 200));
      auto Next = Exchanges.exchange({OkResponse});
      BOOST_REQUIRE(Next);
      BOOST_TEST(Next->Body == "ok");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TotalConnections)

namespace {

/// A server that keeps the reply to /held and counts its open connections.
struct CountingServer {
  explicit CountingServer(boost::asio::io_context &Context)
      : Server(Context, {}, [this](const Request &R, const Respond &Reply) {
          if (R.Path == "/held")
            return HeldReply.set_value(Reply);
          Reply({.Body = "ok"});
        }) {
    Port = Server.listen("127.0.0.1", 0).value();
  }
  bool reaches(std::size_t Connections) const {
    auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (Server.connections() != Connections)
      if (std::chrono::steady_clock::now() >= Until)
        return false;
      else
        std::this_thread::yield();
    return true;
  }

  std::promise<Respond> HeldReply;
  HttpServer Server;
  std::uint16_t Port = 0;
};

} // namespace

// Guards against idle connections to many addresses that use up the
// descriptors of the process: only the longest idle one must be closed.
BOOST_AUTO_TEST_CASE(LongestIdleOneIsClosedForANewOne) {
  Executor Threads(1);
  Executor ServerThreads(2);
  CountingServer A(ServerThreads.context());
  CountingServer B(ServerThreads.context());
  CountingServer D(ServerThreads.context());
  HttpClient C(Threads.context(), {.MaxTotalConnections = 2});
  for (CountingServer *S : {&A, &B, &A})
    BOOST_REQUIRE(send(C, S->Port));
  BOOST_TEST(C.counts().IdleConnectionsClosed == 0u);
  BOOST_REQUIRE(send(C, D.Port));
  BOOST_TEST(C.counts().IdleConnectionsClosed == 1u);
  BOOST_TEST(B.reaches(0));
  BOOST_TEST(A.reaches(1));
  BOOST_REQUIRE(send(C, A.Port));
  BOOST_TEST(C.counts().IdleConnectionsClosed == 1u);
  BOOST_TEST(C.counts().ConnectionsAboveLimit == 0u);
}

// Guards against a limit that fails or closes requests in progress, and against
// exceeding it without a trace in the metrics.
BOOST_AUTO_TEST_CASE(BusyOnesAreKeptAndTheExcessIsCounted) {
  Executor Threads(1);
  Executor ServerThreads(2);
  CountingServer A(ServerThreads.context());
  CountingServer B(ServerThreads.context());
  HttpClient C(Threads.context(), {.MaxTotalConnections = 1});
  auto Held = start(C, A.Port, {.Target = "/held"});
  auto Reply = A.HeldReply.get_future().get();
  BOOST_REQUIRE(send(C, B.Port));
  BOOST_TEST(C.counts().ConnectionsAboveLimit == 1u);
  BOOST_TEST(C.counts().IdleConnectionsClosed == 0u);
  Reply({.Body = "held"});
  auto R = Held.get();
  BOOST_REQUIRE(R);
  BOOST_TEST(R->Body == "held");
  CountingServer D(ServerThreads.context());
  BOOST_REQUIRE(send(C, D.Port));
  BOOST_TEST(C.counts().IdleConnectionsClosed == 2u);
  BOOST_TEST(C.counts().ConnectionsAboveLimit == 1u);
  BOOST_TEST(A.reaches(0));
  BOOST_TEST(B.reaches(0));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against sending every request to a server that is down, and against
// never using it again once it is back.
BOOST_AUTO_TEST_CASE(BreakerOpensAfterFailuresAndClosesAfterSuccess) {
  std::atomic<std::int64_t> NowMs{0};
  Executor Threads(1);
  HttpClient C(Threads.context(),
               {.BreakerFailures = 3, .Clock = [&NowMs] {
                  return std::chrono::steady_clock::time_point(
                      std::chrono::milliseconds(NowMs));
                }});
  RawSocket Peer;
  auto Port = Peer.bindFreePort();
  auto RejectedByBreaker = [&] {
    auto R = send(C, Port);
    BOOST_REQUIRE(!R);
    BOOST_TEST((R.error().Code == ErrorCode::Unavailable));
    return R.error().Message.find("breaker") != std::string::npos;
  };
  for (int N = 0; N < 3; ++N)
    BOOST_TEST(!RejectedByBreaker());
  BOOST_TEST(C.counts().BreakerRejections == 0u);
  BOOST_TEST(RejectedByBreaker());
  BOOST_TEST(C.counts().BreakerRejections == 1u);
  NowMs += 1'000;
  BOOST_TEST(!RejectedByBreaker()); // The trial fails.
  BOOST_TEST(RejectedByBreaker());
  NowMs += 1'000;
  Peer.startListening();
  auto Pending = start(C, Port, {.Target = "/"});
  RawSocket Connection(Peer.acceptOne());
  Connection.readUntil("\r\n\r\n");
  BOOST_TEST(RejectedByBreaker()); // One trial at a time.
  Connection.send(OkResponse);
  BOOST_TEST(Pending.get().has_value());
  auto After = start(C, Port, {.Target = "/"});
  Connection.readUntil("\r\n\r\n");
  Connection.send(OkResponse);
  BOOST_TEST(After.get().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
