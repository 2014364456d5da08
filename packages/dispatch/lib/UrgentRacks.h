#ifndef HEATHERSADDLE_DISPATCH_URGENTRACKS_H
#define HEATHERSADDLE_DISPATCH_URGENTRACKS_H

#include "heathersaddle/dispatch/Planner.h"

namespace heathersaddle::dispatch {

/// For each worker, whether it is kept for urgent work. With \p NeededSpeed,
/// only workers of that class or a faster one are.
std::vector<bool> workersInUrgentRacks(const Fleet &F, std::int64_t UrgentGpus,
                                       std::optional<int> NeededSpeed);

/// Whether \p W may run in racks that are kept for urgent work.
bool mayUseUrgentRacks(const WaitingTasks &W);

} // namespace heathersaddle::dispatch

#endif
