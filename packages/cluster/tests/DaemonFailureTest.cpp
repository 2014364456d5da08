#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_FIXTURE_TEST_SUITE(ADeploymentWithThreeDaemons, Deployment)

BOOST_AUTO_TEST_SUITE(WhenADaemonFails)

// Guards against work that is started again by the next owner.
BOOST_AUTO_TEST_CASE(TheNextOwnerTakesOverWhatRuns) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 6, 1, 6'000)));
  run(500);
  kill(owner());
  BOOST_TEST(runUntil([&] { return !owner().empty(); }, 5'000));
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 9'000));
  for (const auto &[Task, Count] : StartCounts)
    BOOST_TEST(Count == 1u);
}

// Guards against two owners, and against an owner that waits for nothing.
BOOST_AUTO_TEST_CASE(AnOwnerWithoutTheStoreIsReplaced) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 6, 1, 9'000)));
  run(500);
  std::string OldOwner = owner();
  DaemonsWithoutStore.insert(OldOwner);
  BOOST_TEST(runUntil(
      [&] {
        return std::any_of(Daemons.begin(), Daemons.end(), [&](auto &D) {
          return D.first != OldOwner && D.second->isOwner();
        });
      },
      6'000));
  BOOST_TEST(runUntil([&] { return !Daemons[OldOwner]->isOwner(); }, 3'000));
  DaemonsWithoutStore.clear();
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 12'000));
  BOOST_TEST(!RunsOverlapped);
  for (const auto &[Task, Count] : StartCounts)
    BOOST_TEST(Count == 1u);
}

// Guards against "no such job" from a daemon that cannot know.
BOOST_AUTO_TEST_CASE(ADaemonBehindTheStoreDoesNotDenyAJob) {
  Node &Follower = disconnectFollowerFromStore();
  run(4'000);
  BOOST_TEST((Follower.status("unknown").Result == Lookup::Stale));
  BOOST_TEST(!Follower.ready());
  auto R = submit(Follower, job("1", 1, 1, 100));
  BOOST_REQUIRE(R);
  BOOST_TEST((R->Why == Refusal::Unavailable));
}

// Guards against "no such job" from a daemon that was suspended: the answers it
// finds when it goes on are as old as its sleep.
BOOST_AUTO_TEST_CASE(ADaemonThatWasSuspendedDoesNotDenyAJob) {
  Node &Resumed = follower();
  std::string Name;
  for (auto &[DaemonName, N] : Daemons)
    if (N.get() == &Resumed)
      Name = DaemonName;
  // At some of these moments a read is under way.
  for (int Attempt = 0; Attempt < 6; ++Attempt) {
    std::string Id = std::to_string(Attempt);
    run(70);
    SuspendedDaemons.insert(Name);
    run(1'500);
    BOOST_TEST(!submit(*Daemons[owner()], job(Id, 1, 1, 100)));
    run(4'000);
    resume(Name);
    BOOST_TEST((Resumed.status(Id).Result != Lookup::Unknown));
    run(300);
    BOOST_TEST((Resumed.status(Id).Result == Lookup::Found));
  }
}

// Guards against "no such job" from a daemon that has just read its pages but
// not what came meanwhile.
BOOST_AUTO_TEST_CASE(ADaemonThatReadsItsPagesSlowlyDoesNotDenyAJob) {
  PageDelayMs = 900;
  Node &New = addDaemon("d");
  run(100);
  BOOST_TEST(!submit(anyDaemon(), job("1", 1, 1, 100)));
  for (int N = 0; N < 400; ++N) {
    run(5);
    BOOST_REQUIRE((New.status("1").Result != Lookup::Unknown));
  }
  BOOST_TEST((New.status("1").Result == Lookup::Found));
}

// Guards against an owner that begins again from nothing when the history that
// it follows has been deleted.
BOOST_AUTO_TEST_CASE(AnOwnerWhoseHistoryIsDeletedStartsNothingAnew) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 6, 1, 6'000)));
  run(500);
  std::string OldOwner = owner();
  for (const auto &[Name, N] : Daemons)
    if (Name != OldOwner)
      DaemonsWithoutStore.insert(Name);
  ControlTopic.OldestOffset = ControlTopic.Records.size() + 5;
  for (int N = 0; N < 6; ++N)
    ControlTopic.Records.push_back({"x/none", "1"});
  run(300);
  DaemonsWithoutStore.clear();
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 14'000));
  for (const auto &[Task, Count] : StartCounts)
    BOOST_TEST(Count == 1u);
}

// Guards against a loss of accepted work when all daemons die at once.
BOOST_AUTO_TEST_CASE(AllDaemonsDieAndTheStateIsReadAgain) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 6, 1, 3'000)));
  run(500);
  Daemons.clear();
  run(2'000);
  for (const char *Name : {"d", "e"})
    addDaemon(Name);
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 12'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against waiting for an owner whose own next life knows that it ended.
BOOST_AUTO_TEST_CASE(ARestartedOwnerDoesNotWaitForItself) {
  std::string OldOwner = owner();
  Daemons.clear();
  run(50);
  for (const char *Name : {"a", "b", "c"})
    addDaemon(Name);
  BOOST_TEST(runUntil([&] { return owner() == OldOwner; }, 400));
}

// Guards against an owner that reaches the store but none of the workers.
BOOST_AUTO_TEST_CASE(AnOwnerWithoutWorkersGivesUp) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 9'000)));
  run(500);
  std::string OldOwner = owner();
  DaemonsWithoutWorkers.insert(OldOwner);
  BOOST_TEST(
      runUntil([&] { return !owner().empty() && owner() != OldOwner; }, 8'000));
  run(8'000);
  BOOST_TEST(owner() != OldOwner);
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 20'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against a small host that owns for ever beside a large one.
BOOST_AUTO_TEST_CASE(AMuchLargerHostTakesOver) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 6, 1, 6'000)));
  addDaemon("z", 500);
  BOOST_TEST(runUntil([&] { return owner() == "z"; }, 6'000));
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 9'000));
  for (const auto &[Task, Count] : StartCounts)
    BOOST_TEST(Count == 1u);
}

// Guards against a planned stop that costs a takeover's time.
BOOST_AUTO_TEST_CASE(AStoppingOwnerHandsOverAtOnce) {
  std::string OldOwner = owner();
  Daemons[OldOwner]->beginStop();
  BOOST_TEST(runUntil(
      [&] {
        return std::any_of(Daemons.begin(), Daemons.end(), [&](auto &D) {
          return D.first != OldOwner && D.second->isOwner();
        });
      },
      1'000));
  BOOST_TEST(Daemons[OldOwner]->stopped());
}

// Guards against callers that are sent away by a daemon they still reach.
BOOST_AUTO_TEST_CASE(AStoppingDaemonStillAcceptsWork) {
  Node &Stopping = *Daemons[owner()];
  Stopping.beginStop();
  run(500);
  BOOST_TEST(!submit(Stopping, job("1", 1, 1, 200)));
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 3'000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
