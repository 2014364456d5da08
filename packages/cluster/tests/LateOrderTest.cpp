#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_FIXTURE_TEST_SUITE(OrdersThatAreCarriedOutLate, Deployment)

namespace {

void setDraining(World &W, const std::string &Worker, bool Draining) {
  W.Workers[Worker].Entry.Draining = Draining;
  W.Registry.push_back({Worker, W.Workers[Worker].Entry});
}

} // namespace

// Guards against a second run beside the first one: the lease of a worker that
// had restarted was renewed by a start meant for its earlier incarnation, whose
// clock was ahead, and ended later than the owner assumed.
BOOST_AUTO_TEST_CASE(LateStartForAnEarlierIncarnationRenewsTheLease) {
  for (const char *Id : {"w2", "w3"})
    setDraining(*this, Id, true);
  run(100);
  Workers["w1"].StartDelayMs = 12'000;
  std::int64_t SentMs = Clock;
  BOOST_TEST(!submit(anyDaemon(), job("late", 1, 1, 60'000)));
  run(1'500);
  restartWithoutRegistryChange("w1");
  Registry.push_back({"w1", Workers["w1"].Entry});
  anyDaemon().cancel("late", [](Lookup) {});
  run(4'000);
  BOOST_TEST(!submit(anyDaemon(), job("1", 1, 1, 60'000)));
  BOOST_REQUIRE(
      runUntil([&] { return Workers["w1"].Runs.size() == 1u; }, 5'000));
  run(SentMs + 11'000 - Clock);
  Workers["w1"].Disconnected = true;
  setDraining(*this, "w2", false);
  BOOST_TEST(runUntil([&] { return !Workers["w2"].Runs.empty(); }, 24'000));
  BOOST_TEST(!RunsOverlapped);
}

BOOST_AUTO_TEST_SUITE_END()
