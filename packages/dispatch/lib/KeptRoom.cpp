// Load pattern: the traffic ebbs away or workers fail in turn, and accepted
// work is left that finds no room although most of the pool is free.
//
// Free room is kept from work for several reasons: racks for urgent work,
// reservations of gangs, workers that failed lately, and the preference for the
// rack with the data or for a single rack. All of them pay only while the pool
// is contended, and each may hide most of it: the usual need of urgent work is
// remembered long after the last urgent job, and a few bad jobs make many
// workers fail. So one rule bounds them all. While under half of each resource
// is in use, work that has waited for a while may use room that is kept for
// other work, and a little later any room in which it fits. Later urgent work
// then still finds room or stops something. Callers are promised that
// long-running tasks are started again however full the pool is, so for these
// the rule holds at any time.
#include "KeptRoom.h"
#include <algorithm>

namespace heathersaddle::dispatch {

/// New work waits this long, as room may be about to become free elsewhere.
static constexpr std::int64_t KeptRoomWaitMs = 1'000;
/// Callers are promised that work starts within 3 s while there is room. The
/// difference covers the next plan and a start that is refused.
static constexpr std::int64_t AnyRoomWaitMs = 2'000;

std::int64_t waitedMs(const WaitingTasks &W, std::int64_t NowMs) {
  return std::max(NowMs - W.DueMs, W.SeenWaitingMs);
}

/// Whether under half of each resource of the service is in use. Its scarcest
/// resource decides: where GPUs run out, idle cores are of no use to the work
/// that waits for GPUs.
static bool isMostlyFree(const Fleet &F, const FreeResources &Free,
                         std::string_view Service) {
  Resources Capacity;
  Resources Left;
  for (std::size_t N = 0; N < F.Workers.size(); ++N) {
    const Worker &On = F.Workers[N];
    if (!On.Usable || On.Service != Service)
      continue;
    Capacity += On.Capacity;
    Left += {std::max<std::int64_t>(0, Free[N].CpuMilli),
             std::max<std::int64_t>(0, Free[N].MemoryMb),
             std::max<std::int64_t>(0, Free[N].Gpus)};
  }
  auto MostlyFree = [](std::int64_t Free, std::int64_t All) {
    return All == 0 || 2 * Free > All;
  };
  return MostlyFree(Left.CpuMilli, Capacity.CpuMilli) &&
         MostlyFree(Left.MemoryMb, Capacity.MemoryMb) &&
         MostlyFree(Left.Gpus, Capacity.Gpus);
}

void limitKeptRoom(const Fleet &F, const FreeResources &Free, WaitingTasks &W,
                   std::int64_t NowMs) {
  std::int64_t Waited = waitedMs(W, NowMs);
  W.MayUseKeptRoom =
      Waited >= KeptRoomWaitMs &&
      (W.step().LongRunning || isMostlyFree(F, Free, W.Job->Spec.Service));
  W.MayUseAnyRoom = W.MayUseKeptRoom && Waited >= AnyRoomWaitMs;
}

} // namespace heathersaddle::dispatch
