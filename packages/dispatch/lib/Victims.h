#ifndef HEATHERSADDLE_DISPATCH_VICTIMS_H
#define HEATHERSADDLE_DISPATCH_VICTIMS_H

#include "Packing.h"

namespace heathersaddle::dispatch {

/// The cheapest set of units whose stop makes room for an urgent unit.
struct Eviction {
  std::set<UnitId> Units;
  std::vector<std::size_t> Workers; ///< Where the tasks go, one per task.
  double Cost = 0;                  ///< Lost work, in core-seconds.
};

/// Of taking a worker that something speaks against; above that of any work.
inline constexpr double DoubtCost = 1e6;

/// What stopping each unit would lose.
std::map<UnitId, double> unitCosts(const Fleet &F);

/// Finds an eviction for the tasks of \p W on \p Candidates; none when what
/// may be stopped there is not enough.
std::optional<Eviction> findEviction(const Fleet &F,
                                     const std::map<UnitId, double> &UnitCost,
                                     const Room &Free,
                                     std::span<const std::size_t> Candidates,
                                     const WaitingTasks &W);

} // namespace heathersaddle::dispatch

#endif
