#ifndef HEATHERSADDLE_DISPATCH_PLANNER_H
#define HEATHERSADDLE_DISPATCH_PLANNER_H

#include "heathersaddle/dispatch/Fleet.h"
#include <functional>
#include <optional>
#include <set>
#include <span>

namespace heathersaddle::dispatch {

/// Waiting tasks of one step, which have the same needs.
struct WaitingTasks {
  const workload::Job *Job = nullptr;
  unsigned Occurrence = 0;
  unsigned Step = 0;
  std::vector<unsigned> Tasks; ///< Indices; all of a gang are placed together.
  std::int64_t DueMs = 0; ///< Earliest time at which it could have started.
  /// How long it has been seen waiting, by a clock that does not jump.
  std::int64_t SeenWaitingMs = 0;
  std::int64_t ObjectiveMs = 0; ///< When it must end for full credit.
  /// Estimated time from its start to the end of the occurrence.
  std::int64_t RemainingMs = 0;
  bool Guaranteed = false; ///< Within the reserved share of its account.
  /// Workers on which a task of the step failed; avoided while others fit.
  std::set<std::string> AvoidedWorkers;
  unsigned Crashes = 0; ///< Workers that crashed under its tasks.
  /// How many times its estimate work of its queue takes at the usual speed.
  double RunTimeRatio = 1;

  /// The workers that may run it, with their tickets; null: any worker.
  const std::map<std::string, std::string> *AllowedWorkers = nullptr;

  // Set by the planner; see KeptRoom.cpp.
  /// May use room that is kept for other work.
  bool MayUseKeptRoom = false;
  /// May also use workers that are avoided, and racks that do not suit it.
  bool MayUseAnyRoom = false;
  // Set by the planner; see SpeedChoice.cpp.
  bool SpeedMatters = false; ///< The workers differ in speed.
  /// The lowest class of speed with which it should end by its objective.
  int NeededSpeed = 0;

  const workload::Step &step() const { return Job->Spec.Steps[Step]; }
};

struct TaskPlacement {
  const WaitingTasks *Work = nullptr;
  std::vector<unsigned> Tasks;
  std::vector<std::size_t> Workers; ///< Indices into the fleet, per task.
};

/// Why work that has waited for long does not start.
enum class WaitReason {
  NoWorkerAllowed, ///< No usable worker may run the step.
  NoRoom,          ///< The free room is too small, or split too finely.
  WorkersAvoided,  ///< It would fit on workers that failed lately.
  NoRack,          ///< It would fit on several racks, but on no single one.
  KeptForOthers    ///< The room is kept for urgent work or reserved for a gang.
};

/// The name of \p Why in log lines.
std::string_view name(WaitReason Why);

struct ExplainedWait {
  const WaitingTasks *Work = nullptr;
  WaitReason Reason = WaitReason::NoRoom;
};

struct Plan {
  std::vector<TaskPlacement> Placements;
  std::set<UnitId> Stops; ///< Units to stop for urgent work.
  /// Some of the work that has waited for long; not in every plan.
  std::vector<ExplainedWait> Waits;
};

/// Workers that are kept for an urgent unit while the work on them is stopped.
struct Hold {
  UnitId Unit;
  std::vector<std::size_t> Workers; ///< One per task.
  std::vector<std::string> WorkerIds;
  std::int64_t UntilMs = 0;
};

/// Decides where waiting work starts and which work is stopped for it.
///
/// \code
///   Planner P;
///   Plan Next = P.plan(Fleet, Queue, NowMs);
/// \endcode
///
/// Its only state is the holds for urgent units, and the speed that urgent work
/// has needed lately. Losing them costs time but breaks nothing.
class Planner {
public:
  /// \p UrgentGpus is the expected need of urgent work; see UrgentRacks.cpp.
  Plan plan(Fleet &F, std::span<WaitingTasks> Queue, std::int64_t NowMs,
            std::int64_t UrgentGpus = 0);

private:
  std::map<UnitId, Hold> Holds;
  std::int64_t WaitsExplainedMs = 0;
  /// Mean of the classes of speed that urgent work needs.
  double UrgentSpeed = 0;
};

/// Sorts waiting work into the order in which it is placed; see Order.cpp.
void sortByUrgency(std::span<WaitingTasks> Queue, std::int64_t NowMs);

} // namespace heathersaddle::dispatch

#endif
