// A sync renews the lease of all runs on a worker, returns when a run ends, and
// lists all runs and ends, so that each answer corrects the owner's state.
// Further copies of it are sent if it is not answered in time (CopyPacing.cpp).
#include "Owner.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// Longest time that a worker waits for the end of a run before it answers a
/// sync. It bounds the age of checkpoints and of the percentages by which
/// stalled and slow runs are detected.
static constexpr Millis MaxSyncWait{800};
/// Longest wait while urgent work runs there: it has about a second of slack,
/// within which a slow worker or a lost end must be detected.
static constexpr Millis MaxUrgentSyncWait{500};
/// Longest wait for this long after a call to the worker had no answer: whether
/// the sync is lost, too, shows only after the wait.
static constexpr Millis MaxLossyPathWait{200};
static constexpr Millis LossyPathTime{3'000};
/// Added to the wait of a sync for its timeout: covers two network round trips
/// and a slow daemon.
static constexpr Millis SyncTimeoutMargin{600};
/// A worker that has failed a sync and answers nothing else gets one more copy
/// only, unless many workers leave calls unanswered.
static constexpr unsigned MaxCopiesToSilentWorker = 2;
static constexpr double LowLoss = 0.1;
static constexpr Millis FirstSyncCopyDelay{600};
static constexpr Millis MinSyncCopyTime{50};
/// While many workers leave calls unanswered, a worker of which a sync failed
/// is still heard of for this long after the latest sync that it answered.
static constexpr Millis MaxReportGap{2'500};
/// A worker that has answered no call of this time is silent. If it only leaves
/// a share of the calls unanswered, this hardly happens.
static constexpr Millis SilentAfter = OrderTime;
/// A lease that ends within one part in this many of its longest duration is
/// renewed before other calls are made.
static constexpr int RenewalMarginDivisor = 2;
/// A worker without runs needs no sync until a start is sent to it.
static constexpr Millis IdleSyncPeriod{30'000};
/// While a lease cannot be renewed in full, a sync may take up to one part in
/// this many of the rest of it, so that a renewal follows soon once it can.
static constexpr int SyncsPerLeaseRest = 4;
static constexpr Millis MinRenewalWait{100};
/// Added to the longest duration of a stop before an unlisted run counts as
/// ended.
static constexpr Millis StopMargin{300};
/// Longest delay of a sync until the ends that it acknowledges are stored.
static constexpr Millis MaxAckDelay{500};
/// Size limit of a worker's list of ends; a full list may be incomplete.
static constexpr std::size_t MaxListedEnds = 500;
/// A worker that is not heard of any more gets no new work for this long.
static constexpr Millis AvoidAfterNoAnswer{1'500};

std::optional<MonoTime> Owner::leaseEnd() const {
  // The next owner expects no leases from after the release.
  if (RecordWriter.releaseSent())
    return std::nullopt;
  MonoTime T = Shared.mono();
  MonoTime End = Leases.endOfGrant(T, RecordWriter.confirmedAt());
  return End > T ? std::optional(End) : std::nullopt;
}

std::optional<std::int64_t> Owner::grantLease(Session &S) {
  auto End = leaseEnd();
  if (!End)
    return std::nullopt;
  S.LeaseEndsAt = std::max(S.LeaseEndsAt, *End);
  S.LatestGrantAt = Shared.mono();
  return S.ClockMs + Leases.onWorkerClock(S.ClockReadAt, *End).count();
}

void Owner::sync(const std::string &Id, Session &S) {
  MonoTime T = Shared.mono();
  // The worker's clock is unknown before its first answer. A worker that is not
  // heard of gets no longer lease: the call could arrive late, so each attempt
  // would postpone the time at which its runs may run elsewhere.
  bool First = !S.Synced || S.ClockMs < 0;
  S.SyncLeaseUntilMs = -1;
  if (!First && !S.Runs.empty() && isHeardOf(S)) {
    S.SyncLeaseUntilMs = grantLease(S).value_or(-1);
    S.SyncLeaseEndsAt = S.LeaseEndsAt;
  }
  // Each incarnation numbers its ends from the beginning. An acknowledgement
  // that the worker has received is not sent again: after an unnoticed restart
  // it would acknowledge ends that the owner has not read.
  S.SyncAcknowledgesTo =
      !First && S.LastStoredEnd > S.LastAcknowledgedEnd ? S.LastStoredEnd : 0;
  Millis Wait = First ? Millis(0) : syncWait(S);
  S.SyncInFlight = true;
  S.SyncNumber = ++LatestCall;
  S.SyncSentAt = T;
  double Loss = std::max(lossOf(S), Losses.share(0));
  bool Silent = S.SyncFailures && isSilent(S) && Loss < LowLoss;
  S.MaxSyncCopies = Silent ? MaxCopiesToSilentWorker : syncCopies(Loss);
  Millis CopiesTime = S.Pacing.syncTime(S.MaxSyncCopies, Loss);
  S.SyncEndsAt =
      T + (First ? std::max(FirstSyncTimeout, FirstSyncCopyDelay + CopiesTime)
                 : Wait + std::max(SyncTimeoutMargin, CopiesTime));
  S.SyncCopies = S.SyncCopiesInFlight = 0;
  sendSync(Id, S, Wait);
  // Whether a sync of which the worker delays the answer is lost shows only
  // later. If that is likely, a copy tells sooner what has become of orders.
  S.OrdersPending = hasPendingOrders(S);
  if (S.OrdersPending && Loss >= LowLoss)
    Wait = Millis(0);
  S.NextSyncCopyAt =
      T + Wait + (First ? FirstSyncCopyDelay : S.Pacing.interval(1, Loss));
}

bool Owner::hasPendingOrders(const Session &S) {
  return std::any_of(S.Runs.begin(), S.Runs.end(), [](const auto &Run) {
    return Run.second.Stage == RunStage::Starting ||
           Run.second.Stage == RunStage::Stopping;
  });
}

bool Owner::mayCopySync(const Session &S) const {
  return S.SyncCopies < S.MaxSyncCopies &&
         S.SyncEndsAt - Shared.mono() >= MinSyncCopyTime;
}

void Owner::copySync(const std::string &Id, Session &S) {
  MonoTime T = Shared.mono();
  if (!mayCopySync(S)) {
    // The last copy to end completes the sync.
    if (!S.SyncCopiesInFlight)
      failSync(Id, S);
    return;
  }
  bool Renews = S.SyncLeaseUntilMs >= 0 &&
                S.HeldLeaseEndsAt - T < Leases.longest() / RenewalMarginDivisor;
  if (!Budget.allows(Renews ? CallBudget::Purpose::Renewal
                            : CallBudget::Purpose::Report,
                     S.CallsInFlight, T))
    return noteHeldBack(S.SyncCopyHeldBack, "sync_copies_held_back",
                        SyncCopiesHeldBack);
  sendSync(Id, S, Millis(0));
  // Copies that are not urgent are sent at the usual rate.
  double Loss =
      Renews || S.OrdersPending ? std::max(lossOf(S), Losses.share(0)) : 0;
  S.NextSyncCopyAt = T + S.Pacing.interval(S.SyncCopies - 1, Loss);
}

/// Copies renew the lease up to the same time as the first one, so that the
/// runs of a silent worker need not be awaited for longer. They carry no
/// acknowledgement: after an unnoticed restart, each late one would acknowledge
/// ends that the owner has not read.
void Owner::sendSync(const std::string &Id, Session &S, Millis Wait) {
  MonoTime T = Shared.mono();
  bool Copy = S.SyncCopies++ > 0;
  S.SyncCopyHeldBack = false;
  ++S.SyncCopiesInFlight;
  // The first ones are not counted, as nearly every worker has one in flight.
  if (Copy) {
    ++S.CallsInFlight;
    Budget.sent();
  }
  SyncAction A;
  A.Worker = {S.Entry.Id, S.Entry.Address};
  A.Epoch = Epoch;
  A.LeaseUntilMs = S.SyncLeaseUntilMs;
  A.AcknowledgedTo = Copy ? 0 : S.SyncAcknowledgesTo;
  A.Wait = Wait;
  A.TimeLimit =
      std::min(S.SyncEndsAt - T,
               Copy ? S.Pacing.timeLimit()
                    : Wait + std::max(SyncTimeoutMargin, S.Pacing.timeLimit()));
  Shared.count("worker_syncs");
  recordCall(S, T + Wait);
  A.Done = [this, Alive = Alive, Id, Copy, Number = S.SyncNumber,
            DueAt = T + Wait](const WorkerReply &R) {
    if (!*Alive)
      return;
    if (Copy)
      Budget.ended();
    if (auto It = Sessions.find(Id); It != Sessions.end()) {
      It->second.CallsInFlight -= Copy && It->second.CallsInFlight;
      recordAnswer(It->second, R.Verdict, DueAt);
    }
    onSynced(Id, Number, Copy, R);
  };
  Shared.Actions.push_back(std::move(A));
}

bool Owner::isHeardOf(const Session &S) const {
  return !S.SyncFailures || (Losses.share(0) >= LowLoss &&
                             Shared.mono() - S.KnownAliveAt <= MaxReportGap);
}

bool Owner::isSilent(const Session &S) const {
  return S.UnansweredSince.count() &&
         Shared.mono() - S.UnansweredSince > SilentAfter;
}

double Owner::lossOf(const Session &S) const {
  return isSilent(S) ? 0 : S.Losses.share(Losses.share(0));
}

void Owner::recordCall(Session &S, MonoTime DueAt) {
  if (!S.UnansweredSince.count())
    S.UnansweredSince = DueAt;
}

void Owner::recordAnswer(Session &S, WorkerVerdict V, MonoTime DueAt) {
  MonoTime T = Shared.mono();
  bool Lost = V == WorkerVerdict::NoAnswer;
  if (Lost || V == WorkerVerdict::NotDelivered) {
    MonoTime SilentBy = std::min(T, std::max(DueAt, S.LatestAnswerAt));
    S.SilentSince = std::min(S.SilentSince.value_or(SilentBy), SilentBy);
  }
  if (V == WorkerVerdict::NotDelivered)
    return;
  S.Losses.record(Lost);
  if (Lost) {
    ++S.LossesSinceAnswer;
    S.LatestLossAt = T;
    return;
  }
  // Calls to workers that have failed tell nothing about the others, so lost
  // calls count once the worker has answered again soon.
  unsigned Lately = std::exchange(S.LossesSinceAnswer, 0);
  for (; Lately && !isSilent(S); --Lately)
    Losses.record(true);
  Losses.record(false);
  S.UnansweredSince = {};
  S.Pacing.answered(std::max(Millis(0), T - DueAt));
}

void Owner::noteAnswer(Session &S) {
  S.LatestAnswerAt = Shared.mono();
  S.SilentSince = std::nullopt;
}

Millis Owner::syncWait(const Session &S) const {
  if (S.Runs.empty())
    return Millis(0);
  // Stopping a run that never arrived produces no end, so the lists are
  // requested when the stop must have completed.
  Millis Wait = MaxSyncWait;
  if (S.LatestLossAt.count() && Shared.mono() - S.LatestLossAt < LossyPathTime)
    Wait = MaxLossyPathWait;
  if (auto End = leaseEnd())
    Wait = std::clamp((*End - Shared.mono()) / SyncsPerLeaseRest,
                      MinRenewalWait, Wait);
  for (const auto &[Id, R] : S.Runs) {
    const Job *J = Shared.Ledger.find(Id.Task.Job);
    if (J && J->Spec.Priority == 0)
      Wait = std::min(Wait, MaxUrgentSyncWait);
    if (auto Longest = suspectWait(S, R, Id))
      Wait = std::min(Wait, *Longest);
    if (R.Stage == RunStage::Stopping && R.StopConfirmed)
      Wait =
          std::min(Wait, std::max(Millis(0), R.ConfirmedAt +
                                                 Shared.Settings.MaxStopTime +
                                                 StopMargin - Shared.mono()));
  }
  return Wait;
}

bool Owner::clockRestarted(const Session &S, const WorkerReply &R,
                           MonoTime SentAt) const {
  return R.ClockMs >= 0 && R.ClockMs < S.ClockMs && SentAt >= S.ClockReadAt;
}

void Owner::updateClock(Session &S, const WorkerReply &R) {
  if (R.ClockMs < 0)
    return;
  // Answers on different connections may arrive out of order.
  MonoTime T = Shared.mono();
  if (S.ClockMs < 0 || R.ClockMs >= S.ClockMs) {
    S.ClockMs = R.ClockMs;
    S.ClockReadAt = T;
  }
}

bool Owner::endsSession(Session &S, WorkerVerdict V,
                        const std::string &Address) {
  if (V == WorkerVerdict::Fenced) {
    depose("a worker has seen a later epoch");
    return true;
  }
  // An address at which the worker has never answered may not be its own.
  if (V != WorkerVerdict::OtherIncarnation || !S.Confirmed ||
      Address != S.Entry.Address)
    return false;
  S.Synced = false;
  S.Listed = false;
  recordCrash(S, runsPresent(S));
  markRunsLost(S, "another worker has its address");
  return true;
}

void Owner::failSync(const std::string &Id, Session &S) {
  MonoTime T = Shared.mono();
  S.SyncInFlight = false;
  S.SyncNumber = 0;
  ++S.SyncFailures;
  S.NextSyncAt = T + Shared.jitter(SyncRetryDelay);
  if (!isHeardOf(S))
    S.AvoidUntil = std::max(S.AvoidUntil, T + AvoidAfterNoAnswer);
  if (S.SyncFailures == 2)
    Shared.log(407, {{"worker", Id}, {"runs", S.Runs.size()}});
}

void Owner::onSynced(const std::string &Id, std::uint64_t Number, bool Copy,
                     const WorkerReply &R) {
  auto It = Sessions.find(Id);
  if (It == Sessions.end() || It->second.SyncNumber != Number)
    return;
  Session &S = It->second;
  --S.SyncCopiesInFlight;
  // A worker always names its incarnation.
  bool Answered = R.Verdict == WorkerVerdict::Ok && R.ProcessStartMs > 0;
  if (R.Verdict == WorkerVerdict::NoAnswer &&
      (S.SyncCopiesInFlight || mayCopySync(S)))
    return;
  if (R.Verdict == WorkerVerdict::NotDelivered && S.SyncCopiesInFlight)
    return;
  S.SyncInFlight = false;
  S.SyncNumber = 0;
  if (endsSession(S, R.Verdict, S.Entry.Address))
    return;
  if (!Answered)
    return failSync(Id, S);
  MonoTime T = Shared.mono();
  std::string Address = S.Entry.Address;
  bool AnsweredBefore = S.Synced && S.Confirmed;
  settleIncarnation(S, R.ProcessStartMs, Address, Number);
  S.Confirmed = S.Entry.Address == Address;
  if (S.SyncFailures >= 2)
    Shared.log(411, {{"worker", Id}, {"runs", S.Runs.size()}});
  S.SyncFailures = 0;
  noteAnswer(S);
  if (S.SyncLeaseUntilMs >= 0)
    S.HeldLeaseEndsAt = S.SyncLeaseEndsAt;
  S.KnownAliveAt = std::max(S.KnownAliveAt, S.SyncSentAt);
  if (!Copy)
    S.LastAcknowledgedEnd =
        std::max(S.LastAcknowledgedEnd, S.SyncAcknowledgesTo);
  S.SyncAcknowledgesTo = 0;
  updateClock(S, R);
  forgetLapsedRuns(S);
  bool First = !S.Synced;
  S.Synced = true;
  // From its answer on, the worker refuses calls of earlier owners.
  S.LeaseEndsAt = std::min(S.LeaseEndsAt, T + Leases.longest());
  if (First)
    findRunsOfEarlierIncarnation(S, R);
  // When its entry was read, the leases may not have expired yet.
  if (S.Confirmed && !AnsweredBefore)
    recordCrashesOfFormerWorkers(S);
  for (const EndedTask &E : R.Ended)
    if (E.Number > S.LastHandledEnd) {
      onEndReported(S, E);
      if (Deposed)
        return;
    }
  std::uint64_t NewestEnd = S.LastStoredEnd;
  for (const EndedTask &E : R.Ended)
    NewestEnd = std::max(NewestEnd, E.Number);
  S.LastHandledEnd = std::max(S.LastHandledEnd, NewestEnd);
  std::set<RunId> Listed;
  for (const RunningTask &Task : R.Running) {
    Listed.insert({Task.Task, Task.Run});
    onRunReported(S, Task, R.ClockMs);
  }
  if (R.Ended.size() < MaxListedEnds) {
    std::vector<RunId> UnlistedRuns;
    for (auto &[Run, State] : S.Runs) {
      if (Listed.contains(Run))
        continue;
      // A run that is being stopped may be in neither list and still holds its
      // resources.
      Millis StopDuration = State.Stage == RunStage::Stopping
                                ? Shared.Settings.MaxStopTime + StopMargin
                                : Millis(0);
      bool Confirmed =
          State.Stage == RunStage::Confirmed ||
          (State.Stage == RunStage::Stopping && State.StopConfirmed);
      if (Confirmed && State.ConfirmedAt + StopDuration < S.SyncSentAt)
        UnlistedRuns.push_back(Run);
    }
    for (const RunId &Run : UnlistedRuns) {
      if (S.Runs[Run].Stage == RunStage::Confirmed)
        Shared.log(412,
                   {{"worker", Id}, {"job", Run.Task.Job}, {"run", Run.Run}});
      finishRun(Run, EndReason::LeaseExpired, S.Runs[Run].Checkpoint, S);
    }
  }
  if (NewestEnd > S.LastStoredEnd) {
    // A later sync acknowledges the ends, once their effect is stored.
    S.NextSyncAt = T + MaxAckDelay;
    // All ends that are not acknowledged are listed, so it is acknowledged only
    // with the ends before it.
    std::set<std::string> Jobs;
    for (const EndedTask &E : R.Ended)
      Jobs.insert(E.Task.Job);
    RecordWriter.afterStored(
        {Jobs.begin(), Jobs.end()},
        [this, Id, NewestEnd, ProcessStartMs = S.Entry.ProcessStartMs] {
          auto Found = Sessions.find(Id);
          if (Found == Sessions.end() ||
              Found->second.Entry.ProcessStartMs != ProcessStartMs)
            return;
          Found->second.LastStoredEnd =
              std::max(Found->second.LastStoredEnd, NewestEnd);
          Found->second.NextSyncAt = Shared.mono();
        });
  } else if (S.Runs.empty() && !First) {
    S.NextSyncAt = T + IdleSyncPeriod;
  } else {
    S.NextSyncAt = T;
  }
  if (First)
    PlanNeeded = true;
}

void Owner::onRunReported(Session &S, const RunningTask &T,
                          std::int64_t ClockMs) {
  RunId Id{T.Task, T.Run};
  auto It = S.Runs.find(Id);
  if (It == S.Runs.end()) {
    // Started by an earlier owner or by a start that was carried out late.
    RunState R;
    const Job *J = Shared.Ledger.find(T.Task.Job);
    if (J && J->Spec.has(T.Task.Key))
      R.Room = J->Spec.Steps[T.Task.Key.Step].room();
    R.Stage = RunStage::Stopping;
    R.MayHaveArrived = true;
    R.PlacedAt = Shared.mono();
    Shared.log(413,
               {{"worker", S.Entry.Id}, {"job", T.Task.Job}, {"run", T.Run}});
    S.Runs.emplace(Id, std::move(R));
    return;
  }
  RunState &R = It->second;
  MonoTime Time = Shared.mono();
  markBegun(T.Task.Job);
  if (!T.Checkpoint.empty() && T.Checkpoint != R.Checkpoint) {
    R.Checkpoint = T.Checkpoint;
    R.CheckpointAt = Time;
  }
  if (!R.FirstPercent) {
    R.FirstPercent = T.Percent;
    R.FirstPercentAt = Time;
    R.ProgressAt = Time;
    R.Percent = T.Percent;
  }
  const Job *J = Shared.Ledger.find(T.Task.Job);
  if (J && R.AllMembersConfirmed)
    R.Speed.sample(T.Percent, Time,
                   Rates.of(stepOf(T.Task), J->Spec.Queue, T.Run));
  if (T.Percent != R.Percent) {
    R.Percent = T.Percent;
    R.ProgressAt = Time;
  }
  if (R.Stage == RunStage::Starting)
    onConfirmed(S, R, Id);
  noteAtWork(S, R, Id, ClockMs);
}

void Owner::onEndReported(Session &S, const EndedTask &T) {
  RunId Id{T.Task, T.Run};
  S.LastHandledEnd = std::max(S.LastHandledEnd, T.Number);
  if (T.Reason == EndReason::Done) {
    S.FailedJobs.clear();
    observeEnd(S, Id);
  } else if (T.Reason == EndReason::Failed) {
    S.FailedJobs.insert(T.Task.Job);
  }
  markBegun(T.Task.Job);
  finishRun(Id, T.Reason, T.Checkpoint, S);
}

} // namespace heathersaddle::cluster
