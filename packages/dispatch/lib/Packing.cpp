// Tightest fit: of the workers that can take a task, the one with the least
// room left afterwards, GPUs first. Whole free workers stay free for tasks
// that need all GPUs of one.
#include "Packing.h"
#include <algorithm>
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

std::vector<std::size_t> pack(const Fleet &F, Room &Free,
                              std::span<const std::size_t> Candidates,
                              const Waiting &W, std::size_t Count) {
  const workload::Step &S = W.step();
  Resources Need = S.room();
  std::map<std::size_t, unsigned> Here;
  if (S.MaxPerWorker) {
    auto Known = F.StepTasks.find({W.Job->Spec.Id, W.Occurrence, W.Step, 0});
    if (Known != F.StepTasks.end())
      for (std::size_t C : Candidates)
        if (auto It = Known->second.find(F.Workers[C].Id);
            It != Known->second.end())
          Here[C] = It->second;
  }
  std::vector<std::size_t> Where;
  while (Where.size() < Count) {
    const std::size_t *Best = nullptr;
    std::tuple<int, std::int64_t, std::int64_t, std::int64_t> BestKey;
    for (const std::size_t &C : Candidates) {
      const Worker &On = F.Workers[C];
      if (!Need.fitsIn(Free[C]) ||
          (S.MaxPerWorker && Here[C] >= S.MaxPerWorker))
        continue;
      int Doubt = (On.Doubtful ? 1 : 0) + (W.Avoid.contains(On.Id) ? 2 : 0);
      auto Key = std::make_tuple(Doubt, Free[C].Gpus - Need.Gpus,
                                 Free[C].CpuMilli - Need.CpuMilli,
                                 Free[C].MemoryMb - Need.MemoryMb);
      if (!Best || Key < BestKey) {
        Best = &C;
        BestKey = Key;
      }
    }
    if (!Best)
      break;
    // A worker that doubt falls on takes a task only when nothing else runs
    // it; the rest of the step does not follow.
    Free[*Best] -= Need;
    ++Here[*Best];
    Where.push_back(*Best);
  }
  return Where;
}

std::map<std::string, std::vector<std::size_t>> byRack(const Fleet &F,
                                                       const Waiting &W) {
  std::map<std::string, std::vector<std::size_t>> Racks;
  for (std::size_t N = 0; N < F.Workers.size(); ++N)
    if (allowed(F.Workers[N], W.Job->Spec, W.step()))
      Racks[F.Workers[N].Rack].push_back(N);
  return Racks;
}

static std::vector<std::size_t> tryPack(const Fleet &F, Room &Free,
                                        std::span<const std::size_t> On,
                                        const Waiting &W) {
  Room Trial = Free;
  auto Where = pack(F, Trial, On, W, W.Tasks.size());
  if (Where.size() < W.Tasks.size())
    return {};
  Free = std::move(Trial);
  return Where;
}

std::vector<std::size_t> packGang(const Fleet &F, Room &Free, const Waiting &W,
                                  bool MaySpread) {
  auto Racks = byRack(F, W);
  const workload::Step &S = W.step();
  if (!S.DataRack.empty())
    if (auto It = Racks.find(S.DataRack); It != Racks.end())
      if (auto Where = tryPack(F, Free, It->second, W); !Where.empty())
        return Where;
  if (S.SameRack) {
    // The rack with the least free room that holds the gang.
    std::vector<std::pair<std::int64_t, std::string>> Order;
    for (const auto &[Rack, Members] : Racks) {
      std::int64_t Gpus = 0;
      for (std::size_t N : Members)
        Gpus += std::max<std::int64_t>(0, Free[N].Gpus);
      Order.emplace_back(Gpus, Rack);
    }
    std::sort(Order.begin(), Order.end());
    for (const auto &[Gpus, Rack] : Order)
      if (auto Where = tryPack(F, Free, Racks[Rack], W); !Where.empty())
        return Where;
    if (!MaySpread)
      return {};
  }
  std::vector<std::size_t> All;
  for (const auto &[Rack, Members] : Racks)
    All.insert(All.end(), Members.begin(), Members.end());
  return tryPack(F, Free, All, W);
}

bool fitsOneEmptyRack(const Fleet &F, const Waiting &W) {
  Room Empty(F.Workers.size());
  for (std::size_t N = 0; N < F.Workers.size(); ++N)
    Empty[N] = F.Workers[N].Capacity;
  for (const auto &[Rack, Members] : byRack(F, W)) {
    Room Trial = Empty;
    if (pack(F, Trial, Members, W, W.Tasks.size()).size() == W.Tasks.size())
      return true;
  }
  return false;
}

} // namespace heathersaddle::dispatch
