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
  P.sample(0, Millis(0), Millis(10'000));
  P.sample(50, Millis(5'000), Millis(10'000));
  BOOST_TEST(*P.latest(Millis(5'000)) == 1.0,
             boost::test_tools::tolerance(0.01));
  P.sample(52, Millis(6'000), Millis(10'000));
  BOOST_TEST(*P.latest(Millis(6'000)) == 0.2,
             boost::test_tools::tolerance(0.01));
}

// Guards against a verdict from a percentage that was read twice in a row.
BOOST_AUTO_TEST_CASE(NeedsSomeTime) {
  Pace P;
  P.sample(3, Millis(0), Millis(10'000));
  P.sample(3, Millis(20), Millis(10'000));
  BOOST_TEST(!P.latest(Millis(20)));
}

// Guards against a verdict from what was seen long ago.
BOOST_AUTO_TEST_CASE(IsForgotten) {
  Pace P;
  P.sample(0, Millis(0), Millis(10'000));
  P.sample(1, Millis(1'000), Millis(10'000));
  BOOST_TEST(!P.latest(Millis(9'000)));
}

// Guards against sound workers that are taken for slow because their members of
// a gang wait for the slow one.
BOOST_AUTO_TEST_CASE(SaysNothingOnceItsPartIsDone) {
  Pace P;
  P.begin(Millis(0));
  P.sample(95, Millis(1'000), Millis(1'000));
  BOOST_TEST(P.latest(Millis(1'000)).has_value());
  P.sample(100, Millis(2'000), Millis(1'000));
  BOOST_TEST(!P.latest(Millis(2'000)));
}

// Guards against long runs that gain less than a percent between two looks.
BOOST_AUTO_TEST_CASE(OfALongRunNeedsMoreTime) {
  Pace P;
  P.begin(Millis(0));
  P.sample(0, Millis(500), Millis(60'000));
  BOOST_TEST(!P.latest(Millis(500)));
  P.sample(6, Millis(4'000), Millis(60'000));
  BOOST_TEST(*P.latest(Millis(4'000)) > 0.8);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheVerdictOnAWorker)

// Guards against a sound worker that is avoided because of one bad estimate.
BOOST_AUTO_TEST_CASE(OneRunAtAUsualPaceClearsIt) {
  SlowWorker W;
  std::array<double, 2> Shares{0.1, 0.9};
  W.judge(Shares, Millis(1'000));
  BOOST_TEST(!W.slow(Millis(1'001)));
}

// Guards against a slow worker that is avoided for ever, or not at all.
BOOST_AUTO_TEST_CASE(HoldsForAWhile) {
  SlowWorker W;
  std::array<double, 2> Shares{0.1, 0.2};
  W.judge(Shares, Millis(1'000));
  BOOST_TEST(W.slow(Millis(5'000)));
  BOOST_TEST(!W.slow(Millis(9'000)));
}

// Guards against estimates that are off being taken for slow workers.
BOOST_AUTO_TEST_CASE(HalfOfTheEstimatedSpeedIsUsual) {
  SlowWorker W;
  std::array<double, 1> Shares{0.5};
  W.judge(Shares, Millis(1'000));
  BOOST_TEST(!W.slow(Millis(1'001)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(MovingARun)

// Guards against runs that take six times as long where they are.
BOOST_AUTO_TEST_CASE(PaysEarly) {
  BOOST_TEST(worthMoving(0.15, 10, Millis(2'500), false));
}

// Guards against throwing away work that is nearly done.
BOOST_AUTO_TEST_CASE(DoesNotPayNearTheEnd) {
  BOOST_TEST(!worthMoving(0.15, 90, Millis(2'500), false));
}

// Guards against moves for the sake of a rough estimate.
BOOST_AUTO_TEST_CASE(DoesNotPayAtHalfSpeed) {
  BOOST_TEST(!worthMoving(0.5, 0, Millis(20'000), false));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
