// A submission is stored before it is acknowledged: on the owner together with
// the owner's records (Writer.cpp), on other daemons by a separate append
// (Intake.cpp), which is needed only if the owner could not be reached. Queries
// are answered from the state read from the topic.
#include "NodeImpl.h"
#include "heathersaddle/workload/Limits.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// The owner's published duration of an append is used up to this age.
static constexpr Millis MaxOwnerFigureAge{3'000};
/// An owner that cannot act, or has ended, shows it within this time.
static constexpr Millis MaxPromptRefusal{250};
/// For the append of a cancellation.
static constexpr Millis StoreTimeout{700};
/// Requests are not forwarded to an owner that has recorded nothing for this
/// long, as other daemons are about to claim then; a slow store adds twice the
/// duration of an append.
static constexpr Millis ForwardOwnerTimeout{1'500};
/// The retry delay told to callers is lengthened by a random time of up to one
/// part in this many.
static constexpr int RetryDelaySpread = 2;
/// A job is reported as unknown only if the topic was read to its end within
/// this time.
static constexpr Millis MaxStateAge{2'500};
/// Load pattern: the store rejects the calls of some daemons. The state of a
/// job that is not final is told by the owner if the topic was not read within
/// this time here; reads usually end every 600 ms.
static constexpr Millis MaxStatusAge{1'000};
/// Told with the refusal of a job that was cancelled before. Trying again does
/// not help, so it is as long as any.
static constexpr Millis CancelledRetryAfter{20'000};
/// Longest time to find out whether a job exists: a read in flight and another
/// one, at the store's usual speed.
static constexpr Millis JobLookupTimeout{2'000};
/// Load pattern: a caller cancels random ids, a thousand a second.
///
/// Each cancellation of an unknown job is stored for two minutes, so their rate
/// is limited on each daemon, and their number for all daemons together.
/// Callers who cancel jobs that exist are not limited. Forwarded requests reach
/// the owner, whose refusal is final, so others do not add their rates to it as
/// long as it serves them.
static constexpr double MaxUnknownCancelsPerSecond = 50;
static constexpr double MaxUnknownCancelBurst = 100;
static constexpr std::size_t MaxUnsubmittedCancels = 10'000;
/// Appends without an answer have been carried out up to 15 s later.
static constexpr Millis MaxAppendDelay{20'000};
/// The owner publishes the backlog about once a second. Until then the work of
/// jobs accepted here is added to it, for this long.
static constexpr Millis RecentSubmissionAge{1'500};

MonoTime Node::Impl::waitsUntil(Millis CallerWaits) {
  MonoTime T = Shared.mono();
  // Requests may be read before the first tick after a pause.
  notePause(Pauses.processRuns(T));
  return T - Pauses.maxWaited(T) + CallerWaits;
}

std::optional<Refusal>
Node::Impl::refusalForGood(const workload::JobSpec &Spec) {
  auto Refuse = [&](Refusal::Kind Why, std::string_view Reason,
                    std::string_view Message) {
    Shared.count("submissions_refused_invalid");
    Shared.log(426, {{"job", Spec.Id},
                     {"queue", Spec.Queue},
                     {"reason", Reason},
                     {"max_bytes", Shared.maxRecordBytes()}});
    return Refusal{Why, Millis(0), std::string(Message)};
  };
  for (const workload::Step &S : Spec.Steps)
    if (S.Gang && S.Count * TaskEntryBytes > Shared.maxRecordBytes())
      return Refuse(Refusal::Invalid, "gang_too_wide",
                    "the gang has more tasks than can be recorded");
  if (workload::maxSubmissionBytes(Spec) <= Shared.maxRecordBytes())
    return std::nullopt;
  workload::JobSpec Stored = Spec;
  Stored.AcceptedMs = std::max(Stored.AcceptedMs, Shared.wall());
  if (!Shared.fitsStore(workload::Ledger::submission(Stored)))
    return Refuse(Refusal::TooLarge, "too_large",
                  "the job takes more bytes than can be stored");
  return std::nullopt;
}

void Node::Impl::submit(workload::JobSpec Spec,
                        std::function<void(std::optional<Refusal>)> Done,
                        Millis CallerWaits,
                        std::function<bool()> IsCallerConnected) {
  if (Shared.Ledger.find(Spec.Id)) {
    Shared.count("submissions_repeated");
    return Done(std::nullopt);
  }
  if (Shared.Ledger.unsubmittedCancels().contains(Spec.Id)) {
    Shared.count("submissions_refused_cancelled");
    Shared.log(426, {{"job", Spec.Id},
                     {"queue", Spec.Queue},
                     {"reason", "cancelled_before"}});
    return Done(Refusal{Refusal::Cancelled, CancelledRetryAfter,
                        "the job was cancelled before it was submitted"});
  }
  // A caller that is told that its job never runs relies on that for all copies
  // of the request.
  auto Refuse = [&](Refusal R) {
    if (mayBeStored(Spec.Id)) {
      Shared.count("submissions_unresolved");
      Shared.log(426, {{"job", Spec.Id},
                       {"queue", Spec.Queue},
                       {"reason", "earlier_copy_may_be_stored"}});
      R.Why = Refusal::Unresolved;
      R.Message = "an earlier copy of the request may still be stored";
    }
    Done(std::move(R));
  };
  bool HasGone = IsCallerConnected && !IsCallerConnected();
  if (HasGone || CallerWaits <= Millis(0)) {
    logDropped(Shared, Spec.Id, Spec.Queue,
               HasGone ? "caller_closed" : "waited_too_long");
    return Refuse(abandonedRefusal());
  }
  // Load pattern: the store rejects calls of some daemons and serves the
  // others. Callers must learn at once that nothing was done here, so that they
  // can use a daemon that is served. A daemon that is stopping still serves the
  // callers that reach it.
  if (ControlTopic.failing() || !ControlTopic.fresh(MaxStateAge)) {
    Shared.count("submissions_refused_unavailable");
    Millis Outage = ControlTopic.sinceEndRead();
    Millis RetryDelay = outageRetryDelay(Outage);
    Shared.log(426, {{"job", Spec.Id},
                     {"queue", Spec.Queue},
                     {"reason", "store_unreachable"},
                     {"next", ControlTopic.next()},
                     {"state_age_ms", Outage.count()},
                     {"retry_after_ms", RetryDelay.count()}});
    return Refuse(Refusal{Refusal::Unavailable, RetryDelay,
                          "the store cannot be reached"});
  }
  if (auto Never = refusalForGood(Spec))
    return Done(std::move(Never));
  const workload::Ownership &O = Shared.Ledger.owner();
  MonoTime T = Shared.mono();
  Load L = loadAhead(Spec.Priority);
  if (auto RetryDelay = overloadRetryDelay(Spec, L)) {
    // Spreads the retries of callers that were refused at the same time.
    *RetryDelay += Shared.randomUpTo(*RetryDelay / RetryDelaySpread);
    bool Drained = !L.Workers;
    Shared.count(Drained ? "submissions_refused_drained"
                         : "submissions_refused_overload");
    Shared.log(426, {{"job", Spec.Id},
                     {"queue", Spec.Queue},
                     {"reason", Drained ? "drained" : "backlog"},
                     {"ahead_ms", L.WorkAheadMs},
                     {"workers", L.Workers},
                     {"drained_workers", L.DrainedWorkers},
                     {"drained_for_ms", L.DrainedFor.count()},
                     {"retry_after_ms", RetryDelay->count()},
                     {"epoch", O.Epoch}});
    return Refuse(Refusal{Refusal::Overloaded, *RetryDelay,
                          Drained
                              ? "all data centres are drained"
                              : "the work ahead would make this job too late"});
  }
  AppendState Store = appendState();
  if (auto RetryDelay = slowStoreRetryDelay(Store, CallerWaits)) {
    Shared.count("submissions_refused_unavailable");
    Shared.log(426, {{"job", Spec.Id},
                     {"queue", Spec.Queue},
                     {"reason", "store_slow"},
                     {"append_ms", Store.Latest.count()},
                     {"in_flight_ms", Store.InFlightFor.count()},
                     {"caller_waits_ms", CallerWaits.count()},
                     {"retry_after_ms", RetryDelay->count()}});
    return Refuse(Refusal{Refusal::Overloaded, *RetryDelay,
                          "the store is too slow to store the job in time"});
  }
  Spec.AcceptedMs = Shared.wall();
  KeyValue Record = workload::Ledger::submission(Spec);
  // An acknowledgement means that every daemon knows the job.
  if (auto Readable = workload::Ledger::checkSubmission(Record); !Readable) {
    Shared.count("submissions_refused_invalid");
    Shared.log(426, {{"job", Spec.Id},
                     {"queue", Spec.Queue},
                     {"reason", "unreadable_record"},
                     {"error", Readable.error().toString()}});
    return Refuse(
        Refusal{Refusal::Invalid, Millis(0), "the job cannot be recorded"});
  }
  std::int64_t Work = 0;
  workload::Resources Total = O.MeanCapacity;
  for (const workload::Step &S : Spec.Steps)
    Work = std::min(Work + workload::workerMs(S, Total, 1) * S.Count,
                    workload::MaxWorkMs);
  Submission S{Spec.Id,
               Spec.Queue,
               Spec.Priority,
               Work,
               T,
               T + std::max(Millis(0), CallerWaits - AnswerMargin),
               std::move(Record),
               trackSubmission(Spec.Id, std::move(Done)),
               false,
               std::move(IsCallerConnected)};
  // The owner sends one append at a time: two would only wait for each other.
  if (ActiveOwner && !Stopping)
    ActiveOwner->store(std::move(S));
  else
    Incoming.add(std::move(S));
}

Load Node::Impl::loadAhead(unsigned Priority) {
  const workload::Ownership &O = Shared.Ledger.owner();
  Load L;
  L.Workers = O.Workers;
  MonoTime T = Shared.mono();
  // The owner's record may be older than a withdrawal that was read here.
  if (AllDrainedSince.count()) {
    L.DrainedWorkers = O.DrainedWorkers;
    L.DrainedFor = T - AllDrainedSince;
  }
  std::erase_if(RecentSubmissions, [T](const RecentSubmission &R) {
    return T - R.At > RecentSubmissionAge;
  });
  for (std::size_t P = 0; P < O.BacklogMs.size() && P <= Priority; ++P)
    L.WorkAheadMs =
        std::min(L.WorkAheadMs + O.BacklogMs[P], workload::MaxWorkMs);
  for (const RecentSubmission &R : RecentSubmissions)
    if (R.Priority <= Priority)
      L.WorkAheadMs = std::min(L.WorkAheadMs + R.WorkMs, workload::MaxWorkMs);
  return L;
}

void Node::Impl::updateAllDrained() {
  const workload::Ownership &O = Shared.Ledger.owner();
  if (O.Workers || Shared.Drained.empty())
    AllDrainedSince = {};
  // A new owner publishes neither number until it has reached the workers.
  else if (O.DrainedWorkers && !AllDrainedSince.count())
    AllDrainedSince = Shared.mono();
}

std::function<void(std::optional<Refusal>)>
Node::Impl::trackSubmission(const std::string &Id,
                            std::function<void(std::optional<Refusal>)> Done) {
  MonoTime T = Shared.mono();
  std::erase_if(OpenSubmissions, [T](const auto &Entry) {
    return !Entry.second.Unanswered && T > Entry.second.MayBeStoredUntil;
  });
  ++OpenSubmissions[Id].Unanswered;
  return [this, Alive = Alive, Id,
          Done = std::move(Done)](const std::optional<Refusal> &R) {
    if (*Alive) {
      OpenSubmission &Open = OpenSubmissions[Id];
      Open.Unanswered -= Open.Unanswered > 0;
      if (R && R->Why == Refusal::Unresolved)
        Open.MayBeStoredUntil = Shared.mono() + MaxAppendDelay;
    }
    Done(R);
  };
}

bool Node::Impl::mayBeStored(std::string_view Id) const {
  auto It = OpenSubmissions.find(Id);
  return It != OpenSubmissions.end() &&
         (It->second.Unanswered ||
          Shared.mono() <= It->second.MayBeStoredUntil);
}

AppendState Node::Impl::appendState() const {
  if (ActiveOwner && !Stopping)
    return ActiveOwner->appendState();
  AppendState Store = Incoming.appendState();
  // The owner appends all the time, so its figure is the more recent one.
  if (Shared.mono() - OwnerRecordReadAt <= MaxOwnerFigureAge)
    Store.Latest = Millis(Shared.Ledger.owner().AppendMs);
  return Store;
}

void Node::Impl::applyRecord(const KeyValue &Record) {
  if (auto Applied = Shared.Ledger.applyExceptProgress(Record); !Applied)
    Shared.log(405,
               {{"key", Record.Key}, {"reason", Applied.error().toString()}});
}

void Node::Impl::onSubmissionStored(const Submission &S, std::uint64_t Offset) {
  Shared.recordLatency("submission_stored", S.Priority,
                       Shared.mono() - S.Started);
  // Makes the job visible here at once; other daemons read it from the topic.
  if (ControlTopic.following())
    applyRecord(S.Record);
  if (S.Cancels) {
    if (ActiveOwner)
      ActiveOwner->jobChanged(S.Job);
    Shared.count("cancels_accepted");
    return Shared.log(427, {{"job", S.Job}, {"stored", true}});
  }
  RecentSubmissions.push_back({Shared.mono(), S.Priority, S.WorkMs});
  if (ActiveOwner)
    ActiveOwner->jobChanged(S.Job);
  Shared.count("submissions_accepted");
  Shared.log(425, {{"job", S.Job},
                   {"queue", S.Queue},
                   {"offset", Offset},
                   {"stored_ms", (Shared.mono() - S.Started).count()}});
}

StatusResult Node::Impl::status(std::string_view Id) const {
  if (const Job *J = Shared.Ledger.find(Id)) {
    bool Final = J->visibleState() > JobState::Running;
    bool Current = Final || ControlTopic.covers(Shared.mono() - MaxStatusAge);
    return {Lookup::Found, J->visibleState(), Current};
  }
  // Counted from the time at which the read was sent, because a process that
  // was suspended receives old answers when it resumes.
  bool Recent = ControlTopic.covers(Shared.mono() - MaxStateAge);
  return {Recent ? Lookup::Unknown : Lookup::Stale, JobState::Queued};
}

void Node::Impl::cancel(std::string_view Id, std::function<void(Lookup)> Done) {
  const Job *J = Shared.Ledger.find(Id);
  if (!J) {
    if (!mayCancelUnknown()) {
      Shared.count("cancels_refused");
      return Done(Lookup::Refused);
    }
    // Another daemon may have just accepted it, so the topic has to be read
    // first.
    UnknownCancels.push_back({std::string(Id), Shared.mono(), std::move(Done)});
    return;
  }
  if (J->endStored() || J->CancelRequested)
    return Done(Lookup::Found);
  auto Record = workload::Ledger::cancellation(Id, Shared.wall());
  Shared.count("store_appends");
  Shared.Actions.push_back(AppendAction{
      {Record},
      std::nullopt,
      StoreTimeout,
      [this, Alive = Alive, Record, Done = std::move(Done),
       Id = std::string(Id)](const AppendResult &R) {
        if (!*Alive)
          return;
        bool Stored = R.Verdict == AppendVerdict::Appended;
        Shared.count(Stored ? "cancels_accepted" : "cancels_failed");
        Shared.log(427, {{"job", Id}, {"stored", Stored}});
        if (!Stored)
          return Done(R.Verdict == AppendVerdict::Unresolved
                          ? Lookup::Unresolved
                          : Lookup::Stale);
        if (ControlTopic.following())
          applyRecord(Record);
        if (ActiveOwner)
          ActiveOwner->jobChanged(Id);
        Done(Lookup::Found);
      }});
}

bool Node::Impl::mayCancelUnknown() {
  MonoTime T = Shared.mono();
  double Seconds =
      std::chrono::duration<double>(T - std::exchange(CancelTokensAt, T))
          .count();
  CancelTokens = std::min(MaxUnknownCancelBurst,
                          CancelTokens + Seconds * MaxUnknownCancelsPerSecond);
  if (CancelTokens < 1 ||
      Shared.Ledger.unsubmittedCancels().size() >= MaxUnsubmittedCancels)
    return false;
  CancelTokens -= 1;
  return true;
}

/// A caller that is told that the job is unknown relies on its not running, but
/// its submission may still arrive: it may be in a frozen daemon, on a slow
/// connection, or in an append that the store carries out late.
void Node::Impl::cancelUnknown(UnknownCancel U) {
  MonoTime T = Shared.mono();
  Submission S;
  S.Job = U.Job;
  S.Started = T;
  S.AnswerBy = T + StoreTimeout;
  S.Record = workload::Ledger::cancellation(U.Job, Shared.wall());
  S.Cancels = true;
  S.Done = [this, Alive = Alive, Id = U.Job,
            Done = std::move(U.Done)](const std::optional<Refusal> &NotStored) {
    if (!*Alive)
      return;
    if (NotStored)
      return Done(NotStored->Why == Refusal::Unresolved ? Lookup::Unresolved
                                                        : Lookup::Stale);
    Done(Shared.Ledger.find(Id) ? Lookup::Found : Lookup::Unknown);
  };
  if (ActiveOwner && !Stopping)
    ActiveOwner->store(std::move(S));
  else
    Incoming.add(std::move(S));
}

void Node::Impl::resolveCancels() {
  if (UnknownCancels.empty())
    return;
  MonoTime T = Shared.mono();
  auto All = std::exchange(UnknownCancels, {});
  for (UnknownCancel &U : All) {
    if (Shared.Ledger.find(U.Job))
      cancel(U.Job, std::move(U.Done));
    else if (ControlTopic.covers(U.Since))
      cancelUnknown(std::move(U));
    else if (T - U.Since > JobLookupTimeout)
      U.Done(Lookup::Stale);
    else
      UnknownCancels.push_back(std::move(U));
  }
}

std::string Node::Impl::forwardTarget() const {
  const workload::Ownership &O = Shared.Ledger.owner();
  if (ActiveOwner || O.Released || O.Daemon == Shared.Settings.Name)
    return {};
  // The owner's records serve as its heartbeat while they can be read.
  Millis Timeout = ForwardOwnerTimeout + 2 * ownerAppendTime();
  bool Silent = Shared.mono() - OwnerRecordReadAt > Timeout;
  return Silent && ControlTopic.fresh(Timeout) ? "" : O.Address;
}

void Node::Impl::recordForwarded(std::string_view Path, std::string_view Peer,
                                 PeerAnswer How, Millis Took) {
  const workload::Ownership &O = Shared.Ledger.owner();
  // An owner that answers late has waited for a slow store, as its successor
  // would.
  if (How == PeerAnswer::NotHandled && Took <= MaxPromptRefusal &&
      Peer == O.Address && OwnerNotHandledAt <= OwnerRecordReadAt)
    OwnerNotHandledAt = Shared.mono();
  Shared.count("requests_passed_on");
  Shared.log(438, {{"path", Path},
                   {"peer", Peer},
                   {"how", name(How)},
                   {"took_ms", Took.count()},
                   {"epoch", O.Epoch}});
}

std::optional<std::size_t> Node::Impl::waiting(std::string_view Queue) const {
  if (!ControlTopic.fresh(MaxStateAge))
    return std::nullopt;
  std::size_t Count = 0;
  for (const auto &[Id, J] : Shared.Ledger.jobs())
    Count += J.HasSubmission && J.Spec.Queue == Queue &&
             J.State == JobState::Queued && !J.CancelRequested;
  return Count;
}

} // namespace heathersaddle::cluster
