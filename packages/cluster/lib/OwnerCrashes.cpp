// Counts crashes of workers against the tasks that ran on them, and fails jobs
// whose tasks crash worker after worker.
//
// A worker has crashed if another incarnation has taken its place, under its id
// or at its address, and it was not about to leave. A lease that expires is no
// sign of a crash. The count is kept in the job's record, so that later owners
// continue it; dispatch/lib/Crashes.cpp decides what follows from it.
//
// A crash counts against a task only if the task's own worker crashed: the
// other members of a gang have lost their run, but not their worker. It does
// not count if the worker had shown the run at work for long; such a run also
// ends the count. What a run has shown is taken from the worker's clock, as an
// owner that was suspended reads answers late.
//
// A run that its worker has not shown to have begun may have been placed on a
// worker that had lost power unnoticed. Its evidence is that of the whole time
// since the worker was last heard of. A task that crashes its worker at once,
// before the start is answered, still counts.
//
// Other crashes of an outage are seen later than the first one, so the evidence
// of each crash is reviewed after a while, and no job fails before.
#include "Owner.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// Of more workers, the record names the latest ones.
static constexpr std::size_t MaxCrashedWorkers = 8;
/// The registry removes the entry of a silent worker within this time.
static constexpr Millis MaxUnnoticedTime{4'500};
/// Shortest time between two reports about a suspect.
static constexpr Millis MinSuspectWait{50};
/// The group of all workers.
static constexpr std::string_view AllWorkers;

/// Names a worker in all its incarnations, as far as its address is known.
static const std::string &addressOf(const WorkerEntry &E) {
  return E.Address.empty() ? E.Id : E.Address;
}

std::set<RunId> Owner::runsPresent(const Session &S) {
  std::set<RunId> Present;
  for (const auto &[Id, R] : S.Runs)
    if (R.MayHaveArrived && !R.Crashed)
      Present.insert(Id);
  return Present;
}

LapsedRun Owner::lapsedRun(const Session &S, const RunId &Id) const {
  const RunState &R = S.Runs.at(Id);
  MonoTime EndsBy = S.SilentSince.value_or(Shared.mono());
  // If the start was not answered, the worker may have crashed before.
  MonoTime From = R.StartingSince;
  if (!R.MayHaveBegun)
    From = std::clamp(S.KnownAliveAt, From - MaxUnnoticedTime, From);
  Millis RanFor = EndsBy - From;
  // When a run of an earlier owner began is not known.
  if (R.Adopted)
    RanFor = std::max(RanFor, dispatch::ClearedAfter);
  return {R.MayHaveBegun, R.Cleared, RanFor};
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
    LapsedRun Run = lapsedRun(S, Id);
    S.LapsedRuns.emplace(Id, Run);
    Job *J = Shared.Ledger.find(Id.Task.Job);
    if (!J || !isCurrentRun(Id) || Run.Cleared)
      continue;
    J->Tasks[Id.Task.Key].Lapsed = {Id.Run, S.Entry.Id, S.Entry.ProcessStartMs,
                                    S.Confirmed ? S.Entry.Address : ""};
    RecordWriter.markChanged(Id.Task.Job);
  }
}

void Owner::forgetLapsedRuns(Session &S) {
  for (const auto &[Id, Run] : std::exchange(S.LapsedRuns, {})) {
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
      S.LapsedRuns.emplace(RunId{{Id, K}, T.Lapsed.Run},
                           LapsedRun{true, false, dispatch::ClearedAfter});
      S.LapsedAt = Shared.mono();
    }
  }
}

std::set<std::string, std::less<>> Owner::groupsOf(const WorkerEntry &E) {
  std::set<std::string, std::less<>> Groups{std::string(AllWorkers), E.Rack,
                                            E.DataCentre};
  Groups.insert(E.Labels.begin(), E.Labels.end());
  return Groups;
}

dispatch::GroupSizes Owner::groupSizes() const {
  dispatch::GroupSizes Sizes;
  for (const auto &[Id, S] : Sessions)
    if (S.Listed)
      for (const std::string &Group : groupsOf(S.Entry))
        ++Sizes[Group];
  return Sizes;
}

void Owner::recordCrash(Session &S, const std::set<RunId> &Runs) {
  std::vector<CrashedRun> Present;
  for (const auto &[Id, State] : S.LapsedRuns)
    Present.push_back({Id, State, true});
  for (const RunId &Id : Runs)
    Present.push_back({Id, lapsedRun(S, Id), false});
  forgetLapsedRuns(S);
  if (S.Entry.Draining)
    return;
  dispatch::WorkerCrash Crash{S.Entry.Id, Shared.mono(), {}, groupsOf(S.Entry)};
  // By the number of crashes before this one.
  std::map<unsigned, std::set<UnitId>, std::greater<>> Suspects;
  std::erase_if(Present, [&](const CrashedRun &Run) {
    const Job *J = Shared.Ledger.find(Run.Id.Task.Job);
    if (!J || !J->Spec.has(Run.Id.Task.Key))
      return true;
    UnitId Unit = unitOf(*J, Run.Id.Task.Key);
    Crash.Units.insert(Unit);
    if (Run.State.Cleared)
      return true;
    unsigned Before = J->task(Run.Id.Task.Key).Crashes;
    Suspects[Before].insert(Unit);
    Crash.Explained |= Before > 0;
    return false;
  });
  Crashes.add(Crash);
  auto IsMain = [&](const Job &J, const TaskKey &K) {
    const auto &[Before, Units] = *Suspects.begin();
    return Units.size() == 1 && Units.contains(unitOf(J, K)) &&
           Before == J.task(K).Crashes;
  };
  for (const CrashedRun &Run : Present) {
    const Job *J = Shared.Ledger.find(Run.Id.Task.Job);
    if (!J)
      continue;
    SuspectedRun Suspect{Run, addressOf(S.Entry), Crash, {}};
    Suspect.Circumstances.RanFor = Run.State.RanFor;
    Suspect.Circumstances.MainSuspect = IsMain(*J, Run.Id.Task.Key);
    countCrash(std::move(Suspect));
  }
}

void Owner::countCrash(SuspectedRun Suspect) {
  const RunId &Id = Suspect.Run.Id;
  const TaskKey &K = Id.Task.Key;
  Job *J = Shared.Ledger.find(Id.Task.Job);
  if (!J || J->ended())
    return;
  auto Known = J->Tasks.find(K);
  if (Known == J->Tasks.end() || Known->second.Phase == TaskPhase::Done)
    return;
  TaskProgress &T = Known->second;
  // Counted once per run. A crash that shows late may belong to a run before
  // the last one counted, but not to one before the latest row.
  if (T.CrashedRun == Id.Run ||
      (T.CrashedRun > Id.Run && (!Suspect.Run.Late || !T.Crashes)))
    return;
  ++T.Crashes;
  T.CrashedRun = std::max(T.CrashedRun, Id.Run);
  // Two crashes of one worker may be its own fault, also if an earlier owner
  // has seen the first.
  auto &Workers = T.CrashedWorkers;
  const std::string &Worker = Suspect.WorkerAddress;
  dispatch::CrashCircumstances &C = Suspect.Circumstances;
  C.AnotherWorker =
      std::find(Workers.begin(), Workers.end(), Worker) == Workers.end();
  if (C.AnotherWorker) {
    if (Workers.size() >= MaxCrashedWorkers)
      Workers.erase(Workers.begin());
    Workers.push_back(Worker);
  }
  UnitId Unit = unitOf(*J, K);
  MonoTime Now = Shared.mono();
  C.Rate = Crashes.rateWithout(Unit, Suspect.Crash, groupSizes(), Now);
  Suspect.Decibans = dispatch::crashEvidence(C);
  T.CrashDecibans += Suspect.Decibans;
  RecordWriter.markChanged(J->Spec.Id);
  FailedWorkers[stepOf(Id.Task)].insert(Suspect.Crash.Worker);
  Shared.count("crashes_counted");
  Shared.log(441, {{"worker", Suspect.Crash.Worker},
                   {"job", J->Spec.Id},
                   {"occurrence", K.Occurrence},
                   {"step", K.Step},
                   {"index", K.Index},
                   {"run", Id.Run},
                   {"ran_ms", C.RanFor.count()},
                   {"begun", Suspect.Run.State.Begun},
                   {"main_suspect", C.MainSuspect},
                   {"another_worker", C.AnotherWorker},
                   {"crashes_per_worker_hour", C.Rate * 3'600},
                   {"crashes", T.Crashes},
                   {"decibans", T.CrashDecibans}});
  Millis Pause = dispatch::pauseAfterCrash(T.Crashes);
  if (crashesItsWorkers(*J, K, T))
    Pause = std::max(Pause, dispatch::OutageWindow);
  if (Pause.count()) {
    MonoTime &Until = SuspendedUntil[Unit];
    Until = std::max(Until, Now + Pause);
  }
  CountedCrashes.push_back(std::move(Suspect));
}

void Owner::reviewCrashes() {
  MonoTime T = Shared.mono();
  while (!CountedCrashes.empty() &&
         T - CountedCrashes.front().Crash.At >= dispatch::OutageWindow) {
    reviewCrash(CountedCrashes.front());
    CountedCrashes.pop_front();
  }
}

void Owner::reviewCrash(const SuspectedRun &Suspect) {
  const RunId &Id = Suspect.Run.Id;
  Job *J = Shared.Ledger.find(Id.Task.Job);
  if (!J || J->ended())
    return;
  TaskProgress &T = J->Tasks[Id.Task.Key];
  dispatch::CrashCircumstances C = Suspect.Circumstances;
  C.Rate = Crashes.rateWithout(unitOf(*J, Id.Task.Key), Suspect.Crash,
                               groupSizes(), Shared.mono());
  unsigned Decibans = dispatch::crashEvidence(C);
  if (Decibans >= Suspect.Decibans || !T.Crashes)
    return;
  T.CrashDecibans -= std::min(T.CrashDecibans, Suspect.Decibans - Decibans);
  RecordWriter.markChanged(J->Spec.Id);
}

void Owner::noteAtWork(Session &S, RunState &R, const RunId &Id,
                       std::int64_t ClockMs) {
  if (R.ShownAtWork || R.AtWorkFromClockMs < 0 ||
      ClockMs - R.AtWorkFromClockMs < dispatch::ClearedAfter.count() ||
      !isCurrentRun(Id))
    return;
  R.ShownAtWork = true;
  // The members of a gang work only while all of them are there.
  auto Members = confirmedMembers(S, R, Id);
  if (std::all_of(Members.begin(), Members.end(),
                  [](const UnitMember &M) { return M.Run->ShownAtWork; }))
    for (const UnitMember &M : Members)
      clearSuspicion(*M.Run, M.Id);
}

void Owner::clearSuspicion(RunState &R, const RunId &Id) {
  R.Cleared = true;
  Job &J = *Shared.Ledger.find(Id.Task.Job);
  TaskProgress &T = J.Tasks[Id.Task.Key];
  if (!T.Crashes)
    return;
  Shared.count("suspects_cleared");
  Shared.log(464, {{"job", J.Spec.Id},
                   {"occurrence", Id.Task.Key.Occurrence},
                   {"step", Id.Task.Key.Step},
                   {"index", Id.Task.Key.Index},
                   {"run", Id.Run},
                   {"crashes", T.Crashes},
                   {"decibans", T.CrashDecibans}});
  T.Crashes = T.CrashDecibans = 0;
  T.CrashedWorkers.clear();
  T.CrashedRun = Id.Run;
  RecordWriter.markChanged(J.Spec.Id);
  PlanNeeded = true;
}

std::optional<Millis> Owner::suspectWait(const Session &S, const RunState &R,
                                         const RunId &Id) const {
  if (R.ShownAtWork || R.Stage == RunStage::Stopping || !isCurrentRun(Id) ||
      !Shared.Ledger.find(Id.Task.Job)->task(Id.Task.Key).Crashes)
    return std::nullopt;
  MonoTime T = Shared.mono();
  // The time of a crash is known to a part of the time that the run had taken.
  Millis Wait = (T - R.StartingSince) / 2;
  if (R.AtWorkFromClockMs >= 0)
    Wait = std::min(Wait, dispatch::ClearedAfter + (S.ClockReadAt - T) +
                              Millis(R.AtWorkFromClockMs - S.ClockMs));
  return std::max(Wait, MinSuspectWait);
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

bool Owner::crashesItsWorkers(const Job &J, const TaskKey &K,
                              const TaskProgress &T) {
  return !J.Spec.Steps[K.Step].LongRunning &&
         dispatch::crashesItsWorkers(T.Crashes, T.CrashedWorkers.size(),
                                     T.CrashDecibans);
}

bool Owner::mayHaveCrashedTooOften(const Job &J, const TaskKey &K,
                                   const TaskProgress &T) const {
  if (!T.Lapsed.Run)
    return false;
  TaskProgress Next = T;
  ++Next.Crashes;
  Next.CrashedWorkers.push_back(T.Lapsed.WorkerAddress);
  Next.CrashDecibans += dispatch::crashEvidence({dispatch::ClearedAfter});
  if (!crashesItsWorkers(J, K, Next))
    return false;
  auto On = Sessions.find(T.Lapsed.Worker);
  return On != Sessions.end() &&
         On->second.LapsedRuns.contains({{J.Spec.Id, K}, T.Lapsed.Run});
}

void Owner::avoidCrashedWorkers(dispatch::WaitingTasks &W,
                                const TaskProgress &T) const {
  for (const auto &[Id, S] : Sessions)
    if (std::find(T.CrashedWorkers.begin(), T.CrashedWorkers.end(),
                  addressOf(S.Entry)) != T.CrashedWorkers.end())
      W.AvoidedWorkers.insert(Id);
}

void Owner::checkSuspendedUnits() {
  std::vector<UnitId> Due;
  std::erase_if(SuspendedUntil, [&](const auto &Entry) {
    if (Shared.mono() < Entry.second)
      return false;
    Due.push_back(Entry.first);
    return true;
  });
  PlanNeeded |= !Due.empty();
  for (const UnitId &Unit : Due)
    giveUpIfItCrashesWorkers(Unit);
}

void Owner::giveUpIfItCrashesWorkers(const UnitId &Unit) {
  Job *J = Shared.Ledger.find(Unit.Job);
  if (!J || J->ended())
    return;
  const workload::Step &Step = J->Spec.Steps[Unit.Step];
  TaskKey K{Unit.Occurrence, Unit.Step, Unit.Index};
  for (unsigned Last = Step.Gang ? Step.Count - 1 : K.Index; K.Index <= Last;
       ++K.Index) {
    const TaskProgress &Task = J->task(K);
    if (Task.Phase == TaskPhase::Done || !crashesItsWorkers(*J, K, Task))
      continue;
    std::string Workers;
    for (const std::string &Worker : Task.CrashedWorkers)
      Workers += (Workers.empty() ? "" : " ") + Worker;
    Shared.log(442, {{"job", J->Spec.Id},
                     {"occurrence", K.Occurrence},
                     {"step", K.Step},
                     {"index", K.Index},
                     {"crashes", Task.Crashes},
                     {"decibans", Task.CrashDecibans},
                     {"workers", Workers}});
    return endJob(*J, JobState::Failed, "its task crashes its workers");
  }
}

} // namespace heathersaddle::cluster
