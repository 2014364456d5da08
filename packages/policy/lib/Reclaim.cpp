// Preemption of running jobs with the least loss of progress. For a single
// task, every range of the candidate workers is compared; for a gang, victims
// are added in order of their loss until the gang fits, found by bisection. The
// number of workers and of searches per pass is bounded.
#include "Pass.h"
#include <algorithm>
#include <bit>

namespace heathersaddle::policy {

using pool::NoId;
using pool::SlotMask;
using pool::Tasks;
using pool::WorkerId;

// Workers on which ranges are compared for one task, and workers sampled for a
// gang.
static constexpr std::size_t MaxTaskCandidates = 64;
static constexpr std::size_t MaxGangWorkers = 256;
// Workers sampled for one task in a pass; the next pass continues with others.
static constexpr std::size_t MaxTaskWorkers = 512;
// Overrunning jobs considered for preemption in one search.
static constexpr std::size_t MaxOverrunJobs = 32;

std::int64_t Pass::progressLostBy(const Job &J) const {
  return std::max<base::WallMs>(Now - J.ProgressAt, 1) * J.Shape.totalSlots();
}

// Whether the claim may stop the job.
bool Pass::mayStop(const pool::JobRow &R, const Claim &C) const {
  const Job *J = CoreState.find(R.Name);
  if (!J)
    return false;
  bool OwnAccount = R.Account == C.Owner;
  switch (C.Kind) {
  case HoldKind::Guarantee:
    return !OwnAccount;
  case HoldKind::Urgent:
    return J->Idempotent && !J->Urgent &&
           (OwnAccount || !PoolTable.isGuaranteed(R));
  case HoldKind::Overrun:
    return J->Idempotent && !J->Urgent && J->Overrun &&
           !PoolTable.isGuaranteed(R);
  case HoldKind::Gang:
    // Gangs are not stopped for each other: each stop would leave a region
    // idle.
    return J->Idempotent && !J->Urgent && J->Shape.Tasks == 1 &&
           !PoolTable.isGuaranteed(R);
  case HoldKind::Swap:
    return false;
  }
  return false;
}

Victim Pass::victim(pool::JobId Id, const Claim &C) const {
  const pool::JobRow &R = PoolTable.Jobs[Id];
  const Job *J = CoreState.find(R.Name);
  if (!J)
    return {};
  if (J->State == JobState::Stopping || StoppedThisPass.contains(R.Name))
    return {Id, 0};
  return mayStop(R, C) ? Victim{Id, progressLostBy(*J)} : Victim{};
}

// Slots of a worker on which the claim may place its job, occupied or not.
SlotMask Pass::eligibleSlots(WorkerId W, const Claim &C) const {
  const pool::WorkerRow &R = PoolTable.Rows[W];
  if (R.Status != pool::WorkerStatus::Up || IsProbing[W])
    return 0;
  if (const JobIssues *Issues = C.Claimant->Issues.get();
      Issues && !Issues->NoAlternative)
    if (std::find(Issues->FailedOn.begin(), Issues->FailedOn.end(),
                  R.Spec.Name) != Issues->FailedOn.end())
      return 0;
  SlotMask Own = R.homeOf(C.Owner);
  SlotMask M = R.AllSlots;
  if (C.Kind == HoldKind::Guarantee)
    M = Own;
  else if (!C.Claimant->Idempotent || C.Kind == HoldKind::Overrun)
    M = ~R.Homed | Own;
  return M & R.AllSlots &
         ~(C.Kind == HoldKind::Guarantee ? Unavailable : UnavailableOrHeld)[W];
}

SlotMask Pass::takeableSlots(WorkerId W, const Claim &C) const {
  const pool::WorkerRow &R = PoolTable.Rows[W];
  SlotMask M = eligibleSlots(W, C);
  SlotMask Out = M & R.Unallocated;
  pool::JobId Last = NoId;
  bool Usable = false;
  for (SlotMask Held = M & ~R.Unallocated; Held; Held &= Held - 1) {
    unsigned Slot = std::countr_zero(Held);
    if (R.JobAt[Slot] != Last) {
      Last = R.JobAt[Slot];
      Usable = victim(Last, C).Id != NoId;
    }
    if (Usable)
      Out |= SlotMask{1} << Slot;
  }
  return Out;
}

std::vector<Victim> Pass::victimsOn(const Tasks &Region, const Claim &C) const {
  std::vector<Victim> Found;
  std::set<pool::JobId> Seen;
  for (const pool::TaskSlots &Part : Region) {
    const pool::WorkerRow &R = PoolTable.Rows[Part.Worker];
    pool::JobId Last = NoId;
    for (SlotMask M = Part.Slots & ~R.Unallocated; M; M &= M - 1) {
      pool::JobId Id = R.JobAt[std::countr_zero(M)];
      if (Id == Last)
        continue;
      Last = Id;
      if (!Seen.insert(Id).second)
        continue;
      if (Victim V = victim(Id, C); V.Id != NoId)
        Found.push_back(V);
    }
  }
  return Found;
}

std::int64_t Pass::claimCost(const Tasks &Region, const Claim &C) const {
  std::int64_t Sum = 0;
  for (const Victim &V : victimsOn(Region, C))
    Sum += V.LostMs;
  return Sum;
}

std::optional<Tasks> Pass::cheapestTask(const Job &J, const Claim &C,
                                        std::span<const WorkerId> Rows,
                                        std::size_t Enough) const {
  Tasks Best;
  std::int64_t BestCost = 0;
  unsigned Size = J.Shape.SlotsPerTask;
  unsigned Block = std::bit_ceil(Size);
  for (WorkerId W : Rows) {
    SlotMask M = takeableSlots(W, C);
    if (J.Shape.Accelerators)
      M &= PoolTable.Rows[W].Accelerated;
    bool Any = false;
    for (unsigned Low = 0; Low + Size <= pool::MaxSlots; ++Low) {
      SlotMask Range = pool::lowSlots(Size) << Low;
      if (Low / Block != (Low + Size - 1) / Block || (M & Range) != Range)
        continue;
      Tasks Here{{W, Range}};
      std::int64_t Cost = claimCost(Here, C);
      Any = true;
      if (Best.empty() || Cost < BestCost) {
        Best = std::move(Here);
        BestCost = Cost;
      }
    }
    if (Any && --Enough == 0)
      break;
  }
  return Best.empty() ? std::nullopt : std::optional(std::move(Best));
}

std::optional<Tasks> Pass::cheapestGang(const Job &J, const Claim &C,
                                        std::span<const WorkerId> Rows) const {
  std::vector<SlotMask> Usable(PoolTable.Rows.size(), 0);
  Tasks Whole;
  for (WorkerId W : Rows) {
    Usable[W] = eligibleSlots(W, C);
    Whole.push_back({W, Usable[W]});
  }
  std::vector<Victim> All = victimsOn(Whole, C);
  std::sort(All.begin(), All.end(), [&](const Victim &A, const Victim &B) {
    return std::tie(A.LostMs, PoolTable.Jobs[A.Id].Name) <
           std::tie(B.LostMs, PoolTable.Jobs[B.Id].Name);
  });
  auto Attempt = [&](std::size_t Count) {
    std::vector<SlotMask> M = Usable;
    for (WorkerId W : Rows)
      M[W] &= PoolTable.Rows[W].Unallocated;
    for (std::size_t V = 0; V != Count; ++V)
      for (const pool::TaskSlots &Part : PoolTable.Jobs[All[V].Id].Where)
        M[Part.Worker] |= Part.Slots & Usable[Part.Worker];
    return pool::placeOn(PoolTable, J.Shape, std::move(M));
  };
  auto Best = Attempt(All.size());
  std::size_t Low = 0, High = All.size();
  while (Best && Low < High) {
    std::size_t Middle = (Low + High) / 2;
    if (auto Found = Attempt(Middle)) {
      Best = std::move(Found);
      High = Middle;
    } else {
      Low = Middle + 1;
    }
  }
  return Best;
}

// Workers to compare, starting where the last sample ended; whole racks for a
// gang that must be within one rack.
std::vector<WorkerId> Pass::sampleWorkers(const Job &J, std::size_t Most) {
  std::vector<WorkerId> Rows;
  if (J.Shape.Within == pool::Adjacency::Rack && J.Shape.Tasks > 1) {
    std::vector<const std::vector<WorkerId> *> Racks;
    for (const auto &[Name, Members] : PoolTable.Racks)
      Racks.push_back(&Members);
    for (std::size_t I = 0; I != Racks.size() && Rows.size() < Most; ++I) {
      const auto &R = *Racks[(CoreState.SampleStart + I) % Racks.size()];
      Rows.insert(Rows.end(), R.begin(), R.end());
    }
  } else {
    for (std::size_t I = 0;
         I != PoolTable.WorkersByName.size() && Rows.size() < Most; ++I) {
      WorkerId W = PoolTable.WorkersByName[(CoreState.SampleStart + I) %
                                           PoolTable.WorkersByName.size()];
      if (!J.Shape.Accelerators || PoolTable.Rows[W].Accelerated)
        Rows.push_back(W);
    }
  }
  CoreState.SampleStart =
      (CoreState.SampleStart + Rows.size()) %
      std::max<std::size_t>(PoolTable.WorkersByName.size(), 1);
  return Rows;
}

std::vector<WorkerId> Pass::overrunWorkers() const {
  std::set<WorkerId> Rows;
  std::size_t Left = MaxOverrunJobs;
  for (const Job *J : CoreState.OverrunningJobs) {
    if (Left-- == 0)
      break;
    if (pool::JobId Id = PoolTable.job(J->Id); Id != NoId)
      for (const pool::TaskSlots &Part : PoolTable.Jobs[Id].Where)
        Rows.insert(Part.Worker);
  }
  return {Rows.begin(), Rows.end()};
}

void Pass::stopJob(pool::JobId Id, HoldKind Kind, const Job &For) {
  static constexpr const char *Reasons[] = {"reclaim", "reclaim", "urgent",
                                            "overrun", "defragment"};
  const std::string &Name = PoolTable.Jobs[Id].Name;
  const Job *J = CoreState.find(Name);
  if (!J || J->State != JobState::Placed ||
      !StoppedThisPass.insert(Name).second)
    return;
  Decisions.push_back(StopDecision{Name, Reasons[static_cast<int>(Kind)],
                                   CoreState.Accounts[For.Account].Name});
}

void Pass::holdRegion(Job &J, const Claim &C, Tasks Region) {
  for (const Victim &V : victimsOn(Region, C))
    stopJob(V.Id, C.Kind, J);
  markUnavailable(Region);
  Hold H{C.Kind, std::move(Region),
         Now,    Now + CoreState.Config.ReclaimGrace.count(),
         0,      false,
         {}};
  CoreState.Holds.insert_or_assign(J.Id, std::move(H));
}

Pass::Claim Pass::claimOf(const Job &J, HoldKind Kind) const {
  return {Kind, &J, PoolTable.account(CoreState.Accounts[J.Account].Name)};
}

// Frees homes of the account that borrowers occupy: swaps them for others, or
// stops the borrowers.
Pass::Outcome Pass::reclaim(Job &J, bool AtNoLoss) {
  Claim C = claimOf(J, HoldKind::Guarantee);
  if (!J.Shape.Accelerators ||
      PoolTable.homeSlots(C.Owner) < J.Shape.totalSlots())
    return Outcome::Blocked;
  ++CostlySearches;
  std::vector<SlotMask> Saved = Unavailable;
  for (const auto &[Id, H] : CoreState.Holds)
    if (const Job *Other = CoreState.find(Id);
        Other && Other->Account == J.Account)
      for (const pool::TaskSlots &R : H.Region)
        if (R.Worker < Unavailable.size())
          Unavailable[R.Worker] |= R.Slots;
  auto Rows = PoolTable.homeWorkers(C.Owner);
  auto Region = J.Shape.Tasks == 1 ? cheapestTask(J, C, Rows, Rows.size() + 1)
                                   : cheapestGang(J, C, Rows);
  std::int64_t Cost = Region ? claimCost(*Region, C) : 0;
  Unavailable = std::move(Saved);
  if (!Region)
    return rebindLostHome(J) ? Outcome::Waits : Outcome::Blocked;
  if (AtNoLoss)
    return trySwap(J, *Region, Cost, 0) ? Outcome::Waits : Outcome::Blocked;
  // A swap that saves less than half would only shift the loss to another
  // account.
  if (!trySwap(J, *Region, Cost, Cost / 2))
    holdRegion(J, C, std::move(*Region));
  return Outcome::Waits;
}

Pass::Outcome Pass::preempt(Job &J, HoldKind Kind) {
  ++CostlySearches;
  Claim C = claimOf(J, Kind);
  std::vector<WorkerId> Rows =
      Kind == HoldKind::Overrun
          ? overrunWorkers()
          : sampleWorkers(J,
                          J.Shape.Tasks == 1 ? MaxTaskWorkers : MaxGangWorkers);
  SearchPartial =
      Kind == HoldKind::Overrun || Rows.size() < PoolTable.WorkersByName.size();
  auto Region = J.Shape.Tasks == 1 ? cheapestTask(J, C, Rows, MaxTaskCandidates)
                                   : cheapestGang(J, C, Rows);
  if (!Region)
    return Outcome::Blocked;
  holdRegion(J, C, std::move(*Region));
  return Outcome::Waits;
}

} // namespace heathersaddle::policy
