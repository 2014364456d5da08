// Load pattern: an append takes up to 300 ms, and the partition carries them
// out one after the other, while several jobs come in that time.
//
// A submission is appended again once when it had no answer, which is harmless
// as the record is the same. What waited behind an append that nobody answered
// is refused: it has certainly not been sent.
#include "Intake.h"

namespace heathersaddle::cluster {

/// For one append; both tries together end before half of the time that callers
/// wait, so that they can ask another daemon.
static constexpr Millis StoreLimit{700};
static constexpr unsigned StoreTries = 2;
/// While the store is slow there is one try of the same length as both.
static constexpr Millis SlowStoreLimit{1'400};
static constexpr Millis RetryAfter{1'000};
/// Most jobs in one append; far more than come within the slowest one.
static constexpr std::size_t MostTogether = 100;

void Intake::add(Submission S) {
  Pending.push_back(std::move(S));
  flush();
}

void Intake::flush() {
  if (!UnderWay.empty() || Pending.empty())
    return;
  std::size_t Bytes = 0;
  std::size_t Count = 0;
  while (Count < std::min(Pending.size(), MostTogether)) {
    Bytes += storedBytes(Pending[Count].Record);
    if (Count && Bytes > C.Settings.AppendBytes)
      break;
    ++Count;
  }
  auto End = Pending.begin() + static_cast<std::ptrdiff_t>(Count);
  UnderWay.assign(std::make_move_iterator(Pending.begin()),
                  std::make_move_iterator(End));
  Pending.erase(Pending.begin(), End);
  TriesLeft = C.storeIsSlow() ? 1 : StoreTries;
  Unanswered = false;
  send();
}

void Intake::send() {
  --TriesLeft;
  SentAt = C.mono();
  C.count("store_appends");
  std::vector<KeyValue> Records;
  for (const Submission &S : UnderWay)
    Records.push_back(S.Record);
  C.Actions.push_back(
      AppendAction{std::move(Records), std::nullopt,
                   C.storeIsSlow() ? SlowStoreLimit : StoreLimit,
                   [this, Alive = Alive](const AppendResult &R) {
                     if (*Alive)
                       onResult(R);
                   }});
}

void Intake::onResult(const AppendResult &R) {
  bool Stored = R.Verdict == AppendVerdict::Appended;
  bool Refused = R.Verdict == AppendVerdict::Refused;
  if (!Stored && !Refused && TriesLeft && !Unreachable()) {
    Unanswered = true;
    return send();
  }
  auto Batch = std::exchange(UnderWay, {});
  if (Stored) {
    C.AppendTook = C.mono() - SentAt;
    for (std::size_t N = 0; N < Batch.size(); ++N) {
      OnStored(Batch[N], R.First + N);
      Batch[N].Done(std::nullopt);
    }
    return flush();
  }
  // A refusal settles nothing when an earlier try had no answer.
  for (const Submission &S : Batch)
    refuse(C, S, Refused && !Unanswered);
  if (!Refused)
    for (const Submission &S : std::exchange(Pending, {}))
      refuse(C, S, true);
  flush();
}

void refuse(Core &C, const Submission &S, bool CertainlyNotStored) {
  C.count(CertainlyNotStored ? "submissions_refused_unavailable"
                             : "submissions_unresolved");
  C.log(426, {{"job", S.Job},
              {"queue", S.Queue},
              {"reason", CertainlyNotStored ? "store_refused" : "store_silent"},
              {"stored_ms", (C.mono() - S.Started).count()}});
  S.Done(
      Refusal{CertainlyNotStored ? Refusal::Unavailable : Refusal::Unresolved,
              RetryAfter, "the store did not accept the job"});
}

} // namespace heathersaddle::cluster
