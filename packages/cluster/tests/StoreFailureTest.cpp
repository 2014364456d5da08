#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_AUTO_TEST_SUITE(AStoreWithSmallRecords)

struct DeploymentWithSmallRecords : World {
  DeploymentWithSmallRecords() {
    RecordBytes = 2'048; // 16 tasks.
    AppendBytes = 36'000;
    for (int N = 0; N < 120; ++N)
      addWorker("w" + std::to_string(N), "r1");
    addDaemon("a");
    BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 3'000));
    run(200);
  }
  static std::string longJobId(int N) {
    return std::to_string(N) + std::string(240, 'x');
  }
  bool isCompleted(const std::string &Id) {
    return Daemons["a"]->status(Id).State == JobState::Completed;
  }
};

// Guards against an owner that is stuck because the store refuses a record of
// a wide job.
BOOST_FIXTURE_TEST_CASE(TakeAWideJobBitByBit, DeploymentWithSmallRecords) {
  BOOST_TEST(!submit(*Daemons["a"], job("1", 200, 1, 300)));
  BOOST_TEST(runUntil([&] { return isCompleted("1"); }, 12'000));
  BOOST_TEST(LargestRecord <= RecordBytes);
  BOOST_TEST(StartCounts.size() == 200u);
}

// Guards against an owner that is stuck because long checkpoints make a record
// too large: progress may be lost, the job must not be.
BOOST_FIXTURE_TEST_CASE(DropCheckpointsThatCannotBeRecorded,
                        DeploymentWithSmallRecords) {
  for (auto &[Id, W] : Workers) {
    W.Checkpoint = std::string(700, 'c');
    W.FailRunsAtMs = Clock + 200;
  }
  auto J = job("1", 12, 1, 400);
  J.Steps[0].SavesProgress = true;
  BOOST_TEST(!submit(*Daemons["a"], J));
  BOOST_TEST(runUntil([&] { return isCompleted("1"); }, 6'000));
  BOOST_TEST(LargestRecord <= RecordBytes);
  BOOST_TEST(StartCounts.size() == 12u);
}

// Guards against a job that is accepted and can never be recorded.
BOOST_FIXTURE_TEST_CASE(RefuseAGangThatCannotBeRecorded,
                        DeploymentWithSmallRecords) {
  auto J = job("1", 60, 1, 300);
  J.Steps[0].Gang = true;
  auto R = submit(*Daemons["a"], J);
  BOOST_REQUIRE(R);
  BOOST_TEST((R->Why == Refusal::Invalid));
}

// Guards against an owner that is stuck because the store refuses a batch.
BOOST_FIXTURE_TEST_CASE(TakeAWaveInSeveralAppends, DeploymentWithSmallRecords) {
  for (int N = 0; N < 60; ++N)
    Daemons["a"]->submit(job(longJobId(N), 16, 1, 300),
                         [](const std::optional<Refusal> &) {});
  run(4'000);
  for (int N = 0; N < 60; ++N)
    BOOST_TEST(isCompleted(longJobId(N)));
  BOOST_TEST(LargestAppend <= AppendBytes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ADeploymentWithThreeDaemons, Deployment)

BOOST_AUTO_TEST_SUITE(WhenTheOwnerCannotStoreWhatItKnows)

// Guards against a result that callers are told and the next owner does not
// know: the job would run again.
BOOST_AUTO_TEST_CASE(AnEndIsShownOnceItIsStored) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 2, 1, 600)));
  run(300);
  std::string OldOwner = owner();
  DaemonsWithoutStore.insert(OldOwner);
  run(700);
  BOOST_REQUIRE(Workers["w1"].Runs.empty());
  BOOST_TEST((Daemons[OldOwner]->status("1").State == JobState::Running));
  DaemonsWithoutStore.clear();
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 9'000));
}

// Guards against a cancellation that is acknowledged because the job has ended,
// although nobody else knows of that end.
BOOST_AUTO_TEST_CASE(ACancellationIsAcknowledgedOnceItIsStored) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 2, 1, 600)));
  run(300);
  std::string OldOwner = owner();
  DaemonsWithoutStore.insert(OldOwner);
  run(700);
  Lookup Answer = Lookup::Unknown;
  Daemons[OldOwner]->cancel("1", [&](Lookup L) { Answer = L; });
  run(1'000);
  BOOST_TEST((Answer == Lookup::Stale));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheStoreTurnsSomeDaemonsAway)

// Guards against callers who are held for seconds, and are then told nothing
// certain, by a daemon whose neighbours could serve them at once.
BOOST_AUTO_TEST_CASE(TheySayAtOnceThatTheyCannotServe) {
  Node &Follower = disconnectFollowerFromStore();
  // A second: what urgent work has to spare.
  run(1'200);
  std::int64_t SubmittedAtMs = Clock;
  auto R = submit(Follower, job("1", 1, 1, 100));
  BOOST_REQUIRE(R);
  BOOST_TEST((R->Why == Refusal::Unavailable));
  BOOST_TEST(Clock - SubmittedAtMs <= 10);
}

// Guards against a second try that cannot be answered either.
BOOST_AUTO_TEST_CASE(AnAppendUnderWayIsNotRepeatedInVain) {
  Node &Follower = disconnectFollowerFromStore();
  run(600);
  std::int64_t SubmittedAtMs = Clock;
  auto R = submit(Follower, job("1", 1, 1, 100));
  BOOST_REQUIRE(R);
  BOOST_TEST((R->Why == Refusal::Unresolved));
  BOOST_TEST(Clock - SubmittedAtMs <= 800);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheStoreComesBack)

// Guards against callers that are refused for seconds after an outage, because
// a call of the time before it is still waited for.
BOOST_AUTO_TEST_CASE(ADaemonServesCallersWithinASecond) {
  for (int OutageMs : {2'600, 3'100, 3'600, 4'100}) {
    for (auto &[Name, N] : Daemons)
      DaemonsWithoutStore.insert(Name);
    run(OutageMs);
    DaemonsWithoutStore.clear();
    run(1'100);
    for (auto &[Name, N] : Daemons)
      BOOST_TEST(N->ready(), Name << " after " << OutageMs);
  }
}

// Guards against a daemon that never catches up after an outage, because what
// it has missed does not fit through its link within the limit of one read.
BOOST_AUTO_TEST_CASE(ADaemonBehindANarrowLinkCatchesUp) {
  std::string Name;
  for (auto &[DaemonName, N] : Daemons)
    if (!N->isOwner())
      Name = DaemonName;
  DaemonsWithoutStore.insert(Name);
  for (int N = 0; N < 40; ++N)
    ControlTopic.Records.push_back(
        {"x/other" + std::to_string(N), std::string(50'000, '1')});
  run(4'000);
  LinkBytesPerMs = 250; // 2 Mbit/s.
  DaemonsWithoutStore.clear();
  BOOST_TEST(runUntil([&] { return Daemons[Name]->ready(); }, 20'000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnswersGetLost)

// Guards against owners that stop, or record twice, after a lost answer.
BOOST_AUTO_TEST_CASE(AnAppendWithoutAnAnswerIsRepeatedSafely) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 3, 1, 500)));
  AppendAnswersToLose = 2;
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 9'000));
  for (const auto &[Task, Count] : StartCounts)
    BOOST_TEST(Count == 1u);
}

// Guards against a caller who is told "not run" about a job that was stored.
BOOST_AUTO_TEST_CASE(ASubmissionWithoutAnAnswerIsUnresolved) {
  AppendAnswersToLose = 100;
  auto R = submit(follower(), job("1", 1, 1, 100));
  AppendAnswersToLose = 0;
  BOOST_REQUIRE(R);
  BOOST_TEST((R->Why == Refusal::Unresolved));
}

// Guards against callers who are held until their deadline by an owner whose
// appends are not answered, and against "not run" about a job that runs later.
BOOST_AUTO_TEST_CASE(CallersOfTheOwnerAreToldTheTruthInTime) {
  // Nobody takes over.
  std::string OwnerName = owner();
  std::erase_if(Daemons, [&](const auto &D) { return D.first != OwnerName; });
  Node &Owner = *Daemons[OwnerName];
  AppendAnswersToLose = 10'000;
  std::optional<std::optional<Refusal>> SentResult;
  std::optional<std::optional<Refusal>> WaitingResult;
  Owner.submit(job("sent", 1, 1, 100),
               [&](const std::optional<Refusal> &R) { SentResult = R; });
  run(450);
  Owner.submit(job("waiting", 1, 1, 100),
               [&](const std::optional<Refusal> &R) { WaitingResult = R; });
  run(2'100);
  AppendAnswersToLose = 0;
  BOOST_REQUIRE((SentResult && *SentResult && WaitingResult && *WaitingResult));
  BOOST_TEST(((*SentResult)->Why == Refusal::Unresolved));
  BOOST_TEST(((*WaitingResult)->Why == Refusal::Unavailable));
  run(4'000);
  for (const auto &[Task, Count] : StartCounts)
    BOOST_TEST(Task.Job != "waiting");
}

// Guards against callers whom nobody answers because their owner steps down.
BOOST_AUTO_TEST_CASE(CallersOfAnOwnerThatIsReplacedAreAnsweredOnce) {
  std::string OldOwner = owner();
  DaemonsWithoutStore.insert(OldOwner);
  run(600);
  unsigned Answers = 0;
  Daemons[OldOwner]->submit(job("1", 1, 1, 100),
                            [&](const std::optional<Refusal> &) { ++Answers; });
  run(1'400);
  DaemonsWithoutStore.clear();
  BOOST_REQUIRE(runUntil([&] { return !Daemons[OldOwner]->isOwner(); }, 500));
  // Before it would have lost its patience with the store.
  BOOST_TEST(Answers == 1u);
  run(4'000);
  BOOST_TEST(Answers == 1u);
}

// Guards against an owner that is replaced because two answers were lost.
BOOST_AUTO_TEST_CASE(AnOwnerOutlivesLostAnswers) {
  std::string OldOwner = owner();
  AppendAnswersToLose = 2;
  run(6'000);
  BOOST_TEST(owner() == OldOwner);
}

// Guards against a second run beside one whose start was not answered.
BOOST_AUTO_TEST_CASE(AStartWithoutAnAnswerIsNotStartedElsewhere) {
  for (auto &[Id, W] : Workers)
    W.AnswersLost = true;
  BOOST_TEST(!submit(anyDaemon(), job("1", 3, 1, 4'000)));
  run(1'500);
  for (auto &[Id, W] : Workers)
    W.AnswersLost = false;
  BOOST_TEST(
      runUntil([&] { return allReport("1", JobState::Completed); }, 20'000));
  BOOST_TEST(!RunsOverlapped);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
