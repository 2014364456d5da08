#ifndef HEATHERSADDLE_CLUSTER_ADMISSION_H
#define HEATHERSADDLE_CLUSTER_ADMISSION_H

#include "heathersaddle/workload/Ledger.h"
#include <optional>

namespace heathersaddle::cluster {

/// The load ahead of a new job, as known to a daemon.
struct Load {
  std::int64_t Workers = 0;
  std::int64_t WorkAheadMs = 0; ///< Work of the same or higher urgency, in
                                ///< milliseconds of a whole worker.
};

/// Returns the time after which the job could be accepted if it would end too
/// late behind the work ahead of it; nothing if it is accepted now.
std::optional<base::Millis> overloadRetryDelay(const workload::JobSpec &Spec,
                                               const Load &L);

/// How long callers should wait before they retry while the store is down.
base::Millis outageRetryDelay(base::Millis OutageSoFar);

} // namespace heathersaddle::cluster

#endif
