// Load pattern: wide gangs next to a stream of small tasks that would fill
// every gap first.
//
// The gang gets the workers on which it fits earliest, from the estimated ends
// of the work on them. Until then these workers take only work that should end
// before that time (backfilling), which the caller checks.
#include "Reserve.h"
#include "heathersaddle/dispatch/Crashes.h"
#include <algorithm>

namespace heathersaddle::dispatch {

/// Estimates are rough, so the search advances in steps of this length.
static constexpr std::int64_t LookaheadStepMs = 500;
/// Limit of the search; most work of the deployments ends within it.
static constexpr std::int64_t MaxLookaheadMs = 20'000;

std::optional<Reservation> reserve(const Fleet &F, Racks &R,
                                   const FreeResources &Free,
                                   const WaitingTasks &W, bool MaySpread,
                                   std::int64_t NowMs) {
  for (std::int64_t Ahead = LookaheadStepMs; Ahead <= MaxLookaheadMs;
       Ahead += Ahead < 5'000 ? LookaheadStepMs : 4 * LookaheadStepMs) {
    FreeResources FreeThen = Free;
    for (std::size_t N = 0; N < F.Workers.size(); ++N)
      for (const Allocation &Run : F.Workers[N].Allocations)
        if (Run.EndEstimateMs <= NowMs + Ahead)
          FreeThen[N] += Run.Room;
    auto Where = packGang(F, R, FreeThen, W, MaySpread);
    if (!Where.empty())
      return Reservation{std::move(Where), NowMs + Ahead};
  }
  return std::nullopt;
}

std::optional<Reservation>
reserveEmptyWorker(const Fleet &F, std::span<const std::int64_t> ReservedFrom,
                   std::span<const std::size_t> Candidates,
                   const WaitingTasks &W, std::int64_t NowMs) {
  std::optional<Reservation> Best;
  for (std::size_t C : Candidates) {
    const Worker &On = F.Workers[C];
    if (ReservedFrom[C] || !W.step().room().fitsIn(On.Capacity) ||
        On.TenantCrashes >= AloneFromCrashes)
      continue;
    std::int64_t EmptyAt = NowMs;
    for (const Allocation &Run : On.Allocations)
      EmptyAt = std::max(EmptyAt,
                         Run.Ends ? Run.EndEstimateMs : NowMs + MaxLookaheadMs);
    if (EmptyAt < NowMs + MaxLookaheadMs && (!Best || EmptyAt < Best->FromMs))
      Best = Reservation{{C}, EmptyAt};
  }
  return Best;
}

} // namespace heathersaddle::dispatch
