// Load pattern: more work arrives than the workers can do, for seconds
// (bursts) or all day.
//
// A job waits about as long as the workers need for the work ahead of it. If
// it would then end too late to be of full use to its caller, it is refused at
// once, so that the caller can go elsewhere or come back when the backlog has
// drained that far. What was accepted is kept.
#include "heathersaddle/cluster/Admission.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// Share of the workers' room that is really in use when work waits; the rest
/// is lost to holes between tasks. From the packing of the bench's loads.
static constexpr double PackingEfficiency = 0.75;
/// A job is accepted if it should end within this multiple of its objective.
/// Up to three times the objective its end still has some value to its caller;
/// estimates are off, so the limit is below that.
static constexpr double MaxObjectiveMultiple = 2.4;
static constexpr base::Millis MinRetryDelay{1'000};
static constexpr base::Millis MaxRetryDelay{20'000};
static constexpr base::Millis MaxOutageRetryDelay{4'000};

std::optional<base::Millis> overloadRetryDelay(const workload::JobSpec &Spec,
                                               const Load &L) {
  if (!L.Workers || Spec.Repeats || Spec.isLongRunning())
    return std::nullopt;
  auto Wait = static_cast<std::int64_t>(
      static_cast<double>(L.WorkAheadMs) /
      (static_cast<double>(L.Workers) * PackingEfficiency));
  auto Allowed =
      static_cast<std::int64_t>(MaxObjectiveMultiple *
                                static_cast<double>(Spec.objectiveMs())) -
      Spec.longestChainMs();
  if (Wait <= Allowed)
    return std::nullopt;
  return std::clamp(base::Millis(Wait - Allowed), MinRetryDelay, MaxRetryDelay);
}

/// Load pattern: the store is down for all daemons for some seconds.
///
/// How long it will last is not known; as a rule, as long again. Callers who
/// come back each second would have used up their tries before it is over.
base::Millis outageRetryDelay(base::Millis OutageSoFar) {
  return std::clamp(OutageSoFar, MinRetryDelay, MaxOutageRetryDelay);
}

} // namespace heathersaddle::cluster
