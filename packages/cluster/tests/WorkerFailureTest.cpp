#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_FIXTURE_TEST_SUITE(ADeploymentWithThreeDaemons, Deployment)

BOOST_AUTO_TEST_SUITE(WhenAWorkerFails)

// Guards against work that waits for ever for a worker that has gone: each
// call to a silent worker used to lengthen the lease that was waited for.
BOOST_AUTO_TEST_CASE(WorkOfASilentWorkerRunsElsewhereAfterItsLease) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 3'000)));
  run(300);
  Workers["w2"].Up = false;
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 14'000));
}

// Guards against a second run beside that of a worker that is only cut off.
BOOST_AUTO_TEST_CASE(WorkOfAWorkerThatIsCutOffNeverRunsTwiceAtOnce) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 9'000)));
  run(300);
  Workers["w2"].Disconnected = true;
  run(12'000);
  Workers["w2"].Disconnected = false;
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 20'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against a second run while the first still has its lease: the clock of
// a worker that was idle for long is known less well.
BOOST_AUTO_TEST_CASE(TheLeaseOfASlowClockIsWaitedForToItsEnd) {
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

// Guards against waiting for the lease of a worker that has started anew.
BOOST_AUTO_TEST_CASE(WorkOfARestartedWorkerRunsAgainAtOnce) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 24, 1, 1'000)));
  run(300);
  addWorker("w2", "r1");
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 4'000));
}

// Guards against new work on a worker that leaves.
BOOST_AUTO_TEST_CASE(ADrainingWorkerGetsNoNewWork) {
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

// Guards against work that dies with its worker, whose lease is then waited
// for, and against work that is stopped although it would have ended in time.
BOOST_AUTO_TEST_CASE(WorkThatCannotEndOnALeavingWorkerMovesAtOnce) {
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
  BOOST_TEST(allReport("short", JobState::Completed));
  Workers["w1"].Up = false;
  Registry.push_back({"w1", std::nullopt});
  BOOST_TEST(
      runUntil([&] { return allReport("long", JobState::Completed); }, 5'000));
  for (const auto &[Task, Count] : StartCounts)
    BOOST_TEST(Count == (Task.Job == "long" ? 2u : 1u));
}

// Guards against progress that is thrown away by a stop that comes too early.
BOOST_AUTO_TEST_CASE(WorkThatSavesItsProgressStaysAsLongAsTheWorker) {
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

// Guards against attempts that are spent on one worker that fails everything.
BOOST_AUTO_TEST_CASE(AWorkerThatFailsEverythingCostsNoJob) {
  Workers["w2"].FailsEveryRun = true;
  for (int N = 0; N < 8; ++N)
    BOOST_TEST(!submit(anyDaemon(), job(std::to_string(N), 3, 1, 300)));
  run(15'000);
  for (int N = 0; N < 8; ++N)
    BOOST_TEST(allReport(std::to_string(N), JobState::Completed));
}

// Guards against one failure of a gang that is counted by each owner that hears
// of it.
BOOST_AUTO_TEST_CASE(AFailureOfAGangIsCountedOnceByAllOwners) {
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
  // The failure is recorded, but its acknowledgement gets lost.
  auto Recorded = [this] {
    return std::any_of(ControlTopic.Records.begin(), ControlTopic.Records.end(),
                       [](const KeyValue &R) {
                         workload::Ledger L;
                         (void)L.apply({"j/1", "{\"q\":\"q\",\"s\":\"s\","
                                               "\"steps\":[]}"});
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
      runUntil([&] { return allReport("1", JobState::Completed); }, 12'000));
}

// Guards against an answer of a worker's earlier life, or an entry of it that
// is read late, which would give up what runs in its present life.
BOOST_AUTO_TEST_CASE(AnEarlierLifeOfAWorkerSaysNothingAboutTheNext) {
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
      runUntil([&] { return allReport("1", JobState::Completed); }, 9'000));
  BOOST_TEST((StartCounts.begin()->second == 1u));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against a worker that is never used again, because its wall clock was
// set back before it restarted.
BOOST_AUTO_TEST_CASE(ALaterLifeMayHaveBegunAtAnEarlierTime) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  BOOST_TEST(!submit(anyDaemon(), job("1", 2, 1, 2'000)));
  run(300);
  std::int64_t EarlierStartMs = Workers["w1"].Entry.ProcessStartMs;
  addWorker("w1", "r1").Entry.ProcessStartMs = EarlierStartMs - 1'000;
  Registry.push_back({"w1", Workers["w1"].Entry});
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 4'000));
}

// Guards against a start that reaches the next life of its worker while the
// task runs elsewhere.
BOOST_AUTO_TEST_CASE(AStartThatOutlivesItsWorkerIsBarred) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  Workers["w1"].StartDelayMs = 1'200;
  BOOST_TEST(!submit(anyDaemon(), job("1", 2, 1, 4'000)));
  run(300);
  addWorker("w1", "r1");
  addWorker("w4", "r1");
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 9'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against the loss of an end: the numbers of ends start anew with each
// life, so what was acknowledged to the former life covers the first ends of
// the next one.
BOOST_AUTO_TEST_CASE(AnEndOfTheNextLifeIsNotAcknowledgedUnseen) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  BOOST_TEST(!submit(anyDaemon(), job("1", 8, 1, 50)));
  BOOST_REQUIRE(
      runUntil([&] { return allReport("1", JobState::Completed); }, 2'000));
  run(500);
  restartWithoutRegistryChange("w1");
  // So short that it ends before the owner asks what runs there.
  BOOST_TEST(!submit(anyDaemon(), job("2", 1, 1, 1)));
  BOOST_TEST(
      runUntil([&] { return allReport("2", JobState::Completed); }, 3'000));
  BOOST_TEST(!StartedAfterAcknowledgedEnd);
}

// Guards against a second run beside one that the next life of a worker has
// confirmed before anything told that there is one.
BOOST_AUTO_TEST_CASE(ARunOfTheNextLifeIsNotTakenForOneOfTheFormer) {
  Workers["w1"].Entry.Rack = "r2";
  for (const char *Id : {"w1", "w2"})
    Registry.push_back({Id, Workers[Id].Entry});
  Registry.push_back({"w3", std::nullopt});
  run(2'000);
  restartWithoutRegistryChange("w1");
  // Its clock goes on, so that only the lists tell of the new life.
  Workers["w1"].ClockZeroMs = 0;
  Workers["w1"].StopDurationMs = 200;
  auto Spec = job("1", 2, 1, 3'000);
  Spec.Steps[0].DataRack = "r2";
  BOOST_TEST(!submit(anyDaemon(), Spec));
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 9'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against urgent work that is late because one call got lost: its whole
// allowance beyond its own work is about a second.
BOOST_AUTO_TEST_CASE(AStartThatGotLostIsRepeatedSoon) {
  for (auto &[Id, W] : Workers)
    W.StartsToLose = 1;
  BOOST_TEST(!submit(anyDaemon(), job("1", 1, 1, 100)));
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 900));
}
BOOST_AUTO_TEST_CASE(ASyncThatGotLostDelaysAnEndLittle) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 1, 1, 3'600)));
  run(2'000);
  for (auto &[Id, W] : Workers)
    W.SyncsToLose = 1;
  // It ends in 1,600 ms.
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 2'300));
}

// Guards against a start that was given up and reaches the next life of its
// worker, which knows nothing of the stop that barred it.
BOOST_AUTO_TEST_CASE(AStartThatWasGivenUpStaysBarredAfterARestart) {
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
      runUntil([&] { return allReport("1", JobState::Completed); }, 9'000));
  BOOST_TEST(!RunsOverlapped);
}

// Guards against room that stays taken for seconds: a stop of a run that never
// arrived produces no end that would be listed at once.
BOOST_AUTO_TEST_CASE(AStartThatNeverArrivedGivesItsRoomBackSoon) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  Workers["w1"].StartDelayMs = 60'000;
  BOOST_TEST(!submit(anyDaemon(), job("1", 2, 1, 100)));
  run(300);
  Workers["w1"].Entry.Draining = true;
  Registry.push_back({"w1", Workers["w1"].Entry});
  addWorker("w4", "r1");
  // The patience for a start, the longest stop, and margins.
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 3'900));
}

// Guards against urgent work that takes six times as long where it is while
// other workers idle, and against more work that follows it there.
BOOST_AUTO_TEST_CASE(UrgentWorkIsMovedOffASlowWorker) {
  // What is usual is learnt from a job before.
  BOOST_TEST(!submit(anyDaemon(), job("0", 8, 1, 2'500)));
  BOOST_REQUIRE(
      runUntil([&] { return allReport("0", JobState::Completed); }, 4'000));
  Workers["w1"].SlowdownFactor = 6;
  auto Urgent = job("1", 1, 8, 2'500);
  Urgent.Priority = 0;
  BOOST_TEST(!submit(anyDaemon(), Urgent));
  run(300);
  BOOST_REQUIRE(Workers["w1"].Runs.size() == 1u);
  // Three times the estimate instead of six.
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 7'500));
  Urgent = job("2", 1, 8, 2'500);
  Urgent.Priority = 0;
  BOOST_TEST(!submit(anyDaemon(), Urgent));
  run(300);
  BOOST_TEST(Workers["w1"].Runs.empty());
}

// Guards against a gang that is moved because its members wait for one whose
// start got lost.
BOOST_AUTO_TEST_CASE(AGangThatWaitsForAMemberIsNotSlow) {
  auto Urgent = job("1", 2, 8, 2'500);
  Urgent.Priority = 0;
  Urgent.Steps[0].Gang = true;
  GangSizes["1"] = 2;
  Workers["w2"].StartsToLose = 2;
  BOOST_TEST(!submit(anyDaemon(), Urgent));
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 4'500));
  for (const auto &[Task, Count] : StartCounts)
    BOOST_TEST(Count == 1u);
}

// Guards against endless attempts of a job that can never be done.
BOOST_AUTO_TEST_CASE(AJobThatAlwaysFailsEndsAfterItsAttempts) {
  for (auto &[Id, W] : Workers)
    W.FailsEveryRun = true;
  BOOST_TEST(!submit(anyDaemon(), job("1", 1, 1, 300)));
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Failed); }, 30'000));
  BOOST_TEST((StartCounts.begin()->second == 3u));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
