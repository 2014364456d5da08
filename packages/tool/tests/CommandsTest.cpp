#include "ScriptedServers.h"
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::tool;

namespace {

struct SubmitFixture : Fixture {
  SubmitFixture() { Args.Command = Verb::Submit; }
};
struct WaitFixture : Fixture {
  WaitFixture() {
    Args.Command = Verb::Wait;
    Args.Job = "j";
    Args.TimeLimit = base::Millis(1000);
  }
};

const std::string Accepted = R"({"job":"j-1","status":"pending"})";

} // namespace

BOOST_AUTO_TEST_SUITE(CallRetries)

// Guards against starting a job twice by repeating it with another key.
BOOST_FIXTURE_TEST_CASE(EveryTryCarriesSameKeyAndBody, SubmitFixture) {
  auto R = run({refused(), reset(), reply(503), reply(202, Accepted)});
  BOOST_TEST((R.Code == ExitCode::Done));
  BOOST_REQUIRE(Sent.size() == 4U);
  for (auto &[Server, Call] : Sent) {
    BOOST_TEST(Call.Headers["idempotency-key"] == "generated");
    BOOST_TEST(Call.Body == Sent[0].second.Body);
  }
  BOOST_TEST(Sent[0].first == "a:1");
  BOOST_TEST(Sent[1].first == "b:2");
  BOOST_TEST(Sent[2].first == "a:1");
}

// Guards against a retry storm while all servers are down.
BOOST_FIXTURE_TEST_CASE(TriesAreBoundedAndBackoffGrows, SubmitFixture) {
  Args.Attempts = 100;
  auto R = run({refused()});
  BOOST_TEST((R.Code == ExitCode::Unavailable));
  BOOST_TEST(Sent.size() == 100U);
  BOOST_REQUIRE(Pauses.size() == 49U);
  BOOST_TEST(Pauses[5].count() > Pauses[0].count());
  for (base::Millis P : Pauses)
    BOOST_TEST(P.count() <= 5000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OutcomeReporting)

// Guards against reporting "not run" for a call that may have been delivered.
BOOST_FIXTURE_TEST_CASE(LostAnswerStaysUnresolved, SubmitFixture) {
  Args.Attempts = 3;
  BOOST_TEST((run({reset(), refused()}).Code == ExitCode::Unresolved));
  BOOST_TEST((run({reply(503)}).Code == ExitCode::Unresolved));
  BOOST_TEST((run({reset(), reply(403)}).Code == ExitCode::Unresolved));
  BOOST_TEST(
      (run({reply(503,
                  R"({"error":{"code":"unavailable","run":"unresolved"}})")})
           .Code == ExitCode::Unresolved));
  BOOST_TEST((run({reset(), reply(503, NotRun)}).Code == ExitCode::Unresolved));
}

// Guards against reporting "unresolved" when the servers' answers are definite.
BOOST_FIXTURE_TEST_CASE(DefiniteAnswersAreReportedAsReceived, SubmitFixture) {
  Args.Attempts = 3;
  BOOST_TEST((run({reply(503, NotRun)}).Code == ExitCode::Unavailable));
  BOOST_TEST((run({reply(503, R"({"error":{"code":"unavailable"}})")}).Code ==
              ExitCode::Unavailable));
  BOOST_TEST((run({refused(), reply(400)}).Code == ExitCode::Refused));
  BOOST_TEST((run({reply(409)}).Code == ExitCode::Conflict));
  BOOST_TEST((run({reset(), reply(202, Accepted)}).Code == ExitCode::Done));
}

// Guards against reporting success for an answer that names no job.
BOOST_FIXTURE_TEST_CASE(AnswerWithoutJobIsUnresolved, SubmitFixture) {
  BOOST_TEST((run({reply(202, "<html>")}).Code == ExitCode::Unresolved));
}

// Guards against an exit code that disagrees with the job's outcome.
BOOST_FIXTURE_TEST_CASE(WaitMapsEachOutcomeToAnExitCode, WaitFixture) {
  auto CodeOf = [&](const std::string &Outcome) {
    return run({reply(200, R"({"job":"j","status":"ended","outcome":")" +
                               Outcome + "\"}")})
        .Code;
  };
  BOOST_TEST((CodeOf("finished") == ExitCode::Done));
  BOOST_TEST((CodeOf("failed") == ExitCode::JobFailed));
  BOOST_TEST((CodeOf("cancelled") == ExitCode::JobCancelled));
  BOOST_TEST((CodeOf("not_run") == ExitCode::JobNotRun));
  BOOST_TEST((CodeOf("unknown") == ExitCode::JobUnknown));
  BOOST_TEST((CodeOf("later_addition") == ExitCode::NotEnded));
}

// Guards against a wait that ends early because servers are unreachable.
BOOST_FIXTURE_TEST_CASE(WaitContinuesAfterOutage, WaitFixture) {
  Args.Attempts = 1;
  auto R = run({reset(), refused(), reply(503),
                reply(200, R"({"status":"ended","outcome":"finished"})")});
  BOOST_TEST((R.Code == ExitCode::Done));
}

// Guards against waiting for ever for a job that does not end.
BOOST_FIXTURE_TEST_CASE(WaitEndsAtTimeLimit, WaitFixture) {
  auto R = run({reply(200, R"({"status":"running"})")});
  BOOST_TEST((R.Code == ExitCode::NotEnded));
  BOOST_TEST(Now.count() >= 1000);
}

// Guards against overwriting a list version that the operator has not seen.
BOOST_FIXTURE_TEST_CASE(PublishWithoutBaseNamesVersionInForce, Fixture) {
  Args.Command = Verb::ListsPublish;
  Args.ListName = "plans";
  Args.ListText = R"({"plans":[]})";
  auto R = run({reply(200, R"({"version":7,"plans":[]})"), reply(409)});
  BOOST_TEST((R.Code == ExitCode::Conflict));
  BOOST_REQUIRE(Sent.size() == 2U);
  auto Body = boost::json::parse(Sent[1].second.Body);
  BOOST_TEST(Body.at("base").to_number<int>() == 7);
  Args.ListText = "{}";
  Sent.clear();
  BOOST_TEST((run({reply(200)}).Code == ExitCode::Usage));
  BOOST_TEST(Sent.empty());
}

BOOST_AUTO_TEST_SUITE_END()
