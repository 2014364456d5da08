// The limits of the store on one record and on one append.
#include "Deployment.h"
#include <cstdlib>

using namespace heathersaddle;
using namespace heathersaddle::cluster;

namespace {

/// A store of small records, 30 workers and two daemons.
struct SmallRecords : World {
  SmallRecords() {
    RecordBytes = 4'096;
    AppendBytes = 40'000;
    for (int N = 0; N < 30; ++N)
      addWorker("w" + std::to_string(N), "r1");
    addDaemon("a");
    addDaemon("b");
    BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 3'000));
    run(200);
  }
  Node &ownerNode() { return *Daemons.at(owner()); }
  Node &follower() { return *Daemons.at(owner() == "a" ? "b" : "a"); }
  /// Ends the owner's process, starts it again and waits for the next owner.
  void replaceOwner() {
    if (std::string Old = owner(); !Old.empty()) {
      kill(Old);
      run(300);
      addDaemon(Old);
    }
    BOOST_TEST(runUntil([this] { return !owner().empty(); }, 8'000));
  }
  bool shows(const std::string &Id, JobState S) {
    return std::any_of(Daemons.begin(), Daemons.end(), [&](auto &D) {
      auto R = D.second->status(Id);
      return R.Result == Lookup::Found && R.State == S;
    });
  }
  bool completes(const std::string &Id, std::int64_t MaxMs = 12'000) {
    return runUntil([&] { return shows(Id, JobState::Completed); }, MaxMs);
  }
  /// The sum of a count over all daemons.
  std::uint64_t count(const std::string &Name) {
    std::uint64_t Sum = 0;
    for (auto &[Daemon, N] : Daemons)
      if (auto It = N->stats().Counts.find(Name); It != N->stats().Counts.end())
        Sum += It->second;
    return Sum;
  }
  double jobsNotRecorded() {
    return ownerNode().stats().Gauges.at("jobs_not_recorded");
  }
};

} // namespace

// Guards against an acknowledgement of a job that no daemon can read back: its
// callers are told later that there is no such job.
BOOST_FIXTURE_TEST_CASE(JobWhoseRecordCannotBeReadIsRefused, SmallRecords) {
  for (const auto &[Name, N] : Daemons) {
    workload::JobSpec J = job("un" + Name, 1, 1, 100);
    J.Steps[0].Count = 2'000'000;
    auto R = submit(*N, J);
    BOOST_REQUIRE(R.has_value());
    BOOST_TEST((R->Why == Refusal::Invalid));
    BOOST_TEST(!submit(*N, job("ok" + Name, 1, 1, 100)));
    BOOST_TEST(completes("ok" + Name));
  }
}

BOOST_FIXTURE_TEST_SUITE(StoreWithRecordLimit, SmallRecords)

BOOST_AUTO_TEST_SUITE(NoAppendIsOverTheLimit)

// Guards against checkpoints that take more bytes in the record than they have:
// with them the record was too large, and no job made progress any more.
BOOST_AUTO_TEST_CASE(IfCheckpointsAreStoredEscaped) {
  for (auto &[Id, W] : Workers) {
    W.Checkpoint = std::string(700, '"');
    W.FailRunsAtMs = Clock + 500;
  }
  auto J = job("1", 5, 1, 1'000);
  J.Steps[0].SavesProgress = true;
  BOOST_TEST(!submit(ownerNode(), J));
  run(700);
  BOOST_TEST(count("checkpoints_dropped") == 3u);
  replaceOwner();
  BOOST_TEST(!submit(ownerNode(), job("2", 1, 1, 100)));
  BOOST_TEST(completes("2"));
  BOOST_TEST(completes("1"));
  BOOST_TEST(AppendsRejected == 0u);
}

// Guards against records that grow with the tasks that are done.
BOOST_AUTO_TEST_CASE(IfNeighboursEndInDifferentRuns) {
  auto J = job("1", 600, 8, 200); // Each on a worker of its own.
  J.Steps[0].SavesProgress = true;
  J.MaxAttempts = 1'000;
  BOOST_TEST(!submit(ownerNode(), J));
  for (int N = 0; N < 300 && !shows("1", JobState::Completed); ++N) {
    // Half of the runs of each worker fail, as chance has it.
    for (auto &[Id, W] : Workers)
      if (Random() % 2)
        W.FailRunsAtMs = Clock + 100 + static_cast<std::int64_t>(Random() % 90);
    run(200);
  }
  BOOST_TEST(completes("1"));
  BOOST_TEST(AppendsRejected == 0u);
}

// Guards against names of workers that are longer than the entries of tasks
// allow for.
BOOST_AUTO_TEST_CASE(IfWorkersHaveLongNames) {
  for (int N = 0; N < 30; ++N)
    Registry.push_back({"w" + std::to_string(N), std::nullopt});
  for (int N = 0; N < 10; ++N)
    addWorker(std::string(200, 'n') + std::to_string(N), "r1");
  run(500);
  BOOST_TEST(!submit(ownerNode(), job("1", 60, 1, 200)));
  BOOST_TEST(completes("1"));
  BOOST_TEST(AppendsRejected == 0u);
}

// Fills the record of a job in every way, up to the limit and beyond, under
// changes of the owner, while other jobs have to make progress.
BOOST_AUTO_TEST_CASE(WhateverFillsTheRecordOfAJob) {
  const char *Given = std::getenv("HEATHERSADDLE_RECORD_SEEDS");
  std::uint64_t Seeds = Given ? std::strtoull(Given, nullptr, 10) : 12;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      SmallRecords W;
      std::mt19937_64 Random(Seed);
      auto Below = [&Random](std::uint64_t Limit) { return Random() % Limit; };
      auto Worker = [&]() -> FakeWorker & {
        return std::next(W.Workers.begin(),
                         static_cast<std::ptrdiff_t>(Below(W.Workers.size())))
            ->second;
      };
      auto Text = [&] {
        std::string Out;
        for (auto Left = Below(3) ? Below(700) : 0; Left; --Left)
          Out += "a\"\\\x01\n"[Below(5)];
        return Out;
      };
      auto Big = W.job("big", static_cast<unsigned>(1 + Below(60)), 1, 1'500);
      Big.MaxAttempts = 100'000;
      Big.Steps.push_back(Big.Steps[0]);
      Big.Steps[1].Gang = true;
      Big.Steps[1].Count = static_cast<unsigned>(2 + Below(12));
      Big.Steps[0].SavesProgress = Big.Steps[1].SavesProgress = true;
      if (Below(2)) {
        Big.OccurrenceCount = static_cast<unsigned>(1 + Below(6));
        Big.IntervalMs = static_cast<std::int64_t>(Below(1'000));
        Big.StartAtMs = 1'700'000'000'000 + W.Clock;
      }
      BOOST_TEST(!W.submit(W.ownerNode(), Big));
      unsigned Small = 0;
      std::map<std::string, std::int64_t> SentAtMs;
      for (int Turn = 0; Turn < 60; ++Turn) {
        for (auto &[Id, On] : W.Workers)
          if (!Below(4))
            On.Checkpoint = Text();
        for (auto Left = Below(5); Left; --Left)
          Worker().FailRunsAtMs = W.Clock + 1 + std::int64_t(Below(200));
        if (!Below(6))
          W.crash(Worker().Entry.Id);
        if (!Below(20))
          W.replaceOwner();
        std::string Id = "small" + std::to_string(Small++);
        W.Daemons.begin()->second->submit(
            W.job(Id, 1, 1, 50), [&, Id](const std::optional<Refusal> &R) {
              if (!R)
                SentAtMs[Id] = W.Clock;
            });
        W.run(250);
      }
      W.run(12'000);
      BOOST_TEST(W.AppendsRejected == 0u);
      BOOST_TEST(SentAtMs.size() > 20u);
      for (const auto &[Id, At] : SentAtMs)
        BOOST_TEST(W.shows(Id, JobState::Completed), Id);
      BOOST_TEST(W.completes("big", 60'000));
      BOOST_TEST(!W.RunsOverlapped);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(JobThatIsTooLarge)

// Guards against a job that the front takes and the store never does: its
// caller waited, and the appends of others failed with it.
BOOST_AUTO_TEST_CASE(IsRefusedAtOnceByEachDaemon) {
  auto J = job("1", 1, 1, 100);
  J.Payload = std::string(RecordBytes / 2, '"');
  for (Node *N : {&ownerNode(), &follower()}) {
    std::int64_t SentAtMs = Clock;
    auto R = submit(*N, J);
    BOOST_REQUIRE(R);
    BOOST_TEST((R->Why == Refusal::TooLarge));
    BOOST_TEST(Clock - SentAtMs <= 10);
    BOOST_TEST((N->refusalForGood(J).has_value()));
  }
  J.Payload = std::string(RecordBytes / 2, 'x');
  BOOST_TEST(!ownerNode().refusalForGood(J).has_value());
  BOOST_TEST(!submit(follower(), J));
  BOOST_TEST(AppendsRejected == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RecordThatTheStoreRejects)

// Guards against one record that stops all jobs. A store whose limits are
// others than the settings say is one cause.
BOOST_AUTO_TEST_CASE(HoldsUpItsOwnJobOnly) {
  RejectedKeys = {"p/bad"};
  BOOST_TEST(!submit(ownerNode(), job("bad", 2, 1, 300)));
  for (int N = 0; N < 40; ++N)
    BOOST_TEST(!submit(ownerNode(), job(std::to_string(N), 1, 1, 200)));
  for (int N = 0; N < 40; ++N)
    BOOST_TEST(completes(std::to_string(N), 3'000));
  BOOST_TEST(shows("bad", JobState::Queued));
  BOOST_TEST(jobsNotRecorded() == 1);
  BOOST_TEST(count("records_withheld") == 1u);
  replaceOwner();
  BOOST_TEST(!submit(ownerNode(), job("next", 1, 1, 200)));
  BOOST_TEST(completes("next"));
  // Its tasks run once the store takes the record.
  BOOST_TEST(Starts.count({"bad", {}}) == 0u);
  RejectedKeys.clear();
  BOOST_TEST(completes("bad", 40'000));
  BOOST_TEST(jobsNotRecorded() == 0);
}

// Guards against a task that is started again after its end, which was not
// recorded, had been acknowledged to its worker.
BOOST_AUTO_TEST_CASE(KeepsEndsFromBeingAcknowledged) {
  BOOST_TEST(!submit(ownerNode(), job("bad", 1, 1, 300)));
  BOOST_TEST(runUntil([&] { return Starts.contains({"bad", {}}); }, 2'000));
  RejectedKeys = {"p/bad"};
  run(2'000);
  replaceOwner();
  run(4'000);
  RejectedKeys.clear();
  BOOST_TEST(completes("bad", 40'000));
  BOOST_TEST((Starts[{"bad", {}}]) == 1u);
}

// Guards against many records of which each is looked for in turn: others wait
// meanwhile.
BOOST_AUTO_TEST_CASE(IsFoundAmongManyOthers) {
  for (int N = 0; N < 60; N += 20)
    RejectedKeys.insert("p/" + std::to_string(N));
  for (int N = 0; N < 60; ++N)
    ownerNode().submit(job(std::to_string(N), 1, 1, 200),
                       [](const std::optional<Refusal> &) {});
  run(4'000);
  for (int N = 0; N < 60; ++N)
    BOOST_TEST(shows(std::to_string(N),
                     N % 20 ? JobState::Completed : JobState::Queued));
  BOOST_TEST(jobsNotRecorded() == 3);
}

// Guards against callers that are refused for the record of another.
BOOST_AUTO_TEST_CASE(IsTheOnlyOneOfItsAppendThatIsRefused) {
  for (Node *N : {&ownerNode(), &follower()}) {
    RejectedKeys = {"j/bad"};
    std::map<std::string, std::optional<Refusal>> Answers;
    for (const char *Id : {"1", "2", "bad", "3", "4"})
      N->submit(job(std::string(Id) + (N == &follower() ? "f" : ""), 1, 1, 100),
                [&, Id](const std::optional<Refusal> &R) { Answers[Id] = R; });
    RejectedKeys.insert("j/badf");
    run(1'500);
    BOOST_TEST(Answers.size() == 5u);
    for (const auto &[Id, R] : Answers) {
      BOOST_TEST(R.has_value() == (Id == "bad"), Id);
      if (R)
        BOOST_TEST((R->Why == Refusal::Invalid));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a store that rejects all that a daemon sends for some time:
// that says nothing about the records.
BOOST_AUTO_TEST_CASE(RejectionsOfAllAppendsWithholdNothing) {
  RejectedKeys = {"owner"};
  ownerNode().submit(job("1", 1, 1, 200),
                     [](const std::optional<Refusal> &) {});
  run(700);
  RejectedKeys.clear();
  BOOST_TEST(completes("1"));
  BOOST_TEST(count("records_withheld") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
