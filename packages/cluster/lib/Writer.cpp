// An append without an answer is sent again with the same sequence number and
// the same records until it is answered: the store runs it at most once, so an
// answer to any copy counts, and copies are sent while others may still be
// answered. All later changes wait for it, so the order of records is the order
// of decisions.
#include "Writer.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// A healthy store answers within 10 ms, a slow one within a second. Another
/// copy is sent this much later, so that after two lost answers the owner does
/// not look silent.
static constexpr Millis CopyAfter{500};
static constexpr unsigned CopiesMost = 4;
static constexpr Millis AppendLimit{2'000};
/// Callers stop waiting after 3 s; they have to be told before.
static constexpr Millis CallerPatience{2'000};
static constexpr Millis AppendRetry{100};
/// The owner shows that it works at least this often.
static constexpr Millis BeatPeriod{400};
/// Most jobs in one append, so that a large batch does not hold up the beat.
static constexpr std::size_t BatchJobs = 100;
/// With removals, which are a few bytes each.
static constexpr std::size_t BatchRecords = 500;
/// Kept free in each append for the owner's own record and for removals.
static constexpr std::size_t BeatBytes = 32'768;

void Writer::release() { Releasing = true; }

void Writer::compose() {
  Records.clear();
  Storing.clear();
  std::size_t Left = C.Settings.AppendBytes - BeatBytes;
  auto Fits = [&](const KeyValue &R) {
    std::size_t Bytes = storedBytes(R);
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
  StoringFrom = Records.size();
  while (!Waiting.empty() && Records.size() < BatchRecords &&
         Fits(Waiting.front().Record)) {
    Records.push_back(Waiting.front().Record);
    Storing.push_back(std::move(Waiting.front()));
    Waiting.erase(Waiting.begin());
  }
  // Effects refer to jobs that may be in a later batch only when this one was
  // cut; then they wait for it.
  if (Dirty.empty())
    InFlightEffects = std::exchange(Effects, {});
  MonoTime T = C.mono();
  bool Final = Releasing && Dirty.empty() && Waiting.empty();
  FinalInFlight = Final;
  if (Records.empty() || T >= BeatAt || Final) {
    workload::Ownership O;
    O.Epoch = Epoch;
    O.Daemon = C.Settings.Name;
    O.Incarnation = C.Settings.Incarnation;
    O.Address = C.Settings.PeerAddress;
    O.AppendMs = C.AppendTook.count();
    O.HeartbeatCount = ++Beat;
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
  LastSentAt = C.mono();
  if (!Copies)
    SentAt = LastSentAt;
  ++Copies;
  C.count("store_appends");
  C.Actions.push_back(
      AppendAction{Records, WriterFence{Epoch, Sequence}, AppendLimit,
                   [this, Alive = Alive, Of = Sequence](const AppendResult &R) {
                     if (*Alive)
                       onResult(Of, R);
                   }});
}

void Writer::onResult(std::uint64_t Of, const AppendResult &R) {
  // Another copy was answered before.
  if (Of != Sequence || !InFlight)
    return;
  --Copies;
  switch (R.Verdict) {
  case AppendVerdict::Appended: {
    C.AppendTook = C.mono() - SentAt;
    C.recordLatency("owner_append", C.AppendTook);
    InFlight = false;
    Copies = 0;
    ReleaseStored = FinalInFlight;
    auto Run = std::exchange(InFlightEffects, {});
    auto Stored = std::exchange(Storing, {});
    auto StillAlive = Alive;
    // They come after the changed jobs and the removals.
    for (std::size_t N = 0; N < Stored.size(); ++N) {
      OnStored(Stored[N], R.First + StoringFrom + N);
      if (Stored[N].Done)
        Stored[N].Done(std::nullopt);
      if (!*StillAlive)
        return;
    }
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
    if (!Copies)
      RetryAt = C.mono() + C.jitter(AppendRetry);
    return;
  }
}

/// The record may still be stored after its caller was told; a job that was
/// not sent yet never is.
void Writer::giveUpCallers() {
  MonoTime T = C.mono();
  for (Submission &S : Storing)
    if (S.Done && T - S.Started > CallerPatience)
      refuse(C, std::exchange(S, {}), false);
  auto Late = std::stable_partition(
      Waiting.begin(), Waiting.end(),
      [T](const Submission &S) { return T - S.Started <= CallerPatience; });
  std::vector<Submission> Gone(std::make_move_iterator(Late),
                               std::make_move_iterator(Waiting.end()));
  Waiting.erase(Late, Waiting.end());
  for (const Submission &S : Gone)
    refuse(C, S, true);
}

void Writer::abandonCallers() {
  for (const Submission &S : std::exchange(Storing, {}))
    if (S.Done)
      refuse(C, S, false);
  for (const Submission &S : std::exchange(Waiting, {}))
    refuse(C, S, true);
}

void Writer::tick() {
  giveUpCallers();
  if (ReleaseStored || C.mono() < RetryAt)
    return;
  if (Copies) {
    if (Copies < CopiesMost && C.mono() - LastSentAt > CopyAfter)
      send();
    return;
  }
  if (!InFlight) {
    if (Dirty.empty() && Removed.empty() && Effects.empty() &&
        Waiting.empty() && !Releasing && C.mono() < BeatAt)
      return;
    compose();
  }
  send();
}

} // namespace heathersaddle::cluster
