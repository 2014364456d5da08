#include "Fixture.h"
#include "heathersaddle/base/Json.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::state;
using testing::StateFixture;

BOOST_FIXTURE_TEST_SUITE(AListVersion, StateFixture)

BOOST_AUTO_TEST_SUITE(ComesIntoForce)

// Guards against a lost update when two operators publish concurrently.
BOOST_AUTO_TEST_CASE(OnlyWhenItsBaseVersionIsInForce) {
  claimCellWithWorkers();
  BOOST_TEST(publishPlans({plan("p", 0)}, 0).Applied);
  Verdict Loser = publishPlans({plan("q", 0)}, 0);
  BOOST_TEST(!Loser.Applied);
  BOOST_TEST(Loser.Why.Field == "base");
  BOOST_TEST(LogState.version(ListKind::Plans) == 1u);
  BOOST_TEST(!LogState.listHistory().back().Accepted);
}

// Guards against guarantees that the live workers cannot hold together.
BOOST_AUTO_TEST_CASE(OnlyWhenAllGuaranteesFitTogether) {
  claimCellWithWorkers();
  publishLists();
  Verdict V = publishCustomers({customer("c", "gold")}, 1);
  BOOST_TEST(!V.Applied);
  BOOST_TEST(V.Why.Field == "guarantee");
  BOOST_TEST(LogState.customers().size() == 2u);
}

// Guards against an account whose plan does not exist.
BOOST_AUTO_TEST_CASE(OnlyWhenEveryPlanExists) {
  claimCellWithWorkers();
  BOOST_TEST(!publishCustomers({customer("a", "none")}, 0).Applied);
}

// Guards against a token that identifies two accounts.
BOOST_AUTO_TEST_CASE(OnlyWithDistinctTokens) {
  claimCellWithWorkers();
  publishPlans({plan("p", 0)}, 0);
  Customer Twin = customer("b", "p");
  Twin.TokenSha256 = customer("a", "p").TokenSha256;
  BOOST_TEST(!publishCustomers({customer("a", "p"), Twin}, 0).Applied);
}

// Guards against a lost worker that blocks unrelated list changes.
BOOST_AUTO_TEST_CASE(WhileTheGuaranteeOfAnotherAccountIsDegraded) {
  claimCellWithWorkers();
  publishLists();
  append(1, WorkerStatusChanged{owner(), homeWorker("a"),
                                pool::WorkerStatus::Lost});
  BOOST_TEST(LogState.degraded().size() == 1u);
  BOOST_TEST(publishPlans({plan("free", 0)}, 1).Applied);
  BOOST_TEST(!publishPlans({plan("gold", 4)}, 1).Applied);
  BOOST_TEST(addWorker("w3").Applied);
  BOOST_TEST(LogState.degraded().empty());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against moving a home while guaranteed work runs in it, which would
// make the work reclaimable.
BOOST_AUTO_TEST_CASE(DoesNotExposeRunningGuaranteedWork) {
  claimCellWithWorkers();
  publishPlans({plan("four", 4), plan("eight", 8)}, 0);
  publishCustomers({customer("a", "four")}, 0);
  std::string First = homeWorker("a");
  append(1, WorkerStatusChanged{owner(), First, pool::WorkerStatus::Leaving});
  append(1, WorkerStatusChanged{owner(), First, pool::WorkerStatus::Up});
  publishCustomers({customer("b", "four")}, 1);
  BOOST_REQUIRE(homeWorker("a") != homeWorker("b"));
  accept(spec("j", "b"));
  BOOST_REQUIRE(place("j", 1, true, {{homeWorker("b"), 1}}).Applied);
  accept(spec("k", "a"));
  BOOST_REQUIRE(place("k", 1, true, {{homeWorker("a"), 1}}).Applied);
  // Eight whole accelerators exist only if one of the two homes moves.
  BOOST_TEST(!publishCustomers({customer("c", "eight")}, 2).Applied);
  addWorker("w3");
  BOOST_TEST(publishCustomers({customer("c", "eight")}, 2).Applied);
  append(1, WorkerStatusChanged{owner(), "w3", pool::WorkerStatus::Lost});
  BOOST_TEST(LogState.degraded().size() == 1u);
  BOOST_TEST(LogState.cell("dc1")->Pool.isGuaranteed("j"));
  BOOST_TEST(LogState.cell("dc1")->Pool.isGuaranteed("k"));
}

BOOST_AUTO_TEST_SUITE(ForADepartedAccount)

// Guards against withdrawing the terms of an account while its work runs.
BOOST_AUTO_TEST_CASE(KeepsTheHeldTermsUntilItsWorkEnds) {
  claimCellWithWorkers();
  publishLists();
  accept(spec("j", "a", 1, true));
  place("j", 1, true, {{homeWorker("a"), 1}});
  BOOST_TEST(publishCustomers({customer("a", "gold", true)}, 1).Applied);
  BOOST_REQUIRE(LogState.terms("a"));
  BOOST_TEST(LogState.cell("dc1")->Pool.isGuaranteed("j"));
  // The held terms still count, so a third account does not fit.
  BOOST_TEST(!publishCustomers({customer("c", "gold")}, 2).Applied);
  append(1, JobEnded{owner(), "j", 1, Outcome::Finished, "", true, {"x"}});
  BOOST_TEST(!LogState.terms("a"));
  BOOST_TEST(publishCustomers({customer("c", "gold")}, 2).Applied);
}

// Guards against losing the terms when the entry is removed without being
// marked as departed first.
BOOST_AUTO_TEST_CASE(KeepsThemAlsoWhenItsEntryIsRemoved) {
  claimCellWithWorkers();
  publishLists();
  accept(spec("j", "a", 1, true));
  place("j", 1, true, {{homeWorker("a"), 1}});
  BOOST_TEST(publishCustomers({}, 1, {"a"}).Applied);
  BOOST_TEST(LogState.terms("a"));
  BOOST_TEST(LogState.departed("a"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsRead)

// Guards against errors that do not name the invalid entry.
BOOST_AUTO_TEST_CASE(WithErrorsThatNameTheInvalidField) {
  auto Value = base::parseJson(
      R"({"plans":[{"name":"p","guarantee":[{"accelerators":0}]}]})", "t");
  auto Plans = parsePlans(*Value);
  BOOST_REQUIRE(!Plans);
  BOOST_TEST(Plans.error().Field == "plans[0].guarantee[0].accelerators");
}

// Guards against a list that changes when it is written and parsed again.
BOOST_AUTO_TEST_CASE(AndWrittenWithoutLoss) {
  PlanMap Plans{{"gold", StateFixture::plan("gold", 8)}};
  Plans["gold"].Guarantee.push_back({8, 4, true, 2});
  auto Again = parsePlans(toJson(Plans));
  BOOST_REQUIRE(Again);
  BOOST_TEST((*Again == Plans));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ASnapshot, StateFixture)

// Guards against a restored daemon whose verdicts differ from the others'.
BOOST_AUTO_TEST_CASE(RestoresAStateThatAppliesLaterRecordsAlike) {
  claimCellWithWorkers();
  publishLists();
  accept(spec("g", "a", 2));
  std::string W = homeWorker("a");
  place("g", 1, false, {{W, 1}, {W, 2}});
  append(1, WorkerStatusChanged{owner(), W, pool::WorkerStatus::Leaving});
  publishCustomers({}, 1, {"a"});
  auto Copy = State::restore(LogState.serialize());
  BOOST_REQUIRE(Copy);
  BOOST_TEST(Copy->digest() == LogState.digest());
  Record Next{1, Sequences[1] + 1, WallClock, StartCommitted{owner(), "g", 1}};
  BOOST_TEST(Copy->apply(Copy->nextOffset(), Next).Applied);
  BOOST_TEST(LogState.apply(LogState.nextOffset(), Next).Applied);
  BOOST_TEST(Copy->digest() == LogState.digest());
}

// Guards against restoring a damaged snapshot.
BOOST_AUTO_TEST_CASE(ThatIsDamagedIsRejected) {
  claimCellWithWorkers();
  std::string Text = LogState.serialize();
  BOOST_TEST(!State::restore(Text.substr(0, Text.size() / 2)));
  BOOST_TEST(!State::restore("{}"));
}

BOOST_AUTO_TEST_SUITE_END()
