// Load pattern: some tasks crash each worker that starts them, beside healthy
// work that is lost with the worker.
//
// Which task it was cannot be seen from the crash, so all that ran on the
// worker are suspected. The first time they run again, they are kept apart from
// each other where that costs nothing. From the second crash on, a task runs
// alone: it takes no other work with it, and a further crash shows that it is
// the cause, unless several workers without a task in common crash together.
// The number of crashes is bounded in any case. As all rules that keep room
// from work, these yield to KeptRoom.cpp.
#include "heathersaddle/dispatch/Crashes.h"
#include <algorithm>

namespace heathersaddle::dispatch {

/// Callers are promised that a task under which three workers have crashed is
/// started twice more at most. One of the two covers a crash that is not
/// counted because the owner was replaced.
static constexpr unsigned MaxCrashes = 4;
/// Crashes of so many other workers at the same time are an outage.
static constexpr std::size_t OutageWorkers = 2;

CrashVerdict judgeCrash(unsigned Crashes, bool Alone) {
  if (Crashes >= MaxCrashes)
    return CrashVerdict::GiveUp;
  return Crashes >= AloneFromCrashes && Alone ? CrashVerdict::GiveUpUnlessOutage
                                              : CrashVerdict::RunAgain;
}

bool isOutage(std::span<const WorkerCrash> Recent, const UnitId &Unit,
              base::MonoTime At) {
  std::set<std::string_view> Others;
  for (const WorkerCrash &C : Recent)
    if (C.At >= At - OutageWindow && C.At <= At + OutageWindow &&
        !C.Suspects.contains(Unit))
      Others.insert(C.Worker);
  return Others.size() >= OutageWorkers;
}

bool mayShare(const Worker &On, const WaitingTasks &W) {
  if (W.MayUseAnyRoom)
    return true;
  return On.TenantCrashes < AloneFromCrashes &&
         (W.Crashes < AloneFromCrashes || !On.Occupied);
}

void addTenant(Worker &On, const WaitingTasks &W) {
  On.Occupied = true;
  On.TenantCrashes = std::max(On.TenantCrashes, W.Crashes);
}

} // namespace heathersaddle::dispatch
