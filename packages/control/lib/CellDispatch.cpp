// Approach: each placed job has a track of its present attempt. advance()
// compares what the state wants with what is known of each task and sends the
// commands in between: reserve, start (only after the record that allows it
// was applied) or stop. Commands are harmless to repeat, so a lost reply leads
// to a full sync and another round.
// Bounds: one command without a reply per task; only dirty jobs are advanced.
#include "CellOwner.h"
#include "heathersaddle/base/TestSwitches.h"

namespace heathersaddle::control {

namespace {
/// Jobs looked at per tick; the others follow at the next tick.
constexpr std::size_t AdvancedPerTick = 1'024;
} // namespace

void CellOwner::track(const state::Job &J, bool Own) {
  Track T;
  T.Attempt = J.Attempt;
  T.Tasks.resize(J.Tasks.size());
  for (TaskTrack &Task : T.Tasks) {
    // Nobody else can have reached a worker about an attempt that this owner
    // placed, and no start precedes its record.
    Task.What = Own ? Seen::Absent : Seen::Nothing;
    Task.Clean = Own || !J.Started;
  }
  Tracks.insert_or_assign(J.Spec.Id, std::move(T));
  Dirty.insert(J.Spec.Id);
}

CellOwner::Found CellOwner::find(const std::string &Worker, const TaskName &N) {
  const state::Job *J = NodeCore.State.job(N.Job);
  auto It = Tracks.find(N.Job);
  if (!J || It == Tracks.end() || J->Cell != Name || !J->placed() ||
      J->Attempt != N.Attempt || It->second.Attempt != N.Attempt ||
      N.Task >= J->Tasks.size() || J->Tasks[N.Task].Worker != Worker)
    return {};
  return {J, &It->second, &It->second.Tasks[N.Task]};
}

bool CellOwner::settled(const WorkerEvent &E) const {
  if (E.Kind == "started" || E.Kind == "usage")
    return true;
  const state::Job *J = NodeCore.State.job(E.Name.Job);
  return !J || J->Cell != Name || !J->placed() || J->Attempt != E.Name.Attempt;
}

void CellOwner::advanceDirty() {
  std::set<std::string, std::less<>> Now;
  while (!Dirty.empty() && Now.size() < AdvancedPerTick)
    Now.insert(Dirty.extract(Dirty.begin()));
  for (const std::string &Id : Now) {
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

void CellOwner::advance(const std::string &Id, const state::Job &J, Track &T) {
  T.Steady = false;
  auto All = [&](auto Is) {
    return std::all_of(T.Tasks.begin(), T.Tasks.end(), Is);
  };
  auto Finished = [](const TaskTrack &X) { return X.What == Seen::Finished; };
  if (All(Finished) || takePushedAnswer(J, T)) {
    finish(J, T);
    return;
  }
  if (busy(Id))
    return;
  for (unsigned I = 0; I < T.Tasks.size(); ++I) {
    reviewLoss(J, T, I);
    if (T.Tasks[I].final() && T.Tasks[I].What != Seen::Finished)
      doom(T, "a task failed or was lost");
  }
  if (T.Doomed || J.CancelWanted || J.Status == state::JobStatus::Stopping) {
    stopAll(J, T);
    if (All([](const TaskTrack &X) { return X.final(); }))
      conclude(J, T);
    return;
  }
  for (unsigned I = 0; I < T.Tasks.size(); ++I)
    advanceTask(J, T, I);
  if (!J.Started)
    commitStart(J, T);
  T.Steady = J.Started && All([](const TaskTrack &X) {
               return X.What == Seen::Running && !X.Waiting;
             });
}

void CellOwner::commitStart(const state::Job &J, Track &T) {
  if (!std::all_of(T.Tasks.begin(), T.Tasks.end(),
                   [](const TaskTrack &X) { return X.What == Seen::Reserved; }))
    return;
  record(state::StartCommitted{by(), J.Spec.Id, J.Attempt}, J.Spec.Id);
  if (!base::enforced(base::SafetyRule::OwnRecordFirst))
    for (unsigned I = 0; I < T.Tasks.size(); ++I)
      send(Op::Start, J, T, I);
}

bool CellOwner::restartable(const state::Job &J) const {
  return J.Tasks.size() == 1 && J.Spec.Idempotent;
}

bool CellOwner::departing(std::string_view Worker) const {
  const HostEntry *H = Hosts.host(Worker);
  return Hosts.known() && (!H || H->Leaving);
}

void CellOwner::advanceTask(const state::Job &J, Track &T, unsigned Task) {
  TaskTrack &X = T.Tasks[Task];
  if (X.Waiting || X.final())
    return;
  // A placement that was recorded before its worker began to leave is given
  // up when the worker has not taken it yet.
  if ((!J.Started || X.What == Seen::Absent) &&
      departing(J.Tasks[Task].Worker)) {
    doom(T, "worker " + J.Tasks[Task].Worker + " is leaving");
    Dirty.insert(J.Spec.Id);
    return;
  }
  if (!J.Started) {
    if (X.What == Seen::Absent)
      send(Op::Reserve, J, T, Task);
    return;
  }
  if (X.What == Seen::Reserved || (X.What == Seen::Absent && restartable(J))) {
    send(Op::Start, J, T, Task);
  } else if (X.What == Seen::Absent) {
    // The reservation was lost before the start could be sent.
    X.What = Seen::Gone;
    Dirty.insert(J.Spec.Id);
  }
}

void CellOwner::stopAll(const state::Job &J, Track &T) {
  for (unsigned I = 0; I < T.Tasks.size(); ++I) {
    TaskTrack &X = T.Tasks[I];
    if (X.final() || X.Waiting)
      continue;
    if (!X.StopOk)
      send(Op::Stop, J, T, I);
    else if (WorkerLink *L = link(J.Tasks[I].Worker))
      L->wantList();
  }
}

void CellOwner::reviewLoss(const state::Job &J, Track &T, unsigned Task) {
  TaskTrack &X = T.Tasks[Task];
  if (X.final())
    return;
  const WorkerLink *L = link(J.Tasks[Task].Worker);
  base::MonoTime Bound =
      L ? L->leaseBound()
        : WorkerLink::boundAfter(NodeCore.Settings, ClaimedAt);
  if (L && !L->lost())
    return;
  if (X.Clean) {
    X.What = Seen::Gone;
    return;
  }
  if (NodeCore.now() < Bound || (L && L->synced()))
    return;
  doom(T, "worker " + J.Tasks[Task].Worker + " was lost");
  bool Late =
      NodeCore.now() >= Bound + NodeCore.Settings.UnknownOutcomeGrace &&
      (J.Spec.DeadlineMs == 0 ||
       NodeCore.stateClock() >=
           J.Spec.DeadlineMs + NodeCore.Settings.UnknownOutcomeGrace.count());
  if (J.Spec.Idempotent || Late)
    X.What = Seen::Gone;
}

json::object CellOwner::commandBody(Op What, const state::Job &J,
                                    unsigned Task) const {
  json::object Body{{"job", J.Spec.Id}, {"attempt", J.Attempt}, {"task", Task}};
  if (What == Op::Stop) {
    Body["op"] = "stop";
    Body["grace_ms"] =
        J.CancelWanted ? 0 : NodeCore.Settings.Policy.ReclaimGrace.count();
    return Body;
  }
  Body["op"] = What == Op::Start ? "start" : "reserve";
  Body["tasks"] = J.Tasks.size();
  Body["slots"] = std::to_string(J.Tasks[Task].Slots);
  Body["kind"] = J.Spec.Kind;
  Body["input"] = J.Spec.Input;
  Body["resume_ms"] = J.ProgressMs;
  return Body;
}

void CellOwner::send(Op What, const state::Job &J, Track &T, unsigned Task) {
  WorkerLink *L = link(J.Tasks[Task].Worker);
  if (!L || !L->synced())
    return;
  TaskTrack &X = T.Tasks[Task];
  X.Waiting = true;
  X.Change = nextChange();
  if (What == Op::Start) {
    X.StartSent = true;
    X.CleanBefore = X.Clean;
    X.Clean = false;
  }
  L->command({What, {J.Spec.Id, J.Attempt, Task}, commandBody(What, J, Task)});
}

void CellOwner::stopStray(const std::string &Worker, const TaskName &N) {
  if (WorkerLink *L = link(Worker))
    L->command({Op::Stop,
                N,
                {{"op", "stop"},
                 {"job", N.Job},
                 {"attempt", N.Attempt},
                 {"task", N.Task},
                 {"grace_ms", 0}}});
}

} // namespace heathersaddle::control
