// Tightest fit: of the workers that have room for a task, the one with the
// least room left afterwards is used, comparing GPUs first. This keeps empty
// workers free for tasks that need all GPUs of a worker. Where workers differ
// in speed, that holds within each class of speed (SpeedChoice.cpp).
#include "Packing.h"
#include "heathersaddle/dispatch/Crashes.h"
#include <algorithm>
#include <limits>

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
  return pack(F, Free, Candidates, W, Count, SpeedOrder::forTasks(W));
}

std::vector<std::size_t> pack(const Fleet &F, FreeResources &Free,
                              std::span<const std::size_t> Candidates,
                              const WaitingTasks &W, std::size_t Count,
                              const SpeedOrder &Speeds) {
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
  // A task that may crash the worker goes where the least work is lost.
  std::int64_t Sign = W.Crashes ? -1 : 1;
  // The best candidate is at the front of a heap, so that each task costs the
  // logarithm of the number of candidates.
  struct Candidate {
    int Penalty;
    int SpeedRank;
    Resources Left; ///< Signed room beside the task.
    std::size_t Position;
    std::size_t Worker;
    bool operator<(const Candidate &O) const {
      return std::tie(O.Penalty, O.SpeedRank, O.Left.Gpus, O.Left.CpuMilli,
                      O.Left.MemoryMb, O.Position) <
             std::tie(Penalty, SpeedRank, Left.Gpus, Left.CpuMilli,
                      Left.MemoryMb, Position);
    }
  };
  auto MayTakeOne = [&](std::size_t C) {
    return Need.fitsIn(Free[C]) &&
           (!S.MaxPerWorker || TasksOnWorker[C] < S.MaxPerWorker);
  };
  auto LeftOn = [&](std::size_t C) {
    return Resources{Sign * (Free[C].CpuMilli - Need.CpuMilli),
                     Sign * (Free[C].MemoryMb - Need.MemoryMb),
                     Sign * (Free[C].Gpus - Need.Gpus)};
  };
  std::vector<Candidate> Best;
  for (std::size_t N = 0; N < Candidates.size(); ++N) {
    std::size_t C = Candidates[N];
    const Worker &On = F.Workers[C];
    if (MayTakeOne(C) && mayShare(On, W))
      Best.push_back({penalty(On, W) + companyPenalty(On, W),
                      Speeds.rank(On, W), LeftOn(C), N, C});
  }
  std::make_heap(Best.begin(), Best.end());
  std::vector<std::size_t> Where;
  while (Where.size() < Count && !Best.empty()) {
    // The choice is made for each task: a worker with a penalty gets one only
    // if no better worker has room, and the rest of the step does not follow.
    std::pop_heap(Best.begin(), Best.end());
    std::size_t C = Best.back().Worker;
    Free[C] -= Need;
    if (S.MaxPerWorker)
      ++TasksOnWorker[C];
    Where.push_back(C);
    if (MayTakeOne(C)) {
      Best.back().Left = LeftOn(C);
      std::push_heap(Best.begin(), Best.end());
    } else {
      Best.pop_back();
    }
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

/// How many tasks of \p W a worker with \p Room can hold.
static std::int64_t maxTasks(const Resources &Room, const WaitingTasks &W) {
  Resources Need = W.step().room();
  std::int64_t Limit = std::numeric_limits<std::int64_t>::max();
  if (Need.CpuMilli)
    Limit = std::min(Limit, Room.CpuMilli / Need.CpuMilli);
  if (Need.MemoryMb)
    Limit = std::min(Limit, Room.MemoryMb / Need.MemoryMb);
  if (Need.Gpus)
    Limit = std::min(Limit, Room.Gpus / Need.Gpus);
  if (W.step().MaxPerWorker)
    Limit = std::min<std::int64_t>(Limit, W.step().MaxPerWorker);
  return std::max<std::int64_t>(0, Limit);
}

namespace {

/// The classes of the slowest and the fastest member of a gang.
struct GangSpeed {
  int Slowest = 0;
  int Fastest = 0;
};

} // namespace

/// The speeds that gang \p W would get on \p Candidates: for urgent work the
/// slowest member is as fast as possible, for other work only as fast as it
/// needs to be. None if the gang does not fit.
static std::optional<GangSpeed>
speedOfGang(const Fleet &F, const FreeResources &Free,
            std::span<const std::size_t> Candidates, const WaitingTasks &W) {
  std::map<int, std::int64_t> Room;
  for (std::size_t C : Candidates)
    if (W.step().room().fitsIn(Free[C]) && mayShare(F.Workers[C], W))
      Room[speedClass(F.Workers[C], W)] += std::min(
          maxTasks(Free[C], W), static_cast<std::int64_t>(W.Tasks.size()));
  auto Wanted = static_cast<std::int64_t>(W.Tasks.size());
  std::int64_t Left = Wanted;
  auto Slowest = Room.end();
  while (Left > 0) {
    if (Slowest == Room.begin())
      return std::nullopt;
    Left -= (--Slowest)->second;
  }
  if (W.Job->Spec.Priority != 0)
    while (Slowest != Room.begin() &&
           std::prev(Slowest)->first >= W.NeededSpeed)
      --Slowest;
  auto Fastest = Slowest;
  for (Left = Wanted - Fastest->second; Left > 0; Left -= Fastest->second)
    ++Fastest;
  return GangSpeed{Slowest->first, Fastest->first};
}

static std::vector<std::size_t> tryPack(const Fleet &F, FreeResources &Free,
                                        std::span<const std::size_t> On,
                                        const WaitingTasks &W) {
  SpeedOrder Speeds;
  if (W.SpeedMatters) {
    auto Gang = speedOfGang(F, Free, On, W);
    if (!Gang)
      return {};
    Speeds = SpeedOrder::forGang(Gang->Slowest);
  }
  auto Where = pack(F, Free, On, W, W.Tasks.size(), Speeds);
  if (Where.size() == W.Tasks.size())
    return Where;
  Resources Need = W.step().room();
  for (std::size_t N : Where)
    Free[N] += Need;
  return {};
}

namespace {

/// A rack that may hold a gang. Racks with lower values are tried first.
struct RackChoice {
  int TooSlow = 0; ///< By how many classes it is slower than wanted.
  int Fastest = 0; ///< The class of the fastest worker that it would use.
  std::int64_t FreeGpus = 0;
  const Rack *On = nullptr;
  bool operator<(const RackChoice &O) const {
    return std::tie(TooSlow, Fastest, FreeGpus, On->Name) <
           std::tie(O.TooSlow, O.Fastest, O.FreeGpus, O.On->Name);
  }
};

} // namespace

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
    std::int64_t Wanted =
        S.Need.Gpus * static_cast<std::int64_t>(W.Tasks.size());
    std::vector<RackChoice> Order;
    for (const Rack &One : ByRack) {
      std::int64_t Gpus = 0;
      for (std::size_t N : One.Members)
        Gpus += std::max<std::int64_t>(0, Free[N].Gpus);
      if (Gpus < Wanted)
        continue;
      RackChoice Choice{0, 0, Gpus, &One};
      if (W.SpeedMatters) {
        auto Gang = speedOfGang(F, Free, One.Members, W);
        if (!Gang)
          continue;
        Choice.Fastest = Gang->Fastest;
        Choice.TooSlow = W.Job->Spec.Priority == 0
                             ? -Gang->Slowest
                             : std::max(0, W.NeededSpeed - Gang->Slowest);
      }
      Order.push_back(Choice);
    }
    std::sort(Order.begin(), Order.end());
    for (const RackChoice &Choice : Order)
      if (auto Where = tryPack(F, Free, Choice.On->Members, W); !Where.empty())
        return Where;
    if (!MaySpread)
      return {};
  }
  return tryPack(F, Free, R.workersFor(W), W);
}

bool fitsOneEmptyRack(const Fleet &F, Racks &R, const WaitingTasks &W) {
  // Workers differ little, so the tasks that each could hold are added up
  // instead of packing them.
  auto Wanted = static_cast<std::int64_t>(W.Tasks.size());
  for (const Rack &One : R.racksFor(W)) {
    std::int64_t Left = Wanted;
    for (std::size_t N : One.Members) {
      Left -= std::min(Left, maxTasks(F.Workers[N].Capacity, W));
      if (!Left)
        return true;
    }
  }
  return false;
}

} // namespace heathersaddle::dispatch
