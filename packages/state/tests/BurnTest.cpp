#include "Fixture.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::state;
using testing::StateFixture;

BOOST_FIXTURE_TEST_SUITE(BurnFigures, StateFixture)

// Guards against counting a late urgent start as good.
BOOST_AUTO_TEST_CASE(CountUrgentStartsByTheirDelay) {
  claimCellWithWorkers();
  publishLists();
  JobSpec J = spec("j", "a");
  J.Urgent = true;
  accept(J);
  J.Id = "k";
  accept(J);
  place("j", 1, true, {{homeWorker("a"), 1}});
  WallClock += UrgentStartLimitMs + 1;
  place("k", 1, true, {{homeWorker("a"), 2}});
  EventCounts Sum = LogState.burn().sum("a", Objective::UrgentStart,
                                        LogState.clock(), 300'000);
  BOOST_TEST(Sum.Good == 1u);
  BOOST_TEST(Sum.Bad == 1u);
}

// Guards against figures that include events from before the window.
BOOST_AUTO_TEST_CASE(IncludeOnlyEventsWithinTheWindow) {
  BurnHistory B;
  B.record("a", Objective::JobCompletion, false, 60'000);
  B.record("a", Objective::JobCompletion, true, 60'000 * 10);
  EventCounts Sum = B.sum("a", Objective::JobCompletion, 60'000 * 10, 300'000);
  BOOST_TEST(Sum.Bad == 0u);
  BOOST_TEST(Sum.Good == 1u);
}

// Guards against figures that look reliable although clocks differ.
BOOST_AUTO_TEST_CASE(CountRecordsWithSkewedClocks) {
  claimCellWithWorkers();
  BOOST_TEST(LogState.burn().skewedRecords(LogState.clock(), 300'000) == 0u);
  WallClock += 30'000;
  append(1, Heartbeat{owner()});
  WallClock -= 30'000;
  append(1, Heartbeat{owner()});
  BOOST_TEST(LogState.burn().skewedRecords(LogState.clock(), 300'000) == 1u);
}

// Guards against losing the counts when a snapshot is restored.
BOOST_AUTO_TEST_CASE(AreRestoredFromASnapshot) {
  claimCellWithWorkers();
  publishLists();
  accept(spec("j", "a"));
  append(1, JobEnded{owner(), "j", 0, Outcome::NotRun, "r", false, {}});
  auto Copy = State::restore(LogState.serialize());
  BOOST_REQUIRE(Copy);
  BOOST_TEST(Copy->burn()
                 .sum("a", Objective::JobCompletion, LogState.clock(), 300'000)
                 .Bad == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
