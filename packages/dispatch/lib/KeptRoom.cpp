// Load pattern: the traffic ebbs away, and gangs are left that were stopped for
// urgent work or that never found a free rack.
//
// What is kept for urgent work, reserved for gangs or required of a rack pays
// only while the pool is contended. Long after the last urgent job, its usual
// need still kept racks idle, and gangs waited for a minute beside a free pool.
// While at least half of the pool stays free, later urgent work finds room
// anyway.
#include "IdlePool.h"
#include <algorithm>

namespace heathersaddle::dispatch {

static constexpr std::int64_t IdleShareDivisor = 2;
/// New work waits this long, as room may be about to become free elsewhere.
static constexpr std::int64_t MinIdleWaitMs = 1'000;

bool waitsOnIdlePool(const Fleet &F, const FreeResources &Free,
                     const WaitingTasks &W, std::int64_t NowMs) {
  if (NowMs - W.DueMs < MinIdleWaitMs)
    return false;
  Resources Total;
  Resources Left;
  for (std::size_t N = 0; N < F.Workers.size(); ++N) {
    if (!F.Workers[N].Usable)
      continue;
    Total += F.Workers[N].Capacity;
    Left += {std::max<std::int64_t>(0, Free[N].CpuMilli),
             std::max<std::int64_t>(0, Free[N].MemoryMb),
             std::max<std::int64_t>(0, Free[N].Gpus)};
  }
  Resources Need = W.step().room();
  auto Count = static_cast<std::int64_t>(W.step().Gang ? W.Tasks.size()
                                                       : std::size_t{1});
  Left -= {Need.CpuMilli * Count, Need.MemoryMb * Count, Need.Gpus * Count};
  Resources Kept{Total.CpuMilli / IdleShareDivisor,
                 Total.MemoryMb / IdleShareDivisor,
                 Total.Gpus / IdleShareDivisor};
  return Kept.fitsIn(Left);
}

} // namespace heathersaddle::dispatch
