#ifndef HEATHERSADDLE_BASE_TIME_H
#define HEATHERSADDLE_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace heathersaddle::base {

using Millis = std::chrono::milliseconds;

/// A time on the monotonic clock that the driver provides; never a wall clock.
using MonoTime = Millis;

/// Milliseconds since the Unix epoch, as records carry them.
using WallMs = std::int64_t;

} // namespace heathersaddle::base

#endif
