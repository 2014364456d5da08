// Detects slow workers and moves those of their runs that would end sooner
// elsewhere. dispatch/Pace decides what counts as slow.
#include "Owner.h"

namespace heathersaddle::cluster {

/// A unit whose run number is higher than this is not moved off slow workers
/// again.
static constexpr unsigned MaxRunNumberToMove = 6;

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
  return RunRate{J, &Step, *Rate};
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
