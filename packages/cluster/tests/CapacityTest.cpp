#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

namespace {

/// With a single worker, whose capacity changes while it runs.
struct DeploymentWithOneWorker : Deployment {
  DeploymentWithOneWorker() {
    for (const char *Id : {"w2", "w3"})
      Registry.push_back({Id, std::nullopt});
    run(200);
  }
  void setGpus(std::int64_t Gpus) {
    Workers["w1"].Entry.Capacity.Gpus = Gpus;
    Registry.push_back({"w1", Workers["w1"].Entry});
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerWhoseCapacityChanges, DeploymentWithOneWorker)

// Guards against starts on a worker whose runs take more than it has left.
BOOST_AUTO_TEST_CASE(GetsNoTasksUntilEnoughRunsHaveEnded) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 6, 1, 3'000)));
  run(300);
  BOOST_REQUIRE(Workers["w1"].Runs.size() == 6u);
  setGpus(2);
  run(300);
  BOOST_TEST(!submit(anyDaemon(), job("2", 6, 1, 2'000)));
  run(1'000);
  BOOST_TEST(Workers["w1"].Runs.size() == 6u);
  run(2'500);
  BOOST_TEST(Workers["w1"].Runs.size() == 2u);
  BOOST_TEST(StartsRefusedForRoom == 0u);
}

// Guards against room that stays unused after the capacity has grown.
BOOST_AUTO_TEST_CASE(GetsMoreTasksOnceItHasGrown) {
  setGpus(2);
  run(200);
  BOOST_TEST(!submit(anyDaemon(), job("1", 6, 1, 3'000)));
  run(300);
  BOOST_TEST(Workers["w1"].Runs.size() == 2u);
  setGpus(8);
  run(300);
  BOOST_TEST(Workers["w1"].Runs.size() == 6u);
  BOOST_TEST(StartsRefusedForRoom == 0u);
}

// Guards against a start over the capacity that shrank while the placement was
// being stored.
BOOST_AUTO_TEST_CASE(GetsNoTaskThatWasPlacedBeforeItShrank) {
  AppendDurationMs = 400;
  BOOST_TEST(!submit(anyDaemon(), job("1", 8, 1, 3'000)));
  run(100);
  BOOST_REQUIRE(Workers["w1"].Runs.empty());
  setGpus(3);
  run(1'000);
  BOOST_TEST(Workers["w1"].Runs.size() == 3u);
  BOOST_TEST(StartsRefusedForRoom == 0u);
  AppendDurationMs = 0;
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 30'000));
}

BOOST_AUTO_TEST_SUITE_END()
