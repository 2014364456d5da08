// Keeps a session with each worker (OwnerSyncs.cpp makes the calls). The runs
// of a worker that does not answer stay placed there until its last lease must
// have expired; only then may they run elsewhere.
#include "Owner.h"

namespace heathersaddle::cluster {

/// Calls without an answer have been seen to be carried out up to 12 s later.
static constexpr Millis MaxCallDelay{15'000};
/// Added to the latest end of a lease: time for the worker to stop its runs.
static constexpr Millis LeaseMargin{300};
static constexpr Millis AvoidAfterStalledRun{10'000};
/// A worker that has crashed is back within this time after the lease of its
/// runs.
static constexpr Millis MaxRestartTime{30'000};
/// How often all runs are checked for stalled and slow ones and for draining
/// workers; a pass over all runs costs time.
static constexpr Millis RunCheckPeriod{200};

Owner::Owner(Core &C, std::uint64_t Epoch, std::uint64_t Sequence,
             MonoTime ClaimedAt, MonoTime FormerLeasesEnd)
    : Shared(C), Epoch(Epoch), RecordWriter(C, Epoch, Sequence, ClaimedAt),
      Registry(C, "registry", FollowerReadInterval,
               maxAgeForStarts(C.Settings.WorkerDrainNotice)),
      Crashes(C.mono()), Budget(callLimits(C.Settings)),
      Leases(C.Settings.MaxLease), FormerLeasesEnd(FormerLeasesEnd) {
  RecordWriter.OnDeposed = [this](std::string_view Reason) { depose(Reason); };
  RecordWriter.FillHeartbeat = [this](workload::Ownership &O) {
    publishLoad(O);
  };
  Registry.OnReset = [this] { ListedWorkers.clear(); };
  Registry.OnEntry = [this](RegistryChange &&Change) {
    if (!Registry.following())
      ListedWorkers.insert(Change.Worker);
    onRegistryChange(std::move(Change));
  };
  Registry.OnComplete = [this] {
    for (auto &[Id, S] : Sessions)
      if (!ListedWorkers.contains(Id)) {
        S.Listed = false;
        S.Claims.clear();
      }
  };
  for (const auto &[Id, J] : Shared.Ledger.jobs())
    if (J.HasSubmission)
      jobChanged(Id);
  // Workers that hold runs but are not listed any more still need a session,
  // because their leases may not have expired yet.
  for (const auto &[Id, J] : Shared.Ledger.jobs())
    for (const auto &[K, T] : J.Tasks)
      if (T.Phase == TaskPhase::Placed && !Sessions.contains(T.Worker))
        adoptRecordedRuns(
            recordedWorker(T.Worker, T.WorkerStartMs, T.WorkerAddress));
  adoptLapsedRuns();
}

Session &Owner::recordedWorker(const std::string &Id,
                               std::int64_t ProcessStartMs,
                               const std::string &Address) {
  auto [It, New] = Sessions.try_emplace(Id);
  Session &S = It->second;
  if (!New)
    return S;
  S.Entry.Id = Id;
  S.Entry.ProcessStartMs = ProcessStartMs;
  // The run was placed there after the worker had answered. If another worker
  // answers now, the run has ended.
  S.Entry.Address = Address;
  S.Confirmed = !Address.empty();
  S.Described = false;
  S.Listed = false;
  S.LeaseEndsAt = FormerLeasesEnd;
  return S;
}

Owner::~Owner() {
  *Alive = false;
  // What a former owner estimated says nothing about the workers now.
  Shared.Stats.Gauges.clear();
}

void Owner::depose(std::string_view Reason) {
  if (Deposed)
    return;
  Deposed = true;
  OnDeposed(Reason);
}

/// Takes over the runs that earlier owners recorded as placed on this worker.
/// Their starts may not have been sent; sending them again is harmless.
void Owner::adoptRecordedRuns(Session &S) {
  for (const auto &[Id, J] : Shared.Ledger.jobs()) {
    if (!J.HasSubmission)
      continue;
    for (const auto &[K, T] : J.Tasks) {
      if (T.Phase != TaskPhase::Placed || T.Worker != S.Entry.Id)
        continue;
      RunId Run{{Id, K}, T.Run};
      if (S.Runs.contains(Run))
        continue;
      RunState R;
      R.Room = J.Spec.Steps[K.Step].room();
      R.WorkerStartMs = T.WorkerStartMs;
      R.Stage = J.ended() ? RunStage::Stopping : RunStage::Starting;
      R.Adopted = true;
      R.MayHaveArrived = true;
      R.MayHaveBegun = J.State != JobState::Queued;
      R.StartAttempts = 1;
      R.PlacedAt = R.StartingSince = Shared.mono();
      // Waits for the worker's first list before the start is sent again.
      R.RetryAt = Shared.mono() + SyncRetryDelay;
      R.ProgressAt = Shared.mono();
      S.Runs.emplace(Run, std::move(R));
    }
  }
}

/// A deadline is a point of time on the clock of one incarnation. The clock of
/// the next one begins anew, so that it takes a late grant for a full lease
/// from then on.
MonoTime Owner::silentRunsEndAt(const Session &S) const {
  if (!S.StrayGrantsUntil.count())
    return S.LeaseEndsAt;
  return std::max(S.LeaseEndsAt, S.StrayGrantsUntil + Leases.longest());
}

bool Owner::isConfirmed() {
  MonoTime T = Shared.mono();
  MonoTime ConfirmedAt = RecordWriter.confirmedAt();
  bool Confirmed = Leases.endOfGrant(T, ConfirmedAt) > T;
  if (Confirmed != std::exchange(WasConfirmed, Confirmed))
    Shared.log(
        Confirmed ? 444 : 443,
        {{"epoch", Epoch}, {"confirmed_before_ms", (T - ConfirmedAt).count()}});
  return Confirmed;
}

/// Resets the session for a new incarnation, which has no state of the earlier
/// one and numbers its ends from the beginning.
void Owner::onWorkerRestarted(Session &S, std::int64_t ProcessStartMs) {
  // Runs that the new incarnation may have started, or may still start, must be
  // stopped there before their tasks run elsewhere: starts without an answer,
  // and those confirmed after the earlier incarnation was last known to be
  // running.
  std::set<RunId> Crashed = runsPresent(S);
  // Recorded by an earlier owner, which knew this incarnation already.
  std::erase_if(Crashed, [&](const RunId &Id) {
    return S.Runs[Id].WorkerStartMs == ProcessStartMs;
  });
  recordCrash(S, Crashed);
  std::map<RunId, RunState> MayArrive;
  for (auto It = S.Runs.begin(); It != S.Runs.end();) {
    auto Run = It++;
    const RunState &R = Run->second;
    if (R.Stage == RunStage::Stopping ||
        (R.Stage == RunStage::Starting && R.MayHaveArrived) ||
        (R.Stage == RunStage::Confirmed && R.ConfirmedAt >= S.KnownAliveAt))
      MayArrive.insert(S.Runs.extract(Run));
  }
  markRunsLost(S, "the worker has restarted");
  for (const auto &[Id, SentAt] : S.UnansweredStarts) {
    RunState &R = MayArrive[Id];
    R.MayHaveArrived = true;
  }
  S.Entry.ProcessStartMs = ProcessStartMs;
  S.IncarnationSeenAt = S.KnownAliveAt = Shared.mono();
  if (S.LatestGrantAt.count())
    S.StrayGrantsUntil = std::exchange(S.LatestGrantAt, {}) + MaxCallDelay;
  for (auto &[Id, R] : MayArrive) {
    R.Stage = RunStage::Stopping;
    R.Crashed = true;
    R.StopConfirmed = false;
    R.RetryAt = S.IncarnationSeenAt;
  }
  S.Runs.merge(MayArrive);
  CallsDue = true;
  S.LastHandledEnd = S.LastStoredEnd = S.LastAcknowledgedEnd =
      S.SyncAcknowledgesTo = 0;
  S.ClockMs = -1;
  S.HeldLeaseEndsAt = {};
  S.FailedJobs.clear();
  S.Speed = {};
  S.LeavesAt = {};
  // The worker gets no work before its clock is known.
  abandonSync(S);
  S.ProbeNumber = 0;
}

/// Called when all runs of this incarnation have certainly ended.
void Owner::markRunsLost(Session &S, std::string_view Why) {
  auto Runs = S.Runs;
  for (const auto &[Id, R] : Runs) {
    Shared.log(414, {{"worker", S.Entry.Id},
                     {"job", Id.Task.Job},
                     {"run", Id.Run},
                     {"reason", Why}});
    finishRun(Id, EndReason::LeaseExpired, R.Checkpoint, S);
  }
  PlanNeeded = true;
}

std::vector<Owner::MemberProgress> Owner::gangProgress(const Job &J,
                                                       const RunId &Run) const {
  std::vector<MemberProgress> Members;
  TaskKey K = Run.Task.Key;
  for (K.Index = 0; K.Index < J.Spec.Steps[K.Step].Count; ++K.Index) {
    auto On = Sessions.find(J.task(K).Worker);
    if (On == Sessions.end() || On->second.SyncFailures)
      return {};
    auto Member = On->second.Runs.find({{Run.Task.Job, K}, Run.Run});
    if (Member == On->second.Runs.end() ||
        Member->second.Stage != RunStage::Confirmed)
      return {};
    Members.push_back(
        {{Member->second.Percent, Member->second.ProgressAt}, On->first});
  }
  return Members;
}

/// Stops units that make no progress.
void Owner::stopStalledRuns(const std::string &Id, Session &S) {
  MonoTime T = Shared.mono();
  for (auto &[Run, R] : S.Runs) {
    if (R.Stage != RunStage::Confirmed || S.SyncFailures || !isCurrentRun(Run))
      continue;
    const Job *J = Shared.Ledger.find(Run.Task.Job);
    const workload::Step &Step = J->Spec.Steps[Run.Task.Key.Step];
    Millis Estimate(Step.EstimateMs);
    MemberProgress Stalled{{R.Percent, R.ProgressAt}, Id};
    if (Step.LongRunning ||
        !dispatch::findStalledRun({&Stalled.Progress, 1}, Estimate, T))
      continue;
    if (Step.Gang && R.Percent >= 100) {
      auto Members = gangProgress(*J, Run);
      std::vector<dispatch::RunProgress> Progress;
      Progress.reserve(Members.size());
      for (const MemberProgress &M : Members)
        Progress.push_back(M.Progress);
      auto Index = dispatch::findStalledRun(Progress, Estimate, T);
      if (!Index)
        continue;
      Stalled = Members[*Index];
    }
    Shared.log(415, {{"worker", Stalled.Worker},
                     {"job", Run.Task.Job},
                     {"run", Run.Run},
                     {"percent", Stalled.Progress.Percent},
                     {"still_ms", (T - Stalled.Progress.ChangedAt).count()}});
    Sessions.at(Stalled.Worker).AvoidUntil = T + AvoidAfterStalledRun;
    stopUnit({Run.Task.Job, Run.Task.Key.Occurrence, Run.Task.Key.Step,
              Step.Gang ? 0 : Run.Task.Key.Index},
             "stuck");
    break;
  }
}

/// Load pattern: fully loaded workers are removed at short notice.
///
/// Work that cannot end before its worker may be removed is stopped and runs
/// again elsewhere; otherwise its end would never be reported, and it could not
/// run elsewhere before the lease expires. Work that saves its progress
/// continues until the last moment for a stop, because the stop saves all
/// progress.
void Owner::evacuate(const std::string &Id, Session &S) {
  MonoTime T = Shared.mono();
  MonoTime LastStop = S.LeavesAt - Shared.Settings.MaxStopTime;
  std::vector<UnitId> Units;
  for (const auto &[Run, R] : S.Runs) {
    const Job *J = Shared.Ledger.find(Run.Task.Job);
    if (R.Stage != RunStage::Confirmed || !J || !J->Spec.has(Run.Task.Key))
      continue;
    const workload::Step &Step = J->Spec.Steps[Run.Task.Key.Step];
    if (!Step.LongRunning && T + remainingTime(Step, R) <= S.LeavesAt)
      continue;
    if (Step.SavesProgress && !Step.LongRunning &&
        T + RunCheckPeriod < LastStop)
      continue;
    Units.push_back({Run.Task.Job, Run.Task.Key.Occurrence, Run.Task.Key.Step,
                     Step.Gang ? 0 : Run.Task.Key.Index});
  }
  for (const UnitId &Unit : Units) {
    Shared.log(435, {{"worker", Id},
                     {"job", Unit.Job},
                     {"step", Unit.Step},
                     {"leaves_in_ms", (S.LeavesAt - T).count()}});
    stopUnit(Unit, "its worker is about to be removed");
  }
}

void Owner::checkWorkers() {
  MonoTime T = Shared.mono();
  bool CheckRuns = T - RunsCheckedAt >= RunCheckPeriod;
  if (CheckRuns) {
    RunsCheckedAt = T;
    updateSpeeds();
    updateRates();
  }
  for (auto It = Sessions.begin(); It != Sessions.end();) {
    auto &[Id, S] = *It;
    // The lease is counted from the latest known reading of the worker's clock.
    if (!S.Runs.empty() && S.SyncFailures >= 2 &&
        T > silentRunsEndAt(S) + LeaseMargin) {
      S.Synced = false;
      recordLapsedRuns(S);
      // The registry has not listed some since this owner began.
      if (isReplaced(S) || (!S.Listed && !S.Described))
        recordCrash(S, {});
      markRunsLost(S, "its lease has expired");
    }
    if (!S.Listed && S.Entry.Address.empty() && !S.Runs.empty() &&
        T > silentRunsEndAt(S) + LeaseMargin) {
      // The registry has not listed it since this owner began.
      for (const RunId &Id : runsPresent(S))
        S.LapsedRuns.emplace(Id, lapsedRun(S, Id));
      recordCrash(S, {});
      markRunsLost(S, "the worker is gone");
    }
    if (CheckRuns) {
      std::erase_if(S.UnansweredStarts, [T](const auto &Start) {
        return T - Start.second > MaxCallDelay;
      });
      stopStalledRuns(Id, S);
      checkWorkerSpeed(Id, S);
    }
    // An unlisted worker may come back and still receive starts that were sent
    // to it. Its session is kept until none can arrive, so that such runs are
    // stopped.
    if (!S.LapsedRuns.empty() && T - S.LapsedAt > MaxRestartTime)
      forgetLapsedRuns(S);
    if (!S.Listed && S.Runs.empty() && S.UnansweredStarts.empty() &&
        S.LapsedRuns.empty() && S.Claims.empty()) {
      It = Sessions.erase(It);
      continue;
    }
    if (CheckRuns && S.Entry.Draining && S.LeavesAt.count())
      evacuate(Id, S);
    if (!S.SyncInFlight && !S.Entry.Address.empty() && T >= S.NextSyncAt &&
        (S.Listed || !S.Runs.empty()))
      sync(Id, S);
    else if (S.SyncInFlight && T >= S.NextSyncCopyAt)
      copySync(Id, S);
    if (!S.Claims.empty() && !S.ProbeNumber && T >= S.NextProbeAt)
      probe(Id, S);
    ++It;
  }
}

} // namespace heathersaddle::cluster
