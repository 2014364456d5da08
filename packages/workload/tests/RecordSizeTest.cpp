#include "heathersaddle/workload/RecordSize.h"
#include "heathersaddle/workload/Ledger.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace heathersaddle::workload;

namespace {

/// A job of a gang and a step of single tasks in several occurrences, with
/// random progress.
class RandomJob {
public:
  explicit RandomJob(std::uint64_t Seed) : Random(Seed) {
    Step Gang;
    Gang.Count = 1 + below(4);
    Gang.Gang = true;
    Step Single;
    Single.Count = 1 + below(30);
    Value.Spec.Id = "5c0e7a21d94b36f8";
    Value.Spec.Steps = {Gang, Single};
    Value.Spec.OccurrenceCount = 1 + below(5);
    Value.HasSubmission = true;
    Value.State = JobState::Running;
    for (unsigned K = 0; K < Value.Spec.occurrences(); ++K) {
      std::string GangCheckpoint = text(300);
      for (unsigned S = 0; S < 2; ++S)
        for (unsigned N = 0; N < Value.Spec.Steps[S].Count; ++N)
          if (below(8))
            Value.Tasks[{K, S, N}] = progress(S ? text(300) : GangCheckpoint);
    }
  }
  Job Value;

private:
  unsigned below(unsigned Limit) {
    return static_cast<unsigned>(Random() % Limit);
  }
  unsigned number() {
    return static_cast<unsigned>(Random() >> (32 + Random() % 32));
  }
  /// Characters that JSON stores as one, two and six bytes.
  std::string text(unsigned MaxBytes) {
    static constexpr std::string_view Characters = "ab\"\\\n\x01\x1f/";
    std::string Out;
    for (unsigned Left = below(3) ? below(MaxBytes) : 0; Left; --Left)
      Out += Characters[below(Characters.size())];
    return Out;
  }
  TaskProgress progress(std::string Checkpoint) {
    TaskProgress T;
    T.Phase = static_cast<TaskPhase>(below(3));
    T.Run = T.Phase == TaskPhase::Done ? 1 + below(2) : number();
    if (T.Phase == TaskPhase::Done)
      return T;
    T.Failures = number();
    T.FailedRun = number();
    T.Checkpoint = std::move(Checkpoint);
    if (T.Phase == TaskPhase::Placed) {
      T.Worker = text(60);
      T.WorkerStartMs = number();
      T.WorkerAddress = text(60);
    }
    if (!below(3))
      T.Lapsed = {1 + number() / 2, text(60), number(), text(60)};
    if (!below(3)) {
      T.Crashes = 1 + number() / 2;
      T.CrashedRun = 1 + number() / 2;
      T.CrashDecibans = number();
      for (unsigned Left = below(8); Left; --Left)
        T.CrashedWorkers.push_back(text(60));
    }
    return T;
  }
  std::mt19937_64 Random;
};

std::size_t encodedBytes(const Job &J) {
  KeyValue R = Ledger::progress(J);
  return R.Key.size() + R.Value.size();
}

Job readBack(const Job &J) {
  Ledger L;
  BOOST_REQUIRE(L.apply(Ledger::submission(J.Spec)).has_value());
  BOOST_REQUIRE(L.apply(Ledger::progress(J)).has_value());
  return *L.find(J.Spec.Id);
}

constexpr std::uint64_t Seeds = 300;

} // namespace

BOOST_AUTO_TEST_SUITE(SizeOfAProgressRecord)

// Guards against a record that is larger than it was taken for, which the store
// refuses for ever: texts are stored escaped, and tasks that are done take
// bytes, too.
BOOST_AUTO_TEST_CASE(IsThatOfTheEncodedRecord) {
  for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    Job J = RandomJob(Seed).Value;
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(progressBytes(J) == encodedBytes(J));
      BOOST_TEST(progressBytes(J) <= maxProgressBytes(J));
      EntryReserve Reserve{200, 150};
      BOOST_TEST(progressBytes(J) <= progressBytes(J, Reserve));
      BOOST_TEST(progressBytes(J, Reserve) <= maxProgressBytes(J, Reserve));
      BOOST_TEST((readBack(J).Tasks == J.Tasks));
    }
  }
}

// Guards against a task that waits and can never be placed, as the name of its
// worker would make the record too large.
BOOST_AUTO_TEST_CASE(KeepsRoomForPlacements) {
  Job J = RandomJob(1).Value;
  std::string Name(70, 'w');
  std::size_t Reserved = progressBytes(J, {0, 2 * Name.size() + 24});
  for (auto &[K, T] : J.Tasks)
    if (T.Phase == TaskPhase::Waiting) {
      T.Phase = TaskPhase::Placed;
      T.Worker = T.WorkerAddress = Name;
      T.WorkerStartMs = 1'700'000'000'000;
    }
  BOOST_TEST(progressBytes(J) <= Reserved);
}

BOOST_AUTO_TEST_SUITE(ThatIsTooLarge)

// Guards against a job that is lost although some of its progress could be left
// out, and against a task that runs again after it was done.
BOOST_AUTO_TEST_CASE(IsReachedByLeavingOutWhatTheJobCanDoWithout) {
  for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    Job Before = RandomJob(Seed).Value;
    Job Bare = Before;
    for (auto &[K, T] : Bare.Tasks) {
      T.Checkpoint.clear();
      T.CrashedWorkers.clear();
      T.Run = T.Phase == TaskPhase::Done ? 2 : T.Run;
    }
    std::size_t Least = progressBytes(Bare);
    for (unsigned Part = 0; Part <= 4; ++Part) {
      Job J = Before;
      std::size_t Max = Least + (progressBytes(Before) - Least) * Part / 4;
      ProgressCuts Cuts = shrinkProgress(J, Max);
      BOOST_TEST_CONTEXT("seed " << Seed << ", limit " << Max) {
        BOOST_TEST(encodedBytes(J) <= Max);
        if (Part == 4)
          BOOST_TEST((J.Tasks == Before.Tasks));
        if (Cuts.CrashNotes)
          BOOST_TEST(
              std::all_of(J.Tasks.begin(), J.Tasks.end(), [](const auto &Task) {
                return Task.second.Checkpoint.empty();
              }));
        Job Read = readBack(J);
        for (const auto &[K, T] : Before.Tasks) {
          BOOST_TEST((Read.task(K).Phase == T.Phase));
          BOOST_TEST(Read.task(K).Crashes == T.Crashes);
          BOOST_TEST(Read.task(K).Run >= T.Run);
        }
      }
    }
  }
}

// Guards against members of a gang that resume from different checkpoints.
BOOST_AUTO_TEST_CASE(LosesTheCheckpointsOfAGangTogether) {
  Job J = RandomJob(3).Value;
  J.Spec.Steps[0].Count = 3;
  J.Tasks.clear();
  for (unsigned N = 0; N < 3; ++N)
    J.Tasks[{0, 0, N}] = {TaskPhase::Waiting, 1, "", 0, 0, 0, "gang"};
  J.Tasks[{0, 1, 0}] = {TaskPhase::Waiting, 1, "", 0, 0, 0, "single"};
  ProgressCuts Cuts = shrinkProgress(J, progressBytes(J) - 1);
  BOOST_TEST(Cuts.Checkpoints == 3u);
  BOOST_TEST(Cuts.CheckpointBytes == 12u);
  BOOST_TEST(J.task({0, 0, 1}).Checkpoint.empty());
  BOOST_TEST(J.task({0, 1, 0}).Checkpoint == "single");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

// Guards against a job that is accepted although its record is too large.
BOOST_AUTO_TEST_CASE(SubmissionIsNeverLargerThanItsBound) {
  JobSpec J;
  J.Id = "5c0e7a21d94b36f8";
  J.Queue = J.Service = J.Account = J.Payload = std::string(500, '\x01');
  J.Priority = J.MaxAttempts = J.OccurrenceCount = ~0U;
  J.LatencyObjectiveMs = J.IntervalMs = J.StartAtMs = J.AcceptedMs =
      std::int64_t{1} << 52;
  J.NeedsAdvice = true;
  for (unsigned N = 0; N < 64; ++N) {
    Step S;
    S.Count = S.MaxPerWorker = S.MaxUnavailable = ~0U;
    S.Need = {J.StartAtMs, J.StartAtMs, J.StartAtMs};
    S.EstimateMs = S.LatencyTargetMs = J.StartAtMs;
    S.RequiredLabel = S.DataRack = S.Image = std::string(256, '\x01');
    S.SavesProgress = S.Gang = S.SameRack = true;
    S.Speculative = S.LongRunning = S.Scavenger = true;
    for (unsigned D = 0; D < N; ++D)
      S.DependsOn.push_back(D);
    J.Steps.push_back(S);
    KeyValue R = Ledger::submission(J);
    BOOST_TEST(R.Key.size() + R.Value.size() <= maxSubmissionBytes(J));
  }
}
