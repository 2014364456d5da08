// Swaps homes of equal shape, or moves a home to spare slots, so that an
// account gets its shape without stopping any job or with less work lost.
// Invariant G (a job in a home of another account is idempotent and not
// guaranteed) holds afterwards because neither region has a guaranteed job on
// it, and every job on a region that its account does not own afterwards can be
// stopped.
#include "Pass.h"
#include <algorithm>
#include <bit>

namespace heathersaddle::policy {

using pool::AccountId;
using pool::NoId;
using pool::SlotMask;
using pool::Tasks;
using pool::WorkerId;

Tasks Pass::regionOf(const pool::Home &H) const {
  Tasks Region;
  for (const pool::Placement &Part : H.Slots)
    Region.push_back({PoolTable.worker(Part.Worker), Part.Slots});
  return Region;
}

bool Pass::isAvailable(const Tasks &Region) const {
  return std::all_of(
      Region.begin(), Region.end(), [&](const pool::TaskSlots &Part) {
        return Part.Worker != NoId && !IsProbing[Part.Worker] &&
               PoolTable.Rows[Part.Worker].Status == pool::WorkerStatus::Up &&
               !(UnavailableOrHeld[Part.Worker] & Part.Slots);
      });
}

// Whether the region may become a home of the new owner, or spare for NoId.
bool Pass::mayChangeOwner(const Tasks &Region, AccountId NewOwner) const {
  for (pool::JobId Id : jobsIn(Region)) {
    const pool::JobRow &R = PoolTable.Jobs[Id];
    const Job *J = CoreState.find(R.Name);
    if (!J || PoolTable.isGuaranteed(R))
      return false;
    if (NewOwner != NoId && R.Account != NewOwner && !J->Idempotent)
      return false;
  }
  return true;
}

std::int64_t Pass::progressLostIn(const Tasks &Region) const {
  std::int64_t Sum = 0;
  for (pool::JobId Id : jobsIn(Region))
    if (const Job *J = CoreState.find(PoolTable.Jobs[Id].Name);
        J && J->State != JobState::Stopping)
      Sum += progressLostBy(*J);
  return Sum;
}

bool Pass::inOneRack(const pool::Home &H) const {
  const std::string &Rack =
      PoolTable.Rows[PoolTable.worker(H.Slots[0].Worker)].Spec.Rack;
  return std::all_of(
      H.Slots.begin(), H.Slots.end(), [&](const pool::Placement &Part) {
        return PoolTable.Rows[PoolTable.worker(Part.Worker)].Spec.Rack == Rack;
      });
}

bool Pass::sameShape(const pool::Home &A, const pool::Home &B) const {
  if (A.Slots.size() != B.Slots.size())
    return false;
  for (std::size_t I = 0; I != A.Slots.size(); ++I)
    if (std::popcount(A.Slots[I].Slots) != std::popcount(B.Slots[I].Slots))
      return false;
  return A.Slots.size() == 1 || inOneRack(A) == inOneRack(B);
}

// The home of the owner that contains the whole region; NoId when there is
// none.
std::uint32_t Pass::homeContaining(const Tasks &Region, AccountId Owner) const {
  std::uint32_t Around = NoId;
  for (const pool::TaskSlots &Part : Region) {
    std::uint32_t Here = NoId;
    for (const pool::HomePart &H : PoolTable.Rows[Part.Worker].Homes)
      if (H.Account == Owner && !(Part.Slots & ~H.Slots))
        Here = H.Home;
    if (Here == NoId || (Around != NoId && Here != Around))
      return NoId;
    Around = Here;
  }
  return Around;
}

// Finds a region outside all homes with the shape of the home: one block on
// each of as many workers. The slots are free or, with Held, also occupied by
// jobs that could be stopped once it is a home.
std::optional<Tasks> Pass::spareRegion(const pool::Home &H, bool Held) const {
  unsigned Size = std::popcount(H.Slots[0].Slots);
  std::vector<SlotMask> Free(PoolTable.Rows.size(), 0);
  for (WorkerId W : PoolTable.WorkersByName) {
    const pool::WorkerRow &R = PoolTable.Rows[W];
    if (R.Status != pool::WorkerStatus::Up)
      continue;
    SlotMask M = R.Unallocated;
    if (Held)
      for (pool::JobId Id : jobsIn({{W, R.AllSlots}}))
        if (const Job *J = CoreState.find(PoolTable.Jobs[Id].Name);
            J && J->Idempotent && !J->Urgent)
          for (const pool::TaskSlots &Part : PoolTable.Jobs[Id].Where)
            M |= Part.Worker == W ? Part.Slots : 0;
    M &= R.Accelerated & ~R.Homed & ~UnavailableOrHeld[W];
    Free[W] = IsProbing[W] ? 0 : pool::bestFit(M, Size).Slots;
  }
  for (const pool::Placement &Part : H.Slots)
    if (std::popcount(Part.Slots) != static_cast<int>(Size))
      return std::nullopt;
  bool Rack = H.Slots.size() > 1 && inOneRack(H);
  pool::Shape Shape{static_cast<unsigned>(H.Slots.size()), Size, true,
                    Rack ? pool::Adjacency::Rack : pool::Adjacency::None};
  return pool::placeOn(PoolTable, Shape, std::move(Free));
}

// Moves a home whose worker is lost to spare slots when its account needs it.
// Jobs that occupy those slots become borrowers, so they must be stoppable.
bool Pass::rebindLostHome(const Job &J) {
  AccountId Owner = PoolTable.account(CoreState.Accounts[J.Account].Name);
  for (std::uint32_t H = 0; H != PoolTable.Homes.size(); ++H) {
    const pool::Home &Mine = PoolTable.Homes[H];
    if (PoolTable.account(Mine.Account) != Owner)
      continue;
    Tasks Old = regionOf(Mine);
    bool Lost = std::any_of(Old.begin(), Old.end(), [&](auto &Part) {
      return PoolTable.Rows[Part.Worker].Status == pool::WorkerStatus::Lost;
    });
    if (!Lost || !jobsIn(Old).empty())
      continue;
    auto Region = spareRegion(Mine);
    if (!Region)
      Region = spareRegion(Mine, /*Held=*/true);
    if (!Region)
      continue;
    if (NewHomes.empty())
      NewHomes = PoolTable.Homes;
    if (!(NewHomes[H] == Mine))
      continue;
    NewHomes[H].Slots = PoolTable.toPlacements(*Region);
    markUnavailable(*Region);
    return true;
  }
  return false;
}

std::optional<Pass::HomeSwap> Pass::bestHomeSwap(std::uint32_t Home,
                                                 std::int64_t MaxLoss) const {
  const pool::Home &Mine = PoolTable.Homes[Home];
  Tasks Old = regionOf(Mine);
  AccountId Owner = PoolTable.account(Mine.Account);
  if (!isAvailable(Old) || !mayChangeOwner(Old, NoId))
    return std::nullopt;
  if (auto Free = spareRegion(Mine))
    return HomeSwap{NoId, std::move(*Free), 0};
  std::optional<HomeSwap> Best;
  for (std::uint32_t H = 0; H != PoolTable.Homes.size(); ++H) {
    const pool::Home &Other = PoolTable.Homes[H];
    if (Other.Account == Mine.Account || !sameShape(Mine, Other))
      continue;
    Tasks Region = regionOf(Other);
    if (!isAvailable(Region) || !mayChangeOwner(Region, Owner) ||
        !mayChangeOwner(Old, PoolTable.account(Other.Account)))
      continue;
    std::int64_t Loss = progressLostIn(Region);
    if (Loss <= MaxLoss && (!Best || Loss < Best->Cost))
      Best = HomeSwap{H, std::move(Region), Loss};
    if (Best && Best->Cost == 0)
      break;
  }
  return Best;
}

bool Pass::trySwap(Job &J, const Tasks &Region, std::int64_t Cost,
                   std::int64_t MaxLoss) {
  Claim C = claimOf(J, HoldKind::Guarantee);
  std::uint32_t Home = homeContaining(Region, C.Owner);
  if (Home == NoId || Cost == 0)
    return false;
  auto Found = bestHomeSwap(Home, MaxLoss);
  if (!Found)
    return false;
  std::vector<SlotMask> Inside(PoolTable.Rows.size(), 0);
  for (const pool::TaskSlots &Part : Found->Region)
    Inside[Part.Worker] |= Part.Slots;
  auto Where = pool::placeOn(PoolTable, J.Shape, std::move(Inside));
  if (!Where)
    return false;
  if (NewHomes.empty())
    NewHomes = PoolTable.Homes;
  if (Found->OtherHome != NoId)
    std::swap(NewHomes[Home].Slots, NewHomes[Found->OtherHome].Slots);
  else
    NewHomes[Home].Slots = PoolTable.toPlacements(Found->Region);
  markUnavailable(regionOf(PoolTable.Homes[Home]));
  markUnavailable(Found->Region);
  CoreState.Holds.insert_or_assign(
      J.Id, Hold{HoldKind::Swap,
                 std::move(*Where),
                 Now,
                 Now + CoreState.Config.ReclaimGrace.count(),
                 0,
                 {}});
  return true;
}

} // namespace heathersaddle::policy
