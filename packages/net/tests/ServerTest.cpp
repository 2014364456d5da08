#define BOOST_TEST_MODULE net
#include "Raw.h"
#include "Target.h"
#include "heathersaddle/net/ClientBudget.h"
#include "heathersaddle/net/Executor.h"
#include "heathersaddle/net/HttpServer.h"
#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fcntl.h>
#include <future>
#include <optional>
#include <sys/resource.h>
#include <thread>
#include <vector>

using namespace heathersaddle::net;
using test::RawSocket;

namespace {

/// A server whose handler responds with the path, drops the reply to /dropped
/// and keeps the reply to /held.
struct ServerFixture {
  explicit ServerFixture(ServerLimits Limits = {},
                         ServerProtection Protection = {},
                         unsigned ThreadCount = 2)
      : Threads(ThreadCount),
        Server(
            Threads.context(), Limits,
            [this](const Request &R, const Respond &Reply) {
              ++HandledCount;
              if (R.Path == "/dropped")
                return;
              if (R.Path == "/held")
                return HeldReply.set_value(Reply);
              if (R.Path == "/large") {
                // More than the kernel buffers on both sides.
                Response Large;
                Large.Body.resize(32'000'000, 'x');
                return Reply(std::move(Large));
              }
              if (R.Path == "/key")
                return Reply({.Body = R.Headers.contains("x-key") ? "1" : "0"});
              if (R.Path == "/size")
                return Reply({.Body = std::to_string(R.Body.size())});
              Reply({.Body = R.Path});
            },
            std::move(Protection)) {
    Port = Server.listen("127.0.0.1", 0).value();
  }
  std::string exchange(const std::string &Text) const {
    RawSocket R = RawSocket::connected(Port);
    R.send(Text);
    return R.readAll();
  }

  Executor Threads;
  std::atomic<int> HandledCount{0};
  std::promise<Respond> HeldReply;
  HttpServer Server;
  std::uint16_t Port = 0;
};

std::string getRequest(const std::string &Path, bool Close = true) {
  return "GET " + Path + " HTTP/1.1\r\nHost: x\r\n" +
         (Close ? "Connection: close\r\n\r\n" : "\r\n");
}

bool hasStatus(const std::string &Text, const std::string &Status) {
  return Text.starts_with("HTTP/1.1 " + Status + " ");
}

} // namespace

BOOST_AUTO_TEST_SUITE(Server)

BOOST_AUTO_TEST_SUITE(Limits)

// Guards against passing malformed requests to the handler.
BOOST_AUTO_TEST_CASE(AnswersMalformedRequestsWith400) {
  ServerFixture S;
  for (const char *Text :
       {"nonsense\r\n\r\n", "GET x HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /%zz HTTP/1.1\r\nConnection: close\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n"}) {
    RawSocket R = RawSocket::connected(S.Port);
    R.send(Text);
    R.shutdownSend();
    BOOST_TEST(hasStatus(R.readAll(), "400"), Text);
  }
  BOOST_TEST(S.HandledCount == 0);
}

// Guards against unbounded memory use by one request.
BOOST_AUTO_TEST_CASE(RejectsLargeBodiesAndHeaders) {
  ServerFixture S({.MaxBodyBytes = 1000, .MaxHeaderBytes = 2000});
  std::string Large(200'000, 'x');
  BOOST_TEST(hasStatus(S.exchange("POST / HTTP/1.1\r\nContent-Length: 200000"
                                  "\r\n\r\n" +
                                  Large),
                       "413"));
  BOOST_TEST(hasStatus(S.exchange("POST / HTTP/1.1\r\nTransfer-Encoding: "
                                  "chunked\r\n\r\n30d40\r\n" +
                                  Large + "\r\n0\r\n\r\n"),
                       "413"));
  BOOST_TEST(hasStatus(
      S.exchange("GET / HTTP/1.1\r\nX-Long: " + Large + "\r\n\r\n"), "431"));
  BOOST_TEST(S.HandledCount == 0);
}

// Guards against slow or idle senders that hold a connection.
BOOST_AUTO_TEST_CASE(ClosesSlowSendersAndIdleConnections) {
  ServerFixture S({.ReadTimeLimit = std::chrono::milliseconds(20),
                   .IdleTimeLimit = std::chrono::milliseconds(20)});
  BOOST_TEST(S.exchange("GET / HTTP/1.1\r\nHost:") == "");
  BOOST_TEST(S.exchange("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab") ==
             "");
  BOOST_TEST(S.exchange("") == "");
  BOOST_TEST(S.HandledCount == 0);
}

// Guards against requests of legal size whose parsed headers, parameters or
// chunks cost many times their bytes.
BOOST_AUTO_TEST_CASE(BoundsTheNumberOfFieldsParametersAndChunks) {
  ServerFixture S;
  auto Repeated = [](const std::string &Text, unsigned Times) {
    std::string Out;
    for (unsigned N = 0; N < Times; ++N)
      Out += Text;
    return Out;
  };
  BOOST_TEST(hasStatus(S.exchange("GET /f HTTP/1.1\r\nConnection: close\r\n" +
                                  Repeated("a:\r\n", 99) + "\r\n"),
                       "200"));
  BOOST_TEST(hasStatus(
      S.exchange("GET / HTTP/1.1\r\n" + Repeated("a:\r\n", 101) + "\r\n"),
      "431"));
  BOOST_TEST(S.Server.counts().OversizedRequests == 1u);
  std::string Query = "/?";
  for (unsigned N = 0; N < 65; ++N)
    Query += std::to_string(N) + "&";
  BOOST_TEST(hasStatus(S.exchange(getRequest(Query)), "400"));
  std::string Chunked = "POST /size HTTP/1.1\r\nConnection: close\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
  BOOST_TEST(S.exchange(Chunked + Repeated("1\r\nx\r\n", 1'000) + "0\r\n\r\n")
                 .ends_with("1000"));
  BOOST_TEST(hasStatus(
      S.exchange(Chunked +
                 Repeated("1;" + std::string(1'000, 'e') + "\r\nx\r\n", 300)),
      "413"));
  BOOST_TEST(S.HandledCount == 2);
}

// Guards against a sender that keeps within every time limit by a byte now and
// then, and a reader that does the same or nothing.
BOOST_AUTO_TEST_CASE(ClosesConnectionsBelowTheMinimumRate) {
  ServerFixture S({.ReadTimeLimit = std::chrono::milliseconds(60'000),
                   .HeaderTimeLimit = std::chrono::milliseconds(60'000),
                   .MinBytesPerSecond = 10'000'000,
                   .ProgressGrace = std::chrono::milliseconds(50)});
  RawSocket Sender = RawSocket::connected(S.Port);
  Sender.send("POST /size HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
  auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!S.Server.counts().SlowConnections &&
         std::chrono::steady_clock::now() < Until) {
    Sender.send("x");
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  BOOST_TEST(S.Server.counts().SlowConnections == 1u);
  RawSocket Reader = RawSocket::connected(S.Port);
  Reader.send(getRequest("/large", false));
  while (S.Server.counts().SlowConnections < 2u &&
         std::chrono::steady_clock::now() < Until)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  BOOST_TEST(S.Server.counts().SlowConnections == 2u);
  BOOST_TEST(S.exchange(getRequest("/usual")).ends_with("/usual"));
}

// Guards against running out of file descriptors.
BOOST_AUTO_TEST_CASE(RejectsConnectionsOverTheLimit) {
  ServerFixture S({.MaxConnections = 1});
  RawSocket First = RawSocket::connected(S.Port);
  First.send(getRequest("/one", false));
  BOOST_TEST(hasStatus(First.readUntil("/one"), "200"));
  BOOST_TEST(S.Server.rejectedConnections() == 0u);
  BOOST_TEST(hasStatus(RawSocket::connected(S.Port).readAll(), "503"));
  BOOST_TEST(S.Server.rejectedConnections() == 1u);
}

// Guards against a daemon that uses its processor up on attempts to accept a
// connection while it has no free descriptor.
BOOST_AUTO_TEST_CASE(WaitsForAFreeDescriptorWithoutABusyLoop) {
  ServerFixture S;
  RawSocket Kept = RawSocket::connected(S.Port);
  Kept.send(getRequest("/kept", false));
  BOOST_TEST(hasStatus(Kept.readUntil("/kept"), "200"));
  rlimit Usual{};
  BOOST_REQUIRE(getrlimit(RLIMIT_NOFILE, &Usual) == 0);
  // The descriptors below the limit are all in use.
  RawSocket Waiting;
  std::vector<int> Used;
  rlimit Low = Usual;
  Low.rlim_cur = 256;
  BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &Low) == 0);
  for (int Fd; (Fd = open("/dev/null", O_RDONLY | O_CLOEXEC)) >= 0;)
    Used.push_back(Fd);
  Waiting.connectTo(S.Port);
  Waiting.send(getRequest("/waiting"));
  // A busy loop makes many attempts in the time of each request.
  auto Start = std::chrono::steady_clock::now();
  for (unsigned N = 0; N < 500 || !S.Server.acceptFailures(); ++N) {
    Kept.send(getRequest("/kept", false));
    BOOST_REQUIRE(hasStatus(Kept.readUntil("/kept"), "200"));
  }
  std::uint64_t Failures = S.Server.acceptFailures();
  auto Took = std::chrono::steady_clock::now() - Start;
  for (int Fd : Used)
    close(Fd);
  BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &Usual) == 0);
  BOOST_TEST(Failures <= 2u + static_cast<std::uint64_t>(
                                  Took / std::chrono::milliseconds(100)));
  BOOST_TEST(Waiting.readAll().ends_with("/waiting"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HeaderChecks)

static ServerProtection withCheck(HeaderCheck Check) {
  ServerProtection P;
  P.CheckHeaders = std::move(Check);
  P.RefusalHeaders["X-Refused"] = "yes";
  return P;
}

// Guards against bodies that are kept although their request is refused.
BOOST_AUTO_TEST_CASE(AnswerBeforeTheBodyArrives) {
  ServerFixture S({}, withCheck([](const Request &R) {
                    HeaderVerdict V;
                    if (R.Path == "/unknown" || R.Headers.contains("x-bad"))
                      V.Answer = Response{.Status = 404, .Body = "early"};
                    return V;
                  }));
  RawSocket R = RawSocket::connected(S.Port);
  R.send("POST /unknown HTTP/1.1\r\nContent-Length: 100000\r\n\r\nab");
  std::string Text = R.readAll();
  BOOST_TEST(hasStatus(Text, "404"));
  BOOST_TEST(Text.find("Connection: close") != std::string::npos);
  BOOST_TEST(Text.find("X-Refused: yes") != std::string::npos);
  BOOST_TEST(Text.ends_with("early"));
  // Not if the whole request has arrived: the next one follows.
  Text = S.exchange("POST /unknown HTTP/1.1\r\nContent-Length: 2\r\n\r\nab" +
                    getRequest("/known"));
  BOOST_TEST(hasStatus(Text, "404"));
  BOOST_TEST(Text.ends_with("/known"));
  BOOST_TEST(S.Server.counts().AnsweredByHeaders == 2u);
  BOOST_TEST(S.HandledCount == 1);
}

// Guards against a handler that trusts a field which was not there when the
// headers were checked.
BOOST_AUTO_TEST_CASE(TrailersAreNotHeaders) {
  ServerFixture S;
  BOOST_TEST(S.exchange("POST /key HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                        "Connection: close\r\n\r\n2\r\nab\r\n0\r\nx-key: a"
                        "\r\n\r\n")
                 .ends_with("\r\n\r\n0"));
  BOOST_TEST(S.exchange("GET /key HTTP/1.1\r\nConnection: close\r\n"
                        "X-Key: a\r\n\r\n")
                 .ends_with("\r\n\r\n1"));
}

// Guards against memory for bodies that no handler reads.
BOOST_AUTO_TEST_CASE(DropBodiesThatAreNotNeeded) {
  ServerFixture S({}, withCheck([](const Request &) {
                    return HeaderVerdict{.NeedsBody = false};
                  }));
  BOOST_TEST(S.exchange("POST /size HTTP/1.1\r\nContent-Length: 3\r\n"
                        "Connection: close\r\n\r\nabc")
                 .ends_with("\r\n\r\n0"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithABudget)

static ServerProtection withBudget(BudgetLimits Limits) {
  ServerProtection P;
  P.Budget = std::make_shared<ClientBudget>(Limits);
  P.Class = ClientClass::Callers;
  P.RefusalHeaders["X-Refused"] = "yes";
  P.SocketBufferBytes = 16'384;
  P.Backlog = 64;
  return P;
}

static bool isTruthfulRefusal(const std::string &Text) {
  return hasStatus(Text, "503") &&
         Text.find("Retry-After: 1\r\n") != std::string::npos &&
         Text.find("X-Refused: yes\r\n") != std::string::npos &&
         Text.find("Connection: close\r\n") != std::string::npos &&
         Text.find("not_run") != std::string::npos;
}

// Guards against bodies that stop before their end and together use up the
// memory of the host.
BOOST_AUTO_TEST_CASE(RefusesBodiesWithoutRoom) {
  // Callers may hold 1,120 KB, of which 840 KB in large requests.
  ServerFixture S({}, withBudget({1'600UL * 1024, 1'000}), 1);
  std::string Start = "POST /size HTTP/1.1\r\nContent-Length: 200001\r\n\r\n" +
                      std::string(200'000, 'x');
  std::vector<RawSocket> Kept(8);
  unsigned Refused = 0;
  for (RawSocket &R : Kept) {
    R.connectTo(S.Port);
    R.send(Start);
  }
  // Each gets its refusal, or is complete when its last byte arrives.
  for (RawSocket &R : Kept) {
    R.send("x");
    R.shutdownSend();
    std::string Text = R.readAll();
    Refused += isTruthfulRefusal(Text);
    BOOST_TEST((isTruthfulRefusal(Text) || Text.ends_with("200001")), Text);
  }
  BOOST_TEST(Refused >= 1u);
  // Each is charged for a second copy, which handling it takes.
  BOOST_TEST(S.HandledCount >= 1);
  BOOST_TEST(S.HandledCount <= 2);
  BOOST_TEST(static_cast<unsigned>(S.HandledCount) + Refused == Kept.size());
  BOOST_TEST(S.exchange(getRequest("/usual")).ends_with("/usual"));
}

// Guards against a process without descriptors.
BOOST_AUTO_TEST_CASE(ClosesIdleConnectionsForNewOnes) {
  auto Protection = withBudget({64UL * 1024 * 1024, 20});
  auto Budget = Protection.Budget;
  ServerFixture S({}, std::move(Protection), 1);
  std::vector<RawSocket> Kept(7);
  for (RawSocket &R : Kept) {
    R.connectTo(S.Port);
    R.send(getRequest("/kept", false));
    BOOST_TEST(R.readUntil("/kept").ends_with("/kept"));
  }
  // All are fresh, so the next one is refused.
  std::string Text = S.exchange(getRequest("/new"));
  BOOST_TEST((isTruthfulRefusal(Text) || Text.ends_with("/new")));
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  BOOST_TEST(S.exchange(getRequest("/new")).ends_with("/new"));
  BOOST_TEST(Kept[0].readAll() == "");
  Kept[6].send(getRequest("/kept"));
  BOOST_TEST(Kept[6].readAll().ends_with("/kept"));
}

// Guards against incomplete requests that keep all connections, and against
// ending them without telling their clients that they were not run.
BOOST_AUTO_TEST_CASE(RefusesStalledRequestsForNewOnes) {
  ServerFixture S({}, withBudget({64UL * 1024 * 1024, 20}), 1);
  std::vector<RawSocket> Kept(7);
  for (RawSocket &R : Kept) {
    R.connectTo(S.Port);
    R.send("POST /size HTTP/1.1\r\nContent-Length: 2\r\n\r\na");
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(1'100));
  BOOST_TEST(S.exchange(getRequest("/new")).ends_with("/new"));
  BOOST_TEST(isTruthfulRefusal(Kept[0].readAll()));
  Kept[6].send("b");
  BOOST_TEST(Kept[6].readUntil("\r\n\r\n2").ends_with("\r\n\r\n2"));
}

// Guards against socket buffers so small that legal requests take seconds.
BOOST_AUTO_TEST_CASE(ReceivesLargeBodiesInReasonableTime) {
  ServerFixture S({}, withBudget({64UL * 1024 * 1024, 100}), 1);
  std::string Text = "POST /size HTTP/1.1\r\nContent-Length: 262144\r\n"
                     "Connection: close\r\n\r\n" +
                     std::string(262'144, 'x');
  auto Start = std::chrono::steady_clock::now();
  BOOST_TEST(S.exchange(Text).ends_with("262144"));
  auto Took = std::chrono::steady_clock::now() - Start;
  BOOST_TEST_MESSAGE(
      "256 KB took "
      << std::chrono::duration_cast<std::chrono::milliseconds>(Took).count()
      << " ms");
  BOOST_TEST((Took < std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Exchanges)

// Guards against losing the response to a caller that has closed its sending
// side.
BOOST_AUTO_TEST_CASE(AnswersHalfClosedConnections) {
  ServerFixture S;
  RawSocket R = RawSocket::connected(S.Port);
  R.send(getRequest("/half", false));
  R.shutdownSend();
  BOOST_TEST(R.readAll().ends_with("/half"));
}

// Guards against handling an incomplete request.
BOOST_AUTO_TEST_CASE(DoesNotHandleIncompleteRequests) {
  ServerFixture S;
  RawSocket R = RawSocket::connected(S.Port);
  R.send("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nab");
  R.shutdownSend();
  BOOST_TEST(R.readAll() == "");
  BOOST_TEST(S.HandledCount == 0);
}

// Guards against a process that a client ends by sending the last chunk in
// pieces: an assertion of Boost.Beast fails on some lengths.
BOOST_AUTO_TEST_CASE(AcceptsChunksInPiecesOfAnySize) {
  ServerFixture S;
  const std::string Header = "POST /size HTTP/1.1\r\nConnection: close\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Body :
       {std::string("0\r\n\r\n"), std::string("0;e\r\nt: v\r\n\r\n"),
        std::string("2\r\nab\r\n0\r\n\r\n"),
        std::string("1;e=f\r\na\r\n1\r\nb\r\n0\r\nt: v\r\n\r\n")})
    for (std::size_t Split = 0; Split < Body.size(); ++Split) {
      RawSocket R = RawSocket::connected(S.Port);
      R.send(Header + Body.substr(0, Split));
      std::this_thread::sleep_for(std::chrono::milliseconds(3));
      R.send(Body.substr(Split, 1));
      std::this_thread::sleep_for(std::chrono::milliseconds(3));
      R.send(Body.substr(Split + 1));
      BOOST_TEST(R.readAll().ends_with(Body[0] == '0' ? "\r\n0" : "\r\n2"),
                 Body << " split after " << Split);
    }
}

// Guards against a request that is refused, or ends the process, since its
// bytes arrive in unusual pieces. Runs on one thread, so that each piece is
// read before the next one is sent.
BOOST_AUTO_TEST_CASE(ReadsRequestsWhereverTheyAreCut) {
  boost::asio::io_context Context;
  std::vector<std::string> Bodies;
  HttpServer Server(Context, {}, [&](Request R, const Respond &Reply) {
    Bodies.push_back(std::move(R.Body));
    Reply({.Body = "done"});
  });
  auto Port = Server.listen("127.0.0.1", 0).value();
  auto Run = [&] {
    while (Context.poll())
      ;
    Context.restart();
  };
  const std::string Post = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string Chunked = Post + "Transfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> Cases[] = {
      {"GET /a?b=%41 HTTP/1.1\r\nHost: h\r\n\r\n", ""},
      {Post + "Content-Length: 5\r\n\r\nhello", "hello"},
      {Post + "Content-Length: 0\r\n\r\n", ""},
      {Chunked + "0\r\n\r\n", ""},
      {Chunked + "000\r\n\r\n", ""},
      {Chunked + "0;a=b;c=\"d\"\r\nT: v\r\n\r\n", ""},
      {Chunked + "2;e=f\r\nhe\r\n3\r\nllo\r\n0;g\r\nT: v\r\nU: w\r\n\r\n",
       "hello"}};
  for (const auto &[Text, Body] : Cases)
    for (std::size_t First = 0; First < Text.size(); ++First)
      for (std::size_t Bytes : {1UL, 2UL, Text.size()}) {
        RawSocket R = RawSocket::connected(Port);
        R.sendInPieces();
        Run();
        for (std::size_t At = 0, Size = First; At < Text.size();
             At += Size, Size = Bytes) {
          R.send(Text.substr(At, Size));
          Run();
        }
        for (int Tries = 0; Bodies.empty() && Tries < 1'000; ++Tries) {
          Context.run_one_for(std::chrono::milliseconds(10));
          Context.restart();
        }
        Run();
        BOOST_REQUIRE_MESSAGE(Bodies.size() == 1,
                              Text << " cut after " << First);
        BOOST_TEST(Bodies[0] == Body);
        Bodies.clear();
        BOOST_TEST(hasStatus(R.readUntil("done"), "200"));
      }
}

// Guards against responses in the wrong order on one connection.
BOOST_AUTO_TEST_CASE(AnswersPipelinedRequestsInOrder) {
  ServerFixture S;
  std::string Text = S.exchange(getRequest("/a", false) + getRequest("/b"));
  BOOST_TEST(Text.find("/a") < Text.find("/b"));
  BOOST_TEST(Text.ends_with("/b"));
}

// Guards against a caller that waits forever because the reply was dropped.
BOOST_AUTO_TEST_CASE(AnswersDroppedRepliesWith500) {
  ServerFixture S;
  BOOST_TEST(hasStatus(S.exchange(getRequest("/dropped")), "500"));
}

// Guards against telling that a job has not run although the handler had begun
// to carry out the request before it dropped the reply.
BOOST_AUTO_TEST_CASE(TellsNotRunOnlyIfTheHandlerWasNotCalled) {
  ServerFixture S;
  BOOST_TEST(S.exchange(getRequest("/dropped")).find("not_run") ==
             std::string::npos);
  BOOST_TEST(S.HandledCount == 1);
  BOOST_TEST(S.exchange(getRequest("/%zz")).find("not_run") !=
             std::string::npos);
  BOOST_TEST(S.HandledCount == 1);
}

// Guards against uploads that stall because the client waits for 100 Continue.
BOOST_AUTO_TEST_CASE(AnswersExpectHeaderWith100) {
  ServerFixture S;
  RawSocket R = RawSocket::connected(S.Port);
  R.send("POST /up HTTP/1.1\r\nContent-Length: 2\r\nConnection: close\r\n"
         "Expect: 100-continue\r\n\r\n");
  BOOST_TEST(hasStatus(R.readUntil("\r\n\r\n"), "100"));
  R.send("ab");
  BOOST_TEST(R.readAll().ends_with("/up"));
}

// Guards against carrying out a request whose caller has given up, as one that
// a daemon reads after it was frozen: its caller may have been refused
// elsewhere.
BOOST_AUTO_TEST_CASE(HandlerSeesThatTheCallerHasClosedTheConnection) {
  Executor Threads{1};
  std::promise<void> MayHandle;
  std::vector<bool> Seen;
  HttpServer Server(Threads.context(), {},
                    [&](const Request &R, const Respond &Reply) {
                      if (R.Path == "/wait")
                        MayHandle.get_future().wait();
                      Seen.push_back(R.IsCallerConnected());
                      Reply({.Body = R.Path});
                    });
  auto Port = Server.listen("127.0.0.1", 0).value();
  RawSocket Waiting = RawSocket::connected(Port);
  Waiting.send(getRequest("/wait", false));
  // While the only thread is blocked, one caller closes the connection, one
  // its sending side, one closes behind two requests, and one stays.
  RawSocket Closed = RawSocket::connected(Port);
  Closed.send(getRequest("/closed"));
  Closed.close();
  RawSocket Half = RawSocket::connected(Port);
  Half.send(getRequest("/half"));
  Half.shutdownSend();
  RawSocket Behind = RawSocket::connected(Port);
  Behind.send(getRequest("/behind", false) + getRequest("/behind"));
  Behind.shutdownSend();
  RawSocket Staying = RawSocket::connected(Port);
  Staying.send(getRequest("/staying"));
  MayHandle.set_value();
  BOOST_TEST(Waiting.readUntil("/wait").ends_with("/wait"));
  // A caller that has closed only its sending side still gets an answer.
  BOOST_TEST(Half.readAll().ends_with("/half"));
  BOOST_TEST(Behind.readAll().ends_with("/behind"));
  BOOST_TEST(Staying.readAll().ends_with("/staying"));
  Threads.stop();
  BOOST_TEST(std::count(Seen.begin(), Seen.end(), true) == 2);
  BOOST_TEST(std::count(Seen.begin(), Seen.end(), false) == 4);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a graceful stop that interrupts requests in progress.
BOOST_AUTO_TEST_CASE(DrainFinishesRequestsInProgress) {
  ServerFixture S;
  RawSocket Busy = RawSocket::connected(S.Port);
  RawSocket Idle = RawSocket::connected(S.Port);
  Idle.send(getRequest("/idle", false));
  Idle.readUntil("/idle");
  Busy.send(getRequest("/held", false));
  Respond Reply = S.HeldReply.get_future().get();
  std::promise<void> Done;
  auto Drained = Done.get_future();
  S.Server.drain([&Done] { Done.set_value(); });
  BOOST_TEST(Idle.readAll() == "");
  BOOST_TEST((Drained.wait_for(std::chrono::seconds(0)) ==
              std::future_status::timeout));
  BOOST_CHECK_THROW(RawSocket::connected(S.Port), std::runtime_error);
  Reply({.Body = "kept"});
  Reply = nullptr;
  BOOST_TEST(Busy.readAll().ends_with("kept"));
  Drained.get();
}

// Guards against ambiguous request targets that another program would read
// differently.
BOOST_AUTO_TEST_CASE(SplitsAndDecodesValidTargetsOnly) {
  auto T = parseTarget("/v1/a%20b?x=1%262&y=+");
  BOOST_REQUIRE(T);
  BOOST_TEST(T->Path == "/v1/a b");
  BOOST_TEST(T->Query["x"] == "1&2");
  BOOST_TEST(T->Query["y"] == " ");
  for (const char *Malformed :
       {"", "x", "/%", "/%0", "/%00", "/?a=1&a=2", "/?%"})
    BOOST_TEST(!parseTarget(Malformed), Malformed);
  BOOST_TEST(parseHostPort("[::1]:80")->Host == "::1");
  for (const char *Malformed :
       {"", ":1", "h", "h:", "h:0", "h:65536", "::1:80"})
    BOOST_TEST(!parseHostPort(Malformed), Malformed);
}

BOOST_AUTO_TEST_SUITE_END()
