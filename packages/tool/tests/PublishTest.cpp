#include "ScriptedServers.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::tool;

namespace {

const std::string Ours = R"({"plans":[{"name":"p","guarantee":[]}]})";
const std::string Empty = R"({"history":[]})";
const std::string Won = R"({"history":[{"list":"customers","base":3,
  "version":9,"accepted":true},{"list":"plans","base":3,"version":3,
  "accepted":false},{"list":"plans","base":3,"version":4,"accepted":true}]})";
const std::string Rejected = R"({"history":[{"list":"plans","base":3,
  "version":3,"accepted":false}]})";

std::string inForce(int Version, int Share) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"plans":[{"name":"p","guarantee":[],"share":)" +
         std::to_string(Share) + "}]}";
}

struct Publish : Fixture {
  Publish() {
    I.Command = Verb::ListsPublish;
    I.ListName = "plans";
    I.ListText = Ours;
    I.ListBase = 3;
    I.Attempts = 1;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SettlingAPublishWhoseAnswerWasLost)

// Guards against an operator who repeats an offer that is already in force.
BOOST_FIXTURE_TEST_CASE(ItIsDoneWhenTheOfferIsInForce, Publish) {
  auto R = run({reset(), reply(200, Won), reply(200, inForce(4, 1))});
  BOOST_TEST((R.Code == ExitCode::Done));
  BOOST_TEST(R.Out.find("version: 4") != std::string::npos);
  BOOST_TEST(Sent[1].second.Target == "/v1/lists/history");
}

// Guards against reporting the version of another operator as one's own.
BOOST_FIXTURE_TEST_CASE(ItIsAConflictWhenAnotherOfferWon, Publish) {
  auto R = run({reset(), reply(200, Won), reply(200, inForce(4, 2))});
  BOOST_TEST((R.Code == ExitCode::Conflict));
}

// Guards against taking a silent history for proof that nothing happened, and
// against taking the rejection of another offer for this one's.
BOOST_FIXTURE_TEST_CASE(ItStaysUnresolvedWhileTheBaseIsInForce, Publish) {
  for (const std::string &History : {Empty, Rejected}) {
    Now = base::Millis(0);
    auto R = run({reset(), reply(200, History)});
    BOOST_TEST((R.Code == ExitCode::Unresolved));
    BOOST_TEST(Now.count() >= 8000);
    BOOST_TEST(R.Err.find("--base 3") != std::string::npos);
  }
}

// Guards against giving up before the version has come into force.
BOOST_FIXTURE_TEST_CASE(ItReadsAgainUntilTheVersionShows, Publish) {
  auto R = run({reset(), reply(200, Empty), reply(200, Won), refused(),
                reply(200, Won), reply(200, inForce(3, 1)), reply(200, Won),
                reply(200, inForce(4, 1))});
  BOOST_TEST((R.Code == ExitCode::Done));
}

// Guards against a verdict from a list that was replaced in the meantime.
BOOST_FIXTURE_TEST_CASE(ItStaysUnresolvedWhenTheVersionWasReplaced, Publish) {
  auto R = run({reset(), reply(200, Won), reply(200, inForce(5, 1))});
  BOOST_TEST((R.Code == ExitCode::Unresolved));
}

// Guards against a needless look at the history after a plain conflict.
BOOST_FIXTURE_TEST_CASE(AClearAnswerNeedsNoHistory, Publish) {
  BOOST_TEST((run({reply(409)}).Code == ExitCode::Conflict));
  BOOST_TEST(Sent.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
