#ifndef HEATHERSADDLE_DISPATCH_CRASHES_H
#define HEATHERSADDLE_DISPATCH_CRASHES_H

#include "heathersaddle/base/Time.h"
#include "heathersaddle/dispatch/Planner.h"

namespace heathersaddle::dispatch {

/// A task under which this many workers have crashed runs alone on a worker.
inline constexpr unsigned AloneFromCrashes = 2;

/// What follows from the crash of a worker for a unit that ran on it.
enum class CrashVerdict {
  RunAgain,
  GiveUpUnlessOutage, ///< Nothing else ran there.
  GiveUp
};

/// Judges a unit under which \p Crashes workers have crashed. \p Alone tells
/// that it was alone on the latest of them.
CrashVerdict judgeCrash(unsigned Crashes, bool Alone);

/// The crash of a worker and the units that it may be due to.
struct WorkerCrash {
  std::string Worker;
  base::MonoTime At{};
  std::set<UnitId> Suspects;
};

/// Crashes that belong to one outage are seen within this time.
inline constexpr base::Millis OutageWindow{2'000};

/// Whether the crash of a worker at \p At, of which \p Unit is suspected, was
/// part of an outage of several workers, which has another cause.
bool isOutage(std::span<const WorkerCrash> Recent, const UnitId &Unit,
              base::MonoTime At);

/// Whether the tasks of \p W may run beside the work on \p On.
bool mayShare(const Worker &On, const WaitingTasks &W);

/// Takes note that tasks of \p W are placed on \p On.
void addTenant(Worker &On, const WaitingTasks &W);

} // namespace heathersaddle::dispatch

#endif
