#ifndef HEATHERSADDLE_DISPATCH_URGENTRACKS_H
#define HEATHERSADDLE_DISPATCH_URGENTRACKS_H

#include "heathersaddle/dispatch/Planner.h"

namespace heathersaddle::dispatch {

/// For each worker, whether it is kept for urgent work.
std::vector<bool> workersInUrgentRacks(const Fleet &F, std::int64_t UrgentGpus);

/// Whether work that is not urgent may still run there.
bool mayUseUrgentRacks(const WaitingTasks &W);

} // namespace heathersaddle::dispatch

#endif
