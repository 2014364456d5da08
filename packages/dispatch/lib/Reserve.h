#ifndef HEATHERSADDLE_DISPATCH_RESERVE_H
#define HEATHERSADDLE_DISPATCH_RESERVE_H

#include "Packing.h"

namespace heathersaddle::dispatch {

/// Where and when a gang that does not fit now will fit.
struct Reservation {
  std::vector<std::size_t> Workers; ///< Where its tasks will go.
  std::int64_t FromMs = 0;          ///< When what runs there should have ended.
};

/// The earliest time, by the estimates of what runs, at which \p W fits.
std::optional<Reservation> reserve(const Fleet &F, Racks &R, const Room &Free,
                                   const WaitingTasks &W, bool MaySpread,
                                   std::int64_t NowMs);

} // namespace heathersaddle::dispatch

#endif
