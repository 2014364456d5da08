// A run passes through the stages Recording, Starting, Confirmed and, if it is
// to end early, Stopping. Copies of a start are sent with the same run number,
// which the worker carries out at most once, until one is answered
// (CopyPacing.cpp). After a timeout the start is replaced by a stop, which also
// prevents a start that arrives later from running. Resources are freed only
// when the worker reports the end or its lists show that it does not have the
// run.
#include "Owner.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// Further copies of a start or stop are sent long before the first one ends.
static constexpr Millis CallTimeout{1'000};
static constexpr Millis CallRetryDelay{200};
static constexpr Millis ConfirmedStopPeriod{1'000};
/// How often runs are checked for calls that are due.
static constexpr Millis CallCheckPeriod{50};
/// A start without an answer is abandoned after this time, ...
static constexpr Millis StartTimeout{1'800};
/// ... or, if that is sooner, after this share of the time that gangs have to
/// assemble, so that the stops arrive before the other members time out.
static constexpr double GangStartTimeoutShare = 0.6;
/// A worker that refuses a start, or does not answer it in time, gets no work
/// for this long.
static constexpr Millis AvoidAfterRefusal{3'000};
static constexpr Millis AvoidAfterNoRoom{400};
/// A worker that counts as failing gets no work for this long.
static constexpr Millis AvoidAfterFailures{6'000};

static std::string_view name(EndReason Why) {
  switch (Why) {
  case EndReason::Done:
    return "done";
  case EndReason::Failed:
    return "failed";
  case EndReason::Stopped:
    return "stopped";
  case EndReason::LeaseExpired:
    return "lost";
  case EndReason::GangBroken:
    return "gang_broken";
  case EndReason::GangIncomplete:
    return "gang_alone";
  }
  return "unknown";
}

static std::int64_t heldGpus(const Session &S) {
  std::int64_t Sum = 0;
  for (const auto &[Id, R] : S.Runs)
    Sum += R.Room.Gpus;
  return Sum;
}

/// Whether \p R fits beside all runs that the worker may have.
static bool hasRoomFor(const Session &S, const RunState &R) {
  workload::Resources Free = S.Entry.Capacity;
  for (const auto &[Id, Other] : S.Runs)
    if (Other.MayHaveArrived)
      Free -= Other.Room;
  return R.Room.fitsIn(Free);
}

/// A plan is carried out once its placements are stored, which takes seconds if
/// the store is slow; the worker may have changed meanwhile.
std::string_view Owner::startFault(const Session &S, const RunState &R) const {
  if (S.Entry.Draining)
    return "the worker is draining";
  // The worker may have begun the run.
  if (R.MayHaveArrived)
    return {};
  if (!hasRoomFor(S, R))
    return "the worker's capacity has shrunk";
  if (!R.Ticket.empty() && Shared.mono() > R.TicketValidUntil)
    return "the ticket has expired";
  return {};
}

bool Owner::isCurrentRun(const RunId &Id) const {
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  if (!J || J->ended())
    return false;
  const TaskProgress &T = J->task(Id.Task.Key);
  return T.Phase == TaskPhase::Placed && T.Run == Id.Run;
}

void Owner::sendStart(const std::string &Worker, const RunId &Id) {
  auto It = Sessions.find(Worker);
  if (It == Sessions.end())
    return;
  Session &S = It->second;
  auto Found = S.Runs.find(Id);
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  if (Found == S.Runs.end() || !J || !maySend(S, Found->second.StartsInFlight))
    return;
  RunState &R = Found->second;
  if (R.Stage == RunStage::Recording)
    R.Stage = RunStage::Starting;
  if (R.Stage != RunStage::Starting)
    return;
  if (!isCurrentRun(Id) || J->CancelRequested)
    return stopRun(S, Id, "its job has ended");
  if (auto Fault = startFault(S, R); !Fault.empty()) {
    R.StopReason = Fault;
    return R.MayHaveArrived ? stopUnit(unitOf(*J, Id.Task.Key), Fault)
                            : finishRun(Id, EndReason::Stopped, "", S);
  }
  auto LeaseUntilMs = grantLease(S);
  if (!LeaseUntilMs) {
    R.RetryAt = Shared.mono() + CallRetryDelay;
    return;
  }
  R.MayHaveArrived = true;
  R.SentAt = Shared.mono();
  if (!R.StartAttempts++)
    R.StartingSince = R.SentAt;
  else // The lists may show the run before another copy is answered.
    S.NextSyncAt = std::min(S.NextSyncAt, R.SentAt);
  R.RetryAt = R.SentAt + S.Pacing.interval(R.StartAttempts);
  StartAction A;
  A.Worker = {S.Entry.Id, S.Entry.Address};
  A.Task = Id.Task;
  A.Run = Id.Run;
  A.Payload = J->Spec.Payload;
  A.LeaseUntilMs = *LeaseUntilMs;
  A.Epoch = Epoch;
  A.Checkpoint = J->task(Id.Task.Key).Checkpoint;
  A.Ticket = R.Ticket;
  A.TimeLimit = CallTimeout;
  Shared.count("starts");
  A.Done = trackOrder(Worker, Id, OrderKind::Start);
  Shared.Actions.push_back(std::move(A));
}

std::function<void(WorkerReply)>
Owner::trackOrder(const std::string &Worker, const RunId &Id, OrderKind Kind) {
  Session &Receiver = Sessions.at(Worker);
  RunState &Ordered = Receiver.Runs.at(Id);
  ++CallsInFlight;
  ++Receiver.CallsInFlight;
  ++(Kind == OrderKind::Start ? Ordered.StartsInFlight : Ordered.StopsInFlight);
  return [this, Alive = Alive, Worker, Id, Kind, SentAt = Shared.mono(),
          Address = Receiver.Entry.Address](const WorkerReply &Reply) {
    if (!*Alive)
      return;
    --CallsInFlight;
    auto It = Sessions.find(Worker);
    if (It == Sessions.end())
      return;
    Session &S = It->second;
    // A session or a run may have been forgotten and learned of again.
    S.CallsInFlight -= S.CallsInFlight > 0;
    recordAnswer(S, Reply.Verdict, SentAt);
    // The run may have ended since, by another copy of its start.
    if (Kind == OrderKind::Start && Reply.Verdict == WorkerVerdict::NoAnswer) {
      MonoTime &Latest = S.UnansweredStarts[Id];
      Latest = std::max(Latest, SentAt);
    }
    auto Found = S.Runs.find(Id);
    if (Found == S.Runs.end()) {
      // The starts that had no answer by then were barred at the restart.
      if (Kind == OrderKind::Start && SentAt < S.IncarnationSeenAt &&
          Reply.Verdict == WorkerVerdict::NoAnswer)
        barInThisIncarnation(S, Id);
      return;
    }
    RunState &R = Found->second;
    unsigned &InFlight =
        Kind == OrderKind::Start ? R.StartsInFlight : R.StopsInFlight;
    InFlight -= InFlight > 0;
    if (clockRestarted(S, Reply, SentAt)) {
      // The next sync lists what runs in the new incarnation.
      S.Synced = false;
      S.NextSyncAt = Shared.mono();
      R.RetryAt = Shared.mono() + CallRetryDelay;
      return;
    }
    updateClock(S, Reply);
    if (endsSession(S, Reply.Verdict, Address))
      return;
    if (Kind == OrderKind::Start)
      onStarted(S, R, Id, SentAt, Reply);
    else
      onStopped(S, R, SentAt, Reply);
  };
}

void Owner::onStarted(Session &S, RunState &R, const RunId &Id, MonoTime SentAt,
                      const WorkerReply &Reply) {
  MonoTime T = Shared.mono();
  Shared.recordLatency("start_answered", T - SentAt);
  if (Reply.Verdict == WorkerVerdict::Ok)
    markBegun(Id.Task.Job);
  // Another copy has been answered, or the run is being stopped.
  if (R.Stage != RunStage::Starting)
    return;
  auto NeverRan = [&](Millis Avoid, std::string_view Why) {
    Shared.count("starts_refused");
    Shared.log(416, {{"worker", S.Entry.Id},
                     {"job", Id.Task.Job},
                     {"run", Id.Run},
                     {"gpus_needed", R.Room.Gpus},
                     {"gpus_held", heldGpus(S)},
                     {"runs", S.Runs.size()},
                     {"reason", Why}});
    S.AvoidUntil = std::max(S.AvoidUntil, T + Avoid);
    // An earlier copy of this start may still arrive; the stop keeps it from
    // running.
    if (R.StartAttempts > 1)
      return stopRun(S, Id, Why);
    finishRun(Id, EndReason::Stopped, "", S);
  };
  switch (Reply.Verdict) {
  case WorkerVerdict::Ok:
    onConfirmed(R, Id);
    S.NextSyncAt = std::min(S.NextSyncAt, T);
    return;
  case WorkerVerdict::RunTooOld:
    // The run has ended, or was stopped before this start arrived; the next
    // sync shows which.
    onConfirmed(R, Id);
    S.NextSyncAt = T;
    return;
  case WorkerVerdict::DeadlinePassed:
    R.RetryAt = T;
    CallsDue = true;
    return;
  case WorkerVerdict::NoRoom:
    return NeverRan(AvoidAfterNoRoom, "no room");
  case WorkerVerdict::TicketInvalid:
    AdviceByStep.erase(stepOf(Id.Task));
    return NeverRan(Millis(0), "the ticket is not valid");
  case WorkerVerdict::Invalid:
    return NeverRan(AvoidAfterRefusal,
                    "the worker rejected the start as invalid");
  case WorkerVerdict::Unhealthy:
    return NeverRan(AvoidAfterRefusal, "the worker is unhealthy");
  case WorkerVerdict::Fenced:
    return;                             // Handled by endsSession().
  case WorkerVerdict::OtherIncarnation: // The worker has another address now.
    R.RetryAt = T + Shared.jitter(CallRetryDelay);
    return;
  case WorkerVerdict::NotDelivered:
    R.RetryAt = R.StartAttempts > 1 ? T + Shared.jitter(CallRetryDelay) : T;
    [[fallthrough]];
  case WorkerVerdict::NoAnswer:
    CallsDue = true;
    S.NextSyncAt = std::min(S.NextSyncAt, T);
    return;
  }
}

void Owner::markBegun(std::string_view Id) {
  Job *J = Shared.Ledger.find(Id);
  if (!J || J->State != JobState::Queued)
    return;
  J->State = JobState::Running;
  RecordWriter.markChanged(Id);
}

void Owner::barInThisIncarnation(Session &S, const RunId &Id) {
  RunState &R = S.Runs[Id];
  R.Stage = RunStage::Stopping;
  R.MayHaveArrived = true;
  R.Crashed = true;
  R.StopConfirmed = false;
  R.RetryAt = Shared.mono();
  CallsDue = true;
}

void Owner::onConfirmed(RunState &R, const RunId &Id) {
  MonoTime T = Shared.mono();
  R.Stage = RunStage::Confirmed;
  R.ConfirmedAt = R.ProgressAt = T;
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  if (!J || !J->Spec.has(Id.Task.Key))
    return;
  const workload::Step &Step = J->Spec.Steps[Id.Task.Key.Step];
  std::vector<RunState *> Members;
  if (Step.Gang) {
    for (unsigned N = 0; N < Step.Count; ++N) {
      TaskKey K{Id.Task.Key.Occurrence, Id.Task.Key.Step, N};
      auto On = Sessions.find(J->task(K).Worker);
      if (On == Sessions.end())
        return;
      auto Run = On->second.Runs.find({{Id.Task.Job, K}, Id.Run});
      if (Run == On->second.Runs.end() ||
          Run->second.Stage != RunStage::Confirmed)
        return;
      Members.push_back(&Run->second);
    }
  } else {
    Members.push_back(&R);
  }
  // The starting point of a run that resumes from a checkpoint, or that an
  // earlier owner started, is unknown.
  bool Fresh = J->task(Id.Task.Key).Checkpoint.empty();
  for (RunState *M : Members) {
    M->AllMembersConfirmed = true;
    if (Fresh && M->SentAt.count())
      M->Speed.begin(T);
  }
}

void Owner::sendStop(const std::string &Worker, const RunId &Id) {
  auto It = Sessions.find(Worker);
  if (It == Sessions.end() || It->second.Entry.Address.empty())
    return;
  Session &S = It->second;
  RunState &R = S.Runs[Id];
  R.SentAt = Shared.mono();
  R.RetryAt = R.SentAt + S.Pacing.interval(++R.StopAttempts);
  StopAction A;
  A.Worker = {S.Entry.Id, S.Entry.Address};
  A.Task = Id.Task;
  A.Run = Id.Run;
  A.Epoch = Epoch;
  A.TimeLimit = CallTimeout;
  Shared.count("stops");
  A.Done = trackOrder(Worker, Id, OrderKind::Stop);
  Shared.Actions.push_back(std::move(A));
}

void Owner::onStopped(Session &S, RunState &R, MonoTime SentAt,
                      const WorkerReply &Reply) {
  MonoTime T = Shared.mono();
  // An answer from the worker's previous incarnation says nothing about the
  // current one.
  if (Reply.Verdict == WorkerVerdict::Ok && !R.StopConfirmed &&
      SentAt >= S.IncarnationSeenAt) {
    R.StopConfirmed = true;
    R.ConfirmedAt = T;
  }
  // The stop is repeated, at a low rate once confirmed, until the end is
  // listed.
  if (R.StopConfirmed)
    R.RetryAt = T + ConfirmedStopPeriod;
  else if (Reply.Verdict != WorkerVerdict::NoAnswer)
    R.RetryAt = T + Shared.jitter(CallRetryDelay);
  S.NextSyncAt = std::min(S.NextSyncAt, T);
}

void Owner::sendDueCalls() {
  MonoTime T = Shared.mono();
  if (!CallsDue && T - CallsCheckedAt < CallCheckPeriod)
    return;
  CallsDue = false;
  CallsCheckedAt = T;
  auto Assembly = Millis(static_cast<std::int64_t>(
      GangStartTimeoutShare *
      static_cast<double>(Shared.Settings.GangAssembly.count())));
  Millis GiveUpAfter = std::min(StartTimeout, Assembly);
  struct Due {
    std::string Worker;
    RunId Id;
    bool Stop;
  };
  std::vector<Due> Calls;
  for (auto &[Worker, S] : Sessions) {
    std::vector<RunId> GiveUp;
    for (auto &[Id, R] : S.Runs) {
      if (T < R.RetryAt)
        continue;
      if (R.Stage == RunStage::Starting && S.Synced && S.ClockMs >= 0) {
        if (R.StartAttempts && T - R.StartingSince > GiveUpAfter)
          GiveUp.push_back(Id);
        else
          Calls.push_back({Worker, Id, false});
      } else if (R.Stage == RunStage::Stopping && maySend(S, R.StopsInFlight)) {
        Calls.push_back({Worker, Id, true});
      }
    }
    for (const RunId &Id : GiveUp) {
      const Job *J = Shared.Ledger.find(Id.Task.Job);
      Shared.log(417,
                 {{"worker", Worker}, {"job", Id.Task.Job}, {"run", Id.Run}});
      S.AvoidUntil = std::max(S.AvoidUntil, T + AvoidAfterRefusal);
      if (J && J->Spec.has(Id.Task.Key) && J->Spec.Steps[Id.Task.Key.Step].Gang)
        stopUnit(unitOf(*J, Id.Task.Key), "a member did not start");
      else
        stopRun(S, Id, "its start had no answer");
    }
  }
  for (const Due &D : Calls) {
    auto It = Sessions.find(D.Worker);
    if (It == Sessions.end() || !It->second.Runs.contains(D.Id))
      continue;
    D.Stop ? sendStop(D.Worker, D.Id) : sendStart(D.Worker, D.Id);
  }
}

void Owner::stopRun(Session &S, const RunId &Id, std::string_view Why) {
  auto It = S.Runs.find(Id);
  if (It == S.Runs.end() || It->second.Stage == RunStage::Stopping)
    return;
  RunState &R = It->second;
  if (!R.MayHaveArrived)
    return finishRun(Id, EndReason::Stopped, "", S);
  R.Stage = RunStage::Stopping;
  R.StopReason = Why;
  R.StopConfirmed = false;
  R.StopAttempts = 0;
  R.RetryAt = Shared.mono();
  CallsDue = true;
}

void Owner::stopUnit(const UnitId &Unit, std::string_view Why) {
  const Job *J = Shared.Ledger.find(Unit.Job);
  if (!J)
    return;
  bool Gang = J->Spec.Steps[Unit.Step].Gang;
  std::vector<std::pair<Session *, RunId>> Runs;
  for (const auto &[K, T] : J->Tasks) {
    if (T.Phase != TaskPhase::Placed || K.Occurrence != Unit.Occurrence ||
        K.Step != Unit.Step || (!Gang && K.Index != Unit.Index))
      continue;
    auto On = Sessions.find(T.Worker);
    RunId Id{{Unit.Job, K}, T.Run};
    if (On == Sessions.end())
      continue;
    auto Run = On->second.Runs.find(Id);
    if (Run != On->second.Runs.end() && Run->second.Stage != RunStage::Stopping)
      Runs.emplace_back(&On->second, Id);
  }
  // The members of a stopped gang end one by one; each end comes here again.
  if (Runs.empty())
    return;
  Shared.count("units_stopped");
  Shared.log(418, {{"job", Unit.Job},
                   {"occurrence", Unit.Occurrence},
                   {"step", Unit.Step},
                   {"index", Unit.Index},
                   {"runs", Runs.size()},
                   {"reason", Why}});
  for (const auto &[On, Id] : Runs)
    stopRun(*On, Id, Why);
}

void Owner::stopJob(const std::string &Job, std::string_view Why) {
  std::vector<std::pair<Session *, RunId>> Runs;
  for (auto &[Worker, S] : Sessions)
    for (auto &[Id, R] : S.Runs)
      if (Id.Task.Job == Job)
        Runs.emplace_back(&S, Id);
  if (!Runs.empty())
    Shared.log(419, {{"job", Job}, {"runs", Runs.size()}, {"reason", Why}});
  for (auto &[S, Id] : Runs)
    stopRun(*S, Id, Why);
}

/// Returns the work, in core-seconds, that an end without success loses.
std::int64_t Owner::lostCoreSeconds(const RunState &R, EndReason Why,
                                    const std::string &Saved) const {
  if (Why == EndReason::Done || !R.MayHaveArrived)
    return 0;
  MonoTime From = R.PlacedAt;
  if (!Saved.empty()) {
    // A stop saves all progress of work that can save it.
    From = Why == EndReason::Stopped ? Shared.mono()
                                     : std::max(From, R.CheckpointAt);
  }
  return static_cast<std::int64_t>(
      dispatch::weightedCores(R.Room) *
      static_cast<double>((Shared.mono() - From).count()) / 1'000);
}

void Owner::finishRun(const RunId &Id, EndReason Why,
                      const std::string &Checkpoint, Session &S) {
  std::string Saved = Checkpoint;
  RunState Last;
  if (auto It = S.Runs.find(Id); It != S.Runs.end()) {
    Last = std::move(It->second);
    S.Runs.erase(It);
  }
  if (Saved.empty())
    Saved = Last.Checkpoint;
  Shared.log(431, {{"job", Id.Task.Job},
                   {"occurrence", Id.Task.Key.Occurrence},
                   {"step", Id.Task.Key.Step},
                   {"index", Id.Task.Key.Index},
                   {"run", Id.Run},
                   {"worker", S.Entry.Id},
                   {"how", name(Why)},
                   {"reason", Last.StopReason},
                   {"lost_core_s", lostCoreSeconds(Last, Why, Saved)}});
  PlanNeeded = true;
  Job *J = Shared.Ledger.find(Id.Task.Job);
  if (!J || !J->Spec.has(Id.Task.Key))
    return;
  const workload::Step &Step = J->Spec.Steps[Id.Task.Key.Step];
  TaskProgress &T = J->Tasks[Id.Task.Key];
  if (J->ended()) {
    // If the worker is listed again, its new session must not adopt this run.
    if (T.Phase == TaskPhase::Placed && T.Run == Id.Run)
      T.Phase = TaskPhase::Waiting;
    return;
  }
  UnitId Unit = unitOf(*J, Id.Task.Key);
  if (Why == EndReason::Done && !Step.LongRunning) {
    // The end of one member completes the whole gang. The end of a run that was
    // taken for lost counts, too.
    std::vector<std::pair<std::string, RunId>> Others;
    for (unsigned N = 0; N < Step.Count; ++N) {
      if (!Step.Gang && N != Id.Task.Key.Index)
        continue;
      TaskKey K{Id.Task.Key.Occurrence, Id.Task.Key.Step, N};
      TaskProgress &Member = J->Tasks[K];
      if (Member.Phase == TaskPhase::Placed && Member.Run != Id.Run)
        Others.emplace_back(Member.Worker, RunId{{J->Spec.Id, K}, Member.Run});
      Member.Phase = TaskPhase::Done;
      Member.Run = std::max(Member.Run, Id.Run);
    }
    RecordWriter.markChanged(J->Spec.Id);
    for (auto &[Worker, Run] : Others)
      if (auto Other = Sessions.find(Worker); Other != Sessions.end())
        stopRun(Other->second, Run, "its task is done");
    Shared.count("tasks_done");
    return completeIfDone(*J);
  }
  bool Current = T.Phase == TaskPhase::Placed && T.Run == Id.Run;
  if (!Current && !(Step.Gang && T.Run == Id.Run))
    return;
  if (Current)
    T.Phase = TaskPhase::Waiting;
  if (!Saved.empty() && T.Phase != TaskPhase::Done)
    storeCheckpoint(*J, Id.Task.Key, Saved);
  if (Why == EndReason::Failed) {
    FailedWorkers[stepOf(Id.Task)].insert(S.Entry.Id);
    if (S.FailedJobs.size() >= FailingWorkerJobs) {
      S.AvoidUntil = Shared.mono() + AvoidAfterFailures;
      Shared.log(420, {{"worker", S.Entry.Id}, {"jobs", S.FailedJobs.size()}});
    }
    // Counted once per run: several members of a gang may fail, and a later
    // owner receives ends again that are not acknowledged yet.
    if (T.FailedRun < Id.Run)
      for (unsigned N = 0; N < Step.Count; ++N)
        if (Step.Gang || N == Id.Task.Key.Index) {
          TaskProgress &Member =
              J->Tasks[{Id.Task.Key.Occurrence, Id.Task.Key.Step, N}];
          ++Member.Failures;
          Member.FailedRun = Id.Run;
        }
    Shared.count("tasks_failed");
    Shared.log(421, {{"job", J->Spec.Id},
                     {"worker", S.Entry.Id},
                     {"run", Id.Run},
                     {"failures", T.Failures},
                     {"max_attempts", J->Spec.MaxAttempts}});
  }
  RecordWriter.markChanged(J->Spec.Id);
  if (!Step.LongRunning && T.Failures >= J->Spec.MaxAttempts)
    return endJob(*J, JobState::Failed, "all attempts failed");
  // A gang cannot continue without one of its members.
  if (Step.Gang)
    stopUnit(Unit, "a member has ended");
}

/// Drops a checkpoint that would make the job's record too large for the store;
/// the tasks then resume from the previous checkpoint or start over.
void Owner::storeCheckpoint(Job &J, const TaskKey &Task,
                            const std::string &Saved) {
  const workload::Step &Step = J.Spec.Steps[Task.Step];
  std::size_t Added = Saved.size() * (Step.Gang ? Step.Count : 1);
  if (recordBytes(J) + Added > Shared.Settings.RecordBytes) {
    Shared.count("checkpoints_dropped");
    Shared.log(436, {{"job", J.Spec.Id},
                     {"step", Task.Step},
                     {"index", Task.Index},
                     {"bytes", Added},
                     {"record_bytes", recordBytes(J)}});
    return;
  }
  // All members of a gang have the same checkpoint.
  for (unsigned N = 0; N < Step.Count; ++N)
    if (Step.Gang || N == Task.Index)
      J.Tasks[{Task.Occurrence, Task.Step, N}].Checkpoint = Saved;
}

void Owner::completeIfDone(Job &J) {
  if (!J.ended() && J.allDone())
    endJob(J, JobState::Completed, "all tasks are done");
}

void Owner::endJob(Job &J, JobState State, std::string_view Why) {
  J.State = State;
  J.EndedMs = Shared.wall();
  J.EndUnstored = true;
  RecordWriter.markChanged(J.Spec.Id);
  RecordWriter.afterStored([this, Id = J.Spec.Id] {
    if (Job *Ended = Shared.Ledger.find(Id))
      Ended->EndUnstored = false;
  });
  UnfinishedJobs.erase(J.Spec.Id);
  Shared.count(State == JobState::Completed ? "jobs_completed"
               : State == JobState::Failed  ? "jobs_failed"
                                            : "jobs_cancelled");
  Shared.log(422, {{"job", J.Spec.Id},
                   {"state", static_cast<unsigned>(State)},
                   {"reason", Why},
                   {"after_ms", J.EndedMs - J.Spec.AcceptedMs}});
  if (!J.Spec.OccurrenceCount && !J.Spec.isLongRunning())
    Shared.recordLatency(
        State == JobState::Completed ? "job_completed" : "job_not_completed",
        J.Spec.Priority, Millis(J.EndedMs - J.Spec.AcceptedMs));
  if (State != JobState::Completed)
    stopJob(J.Spec.Id, Why);
  std::erase_if(FailedWorkers,
                [&](const auto &E) { return E.first.Job == J.Spec.Id; });
  std::erase_if(AdviceByStep,
                [&](const auto &E) { return E.first.Job == J.Spec.Id; });
}

} // namespace heathersaddle::cluster
