// Approach: takes in what workers report: results of commands, events and full
// lists. Reports may come late, twice or out of order; a report counts only for
// the present attempt, and a list only for tasks that did not change after the
// list was asked for.
#include "CellOwner.h"

namespace heathersaddle::control {

template <class F>
void CellOwner::forTasksOn(const std::string &Worker, F Visit) {
  for (const std::string &Id : view()->Pool.jobsOn(Worker)) {
    const state::Job *J = NodeCore.State.job(Id);
    auto It = Tracks.find(Id);
    if (!J || It == Tracks.end() || !J->placed() ||
        J->Attempt != It->second.Attempt)
      continue;
    Track &T = It->second;
    for (unsigned I = 0; I < T.Tasks.size(); ++I)
      if (J->Tasks[I].Worker == Worker)
        Visit(*J, T, I);
  }
}

void CellOwner::onResult(const std::string &Worker, const Command &Cmd, bool Ok,
                         std::string_view Code) {
  Found F = find(Worker, Cmd.Name);
  if (!F.Job)
    return;
  TaskTrack &X = *F.Task;
  if (Cmd.What == Op::Checkpoint && Ok)
    X.CheckpointMs = std::max(X.CheckpointMs, X.AskedMs);
  if (Cmd.What == Op::Checkpoint || Cmd.What == Op::Throttle)
    return;
  Dirty.insert(Cmd.Name.Job);
  X.Waiting = false;
  X.Change = nextChange();
  if (Cmd.What == Op::Stop) {
    X.StopOk = X.StopOk || Ok;
    if (Ok)
      link(Worker)->wantList();
    return;
  }
  bool Start = Cmd.What == Op::Start;
  X.SawStart = X.SawStart || (Start && Ok);
  if (!Ok) {
    if (Start)
      X.Clean = X.CleanBefore && !X.SawStart;
    F.Attempt->Invalid = F.Attempt->Invalid || Code == "invalid";
    doom(*F.Attempt,
         "worker " + Worker + " refused the task: " + std::string(Code));
  } else if (X.What < Seen::Running) {
    X.What = Start ? Seen::Running : Seen::Reserved;
  }
}

void CellOwner::onLost(const std::string &Worker, const Command &Cmd) {
  Found F = find(Worker, Cmd.Name);
  if (!F.Job || Cmd.What == Op::Checkpoint || Cmd.What == Op::Throttle)
    return;
  Dirty.insert(Cmd.Name.Job);
  F.Task->Waiting = false;
  F.Task->Change = nextChange();
  // The next full sync shows what became of it.
  if (F.Task->What < Seen::Running && Cmd.What != Op::Stop)
    F.Task->What = Seen::Nothing;
}

void CellOwner::noteStopped(TaskTrack &X, std::int64_t ProgressMs) {
  X.What = Seen::Stopped;
  X.ProgressMs = ProgressMs;
  // The worker reports a start before the stop. When this owner alone sent a
  // start and no report came, the stop overtook it, and the worker refuses it
  // from now on.
  X.Clean = X.Clean || (X.StartSent && X.CleanBefore && !X.SawStart);
}

void CellOwner::onEvent(const std::string &Worker, const WorkerEvent &E) {
  Found F = find(Worker, E.Name);
  if (!F.Job)
    return;
  TaskTrack &X = *F.Task;
  Dirty.insert(E.Name.Job);
  bool Open = !X.final();
  if (E.Kind == "finished") {
    // An answer is the best knowledge there is, also after a stop.
    X.What = Seen::Finished;
    X.Text = E.Text;
    X.Clean = false;
  } else if (E.Kind == "failed" && X.What != Seen::Finished) {
    X.What = Seen::Failed;
    X.Text = E.Text;
    X.Clean = false;
  } else if (E.Kind == "started" && Open) {
    X.What = Seen::Running;
    X.SawStart = true;
    X.Clean = false;
  } else if (E.Kind == "stopped" && (Open || X.What == Seen::Gone)) {
    noteStopped(X, E.ProgressMs);
  } else if (E.Kind == "lapsed" && Open) {
    X.Lapsed = true;
    noteStopped(X, E.ProgressMs);
  } else if (E.Kind == "usage") {
    X.UsageMs = E.ProgressMs;
    Scheduler.usage(E.Name.Job, E.ProgressMs, NodeCore.stateClock());
  }
}

void CellOwner::onListed(const std::string &Worker,
                         const std::vector<ListedTask> &Tasks,
                         std::uint64_t Since) {
  std::map<std::tuple<std::string_view, unsigned, unsigned>, const ListedTask *>
      ByName;
  for (const ListedTask &L : Tasks)
    ByName[{L.Name.Job, L.Name.Attempt, L.Name.Task}] = &L;
  forTasksOn(Worker, [&](const state::Job &J, Track &T, unsigned I) {
    TaskTrack &X = T.Tasks[I];
    if (X.final() || X.Waiting || X.Change >= Since)
      return;
    auto It = ByName.find({J.Spec.Id, J.Attempt, I});
    onListedTask(J, X, It == ByName.end() ? nullptr : It->second);
    Dirty.insert(J.Spec.Id);
  });
  for (const ListedTask &L : Tasks) {
    if (L.State != "running" && L.State != "reserved")
      continue;
    Found F = find(Worker, L.Name);
    if (!F.Job || F.Task->final())
      stopStray(Worker, L.Name);
  }
}

void CellOwner::onListedTask(const state::Job &J, TaskTrack &X,
                             const ListedTask *L) {
  if (L && L->State == "running") {
    X.What = Seen::Running;
    X.SawStart = true;
    X.Clean = false;
  } else if (L && L->State == "reserved") {
    X.What = Seen::Reserved;
    // The start of an earlier owner did not arrive, and its epoch is over.
    X.Clean = X.Clean || !X.StartSent;
  } else if (L && L->State == "stopped") {
    noteStopped(X, L->ProgressMs);
  } else if (L) {
    // Finished or failed, but the event with the answer, which comes before
    // the list, is not there: the worker lost it.
    X.Clean = false;
    X.What = L->State == "failed" ? Seen::Failed : Seen::Gone;
  } else if (X.StopOk) {
    noteStopped(X, J.ProgressMs);
  } else if (!J.Started || (restartable(J) && X.What < Seen::Running)) {
    X.What = Seen::Absent;
  } else {
    X.What = Seen::Gone;
  }
}

void CellOwner::onRestarted(const std::string &Worker) {
  forTasksOn(Worker, [&](const state::Job &J, Track &T, unsigned I) {
    TaskTrack &X = T.Tasks[I];
    if (X.final())
      return;
    X.StopOk = false;
    X.Change = nextChange();
    X.What = J.Started ? Seen::Gone : Seen::Absent;
    Dirty.insert(J.Spec.Id);
  });
}

void CellOwner::onDeposed(const std::string &Worker) {
  NodeCore.log(EventDeposed, "worker " + Worker +
                                 " knows a later epoch of cell " + Name +
                                 " than " + std::to_string(Epoch));
  ProbeWanted = true;
}

} // namespace heathersaddle::control
