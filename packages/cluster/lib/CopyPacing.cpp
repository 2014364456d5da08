// Load pattern: a share of the calls to workers gets no answer, while the
// workers answer the others within 10 ms. A gang needs the starts of all its
// members, room for urgent work the stops of all that is in its way, and a
// lease its renewal, so each order must be tried often within the second or two
// that they have, and more often the larger that share is.
//
// Calls to workers are idempotent, so another copy is sent while the earlier
// ones may still be answered, and the first answer counts. A worker that
// answers late, behind a slow link or on a slow host, gets copies after twice
// the time that it takes, so that it is not overloaded by them. The more calls
// are lost, the less a copy waits for that answer.
#include "CopyPacing.h"
#include <algorithm>
#include <cmath>

namespace heathersaddle::cluster {

using base::Millis;

/// The interval while nearly all calls are answered, and the shortest one.
static constexpr Millis UsualInterval{150};
static constexpr Millis MinInterval{60};
static constexpr Millis MaxInterval{1'000};
/// An order has no answer in time in this share of the cases. Gangs have dozens
/// of members.
static constexpr double OrderFailureShare = 0.001;
/// Copies are sent in quick succession for this long. A worker that has
/// answered none of them has failed.
static constexpr Millis QuickCopiesTime{2'000};
/// A late answer is remembered with this weight at the next answer.
static constexpr double UsualTimeDecay = 0.9;
static constexpr double UsualTimeFactor = 2;
/// An answer that takes this many times the usual time is unlikely.
static constexpr int TimeLimitFactor = 6;
static constexpr Millis MinTimeLimit{300};
static constexpr Millis MaxTimeLimit{1'000};
/// A sync has failed if it has no answer from so many copies that this happens
/// in this share of the cases.
static constexpr double SyncFailureShare = 0.01;
/// A worker that answers late gets fewer copies, as stalled runs and expired
/// leases are detected by the answers.
static constexpr Millis MaxSyncTime{1'500};
static constexpr unsigned MinSyncCopies = 4;
static constexpr unsigned MaxSyncCopies = 20;

/// How many calls have no answer with a probability of \p FailureShare.
static double copiesNeeded(double Loss, double FailureShare) {
  return Loss > 0 ? std::log(FailureShare) / std::log(std::min(Loss, 0.99)) : 1;
}

void CopyPacing::answered(Millis Took) {
  auto Decayed = Millis(static_cast<std::int64_t>(
      UsualTimeDecay * static_cast<double>(UsualTime.count())));
  UsualTime = std::max(Took, Decayed);
}

Millis CopyPacing::interval(unsigned Copies, double Loss) const {
  auto ForLoss =
      Millis(static_cast<std::int64_t>(static_cast<double>(OrderTime.count()) /
                                       copiesNeeded(Loss, OrderFailureShare)));
  Millis Quick = std::clamp(ForLoss, MinInterval, UsualInterval);
  if (Copies * Quick > QuickCopiesTime)
    return MaxInterval;
  auto Expected = Millis(static_cast<std::int64_t>(
      UsualTimeFactor * (1 - Loss) * static_cast<double>(UsualTime.count())));
  return std::clamp(Expected, Quick, MaxInterval);
}

Millis CopyPacing::syncTime(unsigned Copies, double Loss) const {
  return std::min(MaxSyncTime, Copies * interval(1, Loss));
}

Millis CopyPacing::timeLimit() const {
  return std::clamp(TimeLimitFactor * UsualTime, MinTimeLimit, MaxTimeLimit);
}

unsigned syncCopies(double Loss) {
  return std::clamp(
      static_cast<unsigned>(std::ceil(copiesNeeded(Loss, SyncFailureShare))),
      MinSyncCopies, MaxSyncCopies);
}

} // namespace heathersaddle::cluster
