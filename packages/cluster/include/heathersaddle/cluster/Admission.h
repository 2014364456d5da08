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
  /// If there are no workers in use because the operator has drained all data
  /// centres: the workers there, and for how long this has been so.
  std::int64_t DrainedWorkers = 0;
  base::Millis DrainedFor{};
};

/// Returns the time after which the job could be accepted if it would end too
/// late behind the work ahead of it; nothing if it is accepted now.
std::optional<base::Millis> overloadRetryDelay(const workload::JobSpec &Spec,
                                               const Load &L);

/// The part of a caller's wait that the way to it and other daemons take.
inline constexpr base::Millis AnswerMargin{250};

/// What is known of the store's appends, which it carries out one by one.
struct AppendState {
  base::Millis Latest{};      ///< Duration of the latest successful append.
  bool InFlight = false;      ///< An append must end before the next is sent.
  base::Millis InFlightFor{}; ///< How long it has been in flight.
};

/// Returns the time after which the caller of a new job may try again if the
/// job would not be stored before its caller stops waiting; nothing if it
/// would.
std::optional<base::Millis> slowStoreRetryDelay(const AppendState &Store,
                                                base::Millis CallerWaits);

/// How long callers should wait before they retry while the store is down.
base::Millis outageRetryDelay(base::Millis OutageSoFar);

} // namespace heathersaddle::cluster

#endif
