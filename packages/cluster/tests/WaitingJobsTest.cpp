#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

namespace {

/// A worker that no longer receives anything, which the owner does not know
/// yet, and four jobs that only this worker may run.
struct JobsPlacedOnALostWorker : Deployment {
  JobsPlacedOnALostWorker() {
    addWorker("h", "rh");
    run(300);
    Workers["h"].Disconnected = true;
    for (const char *Id : {"1", "2", "3", "4"}) {
      auto J = job(Id, 1, 1, 1'500);
      J.Steps[0].RequiredLabel = "rh";
      BOOST_REQUIRE(!submit(anyDaemon(), J));
    }
    run(500);
  }
  bool allCount(std::size_t Waiting) {
    return std::all_of(Daemons.begin(), Daemons.end(), [&](auto &D) {
      return D.second->waiting("q1") == Waiting;
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobsThatHaveNotBegun, JobsPlacedOnALostWorker)

// Guards against jobs that are missing in the number of waiting ones although
// no worker has begun them.
BOOST_AUTO_TEST_CASE(AreCountedAsWaitingWhilePlaced) {
  BOOST_TEST(allCount(4));
  BOOST_TEST(allShow("1", JobState::Queued));
  // The starts are given up.
  run(2'500);
  BOOST_TEST(allCount(4));
}

BOOST_AUTO_TEST_CASE(AreNoLongerCountedOnceTheirStartIsConfirmed) {
  Workers["h"].Disconnected = false;
  BOOST_TEST(runUntil([&] { return allCount(0); }, 6'000));
  BOOST_TEST(allShow("1", JobState::Running));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 6'000));
}

// Guards against a next owner that takes a recorded placement for a start, or
// forgets that a job has begun.
BOOST_AUTO_TEST_CASE(AreCountedInTheSameWayByTheNextOwner) {
  kill(owner());
  BOOST_REQUIRE(runUntil([&] { return !owner().empty(); }, 4'000));
  run(300);
  BOOST_TEST(allCount(4));
  Workers["h"].Disconnected = false;
  BOOST_TEST(runUntil([&] { return allCount(0); }, 12'000));
  kill(owner());
  BOOST_REQUIRE(runUntil([&] { return !owner().empty(); }, 4'000));
  run(100);
  BOOST_TEST(allCount(0));
}

// Guards against a job that counts as waiting again because its worker is lost.
BOOST_AUTO_TEST_CASE(HaveBegunEvenIfTheirWorkerIsLostLater) {
  Workers["h"].Disconnected = false;
  BOOST_REQUIRE(runUntil([&] { return allCount(0); }, 6'000));
  Workers["h"].Up = false;
  Registry.push_back({"h", std::nullopt});
  run(12'000);
  BOOST_TEST(allCount(0));
  BOOST_TEST(allShow("1", JobState::Running));
}

BOOST_AUTO_TEST_SUITE_END()
