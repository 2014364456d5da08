// Approach: the stream `snapshots` is read to its end first; the newest
// complete snapshot becomes the state, or an empty state when there is none.
// Then `control` is read by long polls, with short reads beside them when
// something must be known at once. Records are applied by offset, so
// overlapping reads are harmless. A trimmed offset starts recovery again, and
// nothing acts on the state until it has reached the end of the log.
// Bounds: one long poll and one short read; ReadMax records each.
#include "Tail.h"

namespace heathersaddle::control {

namespace {
constexpr std::uint32_t ReadMax = 512;
constexpr base::Millis RetryFirst{100};
/// Together with the limit of a lost read below the 8 s bound for lists.
constexpr base::Millis RetryMost{1'000};
/// Wait before looking for a newer snapshot when none is usable.
constexpr base::Millis SnapshotRetry{2'000};
} // namespace

void Tail::tick() {
  if (LongCall == 0 && C.now() >= RetryAt)
    // After a failure short reads find out sooner that the log is back.
    read(LongCall, CaughtUp && Failures == 0 ? C.S.ReadWait : base::Millis(0));
}

void Tail::probe() {
  if (ProbeCall == 0 && Now == Phase::Control && C.now() >= RetryAt)
    read(ProbeCall, base::Millis(0));
}

void Tail::read(std::uint64_t &Call, base::Millis Wait) {
  Call = ++C.LastCall;
  bool Control = Now == Phase::Control;
  std::uint64_t From = Control ? C.St.nextOffset() : SnapshotNext;
  (&Call == &LongCall ? LongFrom : ProbeFrom) = From;
  C.Out.emplace_back(ReadAction{Call, Control ? "control" : "snapshots", From,
                                ReadMax, Wait, Wait + C.S.CallLimit});
}

void Tail::onRead(std::uint64_t Call, const base::Expected<ReadResult> &R) {
  bool Long = Call != 0 && Call == LongCall;
  if (!Long && (Call == 0 || Call != ProbeCall))
    return;
  std::uint64_t From = Long ? LongFrom : ProbeFrom;
  (Long ? LongCall : ProbeCall) = 0;
  if (!R) {
    onFailure();
    return;
  }
  bool WasFailing = failing();
  if (Failures >= 2)
    C.log(EventLogUp, "reads of the log work again");
  Failures = 0;
  RetryAt = C.now();
  if (Now == Phase::Snapshots)
    onSnapshots(*R);
  else
    onControl(From, *R);
  if (WasFailing && OnLogUp)
    OnLogUp();
}

void Tail::onFailure() {
  RetryAt = C.now() + C.backoff(Failures, RetryFirst, RetryMost);
  if (++Failures == 2)
    C.log(EventLogDown, "reads of the log fail");
}

void Tail::onSnapshots(const ReadResult &R) {
  if (R.Trimmed) {
    SnapshotNext = std::max(SnapshotNext, R.Oldest);
    return;
  }
  for (const std::string &Text : R.Records)
    Found.add(Text);
  SnapshotNext += R.Records.size();
  if (SnapshotNext >= R.Next)
    chooseSnapshot();
}

void Tail::chooseSnapshot() {
  C.St = state::State();
  RestoredFrom = 0;
  if (const std::string *Text = Found.newest()) {
    if (auto Restored = state::State::restore(*Text)) {
      C.St = std::move(*Restored);
      RestoredFrom = C.St.nextOffset();
    } else {
      C.log(EventSnapshotInvalid, Restored.error().toString());
    }
  }
  Now = Phase::Control;
  if (OnRestored)
    OnRestored();
}

void Tail::recover() {
  C.log(EventTrimmed, "offset " + std::to_string(C.St.nextOffset()) +
                          " is no longer in the log; looking for a snapshot");
  CaughtUp = false;
  Now = Phase::Snapshots;
  LongCall = ProbeCall = 0;
  RetryAt = C.now() + SnapshotRetry;
  C.St = state::State();
  if (OnRestored)
    OnRestored();
}

void Tail::onControl(std::uint64_t From, const ReadResult &R) {
  LastRead = C.now();
  if (R.Trimmed || (R.Oldest > C.St.nextOffset())) {
    recover();
    return;
  }
  for (std::size_t I = 0; I < R.Records.size(); ++I)
    if (From + I == C.St.nextOffset())
      applyText(From + I, R.Records[I]);
  if (!CaughtUp && C.St.nextOffset() >= R.Next) {
    CaughtUp = true;
    Found.clear();
    C.log(EventRecovered,
          "state complete up to offset " + std::to_string(C.St.nextOffset()));
  }
}

void Tail::applyText(std::uint64_t Offset, std::string_view Text) {
  auto R = state::decode(Text);
  base::WallMs Before = C.St.clock();
  if (!R) {
    C.St.apply(Offset, Text);
    return;
  }
  state::Verdict V = C.St.apply(Offset, *R);
  C.noteClock(Before);
  if (OnApplied)
    OnApplied(*R, Offset, V);
}

} // namespace heathersaddle::control
