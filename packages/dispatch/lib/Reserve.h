#ifndef HEATHERSADDLE_DISPATCH_RESERVE_H
#define HEATHERSADDLE_DISPATCH_RESERVE_H

#include "Packing.h"

namespace heathersaddle::dispatch {

/// Where and when a gang that does not fit now is expected to fit.
struct Reservation {
  std::vector<std::size_t> Workers; ///< One per task.
  std::int64_t FromMs = 0; ///< When the work on them should have ended.
};

/// Finds the earliest time at which \p W fits, from the estimated ends of
/// running work.
std::optional<Reservation> reserve(const Fleet &F, Racks &R,
                                   const FreeResources &Free,
                                   const WaitingTasks &W, bool MaySpread,
                                   std::int64_t NowMs);

/// Finds the worker on which all work is expected to end first, for a task that
/// is to run alone; none if that is not in sight. \p ReservedFrom is not 0 for
/// workers that are reserved already.
std::optional<Reservation>
reserveEmptyWorker(const Fleet &F, std::span<const std::int64_t> ReservedFrom,
                   std::span<const std::size_t> Candidates,
                   const WaitingTasks &W, std::int64_t NowMs);

} // namespace heathersaddle::dispatch

#endif
