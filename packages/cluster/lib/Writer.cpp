// An append without an answer is sent again with the same sequence number and
// the same records until it is answered. The store carries it out at most once,
// so an answer to any copy counts, and copies are sent while others may still
// be answered. All later changes wait for it, so records are stored in the
// order of the decisions.
#include "Writer.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// A healthy store answers within 10 ms, a slow one within a second. Another
/// copy is sent after this time, so that two lost answers do not make the owner
/// appear to have failed.
static constexpr Millis ResendInterval{500};
static constexpr unsigned MaxUnansweredCopies = 4;
static constexpr Millis AppendTimeout{2'000};
/// Load pattern: appends take seconds. The store carries copies out one after
/// the other, too, so they would only lengthen its queue; another one is sent
/// after this many times the duration of the latest append.
static constexpr int SlowResendFactor = 2;
static constexpr Millis MaxAppendTimeout{6'000};
static constexpr Millis AppendRetryDelay{100};
/// The owner appends a heartbeat at least this often.
static constexpr Millis HeartbeatPeriod{400};
/// Limit of job records in one append, so that a large batch does not delay the
/// heartbeat.
static constexpr std::size_t MaxBatchJobs = 100;
/// Limit including removals, which are a few bytes each.
static constexpr std::size_t MaxBatchRecords = 500;
/// Bytes reserved in each append for the owner's own record and for removals.
static constexpr std::size_t ReservedAppendBytes = 32'768;

void Writer::release() { Releasing = true; }

void Writer::composeAppend() {
  dropAbandoned(Shared, PendingSubmissions);
  Records.clear();
  InFlightSubmissions.clear();
  std::size_t Left = Shared.Settings.AppendBytes - ReservedAppendBytes;
  auto Fits = [&](const KeyValue &R) {
    std::size_t Bytes = storedBytes(R);
    if (Bytes > Left)
      return false;
    Left -= Bytes;
    return true;
  };
  auto It = ChangedJobs.begin();
  for (; It != ChangedJobs.end() && Records.size() < MaxBatchJobs;
       It = ChangedJobs.erase(It)) {
    const auto *J = Shared.Ledger.find(*It);
    if (!J)
      continue;
    KeyValue R = workload::Ledger::progress(*J);
    if (!Fits(R))
      break;
    Records.push_back(std::move(R));
  }
  for (auto Gone = RemovedJobs.begin();
       Gone != RemovedJobs.end() && Records.size() < MaxBatchRecords;
       Gone = RemovedJobs.erase(Gone))
    for (KeyValue &R : workload::Ledger::removal(*Gone))
      Records.push_back(std::move(R));
  FirstSubmissionIndex = Records.size();
  while (!PendingSubmissions.empty() && Records.size() < MaxBatchRecords &&
         Fits(PendingSubmissions.front().Record)) {
    Records.push_back(PendingSubmissions.front().Record);
    InFlightSubmissions.push_back(std::move(PendingSubmissions.front()));
    PendingSubmissions.erase(PendingSubmissions.begin());
  }
  if (!ChangedJobs.empty() || !RemovedJobs.empty() ||
      !PendingSubmissions.empty())
    Shared.count("appends_full");
  // Callbacks may depend on jobs of a later batch only if this batch did not
  // hold all changed jobs; they then wait for a later one.
  if (ChangedJobs.empty())
    InFlightCallbacks = std::exchange(StoredCallbacks, {});
  MonoTime T = Shared.mono();
  bool Final = Releasing && ChangedJobs.empty() && PendingSubmissions.empty();
  ReleaseInFlight = Final;
  ComposedAt = T;
  OwnerRecordInFlight = Records.empty() || T >= NextHeartbeatAt || Final;
  if (OwnerRecordInFlight) {
    workload::Ownership O;
    O.Epoch = Epoch;
    O.Daemon = Shared.Settings.Name;
    O.Incarnation = Shared.Settings.Incarnation;
    O.Address = Shared.Settings.PeerAddress;
    O.AppendMs = Shared.AppendTook.count();
    O.HeartbeatCount = ++Heartbeats;
    O.CpuMilli = Shared.Settings.CpuMilli;
    O.Released = Final;
    if (FillHeartbeat)
      FillHeartbeat(O);
    Records.push_back(workload::Ledger::ownership(O));
    NextHeartbeatAt = T + HeartbeatPeriod;
  }
  ++Sequence;
  InFlight = true;
}

void Writer::send() {
  LastSentAt = Shared.mono();
  if (!UnansweredCopies)
    SentAt = LastSentAt;
  ++UnansweredCopies;
  Shared.count("store_appends");
  Shared.Actions.push_back(AppendAction{
      Records, WriterFence{Epoch, Sequence},
      std::clamp(SlowResendFactor * Shared.AppendTook, AppendTimeout,
                 MaxAppendTimeout),
      [this, Alive = Alive, AppendSequence = Sequence](const AppendResult &R) {
        if (*Alive)
          onResult(AppendSequence, R);
      }});
}

void Writer::onResult(std::uint64_t AppendSequence, const AppendResult &R) {
  // Another copy has been answered already.
  if (AppendSequence != Sequence || !InFlight)
    return;
  --UnansweredCopies;
  switch (R.Verdict) {
  case AppendVerdict::Appended: {
    Shared.AppendTook = Shared.mono() - SentAt;
    Shared.recordLatency("owner_append", Shared.AppendTook);
    InFlight = false;
    UnansweredCopies = 0;
    ReleaseStored = ReleaseInFlight;
    // The answer may be to any copy, and the first one may have been carried
    // out at once. Later owners go by the owner's records only.
    if (OwnerRecordInFlight)
      ConfirmedAt = ComposedAt;
    auto Callbacks = std::exchange(InFlightCallbacks, {});
    auto Stored = std::exchange(InFlightSubmissions, {});
    auto StillAlive = Alive;
    // Their records follow those of the changed jobs and the removals.
    for (std::size_t N = 0; N < Stored.size(); ++N) {
      OnStored(Stored[N], R.First + FirstSubmissionIndex + N);
      if (Stored[N].Done)
        Stored[N].Done(std::nullopt);
      if (!*StillAlive)
        return;
    }
    for (const auto &Callback : Callbacks) {
      Callback();
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
    Shared.count("store_append_retries");
    if (!UnansweredCopies)
      RetryAt = Shared.mono() + Shared.jitter(AppendRetryDelay);
    return;
  }
}

AppendState Writer::appendState() const {
  AppendState Store{Shared.AppendTook, InFlight, {}};
  if (InFlight)
    Store.InFlightFor = Shared.mono() - SentAt;
  return Store;
}

/// Refuses submissions whose callers are about to stop waiting. Those in flight
/// may still be stored later; those that were not sent never are.
void Writer::expireSubmissions() {
  MonoTime T = Shared.mono();
  for (Submission &S : InFlightSubmissions)
    if (S.Done && T > S.AnswerBy)
      refuse(Shared, std::exchange(S, {}), false);
  auto Late = std::stable_partition(
      PendingSubmissions.begin(), PendingSubmissions.end(),
      [T](const Submission &S) { return T <= S.AnswerBy; });
  std::vector<Submission> Gone(
      std::make_move_iterator(Late),
      std::make_move_iterator(PendingSubmissions.end()));
  PendingSubmissions.erase(Late, PendingSubmissions.end());
  for (const Submission &S : Gone)
    refuse(Shared, S, true);
}

void Writer::failPendingSubmissions() {
  for (const Submission &S : std::exchange(InFlightSubmissions, {}))
    if (S.Done)
      refuse(Shared, S, false);
  for (const Submission &S : std::exchange(PendingSubmissions, {}))
    refuse(Shared, S, true);
}

void Writer::tick() {
  expireSubmissions();
  if (ReleaseStored || Shared.mono() < RetryAt)
    return;
  if (UnansweredCopies) {
    if (UnansweredCopies < MaxUnansweredCopies &&
        Shared.mono() - LastSentAt >
            std::max(ResendInterval, SlowResendFactor * Shared.AppendTook))
      send();
    return;
  }
  if (!InFlight) {
    if (ChangedJobs.empty() && RemovedJobs.empty() && StoredCallbacks.empty() &&
        PendingSubmissions.empty() && !Releasing &&
        Shared.mono() < NextHeartbeatAt)
      return;
    composeAppend();
  }
  send();
}

} // namespace heathersaddle::cluster
