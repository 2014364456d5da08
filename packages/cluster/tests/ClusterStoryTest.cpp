#include "World.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::cluster;
using workload::JobState;

namespace {

struct Deployment : World {
  Deployment() {
    for (const char *Id : {"w1", "w2", "w3"})
      addWorker(Id, "r1");
    for (const char *Name : {"a", "b", "c"})
      addDaemon(Name);
    BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 3'000));
    run(200);
  }
  Node &any() { return *Daemons.begin()->second; }
  Node &follower() {
    for (auto &[Name, N] : Daemons)
      if (!N->isOwner())
        return *N;
    return any();
  }
  bool shows(Node &N, const std::string &Id, JobState S) {
    auto R = N.status(Id);
    return R.Result == Lookup::Found && R.State == S;
  }
  bool allShow(const std::string &Id, JobState S) {
    return std::all_of(Daemons.begin(), Daemons.end(),
                       [&](auto &D) { return shows(*D.second, Id, S); });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(AStoreWithSmallRecords)

struct SmallRecords : World {
  SmallRecords() {
    RecordBytes = 2'048; // 16 tasks.
    AppendBytes = 36'000;
    for (int N = 0; N < 120; ++N)
      addWorker("w" + std::to_string(N), "r1");
    addDaemon("a");
    BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 3'000));
    run(200);
  }
  static std::string longName(int N) {
    return std::to_string(N) + std::string(240, 'x');
  }
  bool completed(const std::string &Id) {
    return Daemons["a"]->status(Id).State == JobState::Completed;
  }
};

// Guards against an owner that is stuck because the store refuses a record of
// a wide job.
BOOST_FIXTURE_TEST_CASE(TakeAWideJobBitByBit, SmallRecords) {
  BOOST_TEST(!submit(*Daemons["a"], job("1", 200, 1, 300)));
  BOOST_TEST(runUntil([&] { return completed("1"); }, 12'000));
  BOOST_TEST(LargestRecord <= RecordBytes);
  BOOST_TEST(Starts.size() == 200u);
}

// Guards against a job that is accepted and can never be recorded.
BOOST_FIXTURE_TEST_CASE(RefuseAGangThatCannotBeRecorded, SmallRecords) {
  auto J = job("1", 60, 1, 300);
  J.Steps[0].Gang = true;
  auto R = submit(*Daemons["a"], J);
  BOOST_REQUIRE(R);
  BOOST_TEST((R->Why == Refusal::Invalid));
}

// Guards against an owner that is stuck because the store refuses a batch.
BOOST_FIXTURE_TEST_CASE(TakeAWaveInSeveralAppends, SmallRecords) {
  for (int N = 0; N < 60; ++N)
    Daemons["a"]->submit(job(longName(N), 16, 1, 300),
                         [](const std::optional<Refusal> &) {});
  run(4'000);
  for (int N = 0; N < 60; ++N)
    BOOST_TEST(completed(longName(N)));
  BOOST_TEST(LargestAppend <= AppendBytes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ADeploymentWithThreeDaemons, Deployment)

BOOST_AUTO_TEST_SUITE(OnACalmDay)

// Guards against a job that is lost, run twice or not shown everywhere.
BOOST_AUTO_TEST_CASE(RunsEveryTaskOnceAndShowsTheEndEverywhere) {
  BOOST_TEST(!submit(follower(), job("1", 10, 1, 500)));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'000));
  BOOST_TEST(Starts.size() == 10u);
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against a second job when the same submission comes again elsewhere.
BOOST_AUTO_TEST_CASE(TreatsARepeatedSubmissionAsOneJob) {
  auto J = job("1", 1, 1, 300);
  BOOST_TEST(!submit(any(), J));
  run(400);
  for (auto &[Name, N] : Daemons)
    BOOST_TEST(!submit(*N, J));
  run(2'000);
  BOOST_TEST(Starts.size() == 1u);
  BOOST_TEST((Starts.begin()->second == 1u));
}

// Guards against steps that start before those they depend on.
BOOST_AUTO_TEST_CASE(StartsAStepWhenTheStepsBeforeItAreDone) {
  auto J = job("1", 1, 1, 400);
  J.Steps.push_back(J.Steps[0]);
  J.Steps[1].DependsOn = {0};
  BOOST_TEST(!submit(any(), J));
  run(300);
  BOOST_TEST(Starts.size() == 1u);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'000));
  BOOST_TEST(Starts.size() == 2u);
}

// Guards against work that goes on after its cancellation.
BOOST_AUTO_TEST_CASE(StopsACancelledJob) {
  BOOST_TEST(!submit(any(), job("1", 4, 1, 60'000)));
  run(300);
  Lookup Answer = Lookup::Stale;
  follower().cancel("1", [&](Lookup L) { Answer = L; });
  run(1'000);
  BOOST_TEST((Answer == Lookup::Found));
  BOOST_TEST(allShow("1", JobState::Cancelled));
  for (const auto &[Id, W] : Workers)
    BOOST_TEST(W.Runs.empty());
}

// Guards against "no such job" for a job that another daemon has just accepted:
// it would run on although its caller believes it gone.
BOOST_AUTO_TEST_CASE(ACancellationFindsAJobThatWasAcceptedElsewhere) {
  std::optional<Lookup> Answer;
  std::optional<Lookup> OfNone;
  bool Accepted = false;
  Node &Other = follower();
  Node &Owner = *Daemons[owner()];
  Owner.submit(job("1", 2, 1, 60'000), [&](const std::optional<Refusal> &R) {
    Accepted = !R;
    Other.cancel("1", [&](Lookup L) { Answer = L; });
    Other.cancel("none", [&](Lookup L) { OfNone = L; });
  });
  run(2'500);
  BOOST_TEST(Accepted);
  BOOST_TEST((Answer == Lookup::Found));
  BOOST_TEST((OfNone == Lookup::Unknown));
  BOOST_TEST(allShow("1", JobState::Cancelled));
}

// Guards against callers who are refused together and return together.
BOOST_AUTO_TEST_CASE(RefusedCallersReturnAtDifferentTimes) {
  BOOST_TEST(!submit(any(), job("1", 24, 1, 600'000)));
  run(2'000);
  std::set<std::int64_t> Returns;
  for (int N = 0; N < 10; ++N) {
    auto R = submit(follower(), job("r" + std::to_string(N), 1, 1, 300));
    BOOST_REQUIRE(R);
    BOOST_TEST((R->Why == Refusal::Overloaded));
    Returns.insert(R->RetryAfter.count() / 1'000);
  }
  BOOST_TEST(Returns.size() > 3u);
}

// Guards against work on a worker that the queue's policy does not allow.
BOOST_AUTO_TEST_CASE(AsksTheAdvisorWhereItMayRun) {
  Advised = {"w2"};
  WithTicket = {"1"};
  auto J = job("1", 12, 1, 300);
  J.NeedsAdvice = true;
  BOOST_TEST(!submit(any(), J));
  run(150);
  BOOST_TEST(Workers["w2"].Runs.size() == 8u);
  BOOST_TEST(Workers["w1"].Runs.empty());
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  BOOST_TEST(TicketsRefused == 0u);
}

// Guards against a daemon that goes back to an older configuration.
BOOST_AUTO_TEST_CASE(NeverGoesBackToAnOlderConfiguration) {
  configure(5);
  run(500);
  configure(3);
  run(500);
  for (auto &[Name, N] : Daemons)
    BOOST_TEST(N->configuration()->Version == 5u);
}

// Guards against the room of a run being used before its end is listed.
BOOST_AUTO_TEST_CASE(KeepsTheRoomOfAStoppingRunUntilItsEndIsListed) {
  for (auto &[Id, W] : Workers)
    W.StopMs = 150;
  // Short work ends while the stops are under way, so that the workers' lists
  // are read meanwhile.
  BOOST_TEST(!submit(any(), job("1", 4, 1, 60'000)));
  for (int N = 0; N < 20; ++N) {
    auto Short = job("short" + std::to_string(N), 1, 1, 480 + 20 * N);
    Short.Priority = 0;
    Short.Account = "";
    BOOST_TEST(!submit(any(), Short));
  }
  run(300);
  auto Urgent = job("2", 4, 1, 500);
  Urgent.Queue = "q0";
  Urgent.Priority = 0;
  Urgent.Steps[0].Gang = true;
  BOOST_TEST(!submit(any(), Urgent));
  BOOST_TEST(
      runUntil([&] { return allShow("2", JobState::Completed); }, 3'000));
  BOOST_TEST(NoRoom == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenADaemonFails)

// Guards against work that is started again by the next owner.
BOOST_AUTO_TEST_CASE(TheNextOwnerTakesOverWhatRuns) {
  BOOST_TEST(!submit(any(), job("1", 6, 1, 6'000)));
  run(500);
  kill(owner());
  BOOST_TEST(runUntil([&] { return !owner().empty(); }, 5'000));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against two owners, and against an owner that waits for nothing.
BOOST_AUTO_TEST_CASE(AnOwnerWithoutTheStoreIsReplaced) {
  BOOST_TEST(!submit(any(), job("1", 6, 1, 9'000)));
  run(500);
  std::string Old = owner();
  StoreCut.insert(Old);
  BOOST_TEST(runUntil(
      [&] {
        return std::any_of(Daemons.begin(), Daemons.end(), [&](auto &D) {
          return D.first != Old && D.second->isOwner();
        });
      },
      6'000));
  BOOST_TEST(runUntil([&] { return !Daemons[Old]->isOwner(); }, 3'000));
  StoreCut.clear();
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 12'000));
  BOOST_TEST(!Overlap);
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against "no such job" from a daemon that cannot know.
BOOST_AUTO_TEST_CASE(ADaemonBehindTheStoreDoesNotDenyAJob) {
  Node &Cut = follower();
  for (auto &[Name, N] : Daemons)
    if (N.get() == &Cut)
      StoreCut.insert(Name);
  run(4'000);
  BOOST_TEST((Cut.status("unknown").Result == Lookup::Stale));
  BOOST_TEST(!Cut.ready());
  auto R = submit(Cut, job("1", 1, 1, 100));
  BOOST_REQUIRE(R);
  BOOST_TEST((R->Why == Refusal::Unavailable));
}

// Guards against "no such job" from a daemon that was suspended: the answers it
// finds when it goes on are as old as its sleep.
BOOST_AUTO_TEST_CASE(ADaemonThatWasSuspendedDoesNotDenyAJob) {
  Node &Slept = follower();
  std::string Name;
  for (auto &[One, N] : Daemons)
    if (N.get() == &Slept)
      Name = One;
  // At some of these moments a read is under way.
  for (int Try = 0; Try < 6; ++Try) {
    std::string Id = std::to_string(Try);
    run(70);
    Suspended.insert(Name);
    run(1'500);
    BOOST_TEST(!submit(*Daemons[owner()], job(Id, 1, 1, 100)));
    run(4'000);
    resume(Name);
    BOOST_TEST((Slept.status(Id).Result != Lookup::Unknown));
    run(300);
    BOOST_TEST((Slept.status(Id).Result == Lookup::Found));
  }
}

// Guards against "no such job" from a daemon that has just read its pages but
// not what came meanwhile.
BOOST_AUTO_TEST_CASE(ADaemonThatReadsItsPagesSlowlyDoesNotDenyAJob) {
  PageMs = 900;
  Node &New = addDaemon("d");
  run(100);
  BOOST_TEST(!submit(any(), job("1", 1, 1, 100)));
  for (int N = 0; N < 400; ++N) {
    run(5);
    BOOST_REQUIRE((New.status("1").Result != Lookup::Unknown));
  }
  BOOST_TEST((New.status("1").Result == Lookup::Found));
}

// Guards against an owner that begins again from nothing when the history that
// it follows has been deleted.
BOOST_AUTO_TEST_CASE(AnOwnerWhoseHistoryIsDeletedStartsNothingAnew) {
  BOOST_TEST(!submit(any(), job("1", 6, 1, 6'000)));
  run(500);
  std::string Old = owner();
  for (const auto &[Name, N] : Daemons)
    if (Name != Old)
      StoreCut.insert(Name);
  Control.First = Control.Records.size() + 5;
  for (int N = 0; N < 6; ++N)
    Control.Records.push_back({"x/none", "1"});
  run(300);
  StoreCut.clear();
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 14'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against a loss of accepted work when all daemons die at once.
BOOST_AUTO_TEST_CASE(AllDaemonsDieAndTheStateIsReadAgain) {
  BOOST_TEST(!submit(any(), job("1", 6, 1, 3'000)));
  run(500);
  Daemons.clear();
  run(2'000);
  for (const char *Name : {"d", "e"})
    addDaemon(Name);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 12'000));
  BOOST_TEST(!Overlap);
}

// Guards against waiting for an owner whose own next life knows that it ended.
BOOST_AUTO_TEST_CASE(ARestartedOwnerDoesNotWaitForItself) {
  std::string Old = owner();
  Daemons.clear();
  run(50);
  for (const char *Name : {"a", "b", "c"})
    addDaemon(Name);
  BOOST_TEST(runUntil([&] { return owner() == Old; }, 400));
}

// Guards against an owner that reaches the store but none of the workers.
BOOST_AUTO_TEST_CASE(AnOwnerWithoutWorkersGivesUp) {
  BOOST_TEST(!submit(any(), job("1", 24, 1, 9'000)));
  run(500);
  std::string Old = owner();
  WorkersCut.insert(Old);
  BOOST_TEST(
      runUntil([&] { return !owner().empty() && owner() != Old; }, 8'000));
  run(8'000);
  BOOST_TEST(owner() != Old);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 20'000));
  BOOST_TEST(!Overlap);
}

// Guards against a small host that owns for ever beside a large one.
BOOST_AUTO_TEST_CASE(AMuchLargerHostTakesOver) {
  BOOST_TEST(!submit(any(), job("1", 6, 1, 6'000)));
  addDaemon("z", 500);
  BOOST_TEST(runUntil([&] { return owner() == "z"; }, 6'000));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against a planned stop that costs a takeover's time.
BOOST_AUTO_TEST_CASE(AStoppingOwnerHandsOverAtOnce) {
  std::string Old = owner();
  Daemons[Old]->beginStop();
  BOOST_TEST(runUntil(
      [&] {
        return std::any_of(Daemons.begin(), Daemons.end(), [&](auto &D) {
          return D.first != Old && D.second->isOwner();
        });
      },
      1'000));
  BOOST_TEST(Daemons[Old]->stopped());
}

// Guards against callers that are sent away by a daemon they still reach.
BOOST_AUTO_TEST_CASE(AStoppingDaemonStillAcceptsWork) {
  Node &Old = *Daemons[owner()];
  Old.beginStop();
  run(500);
  BOOST_TEST(!submit(Old, job("1", 1, 1, 200)));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheOwnerCannotStoreWhatItKnows)

// Guards against a result that callers are told and the next owner does not
// know: the job would run again.
BOOST_AUTO_TEST_CASE(AnEndIsShownOnceItIsStored) {
  BOOST_TEST(!submit(any(), job("1", 2, 1, 600)));
  run(300);
  std::string Old = owner();
  StoreCut.insert(Old);
  run(700);
  BOOST_REQUIRE(Workers["w1"].Runs.empty());
  BOOST_TEST((Daemons[Old]->status("1").State == JobState::Running));
  StoreCut.clear();
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
}

// Guards against a cancellation that is acknowledged because the job has ended,
// although nobody else knows of that end.
BOOST_AUTO_TEST_CASE(ACancellationIsAcknowledgedOnceItIsStored) {
  BOOST_TEST(!submit(any(), job("1", 2, 1, 600)));
  run(300);
  std::string Old = owner();
  StoreCut.insert(Old);
  run(700);
  Lookup Answer = Lookup::Unknown;
  Daemons[Old]->cancel("1", [&](Lookup L) { Answer = L; });
  run(1'000);
  BOOST_TEST((Answer == Lookup::Stale));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheStoreComesBack)

// Guards against callers that are refused for seconds after an outage, because
// a call of the time before it is still waited for.
BOOST_AUTO_TEST_CASE(ADaemonServesCallersWithinASecond) {
  for (int OutageMs : {2'600, 3'100, 3'600, 4'100}) {
    for (auto &[Name, N] : Daemons)
      StoreCut.insert(Name);
    run(OutageMs);
    StoreCut.clear();
    run(1'100);
    for (auto &[Name, N] : Daemons)
      BOOST_TEST(N->ready(), Name << " after " << OutageMs);
  }
}

// Guards against a daemon that never catches up after an outage, because what
// it has missed does not fit through its link within the limit of one read.
BOOST_AUTO_TEST_CASE(ADaemonBehindANarrowLinkCatchesUp) {
  std::string Name;
  for (auto &[One, N] : Daemons)
    if (!N->isOwner())
      Name = One;
  StoreCut.insert(Name);
  for (int N = 0; N < 40; ++N)
    Control.Records.push_back(
        {"x/other" + std::to_string(N), std::string(50'000, '1')});
  run(4'000);
  LinkBytesPerMs = 250; // 2 Mbit/s.
  StoreCut.clear();
  BOOST_TEST(runUntil([&] { return Daemons[Name]->ready(); }, 20'000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAnswersGetLost)

// Guards against owners that stop, or record twice, after a lost answer.
BOOST_AUTO_TEST_CASE(AnAppendWithoutAnAnswerIsRepeatedSafely) {
  BOOST_TEST(!submit(any(), job("1", 3, 1, 500)));
  LoseAppends = 2;
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against a caller who is told "not run" about a job that was stored.
BOOST_AUTO_TEST_CASE(ASubmissionWithoutAnAnswerIsUnresolved) {
  LoseAppends = 100;
  auto R = submit(follower(), job("1", 1, 1, 100));
  LoseAppends = 0;
  BOOST_REQUIRE(R);
  BOOST_TEST((R->Why == Refusal::Unresolved));
}

// Guards against an owner that is replaced because two answers were lost.
BOOST_AUTO_TEST_CASE(AnOwnerOutlivesLostAnswers) {
  std::string Old = owner();
  LoseAppends = 2;
  run(6'000);
  BOOST_TEST(owner() == Old);
}

// Guards against a second run beside one whose start was not answered.
BOOST_AUTO_TEST_CASE(AStartWithoutAnAnswerIsNotStartedElsewhere) {
  for (auto &[Id, W] : Workers)
    W.Mute = true;
  BOOST_TEST(!submit(any(), job("1", 3, 1, 4'000)));
  run(1'500);
  for (auto &[Id, W] : Workers)
    W.Mute = false;
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 20'000));
  BOOST_TEST(!Overlap);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenAWorkerFails)

// Guards against work that waits for ever for a worker that has gone: each
// call to a silent worker used to lengthen the lease that was waited for.
BOOST_AUTO_TEST_CASE(WorkOfASilentWorkerRunsElsewhereAfterItsLease) {
  BOOST_TEST(!submit(any(), job("1", 24, 1, 3'000)));
  run(300);
  Workers["w2"].Up = false;
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 14'000));
}

// Guards against a second run beside that of a worker that is only cut off.
BOOST_AUTO_TEST_CASE(WorkOfAWorkerThatIsCutOffNeverRunsTwiceAtOnce) {
  BOOST_TEST(!submit(any(), job("1", 24, 1, 9'000)));
  run(300);
  Workers["w2"].Cut = true;
  run(12'000);
  Workers["w2"].Cut = false;
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 20'000));
  BOOST_TEST(!Overlap);
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
  Workers["w4"].CutAfterStart = true;
  Workers["w3"].Entry.Draining = true;
  Registry.push_back({"w3", Workers["w3"].Entry});
  run(28'000);
  BOOST_TEST(!submit(any(), job("1", 1, 1, 60'000)));
  run(1'000);
  BOOST_REQUIRE(Workers["w4"].Runs.size() == 1u);
  Workers["w1"].Entry.Draining = false;
  Registry.push_back({"w1", Workers["w1"].Entry});
  BOOST_TEST(runUntil([this] { return !Workers["w1"].Runs.empty(); }, 12'000));
  BOOST_TEST(!Overlap);
}

// Guards against waiting for the lease of a worker that has started anew.
BOOST_AUTO_TEST_CASE(WorkOfARestartedWorkerRunsAgainAtOnce) {
  BOOST_TEST(!submit(any(), job("1", 24, 1, 1'000)));
  run(300);
  addWorker("w2", "r1");
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 4'000));
}

// Guards against new work on a worker that leaves.
BOOST_AUTO_TEST_CASE(ADrainingWorkerGetsNoNewWork) {
  for (const char *Id : {"w1", "w2"}) {
    Workers[Id].Entry.Draining = true;
    Registry.push_back({Id, Workers[Id].Entry});
  }
  run(500);
  BOOST_TEST(!submit(any(), job("1", 8, 1, 500)));
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
  BOOST_TEST(!submit(any(), job("long", 2, 1, 5'000)));
  BOOST_TEST(!submit(any(), job("short", 2, 1, 1'800)));
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

// Guards against progress that is thrown away by a stop that comes too early.
BOOST_AUTO_TEST_CASE(WorkThatSavesItsProgressStaysAsLongAsTheWorker) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  auto J = job("1", 2, 1, 9'000);
  J.Steps[0].SavesProgress = true;
  BOOST_TEST(!submit(any(), J));
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
  Workers["w2"].Fails = true;
  for (int N = 0; N < 8; ++N)
    BOOST_TEST(!submit(any(), job(std::to_string(N), 3, 1, 300)));
  run(15'000);
  for (int N = 0; N < 8; ++N)
    BOOST_TEST(allShow(std::to_string(N), JobState::Completed));
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
  Workers["w1"].FailAtMs = Clock + 400;
  BOOST_TEST(!submit(any(), J));
  run(100);
  // Keeps the gang waiting after its failure.
  Workers["w1"].Entry.Draining = true;
  Registry.push_back({"w1", Workers["w1"].Entry});
  // The failure is recorded, but its acknowledgement gets lost.
  auto Recorded = [this] {
    return std::any_of(Control.Records.begin(), Control.Records.end(),
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
  Workers["w1"].Cut = true;
  kill(owner());
  run(50);
  Workers["w1"].Cut = false;
  BOOST_REQUIRE(runUntil([&] { return !owner().empty(); }, 4'000));
  run(500);
  Workers["w1"].Entry.Draining = false;
  Registry.push_back({"w1", Workers["w1"].Entry});
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 12'000));
}

// Guards against an answer of a worker's earlier life, or an entry of it that
// is read late, which would give up what runs in its present life.
BOOST_AUTO_TEST_CASE(AnEarlierLifeOfAWorkerSaysNothingAboutTheNext) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  run(100);
  auto Before = Workers["w1"].Entry;
  addWorker("w1", "r1");
  run(100);
  BOOST_TEST(!submit(any(), job("1", 2, 1, 3'000)));
  run(300);
  Registry.push_back({"w1", Before});
  run(500);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 9'000));
  BOOST_TEST((Starts.begin()->second == 1u));
  BOOST_TEST(!Overlap);
}

// Guards against a worker that is never used again, because its wall clock was
// set back before it restarted.
BOOST_AUTO_TEST_CASE(ALaterLifeMayHaveBegunAtAnEarlierTime) {
  for (const char *Id : {"w2", "w3"})
    Registry.push_back({Id, std::nullopt});
  run(100);
  BOOST_TEST(!submit(any(), job("1", 2, 1, 2'000)));
  run(300);
  std::int64_t Before = Workers["w1"].Entry.BornMs;
  addWorker("w1", "r1").Entry.BornMs = Before - 1'000;
  Registry.push_back({"w1", Workers["w1"].Entry});
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 4'000));
}

// Guards against endless attempts of a job that can never be done.
BOOST_AUTO_TEST_CASE(AJobThatAlwaysFailsEndsAfterItsAttempts) {
  for (auto &[Id, W] : Workers)
    W.Fails = true;
  BOOST_TEST(!submit(any(), job("1", 1, 1, 300)));
  BOOST_TEST(runUntil([&] { return allShow("1", JobState::Failed); }, 30'000));
  BOOST_TEST((Starts.begin()->second == 3u));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
