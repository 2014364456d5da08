#include "ScriptedServers.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::tool;

namespace {

const std::string OfferedList = R"({"plans":[{"name":"p","guarantee":[]}]})";
const std::string EmptyHistory = R"({"history":[]})";
const std::string AcceptedHistory = R"({"history":[{"list":"customers","base":3,
  "version":9,"accepted":true},{"list":"plans","base":3,"version":3,
  "accepted":false},{"list":"plans","base":3,"version":4,"accepted":true}]})";
const std::string RejectedHistory = R"({"history":[{"list":"plans","base":3,
  "version":3,"accepted":false}]})";

std::string listInForce(int Version, int Share) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"plans":[{"name":"p","guarantee":[],"share":)" +
         std::to_string(Share) + "}]}";
}

struct PublishFixture : Fixture {
  PublishFixture() {
    Args.Command = Verb::ListsPublish;
    Args.ListName = "plans";
    Args.ListText = OfferedList;
    Args.ListBase = 3;
    Args.Attempts = 1;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(PublishWithLostAnswer)

// Guards against asking the operator to repeat an offer that is in force.
BOOST_FIXTURE_TEST_CASE(SucceedsWhenOfferIsInForce, PublishFixture) {
  auto R = run(
      {reset(), reply(200, AcceptedHistory), reply(200, listInForce(4, 1))});
  BOOST_TEST((R.Code == ExitCode::Done));
  BOOST_TEST(R.Out.find("version: 4") != std::string::npos);
  BOOST_TEST(Sent[1].second.Target == "/v1/lists/history");
}

// Guards against reporting another operator's version as this offer's.
BOOST_FIXTURE_TEST_CASE(ConflictsWhenAnotherOfferWasAccepted, PublishFixture) {
  auto R = run(
      {reset(), reply(200, AcceptedHistory), reply(200, listInForce(4, 2))});
  BOOST_TEST((R.Code == ExitCode::Conflict));
}

// Guards against taking a history without the offer as proof that it had no
// effect, and against taking the rejection of another offer for this one's.
BOOST_FIXTURE_TEST_CASE(StaysUnresolvedWhileBaseIsInForce, PublishFixture) {
  for (const std::string &History : {EmptyHistory, RejectedHistory}) {
    Now = base::Millis(0);
    auto R = run({reset(), reply(200, History)});
    BOOST_TEST((R.Code == ExitCode::Unresolved));
    BOOST_TEST(Now.count() >= 8000);
    BOOST_TEST(R.Err.find("--base 3") != std::string::npos);
  }
}

// Guards against an early end, before the version has come into force.
BOOST_FIXTURE_TEST_CASE(ReadsAgainUntilVersionIsInForce, PublishFixture) {
  auto R = run({reset(), reply(200, EmptyHistory), reply(200, AcceptedHistory),
                refused(), reply(200, AcceptedHistory),
                reply(200, listInForce(3, 1)), reply(200, AcceptedHistory),
                reply(200, listInForce(4, 1))});
  BOOST_TEST((R.Code == ExitCode::Done));
}

// Guards against deciding the outcome from a list that was replaced since.
BOOST_FIXTURE_TEST_CASE(StaysUnresolvedWhenVersionWasReplaced, PublishFixture) {
  auto R = run(
      {reset(), reply(200, AcceptedHistory), reply(200, listInForce(5, 1))});
  BOOST_TEST((R.Code == ExitCode::Unresolved));
}

// Guards against reading the history needlessly after a definite conflict.
BOOST_FIXTURE_TEST_CASE(DefiniteConflictReadsNoHistory, PublishFixture) {
  BOOST_TEST((run({reply(409)}).Code == ExitCode::Conflict));
  BOOST_TEST(Sent.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
