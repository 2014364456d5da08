#include "heathersaddle/standin/Standin.h"
#include "heathersaddle/net/HttpClient.h"
#include "heathersaddle/standin/TaskKinds.h"
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace heathersaddle;
using namespace heathersaddle::standin;
namespace json = boost::json;

namespace {

struct Answer {
  unsigned Status = 0; ///< 0: no answer arrived.
  json::value Body;
};

/// A stand-in with one data centre and two workers, on a thread of its own.
struct RunningStandin {
  boost::asio::io_context Io{1};
  Standin Platform{Io, {.DataCentres = 1, .Racks = 1, .WorkersPerRack = 2}};
  std::string MainAddress;
  std::vector<std::string> Workers;
  std::thread Thread;

  RunningStandin() {
    auto Port = Platform.start();
    BOOST_REQUIRE(Port);
    MainAddress = "127.0.0.1:" + std::to_string(*Port);
    Thread = std::thread([this] { Io.run(); });
    json::value Body = get("/v1/hosts").Body;
    for (const json::value &H : Body.at("hosts").as_array())
      Workers.emplace_back(H.at("address").as_string());
  }
  ~RunningStandin() {
    Io.stop();
    Thread.join();
  }

  static Answer send(const std::string &To, const std::string &Method,
                     const std::string &Target, const std::string &Body,
                     int LimitMs = 10'000) {
    net::BlockingClient Client;
    net::ClientRequest R{Method, Target, {}, Body};
    R.TimeLimit = base::Millis(LimitMs);
    auto Reply = Client.send(To, R);
    if (!Reply)
      return {0, json::value(base::name(Reply.error().Code))};
    return {Reply->Status, json::parse(Reply->Body)};
  }
  Answer get(const std::string &Target) {
    return send(MainAddress, "GET", Target, "");
  }
  Answer append(const std::string &Record) {
    return send(MainAddress, "POST", "/v1/streams/control/append",
                json::serialize(json::object{
                    {"records", json::array{json::value(Record)}}}));
  }
  void faults(const json::object &Switches) {
    auto A = send(MainAddress, "POST", "/v1/faults", json::serialize(Switches));
    BOOST_REQUIRE_EQUAL(A.Status, 200U);
  }
  Answer sync(unsigned Worker, std::int64_t Epoch, std::int64_t LeaseUntil,
              std::int64_t After, std::int64_t WaitMs, int LimitMs = 10'000) {
    return send(Workers[Worker], "POST", "/v1/sync",
                json::serialize(json::object{{"cell", "dc-1"},
                                             {"epoch", Epoch},
                                             {"owner", "d"},
                                             {"lease_until_ms", LeaseUntil},
                                             {"after", After},
                                             {"wait_ms", WaitMs}}),
                LimitMs);
  }
  std::int64_t lease(unsigned Worker) {
    auto Clock = sync(Worker, 1, 0, 0, 0).Body.at("clock_ms").as_int64();
    sync(Worker, 1, Clock + 600'000, 0, 0);
    return Clock + 600'000;
  }
  Answer start(unsigned Worker, const std::string &Job,
               const std::string &Kind) {
    json::object Command{{"op", "start"}, {"job", Job},     {"attempt", 1},
                         {"task", 0},     {"tasks", 1},     {"slots", "1"},
                         {"kind", Kind},  {"input", "text"}};
    return send(
        Workers[Worker], "POST", "/v1/commands",
        json::serialize(json::object{{"cell", "dc-1"},
                                     {"epoch", 1},
                                     {"owner", "d"},
                                     {"commands", json::array{Command}}}));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LogOverHttp, RunningStandin)

// Guards against a waiting read that an append does not answer, so that its
// reader receives the record only with the next poll.
BOOST_AUTO_TEST_CASE(AppendAnswersWaitingRead) {
  auto Read = std::async(std::launch::async, [this] {
    return get("/v1/streams/control/records?from=0&max=10&wait_ms=60000");
  });
  BOOST_TEST(append("one").Body.at("first").as_int64() == 0);
  Answer A = Read.get();
  BOOST_TEST(A.Status == 200U);
  BOOST_TEST(A.Body.at("records").as_array()[0].as_string() == "one");
}

// Guards against a stand-in that loses the record together with the answer:
// the daemons' handling of duplicates would then never be exercised.
BOOST_AUTO_TEST_CASE(LostAnswerStillAppends) {
  faults({{"log_lose_answers", 1}});
  BOOST_TEST(append("one").Status == 503U);
  BOOST_TEST(append("two").Body.at("first").as_int64() == 1);
}

// Guards against an outage or a trim that the replies do not show.
BOOST_AUTO_TEST_CASE(OutageAndTrimAreReported) {
  append("one");
  append("two");
  faults({{"trim_stream", "control"}, {"trim_before", 1}});
  Answer A = get("/v1/streams/control/records?from=0");
  BOOST_TEST(A.Status == 410U);
  BOOST_TEST(A.Body.at("oldest").as_int64() == 1);
  faults({{"log_down", true}});
  BOOST_TEST(append("three").Status == 503U);
  BOOST_TEST(get("/v1/streams/control/records?from=1").Status == 503U);
  faults({{"log_down", false}});
  BOOST_TEST(append("three").Body.at("first").as_int64() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WorkersOverHttp, RunningStandin)

// Guards against an answer that a checker cannot verify, and an audit that
// misses a run.
BOOST_AUTO_TEST_CASE(TaskRunsAndIsAudited) {
  auto Lease = lease(0);
  BOOST_TEST(start(0, "j", "sleep:1").Status == 200U);
  std::int64_t After = 0;
  std::string Finished;
  while (Finished.empty()) {
    Answer A = sync(0, 1, Lease, After, 60'000);
    BOOST_REQUIRE(A.Status == 200U);
    for (const json::value &E : A.Body.at("events").as_array())
      if (E.at("event").as_string() == "finished")
        Finished = E.at("answer").as_string();
    After = A.Body.at("cursor").as_int64();
  }
  BOOST_TEST(Finished == "0/1:fa04f4ef1995407e:text");
  json::value Audit = get("/v1/audit").Body;
  const json::value &Run = Audit.at("runs").as_array().at(0);
  BOOST_TEST(Run.at("job").as_string() == "j");
  BOOST_TEST(Run.at("ended").as_string() == "finished");
  BOOST_TEST(Audit.at("owners").as_array().size() == 1U);
}

// Guards against a superseded owner whose sync keeps waiting.
BOOST_AUTO_TEST_CASE(HigherEpochEndsWaitingSync) {
  lease(0);
  auto Old = std::async(std::launch::async,
                        [this] { return sync(0, 1, 0, 0, 60'000, 90'000); });
  unsigned Status = 0;
  for (std::int64_t Epoch = 2; Status == 0 || Status == 200; ++Epoch) {
    sync(0, Epoch, 0, 0, 0);
    if (Old.wait_for(base::Millis(10)) == std::future_status::ready)
      Status = Old.get().Status;
  }
  BOOST_TEST(Status == 409U);
}

// Guards against sending the whole list on every poll, and against a change
// that the incremental form omits.
BOOST_AUTO_TEST_CASE(HostListSinceVersionHasOnlyChanges) {
  auto Since = [this](const json::value &Seen) {
    return get("/v1/hosts?since=" + std::string(Seen.at("version").as_string()))
        .Body;
  };
  json::value Whole = get("/v1/hosts").Body;
  json::value Same = Since(Whole);
  BOOST_TEST(Same.at("hosts").as_array().empty());
  BOOST_TEST(Same.at("gone").as_array().empty());
  faults({{"worker", "dc-1-r1-w1"}, {"host_state", "leaving"}});
  faults({{"worker", "dc-1-r1-w2"}, {"host_state", "gone"}});
  json::value Next = Since(Whole);
  BOOST_REQUIRE(Next.at("hosts").as_array().size() == 1U);
  BOOST_TEST(Next.at("hosts").at(0).at("name").as_string() == "dc-1-r1-w1");
  BOOST_TEST(Next.at("hosts").at(0).at("state").as_string() == "leaving");
  BOOST_REQUIRE(Next.at("gone").as_array().size() == 1U);
  BOOST_TEST(Next.at("gone").at(0).as_string() == "dc-1-r1-w2");
  BOOST_TEST(Since(Next).at("hosts").as_array().empty());
  json::value Unknown = get("/v1/hosts?since=other-1").Body;
  BOOST_TEST(Unknown.at("hosts").as_array().size() == 1U);
  BOOST_TEST(!Unknown.as_object().contains("gone"));
}

// Guards against injected faults without an effect on the worker's replies.
BOOST_AUTO_TEST_CASE(WorkerFaultsTakeEffect) {
  auto Boot = sync(0, 1, 0, 0, 0).Body.at("boot").as_int64();
  faults({{"worker", "dc-1-r1-w1"}, {"restart", true}});
  BOOST_TEST(sync(0, 1, 0, 0, 0).Body.at("boot").as_int64() != Boot);
  faults({{"worker", "dc-1-r1-w1"}, {"down", true}});
  BOOST_TEST(sync(0, 1, 0, 0, 0).Status == 0U);
  BOOST_TEST(sync(1, 1, 0, 0, 0).Status == 200U);
  faults({{"worker", "dc-1-*"}, {"down", false}});
  BOOST_TEST(sync(0, 1, 0, 0, 0).Status == 200U);
  faults({{"worker", "dc-1-r1-w2"}, {"cut_from", "d"}});
  BOOST_TEST(sync(1, 1, 0, 0, 0, 50).Status == 0U);
  faults({{"worker", "dc-1-r1-w2"}, {"cut_from", ""}});
  BOOST_TEST(sync(1, 1, 0, 0, 0).Status == 200U);
  faults({{"worker", "dc-1-*"}, {"failing", true}, {"twice", true}});
  lease(0);
  start(0, "j", "echo");
  Answer First = sync(0, 1, 0, 0, 0);
  Answer Second = sync(0, 1, 0, 0, 0);
  auto Count = First.Body.at("events").as_array().size();
  BOOST_TEST(Count > 0U);
  BOOST_TEST(Second.Body.at("events").as_array().size() == 2 * Count);
  BOOST_TEST(json::serialize(Second.Body).find("fails every task") !=
             std::string::npos);
}

// Guards against a host list that does not reflect state changes, and against
// a misspelt fault that is silently ignored.
BOOST_AUTO_TEST_CASE(HostStateFaultChangesListAndInvalidFaultIsRejected) {
  faults({{"worker", "dc-1-r1-w1"}, {"host_state", "leaving"}});
  faults({{"worker", "dc-1-r1-w2"}, {"host_state", "gone"}});
  json::value Body = get("/v1/hosts").Body;
  BOOST_REQUIRE(Body.at("hosts").as_array().size() == 1U);
  BOOST_TEST(Body.at("hosts").as_array()[0].at("state").as_string() ==
             "leaving");
  for (std::string Wrong : {R"({"log_dwon":true})", R"({"down":true})",
                            R"({"worker":"nobody","down":true})",
                            R"({"worker":"dc-1-*","host_state":"away"})"})
    BOOST_TEST(send(MainAddress, "POST", "/v1/faults", Wrong).Status == 400U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TaskKindsTest)

// Guards against a misspelt kind whose task succeeds.
BOOST_AUTO_TEST_CASE(UnknownOrMalformedKindFails) {
  for (std::string Kind : {"ehco", "sleep", "sleep:", "sleep:1x", "echo:5",
                           "sleep:-1", "fail", "fail:3"})
    BOOST_TEST(!standardBehaviour({Kind, "text"}).Success);
  BOOST_TEST(standardBehaviour({"sleep:20", "text"}).RunTime.count() == 20);
  BOOST_TEST(standardBehaviour({"large:9", "text"}).Answer.size() == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
