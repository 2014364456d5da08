#ifndef HEATHERSADDLE_WORKLOAD_JOB_H
#define HEATHERSADDLE_WORKLOAD_JOB_H

#include "heathersaddle/base/Time.h"
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace heathersaddle::workload {

/// Amounts that vary on their own; a worker's capacity or a task's need.
struct Resources {
  std::int64_t CpuMilli = 0; ///< Thousandths of a core.
  std::int64_t MemoryMb = 0;
  std::int64_t Gpus = 0;

  bool operator==(const Resources &) const = default;
  bool fitsIn(const Resources &Free) const {
    return CpuMilli <= Free.CpuMilli && MemoryMb <= Free.MemoryMb &&
           Gpus <= Free.Gpus;
  }
  Resources &operator+=(const Resources &R) {
    CpuMilli += R.CpuMilli;
    MemoryMb += R.MemoryMb;
    Gpus += R.Gpus;
    return *this;
  }
  Resources &operator-=(const Resources &R) {
    CpuMilli -= R.CpuMilli;
    MemoryMb -= R.MemoryMb;
    Gpus -= R.Gpus;
    return *this;
  }
};

/// A group of identical tasks.
struct Step {
  unsigned Count = 1;
  Resources Need;
  std::int64_t EstimateMs = 0; ///< A rough hint.
  std::vector<unsigned> DependsOn;
  std::string RequiredLabel; ///< Empty: any worker.
  std::string DataRack;      ///< Tasks are slower on other racks.
  unsigned MaxPerWorker = 0; ///< 0: no limit.
  bool SavesProgress = false;
  bool Gang = false;        ///< Tasks start, end and fail together.
  bool SameRack = false;    ///< Slower when spread over racks.
  bool Speculative = false; ///< Copies may run in parallel.
  bool LongRunning = false; ///< Restarted until the job is cancelled.
  /// Uses processor time that others leave; its CPU takes no room.
  bool Scavenger = false;
  std::string Image;
  std::int64_t LatencyTargetMs = 0; ///< Of a task that serves users.
  unsigned MaxUnavailable = 0;      ///< Most tasks that may be stopped at once.

  /// What a task takes of a worker's capacity.
  Resources room() const {
    Resources R = Need;
    if (Scavenger)
      R.CpuMilli = 0;
    return R;
  }
};

/// An accepted job: what runs, for whom, and by when.
struct JobSpec {
  std::string Id;
  std::string Queue;
  std::string Service; ///< The workers that run it.
  std::string Account; ///< Empty for a public queue.
  std::string Payload; ///< Passed to every task.
  std::vector<Step> Steps;
  unsigned Priority = 0; ///< 0 comes first and may stop others.
  unsigned MaxAttempts = 1;
  double Stretch = 1;                  ///< Allowed multiple of its own work.
  std::int64_t LatencyObjectiveMs = 0; ///< Allowed beyond the stretch.
  unsigned Repeats = 0;                ///< 0: the steps run once, at once.
  std::int64_t IntervalMs = 0;
  base::WallMs StartAtMs = 0;
  base::WallMs AcceptedMs = 0;
  bool NeedsAdvice = false; ///< An advisor names the workers allowed.

  unsigned occurrences() const { return Repeats ? Repeats : 1; }
  base::WallMs dueMs(unsigned Occurrence) const {
    return Repeats
               ? StartAtMs + static_cast<std::int64_t>(Occurrence) * IntervalMs
               : AcceptedMs;
  }
  bool isLongRunning() const;
  /// Estimated work on the longest chain of dependent steps.
  std::int64_t longestChainMs() const;
  /// Time from acceptance (or from when it is due) to the end that earns full
  /// credit.
  std::int64_t objectiveMs() const;
};

/// Time for which one task of \p S fills a worker of the mean capacity
/// \p Total / \p Workers, by the resource it takes most of.
std::int64_t workerMs(const Step &S, const Resources &Total,
                      std::int64_t Workers);

/// Names one task of a job.
struct TaskKey {
  unsigned Occurrence = 0;
  unsigned Step = 0;
  unsigned Index = 0;
  bool operator==(const TaskKey &) const = default;
  bool operator<(const TaskKey &O) const {
    return std::tie(Occurrence, Step, Index) <
           std::tie(O.Occurrence, O.Step, O.Index);
  }
};

enum class TaskPhase { Waiting, Placed, Done };

/// The recorded state of one task; tasks that were never placed have none.
struct TaskProgress {
  TaskPhase Phase = TaskPhase::Waiting;
  unsigned Run = 0;               ///< Number of its latest run.
  std::string Worker;             ///< Where the latest run was placed.
  std::int64_t WorkerStartMs = 0; ///< Start of that worker's process.
  unsigned Failures = 0;
  unsigned FailedRun = 0; ///< The latest run that was counted as a failure.
  std::string Checkpoint;
  bool operator==(const TaskProgress &) const = default;
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// A job with its progress.
struct Job {
  JobSpec Spec;
  JobState State = JobState::Queued;
  /// Only the owner has decided on this end so far; it may still be lost.
  bool EndUnstored = false;
  bool HasSubmission = false; ///< Its submission has been read.
  bool CancelRequested = false;
  base::WallMs EndedMs = 0;
  std::map<TaskKey, TaskProgress> Tasks;

  bool ended() const {
    return State == JobState::Completed || State == JobState::Failed ||
           State == JobState::Cancelled;
  }
  /// Whether it has ended and every later owner will know that.
  bool endStored() const { return ended() && !EndUnstored; }
  /// What callers are told: only what is stored.
  JobState visibleState() const {
    if (endStored())
      return State;
    if (CancelRequested)
      return JobState::Cancelled;
    return ended() ? JobState::Running : State;
  }
  const TaskProgress &task(const TaskKey &K) const;
  bool stepDone(unsigned Occurrence, unsigned Step) const;
  /// Whether all steps that \p Step depends on are done.
  bool stepReady(unsigned Occurrence, unsigned Step) const;
  bool allDone() const;
};

} // namespace heathersaddle::workload

#endif
