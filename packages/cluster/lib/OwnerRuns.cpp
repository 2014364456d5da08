// A run passes through the stages Recording, Starting, Confirmed and, if it is
// to end early, Stopping (OwnerOrders.cpp sends the calls). Resources are freed
// only when the worker reports the end or its lists show that it does not have
// the run.
#include "Owner.h"
#include <algorithm>

namespace heathersaddle::cluster {

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

bool Owner::isCurrentRun(const RunId &Id) const {
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  if (!J || J->ended())
    return false;
  const TaskProgress &T = J->task(Id.Task.Key);
  return T.Phase == TaskPhase::Placed && T.Run == Id.Run;
}

void Owner::markBegun(std::string_view Id) {
  Job *J = Shared.Ledger.find(Id);
  if (!J || J->State != JobState::Queued)
    return;
  J->State = JobState::Running;
  RecordWriter.markChanged(Id);
}

std::vector<Owner::UnitMember> Owner::confirmedMembers(Session &S, RunState &R,
                                                       const RunId &Id) {
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  if (!J || !J->Spec.has(Id.Task.Key))
    return {};
  const workload::Step &Step = J->Spec.Steps[Id.Task.Key.Step];
  if (!Step.Gang)
    return {{Id, &S, &R}};
  std::vector<UnitMember> Members;
  for (unsigned N = 0; N < Step.Count; ++N) {
    TaskKey K{Id.Task.Key.Occurrence, Id.Task.Key.Step, N};
    auto On = Sessions.find(J->task(K).Worker);
    if (On == Sessions.end())
      return {};
    auto Run = On->second.Runs.find({{Id.Task.Job, K}, Id.Run});
    if (Run == On->second.Runs.end() ||
        Run->second.Stage != RunStage::Confirmed)
      return {};
    Members.push_back({Run->first, &On->second, &Run->second});
  }
  return Members;
}

void Owner::onConfirmed(Session &S, RunState &R, const RunId &Id) {
  MonoTime T = Shared.mono();
  R.Stage = RunStage::Confirmed;
  R.MayHaveBegun = true;
  R.ConfirmedAt = R.ProgressAt = T;
  auto Members = confirmedMembers(S, R, Id);
  if (Members.empty())
    return;
  // The starting point of a run that resumes from a checkpoint, or that an
  // earlier owner started, is unknown.
  bool Fresh =
      Shared.Ledger.find(Id.Task.Job)->task(Id.Task.Key).Checkpoint.empty();
  for (const UnitMember &M : Members) {
    M.Run->AllMembersConfirmed = true;
    if (M.Run->AtWorkFromClockMs < 0 && M.On->ClockMs >= 0)
      M.Run->AtWorkFromClockMs =
          M.On->ClockMs + (T - M.On->ClockReadAt).count();
    if (Fresh && M.Run->SentAt.count())
      M.Run->Speed.begin(T);
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
  // A copy of its start may arrive after a restart of the worker, at which this
  // owner may not live to see that the copy has no answer.
  if (Last.StartsInFlight)
    S.UnansweredStarts[Id] = Last.SentAt;
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
  // All members of a gang have the same checkpoint.
  std::vector<std::pair<TaskProgress *, std::string>> Former;
  for (unsigned N = 0; N < Step.Count; ++N)
    if (Step.Gang || N == Task.Index) {
      TaskProgress &T = J.Tasks[{Task.Occurrence, Task.Step, N}];
      Former.emplace_back(&T, std::exchange(T.Checkpoint, Saved));
    }
  if (recordRoom().fits(J))
    return;
  for (auto &[T, Checkpoint] : Former)
    T->Checkpoint = std::move(Checkpoint);
  Shared.count("checkpoints_dropped");
  Shared.log(436, {{"job", J.Spec.Id},
                   {"step", Task.Step},
                   {"index", Task.Index},
                   {"bytes", Saved.size() * Former.size()},
                   {"record_bytes", workload::progressBytes(J)}});
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
  RecordWriter.afterStored({J.Spec.Id}, [this, Id = J.Spec.Id] {
    if (Job *Ended = Shared.Ledger.find(Id))
      Ended->EndUnstored = false;
  });
  UnfinishedJobs.erase(J.Spec.Id);
  Speeds.forgetJob(J.Spec.Id);
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
