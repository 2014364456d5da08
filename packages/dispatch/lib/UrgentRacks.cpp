// Load pattern: urgent gangs arrive all day and run for a few seconds each, on
// a pool that other work would fill.
//
// Whole racks are kept for urgent work, as many as it has needed lately. An
// urgent gang then starts at once, on one rack, and without stopping anything.
// These racks are not idle: work that saves its progress may run there, since a
// stop costs it little.
//
// Where workers differ in speed, only those that are fast enough for urgent
// work are kept, in the racks that have most of them, so that whole gangs fit.
// The other workers of these racks take any work.
#include "UrgentRacks.h"
#include <algorithm>

namespace heathersaddle::dispatch {

/// GPUs kept per GPU that urgent work needs; above 1 because gangs leave gaps.
static constexpr double UrgentRackHeadroom = 1.2;
/// Largest share of the GPUs of the pool that is kept for urgent work.
static constexpr double MaxUrgentRackShare = 0.5;

std::vector<bool> workersInUrgentRacks(const Fleet &F, std::int64_t UrgentGpus,
                                       std::optional<int> NeededSpeed) {
  auto FastEnough = [NeededSpeed](const Worker &W) {
    return !NeededSpeed || (W.Speed.Known && W.Speed.Class >= *NeededSpeed);
  };
  std::map<std::string_view, std::int64_t> Racks;
  std::int64_t Total = 0;
  for (const Worker &W : F.Workers)
    if (W.Usable && !W.Avoided && FastEnough(W)) {
      Racks[W.Rack] += W.Capacity.Gpus;
      Total += W.Capacity.Gpus;
    }
  std::vector<std::pair<std::string_view, std::int64_t>> Order(Racks.begin(),
                                                               Racks.end());
  if (NeededSpeed)
    std::stable_sort(
        Order.begin(), Order.end(),
        [](const auto &A, const auto &B) { return A.second > B.second; });
  auto Wanted = std::min(UrgentRackHeadroom * static_cast<double>(UrgentGpus),
                         MaxUrgentRackShare * static_cast<double>(Total));
  std::set<std::string_view> Chosen;
  for (const auto &[Rack, Gpus] : Order) {
    if (Wanted < static_cast<double>(Gpus) / 2)
      break;
    Wanted -= static_cast<double>(Gpus);
    Chosen.insert(Rack);
  }
  std::vector<bool> InUrgentRack(F.Workers.size());
  for (std::size_t N = 0; N < F.Workers.size(); ++N)
    InUrgentRack[N] =
        Chosen.contains(F.Workers[N].Rack) && FastEnough(F.Workers[N]);
  return InUrgentRack;
}

bool mayUseUrgentRacks(const WaitingTasks &W) {
  return W.Job->Spec.Priority == 0 ||
         (W.step().SavesProgress && !W.step().Gang);
}

} // namespace heathersaddle::dispatch
