// Load pattern: half of the calls to workers get no answer, while the workers
// answer the others within 10 ms. A gang needs the starts of all its members,
// room for urgent work the stops of all that is in its way, and a lease its
// renewal, so each order must be tried often within the second or two that they
// have.
//
// Calls to workers are idempotent, so another copy is sent while the earlier
// ones may still be answered, and the first answer counts. A worker that
// answers late, behind a slow link or on a slow host, gets copies after twice
// the time that it takes, so that it is not overloaded by them.
#include "CopyPacing.h"
#include <algorithm>

namespace heathersaddle::cluster {

using base::Millis;

static constexpr Millis MinInterval{150};
static constexpr Millis MaxInterval{1'000};
/// Copies of one call that are sent in quick succession: those of about two
/// seconds. A worker that has answered none of them has failed.
static constexpr unsigned MaxQuickCopies = 12;
/// A late answer is remembered with this weight at the next answer.
static constexpr double UsualTimeDecay = 0.9;

void CopyPacing::answered(Millis Took) {
  auto Decayed = Millis(static_cast<std::int64_t>(
      UsualTimeDecay * static_cast<double>(UsualTime.count())));
  UsualTime = std::max(Took, Decayed);
}

Millis CopyPacing::interval(unsigned Copies) const {
  if (Copies >= MaxQuickCopies)
    return MaxInterval;
  return std::clamp(2 * UsualTime, MinInterval, MaxInterval);
}

} // namespace heathersaddle::cluster
