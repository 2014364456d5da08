// Approach: the stream `snapshots` is read to its end first. The newest
// complete snapshot becomes the state; without one the state is empty. Then
// `control` is read by long polls, with additional short reads when the newest
// records are needed at once. Records are applied by offset, so overlapping
// reads are harmless. When the next offset was trimmed from the log, recovery
// starts again. Nothing acts on the state until it has reached the end of the
// log.
// Bounds: one long poll and one short read; MaxRecordsPerRead records each.
#include "Tail.h"

namespace heathersaddle::control {

namespace {
constexpr std::uint32_t MaxRecordsPerRead = 512;
constexpr base::Millis RetryBaseDelay{100};
/// Together with the time limit of a lost read this must stay below the 8 s
/// within which a list change is in force.
constexpr base::Millis RetryMaxDelay{1'000};
/// Delay before looking for a newer snapshot when the log no longer has the
/// next record.
constexpr base::Millis SnapshotRetryDelay{2'000};
} // namespace

void Tail::tick() {
  if (LongPollCall == 0 && NodeCore.now() >= RetryAt)
    // After a failure, reads without a wait show sooner that the log is back.
    read(LongPollCall, CaughtUp && Failures == 0 ? NodeCore.Settings.ReadWait
                                                 : base::Millis(0));
}

void Tail::readNow() {
  if (ShortReadCall == 0 && CurrentPhase == Phase::Control &&
      NodeCore.now() >= RetryAt)
    read(ShortReadCall, base::Millis(0));
}

void Tail::read(std::uint64_t &Call, base::Millis Wait) {
  Call = ++NodeCore.LastCall;
  bool Control = CurrentPhase == Phase::Control;
  std::uint64_t From =
      Control ? NodeCore.State.nextOffset() : NextSnapshotOffset;
  (&Call == &LongPollCall ? LongPollFrom : ShortReadFrom) = From;
  NodeCore.Actions.emplace_back(ReadAction{
      Call, Control ? "control" : "snapshots", From, MaxRecordsPerRead, Wait,
      Wait + NodeCore.Settings.CallTimeout});
}

void Tail::onRead(std::uint64_t Call, const base::Expected<ReadResult> &R) {
  bool IsLongPoll = Call != 0 && Call == LongPollCall;
  if (!IsLongPoll && (Call == 0 || Call != ShortReadCall))
    return;
  std::uint64_t From = IsLongPoll ? LongPollFrom : ShortReadFrom;
  (IsLongPoll ? LongPollCall : ShortReadCall) = 0;
  if (!R) {
    onFailure();
    return;
  }
  bool WasFailing = failing();
  if (Failures >= 2)
    NodeCore.log(EventLogUp, "reads of the log work again");
  Failures = 0;
  RetryAt = NodeCore.now();
  if (CurrentPhase == Phase::Snapshots)
    onSnapshots(*R);
  else
    onControl(From, *R);
  if (WasFailing && OnLogUp)
    OnLogUp();
}

void Tail::onFailure() {
  RetryAt = NodeCore.now() +
            NodeCore.backoff(Failures, RetryBaseDelay, RetryMaxDelay);
  if (++Failures == 2)
    NodeCore.log(EventLogDown, "reads of the log fail");
}

void Tail::onSnapshots(const ReadResult &R) {
  if (R.Trimmed) {
    NextSnapshotOffset = std::max(NextSnapshotOffset, R.Oldest);
    return;
  }
  for (const std::string &Text : R.Records)
    Collector.add(Text);
  NextSnapshotOffset += R.Records.size();
  if (NextSnapshotOffset >= R.Next)
    restoreSnapshot();
}

void Tail::restoreSnapshot() {
  NodeCore.State = state::State();
  RestoredOffset = 0;
  if (const std::string *Text = Collector.newest()) {
    if (auto Restored = state::State::restore(*Text)) {
      NodeCore.State = std::move(*Restored);
      RestoredOffset = NodeCore.State.nextOffset();
    } else {
      NodeCore.log(EventSnapshotInvalid, Restored.error().toString());
    }
  }
  CurrentPhase = Phase::Control;
  if (OnRestored)
    OnRestored();
}

void Tail::restartRecovery() {
  NodeCore.log(EventTrimmed,
               "offset " + std::to_string(NodeCore.State.nextOffset()) +
                   " is no longer in the log; looking for a snapshot");
  CaughtUp = false;
  CurrentPhase = Phase::Snapshots;
  LongPollCall = ShortReadCall = 0;
  RetryAt = NodeCore.now() + SnapshotRetryDelay;
  NodeCore.State = state::State();
  if (OnRestored)
    OnRestored();
}

void Tail::onControl(std::uint64_t From, const ReadResult &R) {
  LastRead = NodeCore.now();
  if (R.Trimmed || (R.Oldest > NodeCore.State.nextOffset())) {
    restartRecovery();
    return;
  }
  for (std::size_t I = 0; I < R.Records.size(); ++I)
    if (From + I == NodeCore.State.nextOffset())
      applyRecord(From + I, R.Records[I]);
  if (!CaughtUp && NodeCore.State.nextOffset() >= R.Next) {
    CaughtUp = true;
    Collector.clear();
    NodeCore.log(EventRecovered,
                 "state complete up to offset " +
                     std::to_string(NodeCore.State.nextOffset()));
  }
}

void Tail::applyRecord(std::uint64_t Offset, std::string_view Text) {
  auto R = state::decode(Text);
  base::WallMs Before = NodeCore.State.clock();
  if (!R) {
    NodeCore.State.apply(Offset, Text);
    return;
  }
  state::Verdict V = NodeCore.State.apply(Offset, *R);
  NodeCore.noteClockChange(Before);
  if (OnApplied)
    OnApplied(*R, Offset, V);
}

} // namespace heathersaddle::control
