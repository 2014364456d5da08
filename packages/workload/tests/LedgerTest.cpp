#include "heathersaddle/workload/Ledger.h"
#include "heathersaddle/workload/Limits.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <random>

using namespace heathersaddle::workload;

namespace {

JobSpec spec() {
  JobSpec J;
  J.Id = "5c0e7a21d94b36f8";
  J.Queue = "q";
  J.Service = "s";
  J.Account = "maison";
  J.Payload = "a\"b";
  J.Priority = 2;
  J.MaxAttempts = 4;
  J.Stretch = 1.5;
  J.LatencyObjectiveMs = 250;
  J.OccurrenceCount = 3;
  J.IntervalMs = 4'500;
  J.StartAtMs = 1'700'000'000'000;
  J.AcceptedMs = 1'700'000'000'001;
  J.NeedsAdvice = true;
  Step S;
  S.Count = 2;
  S.Need = {7'500, 31'000, 8};
  S.EstimateMs = 2'500;
  S.Gang = S.SameRack = S.SavesProgress = true;
  J.Steps.push_back(S);
  S.DependsOn = {0};
  S.Gang = S.SameRack = false;
  S.Speculative = S.LongRunning = S.Scavenger = true;
  S.RequiredLabel = "a";
  S.DataRack = "r1-1";
  S.MaxPerWorker = 2;
  S.Image = "i";
  S.LatencyTargetMs = 20;
  S.MaxUnavailable = 1;
  J.Steps.push_back(S);
  return J;
}

/// Draws numbers at the bounds of a range, beyond them and inside.
class BoundaryNumbers {
public:
  explicit BoundaryNumbers(std::uint64_t Seed) : Random(Seed) {}
  /// Within [\p Min, \p Max].
  std::int64_t within(std::int64_t Min, std::int64_t Max) {
    switch (Random() % 4) {
    case 0:
      return Min;
    case 1:
      return Max;
    case 2:
      return Max - 1;
    default:
      return Min + static_cast<std::int64_t>(
                       Random() % static_cast<std::uint64_t>(Max - Min + 1));
    }
  }
  /// Of any value that \p Number can have.
  template <class Number> Number any(std::int64_t Min, std::int64_t Max) {
    using Type = std::numeric_limits<Number>;
    const Number Edges[] = {Type::min(), Type::max(),
                            static_cast<Number>(Max + 1),
                            static_cast<Number>(Min - 1)};
    return Random() % 3 ? static_cast<Number>(within(Min, Max))
                        : Edges[Random() % std::size(Edges)];
  }
  bool flip() { return Random() % 2; }

private:
  std::mt19937_64 Random;
};

/// The nearest number that a record can hold.
template <class Number>
Number nearest(Number N, std::int64_t Min, std::int64_t Max) {
  if constexpr (sizeof(Number) < sizeof(Max))
    return static_cast<Number>(
        std::clamp(static_cast<std::int64_t>(N), Min, Max));
  else
    return std::clamp(N, Min, Max);
}

JobSpec randomSpec(BoundaryNumbers &Draw) {
  JobSpec J = spec();
  J.Priority = Draw.any<unsigned>(0, MaxCount);
  J.MaxAttempts = Draw.any<unsigned>(1, MaxCount);
  for (std::int64_t *Amount :
       {&J.LatencyObjectiveMs, &J.IntervalMs, &J.Steps[0].EstimateMs,
        &J.Steps[1].LatencyTargetMs, &J.Steps[0].Need.CpuMilli,
        &J.Steps[0].Need.MemoryMb, &J.Steps[1].Need.Gpus})
    *Amount = Draw.any<std::int64_t>(0, MaxAmount);
  for (std::int64_t *Time : {&J.StartAtMs, &J.AcceptedMs})
    *Time = Draw.any<std::int64_t>(0, MaxMs);
  const double Stretches[] = {
      -1, 0, 0.0005, 1.5, 1e9, 2e18, 1e300, std::numeric_limits<double>::max()};
  J.Stretch = Stretches[Draw.within(0, std::ssize(Stretches) - 1)];
  J.OccurrenceCount = static_cast<unsigned>(Draw.within(1, MaxCount));
  J.Steps[0].Count = static_cast<unsigned>(Draw.within(1, MaxCount));
  J.Steps[1].MaxPerWorker = Draw.any<unsigned>(0, MaxCount);
  J.Steps[1].MaxUnavailable = Draw.any<unsigned>(0, MaxCount);
  return J;
}

/// What a daemon that reads the record of \p J is to know.
JobSpec asRecorded(JobSpec J) {
  J.Priority = nearest(J.Priority, 0, MaxCount);
  J.MaxAttempts = nearest(J.MaxAttempts, 1, MaxCount);
  for (std::int64_t *Amount :
       {&J.LatencyObjectiveMs, &J.IntervalMs, &J.Steps[0].EstimateMs,
        &J.Steps[1].LatencyTargetMs, &J.Steps[0].Need.CpuMilli,
        &J.Steps[0].Need.MemoryMb, &J.Steps[1].Need.Gpus})
    *Amount = nearest(*Amount, 0, MaxAmount);
  for (std::int64_t *Time : {&J.StartAtMs, &J.AcceptedMs})
    *Time = nearest(*Time, 0, MaxMs);
  J.Stretch = std::clamp(J.Stretch, 0.0, double{MaxStretch});
  J.Steps[1].MaxPerWorker = nearest(J.Steps[1].MaxPerWorker, 0, MaxCount);
  J.Steps[1].MaxUnavailable = nearest(J.Steps[1].MaxUnavailable, 0, MaxCount);
  return J;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobLedger)

BOOST_AUTO_TEST_SUITE(RecordsReadBack)

// Guards against a field that is not written, which the next owner would lose.
BOOST_AUTO_TEST_CASE(SubmissionKeepsEveryField) {
  Ledger L;
  JobSpec J = spec();
  BOOST_REQUIRE(L.apply(Ledger::submission(J)).has_value());
  const Job *Read = L.find(J.Id);
  BOOST_REQUIRE(Read);
  BOOST_TEST(Ledger::submission(Read->Spec).Value ==
             Ledger::submission(J).Value);
  BOOST_TEST(Read->Spec.Steps[1].Scavenger);
  BOOST_TEST(Read->Spec.Steps[1].room().CpuMilli == 0);
  BOOST_TEST(Read->Spec.Stretch == 1.5);
}

// Guards against jobs that are accepted and lost, as no daemon can read the
// record of their submission: a number is beyond what its reader takes.
BOOST_AUTO_TEST_CASE(SubmissionIsReadWhateverItsNumbersAre) {
  BoundaryNumbers Draw(1);
  for (int N = 0; N < 5'000; ++N) {
    Ledger L;
    JobSpec J = randomSpec(Draw);
    KeyValue Record = Ledger::submission(J);
    BOOST_REQUIRE_MESSAGE(Ledger::checkSubmission(Record), Record.Value);
    BOOST_REQUIRE_MESSAGE(L.apply(Record).has_value(), Record.Value);
    BOOST_TEST(Ledger::submission(L.find(J.Id)->Spec).Value ==
               Ledger::submission(asRecorded(J)).Value);
  }
}

// Guards against jobs that are lost since a daemon of another version has
// written a number that this one would not.
BOOST_AUTO_TEST_CASE(SubmissionOfAnotherVersionIsRead) {
  for (const char *Field : {"y", "x", "h", "o", "i", "b", "t"})
    for (const char *Number :
         {"-9223372036854775808", "-1", "1000001", "2147483647", "4294967296",
          "9007199254740991", "18446744073709551615", "1e300", "2.5"}) {
      Ledger L;
      std::string Text = std::string(R"({"q":"q","s":"s",)") + "\"" + Field +
                         "\":" + Number + R"(,"n":2,"steps":[{"n":1}]})";
      BOOST_REQUIRE_MESSAGE(L.apply({"j/" + spec().Id, Text}).has_value(),
                            Text);
      const JobSpec &Read = L.find(spec().Id)->Spec;
      BOOST_TEST(Ledger::checkSubmission(Ledger::submission(Read)).has_value(),
                 Text);
      BOOST_TEST(Read.MaxAttempts >= 1u, Text);
      BOOST_TEST(Read.Stretch >= 0, Text);
    }
}

// Guards against progress that no later owner can read, so that it starts
// tasks that are done.
BOOST_AUTO_TEST_CASE(ProgressIsReadWhateverItsNumbersAre) {
  BoundaryNumbers Draw(2);
  constexpr std::int64_t MaxNumber = std::numeric_limits<unsigned>::max();
  auto Number = [&] {
    return static_cast<unsigned>(Draw.within(0, MaxNumber));
  };
  for (int N = 0; N < 2'000; ++N) {
    Ledger L;
    Job J;
    J.Spec = spec();
    J.Spec.OccurrenceCount = J.Spec.Steps[1].Count = MaxCount;
    J.HasSubmission = true;
    J.State = JobState::Running;
    TaskProgress T;
    T.Phase = static_cast<TaskPhase>(Draw.within(0, 2));
    T.Run = Number();
    if (T.Phase != TaskPhase::Done) {
      T.Failures = Number();
      T.FailedRun = Number();
      T.Crashes = std::max(1U, Number());
      T.CrashedRun = Number();
      T.CrashDecibans = Number();
      T.CrashedWorkers = {"c"};
      T.Lapsed = {std::max(1U, Number()), "l", Draw.within(0, MaxMs), "b"};
    }
    if (T.Phase == TaskPhase::Placed) {
      T.Worker = "w";
      T.WorkerStartMs = Draw.within(0, MaxMs);
      T.WorkerAddress = "a";
    }
    J.Tasks[{static_cast<unsigned>(Draw.within(0, MaxCount - 1)), 1,
             static_cast<unsigned>(Draw.within(0, MaxCount - 1))}] = T;
    BOOST_REQUIRE(L.apply(Ledger::submission(J.Spec)).has_value());
    KeyValue Record = Ledger::progress(J);
    BOOST_REQUIRE_MESSAGE(L.apply(Record).has_value(), Record.Value);
    const Job *Read = L.find(J.Spec.Id);
    BOOST_TEST((Read->Tasks == J.Tasks), Record.Value);
    J.State = JobState::Completed;
    J.EndedMs = Draw.within(1, MaxMs);
    BOOST_REQUIRE(L.apply(Ledger::progress(J)).has_value());
    BOOST_TEST(Read->EndedMs == J.EndedMs);
  }
}

// Guards against an owner that no daemon recognizes, as a figure of its load is
// out of range.
BOOST_AUTO_TEST_CASE(OwnershipIsReadWhateverItsFiguresAre) {
  BoundaryNumbers Draw(3);
  for (int N = 0; N < 2'000; ++N) {
    Ownership O;
    O.Epoch = static_cast<std::uint64_t>(Draw.within(1, MaxMs));
    O.Daemon = "a";
    for (std::int64_t *Figure :
         {&O.AppendMs, &O.CpuMilli, &O.Workers, &O.DrainedWorkers,
          &O.MeanCapacity.CpuMilli, &O.MeanCapacity.MemoryMb,
          &O.MeanCapacity.Gpus})
      *Figure = Draw.any<std::int64_t>(0, MaxAmount);
    O.BacklogMs = {Draw.any<std::int64_t>(0, MaxWorkMs)};
    KeyValue Record = Ledger::ownership(O);
    auto Read = Ledger::decodeOwnership(Record);
    BOOST_REQUIRE_MESSAGE(Read && *Read, Record.Value);
    BOOST_TEST((*Read)->Epoch == O.Epoch);
    BOOST_TEST((*Read)->BacklogMs[0] == nearest(O.BacklogMs[0], 0, MaxWorkMs));
    BOOST_TEST((*Read)->MeanCapacity.Gpus ==
               nearest(O.MeanCapacity.Gpus, 0, MaxAmount));
  }
}

// Guards against progress that changes when it is written and read back.
BOOST_AUTO_TEST_CASE(ProgressKeepsEveryTask) {
  Ledger L;
  Job J;
  J.Spec = spec();
  J.HasSubmission = true;
  J.State = JobState::Running;
  J.Tasks[{0, 0, 1}] = {TaskPhase::Placed, 3, "w1", 17, 1, 2, "saved"};
  J.Tasks[{1, 1, 0}] = {TaskPhase::Waiting, 2, "", 0, 2, 2, ""};
  J.Tasks[{1, 1, 1}] = {TaskPhase::Waiting, 4, "", 0, 0, 0, "", 2, 3};
  J.Tasks[{2, 0, 0}] = {TaskPhase::Placed, 2, "w2", 18, 0, 0, "", 1, 1};
  J.Tasks[{2, 1, 1}] = {TaskPhase::Done, 1, "", 0, 0, 0, ""};
  J.Tasks[{0, 0, 1}].WorkerAddress = "10.0.0.1:80";
  J.Tasks[{2, 0, 0}].WorkerAddress = "10.0.0.2:80";
  J.Tasks[{1, 1, 0}].Lapsed = {2, "w3", 19, "10.0.0.3:80"};
  J.Tasks[{1, 1, 1}].Lapsed = {4, "w4", 20, ""};
  J.Tasks[{1, 1, 1}].CrashedWorkers = {"10.0.0.1:80", "10.0.0.4:80"};
  J.Tasks[{2, 0, 0}].CrashedWorkers = {"10.0.0.4:80"};
  J.Tasks[{2, 0, 0}].CrashDecibans = 43;
  // Its suspicion has been cleared.
  J.Tasks[{1, 0, 1}] = {TaskPhase::Waiting, 6, "", 0, 0, 0, "", 0, 5};
  BOOST_REQUIRE(L.apply(Ledger::submission(J.Spec)).has_value());
  BOOST_REQUIRE(L.apply(Ledger::progress(J)).has_value());
  const Job *Read = L.find(J.Spec.Id);
  BOOST_REQUIRE(Read);
  BOOST_TEST((Read->Tasks == J.Tasks));
  BOOST_TEST((Read->State == JobState::Running));
}

// Guards against progress that is lost because an earlier version of the daemon
// wrote it, without the counts of crashes.
BOOST_AUTO_TEST_CASE(ProgressWithoutCrashesIsRead) {
  Ledger L;
  BOOST_REQUIRE(L.apply(Ledger::submission(spec())).has_value());
  BOOST_REQUIRE(L.apply({"p/" + spec().Id,
                         R"({"s":1,"t":[[0,0,0,1,3,1,2,"saved","w1",17],)"
                         R"([0,0,1,0,2,0,0,""]]})"})
                    .has_value());
  const Job *Read = L.find(spec().Id);
  BOOST_TEST((Read->task({0, 0, 0}) ==
              TaskProgress{TaskPhase::Placed, 3, "w1", 17, 1, 2, "saved"}));
  BOOST_TEST((Read->task({0, 0, 1}) ==
              TaskProgress{TaskPhase::Waiting, 2, "", 0, 0, 0, ""}));
}

// Guards against progress records of wide jobs that grow with every task that
// is done.
BOOST_AUTO_TEST_CASE(ConsecutiveDoneTasksShareARow) {
  Ledger L;
  Job J;
  J.Spec = spec();
  J.Spec.Steps[1].Count = 5'000;
  J.HasSubmission = true;
  for (unsigned N = 0; N < 5'000; ++N)
    J.Tasks[{0, 1, N}] = {
        TaskPhase::Done, N < 3'000 ? 1U : 2U, "", 0, 0, 0, ""};
  J.Tasks[{0, 1, 7}] = {TaskPhase::Placed, 3, "w1", 17, 1, 2, "saved"};
  J.Tasks[{1, 0, 0}] = {TaskPhase::Done, 2, "", 0, 0, 0, ""};
  BOOST_TEST(Ledger::progress(J).Value.size() < 150u);
  (void)L.apply(Ledger::submission(J.Spec));
  BOOST_REQUIRE(L.apply(Ledger::progress(J)).has_value());
  BOOST_TEST((L.find(J.Spec.Id)->Tasks == J.Tasks));
}

// Guards against a repeated submission that changes the time of acceptance or
// erases progress.
BOOST_AUTO_TEST_CASE(RepeatedSubmissionChangesNothing) {
  Ledger L;
  JobSpec J = spec();
  (void)L.apply(Ledger::submission(J));
  J.AcceptedMs += 5'000;
  (void)L.apply(Ledger::submission(J));
  BOOST_TEST(L.find(J.Id)->Spec.AcceptedMs == spec().AcceptedMs);
}

// Guards against a lost cancellation: a page of newest records may hold it
// before the submission.
BOOST_AUTO_TEST_CASE(CancellationReadBeforeItsSubmissionTakesEffect) {
  Ledger L;
  (void)L.apply(Ledger::cancellation(spec().Id, 1));
  BOOST_TEST(!L.find(spec().Id));
  (void)L.apply(Ledger::submission(spec()));
  BOOST_REQUIRE(L.find(spec().Id));
  BOOST_TEST((L.find(spec().Id)->visibleState() == JobState::Cancelled));
}

// Guards against an ownership record of an earlier epoch that is read late.
BOOST_AUTO_TEST_CASE(OwnershipOfAnEarlierEpochIsIgnored) {
  Ledger L;
  Ownership New;
  New.Epoch = 5;
  New.Daemon = "b";
  Ownership Old;
  Old.Epoch = 4;
  Old.Daemon = "a";
  (void)L.apply(Ledger::ownership(New));
  (void)L.apply(Ledger::ownership(Old));
  BOOST_TEST(L.owner().Daemon == "b");
}

// Guards against a crash on a malformed record, such as one of another version.
BOOST_AUTO_TEST_CASE(MalformedRecordIsAnErrorAndChangesNothing) {
  Ledger L;
  (void)L.apply(Ledger::submission(spec()));
  for (const char *Bad : {"{", "[]", "{\"s\":9}", "{\"s\":1,\"t\":[[1]]}"})
    BOOST_TEST(!L.apply({"p/" + spec().Id, Bad}).has_value());
  BOOST_TEST(!L.apply({"unknown", "x"}).has_value());
  BOOST_TEST((L.find(spec().Id)->State == JobState::Queued));
}

// Guards against an owner that ends by itself because a record names a task
// that the job does not have.
BOOST_AUTO_TEST_CASE(ProgressOfUnknownTasksIsDropped) {
  for (const char *Key : {"3,0,0", "0,2,0", "0,0,2", "4294967296,0,0",
                          "0,4294967296,0", "0,0,4294967296"}) {
    BOOST_TEST_CONTEXT(Key) {
      KeyValue Record{"p/" + spec().Id, "{\"s\":1,\"t\":[[" + std::string(Key) +
                                            ",1,1,0,0,\"\",\"w1\",17]]}"};
      Ledger L;
      (void)L.apply(Ledger::submission(spec()));
      BOOST_TEST(!L.apply(Record).has_value());
      BOOST_TEST(L.find(spec().Id)->Tasks.empty());
      Ledger ProgressFirst;
      (void)ProgressFirst.apply(Record);
      (void)ProgressFirst.apply(Ledger::submission(spec()));
      BOOST_TEST(ProgressFirst.find(spec().Id)->Tasks.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(JobObjective)

// Guards against estimates of parallel steps being added up.
BOOST_AUTO_TEST_CASE(UsesTheLongestChainOfSteps) {
  JobSpec J = spec();
  BOOST_TEST(J.longestChainMs() == 5'000);
  J.Steps[1].DependsOn.clear();
  BOOST_TEST(J.longestChainMs() == 2'500);
  BOOST_TEST(J.objectiveMs() == 2'500 * 3 / 2 + 250);
}

// Guards against sums that overflow: the objective of a job with a large
// stretch, or its work on small workers, became negative.
BOOST_AUTO_TEST_CASE(StaysInRangeForLargeNumbers) {
  JobSpec J = spec();
  J.Stretch = double{MaxStretch};
  J.LatencyObjectiveMs = MaxAmount;
  for (Step &S : J.Steps) {
    S.EstimateMs = MaxAmount;
    S.Need = {MaxAmount, MaxAmount, MaxAmount};
  }
  BOOST_TEST(J.objectiveMs() >= MaxMs);
  BOOST_TEST(J.objectiveMs() <= MaxMs + MaxAmount);
  BOOST_TEST(workerMs(J.Steps[0], {1, 1, 1}, 1) == MaxAmount);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a missing field: without the address, daemons cannot reach the
// owner; without the duration of its appends, a slow store looks like an owner
// that has failed; without the drained workers, jobs are accepted that cannot
// run in time.
BOOST_AUTO_TEST_CASE(OwnershipKeepsAddressAppendTimeAndDrainedWorkers) {
  Ownership O;
  O.Epoch = 3;
  O.Daemon = "a";
  O.Address = "10.0.0.1:7000";
  O.AppendMs = 288;
  O.DrainedWorkers = 12;
  Ledger L;
  BOOST_REQUIRE(L.apply(Ledger::ownership(O)).has_value());
  BOOST_TEST(L.owner().Address == O.Address);
  BOOST_TEST(L.owner().AppendMs == O.AppendMs);
  BOOST_TEST(L.owner().DrainedWorkers == O.DrainedWorkers);
}

BOOST_AUTO_TEST_SUITE_END()
