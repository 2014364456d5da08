#include "heathersaddle/dispatch/Pace.h"
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace heathersaddle;
using namespace heathersaddle::dispatch;
using base::Millis;

BOOST_AUTO_TEST_SUITE(SlowWorkerDetection)

BOOST_AUTO_TEST_SUITE(ProgressRateOfARun)

// Guards against a worker that becomes slow in the middle of a long run and is
// not detected because the rate is averaged over the whole run.
BOOST_AUTO_TEST_CASE(CoversTheLatestWindowNotTheWholeRun) {
  Pace P;
  P.sample(0, Millis(0), 10);
  P.sample(50, Millis(5'000), 10);
  BOOST_TEST(*P.latest(Millis(5'000)) == 10.0);
  P.sample(52, Millis(6'000), 10);
  BOOST_TEST(*P.latest(Millis(6'000)) == 2.0);
}

// Guards against a rate of 0 from a percentage that was read twice in a row.
BOOST_AUTO_TEST_CASE(NeedsAMinimumWindow) {
  Pace P;
  P.sample(3, Millis(0), 10);
  P.sample(3, Millis(20), 10);
  BOOST_TEST(!P.latest(Millis(20)));
}

// Guards against decisions based on outdated measurements.
BOOST_AUTO_TEST_CASE(IsUnknownOnceItIsOld) {
  Pace P;
  P.sample(0, Millis(0), 10);
  P.sample(1, Millis(1'000), 10);
  BOOST_TEST(P.latest(Millis(1'000)).has_value());
  BOOST_TEST(!P.latest(Millis(9'000)));
}

// Guards against healthy workers that count as slow because their gang members
// have finished their part and wait for the slow one.
BOOST_AUTO_TEST_CASE(IsUnknownAt100Percent) {
  Pace P;
  P.begin(Millis(0));
  P.sample(95, Millis(1'000), 100);
  BOOST_TEST(P.latest(Millis(1'000)).has_value());
  P.sample(100, Millis(2'000), 100);
  BOOST_TEST(!P.latest(Millis(2'000)));
}

// Guards against a wrong rate of long runs, which gain less than one percent
// between two reports.
BOOST_AUTO_TEST_CASE(NeedsALongerWindowForALongRun) {
  Pace P;
  P.begin(Millis(0));
  P.sample(0, Millis(500), 1.6);
  BOOST_TEST(!P.latest(Millis(500)));
  P.sample(4, Millis(2'500), 1.6);
  BOOST_TEST(*P.latest(Millis(2'500)) == 1.6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UsualRate)

// Guards against using estimates, which are off by ten times, as the usual
// rate: on a day without faults, a third of all runs were stopped and started
// again.
BOOST_AUTO_TEST_CASE(IsTheMedianOfTheTasksOfAStep) {
  UsualRates U;
  UnitId Step{"job", 0, 0, 0};
  for (Rate R : {18.0, 20.0, 3.0, 19.0})
    U.add(Step, R);
  U.aggregate({{Step, "q"}});
  BOOST_TEST(U.of(Step, "q", 1) == 19.0);
}

// Guards against a gang of two in which the slow member is not detected.
BOOST_AUTO_TEST_CASE(OfTwoRunsIsTheFasterOne) {
  UsualRates U;
  UnitId Step{"job", 0, 0, 0};
  U.add(Step, 3);
  U.add(Step, 40);
  U.aggregate({{Step, "q"}});
  BOOST_TEST(U.of(Step, "q", 1) == 40.0);
}

// Guards against a single task on a slow worker that is compared with nothing.
BOOST_AUTO_TEST_CASE(OfASingleTaskIsBasedOnItsQueue) {
  UsualRates U;
  UnitId Wide{"wide", 0, 0, 0};
  UnitId Single{"lone", 0, 0, 0};
  U.add(Wide, 40);
  U.add(Wide, 42);
  U.aggregate({{Wide, "q"}});
  U.clear();
  U.add(Single, 5);
  U.aggregate({{Single, "q"}});
  BOOST_TEST(U.of(Single, "q", 1) > 25.0);
  BOOST_TEST(U.of(Single, "other", 1) == 0.0);
}

// Guards against a long task that is moved from worker to worker: on a day
// without faults, one of 8 s was moved six times and ended after 13 s.
BOOST_AUTO_TEST_CASE(OfASingleTaskIsUnknownAfterAMove) {
  UsualRates U;
  UnitId Single{"lone", 0, 0, 0};
  U.add(Single, 12);
  U.aggregate({{Single, "q"}});
  BOOST_TEST(U.of(Single, "q", 1) > 0.0);
  BOOST_TEST(U.of(Single, "q", 2) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SlowWorkerDecision)

// Guards against a healthy worker that is avoided because of one unusual run.
BOOST_AUTO_TEST_CASE(OneRunAtAUsualRateClearsTheWorker) {
  SlowWorkerDetector W;
  std::array<double, 2> Shares{0.1, 0.9};
  W.update(Shares, Millis(1'000));
  BOOST_TEST(!W.isSlow(Millis(1'001)));
}

// Guards against a slow worker that is avoided forever, or not at all.
BOOST_AUTO_TEST_CASE(ExpiresAfterAWhile) {
  SlowWorkerDetector W;
  std::array<double, 2> Shares{0.1, 0.2};
  W.update(Shares, Millis(1'000));
  BOOST_TEST(W.isSlow(Millis(5'000)));
  BOOST_TEST(!W.isSlow(Millis(9'000)));
}

// Guards against normal variation between tasks that is attributed to the
// worker.
BOOST_AUTO_TEST_CASE(HalfTheUsualRateIsNotSlow) {
  SlowWorkerDetector W;
  std::array<double, 1> Shares{0.5};
  W.update(Shares, Millis(1'000));
  BOOST_TEST(!W.isSlow(Millis(1'001)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(MovingARunToAnotherWorker)

// Guards against leaving a run on a worker where it takes six times as long.
BOOST_AUTO_TEST_CASE(IsWorthItEarly) {
  BOOST_TEST(worthMoving(0.15, 10, 40, false));
}

// Guards against losing work that is nearly done.
BOOST_AUTO_TEST_CASE(IsNotWorthItNearTheEnd) {
  BOOST_TEST(!worthMoving(0.15, 90, 40, false));
}

// Guards against moves for little gain, or without a known usual rate.
BOOST_AUTO_TEST_CASE(IsNotWorthItAtHalfSpeedOrWithoutAUsualRate) {
  BOOST_TEST(!worthMoving(0.5, 0, 5, false));
  BOOST_TEST(!worthMoving(0.1, 0, 0, false));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TimeOfTheWholeRun)

// Guards against speeds that are learned from the first percents, or from the
// time in which a gang's member waits for the others at 100 percent.
BOOST_AUTO_TEST_CASE(IsKnownOnceEnoughIsMeasured) {
  Pace P;
  P.begin(Millis(1'000));
  P.sample(5, Millis(1'100), 0);
  BOOST_TEST(!P.wholeMs().has_value());
  P.sample(12, Millis(1'250), 0);
  BOOST_TEST(std::abs(*P.wholeMs() - 2'000) < 1);
  BOOST_TEST(!P.isPrecise());
  P.sample(25, Millis(1'510), 0);
  BOOST_TEST(std::abs(*P.wholeMs() - 2'000) < 1);
  BOOST_TEST(P.isPrecise());
  for (std::int64_t Ms = 3'100; Ms < 6'000; Ms += 200)
    P.sample(100, Millis(Ms), 0);
  BOOST_TEST(std::abs(*P.wholeMs() - 2'000) < 1);
}

// Guards against a run that an earlier owner started, whose time is counted
// from when this owner first read its percentage.
BOOST_AUTO_TEST_CASE(IsCountedFromTheFirstPercentage) {
  Pace P;
  P.sample(50, Millis(1'000), 0);
  P.sample(75, Millis(2'000), 0);
  BOOST_TEST(std::abs(*P.wholeMs() - 4'000) < 1);
}

// Guards against short tasks that end between two reports and tell nothing.
BOOST_AUTO_TEST_CASE(IsKnownAtTheEnd) {
  Pace P;
  P.begin(Millis(1'000));
  P.finish(Millis(1'700));
  BOOST_TEST(*P.wholeMs() == 700);
  BOOST_TEST(P.isPrecise());
}

// Guards against a worker whose change of speed shows only in later runs.
BOOST_AUTO_TEST_CASE(ChangeOfTheRateIsNoticed) {
  Pace P;
  P.begin(Millis(0));
  for (unsigned N = 1; N <= 25; ++N)
    P.sample(2 * N, Millis(80 * N), 0);
  BOOST_TEST(!P.takeChange());
  for (unsigned N = 1; N <= 25; ++N)
    P.sample(50 + N, Millis(2'000 + 80 * N), 0);
  BOOST_TEST(P.takeChange());
  BOOST_TEST(!P.takeChange());
  P.restart();
  BOOST_TEST(!P.wholeMs().has_value());
  P.sample(99, Millis(5'920), 0);
  BOOST_TEST(std::abs(*P.wholeMs() - 8'000) < 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
