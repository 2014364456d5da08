#ifndef HEATHERSADDLE_DISPATCH_KEPTROOM_H
#define HEATHERSADDLE_DISPATCH_KEPTROOM_H

#include "Packing.h"

namespace heathersaddle::dispatch {

/// How long \p W has waited.
std::int64_t waitedMs(const WaitingTasks &W, std::int64_t NowMs);

/// Sets which of the free room \p W may use; \p Free is the room that is left
/// beside the work considered before.
void limitKeptRoom(const Fleet &F, const FreeResources &Free, WaitingTasks &W,
                   std::int64_t NowMs);

} // namespace heathersaddle::dispatch

#endif
