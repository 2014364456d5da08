#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_FIXTURE_TEST_SUITE(DeploymentWithThreeDaemons, Deployment)

BOOST_AUTO_TEST_SUITE(DaemonFailure)

// Guards against tasks that the next owner starts again although they are
// running.
BOOST_AUTO_TEST_CASE(NextOwnerAdoptsRunningTasks) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 6, 1, 6'000)));
  run(500);
  kill(owner());
  BOOST_TEST(runUntil([&] { return !owner().empty(); }, 5'000));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against two owners at the same time, and against an owner that waits
// in vain for a store that it cannot reach.
BOOST_AUTO_TEST_CASE(OwnerWithoutStoreIsReplaced) {
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
      runUntil([&] { return allShow("1", JobState::Completed); }, 12'000));
  BOOST_TEST(!RunsOverlapped);
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against seconds without placements while callers' requests show that
// the owner cannot act: the store rejects its calls, or its process has ended.
BOOST_AUTO_TEST_CASE(OwnerThatHandlesNoRequestsIsReplacedSoon) {
  std::string OldOwner = owner();
  DaemonsWithoutStore.insert(OldOwner);
  std::int64_t Lost = Clock;
  auto Replaced = [&] {
    for (auto &[Name, N] : Daemons)
      if (Name != OldOwner && N->isOwner())
        return true;
    run(100);
    for (auto &[Name, N] : Daemons)
      if (Name != OldOwner)
        N->recordForwarded("/q1/1", OldOwner + ":relay", PeerAnswer::NotHandled,
                           base::Millis(3));
    return false;
  };
  BOOST_TEST(runUntil(Replaced, 6'000));
  BOOST_TEST(Clock - Lost < 1'500);
}

// Guards against an owner that is replaced although it records its work: a
// single request found it unable to read.
BOOST_AUTO_TEST_CASE(OwnerThatRecordsIsNotReplaced) {
  std::string Before = owner();
  for (int N = 0; N < 30; ++N) {
    run(100);
    follower().recordForwarded("/q1/1", Before + ":relay",
                               PeerAnswer::NotHandled, base::Millis(3));
  }
  BOOST_TEST(owner() == Before);
}

// Guards against an owner that is replaced because the store is slow for all
// daemons: it answers late that it could not store a job.
BOOST_AUTO_TEST_CASE(OwnerThatAnswersLateIsNotReplacedSooner) {
  std::string OldOwner = owner();
  DaemonsWithoutStore.insert(OldOwner);
  for (int N = 0; N < 13; ++N) {
    run(100);
    follower().recordForwarded("/q1/1", OldOwner + ":relay",
                               PeerAnswer::NotHandled, base::Millis(2'000));
  }
  for (auto &[Name, N] : Daemons)
    BOOST_TEST(N->isOwner() == (Name == OldOwner));
}

// Guards against claims while the store is down for all daemons, which would be
// carried out when it returns and replace an owner that works.
BOOST_AUTO_TEST_CASE(NoOwnerIsReplacedWhileTheStoreIsDown) {
  std::string Before = owner();
  unsigned ClaimsBefore = ClaimAttempts;
  for (auto &[Name, N] : Daemons)
    DaemonsWithoutStore.insert(Name);
  for (int N = 0; N < 40; ++N) {
    run(100);
    for (auto &[Name, D] : Daemons)
      if (Name != Before)
        D->recordForwarded("/q1/1", Before + ":relay", PeerAnswer::NotHandled,
                           base::Millis(3));
  }
  DaemonsWithoutStore.clear();
  run(1'000);
  BOOST_TEST(ClaimAttempts == ClaimsBefore);
  BOOST_TEST(owner() == Before);
}

// Guards against a daemon that reports a job as running for as long as the
// store rejects its calls, although the job has ended long ago.
BOOST_AUTO_TEST_CASE(StaleStateOfAJobIsNotCurrent) {
  BOOST_TEST(!submit(anyDaemon(), job("long", 1, 1, 9'000)));
  BOOST_TEST(!submit(anyDaemon(), job("short", 1, 1, 100)));
  run(1'000);
  BOOST_TEST(follower().status("long").Current);
  Node &Follower = disconnectFollowerFromStore();
  run(1'500);
  BOOST_TEST((Follower.status("long").Result == Lookup::Found));
  BOOST_TEST(!Follower.status("long").Current);
  BOOST_TEST(Follower.status("short").Current);
}

// Guards against an owner that was suspended and goes on, when it resumes, as
// if it still were the owner: its calls and answers are from before.
BOOST_AUTO_TEST_CASE(OwnerThatWasSuspendedStartsNothing) {
  for (std::int64_t PauseMs : {1'700, 2'500, 8'000}) {
    std::string Id = std::to_string(PauseMs);
    std::string Suspended = owner();
    // More work than fits, so that the suspended owner would place some.
    BOOST_TEST(!submit(anyDaemon(), job(Id, 30, 1, 1'500)));
    run(1'450);
    SuspendedDaemons.insert(Suspended);
    run(PauseMs);
    resume(Suspended);
    BOOST_TEST(
        runUntil([&] { return allShow(Id, JobState::Completed); }, 15'000));
  }
  BOOST_TEST(!RunsOverlapped);
  BOOST_TEST(!StartedAfterAcknowledgedEnd);
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against a restarted daemon that uses a worker that has left, or serves
// an earlier configuration with a key that has been withdrawn.
BOOST_AUTO_TEST_CASE(RestartedDaemonsUseNothingThatWasWithdrawn) {
  Workers["w2"].Up = false;
  Registry.push_back({"w2", std::nullopt});
  configure(2);
  run(500);
  for (const char *Name : {"a", "b", "c"}) {
    kill(Name);
    addDaemon(Name);
  }
  BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 6'000));
  Workers["w2"].Up = true;
  BOOST_TEST(!submit(*Daemons[owner()], job("1", 24, 1, 300)));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 6'000));
  BOOST_TEST(Workers["w2"].LeaseUntilMs == 0);
  for (auto &[Name, N] : Daemons)
    BOOST_TEST(N->configuration()->Version == 2u);
}

// Guards against the answer that a job is unknown from a daemon whose state is
// too old to tell, because it does not reach the store.
BOOST_AUTO_TEST_CASE(DaemonWithStaleStateDoesNotReportJobUnknown) {
  Node &Follower = disconnectFollowerFromStore();
  run(4'000);
  BOOST_TEST((Follower.status("unknown").Result == Lookup::Stale));
  BOOST_TEST(!Follower.ready());
  auto R = submit(Follower, job("1", 1, 1, 100));
  BOOST_REQUIRE(R);
  BOOST_TEST((R->Why == Refusal::Unavailable));
}

// Guards against the answer that a job is unknown from a daemon that was
// suspended: the answers that it receives when it resumes were sent before.
BOOST_AUTO_TEST_CASE(ResumedDaemonDoesNotReportJobUnknown) {
  Node &Resumed = follower();
  std::string Name;
  for (auto &[DaemonName, N] : Daemons)
    if (N.get() == &Resumed)
      Name = DaemonName;
  // In some of these attempts a read is in flight when the daemon is suspended.
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

// Guards against the answer that a job is unknown from a daemon that has just
// read the pages with the newest record of each key, but not the records
// appended in the meantime.
BOOST_AUTO_TEST_CASE(DaemonWithDelayedNewestRecordsDoesNotReportJobUnknown) {
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

// Guards against an owner that starts over with an empty state when the records
// that it would read next have been deleted.
BOOST_AUTO_TEST_CASE(OwnerOfTrimmedTopicStartsNoTaskAgain) {
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
      runUntil([&] { return allShow("1", JobState::Completed); }, 14'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against the loss of accepted jobs when all daemons fail at once.
BOOST_AUTO_TEST_CASE(JobCompletesAfterAllDaemonsAreReplaced) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 6, 1, 3'000)));
  run(500);
  Daemons.clear();
  run(2'000);
  for (const char *Name : {"d", "e"})
    addDaemon(Name);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 12'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against a daemon that waits for the timeout of an owner that was its
// own earlier incarnation, which has certainly ended.
BOOST_AUTO_TEST_CASE(RestartedOwnerClaimsWithoutOwnerTimeout) {
  std::string OldOwner = owner();
  Daemons.clear();
  run(50);
  for (const char *Name : {"a", "b", "c"})
    addDaemon(Name);
  BOOST_TEST(runUntil([&] { return owner() == OldOwner; }, 400));
}

// Guards against an owner that reaches the store but none of the workers.
BOOST_AUTO_TEST_CASE(OwnerThatReachesNoWorkerReleasesOwnership) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 9'000)));
  run(500);
  std::string OldOwner = owner();
  DaemonsWithoutWorkers.insert(OldOwner);
  BOOST_TEST(
      runUntil([&] { return !owner().empty() && owner() != OldOwner; }, 8'000));
  run(8'000);
  BOOST_TEST(owner() != OldOwner);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 20'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against a small host that stays the owner although there is a much
// larger one.
BOOST_AUTO_TEST_CASE(DaemonOnMuchLargerHostBecomesOwner) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 6, 1, 6'000)));
  addDaemon("z", 500);
  BOOST_TEST(runUntil([&] { return owner() == "z"; }, 6'000));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against a planned stop after which the next owner claims only after
// the owner timeout.
BOOST_AUTO_TEST_CASE(StoppingOwnerIsReplacedAtOnce) {
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

// Guards against refusals by a daemon that is stopping while callers still
// reach it.
BOOST_AUTO_TEST_CASE(StoppingDaemonAcceptsJobs) {
  Node &Stopping = *Daemons[owner()];
  Stopping.beginStop();
  run(500);
  BOOST_TEST(!submit(Stopping, job("1", 1, 1, 200)));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'000));
}

// Guards against tasks that wait longer for the leases of an owner that was
// lost with their worker: work that lasts may be down for 9 s.
BOOST_AUTO_TEST_CASE(TasksOfWorkerLostWithItsOwnerRunElsewhereInTime) {
  for (std::int64_t PhaseMs : {0, 90, 180, 270, 360}) {
    std::string Id = std::to_string(PhaseMs);
    BOOST_REQUIRE(!submit(anyDaemon(), job(Id, 6, 1, 10'500)));
    run(1'000 + PhaseMs);
    BOOST_REQUIRE(!Workers["w1"].Runs.empty());
    std::string Lost = owner();
    kill(Lost);
    Workers["w1"].Up = false;
    std::int64_t LostAtMs = Clock;
    auto AllRun = [&] {
      return Workers["w2"].Runs.size() + Workers["w3"].Runs.size() == 6u;
    };
    BOOST_TEST(runUntil(AllRun, 12'000));
    BOOST_TEST(Clock - LostAtMs < 9'000);
    BOOST_TEST_MESSAGE("started elsewhere after " << Clock - LostAtMs);
    addDaemon(Lost);
    addWorker("w1", "r1");
    BOOST_TEST(
        runUntil([&] { return allShow(Id, JobState::Completed); }, 20'000));
    run(2'000);
  }
}

/// A Deployment whose owner can be cut off, with some of the workers, from the
/// store, from the other workers and, as to its workers, from the other
/// daemons.
struct DeploymentWithZones : Deployment {
  std::string CutOwner;
  void cutOwnerOffWith(const std::set<std::string> &Zone) {
    CutOwner = owner();
    DaemonsWithoutStore.insert(CutOwner);
    for (const auto &[Id, W] : Workers)
      for (const auto &[Name, N] : Daemons)
        if (Zone.contains(Id) != (Name == CutOwner))
          UnreachableWorkers[Name].insert(Id);
  }
  void heal() {
    DaemonsWithoutStore.clear();
    UnreachableWorkers.clear();
  }
};

BOOST_FIXTURE_TEST_SUITE(OwnerCutOffWithItsZone, DeploymentWithZones)

// Guards against an owner that is cut off with some workers and goes on
// renewing their leases while the next owner starts their tasks elsewhere.
BOOST_AUTO_TEST_CASE(TasksOfCutOffZoneNeverRunTwiceAtOnce) {
  const std::vector<std::set<std::string>> Zones{{"w1"}, {"w1", "w2"}};
  int N = 0;
  for (const auto &Zone : Zones)
    for (std::int64_t CutAfterMs : {730, 910, 1'090, 1'270}) {
      std::string Id = std::to_string(N++);
      for (auto &[Worker, W] : Workers)
        W.SlowClock = N % 2;
      BOOST_REQUIRE(!submit(anyDaemon(), job("long" + Id, 6, 1, 25'000)));
      BOOST_REQUIRE(!submit(anyDaemon(), job("short" + Id, 3, 1, 5'000)));
      run(CutAfterMs);
      cutOwnerOffWith(Zone);
      run(16'000);
      heal();
      BOOST_TEST(runUntil(
          [&] {
            return allShow("long" + Id, JobState::Completed) &&
                   allShow("short" + Id, JobState::Completed);
          },
          60'000));
      BOOST_TEST(!RunsOverlapped);
      BOOST_TEST(!StartedAfterAcknowledgedEnd);
      BOOST_TEST(!StartedAfterEndAcknowledgedLater);
      run(10'000);
    }
}

// Guards against an owner that gives orders for ever although it has been
// replaced and nobody can tell it so.
BOOST_AUTO_TEST_CASE(OwnerCutOffForLongGivesNoOrders) {
  BOOST_REQUIRE(!submit(anyDaemon(), job("1", 24, 1, 60'000)));
  run(1'000);
  cutOwnerOffWith({"w1", "w2"});
  run(9'000);
  BOOST_TEST(Workers["w1"].Runs.empty());
  unsigned CallsBefore = WorkerCalls[CutOwner];
  run(20'000);
  BOOST_TEST(WorkerCalls[CutOwner] == CallsBefore);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
