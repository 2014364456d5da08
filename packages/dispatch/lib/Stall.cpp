// Load pattern: some workers accept runs that never advance, among gangs whose
// members differ in work and in speed.
//
// The members of a gang end together: one that has finished its part reports
// 100 percent and waits for the others, possibly for longer than a stalled run
// is tolerated. A member at 100 percent is therefore judged by the whole gang,
// which is stalled only if every member is at 100 percent and the last of them
// arrived long ago. A member below 100 percent is judged alone.
#include "heathersaddle/dispatch/Stall.h"

namespace heathersaddle::dispatch {

using base::Millis;
using base::MonoTime;

/// A percentage that has not changed for this time plus a tenth of the estimate
/// is stalled: short runs advance several percent a second.
static constexpr Millis MinStallTime{3'000};
static constexpr int StallEstimateDivisor = 10;

std::optional<std::size_t> findStalledRun(std::span<const RunProgress> Members,
                                          Millis Estimate, MonoTime Now) {
  Millis Limit = MinStallTime + Estimate / StallEstimateDivisor;
  std::optional<std::size_t> Last;
  bool Unfinished = false;
  for (std::size_t N = 0; N < Members.size(); ++N) {
    const RunProgress &R = Members[N];
    if (R.Percent < 100) {
      Unfinished = true;
      if (Now - R.ChangedAt > Limit)
        return N;
    }
    if (!Last || R.ChangedAt > Members[*Last].ChangedAt)
      Last = N;
  }
  if (Unfinished || !Last || Now - Members[*Last].ChangedAt <= Limit)
    return std::nullopt;
  return Last;
}

} // namespace heathersaddle::dispatch
