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
  if (R.FirstViolation)
    BOOST_TEST_MESSAGE(R.FirstViolation->Rule << ": "
                                              << R.FirstViolation->Detail);
  return R;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FuzzRuns)

// Guards against runs that cannot be repeated, so that their steps could not be
// shrunk.
BOOST_AUTO_TEST_CASE(SameSeedAndStepsGiveSameResult) {
  RunResult A = runSeed(11), B = runSeed(11);
  BOOST_TEST(A.Records == B.Records);
  BOOST_TEST(A.Faults == B.Faults);
  BOOST_TEST(A.Starts == B.Starts);
}

// Guards against a fuzzer that passes because it starts no tasks or injects no
// faults.
BOOST_AUTO_TEST_CASE(TenSeedsStartTasksAndInjectFaults) {
  std::size_t Starts = 0, FinalOutcomes = 0, Faults = 0;
  for (std::uint64_t Seed = 1; Seed != 11; ++Seed) {
    RunResult R = runSeed(Seed);
    Starts += R.Starts;
    FinalOutcomes += R.FinalOutcomes;
    Faults += R.Faults;
  }
  BOOST_TEST(Starts > 100U);
  BOOST_TEST(FinalOutcomes > 50U);
  BOOST_TEST(Faults > 200U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SimulatedHosts)

// Guards against an outage of the log that still appends records, lost answers
// that still reach the caller, and faults that do not end.
BOOST_AUTO_TEST_CASE(LogFaultsEndAfterTheirDuration) {
  Simulation Sim;
  Random Rng(1);
  std::size_t RecordCount = 0;
  LogHost Log(Sim, Rng,
              [&](std::uint64_t, const std::string &) { ++RecordCount; });
  unsigned Acknowledged = 0;
  auto Append = [&] {
    Log.append({1, "control", {"x"}, Millis{1000}},
               [&](const base::Expected<std::uint64_t> &R) {
                 Acknowledged += R.has_value();
               });
    Sim.runUntil(Sim.now() + Millis{100});
  };
  Log.down(Millis{50});
  Append();
  BOOST_TEST(RecordCount == 0U);
  Append();
  BOOST_TEST(RecordCount == 1U);
  BOOST_TEST(Acknowledged == 1U);
  Log.loseAnswers(Millis{50});
  Append();
  BOOST_TEST(RecordCount == 2U);
  BOOST_TEST(Acknowledged == 1U);
}

// Guards against a request that succeeds although its worker has restarted
// since the connection was made.
BOOST_AUTO_TEST_CASE(RequestOverOldConnectionFailsAfterWorkerRestart) {
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
