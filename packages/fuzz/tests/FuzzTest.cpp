#define BOOST_TEST_MODULE fuzz
#include "LogHost.h"
#include "WorkerHost.h"
#include "heathersaddle/fuzz/Run.h"
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::fuzz;

namespace {

RunResult runSeed(std::uint64_t Seed, unsigned Steps = 60) {
  std::vector<Step> Drawn = drawSteps(Seed, Steps);
  RunResult R = run({.Seed = Seed}, Drawn);
  BOOST_TEST_MESSAGE("seed " << Seed << ", " << R.Records << " records");
  if (R.Found)
    BOOST_TEST_MESSAGE(R.Found->Rule << ": " << R.Found->Detail);
  return R;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ARun)

// Guards against traces that cannot be repeated or shrunk.
BOOST_AUTO_TEST_CASE(IsAFunctionOfSeedAndSteps) {
  RunResult A = runSeed(11), B = runSeed(11);
  BOOST_TEST(A.Records == B.Records);
  BOOST_TEST(A.Faults == B.Faults);
  BOOST_TEST(A.Starts == B.Starts);
}

// Guards against a fuzzer that passes because nothing happens in it.
BOOST_AUTO_TEST_CASE(StartsWorkAndInjectsFaults) {
  std::size_t Starts = 0, Finals = 0, Faults = 0;
  for (std::uint64_t Seed = 1; Seed != 11; ++Seed) {
    RunResult R = runSeed(Seed);
    Starts += R.Starts;
    Finals += R.Finals;
    Faults += R.Faults;
  }
  BOOST_TEST(Starts > 100U);
  BOOST_TEST(Finals > 50U);
  BOOST_TEST(Faults > 200U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheHosts)

// Guards against a log whose outage or lost answers are not seen as such.
BOOST_AUTO_TEST_CASE(LogFaultsEndByThemselves) {
  Simulation Sim;
  Random Rng(1);
  std::size_t Seen = 0;
  LogHost Log(Sim, Rng, [&](std::uint64_t, const std::string &) { ++Seen; });
  unsigned Fine = 0;
  auto Append = [&] {
    Log.append(
        {1, "control", {"x"}, Millis{1000}},
        [&](const base::Expected<std::uint64_t> &R) { Fine += R.has_value(); });
    Sim.runUntil(Sim.now() + Millis{100});
  };
  Log.down(Millis{50});
  Append();
  BOOST_TEST(Seen == 0U);
  Append();
  BOOST_TEST(Seen == 1U);
  BOOST_TEST(Fine == 1U);
  Log.loseAnswers(Millis{50});
  Append();
  BOOST_TEST(Seen == 2U);
  BOOST_TEST(Fine == 1U);
}

// Guards against a request that outlives the restart of its worker.
BOOST_AUTO_TEST_CASE(WorkerRestartBreaksConnections) {
  Simulation Sim;
  Random Rng(1);
  control::HostEntry E;
  E.Name = "w0";
  WorkerHost W(Sim, Rng, E, true,
               [](const std::string &Text) { BOOST_ERROR(Text); });
  std::uint64_t Before = W.boot();
  W.restart();
  bool Failed = false;
  W.serve("/v1/commands", boost::json::object{}, Before,
          [&](const base::Expected<boost::json::value> &R) { Failed = !R; });
  BOOST_TEST(Failed);
}

BOOST_AUTO_TEST_SUITE_END()
