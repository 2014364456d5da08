#include "Deployment.h"
#include "DrainedDataCentres.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

namespace {

/// w1 and w2 are in data centre dc1, w3 and w4 in dc2.
struct TwoDataCentres : Deployment {
  TwoDataCentres() {
    addWorker("w3", "r2", 8, "dc2");
    addWorker("w4", "r2", 8, "dc2");
    run(300);
  }
  void drain(const std::string &DataCentre, bool Requested = true) {
    OperatorTopic.push_back({nullptr, DrainChange{DataCentre, Requested}});
  }
  unsigned startsIn(const std::string &DataCentre) {
    unsigned Sum = 0;
    for (auto &[Id, W] : Workers)
      if (W.Entry.DataCentre == DataCentre)
        Sum += StartsOn[Id];
    return Sum;
  }
  std::size_t runsIn(const std::string &DataCentre) {
    std::size_t Sum = 0;
    for (auto &[Id, W] : Workers)
      if (W.Entry.DataCentre == DataCentre)
        Sum += W.Runs.size();
    return Sum;
  }
  std::uint64_t counted(const std::string &Daemon, std::string_view Name) {
    const auto &Counts = Daemons.at(Daemon)->stats().Counts;
    auto It = Counts.find(Name);
    return It == Counts.end() ? 0 : It->second;
  }
  workload::JobSpec gang(const std::string &Id, unsigned Tasks,
                         std::int64_t WorkMs) {
    auto J = job(Id, Tasks, 8, WorkMs);
    J.Steps[0].Gang = true;
    GangSizes[Id] = Tasks;
    return J;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DeploymentWithADrainedDataCentre, TwoDataCentres)

BOOST_AUTO_TEST_SUITE(WithoutFailures)

// Guards against starts in a data centre that the operator has drained.
BOOST_AUTO_TEST_CASE(StartsNothingThere) {
  drain("dc1");
  run(300);
  for (auto &[Name, N] : Daemons)
    BOOST_TEST(N->drainedDataCentres() == 1u);
  BOOST_TEST(!submit(anyDaemon(), job("1", 30, 1, 500)));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 5'000));
  BOOST_TEST(startsIn("dc1") == 0u);
  BOOST_TEST(startsIn("dc2") == 30u);
}

// Guards against the stop of what runs in a data centre when it is drained.
BOOST_AUTO_TEST_CASE(WhatRunsThereEndsThere) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 9'000)));
  run(500);
  BOOST_REQUIRE(runsIn("dc1") == 16u);
  drain("dc1");
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 11'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against workers that stay unused after a withdrawal.
BOOST_AUTO_TEST_CASE(StartsThereAgainAfterTheWithdrawal) {
  drain("dc1");
  run(300);
  drain("dc1", false);
  run(300);
  for (auto &[Name, N] : Daemons)
    BOOST_TEST(N->drainedDataCentres() == 0u);
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 500)));
  run(400);
  BOOST_TEST(startsIn("dc1") == 16u);
}

// Guards against starts in the second of two data centres that are drained at
// the same time, and against accepted work that is lost meanwhile.
BOOST_AUTO_TEST_CASE(WorkWaitsWhileAllAreDrained) {
  drain("dc1");
  drain("dc2");
  run(300);
  BOOST_TEST(!submit(anyDaemon(), job("1", 4, 1, 500)));
  run(5'000);
  BOOST_TEST(Starts.empty());
  drain("dc2", false);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'000));
  BOOST_TEST(startsIn("dc1") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
