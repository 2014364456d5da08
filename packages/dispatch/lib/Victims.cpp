// Load pattern: a burst of urgent gangs on a full pool.
//
// Greedy: task by task, the worker where making room costs the least work.
// Units are stopped whole, so a gang that is already chosen frees its room on
// all its workers at no further cost. Work of another account within its
// reserved share is never stopped, and only urgent work within the reserved
// share of its own account stops other urgent work.
#include "Victims.h"
#include <algorithm>

namespace heathersaddle::dispatch {

/// Cores that a GPU counts as when lost work is valued; from the price list of
/// the deployments.
static constexpr double CoresPerGpu = 8;
/// Value of the interruption itself, in core-seconds; a unit that has just
/// begun is not free to stop, since it has to start again.
static constexpr double RestartCost = 20;

static bool mayStop(const Allocation &R, const WaitingTasks &W) {
  if (!R.Stoppable || R.Unit.Job == W.Job->Spec.Id || R.Guaranteed)
    return false;
  return R.Priority > 0 || W.Guaranteed;
}

static double cost(const Allocation &R) {
  double Cores = static_cast<double>(R.Room.CpuMilli) / 1000 +
                 CoresPerGpu * static_cast<double>(R.Room.Gpus);
  // Urgent work is lost only when nothing else can go.
  double Weight = R.Priority == 0 ? 10 : 1;
  return Weight *
         (Cores * static_cast<double>(R.LostIfStoppedMs) / 1000 + RestartCost);
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
                                     const Room &Free,
                                     std::span<const std::size_t> Candidates,
                                     const WaitingTasks &W) {
  Room Left = Free;
  Resources Need = W.step().room();
  Eviction E;
  std::map<std::size_t, unsigned> Here;
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
      if (!Need.fitsIn(On.Capacity) ||
          (W.step().MaxPerWorker && Here[C] >= W.step().MaxPerWorker))
        continue;
      // Stop the cheapest units of this worker until the task fits.
      std::vector<const Allocation *> Order;
      for (const Allocation &R : On.Allocations)
        if (mayStop(R, W) && !E.Units.contains(R.Unit))
          Order.push_back(&R);
      std::sort(Order.begin(), Order.end(),
                [&](const Allocation *A, const Allocation *B) {
                  return UnitCost.at(A->Unit) < UnitCost.at(B->Unit);
                });
      Resources Room = Left[C];
      std::vector<UnitId> Units;
      double Cost = unsound(On, W) ? DoubtCost : 0;
      for (const Allocation *R : Order) {
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
      // Among equal costs, the tightest fit.
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
    ++Here[*Best];
    E.Workers.push_back(*Best);
    E.Cost += BestCost;
  }
  return E;
}

} // namespace heathersaddle::dispatch
