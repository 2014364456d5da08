#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_FIXTURE_TEST_SUITE(DeploymentWithThreeDaemons, Deployment)

BOOST_AUTO_TEST_SUITE(WorkerFailure)

// Guards against tasks that wait for ever for a worker that has failed: each
// call to a silent worker used to extend the lease whose end is awaited.
BOOST_AUTO_TEST_CASE(TasksOfSilentWorkerRunElsewhereAfterItsLease) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 3'000)));
  run(300);
  Workers["w2"].Up = false;
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 14'000));
}

// Guards against a second run of a task while a worker that is only
// disconnected still runs it.
BOOST_AUTO_TEST_CASE(TasksOfDisconnectedWorkerNeverRunTwiceAtOnce) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 9'000)));
  run(300);
  Workers["w2"].Disconnected = true;
  run(12'000);
  Workers["w2"].Disconnected = false;
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 20'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against a second run while the first still has its lease: the clock of
// a worker that was idle for long is known less exactly.
BOOST_AUTO_TEST_CASE(LeaseOfWorkerWithSlowClockIsAwaited) {
  kill("b");
  kill("c");
  for (const char *Id : {"w1", "w2"}) {
    Workers[Id].Entry.Draining = true;
    Registry.push_back({Id, Workers[Id].Entry});
  }
  Workers["w3"].SlowClock = true;
  BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 3'000));
  addWorker("w4", "r1").SlowClock = true;
  Workers["w4"].DisconnectAfterStart = true;
  Workers["w3"].Entry.Draining = true;
  Registry.push_back({"w3", Workers["w3"].Entry});
  run(28'000);
  BOOST_TEST(!submit(anyDaemon(), job("1", 1, 1, 60'000)));
  run(1'000);
  BOOST_REQUIRE(Workers["w4"].Runs.size() == 1u);
  Workers["w1"].Entry.Draining = false;
  Registry.push_back({"w1", Workers["w1"].Entry});
  BOOST_TEST(runUntil([this] { return !Workers["w1"].Runs.empty(); }, 12'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against waiting for the lease of a worker that has restarted.
BOOST_AUTO_TEST_CASE(TasksOfRestartedWorkerRunAgainAtOnce) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 1'000)));
  run(300);
  addWorker("w2", "r1");
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 4'000));
}

// Guards against new runs on a worker that is about to be removed.
BOOST_AUTO_TEST_CASE(DrainingWorkerGetsNoNewTasks) {
  for (const char *Id : {"w1", "w2"}) {
    Workers[Id].Entry.Draining = true;
    Registry.push_back({Id, Workers[Id].Entry});
  }
  run(500);
  BOOST_TEST(!submit(anyDaemon(), job("1", 8, 1, 500)));
  run(300);
  BOOST_TEST(Workers["w1"].Runs.empty());
  BOOST_TEST(Workers["w2"].Runs.empty());
  BOOST_TEST(Workers["w3"].Runs.size() == 8u);
}

// Guards against runs that are lost with their worker, so that the end of its
// lease is awaited, and against runs that are stopped although they would have
// ended in time.
BOOST_AUTO_TEST_CASE(TaskThatCannotEndOnLeavingWorkerMovesAtOnce) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  BOOST_TEST(!submit(anyDaemon(), job("long", 2, 1, 5'000)));
  BOOST_TEST(!submit(anyDaemon(), job("short", 2, 1, 1'800)));
  run(800);
  addWorker("w4", "r1");
  Workers["w1"].Entry.Draining = true;
  Workers["w1"].Entry.LeavesInMs = 3'000;
  Registry.push_back({"w1", Workers["w1"].Entry});
  run(2'500);
  BOOST_TEST(Workers["w4"].Runs.size() == 2u);
  BOOST_TEST(allShow("short", JobState::Completed));
  Workers["w1"].Up = false;
  Registry.push_back({"w1", std::nullopt});
  BOOST_TEST(
      runUntil([&] { return allShow("long", JobState::Completed); }, 5'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == (Task.Job == "long" ? 2u : 1u));
}

// Guards against progress that is lost because a run is stopped earlier than
// necessary.
BOOST_AUTO_TEST_CASE(TaskThatSavesProgressStaysUntilTheLatestStop) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  auto J = job("1", 2, 1, 9'000);
  J.Steps[0].SavesProgress = true;
  BOOST_TEST(!submit(anyDaemon(), J));
  run(800);
  addWorker("w4", "r1");
  Workers["w1"].Entry.Draining = true;
  Workers["w1"].Entry.LeavesInMs = 4'000;
  Registry.push_back({"w1", Workers["w1"].Entry});
  run(2'000);
  BOOST_TEST(Workers["w1"].Runs.size() == 2u);
  run(1'500);
  BOOST_TEST(Workers["w1"].Runs.empty());
  BOOST_TEST(Workers["w4"].Runs.size() == 2u);
}

// Guards against jobs that use up their attempts on one worker that fails every
// run.
BOOST_AUTO_TEST_CASE(WorkerThatFailsEveryRunFailsNoJob) {
  Workers["w2"].FailsEveryRun = true;
  for (int N = 0; N < 8; ++N)
    BOOST_TEST(!submit(anyDaemon(), job(std::to_string(N), 3, 1, 300)));
  run(15'000);
  for (int N = 0; N < 8; ++N)
    BOOST_TEST(allShow(std::to_string(N), JobState::Completed));
}

// Guards against one failure of a gang that is counted by each owner that reads
// it.
BOOST_AUTO_TEST_CASE(GangFailureIsCountedOnceAcrossOwners) {
  auto J = job("1", 2, 1, 2'000);
  J.MaxAttempts = 2;
  J.Steps[0].Gang = true;
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  Workers["w1"].FailRunsAtMs = Clock + 400;
  BOOST_TEST(!submit(anyDaemon(), J));
  run(100);
  // Keeps the gang waiting after its failure.
  Workers["w1"].Entry.Draining = true;
  Registry.push_back({"w1", Workers["w1"].Entry});
  // The failure is recorded, but its acknowledgement does not arrive.
  auto Recorded = [this, &J] {
    return std::any_of(ControlTopic.Records.begin(), ControlTopic.Records.end(),
                       [&J](const KeyValue &R) {
                         workload::Ledger L;
                         (void)L.apply(workload::Ledger::submission(J));
                         return R.Key == "p/1" && L.apply(R) &&
                                L.find("1")->task({0, 0, 0}).Failures == 1;
                       });
  };
  for (int N = 0; N < 2'000 && !Recorded(); ++N)
    run(1);
  BOOST_REQUIRE(Recorded());
  Workers["w1"].Disconnected = true;
  kill(owner());
  run(50);
  Workers["w1"].Disconnected = false;
  BOOST_REQUIRE(runUntil([&] { return !owner().empty(); }, 4'000));
  run(500);
  Workers["w1"].Entry.Draining = false;
  Registry.push_back({"w1", Workers["w1"].Entry});
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 12'000));
}

// Guards against an answer of a worker's earlier incarnation, or a registry
// entry of it that is read late, because of which the runs of the current
// incarnation would be given up.
BOOST_AUTO_TEST_CASE(EarlierIncarnationDoesNotAffectRunsOfTheNext) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  run(100);
  auto EarlierEntry = Workers["w1"].Entry;
  addWorker("w1", "r1");
  run(100);
  BOOST_TEST(!submit(anyDaemon(), job("1", 2, 1, 3'000)));
  run(300);
  Registry.push_back({"w1", EarlierEntry});
  run(500);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  BOOST_TEST((Starts.begin()->second == 1u));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against a worker that is never used again, because its wall clock was
// set back before it restarted.
BOOST_AUTO_TEST_CASE(NextIncarnationMayHaveEarlierStartTime) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  BOOST_TEST(!submit(anyDaemon(), job("1", 2, 1, 2'000)));
  run(300);
  std::int64_t EarlierStartMs = Workers["w1"].Entry.ProcessStartMs;
  addWorker("w1", "r1").Entry.ProcessStartMs = EarlierStartMs - 1'000;
  Registry.push_back({"w1", Workers["w1"].Entry});
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 4'000));
}

// Guards against a start that arrives at the next incarnation of its worker
// while the task runs elsewhere.
BOOST_AUTO_TEST_CASE(DelayedStartIsBarredInTheNextIncarnation) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  Workers["w1"].StartDelayMs = 1'200;
  BOOST_TEST(!submit(anyDaemon(), job("1", 2, 1, 4'000)));
  run(300);
  addWorker("w1", "r1");
  addWorker("w4", "r1");
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against the loss of an end: each incarnation numbers its ends from the
// beginning, so an acknowledgement meant for the earlier incarnation covers the
// first ends of the next one.
BOOST_AUTO_TEST_CASE(EndOfNextIncarnationIsNotAcknowledgedUnread) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  BOOST_TEST(!submit(anyDaemon(), job("1", 8, 1, 50)));
  BOOST_REQUIRE(
      runUntil([&] { return allShow("1", JobState::Completed); }, 2'000));
  run(500);
  restartWithoutRegistryChange("w1");
  // So short that it ends before the owner requests the lists.
  BOOST_TEST(!submit(anyDaemon(), job("2", 1, 1, 1)));
  BOOST_TEST(
      runUntil([&] { return allShow("2", JobState::Completed); }, 3'000));
  BOOST_TEST(!StartedAfterAcknowledgedEnd);
}

// Guards against a second run at the same time as one that the next incarnation
// of a worker confirmed before the owner could notice the restart.
BOOST_AUTO_TEST_CASE(RunOfUnnoticedIncarnationDoesNotOverlapTheNextRun) {
  Workers["w1"].Entry.Rack = "r2";
  for (const char *Id : {"w1", "w2"})
    Registry.push_back({Id, Workers[Id].Entry});
  Registry.push_back({"w3", std::nullopt});
  run(2'000);
  restartWithoutRegistryChange("w1");
  // Its clock is not reset, so that only the lists show the new incarnation.
  Workers["w1"].ClockZeroMs = 0;
  Workers["w1"].StopDurationMs = 200;
  auto Spec = job("1", 2, 1, 3'000);
  Spec.Steps[0].DataRack = "r2";
  BOOST_TEST(!submit(anyDaemon(), Spec));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against urgent work that is late because one call was lost: apart from
// its own run time it has only about a second of slack.
BOOST_AUTO_TEST_CASE(LostStartIsRepeatedSoon) {
  for (auto &[Id, W] : Workers)
    W.StartsToLose = 1;
  BOOST_TEST(!submit(anyDaemon(), job("1", 1, 1, 100)));
  BOOST_TEST(runUntil([&] { return allShow("1", JobState::Completed); }, 900));
}

// Guards against urgent work that is late because the owner learns of its end
// late after a lost sync.
BOOST_AUTO_TEST_CASE(LostSyncDelaysEndOnlyBriefly) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 1, 1, 3'600)));
  run(2'000);
  for (auto &[Id, W] : Workers)
    W.SyncsToLose = 1;
  // It ends in 1,600 ms.
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 2'300));
}

// Guards against an abandoned start that arrives at the next incarnation of its
// worker, which has not received the stop that barred it.
BOOST_AUTO_TEST_CASE(AbandonedStartStaysBarredAfterARestart) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  Workers["w1"].StartDelayMs = 6'000;
  BOOST_TEST(!submit(anyDaemon(), job("1", 2, 1, 4'000)));
  run(300);
  Workers["w1"].Entry.Draining = true;
  Registry.push_back({"w1", Workers["w1"].Entry});
  addWorker("w4", "r1");
  BOOST_REQUIRE(
      runUntil([this] { return !Workers["w4"].Runs.empty(); }, 5'000));
  addWorker("w1", "r1");
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against resources that are held for seconds: the stop of a run that
// never arrived produces no end that would be listed at once.
BOOST_AUTO_TEST_CASE(UndeliveredStartFreesItsResourcesSoon) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  Workers["w1"].StartDelayMs = 60'000;
  BOOST_TEST(!submit(anyDaemon(), job("1", 2, 1, 100)));
  run(300);
  Workers["w1"].Entry.Draining = true;
  Registry.push_back({"w1", Workers["w1"].Entry});
  addWorker("w4", "r1");
  // The timeout of a start, the longest stop, and margins.
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'900));
}

// Guards against urgent work that takes six times as long on a slow worker
// while other workers are idle, and against more work that is placed there
// afterwards.
BOOST_AUTO_TEST_CASE(UrgentTaskIsMovedOffSlowWorker) {
  // The usual rate is measured on an earlier job.
  BOOST_TEST(!submit(anyDaemon(), job("0", 8, 1, 2'500)));
  BOOST_REQUIRE(
      runUntil([&] { return allShow("0", JobState::Completed); }, 4'000));
  Workers["w1"].SlowdownFactor = 6;
  auto Urgent = job("1", 1, 8, 2'500);
  Urgent.Priority = 0;
  BOOST_TEST(!submit(anyDaemon(), Urgent));
  run(300);
  BOOST_REQUIRE(Workers["w1"].Runs.size() == 1u);
  // Three times the estimate instead of six.
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 7'500));
  Urgent = job("2", 1, 8, 2'500);
  Urgent.Priority = 0;
  BOOST_TEST(!submit(anyDaemon(), Urgent));
  run(300);
  BOOST_TEST(Workers["w1"].Runs.empty());
}

// Guards against a gang that is taken for slow and moved while its members wait
// for one whose start was lost.
BOOST_AUTO_TEST_CASE(GangWaitingForAMemberIsNotMoved) {
  auto Urgent = job("1", 2, 8, 2'500);
  Urgent.Priority = 0;
  Urgent.Steps[0].Gang = true;
  GangSizes["1"] = 2;
  Workers["w2"].StartsToLose = 2;
  BOOST_TEST(!submit(anyDaemon(), Urgent));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 4'500));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against sound gangs that are stopped as stalled, again and again: a
// member on a fast worker has finished long before the slowest one, reports 100
// percent and waits.
BOOST_AUTO_TEST_CASE(GangWaitingForItsSlowestMemberIsNotStopped) {
  auto J = job("1", 2, 8, 7'000);
  J.Steps[0].Gang = true;
  GangSizes["1"] = 2;
  kill("b");
  kill("c");
  BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 3'000));
  Registry.push_back({"w3", std::nullopt});
  Workers["w2"].SlowdownFactor = 2;
  run(200);
  BOOST_TEST(!submit(anyDaemon(), J));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 15'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against gangs that hang for ever: one member stands still on a worker
// that accepts runs and does not advance them.
BOOST_AUTO_TEST_CASE(GangWithAMemberThatStandsStillRunsElsewhere) {
  for (unsigned Percent : {30U, 100U}) {
    std::string Id = "at" + std::to_string(Percent);
    auto J = job(Id, 2, 8, 3'000);
    J.Steps[0].Gang = true;
    GangSizes[Id] = 2;
    run(12'000);
    Workers["w1"].StallsAtPercent = Percent;
    BOOST_TEST(!submit(anyDaemon(), J));
    run(1'000);
    BOOST_REQUIRE(!Workers["w1"].Runs.empty());
    BOOST_TEST(
        runUntil([&] { return allShow(Id, JobState::Completed); }, 18'000));
  }
  BOOST_TEST(!RunsOverlapped);
}

// Guards against endless attempts of a job whose runs always fail.
BOOST_AUTO_TEST_CASE(FailingJobEndsAfterMaxAttempts) {
  for (auto &[Id, W] : Workers)
    W.FailsEveryRun = true;
  BOOST_TEST(!submit(anyDaemon(), job("1", 1, 1, 300)));
  BOOST_TEST(runUntil([&] { return allShow("1", JobState::Failed); }, 30'000));
  BOOST_TEST((Starts.begin()->second == 3u));
}

// Guards against accepted work that waits beside free workers: all of them were
// avoided for seconds, as runs of several jobs had failed on them.
BOOST_AUTO_TEST_CASE(WorkStartsAlthoughAllWorkersAreAvoided) {
  for (auto &[Id, W] : Workers)
    W.FailsEveryRun = true;
  for (const char *Id : {"1", "2", "3", "4"}) {
    auto J = job(Id, 24, 1, 500);
    J.MaxAttempts = 20;
    BOOST_TEST(!submit(anyDaemon(), J));
  }
  run(1'000);
  for (auto &[Id, W] : Workers)
    W.FailsEveryRun = false;
  BOOST_TEST(!submit(anyDaemon(), job("5", 1, 1, 500)));
  TaskName Task{"5", {0, 0, 0}};
  BOOST_TEST(runUntil([&] { return Starts.contains(Task); }, 3'000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
