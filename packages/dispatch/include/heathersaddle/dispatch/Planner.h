#ifndef HEATHERSADDLE_DISPATCH_PLANNER_H
#define HEATHERSADDLE_DISPATCH_PLANNER_H

#include "heathersaddle/dispatch/Fleet.h"
#include <functional>
#include <optional>
#include <set>
#include <span>

namespace heathersaddle::dispatch {

/// Waiting tasks of one step that need the same.
struct WaitingTasks {
  const workload::Job *Job = nullptr;
  unsigned Occurrence = 0;
  unsigned Step = 0;
  std::vector<unsigned> Tasks;  ///< Indices; a gang's are placed together.
  std::int64_t DueMs = 0;       ///< When it could have begun.
  std::int64_t ObjectiveMs = 0; ///< When it must end for full credit.
  std::int64_t RemainingMs = 0; ///< Estimated time from its start to the end.
  bool Guaranteed = false;      ///< Within the reserved share of its account.
  /// Workers that a task of the step failed on; avoided while others fit.
  std::set<std::string> AvoidedWorkers;

  /// The only workers that may run it; null: any.
  const std::map<std::string, std::string> *AllowedWorkers = nullptr;

  const workload::Step &step() const { return Job->Spec.Steps[Step]; }
};

struct TaskPlacement {
  const WaitingTasks *Work = nullptr;
  std::vector<unsigned> Tasks;
  std::vector<std::size_t> Workers; ///< Indices into the fleet, per task.
};

struct Plan {
  std::vector<TaskPlacement> Placements;
  std::set<UnitId> Stops; ///< Units to stop for urgent work.
};

/// Which workers are kept for an urgent gang while what runs there stops.
struct Hold {
  UnitId For;
  std::vector<std::size_t> Workers; ///< One per task.
  std::vector<std::string> WorkerIds;
  std::int64_t UntilMs = 0;
};

/// Decides where waiting work starts and what is stopped for it.
///
/// \code
///   Planner P;
///   Plan Next = P.plan(Fleet, Queue, NowMs);
/// \endcode
///
/// Holds for urgent gangs are its only state; forgetting them costs time and
/// breaks nothing.
class Planner {
public:
  /// \p UrgentGpus is what urgent work is expected to need; see Lanes.cpp.
  Plan plan(Fleet &F, std::span<WaitingTasks> Queue, std::int64_t NowMs,
            std::int64_t UrgentGpus = 0);

private:
  std::map<UnitId, Hold> Holds;
};

/// Sorts waiting work by what its users gain; see Order.cpp.
void sortByGain(std::span<WaitingTasks> Queue, std::int64_t NowMs);

} // namespace heathersaddle::dispatch

#endif
