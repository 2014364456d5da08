#ifndef HEATHERSADDLE_DISPATCH_VICTIMS_H
#define HEATHERSADDLE_DISPATCH_VICTIMS_H

#include "Packing.h"

namespace heathersaddle::dispatch {

/// The units to stop to make room for an urgent unit, chosen for the lowest
/// cost.
struct Eviction {
  std::set<UnitId> Units;
  std::vector<std::size_t> Workers; ///< Where the tasks will run, one per task.
  double Cost = 0;                  ///< Lost work, in core-seconds.
};

/// Cost of using a degraded worker; above the cost of stopping any work.
inline constexpr double DegradedWorkerCost = 1e6;

/// The cost of stopping each running unit.
std::map<UnitId, double> unitCosts(const Fleet &F);

/// Finds an eviction for the tasks of \p W on \p Candidates; none if stopping
/// all that may be stopped there would not be enough.
std::optional<Eviction> findEviction(const Fleet &F,
                                     const std::map<UnitId, double> &UnitCost,
                                     const FreeResources &Free,
                                     std::span<const std::size_t> Candidates,
                                     const WaitingTasks &W);

} // namespace heathersaddle::dispatch

#endif
