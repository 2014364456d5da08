// Load pattern: an append takes up to 300 ms, the partition carries out one
// append after the other, and several jobs arrive in that time.
//
// An append without an answer is repeated once, which is harmless because the
// records are the same. Submissions that were waiting behind an append without
// an answer are refused, as they have certainly not been sent.
//
// Load pattern: a daemon is frozen for longer than callers wait. They give up
// and send their requests to other daemons, which may refuse them. A refusal
// says that the job never runs, so the copies that the frozen daemon reads when
// it resumes, or that were waiting in it, must not be stored. They are dropped
// if their callers have closed the connection: a caller that has sent the
// request elsewhere has stopped waiting here.
#include "Intake.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// For one append. Both attempts together end before half of the time that
/// callers wait, so that they can ask another daemon.
static constexpr Millis StoreTimeout{700};
static constexpr unsigned MaxStoreAttempts = 2;
/// While the store is slow there is one attempt with the timeout of both.
static constexpr Millis SlowStoreTimeout{1'400};
static constexpr Millis StoreRetryAfter{1'000};
/// Limit of jobs in one append; far more than arrive during the slowest one.
static constexpr std::size_t MaxBatchJobs = 100;

void Intake::add(Submission S) {
  PendingSubmissions.push_back(std::move(S));
  flush();
}

AppendState Intake::appendState() const {
  AppendState Store{Shared.AppendTook, !InFlightSubmissions.empty(), {}};
  if (Store.InFlight)
    Store.InFlightFor = Shared.mono() - SentAt;
  return Store;
}

void logDropped(Core &C, std::string_view Job, std::string_view Queue,
                std::string_view Reason) {
  C.count("submissions_dropped");
  C.log(450, {{"job", Job}, {"queue", Queue}, {"reason", Reason}});
}

Refusal abandonedRefusal() {
  return {Refusal::Abandoned, StoreRetryAfter,
          "the caller closed its side of the connection, or may have stopped "
          "waiting"};
}

void dropAbandoned(Core &C, std::vector<Submission> &Pending) {
  auto Gone = std::stable_partition(
      Pending.begin(), Pending.end(), [](const Submission &S) {
        return !S.IsCallerConnected || S.IsCallerConnected();
      });
  std::vector<Submission> Dropped(std::make_move_iterator(Gone),
                                  std::make_move_iterator(Pending.end()));
  Pending.erase(Gone, Pending.end());
  for (const Submission &S : Dropped) {
    logDropped(C, S.Job, S.Queue, "caller_closed");
    S.Done(abandonedRefusal());
  }
}

void Intake::flush() {
  if (!InFlightSubmissions.empty())
    return;
  dropAbandoned(Shared, PendingSubmissions);
  if (PendingSubmissions.empty())
    return;
  std::size_t Bytes = 0;
  std::size_t Count = 0;
  std::size_t MaxCount = SentSingly ? 1 : MaxBatchJobs;
  SentSingly -= SentSingly > 0;
  while (Count < std::min(PendingSubmissions.size(), MaxCount)) {
    Bytes += storedBytes(PendingSubmissions[Count].Record);
    if (Count && Bytes > Shared.Settings.AppendBytes)
      break;
    ++Count;
  }
  auto End = PendingSubmissions.begin() + static_cast<std::ptrdiff_t>(Count);
  InFlightSubmissions.assign(
      std::make_move_iterator(PendingSubmissions.begin()),
      std::make_move_iterator(End));
  PendingSubmissions.erase(PendingSubmissions.begin(), End);
  if (!PendingSubmissions.empty())
    Shared.count("appends_full");
  AttemptsLeft = Shared.storeIsSlow() ? 1 : MaxStoreAttempts;
  EarlierAttemptUnanswered = false;
  send();
}

void Intake::send() {
  --AttemptsLeft;
  SentAt = Shared.mono();
  Shared.count("store_appends");
  std::vector<KeyValue> Records;
  for (const Submission &S : InFlightSubmissions)
    Records.push_back(S.Record);
  Shared.Actions.push_back(
      AppendAction{std::move(Records), std::nullopt,
                   Shared.storeIsSlow() ? SlowStoreTimeout : StoreTimeout,
                   [this, Alive = Alive](const AppendResult &R) {
                     if (*Alive)
                       onResult(R);
                   }});
}

void Intake::onResult(const AppendResult &R) {
  bool Stored = R.Verdict == AppendVerdict::Appended;
  bool Rejected = R.Verdict == AppendVerdict::Rejected;
  bool Refused = Rejected || R.Verdict == AppendVerdict::Refused;
  if (!Stored && !Refused && AttemptsLeft && !Unreachable()) {
    EarlierAttemptUnanswered = true;
    return send();
  }
  auto Batch = std::exchange(InFlightSubmissions, {});
  if (Stored) {
    Shared.AppendTook = Shared.mono() - SentAt;
    for (std::size_t N = 0; N < Batch.size(); ++N) {
      OnStored(Batch[N], R.First + N);
      Batch[N].Done(std::nullopt);
    }
    return flush();
  }
  // The store takes all records of an append or none, so one that it does not
  // take must not keep the others from being stored.
  if (Rejected) {
    Shared.count("appends_rejected");
    if (Batch.size() == 1) {
      refuseRejected(Shared, Batch.front());
      return flush();
    }
    SentSingly = Batch.size();
    PendingSubmissions.insert(PendingSubmissions.begin(),
                              std::make_move_iterator(Batch.begin()),
                              std::make_move_iterator(Batch.end()));
    return flush();
  }
  // A refusal is not conclusive if an earlier attempt had no answer.
  for (const Submission &S : Batch)
    refuse(Shared, S, Refused && !EarlierAttemptUnanswered);
  if (!Refused)
    for (const Submission &S : std::exchange(PendingSubmissions, {}))
      refuse(Shared, S, true);
  flush();
}

void refuse(Core &C, const Submission &S, bool CertainlyNotStored) {
  if (S.Cancels) {
    C.count("cancels_failed");
    C.log(427, {{"job", S.Job}, {"stored", false}});
    return S.Done(
        Refusal{CertainlyNotStored ? Refusal::Unavailable : Refusal::Unresolved,
                StoreRetryAfter, "the store did not accept the cancellation"});
  }
  C.count(CertainlyNotStored ? "submissions_refused_unavailable"
                             : "submissions_unresolved");
  C.log(426, {{"job", S.Job},
              {"queue", S.Queue},
              {"reason", CertainlyNotStored ? "store_refused" : "store_silent"},
              {"stored_ms", (C.mono() - S.Started).count()}});
  S.Done(
      Refusal{CertainlyNotStored ? Refusal::Unavailable : Refusal::Unresolved,
              StoreRetryAfter, "the store did not accept the job"});
}

void refuseRejected(Core &C, const Submission &S) {
  C.count("submissions_refused_invalid");
  C.log(426,
        {{"job", S.Job}, {"queue", S.Queue}, {"reason", "store_rejected"}});
  S.Done(Refusal{Refusal::Invalid, Millis(0),
                 "the store does not take the job's record"});
}

} // namespace heathersaddle::cluster
