// Load pattern: a burst of urgent gangs on a full pool.
//
// Greedy: for each task in turn, chooses the worker on which making room loses
// the least work. Units are stopped as a whole, so a gang that is already
// chosen frees its room on all its workers at no further cost. Work within the
// reserved share of another account is never stopped, and only urgent work
// within the reserved share of its own account may stop other urgent work.
#include "Victims.h"
#include "heathersaddle/dispatch/Crashes.h"
#include <algorithm>

namespace heathersaddle::dispatch {

/// Cost of the interruption itself, in core-seconds. Stopping a unit that has
/// just begun is not free, since it has to start again.
static constexpr double RestartCost = 20;

static bool mayStop(const Allocation &R, const WaitingTasks &W) {
  if (!R.Stoppable || R.Unit.Job == W.Job->Spec.Id || R.Guaranteed)
    return false;
  return R.Priority > 0 || W.Guaranteed;
}

static double cost(const Allocation &R) {
  // The weight makes urgent work the last to be stopped.
  double Weight = R.Priority == 0 ? 10 : 1;
  return Weight * (weightedCores(R.Room) *
                       static_cast<double>(R.LostIfStoppedMs) / 1000 +
                   RestartCost);
}

std::map<UnitId, double> unitCosts(const Fleet &F) {
  std::map<UnitId, double> UnitCost;
  for (const Worker &On : F.Workers)
    for (const Allocation &R : On.Allocations)
      UnitCost[R.Unit] += cost(R);
  return UnitCost;
}

std::optional<Eviction> findEviction(const Fleet &F,
                                     const std::map<UnitId, double> &UnitCost,
                                     const FreeResources &Free,
                                     std::span<const std::size_t> Candidates,
                                     const WaitingTasks &W) {
  FreeResources Left = Free;
  Resources Need = W.step().room();
  Eviction E;
  std::map<std::size_t, unsigned> TasksOnWorker;
  auto Stop = [&](const UnitId &Unit) {
    E.Units.insert(Unit);
    for (std::size_t N = 0; N < F.Workers.size(); ++N)
      for (const Allocation &R : F.Workers[N].Allocations)
        if (R.Unit == Unit)
          Left[N] += R.Room;
  };
  for (std::size_t Task = 0; Task < W.Tasks.size(); ++Task) {
    std::optional<std::size_t> Best;
    std::vector<UnitId> BestUnits;
    double BestCost = 0;
    for (std::size_t C : Candidates) {
      const Worker &On = F.Workers[C];
      if (!Need.fitsIn(On.Capacity) || !mayShare(On, W) ||
          (W.step().MaxPerWorker && TasksOnWorker[C] >= W.step().MaxPerWorker))
        continue;
      // Stops the cheapest units of this worker until the task fits.
      std::vector<const Allocation *> Victims;
      for (const Allocation &R : On.Allocations)
        if (mayStop(R, W) && !E.Units.contains(R.Unit))
          Victims.push_back(&R);
      std::sort(Victims.begin(), Victims.end(),
                [&](const Allocation *A, const Allocation *B) {
                  return UnitCost.at(A->Unit) < UnitCost.at(B->Unit);
                });
      Resources Room = Left[C];
      std::vector<UnitId> Units;
      double Cost = isDegraded(On, W) ? DegradedWorkerCost : 0;
      for (const Allocation *R : Victims) {
        if (Need.fitsIn(Room))
          break;
        Room += R->Room;
        if (std::find(Units.begin(), Units.end(), R->Unit) == Units.end()) {
          Units.push_back(R->Unit);
          Cost += UnitCost.at(R->Unit);
        }
      }
      if (!Need.fitsIn(Room))
        continue;
      // Among equal costs, prefers the tightest fit.
      Cost += static_cast<double>(Room.Gpus - Need.Gpus) * 0.01;
      if (!Best || Cost < BestCost) {
        Best = C;
        BestCost = Cost;
        BestUnits = Units;
      }
    }
    if (!Best)
      return std::nullopt;
    for (const UnitId &U : BestUnits)
      Stop(U);
    Left[*Best] -= Need;
    ++TasksOnWorker[*Best];
    E.Workers.push_back(*Best);
    E.Cost += BestCost;
  }
  return E;
}

} // namespace heathersaddle::dispatch
