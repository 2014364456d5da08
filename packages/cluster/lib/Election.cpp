// The owner's records serve as its heartbeat. If none arrives for a while
// although the topic can be read, each daemon claims ownership after a random
// delay. A claim is an append under the next epoch. From then on the store
// rejects appends of older epochs; it accepts only one writer per epoch,
// because the first sequence number is random. Once a daemon has read its own
// claim back, it has also read all records of earlier owners.
#include "NodeImpl.h"

namespace heathersaddle::cluster {

/// Load pattern: the store rejects the owner's calls, or its process has ended,
/// while callers' requests arrive. An owner that could not handle a forwarded
/// request is replaced after this time, which covers a heartbeat and its read.
static constexpr Millis RefusingOwnerTimeout{700};
/// Load pattern: the store is slow, so that the owner's records and claims are
/// read late. The timeout is extended by this many times the duration of an
/// append: the owner's own append, an append of callers' jobs before it, and
/// the read.
static constexpr int OwnerTimeoutAppends = 3;
static constexpr int ClaimDelayAppends = 8;
/// Longer appends are counted with this duration: the store is then down rather
/// than slow.
static constexpr Millis MaxCountedAppend{500};
static constexpr Millis MaxHandoverDelay{60};
/// A daemon with this multiple of the owner's CPU share takes over ...
static constexpr std::int64_t TakeoverCpuRatio = 2;
/// ... once the owner has held ownership for this long.
static constexpr Millis MinTenure{2'000};
/// Daemons with a smaller CPU share than the last owner, or with less than half
/// a core if there was none, claim this much later.
static constexpr Millis SmallHostDelay{500};
static constexpr std::int64_t LargeCpuMilli = 500;
/// A daemon that released ownership because it could not reach most workers
/// does not claim again for this long.
static constexpr Millis UnreachablePause{6'000};
static constexpr Millis ClaimTimeout{700};
static constexpr Millis ClaimRetryDelay{150};
/// Pause after a claim that lost to an earlier one: time to read that one.
static constexpr Millis LostClaimPause{600};
/// The topic counts as readable if it was read to its end within this time.
static constexpr Millis MaxTopicAge{1'500};
/// Two claims with the same first sequence number would be taken for one; 40
/// bits make that unlikely over years of claims.
static constexpr unsigned RandomSequenceBits = 40;

Millis Node::Impl::ownerAppendTime() const {
  return std::min(MaxCountedAppend, Millis(Shared.Ledger.owner().AppendMs));
}

Millis Node::Impl::ownerTimeout() const {
  // The topic has to be read after the owner's answer: if the store is down for
  // all daemons, none of them should claim.
  bool Refusing = OwnerNotHandledAt > OwnerRecordReadAt &&
                  ControlTopic.covers(OwnerNotHandledAt);
  return (Refusing ? RefusingOwnerTimeout : OwnerTimeout) +
         OwnerTimeoutAppends * ownerAppendTime();
}

void Node::Impl::elect() {
  MonoTime T = Shared.mono();
  if (ActiveOwner || !ControlTopic.following() || Stopping) {
    ClaimAt = {};
    OwnerSilentSince = T;
    if (Stopping || !ControlTopic.following())
      Claiming = false;
    return;
  }
  const workload::Ownership &O = Shared.Ledger.owner();
  if (Claiming) {
    bool Ours =
        O.Epoch == ClaimEpoch && O.Incarnation == Shared.Settings.Incarnation;
    if (Ours && (!ClaimOffset || ControlTopic.next() > *ClaimOffset))
      return becomeOwner();
    if (O.Epoch >= ClaimEpoch && !Ours) {
      Claiming = false;
      OwnerSilentSince = T;
    } else if (!ClaimInFlight && !ClaimOffset && T >= ClaimRetryAt) {
      claim();
    }
    return;
  }
  bool NewRecord = Shared.Ledger.ownerRecords() != OwnerRecordsRead;
  OwnerRecordsRead = Shared.Ledger.ownerRecords();
  if (NewRecord)
    OwnerRecordReadAt = T;
  if (NewRecord || !ControlTopic.fresh(MaxTopicAge)) {
    // The timeout runs only while the topic can be read.
    OwnerSilentSince = T;
  }
  // The owner was an earlier incarnation of this daemon, which has certainly
  // ended.
  bool FormerIncarnation = O.Daemon == Shared.Settings.Name &&
                           O.Incarnation != Shared.Settings.Incarnation;
  bool Vacant = O.Epoch == 0 || O.Released || FormerIncarnation;
  // A much larger host takes over from a small one; the small owner stops
  // recording once the larger has claimed.
  if (O.Epoch != OwnerEpoch) {
    OwnerEpoch = O.Epoch;
    EpochSeenAt = T;
  }
  bool Larger = O.CpuMilli > 0 &&
                Shared.Settings.CpuMilli >= TakeoverCpuRatio * O.CpuMilli &&
                T - EpochSeenAt > MinTenure;
  if (!Vacant && !Larger && T - OwnerSilentSince < ownerTimeout()) {
    ClaimAt = {};
    return;
  }
  if (!ControlTopic.fresh(MaxTopicAge) || !Shared.Config || T < ClaimRetryAt) {
    ClaimAt = {};
    return;
  }
  if (ClaimAt == MonoTime{}) {
    Millis MaxDelay = (Vacant ? MaxHandoverDelay : MaxClaimDelay) +
                      ClaimDelayAppends * ownerAppendTime();
    // Hosts smaller than the last owner, or small hosts if there was none,
    // leave precedence to larger ones.
    std::int64_t ReferenceCpu = O.CpuMilli ? O.CpuMilli : LargeCpuMilli;
    Millis HostDelay =
        Shared.Settings.CpuMilli < ReferenceCpu ? SmallHostDelay : Millis(0);
    ClaimAt =
        T + HostDelay +
        Millis(static_cast<std::int64_t>(
            Shared.Random() % static_cast<std::uint64_t>(MaxDelay.count())));
  }
  if (T < ClaimAt)
    return;
  ClaimAt = {};
  Claiming = true;
  ClaimOffset.reset();
  ClaimedAt = T;
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
  // Until the next owner's first append has ended, its predecessor's figure
  // tells how long the others have to wait for its records.
  O.AppendMs = Shared.Ledger.owner().AppendMs;
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
    // Another daemon was first; its claim has not been read yet.
    Claiming = false;
    ClaimRetryAt = Shared.mono() + LostClaimPause;
    OwnerSilentSince = Shared.mono();
    return;
  case AppendVerdict::Refused:
  case AppendVerdict::Rejected:
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
                   {"next", ControlTopic.next()}});
  ActiveOwner =
      std::make_unique<Owner>(Shared, ClaimEpoch, ClaimSequence, ClaimedAt,
                              FormerLeases.endBefore(ClaimEpoch));
  ActiveOwner->onStored() = [this](const Submission &S, std::uint64_t Offset) {
    onSubmissionStored(S, Offset);
  };
  ActiveOwner->OnDeposed = [this](std::string_view Reason) {
    DeposedReason = Reason;
  };
  ControlTopic.setReadInterval({});
}

void Node::Impl::stepDownUnreachable() {
  ClaimRetryAt = Shared.mono() + UnreachablePause;
  stepDown("most workers cannot be reached");
}

void Node::Impl::stepDown(std::string_view Reason) {
  Shared.count("ownership_lost");
  Shared.log(401, {{"epoch", ActiveOwner->epoch()}, {"reason", Reason}});
  ActiveOwner->failPendingSubmissions();
  ActiveOwner.reset();
  ControlTopic.setReadInterval(FollowerReadInterval);
  // The owner's state was ahead of its records, so the topic is reread from the
  // beginning.
  ControlTopic.restart();
}

} // namespace heathersaddle::cluster
