#ifndef HEATHERSADDLE_CLUSTER_ADMISSION_H
#define HEATHERSADDLE_CLUSTER_ADMISSION_H

#include "heathersaddle/workload/Ledger.h"
#include <optional>

namespace heathersaddle::cluster {

/// What a daemon knows about the work ahead of a new job.
struct Load {
  std::int64_t Workers = 0;
  std::int64_t WorkAheadMs = 0; ///< Of whole workers, of the same or more
                                ///< urgent work.
};

/// Whether a job can still earn credit behind the work ahead of it. Returns
/// nothing to accept it, or the time after which it could be accepted.
std::optional<base::Millis> overloadRetryDelay(const workload::JobSpec &Spec,
                                               const Load &L);

/// When callers should come back to a deployment without its store.
base::Millis outageRetryDelay(base::Millis OutageSoFar);

} // namespace heathersaddle::cluster

#endif
