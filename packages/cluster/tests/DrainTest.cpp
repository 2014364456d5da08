#include "Deployment.h"
#include "DrainedDataCentres.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

namespace {

/// w1 and w2 are in data centre dc1, w3 and w4 in dc2.
struct TwoDataCentres : Deployment {
  TwoDataCentres() {
    addWorker("w3", "r2", 8, "dc2");
    addWorker("w4", "r2", 8, "dc2");
    run(300);
  }
  void drain(const std::string &DataCentre, bool Requested = true) {
    OperatorTopic.push_back({nullptr, DrainChange{DataCentre, Requested}});
  }
  unsigned startsIn(const std::string &DataCentre) {
    unsigned Sum = 0;
    for (auto &[Id, W] : Workers)
      if (W.Entry.DataCentre == DataCentre)
        Sum += StartsOn[Id];
    return Sum;
  }
  std::size_t runsIn(const std::string &DataCentre) {
    std::size_t Sum = 0;
    for (auto &[Id, W] : Workers)
      if (W.Entry.DataCentre == DataCentre)
        Sum += W.Runs.size();
    return Sum;
  }
  std::uint64_t counted(const std::string &Daemon, std::string_view Name) {
    const auto &Counts = Daemons.at(Daemon)->stats().Counts;
    auto It = Counts.find(Name);
    return It == Counts.end() ? 0 : It->second;
  }
  /// What the owner published last.
  workload::Ownership published() {
    for (auto R = ControlTopic.Records.rbegin();; ++R)
      if (auto O = workload::Ledger::decodeOwnership(*R); O && *O)
        return **O;
  }
  workload::JobSpec gang(const std::string &Id, unsigned Tasks,
                         std::int64_t WorkMs) {
    auto J = job(Id, Tasks, 8, WorkMs);
    J.Steps[0].Gang = true;
    GangSizes[Id] = Tasks;
    return J;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DeploymentWithADrainedDataCentre, TwoDataCentres)

BOOST_AUTO_TEST_SUITE(WithoutFailures)

// Guards against starts in a data centre that the operator has drained.
BOOST_AUTO_TEST_CASE(StartsNothingThere) {
  drain("dc1");
  run(300);
  for (auto &[Name, N] : Daemons)
    BOOST_TEST(N->drainedDataCentres() == 1u);
  BOOST_TEST(!submit(anyDaemon(), job("1", 30, 1, 500)));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 5'000));
  BOOST_TEST(startsIn("dc1") == 0u);
  BOOST_TEST(startsIn("dc2") == 30u);
}

// Guards against the stop of what runs in a data centre when it is drained.
BOOST_AUTO_TEST_CASE(WhatRunsThereEndsThere) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 9'000)));
  run(500);
  BOOST_REQUIRE(runsIn("dc1") == 16u);
  drain("dc1");
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 11'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against workers that stay unused after a withdrawal.
BOOST_AUTO_TEST_CASE(StartsThereAgainAfterTheWithdrawal) {
  drain("dc1");
  run(300);
  drain("dc1", false);
  run(300);
  for (auto &[Name, N] : Daemons)
    BOOST_TEST(N->drainedDataCentres() == 0u);
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 500)));
  run(400);
  BOOST_TEST(startsIn("dc1") == 16u);
}

// Guards against starts in the second of two data centres that are drained at
// the same time, and against accepted work that is lost meanwhile.
BOOST_AUTO_TEST_CASE(WorkWaitsWhileAllAreDrained) {
  drain("dc1");
  drain("dc2");
  run(300);
  BOOST_TEST(!submit(anyDaemon(), job("1", 4, 1, 500)));
  run(5'000);
  BOOST_TEST(Starts.empty());
  drain("dc2", false);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'000));
  BOOST_TEST(startsIn("dc1") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WorkThatIsAboutToStartThere)

// Guards against placements that wait for a slow store and then start in a data
// centre that was drained meanwhile.
BOOST_AUTO_TEST_CASE(IsRevokedWhileItsPlacementIsBeingStored) {
  AppendDurationMs = 700;
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 1'000)));
  run(40);
  BOOST_REQUIRE(Starts.empty());
  drain("dc1");
  run(200);
  BOOST_REQUIRE(Starts.empty());
  BOOST_TEST(counted(owner(), "placements_revoked") == 16u);
  AppendDurationMs = 0;
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 8'000));
  BOOST_TEST(startsIn("dc1") == 0u);
  BOOST_TEST(startsIn("dc2") == 32u);
}

// Guards against a start that arrives late in a drained data centre, and
// against further copies of it.
BOOST_AUTO_TEST_CASE(IsBarredIfItsStartHadNoAnswer) {
  for (const char *Id : {"w1", "w2"})
    Workers[Id].StartDelayMs = 2'500;
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 9'000)));
  run(100);
  BOOST_REQUIRE(runsIn("dc2") == 16u);
  drain("dc1");
  BOOST_REQUIRE(runUntil(
      [&] { return Daemons[owner()]->drainedDataCentres() == 1; }, 300));
  auto Sent = counted(owner(), "starts");
  run(5'000);
  BOOST_TEST(counted(owner(), "starts") == Sent);
  BOOST_TEST(startsIn("dc1") == 0u);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 20'000));
  BOOST_TEST(startsIn("dc1") == 0u);
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against a gang of which only the members outside start: they would
// wait for the others until they time out.
BOOST_AUTO_TEST_CASE(IsRevokedTogetherWithItsGang) {
  AppendDurationMs = 700;
  BOOST_TEST(!submit(anyDaemon(), gang("1", 3, 500)));
  run(40);
  drain("dc1");
  run(60);
  AppendDurationMs = 0;
  run(4'000);
  BOOST_TEST(Starts.empty());
  drain("dc1", false);
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'000));
}

// Guards against work whose tickets are all for drained workers and that waits
// until these expire: a call names thirty workers.
BOOST_AUTO_TEST_CASE(AsksTheAdvisorAboutOtherWorkers) {
  for (int N = 10; N < 40; ++N)
    addWorker("a" + std::to_string(N), "r3");
  run(300);
  for (auto &[Id, W] : Workers)
    AllowedWorkers.insert(Id);
  AppendDurationMs = 200;
  auto J = job("1", 1, 1, 500);
  J.NeedsAdvice = true;
  JobsNeedingTicket = {"1"};
  BOOST_TEST(!submit(anyDaemon(), J));
  run(40);
  BOOST_REQUIRE(Starts.empty());
  drain("dc1");
  run(1'200);
  BOOST_TEST(startsIn("dc1") == 0u);
  BOOST_TEST(startsIn("dc2") == 1u);
}

// Guards against room in a drained data centre that stays held for urgent work.
BOOST_AUTO_TEST_CASE(DoesNotWaitForRoomThatIsHeldThere) {
  for (auto &[Id, W] : Workers)
    W.StopDurationMs = 150;
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 60'000)));
  run(1'000);
  BOOST_REQUIRE(runsIn("dc1") + runsIn("dc2") == 32u);
  auto Urgent = job("2", 1, 8, 500);
  Urgent.Priority = 0;
  BOOST_TEST(!submit(anyDaemon(), Urgent));
  auto IsStopping = [&](const std::string &Id) {
    const auto &Runs = Workers[Id].Runs;
    return std::any_of(Runs.begin(), Runs.end(),
                       [](const auto &R) { return R.StopAtMs >= 0; });
  };
  std::string On;
  BOOST_REQUIRE(runUntil(
      [&] {
        for (const char *Id : {"w1", "w2", "w3", "w4"})
          if (IsStopping(Id))
            On = Id;
        return !On.empty();
      },
      500));
  std::string Drained = Workers[On].Entry.DataCentre;
  drain(Drained);
  auto Before = startsIn(Drained);
  BOOST_TEST(
      runUntil([&] { return allShow("2", JobState::Completed); }, 2'500));
  BOOST_TEST(startsIn(Drained) == Before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheOwnerChanges)

// Guards against a new owner that stops, or starts again elsewhere, what it
// takes over in a drained data centre.
BOOST_AUTO_TEST_CASE(RunsThatTheWorkersListGoOn) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 9'000)));
  run(500);
  drain("dc1");
  run(5);
  kill(owner());
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 14'000));
  BOOST_TEST(Starts.size() == 32u);
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against the same if the owner reads the request before the first
// lists of these workers.
BOOST_AUTO_TEST_CASE(RunsThatTheWorkersListLaterGoOn) {
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 9'000)));
  run(500);
  for (const char *Id : {"w1", "w2"})
    Workers[Id].AnswersLost = true;
  kill(owner());
  BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 5'000));
  run(100);
  drain("dc1");
  run(200);
  for (const char *Id : {"w1", "w2"})
    Workers[Id].AnswersLost = false;
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 14'000));
  BOOST_TEST(Starts.size() == 32u);
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(Count == 1u);
}

// Guards against starts that a new owner sends again for placements that it
// takes over from the records.
BOOST_AUTO_TEST_CASE(PlacementsThatDidNotBeginAreGivenUp) {
  UnreachableWorkers[owner()] = {"w1", "w2"};
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 2'000)));
  run(500);
  BOOST_REQUIRE(runsIn("dc1") == 0u);
  BOOST_REQUIRE(runsIn("dc2") == 16u);
  drain("dc1");
  run(5);
  kill(owner());
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 14'000));
  BOOST_TEST(startsIn("dc1") == 0u);
}

// Guards against starts on a worker that only the records name: it may be in
// the drained data centre.
BOOST_AUTO_TEST_CASE(PlacementsOnUnlistedWorkersAreGivenUp) {
  UnreachableWorkers[owner()] = {"w1", "w2"};
  BOOST_TEST(!submit(anyDaemon(), job("1", 32, 1, 2'000)));
  run(500);
  for (const char *Id : {"w1", "w2"})
    Registry.push_back({Id, std::nullopt});
  drain("dc1");
  run(5);
  kill(owner());
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 14'000));
  BOOST_TEST(startsIn("dc1") == 0u);
}

// Guards against a request that is forgotten when all daemons restart.
BOOST_AUTO_TEST_CASE(TheRequestOutlastsARestartOfAllDaemons) {
  drain("dc1");
  run(300);
  for (const char *Name : {"a", "b", "c"})
    kill(Name);
  run(100);
  for (const char *Name : {"a", "b", "c"})
    addDaemon(Name);
  BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 5'000));
  run(1'000);
  BOOST_TEST(!submit(anyDaemon(), job("1", 30, 1, 500)));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 5'000));
  BOOST_TEST(startsIn("dc1") == 0u);
}

// Guards against an owner that plans before it has read the operator's topic to
// its end, after the pages.
BOOST_AUTO_TEST_CASE(NothingStartsBeforeTheTopicIsRead) {
  for (const char *Name : {"a", "b", "c"})
    kill(Name);
  run(100);
  DaemonsWithoutOperatorTopic = {"d"};
  addDaemon("d");
  BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 5'000));
  drain("dc1");
  Daemons["d"]->submit(job("1", 16, 1, 500),
                       [](const std::optional<Refusal> &) {});
  run(7'000);
  BOOST_TEST(Starts.empty());
  BOOST_TEST(std::none_of(ControlTopic.Records.begin(),
                          ControlTopic.Records.end(),
                          [](const KeyValue &R) { return R.Key == "p/1"; }));
  DaemonsWithoutOperatorTopic.clear();
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 4'000));
  BOOST_TEST(startsIn("dc1") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheTopicCannotBeRead)

// Guards against starts in a data centre whose request the owner could not
// read: it was stored more than 5 s ago.
BOOST_AUTO_TEST_CASE(StartsWaitOnceARequestWasRead) {
  drain("dc1");
  run(300);
  drain("dc1", false);
  run(300);
  for (auto &[Name, N] : Daemons)
    DaemonsWithoutOperatorTopic.insert(Name);
  drain("dc1");
  run(5'000);
  Node &Owner = *Daemons[owner()];
  Owner.submit(job("1", 32, 1, 500), [](const std::optional<Refusal> &) {});
  run(2'000);
  BOOST_TEST(Starts.empty());
  BOOST_TEST(counted(owner(), "starts_held_for_drains") > 0u);
  DaemonsWithoutOperatorTopic.clear();
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 5'000));
  BOOST_TEST(startsIn("dc1") == 0u);
}

// Guards against starts that wait in a deployment whose operator has never
// drained a data centre.
BOOST_AUTO_TEST_CASE(StartsGoOnIfNoRequestWasEverRead) {
  for (auto &[Name, N] : Daemons)
    DaemonsWithoutOperatorTopic.insert(Name);
  run(7'000);
  Daemons[owner()]->submit(job("1", 32, 1, 500),
                           [](const std::optional<Refusal> &) {});
  run(400);
  BOOST_TEST(Starts.size() == 32u);
}

// Guards against a request that stays in force because the record of its
// withdrawal was deleted before it was read, and against one that is missed.
BOOST_AUTO_TEST_CASE(RequestsAreThoseOfThePagesThatAreReadAgain) {
  drain("dc1");
  run(300);
  for (auto &[Name, N] : Daemons)
    DaemonsWithoutOperatorTopic.insert(Name);
  drain("dc1", false);
  drain("dc2");
  configure(7);
  OperatorOldestOffset = OperatorTopic.size();
  run(300);
  DaemonsWithoutOperatorTopic.clear();
  run(3'000);
  for (auto &[Name, N] : Daemons) {
    BOOST_TEST(N->drainedDataCentres() == 1u);
    BOOST_TEST(N->configuration()->Version == 7u);
  }
  BOOST_TEST(!submit(anyDaemon(), job("1", 16, 1, 500)));
  BOOST_TEST(
      runUntil([&] { return allShow("1", JobState::Completed); }, 3'000));
  BOOST_TEST(startsIn("dc1") == 16u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Admission)

// Guards against jobs that are accepted for workers which get no work, and
// against refusals because of work that runs on these workers.
BOOST_AUTO_TEST_CASE(CountsTheCapacityAndTheWorkOfOthersOnly) {
  drain("dc2");
  run(300);
  BOOST_TEST(!submit(anyDaemon(), job("1", 16, 1, 20'000)));
  run(600);
  BOOST_REQUIRE(runsIn("dc1") == 16u);
  BOOST_TEST(published().Workers == 2);
  BOOST_TEST(published().DrainedWorkers == 2);
  BOOST_TEST(published().BacklogMs[1] > 0);
  drain("dc2", false);
  drain("dc1");
  run(1'000);
  BOOST_TEST(published().Workers == 2);
  BOOST_TEST(published().BacklogMs[1] == 0);
  drain("dc1", false);
  run(1'000);
  BOOST_TEST(published().Workers == 4);
  BOOST_TEST(published().DrainedWorkers == 0);
  BOOST_TEST(published().BacklogMs[1] > 0);
}

// Guards against jobs that are accepted while all data centres are drained
// although they would end too late, against refusals of those that can wait, of
// jobs without an end, and after the withdrawal.
BOOST_AUTO_TEST_CASE(RefusesWhatCannotWaitWhileAllAreDrained) {
  auto Urgent = [this](const std::string &Id) {
    auto J = job(Id, 1, 1, 2'000);
    J.Priority = 0;
    J.Stretch = 1.5;
    J.LatencyObjectiveMs = 250;
    return J;
  };
  drain("dc1");
  drain("dc2");
  run(1'000);
  BOOST_TEST(!submit(anyDaemon(), Urgent("1")));
  run(10'000);
  for (auto &[Name, N] : Daemons) {
    auto R = submit(*N, Urgent("refused-" + Name));
    BOOST_REQUIRE(R);
    BOOST_TEST((R->Why == Refusal::Overloaded));
    BOOST_TEST(R->RetryAfter.count() >= 10'000);
    BOOST_TEST(R->RetryAfter.count() <= 20'000);
  }
  BOOST_TEST(!submit(anyDaemon(), job("patient", 1, 1, 20'000)));
  auto Service = Urgent("service");
  Service.Steps[0].LongRunning = true;
  BOOST_TEST(!submit(anyDaemon(), Service));
  BOOST_TEST(Starts.empty());
  drain("dc1", false);
  run(120);
  BOOST_TEST(!submit(anyDaemon(), Urgent("3")));
  BOOST_TEST(
      runUntil([&] { return allShow("3", JobState::Completed); }, 4'000));
  for (const auto &[Task, Count] : Starts)
    BOOST_TEST(!Task.Job.starts_with("refused"));
}

// Guards against refusals after the withdrawal because the owner's record of
// the drained workers is still the newest one.
BOOST_AUTO_TEST_CASE(AcceptsOnceTheWithdrawalIsRead) {
  drain("dc1");
  drain("dc2");
  run(10'000);
  auto J = job("1", 1, 1, 2'000);
  J.Stretch = 1.5;
  J.LatencyObjectiveMs = 250;
  BOOST_TEST(submit(anyDaemon(), J).has_value());
  AppendDurationMs = 700;
  run(50);
  drain("dc1", false);
  drain("dc2", false);
  run(130);
  BOOST_TEST(published().DrainedWorkers == 4);
  BOOST_TEST(!submit(anyDaemon(), J));
}

// Guards against jobs that are refused or accepted by the capacity before a
// request for as long as the owner's records are apart.
BOOST_AUTO_TEST_CASE(LearnsOfRequestsAtOnce) {
  for (int N = 0; N < 5; ++N) {
    drain("dc1", N % 2 == 0);
    run(130);
    BOOST_TEST(published().Workers == (N % 2 ? 4 : 2));
  }
}

// Guards against a drain that seems to begin anew with each owner, so that jobs
// are accepted again that cannot run in time.
BOOST_AUTO_TEST_CASE(RemembersAcrossOwnersSinceWhenAllAreDrained) {
  drain("dc1");
  drain("dc2");
  run(8'000);
  kill(owner());
  BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 5'000));
  run(1'000);
  auto J = job("1", 1, 1, 2'000);
  J.Stretch = 1.5;
  J.LatencyObjectiveMs = 250;
  auto R = submit(anyDaemon(), J);
  BOOST_REQUIRE(R);
  BOOST_TEST(R->RetryAfter.count() >= 8'000);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheRequestIsWithdrawn)

// Guards against tasks that are lost or run twice if that happens while the
// request is being carried out.
BOOST_AUTO_TEST_CASE(StartsThatAreBeingBarredRunOnceElsewhereOrThere) {
  for (std::int64_t WithdrawnAfterMs : {5, 30, 200, 1'000}) {
    std::string Id = std::to_string(WithdrawnAfterMs);
    for (const char *Worker : {"w1", "w2"})
      Workers[Worker].StartDelayMs = 400;
    BOOST_TEST(!submit(anyDaemon(), job(Id, 32, 1, 1'000)));
    run(60);
    drain("dc1");
    run(WithdrawnAfterMs);
    drain("dc1", false);
    for (const char *Worker : {"w1", "w2"})
      Workers[Worker].StartDelayMs = 0;
    BOOST_TEST(
        runUntil([&] { return allShow(Id, JobState::Completed); }, 10'000));
  }
  BOOST_TEST(!RunsOverlapped);
  BOOST_TEST(!StartedAfterAcknowledgedEnd);
}

// Guards against work that goes to workers which have just started again while
// others have room.
BOOST_AUTO_TEST_CASE(ColdWorkersAreUsedLast) {
  drain("dc1");
  run(300);
  for (const char *Id : {"w1", "w2"}) {
    Workers[Id].Entry.WarmupLeftMs = 20'000;
    Registry.push_back({Id, Workers[Id].Entry});
  }
  drain("dc1", false);
  run(300);
  BOOST_TEST(!submit(anyDaemon(), job("1", 20, 1, 3'000)));
  run(300);
  BOOST_TEST(startsIn("dc2") == 16u);
  BOOST_TEST(startsIn("dc1") == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SetOfDrainedDataCentres)

// Guards against a request that is dropped while the pages are read again.
BOOST_AUTO_TEST_CASE(KeepsRequestsUntilAllPagesAreRead) {
  DrainedDataCentres Set;
  BOOST_TEST(!Set.everRequested());
  Set.beginPages();
  BOOST_TEST(Set.apply({"a", true}));
  BOOST_TEST(Set.endPages().empty());
  BOOST_TEST(Set.apply({"b", true}));
  Set.beginPages();
  BOOST_TEST(!Set.apply({"b", true}));
  BOOST_TEST(Set.contains("a"));
  BOOST_TEST((Set.endPages() == std::vector<std::string>{"a"}));
  BOOST_TEST(!Set.contains("a"));
  BOOST_TEST(Set.contains("b"));
}

// Guards against events and revocations for a record that is read twice.
BOOST_AUTO_TEST_CASE(TellsWhetherARecordChangesIt) {
  DrainedDataCentres Set;
  BOOST_TEST(!Set.apply({"a", false}));
  BOOST_TEST(!Set.everRequested());
  BOOST_TEST(Set.apply({"a", true}));
  BOOST_TEST(!Set.apply({"a", true}));
  BOOST_TEST(Set.apply({"a", false}));
  BOOST_TEST(!Set.apply({"a", false}));
  BOOST_TEST(Set.empty());
  BOOST_TEST(Set.everRequested());
}

// Guards against a page that lists a withdrawal, and against one that lists a
// request which a later page of the same reread withdraws.
BOOST_AUTO_TEST_CASE(LeavesOutWhatThePagesWithdraw) {
  DrainedDataCentres Set;
  Set.apply({"a", true});
  Set.beginPages();
  Set.apply({"a", true});
  BOOST_TEST(Set.apply({"a", false}));
  BOOST_TEST(Set.endPages().empty());
  BOOST_TEST(Set.empty());
}

BOOST_AUTO_TEST_SUITE_END()
