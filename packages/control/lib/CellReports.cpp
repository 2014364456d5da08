// Approach: processes the reports of workers: results of commands, events and
// full task lists. Reports may be late, repeated or out of order. A report
// counts only for the current attempt, and a list only for tasks that have not
// changed since the list was requested.
#include "CellOwner.h"

namespace heathersaddle::control {

template <class F>
void CellOwner::forTasksOn(const std::string &Worker, F Visit) {
  for (const std::string &Id : cellState()->Pool.jobsOn(Worker)) {
    const state::Job *J = NodeCore.State.job(Id);
    auto It = Tracks.find(Id);
    if (!J || It == Tracks.end() || !J->placed() ||
        J->Attempt != It->second.Attempt)
      continue;
    AttemptTrack &T = It->second;
    for (unsigned I = 0; I < T.Tasks.size(); ++I)
      if (J->Tasks[I].Worker == Worker)
        Visit(*J, T, I);
  }
}

void CellOwner::onResult(const std::string &Worker, const Command &Cmd, bool Ok,
                         std::string_view Code) {
  Found F = find(Worker, Cmd.Task);
  if (!F.Job)
    return;
  TaskTrack &X = *F.Task;
  if (Cmd.Kind == CommandKind::Checkpoint && Ok)
    X.CheckpointMs = std::max(X.CheckpointMs, X.RequestedCheckpointMs);
  if (Cmd.Kind == CommandKind::Checkpoint || Cmd.Kind == CommandKind::Throttle)
    return;
  Dirty.insert(Cmd.Task.Job);
  X.CommandPending = false;
  X.Change = nextChange();
  if (Cmd.Kind == CommandKind::Stop) {
    X.StopConfirmed = X.StopConfirmed || Ok;
    if (Ok)
      link(Worker)->wantList();
    return;
  }
  bool Start = Cmd.Kind == CommandKind::Start;
  X.StartConfirmed = X.StartConfirmed || (Start && Ok);
  if (!Ok) {
    if (Start)
      X.NeverStarted = X.NeverStartedBeforeSend && !X.StartConfirmed;
    F.Track->Invalid = F.Track->Invalid || Code == "invalid";
    abandon(*F.Track,
            "worker " + Worker + " refused the task: " + std::string(Code));
  } else if (X.State < TaskState::Running) {
    X.State = Start ? TaskState::Running : TaskState::Reserved;
  }
}

void CellOwner::onNoReply(const std::string &Worker, const Command &Cmd) {
  Found F = find(Worker, Cmd.Task);
  if (!F.Job || Cmd.Kind == CommandKind::Checkpoint ||
      Cmd.Kind == CommandKind::Throttle)
    return;
  Dirty.insert(Cmd.Task.Job);
  F.Task->CommandPending = false;
  F.Task->Change = nextChange();
  // The next full sync shows whether the command took effect.
  if (F.Task->State < TaskState::Running && Cmd.Kind != CommandKind::Stop)
    F.Task->State = TaskState::Unknown;
}

void CellOwner::noteStopped(TaskTrack &X, std::int64_t ProgressMs) {
  X.State = TaskState::Stopped;
  X.ProgressMs = ProgressMs;
  // A worker reports a start before a stop. If only this owner sent a start and
  // the worker did not report it, the stop arrived first, and the worker now
  // refuses the start.
  X.NeverStarted = X.NeverStarted || (X.StartSent && X.NeverStartedBeforeSend &&
                                      !X.StartConfirmed);
}

void CellOwner::onEvent(const std::string &Worker, const WorkerEvent &E) {
  Found F = find(Worker, E.Task);
  if (!F.Job)
    return;
  TaskTrack &X = *F.Task;
  Dirty.insert(E.Task.Job);
  bool Open = !X.final();
  if (E.Kind == "finished") {
    // An answer takes precedence over any other state, also after a stop.
    X.State = TaskState::Finished;
    X.Text = E.Text;
    X.NeverStarted = false;
  } else if (E.Kind == "failed" && X.State != TaskState::Finished) {
    X.State = TaskState::Failed;
    X.Text = E.Text;
    X.NeverStarted = false;
  } else if (E.Kind == "started" && Open) {
    X.State = TaskState::Running;
    X.StartConfirmed = true;
    X.NeverStarted = false;
  } else if (E.Kind == "stopped" && (Open || X.State == TaskState::Lost)) {
    noteStopped(X, E.ProgressMs);
  } else if (E.Kind == "lapsed" && Open) {
    X.LeaseExpired = true;
    noteStopped(X, E.ProgressMs);
  } else if (E.Kind == "usage") {
    X.ReportedProgressMs = E.ProgressMs;
    Scheduler.usage(E.Task.Job, E.ProgressMs, NodeCore.stateClock());
  }
}

void CellOwner::onTaskList(const std::string &Worker,
                           const std::vector<ListedTask> &Tasks,
                           std::uint64_t Since) {
  std::map<std::tuple<std::string_view, unsigned, unsigned>, const ListedTask *>
      ByName;
  for (const ListedTask &L : Tasks)
    ByName[{L.Task.Job, L.Task.Attempt, L.Task.TaskIndex}] = &L;
  forTasksOn(Worker, [&](const state::Job &J, AttemptTrack &T, unsigned I) {
    TaskTrack &X = T.Tasks[I];
    if (X.final() || X.CommandPending || X.Change >= Since)
      return;
    auto It = ByName.find({J.Spec.Id, J.Attempt, I});
    applyListedTask(J, X, It == ByName.end() ? nullptr : It->second);
    Dirty.insert(J.Spec.Id);
  });
  for (const ListedTask &L : Tasks) {
    if (L.State != "running" && L.State != "reserved")
      continue;
    Found F = find(Worker, L.Task);
    if (!F.Job || F.Task->final())
      stopUntracked(Worker, L.Task);
  }
}

void CellOwner::applyListedTask(const state::Job &J, TaskTrack &X,
                                const ListedTask *L) {
  if (L && L->State == "running") {
    X.State = TaskState::Running;
    X.StartConfirmed = true;
    X.NeverStarted = false;
  } else if (L && L->State == "reserved") {
    X.State = TaskState::Reserved;
    // If an earlier owner sent a start, it did not arrive, and the worker now
    // rejects that owner's epoch.
    X.NeverStarted = X.NeverStarted || !X.StartSent;
  } else if (L && L->State == "stopped") {
    noteStopped(X, L->ProgressMs);
  } else if (L) {
    // Finished or failed, but the event with the answer, which precedes the
    // list in the reply, is missing: the worker has lost it.
    X.NeverStarted = false;
    X.State = L->State == "failed" ? TaskState::Failed : TaskState::Lost;
  } else if (X.StopConfirmed) {
    noteStopped(X, J.ProgressMs);
  } else if (!J.Started || (restartable(J) && X.State < TaskState::Running)) {
    X.State = TaskState::Absent;
  } else {
    X.State = TaskState::Lost;
  }
}

void CellOwner::onRestarted(const std::string &Worker) {
  forTasksOn(Worker, [&](const state::Job &J, AttemptTrack &T, unsigned I) {
    TaskTrack &X = T.Tasks[I];
    if (X.final())
      return;
    X.StopConfirmed = false;
    X.Change = nextChange();
    X.State = J.Started ? TaskState::Lost : TaskState::Absent;
    Dirty.insert(J.Spec.Id);
  });
}

void CellOwner::onEpochRejected(const std::string &Worker) {
  NodeCore.log(EventDeposed, "worker " + Worker +
                                 " knows a later epoch of cell " + Name +
                                 " than " + std::to_string(Epoch));
  ReadRequested = true;
}

} // namespace heathersaddle::control
