#include "Fixture.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::state;
using testing::Log;

BOOST_FIXTURE_TEST_SUITE(BurnFigures, Log)

// Guards against a late urgent start that is counted as good.
BOOST_AUTO_TEST_CASE(CountUrgentStartsByTheirDelay) {
  open();
  lists();
  JobSpec J = spec("j", "a");
  J.Urgent = true;
  accept(J);
  J.Id = "k";
  accept(J);
  place("j", 1, true, {{homeWorker("a"), 1}});
  Wall += UrgentStartMs + 1;
  place("k", 1, true, {{homeWorker("a"), 2}});
  GoodBad Sum = S.burn().sum("a", Objective::UrgentStart, S.clock(), 300'000);
  BOOST_TEST(Sum.Good == 1u);
  BOOST_TEST(Sum.Bad == 1u);
}

// Guards against figures that mix in events before the window.
BOOST_AUTO_TEST_CASE(CoverTheirWindowOnly) {
  BurnHistory B;
  B.record("a", Objective::Whole, false, 60'000);
  B.record("a", Objective::Whole, true, 60'000 * 10);
  GoodBad Sum = B.sum("a", Objective::Whole, 60'000 * 10, 300'000);
  BOOST_TEST(Sum.Bad == 0u);
  BOOST_TEST(Sum.Good == 1u);
}

// Guards against figures that look sound while clocks disagree.
BOOST_AUTO_TEST_CASE(NoteClockSkew) {
  open();
  BOOST_TEST(S.burn().skewed(S.clock(), 300'000) == 0u);
  Wall += 30'000;
  append(1, Heartbeat{owner()});
  Wall -= 30'000;
  append(1, Heartbeat{owner()});
  BOOST_TEST(S.burn().skewed(S.clock(), 300'000) == 1u);
}

// Guards against lost figures after recovery.
BOOST_AUTO_TEST_CASE(SurviveASnapshot) {
  open();
  lists();
  accept(spec("j", "a"));
  append(1, JobEnded{owner(), "j", 0, Outcome::NotRun, "r", false, {}});
  auto Copy = State::restore(S.serialize());
  BOOST_REQUIRE(Copy);
  BOOST_TEST(Copy->burn().sum("a", Objective::Whole, S.clock(), 300'000).Bad ==
             1u);
}

BOOST_AUTO_TEST_SUITE_END()
