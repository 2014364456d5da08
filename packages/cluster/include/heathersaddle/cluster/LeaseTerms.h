#ifndef HEATHERSADDLE_CLUSTER_LEASETERMS_H
#define HEATHERSADDLE_CLUSTER_LEASETERMS_H

#include "heathersaddle/base/Time.h"
#include <cstdint>

namespace heathersaddle::cluster {

/// An owner that has recorded nothing for this long is replaced. This covers
/// more than two missed heartbeats with a slow store, and is much shorter than
/// the leases of 6 s.
inline constexpr base::Millis OwnerTimeout{1'500};
/// Claims are delayed by a random time up to this one.
inline constexpr base::Millis MaxClaimDelay{300};

/// When leases end at the latest: the bound that an owner keeps when it grants
/// them, and the one that the next owner relies on. All times are by the clock
/// of the daemon that asks, which also advances while its process is suspended.
class LeaseTerms {
public:
  /// \p MaxLease is the longest lease that a worker accepts, by its own clock.
  explicit LeaseTerms(base::Millis MaxLease) : MaxLease(MaxLease) {}

  /// The longest duration of a lease on a worker with a slow clock.
  base::Millis longest() const;
  /// The end of a lease granted at \p Now by an owner whose ownership the store
  /// confirmed, last by an answer to an append first sent at \p ConfirmedAt. If
  /// it is not after \p Now, the owner may grant nothing.
  base::MonoTime endOfGrant(base::MonoTime Now,
                            base::MonoTime ConfirmedAt) const;
  /// What to add to a reading of a worker's clock made at \p ClockReadAt to get
  /// a deadline that has passed at \p End, even if the clock is slow.
  base::Millis onWorkerClock(base::MonoTime ClockReadAt,
                             base::MonoTime End) const;
  /// The latest end of all leases of an owner whose newest record was read at
  /// \p ReadAt, and which may still be granting.
  base::MonoTime endAfterRecord(base::MonoTime ReadAt) const;
  /// Likewise, if that record releases ownership.
  base::MonoTime endAfterRelease(base::MonoTime ReadAt) const;

private:
  base::Millis MaxLease;
};

/// Follows the records of all owners and tells when their leases have ended.
class EarlierLeases {
public:
  explicit EarlierLeases(LeaseTerms Terms) : Terms(Terms) {}

  /// Records that were stored before \p ReadAt will not be read one by one.
  void recordsSkipped(base::MonoTime ReadAt);
  void ownerRecordRead(std::uint64_t Epoch, bool Released,
                       base::MonoTime ReadAt);
  /// The latest end of all leases granted by owners before that of \p Epoch,
  /// whose claim must have been read, or be the next record of an owner.
  base::MonoTime endBefore(std::uint64_t Epoch) const;

private:
  LeaseTerms Terms;
  base::MonoTime FormerEnd{}; ///< For all epochs but the current one.
  std::uint64_t CurrentEpoch = 0;
  base::MonoTime CurrentEnd{};
};

} // namespace heathersaddle::cluster

#endif
