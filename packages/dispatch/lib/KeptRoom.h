#ifndef HEATHERSADDLE_DISPATCH_IDLEPOOL_H
#define HEATHERSADDLE_DISPATCH_IDLEPOOL_H

#include "Packing.h"

namespace heathersaddle::dispatch {

/// Whether \p W has waited although at least half of the pool would stay free
/// beside it; room is then not kept from it.
bool waitsOnIdlePool(const Fleet &F, const FreeResources &Free,
                     const WaitingTasks &W, std::int64_t NowMs);

} // namespace heathersaddle::dispatch

#endif
