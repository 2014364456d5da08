#ifndef HEATHERSADDLE_DISPATCH_WAITS_H
#define HEATHERSADDLE_DISPATCH_WAITS_H

#include "Packing.h"

namespace heathersaddle::dispatch {

/// Why the first task, or the whole gang, of \p W does not start. \p Free is
/// the free room beside that of holds; \p Available is the part of it that
/// \p W may use now.
WaitReason explainWait(const Fleet &F, Racks &R, const FreeResources &Free,
                       const FreeResources &Available, const WaitingTasks &W);

} // namespace heathersaddle::dispatch

#endif
