#include "heathersaddle/dispatch/Pace.h"
#include <array>
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::dispatch;
using base::Millis;

BOOST_AUTO_TEST_SUITE(TellingSlowWorkers)

BOOST_AUTO_TEST_SUITE(ThePaceOfARun)

// Guards against a worker that turns slow in the middle of a long run and is
// still trusted because of the run's good beginning.
BOOST_AUTO_TEST_CASE(IsThatOfLateNotOfTheWholeRun) {
  Pace P;
  P.sample(0, Millis(0), 10);
  P.sample(50, Millis(5'000), 10);
  BOOST_TEST(*P.latest(Millis(5'000)) == 10.0);
  P.sample(52, Millis(6'000), 10);
  BOOST_TEST(*P.latest(Millis(6'000)) == 2.0);
}

// Guards against a verdict from a percentage that was read twice in a row.
BOOST_AUTO_TEST_CASE(NeedsSomeTime) {
  Pace P;
  P.sample(3, Millis(0), 10);
  P.sample(3, Millis(20), 10);
  BOOST_TEST(!P.latest(Millis(20)));
}

// Guards against a verdict from what was seen long ago.
BOOST_AUTO_TEST_CASE(IsForgotten) {
  Pace P;
  P.sample(0, Millis(0), 10);
  P.sample(1, Millis(1'000), 10);
  BOOST_TEST(P.latest(Millis(1'000)).has_value());
  BOOST_TEST(!P.latest(Millis(9'000)));
}

// Guards against sound workers that are taken for slow because their members of
// a gang wait for the slow one.
BOOST_AUTO_TEST_CASE(SaysNothingOnceItsPartIsDone) {
  Pace P;
  P.begin(Millis(0));
  P.sample(95, Millis(1'000), 100);
  BOOST_TEST(P.latest(Millis(1'000)).has_value());
  P.sample(100, Millis(2'000), 100);
  BOOST_TEST(!P.latest(Millis(2'000)));
}

// Guards against long runs that gain less than a percent between two looks.
BOOST_AUTO_TEST_CASE(OfALongRunNeedsMoreTime) {
  Pace P;
  P.begin(Millis(0));
  P.sample(0, Millis(500), 1.6);
  BOOST_TEST(!P.latest(Millis(500)));
  P.sample(4, Millis(2'500), 1.6);
  BOOST_TEST(*P.latest(Millis(2'500)) == 1.6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhatIsUsual)

// Guards against estimates that are off by ten times: on a calm day they had a
// third of all runs stopped and begun anew.
BOOST_AUTO_TEST_CASE(IsWhatTheOtherTasksOfTheStepDo) {
  UsualRates U;
  UnitId Step{"job", 0, 0, 0};
  for (Rate R : {18.0, 20.0, 3.0, 19.0})
    U.add(Step, R);
  U.aggregate({{Step, "q"}});
  BOOST_TEST(U.of(Step, "q", 1) == 19.0);
}

// Guards against a gang of two in which neither is taken for slow.
BOOST_AUTO_TEST_CASE(OfTwoIsTheFaster) {
  UsualRates U;
  UnitId Step{"job", 0, 0, 0};
  U.add(Step, 3);
  U.add(Step, 40);
  U.aggregate({{Step, "q"}});
  BOOST_TEST(U.of(Step, "q", 1) == 40.0);
}

// Guards against a lone task on a slow worker that nothing is compared with.
BOOST_AUTO_TEST_CASE(OfALoneTaskIsThatOfItsQueue) {
  UsualRates U;
  UnitId Wide{"wide", 0, 0, 0};
  UnitId Lone{"lone", 0, 0, 0};
  U.add(Wide, 40);
  U.add(Wide, 42);
  U.aggregate({{Wide, "q"}});
  U.clear();
  U.add(Lone, 5);
  U.aggregate({{Lone, "q"}});
  BOOST_TEST(U.of(Lone, "q", 1) > 25.0);
  BOOST_TEST(U.of(Lone, "other", 1) == 0.0);
}

// Guards against a long task that is moved from worker to worker: on a calm day
// one of 8 s was moved six times and ended after 13 s.
BOOST_AUTO_TEST_CASE(OfALoneTaskThatWasMovedIsUnknown) {
  UsualRates U;
  UnitId Lone{"lone", 0, 0, 0};
  U.add(Lone, 12);
  U.aggregate({{Lone, "q"}});
  BOOST_TEST(U.of(Lone, "q", 1) > 0.0);
  BOOST_TEST(U.of(Lone, "q", 2) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheVerdictOnAWorker)

// Guards against a sound worker that is avoided because of one odd run.
BOOST_AUTO_TEST_CASE(OneRunAtAUsualPaceClearsIt) {
  SlowWorkerDetector W;
  std::array<double, 2> Shares{0.1, 0.9};
  W.update(Shares, Millis(1'000));
  BOOST_TEST(!W.isSlow(Millis(1'001)));
}

// Guards against a slow worker that is avoided for ever, or not at all.
BOOST_AUTO_TEST_CASE(HoldsForAWhile) {
  SlowWorkerDetector W;
  std::array<double, 2> Shares{0.1, 0.2};
  W.update(Shares, Millis(1'000));
  BOOST_TEST(W.isSlow(Millis(5'000)));
  BOOST_TEST(!W.isSlow(Millis(9'000)));
}

// Guards against tasks that differ being taken for slow workers.
BOOST_AUTO_TEST_CASE(HalfOfTheUsualRateIsUsual) {
  SlowWorkerDetector W;
  std::array<double, 1> Shares{0.5};
  W.update(Shares, Millis(1'000));
  BOOST_TEST(!W.isSlow(Millis(1'001)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(MovingARun)

// Guards against runs that take six times as long where they are.
BOOST_AUTO_TEST_CASE(PaysEarly) {
  BOOST_TEST(worthMoving(0.15, 10, 40, false));
}

// Guards against throwing away work that is nearly done.
BOOST_AUTO_TEST_CASE(DoesNotPayNearTheEnd) {
  BOOST_TEST(!worthMoving(0.15, 90, 40, false));
}

// Guards against moves for little gain, or without anything to compare with.
BOOST_AUTO_TEST_CASE(DoesNotPayAtHalfSpeedOrWithoutAComparison) {
  BOOST_TEST(!worthMoving(0.5, 0, 5, false));
  BOOST_TEST(!worthMoving(0.1, 0, 0, false));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
