// Load pattern: more work arrives than the workers can process, for seconds
// (bursts) or all day.
//
// A job waits about as long as the workers need for the work ahead of it. If it
// would then end too late to be of full use to its caller, it is refused at
// once, so that the caller can go elsewhere or retry when the backlog has
// shrunk enough. Accepted jobs are kept.
//
// Load pattern: the operator drains all data centres for seconds to minutes.
//
// The remaining duration is unknown; as a rule it is the time it has already
// lasted, as with an outage of the store. What can wait that long is accepted
// and waits. Other jobs are refused, and told to retry when the work ahead has
// shrunk enough after that.
#include "heathersaddle/cluster/Admission.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// Share of the workers' capacity that is in use while work waits; the rest is
/// lost to fragmentation.
static constexpr double PackingEfficiency = 0.75;
/// A job is accepted if it is expected to end within this multiple of its
/// objective. Its result has some value for the caller up to three times the
/// objective; the limit is lower because estimates are inexact.
static constexpr double MaxObjectiveMultiple = 2.4;
static constexpr base::Millis MinRetryDelay{1'000};
static constexpr base::Millis MaxRetryDelay{20'000};
static constexpr base::Millis MaxOutageRetryDelay{4'000};

std::optional<base::Millis> overloadRetryDelay(const workload::JobSpec &Spec,
                                               const Load &L) {
  std::int64_t Workers = L.Workers ? L.Workers : L.DrainedWorkers;
  if (!Workers || Spec.OccurrenceCount || Spec.isLongRunning())
    return std::nullopt;
  auto Wait = static_cast<std::int64_t>(
      static_cast<double>(L.WorkAheadMs) /
      (static_cast<double>(Workers) * PackingEfficiency));
  auto Allowed =
      static_cast<std::int64_t>(MaxObjectiveMultiple *
                                static_cast<double>(Spec.objectiveMs())) -
      Spec.longestChainMs();
  base::Millis DrainLeft =
      L.Workers ? base::Millis(0) : std::max(L.DrainedFor, MinRetryDelay);
  if (Wait + DrainLeft.count() <= Allowed)
    return std::nullopt;
  base::Millis Overload(std::max<std::int64_t>(0, Wait - Allowed));
  return std::clamp(DrainLeft + Overload, MinRetryDelay, MaxRetryDelay);
}

/// Load pattern: the store takes seconds for an append, and callers wait for
/// three.
///
/// A new job is stored by the append after the one in flight. If its caller
/// would have stopped waiting by then, it is refused before anything is sent,
/// so that the caller can come back when the append in flight has ended and be
/// part of the next one.
std::optional<base::Millis> slowStoreRetryDelay(const AppendState &Store,
                                                base::Millis CallerWaits) {
  base::Millis Duration = Store.Latest;
  base::Millis Remaining{};
  if (Store.InFlight) {
    Duration = std::max(Duration, Store.InFlightFor);
    Remaining = Duration - Store.InFlightFor;
  }
  if (Remaining + Duration + AnswerMargin <= CallerWaits)
    return std::nullopt;
  return std::clamp(Remaining, MinRetryDelay, MaxOutageRetryDelay);
}

/// Load pattern: the store is down for all daemons for some seconds.
///
/// The remaining duration of the outage is unknown; as a rule it is the time it
/// has already lasted. Callers that retry every second would use up their
/// attempts before it ends.
base::Millis outageRetryDelay(base::Millis OutageSoFar) {
  return std::clamp(OutageSoFar, MinRetryDelay, MaxOutageRetryDelay);
}

} // namespace heathersaddle::cluster
