#ifndef HEATHERSADDLE_WORKLOAD_JOB_H
#define HEATHERSADDLE_WORKLOAD_JOB_H

#include "heathersaddle/base/Time.h"
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace heathersaddle::workload {

/// Independent resource amounts: the capacity of a worker or the need of a
/// task.
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
  std::int64_t EstimateMs = 0; ///< Rough estimate of a task's run time.
  std::vector<unsigned> DependsOn;
  std::string RequiredLabel; ///< Empty: any worker.
  std::string DataRack;      ///< Tasks are slower on other racks.
  unsigned MaxPerWorker = 0; ///< 0: no limit.
  bool SavesProgress = false;
  bool Gang = false;        ///< Tasks start, end and fail together.
  bool SameRack = false;    ///< Slower when spread over racks.
  bool Speculative = false; ///< Copies may run in parallel.
  bool LongRunning = false; ///< Tasks are restarted until the job is cancelled.
  /// Uses only CPU time that other tasks leave idle, so its CPU need is not
  /// counted against the capacity of the worker.
  bool Scavenger = false;
  std::string Image;
  std::int64_t LatencyTargetMs = 0; ///< Of a task that serves users.
  unsigned MaxUnavailable = 0; ///< Limit of tasks that may be stopped at once.

  /// Resources that a task occupies on a worker.
  Resources room() const {
    Resources R = Need;
    if (Scavenger)
      R.CpuMilli = 0;
    return R;
  }
};

/// Identifies one task of a job.
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

/// An accepted job: its steps, its client account and its objective.
struct JobSpec {
  std::string Id;
  std::string Queue;
  std::string Service; ///< Only workers of this service run it.
  std::string Account; ///< Empty for a public queue.
  std::string Payload; ///< Passed to every task.
  std::vector<Step> Steps;
  unsigned Priority = 0; ///< 0 is urgent: it comes first and may preempt.
  unsigned MaxAttempts = 1;
  double Stretch = 1; ///< Allowed multiple of the longest chain.
  std::int64_t LatencyObjectiveMs = 0; ///< Allowed beyond the stretch.
  /// 0: the steps run once, at acceptance; otherwise how many times they run,
  /// from StartAtMs every IntervalMs.
  unsigned OccurrenceCount = 0;
  std::int64_t IntervalMs = 0;
  base::WallMs StartAtMs = 0;
  base::WallMs AcceptedMs = 0;
  /// An external advisor names the workers allowed, with a ticket for each.
  bool NeedsAdvice = false;

  unsigned occurrences() const { return OccurrenceCount ? OccurrenceCount : 1; }
  /// Whether the job has this task.
  bool has(const TaskKey &K) const {
    return K.Occurrence < occurrences() && K.Step < Steps.size() &&
           K.Index < Steps[K.Step].Count;
  }
  base::WallMs dueMs(unsigned Occurrence) const {
    return OccurrenceCount
               ? StartAtMs + static_cast<std::int64_t>(Occurrence) * IntervalMs
               : AcceptedMs;
  }
  bool isLongRunning() const;
  /// Sum of the estimates along the longest chain of dependent steps.
  std::int64_t longestChainMs() const;
  /// Allowed time from acceptance (or the due time of an occurrence) to the
  /// end for full credit.
  std::int64_t objectiveMs() const;
};

/// Estimated run time of one task of \p S, scaled by the share that it takes of
/// a worker of the mean capacity \p Total / \p Workers. The resource with the
/// largest share counts. At most MaxAmount.
std::int64_t workerMs(const Step &S, const Resources &Total,
                      std::int64_t Workers);

enum class TaskPhase { Waiting, Placed, Done };

/// The recorded state of one task. Tasks that were never placed have no entry.
struct TaskProgress {
  /// The latest run whose lease expired, while it is not known whether its
  /// worker has crashed under it.
  struct LapsedRun {
    unsigned Run = 0; ///< 0: none.
    std::string Worker;
    std::int64_t WorkerStartMs = 0;
    std::string WorkerAddress; ///< May be empty.
    bool operator==(const LapsedRun &) const = default;
  };
  TaskPhase Phase = TaskPhase::Waiting;
  unsigned Run = 0;               ///< Number of its latest run.
  std::string Worker;             ///< Where the latest run was placed.
  std::int64_t WorkerStartMs = 0; ///< Start time of that worker's process.
  unsigned Failures = 0;
  unsigned FailedRun = 0; ///< The latest run that was counted as a failure.
  std::string Checkpoint;
  /// Runs in a row under which its worker crashed soon after the start.
  unsigned Crashes = 0;
  /// The latest run that was counted as a crash, or that ended such a row.
  unsigned CrashedRun = 0;
  /// The addresses of the workers that crashed; of many, the latest ones.
  std::vector<std::string> CrashedWorkers;
  /// How strongly these crashes speak for its having caused them, in decibans.
  unsigned CrashDecibans = 0;
  std::string WorkerAddress; ///< Where Worker was called; may be empty.
  LapsedRun Lapsed;
  bool operator==(const TaskProgress &) const = default;
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// A job with its progress.
struct Job {
  JobSpec Spec;
  JobState State = JobState::Queued;
  /// The owner has decided on the end, but its record is not stored yet and may
  /// still be lost.
  bool EndUnstored = false;
  bool HasSubmission = false; ///< Its submission has been read.
  bool CancelRequested = false;
  base::WallMs EndedMs = 0;
  std::map<TaskKey, TaskProgress> Tasks;

  bool ended() const {
    return State == JobState::Completed || State == JobState::Failed ||
           State == JobState::Cancelled;
  }
  /// Whether the job has ended and the record of its end is stored, so that
  /// every later owner reads it.
  bool endStored() const { return ended() && !EndUnstored; }
  /// The state reported to callers, which depends only on what is stored.
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
