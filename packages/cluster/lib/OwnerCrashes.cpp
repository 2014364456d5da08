// Counts crashes of workers against the tasks that ran on them, and fails jobs
// whose tasks crash worker after worker.
//
// A worker has crashed if another incarnation has taken its place, under its id
// or at its address, and it was not about to leave. A lease that expires is no
// sign of a crash. The count is kept in the job's record, so that later owners
// continue it; dispatch/lib/Crashes.cpp decides what follows from it.
//
// A run that its worker has not shown to have begun counts only once it is
// known that the crash is no part of an outage: work is also placed on workers
// that have lost power unnoticed, which is no fault of its own. A task that
// crashes its worker at once, before the start is answered, still counts.
#include "Owner.h"
#include <algorithm>

namespace heathersaddle::cluster {

std::set<RunId> Owner::runsPresent(const Session &S) {
  std::set<RunId> Present;
  for (const auto &[Id, R] : S.Runs)
    if (R.MayHaveArrived && !R.Crashed)
      Present.insert(Id);
  return Present;
}

bool Owner::mayHaveBegun(const Session &S, const RunId &Id) {
  auto It = S.Runs.find(Id);
  return It != S.Runs.end() && It->second.MayHaveBegun;
}

bool Owner::isReplaced(const Session &S) const {
  return std::any_of(Sessions.begin(), Sessions.end(), [&S](const auto &Other) {
    return &Other.second != &S && Other.second.Synced &&
           Other.second.Confirmed &&
           Other.second.Entry.Address == S.Entry.Address;
  });
}

void Owner::recordCrashesOfFormerWorkers(const Session &S) {
  for (auto &[Id, Former] : Sessions)
    if (&Former != &S && !Former.LapsedRuns.empty() &&
        Former.Entry.Address == S.Entry.Address)
      recordCrash(Former, {});
}

void Owner::recordLapsedRuns(Session &S) {
  S.LapsedAt = Shared.mono();
  for (const RunId &Id : runsPresent(S)) {
    if (!mayHaveBegun(S, Id))
      S.UnconfirmedLapsedRuns.insert(Id);
    S.LapsedRuns.insert(Id);
    Job *J = Shared.Ledger.find(Id.Task.Job);
    if (!J || !isCurrentRun(Id))
      continue;
    J->Tasks[Id.Task.Key].Lapsed = {Id.Run, S.Entry.Id, S.Entry.ProcessStartMs,
                                    S.Confirmed ? S.Entry.Address : ""};
    RecordWriter.markChanged(Id.Task.Job);
  }
}

void Owner::forgetLapsedRuns(Session &S) {
  S.UnconfirmedLapsedRuns.clear();
  for (const RunId &Id : std::exchange(S.LapsedRuns, {})) {
    Job *J = Shared.Ledger.find(Id.Task.Job);
    if (!J || J->ended())
      continue;
    auto Task = J->Tasks.find(Id.Task.Key);
    if (Task == J->Tasks.end() || Task->second.Lapsed.Run != Id.Run)
      continue;
    Task->second.Lapsed = {};
    RecordWriter.markChanged(Id.Task.Job);
  }
}

void Owner::adoptLapsedRuns() {
  for (const auto &[Id, J] : Shared.Ledger.jobs()) {
    if (!J.HasSubmission || J.ended())
      continue;
    for (const auto &[K, T] : J.Tasks) {
      if (!T.Lapsed.Run)
        continue;
      Session &S = recordedWorker(T.Lapsed.Worker, T.Lapsed.WorkerStartMs,
                                  T.Lapsed.WorkerAddress);
      S.LapsedRuns.insert({{Id, K}, T.Lapsed.Run});
      S.LapsedAt = Shared.mono();
    }
  }
}

void Owner::recordCrash(Session &S, const std::set<RunId> &Runs) {
  std::set<RunId> Lapsed = S.LapsedRuns;
  std::set<RunId> UnconfirmedLapsed = S.UnconfirmedLapsedRuns;
  forgetLapsedRuns(S);
  if (S.Entry.Draining)
    return;
  MonoTime T = Shared.mono();
  struct Suspect {
    unsigned Run = 0;
    bool Confirmed = false;
  };
  std::map<UnitId, Suspect> Units;
  std::map<UnitId, Suspect> LapsedUnits;
  auto Add = [&](const RunId &Id, bool Confirmed,
                 std::map<UnitId, Suspect> &To) {
    const Job *J = Shared.Ledger.find(Id.Task.Job);
    if (!J || Id.Task.Key.Step >= J->Spec.Steps.size())
      return;
    Suspect &Unit = To[unitOf(*J, Id.Task.Key)];
    Unit.Run = std::max(Unit.Run, Id.Run);
    Unit.Confirmed |= Confirmed;
  };
  for (const RunId &Id : Runs)
    Add(Id, mayHaveBegun(S, Id), Units);
  for (const RunId &Id : Lapsed)
    Add(Id, !UnconfirmedLapsed.contains(Id), LapsedUnits);
  dispatch::WorkerCrash Crash{S.Entry.Id, T, {}};
  for (const auto *Group : {&Units, &LapsedUnits})
    for (const auto &[Unit, Run] : *Group)
      Crash.Suspects.insert(Unit);
  bool Alone = Crash.Suspects.size() == 1 && Lapsed.empty();
  std::erase_if(RecentCrashes, [T](const dispatch::WorkerCrash &C) {
    return T - C.At > 3 * dispatch::OutageWindow;
  });
  RecentCrashes.push_back(std::move(Crash));
  auto Count = [&](const UnitId &Unit, const Suspect &Of, bool IsAlone,
                   bool Late) {
    if (Of.Confirmed)
      return countCrash(Unit, Of.Run, S.Entry, IsAlone, Late);
    Suspended.try_emplace(
        Unit,
        Suspension{T, false, UnconfirmedCrash{S.Entry, Of.Run, IsAlone, Late}});
  };
  for (const auto &[Unit, Of] : Units)
    Count(Unit, Of, Alone, false);
  for (const auto &[Unit, Of] : LapsedUnits)
    Count(Unit, Of, false, true);
}

void Owner::countCrash(const UnitId &Unit, unsigned Run, const WorkerEntry &On,
                       bool Alone, bool Late) {
  Job &J = *Shared.Ledger.find(Unit.Job);
  TaskKey First{Unit.Occurrence, Unit.Step, Unit.Index};
  auto Known = J.Tasks.find(First);
  if (J.ended() || Known == J.Tasks.end() ||
      Known->second.Phase == TaskPhase::Done)
    return;
  const workload::Step &Step = J.Spec.Steps[Unit.Step];
  // Counted once per run, also if several members of a gang lose their workers.
  // A crash that shows late may belong to a run before the last one counted.
  unsigned Counted = Known->second.CrashedRun;
  if (Counted >= Run && (!Late || Step.Gang || Counted == Run))
    return;
  for (unsigned N = 0; N < Step.Count; ++N)
    if (Step.Gang || N == Unit.Index) {
      TaskProgress &T = J.Tasks[{Unit.Occurrence, Unit.Step, N}];
      ++T.Crashes;
      T.CrashedRun = std::max(T.CrashedRun, Run);
    }
  RecordWriter.markChanged(J.Spec.Id);
  unsigned Crashes = Known->second.Crashes;
  Shared.count("crashes_counted");
  Shared.log(441, {{"worker", On.Id},
                   {"job", Unit.Job},
                   {"occurrence", Unit.Occurrence},
                   {"step", Unit.Step},
                   {"index", Unit.Index},
                   {"run", Run},
                   {"crashes", Crashes},
                   {"alone", Alone}});
  // Two crashes of one worker may be its own fault, also if an earlier owner
  // has seen the first.
  auto &Workers = Known->second.CrashedWorkers;
  const std::string &Worker = On.Address.empty() ? On.Id : On.Address;
  bool Another =
      std::find(Workers.begin(), Workers.end(), Worker) == Workers.end();
  Workers.push_back(Worker);
  FailedWorkers[{Unit.Job, Unit.Occurrence, Unit.Step, 0}].insert(On.Id);
  auto Verdict = dispatch::judgeCrash(Crashes, Alone && Another);
  if (Verdict != dispatch::CrashVerdict::RunAgain)
    Suspended[Unit] = {Shared.mono(), Verdict == dispatch::CrashVerdict::GiveUp,
                       std::nullopt};
}

void Owner::findRunsOfEarlierIncarnation(Session &S, const WorkerReply &Reply) {
  std::set<RunId> Listed;
  for (const RunningTask &T : Reply.Running)
    Listed.insert({T.Task, T.Run});
  for (const EndedTask &T : Reply.Ended)
    Listed.insert({T.Task, T.Run});
  std::set<RunId> Earlier;
  for (auto &[Id, R] : S.Runs)
    if (R.Stage == RunStage::Starting && R.WorkerStartMs &&
        Reply.ProcessStartMs && R.WorkerStartMs != Reply.ProcessStartMs &&
        !Listed.contains(Id)) {
      Earlier.insert(Id);
      R.Crashed = true;
      R.Stage = RunStage::Stopping;
      R.RetryAt = Shared.mono();
    }
  if (Earlier.empty())
    return;
  CallsDue = true;
  recordCrash(S, Earlier);
}

bool Owner::mayHaveCrashedTooOften(const TaskName &Task,
                                   const TaskProgress &T) const {
  if (!T.Lapsed.Run || dispatch::judgeCrash(T.Crashes + 1, false) !=
                           dispatch::CrashVerdict::GiveUp)
    return false;
  auto On = Sessions.find(T.Lapsed.Worker);
  return On != Sessions.end() &&
         On->second.LapsedRuns.contains({Task, T.Lapsed.Run});
}

void Owner::checkSuspendedUnits() {
  MonoTime T = Shared.mono();
  std::vector<UnitId> GivenUp;
  std::vector<std::pair<UnitId, UnconfirmedCrash>> Crashed;
  std::erase_if(Suspended, [&](const auto &Entry) {
    const auto &[Unit, State] = Entry;
    const Job *J = Shared.Ledger.find(Unit.Job);
    if (!J || J->ended())
      return true;
    // Other crashes of the same outage may be seen later.
    if (!State.Certain && T - State.Since < dispatch::OutageWindow)
      return false;
    bool Outage = dispatch::isOutage(RecentCrashes, Unit, State.Since);
    if (State.Crash && !Outage)
      Crashed.emplace_back(Unit, *State.Crash);
    else if (!State.Crash && (State.Certain || !Outage))
      GivenUp.push_back(Unit);
    PlanNeeded = true;
    return true;
  });
  for (const auto &[Unit, Crash] : Crashed)
    if (Shared.Ledger.find(Unit.Job))
      countCrash(Unit, Crash.Run, Crash.Worker, Crash.Alone, Crash.Late);
  for (const UnitId &Unit : GivenUp) {
    Job *J = Shared.Ledger.find(Unit.Job);
    if (!J || J->ended())
      continue;
    const TaskProgress &Task =
        J->task({Unit.Occurrence, Unit.Step, Unit.Index});
    std::string Workers;
    for (const std::string &Worker : Task.CrashedWorkers)
      Workers += (Workers.empty() ? "" : " ") + Worker;
    Shared.log(442, {{"job", Unit.Job},
                     {"occurrence", Unit.Occurrence},
                     {"step", Unit.Step},
                     {"index", Unit.Index},
                     {"crashes", Task.Crashes},
                     {"workers", Workers}});
    endJob(*J, JobState::Failed, "its task crashes its workers");
  }
}

} // namespace heathersaddle::cluster
