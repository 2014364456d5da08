// Load pattern: wide gangs beside a stream of small tasks that would fill
// every hole first.
//
// The gang gets the workers on which it fits earliest, from the estimated ends
// of what runs there. Until then they take only work that should end before
// (backfilling), which the caller checks.
#include "Reserve.h"
#include <algorithm>

namespace heathersaddle::dispatch {

/// Estimates are rough, so ends are looked at in steps of this length.
static constexpr std::int64_t LookaheadStepMs = 500;
/// Furthest look ahead; most work of the deployments ends within it.
static constexpr std::int64_t LookaheadMostMs = 20'000;

std::optional<Reservation> reserve(const Fleet &F, Racks &R, const Room &Free,
                                   const WaitingTasks &W, bool MaySpread,
                                   std::int64_t NowMs) {
  for (std::int64_t Ahead = LookaheadStepMs; Ahead <= LookaheadMostMs;
       Ahead += Ahead < 5'000 ? LookaheadStepMs : 4 * LookaheadStepMs) {
    Room Then = Free;
    for (std::size_t N = 0; N < F.Workers.size(); ++N)
      for (const Allocation &Run : F.Workers[N].Allocations)
        if (Run.EndEstimateMs <= NowMs + Ahead)
          Then[N] += Run.Room;
    auto Where = packGang(F, R, Then, W, MaySpread);
    if (!Where.empty())
      return Reservation{std::move(Where), NowMs + Ahead};
  }
  return std::nullopt;
}

} // namespace heathersaddle::dispatch
