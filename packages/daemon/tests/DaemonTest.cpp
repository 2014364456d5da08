#include "heathersaddle/daemon/Daemon.h"
#include "LogStandIn.h"
#include "heathersaddle/base/Hash.h"
#include "heathersaddle/net/HttpClient.h"
#include <boost/test/unit_test.hpp>
#include <functional>
#include <future>

using namespace heathersaddle;
using namespace heathersaddle::daemon;
using test::LogStandIn;

namespace {

constexpr const char *JobBody = R"({"shape":{},"kind":"render"})";

/// A complete daemon in this process, accessed over real sockets.
struct DaemonFixture {
  explicit DaemonFixture(LogStandIn &Log, const std::string &Name = "entry1")
      : Log(Log) {
    Settings S;
    S.ListenPort = 0;
    S.LogAddress = Log.Address;
    S.OperatorTokenSha256 = base::sha256Hex("operator");
    S.PeerKey = "0123456789abcdef";
    S.DrainDelay = {};
    S.Node.Name = Name;
    S.Node.DataCentre = "dc1";
    S.Node.ReadWait = base::Millis(1'000);
    TestedDaemon.emplace(S);
    Address = "127.0.0.1:" + std::to_string(TestedDaemon->start().value());
    await([this] { return get("/readyz", "").Status == 200; });
    await([this, &Name] {
      return get("/v1/pool", "operator").Body.find("\"owner\":\"" + Name) !=
             std::string::npos;
    });
    // Until a worker is up, every job ends because no worker can run it.
    await([this] {
      return get("/v1/pool", "operator").Body.find("\"up\":1") !=
             std::string::npos;
    });
  }
  /// Polls until \p Done returns true. Between polls it waits for the daemon's
  /// next request to the LogStandIn, which leaves the CPU to the daemon.
  void await(const std::function<bool()> &Done) {
    auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(90);
    while (!Done()) {
      BOOST_REQUIRE(std::chrono::steady_clock::now() < Until);
      Log.awaitCall();
    }
  }
  net::ClientResponse send(net::ClientRequest R, const std::string &Token) {
    if (!Token.empty())
      R.Headers["Authorization"] = "Bearer " + Token;
    R.TimeLimit = std::chrono::milliseconds(60'000);
    net::BlockingClient Client;
    auto Got = Client.send(Address, std::move(R));
    BOOST_REQUIRE_MESSAGE(Got, (Got ? "" : Got.error().toString()));
    return *Got;
  }
  net::ClientResponse get(const std::string &Target, const std::string &Token) {
    return send({.Target = Target}, Token);
  }
  net::ClientResponse post(const std::string &Target, const std::string &Token,
                           const std::string &Body,
                           const std::string &Key = "") {
    net::ClientRequest R{.Method = "POST", .Target = Target, .Body = Body};
    if (!Key.empty())
      R.Headers["Idempotency-Key"] = Key;
    return send(std::move(R), Token);
  }
  /// Publishes one plan without a guarantee and two accounts with it.
  void addAccounts() {
    auto Plans = post("/v1/lists/plans", "operator",
                      R"({"base":0,"plans":[{"name":"basic"}]})");
    BOOST_REQUIRE_MESSAGE(Plans.Status == 200, Plans.Body);
    std::string List;
    for (const char *Name : {"maison-a", "maison-b"})
      List += std::string(List.empty() ? "" : ",") + R"({"account":")" + Name +
              R"(","plan":"basic","token_sha256":")" +
              base::sha256Hex(std::string(Name) + "-token") + "\"}";
    auto Customers = post("/v1/lists/customers", "operator",
                          R"({"base":0,"customers":[)" + List + "]}");
    BOOST_REQUIRE_MESSAGE(Customers.Status == 200, Customers.Body);
  }
  std::string submit(const std::string &Key) {
    auto R = post("/v1/jobs", "maison-a-token", JobBody, Key);
    BOOST_REQUIRE_MESSAGE(R.Status == 202, R.Body);
    auto Value = base::parseJson(R.Body, "test");
    return std::string(Value->at("job").as_string());
  }

  LogStandIn &Log;
  std::optional<Daemon> TestedDaemon;
  std::string Address;
};

} // namespace

BOOST_AUTO_TEST_SUITE(WholeDaemon)

// Guards against accounts that can see each other's jobs. Uses the real state.
BOOST_AUTO_TEST_CASE(ForeignJobsAreNotFound) {
  LogStandIn Log;
  DaemonFixture S(Log);
  S.addAccounts();
  std::string Id = S.submit("k1");
  BOOST_TEST(S.submit("k1") == Id);
  BOOST_TEST(S.post("/v1/jobs", "maison-a-token",
                    R"({"shape":{},"kind":"other"})", "k1")
                 .Status == 409u);
  auto Own = S.get("/v1/jobs/" + Id, "maison-a-token");
  BOOST_TEST(Own.Status == 200u);
  for (const char *Path : {"", "/explain"}) {
    auto Foreign = S.get("/v1/jobs/" + Id + Path, "maison-b-token");
    auto Unknown = S.get(std::string("/v1/jobs/none") + Path, "maison-b-token");
    BOOST_TEST(Foreign.Status == 404u);
    BOOST_TEST(Foreign.Body == Unknown.Body);
  }
  BOOST_TEST(
      S.post("/v1/jobs/" + Id + "/cancel", "maison-b-token", "").Status ==
      404u);
  auto Pool = S.get("/v1/pool", "maison-b-token");
  BOOST_TEST(Pool.Status == 200u);
  BOOST_TEST(Pool.Body.find("maison-a") == std::string::npos);
}

// Guards against accepting two lists published on the same base version.
BOOST_AUTO_TEST_CASE(StaleOrInvalidListIsRejected) {
  LogStandIn Log;
  DaemonFixture S(Log);
  S.addAccounts();
  auto Lost = S.post("/v1/lists/plans", "operator",
                     R"({"base":0,"plans":[{"name":"other"}]})");
  BOOST_TEST(Lost.Status == 409u);
  BOOST_TEST(Lost.Body.find(R"("version":1)") != std::string::npos, Lost.Body);
  auto Invalid = S.post("/v1/lists/plans", "operator",
                        R"({"base":1,"plans":[]})"); // Accounts use it.
  BOOST_TEST(Invalid.Status == 409u);
  auto Plans = S.get("/v1/lists/plans", "operator");
  BOOST_TEST(Plans.Body.find("basic") != std::string::npos);
  BOOST_TEST(S.get("/v1/lists/history", "operator").Status == 200u);
}

// Guards against metrics that are declared but never set.
BOOST_AUTO_TEST_CASE(TrafficAndProcessMetricsAreSet) {
  LogStandIn Log;
  DaemonFixture S(Log);
  std::string Text = S.get("/metrics", "").Body;
  for (const char *Start :
       {"heathersaddle_control_bytes_total{kind=\"log\",direction=\"in\"} ",
        "heathersaddle_control_bytes_total{kind=\"log\",direction=\"out\"} ",
        "heathersaddle_process_cpu_seconds_total ",
        "heathersaddle_control_cpu_seconds_total ",
        "heathersaddle_process_resident_bytes ",
        "heathersaddle_caller_bytes_total{direction=\"in\"} "}) {
    std::size_t At = Text.find("\n" + std::string(Start));
    BOOST_REQUIRE_MESSAGE(At != std::string::npos, Start);
    BOOST_TEST(std::stod(Text.substr(At + 1 + std::string(Start).size())) > 0,
               Start);
  }
}

// Guards against answering a submission with "not run" or not at all during a
// log outage, and against jobs that cannot be read during it.
BOOST_AUTO_TEST_CASE(LogOutageRejectsSubmissionsButServesReads) {
  LogStandIn Log;
  DaemonFixture S(Log);
  S.addAccounts();
  std::string Id = S.submit("before");
  Log.setDown(true);
  net::ClientResponse R;
  S.await([&] {
    R = S.post("/v1/jobs", "maison-a-token", JobBody, "during");
    return R.Status != 202;
  });
  BOOST_TEST(R.Status == 503u, R.Body);
  BOOST_TEST(R.Headers.contains("retry-after"));
  BOOST_TEST(S.get("/v1/jobs/" + Id, "maison-a-token").Status == 200u);
  Log.setDown(false);
  S.await([&] {
    return S.post("/v1/jobs", "maison-a-token", JobBody, "during").Status ==
           202;
  });
}

// Guards against a start that never succeeds because a read of the log exceeds
// the response size limit.
BOOST_AUTO_TEST_CASE(StartsOnALogOfLargeRecords) {
  LogStandIn Log;
  for (int N = 0; N < 100; ++N)
    Log.addRecord("control", std::string(200'000, 'x'));
  DaemonFixture S(Log);
  BOOST_TEST(S.get("/readyz", "").Status == 200u);
}

// Guards against a start that never succeeds because a read of the log takes
// longer than its time limit.
BOOST_AUTO_TEST_CASE(StartsOnASlowLogByReadingFewerRecords) {
  LogStandIn Log;
  for (int N = 0; N < 8; ++N)
    Log.addRecord("control", "x");
  Log.setReadTimePerRecord(std::chrono::milliseconds(900));
  DaemonFixture S(Log);
  BOOST_TEST(S.get("/readyz", "").Status == 200u);
}

// Guards against a graceful stop that interrupts requests, never ends or does
// not record that the daemon has left.
BOOST_AUTO_TEST_CASE(GracefulStopAnswersWaitingRequests) {
  LogStandIn Log;
  DaemonFixture S(Log);
  S.addAccounts();
  std::string Id = S.submit("k1");
  auto Waiting = std::async(std::launch::async, [&S, &Id] {
    net::ClientRequest R{
        .Target = "/v1/jobs/" + Id + "?wait_ms=60000",
        .Headers = {{"Authorization", "Bearer maison-a-token"}},
        .TimeLimit = std::chrono::milliseconds(60'000)};
    net::BlockingClient Client;
    return Client.send(S.Address, R);
  });
  // The daemon counts this request and the waiting one.
  S.await([&S] {
    return S.get("/metrics", "")
               .Body.find("heathersaddle_requests_in_progress 2") !=
           std::string::npos;
  });
  S.TestedDaemon->requestStop();
  BOOST_TEST(S.TestedDaemon->wait() == 0);
  auto Answer = Waiting.get();
  BOOST_REQUIRE(Answer);
  BOOST_TEST(Answer->Status == 200u);
  BOOST_TEST(Answer->Body.find("\"status\":\"ended\"") == std::string::npos,
             Answer->Body);
  BOOST_TEST(Log.contains("daemon_left"));
}

BOOST_AUTO_TEST_SUITE_END()
