#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_FIXTURE_TEST_SUITE(RegistryWithEntriesOfOtherWriters, Deployment)

// Guards against a worker at work that gets no new tasks, because another writer
// has written something unreadable under its id.
BOOST_AUTO_TEST_CASE(WorkerBehindAnUnreadableEntryStaysInUse) {
  Registry.push_back({"w1", std::nullopt, true});
  run(1'000);
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 300)));
  run(200);
  BOOST_TEST(Workers["w1"].Runs.size() == 8u);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 2'000));
}

BOOST_AUTO_TEST_SUITE_END()
