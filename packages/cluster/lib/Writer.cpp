// An append without an answer is sent again with the same sequence number and
// the same records until it is answered. The store carries it out at most once,
// so an answer to any copy counts, and copies are sent while others may still
// be answered. All later changes wait for it, so records are stored in the
// order of the decisions.
//
// The store rejects an append as a whole if it does not take the content of one
// of its records. To repeat it would hold up all jobs for one. No record is
// sent that is larger than the store's limit. If an append is rejected anyway,
// one with only the owner's record tells whether that is due to the content.
// The next ones have half as many records each, until the one is found that the
// store does not take.
#include "Writer.h"
#include "heathersaddle/workload/RecordSize.h"
#include <algorithm>
#include <iterator>

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
/// A job whose record is too large is tried again after this time, as its tasks
/// may have ended.
static constexpr Millis TooLargeRetryDelay{1'000};
/// A record that the store has rejected is tried again after this time, which
/// doubles with each rejection.
static constexpr Millis MinRejectedRetryDelay{1'000};
static constexpr Millis MaxRejectedRetryDelay{32'000};

Writer::Writer(Core &C, std::uint64_t Epoch, std::uint64_t Sequence,
               MonoTime ClaimedAt)
    : Shared(C), Epoch(Epoch), Sequence(Sequence), MaxItems(MaxBatchRecords),
      ConfirmedAt(ClaimedAt) {}

void Writer::release() { Releasing = true; }

std::optional<KeyValue> Writer::progressRecord(workload::Job &J) {
  KeyValue R = workload::Ledger::progress(J);
  if (Shared.fitsStore(R))
    return R;
  std::size_t Bytes = R.Key.size() + R.Value.size();
  auto Cuts = workload::shrinkProgress(J, Shared.maxRecordBytes());
  Shared.count("checkpoints_dropped", Cuts.Checkpoints);
  R = workload::Ledger::progress(J);
  if (Cuts.Checkpoints || Cuts.CrashNotes)
    Shared.log(465, {{"job", J.Spec.Id},
                     {"checkpoints", Cuts.Checkpoints},
                     {"checkpoint_bytes", Cuts.CheckpointBytes},
                     {"crash_notes", Cuts.CrashNotes},
                     {"bytes_before", Bytes},
                     {"bytes", R.Key.size() + R.Value.size()}});
  return Shared.fitsStore(R) ? std::optional(std::move(R)) : std::nullopt;
}

void Writer::withhold(const std::string &Job, Millis RetryDelay,
                      std::string_view Reason) {
  ChangedJobs.erase(Job);
  bool New = !RetryDelays.contains(Job);
  RetryDelays[Job] = RetryDelay;
  WithheldJobs[Job] = {Shared.mono() + RetryDelay, RetryDelay};
  if (!New)
    return;
  Shared.count("records_withheld");
  const workload::Job *J = Shared.Ledger.find(Job);
  Shared.log(466, {{"job", Job},
                   {"reason", Reason},
                   {"bytes", J ? workload::progressBytes(*J) : 0},
                   {"max_bytes", Shared.maxRecordBytes()}});
}

std::string Writer::nextWithheldJob() {
  MonoTime T = Shared.mono();
  for (auto It = WithheldJobs.begin(); It != WithheldJobs.end();) {
    auto &[Id, W] = *It;
    workload::Job *J = Shared.Ledger.find(Id);
    if (J && T < W.RetryAt) {
      ++It;
      continue;
    }
    if (J && !progressRecord(*J)) {
      W.RetryAt = T + W.RetryDelay;
      ++It;
      continue;
    }
    std::string Job = Id;
    It = WithheldJobs.erase(It);
    if (J)
      return Job;
    RetryDelays.erase(Job);
  }
  return {};
}

bool Writer::addRecord(KeyValue R) {
  std::size_t Bytes = storedBytes(R);
  if (Bytes > BytesLeft)
    return false;
  BytesLeft -= Bytes;
  Records.push_back(std::move(R));
  return true;
}

void Writer::addItems() {
  std::size_t Items = 0;
  // Of a record that was rejected the store is asked without others.
  if (std::string Retried = nextWithheldJob(); !Retried.empty()) {
    // What is not in the append must not count as stored.
    if (addRecord(workload::Ledger::progress(*Shared.Ledger.find(Retried))))
      InFlightJobs.push_back(std::move(Retried));
    else
      withhold(Retried, TooLargeRetryDelay, "too_large");
    return;
  }
  while (!ChangedJobs.empty() && Items < std::min(MaxItems, MaxBatchJobs)) {
    std::string Id = *ChangedJobs.begin();
    if (workload::Job *J = Shared.Ledger.find(Id)) {
      auto R = progressRecord(*J);
      if (!R) {
        withhold(Id, TooLargeRetryDelay, "too_large");
        continue;
      }
      if (!addRecord(std::move(*R)))
        break;
      InFlightJobs.push_back(Id);
      ++Items;
    }
    ChangedJobs.erase(ChangedJobs.begin());
  }
  while (!RemovedJobs.empty() && Items < MaxItems &&
         Records.size() < MaxBatchRecords) {
    auto Tombstones = workload::Ledger::removal(*RemovedJobs.begin());
    std::size_t Bytes = 0;
    for (const KeyValue &R : Tombstones)
      Bytes += storedBytes(R);
    if (Bytes > BytesLeft)
      break;
    BytesLeft -= Bytes;
    std::move(Tombstones.begin(), Tombstones.end(),
              std::back_inserter(Records));
    InFlightRemovals.push_back(*RemovedJobs.begin());
    RemovedJobs.erase(RemovedJobs.begin());
    ++Items;
  }
  FirstSubmissionIndex = Records.size();
  while (!PendingSubmissions.empty() && Items < MaxItems &&
         Records.size() < MaxBatchRecords &&
         addRecord(PendingSubmissions.front().Record)) {
    InFlightSubmissions.push_back(std::move(PendingSubmissions.front()));
    PendingSubmissions.erase(PendingSubmissions.begin());
    ++Items;
  }
}

void Writer::addOwnerRecord() {
  workload::Ownership O;
  O.Epoch = Epoch;
  O.Daemon = Shared.Settings.Name;
  O.Incarnation = Shared.Settings.Incarnation;
  O.Address = Shared.Settings.PeerAddress;
  O.AppendMs = Shared.AppendTook.count();
  O.HeartbeatCount = ++Heartbeats;
  O.CpuMilli = Shared.Settings.CpuMilli;
  O.Released = ReleaseInFlight;
  if (FillHeartbeat)
    FillHeartbeat(O);
  Records.push_back(workload::Ledger::ownership(O));
  NextHeartbeatAt = ComposedAt + HeartbeatPeriod;
}

bool Writer::isWaiting(const StoredCallback &C) const {
  return std::any_of(C.Jobs.begin(), C.Jobs.end(), [this](const auto &Job) {
    return ChangedJobs.contains(Job) || WithheldJobs.contains(Job);
  });
}

void Writer::composeAppend() {
  dropAbandoned(Shared, PendingSubmissions);
  Records.clear();
  InFlightJobs.clear();
  InFlightRemovals.clear();
  InFlightSubmissions.clear();
  FirstSubmissionIndex = 0;
  BytesLeft = Shared.Settings.AppendBytes -
              std::min(Shared.Settings.AppendBytes, ReservedAppendBytes);
  if (!Probing) {
    addItems();
    if (!ChangedJobs.empty() || !RemovedJobs.empty() ||
        !PendingSubmissions.empty())
      Shared.count("appends_full");
  }
  auto Ready = std::stable_partition(
      StoredCallbacks.begin(), StoredCallbacks.end(),
      [this](const StoredCallback &C) { return isWaiting(C); });
  InFlightCallbacks.assign(std::make_move_iterator(Ready),
                           std::make_move_iterator(StoredCallbacks.end()));
  StoredCallbacks.erase(Ready, StoredCallbacks.end());
  ReleaseInFlight =
      Releasing && ChangedJobs.empty() && PendingSubmissions.empty();
  ComposedAt = Shared.mono();
  OwnerRecordInFlight =
      Records.empty() || ComposedAt >= NextHeartbeatAt || ReleaseInFlight;
  if (OwnerRecordInFlight)
    addOwnerRecord();
  ++Sequence;
  CopyRejected = CopyUnresolved = false;
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
  case AppendVerdict::Appended:
    return onStored(R.First);
  case AppendVerdict::Superseded:
    return OnDeposed("a later owner has appended");
  case AppendVerdict::OutOfOrder:
    return OnDeposed("the sequence of appends is broken");
  case AppendVerdict::Rejected:
    CopyRejected = true;
    break;
  case AppendVerdict::Refused:
  case AppendVerdict::Unresolved:
    CopyUnresolved |= R.Verdict == AppendVerdict::Unresolved;
    Shared.count("store_append_retries");
    break;
  }
  if (UnansweredCopies)
    return;
  if (!CopyRejected) {
    RetryAt = Shared.mono() + Shared.jitter(AppendRetryDelay);
    return;
  }
  // The next append has another content under the same sequence number, for
  // which the store must not take it.
  if (CopyUnresolved)
    return OnDeposed("an append without an answer was rejected when repeated");
  onRejected();
}

void Writer::onStored(std::uint64_t FirstOffset) {
  Shared.AppendTook = Shared.mono() - SentAt;
  Shared.recordLatency("owner_append", Shared.AppendTook);
  InFlight = false;
  UnansweredCopies = 0;
  ReleaseStored = ReleaseInFlight;
  // The answer may be to any copy, and the first one may have been carried
  // out at once. Later owners go by the owner's records only.
  if (OwnerRecordInFlight)
    ConfirmedAt = ComposedAt;
  for (const std::string &Job : InFlightJobs)
    if (RetryDelays.erase(Job))
      Shared.log(467, {{"job", Job}});
  if (!std::exchange(Probing, false))
    MaxItems = std::min(2 * MaxItems, MaxBatchRecords);
  auto Rejected = std::exchange(Suspect, std::nullopt);
  auto Callbacks = std::exchange(InFlightCallbacks, {});
  auto Stored = std::exchange(InFlightSubmissions, {});
  auto StillAlive = Alive;
  // Their records follow those of the changed jobs and the removals.
  for (std::size_t N = 0; N < Stored.size(); ++N) {
    OnStored(Stored[N], FirstOffset + FirstSubmissionIndex + N);
    if (Stored[N].Done)
      Stored[N].Done(std::nullopt);
    if (!*StillAlive)
      return;
  }
  for (const StoredCallback &C : Callbacks) {
    C.Run();
    if (!*StillAlive)
      return;
  }
  if (Rejected)
    onItemRejected(*Rejected);
}

void Writer::takeBack() {
  ChangedJobs.insert(InFlightJobs.begin(), InFlightJobs.end());
  RemovedJobs.insert(InFlightRemovals.begin(), InFlightRemovals.end());
  auto Submissions = std::exchange(InFlightSubmissions, {});
  // The callers of the others have been answered.
  std::erase_if(Submissions, [](const Submission &S) { return !S.Done; });
  PendingSubmissions.insert(PendingSubmissions.begin(),
                            std::make_move_iterator(Submissions.begin()),
                            std::make_move_iterator(Submissions.end()));
  auto Callbacks = std::exchange(InFlightCallbacks, {});
  StoredCallbacks.insert(StoredCallbacks.begin(),
                         std::make_move_iterator(Callbacks.begin()),
                         std::make_move_iterator(Callbacks.end()));
  --Sequence;
  InFlight = ReleaseInFlight = OwnerRecordInFlight = false;
}

void Writer::onRejected() {
  Shared.count("appends_rejected");
  std::vector<BatchItem> Items;
  for (const std::string &Job : InFlightJobs)
    Items.push_back({BatchItem::Job, Job});
  for (const std::string &Job : InFlightRemovals)
    Items.push_back({BatchItem::Removal, Job});
  for (const Submission &S : InFlightSubmissions)
    Items.push_back({BatchItem::Submission, S.Job});
  takeBack();
  Suspect = std::nullopt;
  if (Items.empty())
    RetryAt = Shared.mono() + Shared.jitter(AppendRetryDelay);
  else if (Items.size() == 1)
    Suspect = Items.front();
  else
    MaxItems = Items.size() / 2;
  Probing = true;
}

void Writer::onItemRejected(const BatchItem &Item) {
  switch (Item.What) {
  case BatchItem::Job: {
    auto Earlier = RetryDelays.find(Item.JobId);
    Millis Delay = Earlier == RetryDelays.end()
                       ? MinRejectedRetryDelay
                       : std::min(2 * Earlier->second, MaxRejectedRetryDelay);
    return withhold(Item.JobId, Delay, "rejected");
  }
  case BatchItem::Removal:
    // An expired job is removed again after a while.
    RemovedJobs.erase(Item.JobId);
    return Shared.log(466, {{"job", Item.JobId}, {"reason", "rejected"}});
  case BatchItem::Submission:
    break;
  }
  auto It =
      std::find_if(PendingSubmissions.begin(), PendingSubmissions.end(),
                   [&](const Submission &S) { return S.Job == Item.JobId; });
  if (It == PendingSubmissions.end())
    return;
  Submission S = std::move(*It);
  PendingSubmissions.erase(It);
  refuseRejected(Shared, S);
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

bool Writer::hasWork() const {
  MonoTime T = Shared.mono();
  auto IsDue = [T](const auto &W) { return T >= W.second.RetryAt; };
  return !ChangedJobs.empty() || !RemovedJobs.empty() ||
         !PendingSubmissions.empty() || Releasing || T >= NextHeartbeatAt ||
         std::any_of(WithheldJobs.begin(), WithheldJobs.end(), IsDue) ||
         !std::all_of(StoredCallbacks.begin(), StoredCallbacks.end(),
                      [this](const StoredCallback &C) { return isWaiting(C); });
}

void Writer::tick() {
  expireSubmissions();
  if (ReleaseStored || Shared.mono() < RetryAt)
    return;
  if (UnansweredCopies) {
    if (!CopyRejected && UnansweredCopies < MaxUnansweredCopies &&
        Shared.mono() - LastSentAt >
            std::max(ResendInterval, SlowResendFactor * Shared.AppendTook))
      send();
    return;
  }
  if (!InFlight) {
    if (!hasWork())
      return;
    composeAppend();
  }
  send();
}

} // namespace heathersaddle::cluster
