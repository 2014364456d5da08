#ifndef HEATHERSADDLE_DISPATCH_PACKING_H
#define HEATHERSADDLE_DISPATCH_PACKING_H

#include "heathersaddle/dispatch/Planner.h"

namespace heathersaddle::dispatch {

/// Free room per worker as one search sees it.
using Room = std::vector<Resources>;

/// Whether the worker may run tasks of the step at all.
bool allowed(const Worker &W, const workload::JobSpec &Spec,
             const workload::Step &S);

/// Places up to \p Count tasks on \p Candidates, tightest fit first, sound
/// workers before doubtful ones; fewer when no more fit. Takes the room.
std::vector<std::size_t> pack(const Fleet &F, Room &Free,
                              std::span<const std::size_t> Candidates,
                              const Waiting &W, std::size_t Count);

/// Allowed workers by rack.
std::map<std::string, std::vector<std::size_t>> byRack(const Fleet &F,
                                                       const Waiting &W);

/// Places a whole gang, within one rack where that matters and a rack could
/// hold it; empty when it does not fit.
std::vector<std::size_t> packGang(const Fleet &F, Room &Free, const Waiting &W,
                                  bool MaySpread);

/// Whether some rack could hold the gang if it were empty.
bool fitsOneEmptyRack(const Fleet &F, const Waiting &W);

} // namespace heathersaddle::dispatch

#endif
