// Learns how fast workers are (dispatch/WorkerSpeed). Detects workers that have
// become slow and moves those of their runs that would end sooner elsewhere;
// dispatch/Pace decides what counts as slow.
#include "Owner.h"
#include <cmath>

namespace heathersaddle::cluster {

/// A unit whose run number is higher than this is not moved off slow workers
/// again.
static constexpr unsigned MaxRunNumberToMove = 6;
/// A worker that always runs at this share of the usual speed or more does not
/// count as slow for that; urgent work avoids it by its class. What runs on
/// slower ones is better moved.
static constexpr double MinRateFactor = 0.5;

bool Owner::hasRemotePlacement(const Session &S, const workload::Step &Step,
                               const Job &J, const RunId &Id) const {
  if (!Step.DataRack.empty() && Step.DataRack != S.Entry.Rack)
    return true;
  if (!Step.Gang || !Step.SameRack)
    return false;
  for (unsigned N = 0; N < Step.Count; ++N) {
    auto Other = Sessions.find(
        J.task({Id.Task.Key.Occurrence, Id.Task.Key.Step, N}).Worker);
    if (Other != Sessions.end() && Other->second.Entry.Rack != S.Entry.Rack)
      return true;
  }
  return false;
}

void Owner::addRunTime(Session &S, const RunId &Id, RunState &R,
                       std::vector<dispatch::RunProgressTime> &Runs) {
  auto Whole = R.Speed.wholeMs();
  if (R.SpeedObserved || !R.AllMembersConfirmed || !Whole)
    return;
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  if (!J || !J->Spec.has(Id.Task.Key))
    return;
  const workload::Step &Step = J->Spec.Steps[Id.Task.Key.Step];
  // What a percentage stands for in a run that has resumed is not known.
  if (Step.LongRunning || S.Entry.WarmupLeftMs > 0 ||
      !J->task(Id.Task.Key).Checkpoint.empty() ||
      hasRemotePlacement(S, Step, *J, Id)) {
    R.SpeedObserved = true;
    return;
  }
  R.SpeedObserved = R.Speed.isPrecise();
  Runs.push_back({&S.Speed, *Whole, R.SpeedObserved});
}

void Owner::observeEnd(Session &S, const RunId &Id) {
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  auto It = S.Runs.find(Id);
  // A gang's member may have waited for the others before its end.
  if (It == S.Runs.end() || !J || !J->Spec.has(Id.Task.Key) ||
      J->Spec.Steps[Id.Task.Key.Step].Gang)
    return;
  It->second.Speed.finish(Shared.mono());
  std::vector<dispatch::RunProgressTime> Runs;
  addRunTime(S, Id, It->second, Runs);
  if (It->second.SpeedObserved && !Runs.empty())
    Speeds.observeStep(
        stepOf(Id.Task), J->Spec.Queue,
        static_cast<double>(J->Spec.Steps[Id.Task.Key.Step].EstimateMs), Runs);
}

void Owner::updateSpeeds() {
  std::map<UnitId, std::vector<dispatch::RunProgressTime>> ByStep;
  std::vector<dispatch::WorkerSpeed *> Workers;
  Workers.reserve(Sessions.size());
  for (auto &[Worker, S] : Sessions) {
    Workers.push_back(&S.Speed);
    bool Changed = false;
    for (auto &[Id, R] : S.Runs)
      Changed |= R.Speed.takeChange();
    // What runs there is measured again, so that the new speed is soon known.
    if (Changed) {
      S.Speed.noteChange();
      for (auto &[Id, R] : S.Runs) {
        R.Speed.restart();
        R.SpeedObserved = false;
      }
    }
    for (auto &[Id, R] : S.Runs)
      if (R.Stage == RunStage::Confirmed && !R.SpeedObserved)
        addRunTime(S, Id, R, ByStep[stepOf(Id.Task)]);
  }
  for (const auto &[Step, Runs] : ByStep) {
    const Job *J = Shared.Ledger.find(Step.Job);
    if (J && std::any_of(Runs.begin(), Runs.end(),
                         [](const auto &R) { return R.Observe; }))
      Speeds.observeStep(
          Step, J->Spec.Queue,
          static_cast<double>(J->Spec.Steps[Step.Step].EstimateMs), Runs);
  }
  if (Speeds.refresh(Workers))
    Shared.log(460, {{"workers", Sessions.size()}});
  std::size_t Known = 0;
  for (auto &[Worker, S] : Sessions) {
    dispatch::SpeedEstimate E = Speeds.estimate(S.Speed);
    Known += E.Known;
    if (E.Class == S.SpeedClass)
      continue;
    Shared.count("worker_speed_changes");
    Shared.log(458, {{"worker", Worker},
                     {"class", E.Class},
                     {"former_class", S.SpeedClass},
                     {"factor", std::exp(E.LogFactor)},
                     {"error", E.Error},
                     {"runs", S.Speed.observations()}});
    S.SpeedClass = E.Class;
  }
  if (Speeds.workersDiffer() !=
      std::exchange(SpeedsDiffer, Speeds.workersDiffer()))
    Shared.log(459, {{"differ", SpeedsDiffer},
                     {"spread", Speeds.spread()},
                     {"known", Known},
                     {"workers", Sessions.size()}});
  Shared.Stats.Gauges["worker_speed_spread"] = Speeds.spread();
  Shared.Stats.Gauges["worker_speeds_known"] =
      SpeedsDiffer ? static_cast<double>(Known) : 0;
}

double Owner::rateFactor(const Session &S) const {
  return std::exp(
      std::max(Speeds.estimate(S.Speed).LogFactor, std::log(MinRateFactor)));
}

std::optional<Owner::RunRate> Owner::rateOf(const Session &S, const RunId &Id,
                                            const RunState &R) const {
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  auto Rate = R.Speed.latest(Shared.mono());
  if (R.Stage != RunStage::Confirmed || !J || !J->Spec.has(Id.Task.Key) ||
      !Rate)
    return std::nullopt;
  const workload::Step &Step = J->Spec.Steps[Id.Task.Key.Step];
  if (Step.LongRunning || hasRemotePlacement(S, Step, *J, Id))
    return std::nullopt;
  return RunRate{J, &Step, *Rate / rateFactor(S)};
}

void Owner::updateRates() {
  Rates.clear();
  std::map<UnitId, std::string> QueueOf;
  for (const auto &[Worker, S] : Sessions)
    for (const auto &[Id, R] : S.Runs)
      if (auto Known = rateOf(S, Id, R)) {
        Rates.add(stepOf(Id.Task), Known->Rate);
        QueueOf.emplace(stepOf(Id.Task), Known->RunJob->Spec.Queue);
      }
  Rates.aggregate(QueueOf);
}

void Owner::checkWorkerSpeed(const std::string &Id, Session &S) {
  MonoTime T = Shared.mono();
  std::vector<double> Shares;
  std::vector<UnitId> UnitsToMove;
  for (const auto &[Run, R] : S.Runs) {
    auto Known = rateOf(S, Run, R);
    if (!Known)
      continue;
    const workload::JobSpec &Spec = Known->RunJob->Spec;
    dispatch::Rate UsualRate = Rates.of(stepOf(Run.Task), Spec.Queue, Run.Run);
    if (UsualRate <= 0)
      continue;
    double Share = Known->Rate / UsualRate;
    Shares.push_back(Share);
    // While other work waits, a moved run would only wait for resources, which
    // is worse than a slow worker.
    if ((Spec.Priority == 0 || !WorkWaiting) && Run.Run <= MaxRunNumberToMove &&
        dispatch::worthMoving(Share, R.Percent, UsualRate,
                              Known->Step->SavesProgress))
      UnitsToMove.push_back({Run.Task.Job, Run.Task.Key.Occurrence,
                             Run.Task.Key.Step,
                             Known->Step->Gang ? 0 : Run.Task.Key.Index});
  }
  bool WasSlow = S.Slowness.isSlow(T);
  S.Slowness.update(Shares, T);
  if (!S.Slowness.isSlow(T))
    return;
  if (!WasSlow) {
    Shared.count("workers_slow");
    Shared.log(437, {{"worker", Id},
                     {"runs", Shares.size()},
                     {"moved", UnitsToMove.size()}});
  }
  for (const UnitId &Unit : UnitsToMove)
    stopUnit(Unit, "its worker is slow");
}

} // namespace heathersaddle::cluster
