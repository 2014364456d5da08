// Tightest fit: of the workers that have room for a task, the one with the
// least room left afterwards is used, comparing GPUs first. This keeps empty
// workers free for tasks that need all GPUs of a worker.
#include "Packing.h"
#include "heathersaddle/dispatch/Crashes.h"
#include <algorithm>
#include <limits>
#include <tuple>

namespace heathersaddle::dispatch {

bool Worker::hasLabel(std::string_view Label) const {
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

bool allowed(const Worker &W, const workload::JobSpec &Spec,
             const workload::Step &S) {
  return W.Usable && W.Service == Spec.Service &&
         (S.RequiredLabel.empty() || W.hasLabel(S.RequiredLabel));
}

bool allowed(const Worker &On, const WaitingTasks &W) {
  return allowed(On, W.Job->Spec, W.step()) &&
         (!W.AllowedWorkers || W.AllowedWorkers->contains(On.Id));
}

int penalty(const Worker &On, const WaitingTasks &W) {
  constexpr int Worst = static_cast<int>(WorkerCondition::Slow) + 1;
  return static_cast<int>(On.Condition) +
         (W.AvoidedWorkers.contains(On.Id) ? Worst : 0) +
         (On.Avoided ? 2 * Worst : 0);
}

bool isDegraded(const Worker &On, const WaitingTasks &W) {
  return penalty(On, W) > static_cast<int>(WorkerCondition::Suspect);
}

/// Penalty of the worker because of the work that runs there.
static int companyPenalty(const Worker &On, const WaitingTasks &W) {
  constexpr int Alone = 4 * (static_cast<int>(WorkerCondition::Slow) + 1);
  if (On.TenantCrashes >= AloneFromCrashes ||
      (W.Crashes >= AloneFromCrashes && On.Occupied))
    return Alone;
  return W.Crashes && On.TenantCrashes ? 1 : 0;
}

std::vector<std::size_t> pack(const Fleet &F, FreeResources &Free,
                              std::span<const std::size_t> Candidates,
                              const WaitingTasks &W, std::size_t Count) {
  const workload::Step &S = W.step();
  Resources Need = S.room();
  std::map<std::size_t, unsigned> TasksOnWorker;
  if (S.MaxPerWorker) {
    auto Counts = F.StepTasks.find({W.Job->Spec.Id, W.Occurrence, W.Step, 0});
    if (Counts != F.StepTasks.end())
      for (std::size_t C : Candidates)
        if (auto It = Counts->second.find(F.Workers[C].Id);
            It != Counts->second.end())
          TasksOnWorker[C] = It->second;
  }
  std::vector<std::size_t> Where;
  while (Where.size() < Count) {
    const std::size_t *Best = nullptr;
    std::tuple<int, std::int64_t, std::int64_t, std::int64_t> BestKey;
    for (const std::size_t &C : Candidates) {
      const Worker &On = F.Workers[C];
      if (!Need.fitsIn(Free[C]) || !mayShare(On, W) ||
          (S.MaxPerWorker && TasksOnWorker[C] >= S.MaxPerWorker))
        continue;
      // A task that may crash the worker goes where the least work is lost.
      std::int64_t Sign = W.Crashes ? -1 : 1;
      auto Key = std::make_tuple(penalty(On, W) + companyPenalty(On, W),
                                 Sign * (Free[C].Gpus - Need.Gpus),
                                 Sign * (Free[C].CpuMilli - Need.CpuMilli),
                                 Sign * (Free[C].MemoryMb - Need.MemoryMb));
      if (!Best || Key < BestKey) {
        Best = &C;
        BestKey = Key;
      }
    }
    if (!Best)
      break;
    // The choice is made for each task: a worker with a penalty gets one only
    // if no better worker has room, and the rest of the step does not follow.
    Free[*Best] -= Need;
    ++TasksOnWorker[*Best];
    Where.push_back(*Best);
  }
  return Where;
}

Racks::Kind &Racks::kind(const WaitingTasks &W) {
  UnitId Limited;
  if (W.AllowedWorkers)
    Limited = {W.Job->Spec.Id, W.Occurrence, W.Step, 0};
  auto [It, New] = Kinds.try_emplace(std::make_tuple(W.Job->Spec.Service,
                                                     W.step().RequiredLabel,
                                                     Limited, W.MayUseAnyRoom),
                                     Kind());
  if (!New)
    return It->second;
  std::map<std::string_view, std::size_t> Index;
  for (std::size_t N = 0; N < CurrentFleet.Workers.size(); ++N) {
    const Worker &On = CurrentFleet.Workers[N];
    if (!allowed(On, W) || (On.Avoided && !W.MayUseAnyRoom))
      continue;
    auto [At, First] = Index.try_emplace(On.Rack, It->second.ByRack.size());
    if (First)
      It->second.ByRack.push_back({On.Rack, {}});
    It->second.ByRack[At->second].Members.push_back(N);
    It->second.All.push_back(N);
  }
  std::sort(It->second.ByRack.begin(), It->second.ByRack.end(),
            [](const Rack &A, const Rack &B) { return A.Name < B.Name; });
  return It->second;
}

const std::vector<Rack> &Racks::racksFor(const WaitingTasks &W) {
  return kind(W).ByRack;
}
const std::vector<std::size_t> &Racks::workersFor(const WaitingTasks &W) {
  return kind(W).All;
}

static std::vector<std::size_t> tryPack(const Fleet &F, FreeResources &Free,
                                        std::span<const std::size_t> On,
                                        const WaitingTasks &W) {
  auto Where = pack(F, Free, On, W, W.Tasks.size());
  if (Where.size() == W.Tasks.size())
    return Where;
  Resources Need = W.step().room();
  for (std::size_t N : Where)
    Free[N] += Need;
  return {};
}

std::vector<std::size_t> packGang(const Fleet &F, Racks &R, FreeResources &Free,
                                  const WaitingTasks &W, bool MaySpread) {
  const auto &ByRack = R.racksFor(W);
  const workload::Step &S = W.step();
  if (!S.DataRack.empty())
    for (const Rack &One : ByRack)
      if (One.Name == S.DataRack)
        if (auto Where = tryPack(F, Free, One.Members, W); !Where.empty())
          return Where;
  if (S.SameRack) {
    // Uses the rack with the least free GPUs that can hold the gang.
    std::int64_t Wanted =
        S.Need.Gpus * static_cast<std::int64_t>(W.Tasks.size());
    std::vector<std::pair<std::int64_t, const Rack *>> Order;
    for (const Rack &One : ByRack) {
      std::int64_t Gpus = 0;
      for (std::size_t N : One.Members)
        Gpus += std::max<std::int64_t>(0, Free[N].Gpus);
      if (Gpus >= Wanted)
        Order.emplace_back(Gpus, &One);
    }
    std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
      return std::tie(A.first, A.second->Name) <
             std::tie(B.first, B.second->Name);
    });
    for (const auto &[Gpus, One] : Order)
      if (auto Where = tryPack(F, Free, One->Members, W); !Where.empty())
        return Where;
    if (!MaySpread)
      return {};
  }
  return tryPack(F, Free, R.workersFor(W), W);
}

bool fitsOneEmptyRack(const Fleet &F, Racks &R, const WaitingTasks &W) {
  // Workers differ little, so the tasks that each could hold are added up
  // instead of packing them.
  Resources Need = W.step().room();
  auto MaxTasksOn = [&](const Resources &Room) {
    std::int64_t Limit = std::numeric_limits<std::int64_t>::max();
    if (Need.CpuMilli)
      Limit = std::min(Limit, Room.CpuMilli / Need.CpuMilli);
    if (Need.MemoryMb)
      Limit = std::min(Limit, Room.MemoryMb / Need.MemoryMb);
    if (Need.Gpus)
      Limit = std::min(Limit, Room.Gpus / Need.Gpus);
    if (W.step().MaxPerWorker)
      Limit = std::min<std::int64_t>(Limit, W.step().MaxPerWorker);
    return Limit;
  };
  auto Wanted = static_cast<std::int64_t>(W.Tasks.size());
  for (const Rack &One : R.racksFor(W)) {
    std::int64_t Left = Wanted;
    for (std::size_t N : One.Members) {
      Left -= std::min(Left, MaxTasksOn(F.Workers[N].Capacity));
      if (!Left)
        return true;
    }
  }
  return false;
}

} // namespace heathersaddle::dispatch
