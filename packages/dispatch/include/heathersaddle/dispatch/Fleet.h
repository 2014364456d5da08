#ifndef HEATHERSADDLE_DISPATCH_FLEET_H
#define HEATHERSADDLE_DISPATCH_FLEET_H

#include "heathersaddle/workload/Job.h"
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::dispatch {

using workload::Resources;

/// A GPU counts as this many cores in the cost of lost work; from the price
/// list of the deployments.
inline constexpr double CoresPerGpu = 8;
inline double weightedCores(const Resources &R) {
  return static_cast<double>(R.CpuMilli) / 1'000 +
         CoresPerGpu * static_cast<double>(R.Gpus);
}

/// One group of tasks that is placed or stopped as a whole: a gang, or a
/// single task.
struct UnitId {
  std::string Job;
  unsigned Occurrence = 0;
  unsigned Step = 0;
  unsigned Index = 0; ///< 0 for a gang.
  bool operator==(const UnitId &) const = default;
  bool operator<(const UnitId &O) const {
    return std::tie(Job, Occurrence, Step, Index) <
           std::tie(O.Job, O.Occurrence, O.Step, O.Index);
  }
};

/// Resources that one run of a task holds on a worker.
struct Allocation {
  UnitId Unit;
  std::string Account;
  Resources Room;
  unsigned Priority = 0;
  bool Guaranteed = false; ///< Within the reserved share of its account.
  bool Stoppable = true;   ///< Not being stopped, and stopping is allowed.
  bool Ends = true;        ///< False for long-running work.
  std::int64_t EndEstimateMs = 0;
  /// Work since the last checkpoint, which a stop would lose.
  std::int64_t LostIfStoppedMs = 0;
};

/// How well a worker is suited for new work; lower values are preferred.
enum class WorkerCondition {
  Healthy,
  Suspect, ///< The latest job on it failed, possibly by its own fault.
  Failing, ///< Several jobs failed on it lately, or it has just started.
  Slow     ///< Work on it takes several times as long.
};

/// Speeds are compared in classes of this width, in the logarithm of the factor
/// against the usual speed: about a quarter.
inline constexpr double SpeedClassWidth = 0.25;

/// How fast a worker is; by default as fast as usual.
struct SpeedEstimate {
  double LogFactor = 0; ///< Logarithm of the factor against the usual speed.
  double Error = 0;     ///< Standard deviation of LogFactor.
  int Class = 0;        ///< LogFactor in units of SpeedClassWidth, rounded.
  bool Known = true;    ///< Error is small enough to rely on the class.
};

struct Worker {
  std::string Id;
  std::string Service;
  std::string Rack;
  std::vector<std::string> Labels;
  Resources Capacity;
  Resources Free;      ///< Capacity minus Allocations, also of stopping work.
  bool Usable = false; ///< May receive new work.
  /// Failed or refused runs lately; gets work only if that has waited for long.
  bool Avoided = false;
  WorkerCondition Condition = WorkerCondition::Healthy;
  SpeedEstimate Speed;
  std::vector<Allocation> Allocations;
  bool Occupied = false; ///< Work runs on it or room on it is held.
  /// The highest number of crashes counted against a task that runs on it.
  unsigned TenantCrashes = 0;

  bool hasLabel(std::string_view Label) const;
};

/// The owner's view of the workers, in a fixed order.
struct Fleet {
  std::vector<Worker> Workers;
  /// Number of tasks of a (job, occurrence, step) on each worker, for steps
  /// with a limit per worker.
  std::map<UnitId, std::map<std::string, unsigned>> StepTasks;
};

} // namespace heathersaddle::dispatch

#endif
