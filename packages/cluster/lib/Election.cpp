// The owner shows that it works by its records; when none has come for a while
// although the topic can be read, each daemon claims after a random delay. A
// claim is an append under the next epoch. The store refuses appends of older
// epochs from then on, and lets only one writer begin an epoch, because its
// first sequence number is random. When the claim itself has been read back,
// everything that earlier owners have recorded has been read too.
#include "NodeImpl.h"

namespace heathersaddle::cluster {

/// An owner that has recorded nothing for this long is replaced: more than two
/// missed heartbeats beside a slow store; leases of 6 s outlast it by far.
static constexpr Millis OwnerTimeout{1'500};
/// Claims are spread over this time.
static constexpr Millis MaxClaimDelay{300};
/// Load pattern: the store is slow, so that the owner's records come late and a
/// claim is seen late, too. Each append that the owner waits for adds this many
/// times its length: its own, one of callers' jobs before it, and the read.
static constexpr int OwnerTimeoutAppends = 3;
static constexpr int ClaimDelayAppends = 8;
/// Beyond this the store counts as down, not as slow.
static constexpr Millis MaxCountedAppend{500};
static constexpr Millis MaxHandoverDelay{60};
/// A daemon with this multiple of the owner's processor takes over ...
static constexpr std::int64_t TakeoverCpuRatio = 2;
/// ... when that one has been the owner for this long.
static constexpr Millis MinTenure{2'000};
/// Daemons with less than the last owner's processor, or at first less than
/// half a core, claim this much later.
static constexpr Millis SmallHostDelay{500};
static constexpr std::int64_t LargeCpuMilli = 500;
/// A daemon that gave up because it could not reach the workers does not claim
/// again for this long.
static constexpr Millis UnreachablePause{6'000};
static constexpr Millis ClaimTimeout{700};
static constexpr Millis ClaimRetryDelay{150};
/// After a claim that came too late: time to read the one that was first.
static constexpr Millis LostClaimPause{600};
/// The topic counts as readable when it was read to its end this recently.
static constexpr Millis MaxTopicAge{1'500};
/// Two claims with the same first number would be taken for one; 40 bits make
/// that unlikely over years of claims.
static constexpr unsigned RandomSequenceBits = 40;

Millis Node::Impl::ownerAppendTime() const {
  return std::min(MaxCountedAppend, Millis(Shared.Ledger.owner().AppendMs));
}

void Node::Impl::elect() {
  MonoTime T = Shared.mono();
  if (ActiveOwner || !Control.following() || Stopping) {
    ClaimAt = {};
    OwnerSilentSince = T;
    if (Stopping || !Control.following())
      Claiming = false;
    return;
  }
  const workload::Ownership &O = Shared.Ledger.owner();
  if (Claiming) {
    bool Ours =
        O.Epoch == ClaimEpoch && O.Incarnation == Shared.Settings.Incarnation;
    if (Ours && (!ClaimOffset || Control.next() > *ClaimOffset))
      return becomeOwner();
    if (O.Epoch >= ClaimEpoch && !Ours) {
      Claiming = false;
      OwnerSilentSince = T;
    } else if (!ClaimInFlight && !ClaimOffset && T >= ClaimRetryAt) {
      claim();
    }
    return;
  }
  bool Seen = Shared.Ledger.ownerRecords() != OwnerRecordsRead;
  OwnerRecordsRead = Shared.Ledger.ownerRecords();
  if (Seen)
    OwnerRecordReadAt = T;
  if (Seen || !Control.fresh(MaxTopicAge)) {
    // Silence counts only while the topic can be read.
    OwnerSilentSince = T;
  }
  // The owner was an earlier life of this daemon: it has certainly ended.
  bool Ours = O.Daemon == Shared.Settings.Name &&
              O.Incarnation != Shared.Settings.Incarnation;
  bool Vacant = O.Epoch == 0 || O.Released || Ours;
  // A host that is much larger takes over from a small one, whose records end
  // when it does.
  if (O.Epoch != OwnerEpoch) {
    OwnerEpoch = O.Epoch;
    EpochSeenAt = T;
  }
  bool Larger = O.CpuMilli > 0 &&
                Shared.Settings.CpuMilli >= TakeoverCpuRatio * O.CpuMilli &&
                T - EpochSeenAt > MinTenure;
  if (!Vacant && !Larger &&
      T - OwnerSilentSince <
          OwnerTimeout + OwnerTimeoutAppends * ownerAppendTime()) {
    ClaimAt = {};
    return;
  }
  if (!Control.fresh(MaxTopicAge) || !Shared.Config || T < ClaimRetryAt) {
    ClaimAt = {};
    return;
  }
  if (ClaimAt == MonoTime{}) {
    Millis Spread = (Vacant ? MaxHandoverDelay : MaxClaimDelay) +
                    ClaimDelayAppends * ownerAppendTime();
    // Smaller hosts than the last owner, and at first all small ones, let the
    // larger ones go first.
    std::int64_t Usual = O.CpuMilli ? O.CpuMilli : LargeCpuMilli;
    Millis HostDelay =
        Shared.Settings.CpuMilli < Usual ? SmallHostDelay : Millis(0);
    ClaimAt =
        T + HostDelay +
        Millis(static_cast<std::int64_t>(
            Shared.Random() % static_cast<std::uint64_t>(Spread.count())));
  }
  if (T < ClaimAt)
    return;
  ClaimAt = {};
  Claiming = true;
  ClaimOffset.reset();
  ClaimEpoch = O.Epoch + 1;
  ClaimSequence = Shared.Random() >> (64 - RandomSequenceBits);
  Shared.log(424, {{"epoch", ClaimEpoch},
                   {"silent_ms", (T - OwnerSilentSince).count()},
                   {"released", O.Released}});
  claim();
}

void Node::Impl::claim() {
  workload::Ownership O;
  O.Epoch = ClaimEpoch;
  O.Daemon = Shared.Settings.Name;
  O.Incarnation = Shared.Settings.Incarnation;
  O.Address = Shared.Settings.PeerAddress;
  O.CpuMilli = Shared.Settings.CpuMilli;
  ClaimInFlight = true;
  Shared.Actions.push_back(AppendAction{
      {workload::Ledger::ownership(O)},
      WriterFence{ClaimEpoch, ClaimSequence},
      ClaimTimeout,
      [this, Alive = Alive, Epoch = ClaimEpoch](const AppendResult &R) {
        if (*Alive && Claiming && Epoch == ClaimEpoch)
          onClaimed(R);
      }});
}

void Node::Impl::onClaimed(const AppendResult &R) {
  ClaimInFlight = false;
  switch (R.Verdict) {
  case AppendVerdict::Appended:
    ClaimOffset = R.First;
    return;
  case AppendVerdict::Superseded:
  case AppendVerdict::OutOfOrder:
    // Another daemon was first; its claim is on the way.
    Claiming = false;
    ClaimRetryAt = Shared.mono() + LostClaimPause;
    OwnerSilentSince = Shared.mono();
    return;
  case AppendVerdict::Refused:
  case AppendVerdict::Unresolved:
    ClaimRetryAt = Shared.mono() + Shared.jitter(ClaimRetryDelay);
    return;
  }
}

void Node::Impl::becomeOwner() {
  Claiming = false;
  Shared.count("ownership_won");
  Shared.log(400, {{"epoch", ClaimEpoch},
                   {"jobs", Shared.Ledger.jobs().size()},
                   {"next", Control.next()}});
  ActiveOwner = std::make_unique<Owner>(Shared, ClaimEpoch, ClaimSequence);
  ActiveOwner->onStored() = [this](const Submission &S, std::uint64_t Offset) {
    stored(S, Offset);
  };
  ActiveOwner->OnDeposed = [this](std::string_view Reason) {
    DeposedReason = Reason;
  };
  Control.setReadInterval({});
}

void Node::Impl::giveUp() {
  ClaimRetryAt = Shared.mono() + UnreachablePause;
  stepDown("most workers cannot be reached");
}

void Node::Impl::stepDown(std::string_view Reason) {
  Shared.count("ownership_lost");
  Shared.log(401, {{"epoch", ActiveOwner->epoch()}, {"reason", Reason}});
  ActiveOwner->failPendingSubmissions();
  ActiveOwner.reset();
  Control.setReadInterval(FollowerReadInterval);
  // The owner's state was ahead of its records; read them all again.
  Control.restart();
}

} // namespace heathersaddle::cluster
