// Approach: each placed job has a track of its current attempt. advance()
// compares the state that the log asks for with what is known of each task and
// sends the missing commands: reserve, start (only after the record that
// allows it was applied) or stop. Commands are idempotent, so a lost reply is
// followed by a full sync, and the command is sent again if needed.
// Bounds: one pending command per task; only dirty jobs are advanced.
#include "CellOwner.h"
#include "heathersaddle/base/TestSwitches.h"

namespace heathersaddle::control {

namespace {
/// Jobs advanced per tick; the others follow at the next tick.
constexpr std::size_t MaxAdvancedPerTick = 1'024;
} // namespace

void CellOwner::track(const state::Job &J, bool PlacedByThisOwner) {
  AttemptTrack T;
  T.Attempt = J.Attempt;
  T.Tasks.resize(J.Tasks.size());
  for (TaskTrack &Task : T.Tasks) {
    // No other owner can have sent a command for an attempt that this owner
    // placed, and no start is sent before its record was applied.
    Task.State = PlacedByThisOwner ? TaskState::Absent : TaskState::Unknown;
    Task.NeverStarted = PlacedByThisOwner || !J.Started;
  }
  Tracks.insert_or_assign(J.Spec.Id, std::move(T));
  Dirty.insert(J.Spec.Id);
}

CellOwner::Found CellOwner::find(const std::string &Worker, const TaskId &N) {
  const state::Job *J = NodeCore.State.job(N.Job);
  auto It = Tracks.find(N.Job);
  if (!J || It == Tracks.end() || J->Cell != Name || !J->placed() ||
      J->Attempt != N.Attempt || It->second.Attempt != N.Attempt ||
      N.TaskIndex >= J->Tasks.size() || J->Tasks[N.TaskIndex].Worker != Worker)
    return {};
  return {J, &It->second, &It->second.Tasks[N.TaskIndex]};
}

bool CellOwner::isRecorded(const WorkerEvent &E) const {
  if (E.Kind == "started" || E.Kind == "usage")
    return true;
  const state::Job *J = NodeCore.State.job(E.Task.Job);
  return !J || J->Cell != Name || !J->placed() || J->Attempt != E.Task.Attempt;
}

void CellOwner::advanceDirty() {
  std::set<std::string, std::less<>> ThisTick;
  while (!Dirty.empty() && ThisTick.size() < MaxAdvancedPerTick)
    ThisTick.insert(Dirty.extract(Dirty.begin()));
  for (const std::string &Id : ThisTick) {
    const state::Job *J = NodeCore.State.job(Id);
    if (!J || J->Cell != Name || !J->placed()) {
      Tracks.erase(Id);
      if (J && J->Cell == Name && J->CancelWanted && J->live())
        cancelPending(*J);
      continue;
    }
    auto It = Tracks.find(Id);
    if (It == Tracks.end() || It->second.Attempt != J->Attempt) {
      track(*J, false);
      It = Tracks.find(Id);
    }
    advance(Id, *J, It->second);
  }
}

void CellOwner::advance(const std::string &Id, const state::Job &J,
                        AttemptTrack &T) {
  T.AllRunning = false;
  auto All = [&](auto Is) {
    return std::all_of(T.Tasks.begin(), T.Tasks.end(), Is);
  };
  auto Finished = [](const TaskTrack &X) {
    return X.State == TaskState::Finished;
  };
  if (All(Finished) || takePushedAnswer(J, T)) {
    finish(J, T);
    return;
  }
  if (recordInFlight(Id))
    return;
  for (unsigned I = 0; I < T.Tasks.size(); ++I) {
    checkWorkerLoss(J, T, I);
    if (T.Tasks[I].final() && T.Tasks[I].State != TaskState::Finished)
      abandon(T, "a task failed or was lost");
  }
  if (T.Abandoned || J.CancelWanted || J.Status == state::JobStatus::Stopping) {
    stopAll(J, T);
    if (All([](const TaskTrack &X) { return X.final(); }))
      conclude(J, T);
    return;
  }
  for (unsigned I = 0; I < T.Tasks.size(); ++I)
    advanceTask(J, T, I);
  if (!J.Started)
    commitStart(J, T);
  T.AllRunning = J.Started && All([](const TaskTrack &X) {
                   return X.State == TaskState::Running && !X.CommandPending;
                 });
}

void CellOwner::commitStart(const state::Job &J, AttemptTrack &T) {
  if (!std::all_of(T.Tasks.begin(), T.Tasks.end(), [](const TaskTrack &X) {
        return X.State == TaskState::Reserved;
      }))
    return;
  record(state::StartCommitted{authority(), J.Spec.Id, J.Attempt}, J.Spec.Id);
  if (!base::enforced(base::SafetyRule::OwnRecordFirst))
    for (unsigned I = 0; I < T.Tasks.size(); ++I)
      send(CommandKind::Start, J, T, I);
}

bool CellOwner::restartable(const state::Job &J) const {
  return J.Tasks.size() == 1 && J.Spec.Idempotent;
}

bool CellOwner::isLeaving(std::string_view Worker) const {
  const HostEntry *H = Hosts.host(Worker);
  return Hosts.known() && (!H || H->Leaving);
}

void CellOwner::advanceTask(const state::Job &J, AttemptTrack &T,
                            unsigned Task) {
  TaskTrack &X = T.Tasks[Task];
  if (X.CommandPending || X.final())
    return;
  // A placement that was recorded before its worker began to leave is abandoned
  // when the task has not been delivered to the worker yet.
  if ((!J.Started || X.State == TaskState::Absent) &&
      isLeaving(J.Tasks[Task].Worker)) {
    abandon(T, "worker " + J.Tasks[Task].Worker + " is leaving");
    Dirty.insert(J.Spec.Id);
    return;
  }
  if (!J.Started) {
    if (X.State == TaskState::Absent)
      send(CommandKind::Reserve, J, T, Task);
    return;
  }
  if (X.State == TaskState::Reserved ||
      (X.State == TaskState::Absent && restartable(J))) {
    send(CommandKind::Start, J, T, Task);
  } else if (X.State == TaskState::Absent) {
    // The reservation was lost before the start could be sent.
    X.State = TaskState::Lost;
    Dirty.insert(J.Spec.Id);
  }
}

void CellOwner::stopAll(const state::Job &J, AttemptTrack &T) {
  for (unsigned I = 0; I < T.Tasks.size(); ++I) {
    TaskTrack &X = T.Tasks[I];
    if (X.final() || X.CommandPending)
      continue;
    if (!X.StopConfirmed)
      send(CommandKind::Stop, J, T, I);
    else if (WorkerLink *L = link(J.Tasks[I].Worker))
      L->wantList();
  }
}

void CellOwner::checkWorkerLoss(const state::Job &J, AttemptTrack &T,
                                unsigned Task) {
  TaskTrack &X = T.Tasks[Task];
  if (X.final())
    return;
  const WorkerLink *L = link(J.Tasks[Task].Worker);
  base::MonoTime Expiry =
      L ? L->leaseExpiry()
        : WorkerLink::leaseExpiryAfter(NodeCore.Settings, ClaimedAt);
  if (L && !L->lost())
    return;
  if (X.NeverStarted) {
    X.State = TaskState::Lost;
    return;
  }
  if (NodeCore.now() < Expiry || (L && L->synced()))
    return;
  abandon(T, "worker " + J.Tasks[Task].Worker + " was lost");
  bool GraceOver =
      NodeCore.now() >= Expiry + NodeCore.Settings.UnknownOutcomeGrace &&
      (J.Spec.DeadlineMs == 0 ||
       NodeCore.stateClock() >=
           J.Spec.DeadlineMs + NodeCore.Settings.UnknownOutcomeGrace.count());
  if (J.Spec.Idempotent || GraceOver)
    X.State = TaskState::Lost;
}

json::object CellOwner::commandBody(CommandKind Kind, const state::Job &J,
                                    unsigned Task) const {
  json::object Body{{"job", J.Spec.Id}, {"attempt", J.Attempt}, {"task", Task}};
  if (Kind == CommandKind::Stop) {
    Body["op"] = "stop";
    Body["grace_ms"] =
        J.CancelWanted ? 0 : NodeCore.Settings.Policy.ReclaimGrace.count();
    return Body;
  }
  Body["op"] = Kind == CommandKind::Start ? "start" : "reserve";
  Body["tasks"] = J.Tasks.size();
  Body["slots"] = std::to_string(J.Tasks[Task].Slots);
  Body["kind"] = J.Spec.Kind;
  Body["input"] = J.Spec.Input;
  Body["resume_ms"] = J.ProgressMs;
  return Body;
}

void CellOwner::send(CommandKind Kind, const state::Job &J, AttemptTrack &T,
                     unsigned Task) {
  WorkerLink *L = link(J.Tasks[Task].Worker);
  if (!L || !L->synced())
    return;
  TaskTrack &X = T.Tasks[Task];
  X.CommandPending = true;
  X.Change = nextChange();
  if (Kind == CommandKind::Start) {
    X.StartSent = true;
    X.NeverStartedBeforeSend = X.NeverStarted;
    X.NeverStarted = false;
  }
  L->command({Kind, {J.Spec.Id, J.Attempt, Task}, commandBody(Kind, J, Task)});
}

void CellOwner::stopUntracked(const std::string &Worker, const TaskId &N) {
  if (WorkerLink *L = link(Worker))
    L->command({CommandKind::Stop,
                N,
                {{"op", "stop"},
                 {"job", N.Job},
                 {"attempt", N.Attempt},
                 {"task", N.TaskIndex},
                 {"grace_ms", 0}}});
}

} // namespace heathersaddle::control
