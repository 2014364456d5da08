// An append without an answer is sent again with the same sequence number and
// the same records until it is answered: the store runs it at most once. All
// later changes wait for it, so the order of records is the order of decisions.
#include "Writer.h"

namespace heathersaddle::cluster {

/// A healthy store answers within 10 ms, a slow one within 300 ms. After two
/// lost answers the owner must not look silent.
static constexpr Millis AppendLimit{600};
/// While the store is slow an answer is waited for this long.
static constexpr Millis SlowAppendLimit{1'500};
static constexpr Millis AppendRetry{100};
/// The owner shows that it works at least this often.
static constexpr Millis BeatPeriod{400};
/// Most jobs in one append, so that a large batch does not hold up the beat.
static constexpr std::size_t BatchJobs = 100;
/// With removals, which are a few bytes each.
static constexpr std::size_t BatchRecords = 500;
/// The store adds a length and the length of the key to each record.
static constexpr std::size_t FramingBytes = 5;
/// Kept free in each append for the owner's own record and for removals.
static constexpr std::size_t BeatBytes = 32'768;

void Writer::release() { Releasing = true; }

void Writer::compose() {
  Records.clear();
  std::size_t Left = C.Settings.AppendBytes - BeatBytes;
  auto Fits = [&](const KeyValue &R) {
    std::size_t Bytes = R.Key.size() + R.Value.size() + FramingBytes;
    if (Bytes > Left)
      return false;
    Left -= Bytes;
    return true;
  };
  auto It = Dirty.begin();
  for (; It != Dirty.end() && Records.size() < BatchJobs;
       It = Dirty.erase(It)) {
    const auto *J = C.Ledger.find(*It);
    if (!J)
      continue;
    KeyValue R = workload::Ledger::progress(*J);
    if (!Fits(R))
      break;
    Records.push_back(std::move(R));
  }
  for (auto Gone = Removed.begin();
       Gone != Removed.end() && Records.size() < BatchRecords;
       Gone = Removed.erase(Gone))
    for (KeyValue &R : workload::Ledger::removal(*Gone))
      Records.push_back(std::move(R));
  // Effects refer to jobs that may be in a later batch only when this one was
  // cut; then they wait for it.
  if (Dirty.empty())
    InFlightEffects = std::exchange(Effects, {});
  MonoTime T = C.mono();
  bool Final = Releasing && Dirty.empty();
  FinalInFlight = Final;
  if (Records.empty() || T >= BeatAt || Final) {
    workload::Ownership O;
    O.Epoch = Epoch;
    O.Daemon = C.Settings.Name;
    O.Incarnation = C.Settings.Incarnation;
    O.Address = C.Settings.PeerAddress;
    O.AppendMs = C.AppendTook.count();
    O.Beat = ++Beat;
    O.CpuMilli = C.Settings.CpuMilli;
    O.Released = Final;
    if (OnBeat)
      OnBeat(O);
    Records.push_back(workload::Ledger::ownership(O));
    BeatAt = T + BeatPeriod;
  }
  ++Sequence;
  InFlight = true;
}

void Writer::send() {
  Sending = true;
  SentAt = C.mono();
  C.count("store_appends");
  C.Actions.push_back(
      AppendAction{Records, WriterFence{Epoch, Sequence},
                   C.storeIsSlow() ? SlowAppendLimit : AppendLimit,
                   [this, Alive = Alive](const AppendResult &R) {
                     if (*Alive)
                       onResult(R);
                   }});
}

void Writer::onResult(const AppendResult &R) {
  Sending = false;
  switch (R.Verdict) {
  case AppendVerdict::Appended: {
    C.AppendTook = C.mono() - SentAt;
    C.recordLatency("owner_append", C.AppendTook);
    InFlight = false;
    ReleaseStored = FinalInFlight;
    auto Run = std::exchange(InFlightEffects, {});
    auto StillAlive = Alive;
    for (const auto &Effect : Run) {
      Effect();
      if (!*StillAlive)
        return;
    }
    return;
  }
  case AppendVerdict::Superseded:
    return OnDeposed("a later owner has appended");
  case AppendVerdict::OutOfOrder:
    return OnDeposed("the sequence of appends is broken");
  case AppendVerdict::Refused:
  case AppendVerdict::Unresolved:
    C.count("store_append_retries");
    RetryAt = C.mono() + C.jitter(AppendRetry);
    return;
  }
}

void Writer::tick() {
  if (Sending || ReleaseStored || C.mono() < RetryAt)
    return;
  if (!InFlight) {
    if (Dirty.empty() && Removed.empty() && Effects.empty() && !Releasing &&
        C.mono() < BeatAt)
      return;
    compose();
  }
  send();
}

} // namespace heathersaddle::cluster
