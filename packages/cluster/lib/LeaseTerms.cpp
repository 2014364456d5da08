// An owner that is cut off cannot know whether it has been replaced. What it
// knows is when the store last answered one of its appends as appended. The
// next owner's claim fences its appends, so that append was carried out before
// the claim, and not before it was first sent. The next owner has read all
// records that precede its claim, so it has read that one, later still:
//
//   append sent <= append carried out <= record read by the next owner
//
// So if an owner grants no lease that ends more than a fixed time after it
// sent its latest confirmed record, the next owner may count the same time from
// its reading of the latest record. Who reaches whom, how long a claim takes
// and whether a process was suspended in between do not matter: deadlines are
// points of time, so an order that is carried out late does not extend one. The
// exception is a worker that has restarted, whose clock begins anew: for those
// Owner::silentRunsEndAt() adds the time in which such an order may arrive.
//
// The fixed time: a full lease, and the time after which a silent owner is
// replaced. The second part lets all runs outlast a store that is down for
// everyone for that much longer than a lease. It hardly delays the tasks of
// workers that the next owner cannot reach, as that owner has already waited
// about as long when it claims; any longer time would be added to their wait.
#include "heathersaddle/cluster/LeaseTerms.h"
#include <algorithm>

namespace heathersaddle::cluster {

using base::Millis;
using base::MonoTime;

/// Clocks of workers may run slow by up to this factor.
static constexpr double MaxClockDriftFactor = 1.021;
/// How much longer than a lease an owner may grant without a confirmation.
static constexpr Millis UnconfirmedTime = OwnerTimeout + MaxClaimDelay;

Millis LeaseTerms::longest() const {
  return Millis(static_cast<std::int64_t>(
      static_cast<double>(MaxLease.count()) * MaxClockDriftFactor));
}

MonoTime LeaseTerms::endOfGrant(MonoTime Now, MonoTime ConfirmedAt) const {
  return std::min(Now + longest(), endAfterRecord(ConfirmedAt));
}

Millis LeaseTerms::onWorkerClock(MonoTime ClockReadAt, MonoTime End) const {
  return Millis(static_cast<std::int64_t>(
      static_cast<double>((End - ClockReadAt).count()) / MaxClockDriftFactor));
}

MonoTime LeaseTerms::endAfterRecord(MonoTime ReadAt) const {
  return ReadAt + longest() + UnconfirmedTime;
}

/// An owner grants nothing after it has sent its release.
MonoTime LeaseTerms::endAfterRelease(MonoTime ReadAt) const {
  return ReadAt + longest();
}

void EarlierLeases::recordsSkipped(MonoTime ReadAt) {
  FormerEnd = std::max(FormerEnd, Terms.endAfterRecord(ReadAt));
}

void EarlierLeases::ownerRecordRead(std::uint64_t Epoch, bool Released,
                                    MonoTime ReadAt) {
  if (Epoch != CurrentEpoch)
    FormerEnd = std::max(FormerEnd, CurrentEnd);
  CurrentEpoch = Epoch;
  CurrentEnd =
      Released ? Terms.endAfterRelease(ReadAt) : Terms.endAfterRecord(ReadAt);
}

MonoTime EarlierLeases::endBefore(std::uint64_t Epoch) const {
  return Epoch == CurrentEpoch ? FormerEnd : std::max(FormerEnd, CurrentEnd);
}

} // namespace heathersaddle::cluster
