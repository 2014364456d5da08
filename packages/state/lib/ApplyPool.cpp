// Workers and homes. After every change of workers the homes are assigned
// again, by the same deterministic packing on every daemon; units that no
// longer fit are degraded.

#include "Applier.h"
#include <algorithm>
#include <bit>
#include <tuple>

namespace heathersaddle::state {

using base::ErrorCode;
using base::makeError;

namespace {

using CellMap = std::map<std::string, Cell, std::less<>>;
using JobMap = std::map<std::string, Job, std::less<>>;
using SlotOwners = std::map<std::string, std::map<unsigned, std::string>>;

/// The account that has its home on a slot, by worker and slot, for one cell.
SlotOwners ownersIn(std::string_view Cell, std::span<const pool::Home> Homes) {
  SlotOwners Owners;
  for (const pool::Home &H : Homes) {
    if (H.Cell != Cell)
      continue;
    for (const pool::Placement &P : H.Slots)
      for (unsigned I = 0; I < pool::MaxSlots; ++I)
        if ((P.Slots >> I) & 1)
          Owners[P.Worker][I] = H.Account;
  }
  return Owners;
}

bool touchesForeignHome(const Job &J, const SlotOwners &Owners) {
  for (const pool::Placement &P : J.Tasks) {
    auto Worker = Owners.find(P.Worker);
    if (Worker == Owners.end())
      continue;
    for (const auto &[Slot, Account] : Worker->second)
      if (((P.Slots >> Slot) & 1) && Account != J.Spec.Account)
        return true;
  }
  return false;
}

/// Homes of \p Current that are still owed and whose workers are all up.
std::vector<pool::Home> stillValid(const CellMap &Cells,
                                   std::span<const pool::Guarantee> Owed,
                                   std::span<const pool::Home> Current) {
  std::vector<pool::Home> Kept;
  for (const pool::Home &H : Current) {
    auto G = std::find_if(Owed.begin(), Owed.end(), [&](const auto &Item) {
      return Item.Account == H.Account;
    });
    if (G == Owed.end() || H.Unit >= G->Units.size() ||
        H.Instance >= G->Units[H.Unit].Count)
      continue;
    const pool::Pool &P = Cells.find(H.Cell)->second.Pool;
    bool Up = std::all_of(H.Slots.begin(), H.Slots.end(),
                          [&](const pool::Placement &S) {
                            return P.status(S.Worker) == pool::WorkerStatus::Up;
                          });
    if (Up)
      Kept.push_back(H);
  }
  return Kept;
}

/// Units of \p Owed that have no home in \p Homes.
std::vector<std::string> unitsWithoutHome(std::span<const pool::Guarantee> Owed,
                                          std::span<const pool::Home> Homes) {
  std::set<std::tuple<std::string, unsigned, unsigned>> Bound;
  for (const pool::Home &H : Homes)
    Bound.emplace(H.Account, H.Unit, H.Instance);
  std::vector<std::string> Names;
  for (const pool::Guarantee &G : Owed)
    for (unsigned U = 0; U < G.Units.size(); ++U)
      for (unsigned I = 0; I < G.Units[U].Count; ++I)
        if (!Bound.count({G.Account, U, I}))
          Names.push_back(unitName({G.Account, U, I}));
  return Names;
}

} // namespace

std::string unitName(const pool::UnmetUnit &U) {
  return "account " + U.Account + " unit " + std::to_string(U.Unit) +
         " instance " + std::to_string(U.Instance);
}

std::vector<pool::Home> allHomes(const CellMap &Cells) {
  std::vector<pool::Home> Homes;
  for (const auto &[Name, C] : Cells)
    Homes.insert(Homes.end(), C.Pool.homes().begin(), C.Pool.homes().end());
  return Homes;
}

std::string displacedAccount(const CellMap &Cells, const JobMap &Jobs,
                             std::span<const pool::Home> Homes,
                             const std::set<std::string, std::less<>> &Exempt) {
  for (const auto &[Name, C] : Cells) {
    SlotOwners Owners = ownersIn(Name, Homes);
    for (const auto &[Offset, Id] : C.Live) {
      const Job &J = Jobs.find(Id)->second;
      if (J.placed() && !Exempt.count(J.Spec.Account) &&
          C.Pool.isGuaranteed(Id) && touchesForeignHome(J, Owners))
        return J.Spec.Account;
      // Non-idempotent work must not become reclaimable.
      if (J.placed() && !J.Spec.Idempotent && touchesForeignHome(J, Owners))
        return J.Spec.Account;
    }
  }
  return {};
}

void setHomes(CellMap &Cells, std::span<const pool::Home> Homes) {
  for (auto &[Name, C] : Cells) {
    std::vector<pool::Home> Here;
    for (const pool::Home &H : Homes)
      if (H.Cell == Name)
        Here.push_back(H);
    C.Pool.setHomes(Here);
  }
}

void rebindHomes(CellMap &Cells, const JobMap &Jobs,
                 std::span<const pool::Guarantee> Owed,
                 std::vector<std::string> &Degraded) {
  std::map<std::string, const pool::Pool *> Pools;
  for (const auto &[Name, C] : Cells)
    Pools.emplace(Name, &C.Pool);
  std::vector<pool::Home> Current = allHomes(Cells);
  std::vector<pool::Home> Homes = pool::packHomes(Pools, Owed, Current).Homes;
  if (!displacedAccount(Cells, Jobs, Homes).empty())
    Homes = stillValid(Cells, Owed, Current);
  Degraded = unitsWithoutHome(Owed, Homes);
  setHomes(Cells, Homes);
}

void Applier::removeIfLostAndIdle(Cell &C, std::string_view Worker) {
  auto Found = C.Workers.find(Worker);
  if (Found == C.Workers.end() ||
      Found->second.Status != pool::WorkerStatus::Lost ||
      !C.Pool.jobsOn(Worker).empty())
    return;
  if (C.Pool.removeWorker(Worker))
    C.Workers.erase(Found);
}

Applier::Result Applier::on(const WorkerRegistered &B) {
  auto C = ownedCell(B.By);
  if (!C)
    return tl::unexpected(C.error());
  auto Known = (*C)->Workers.find(B.Spec.Name);
  bool Returned = Known == (*C)->Workers.end() ||
                  Known->second.Status == pool::WorkerStatus::Lost;
  if (Result Ok = (*C)->Pool.addWorker(B.Spec); !Ok)
    return Ok;
  Worker &W = (*C)->Workers[B.Spec.Name];
  W.Spec = B.Spec;
  W.Address = B.Address;
  W.Cores = B.Cores;
  W.MemoryMb = B.MemoryMb;
  if (Returned)
    W.Status = pool::WorkerStatus::Up;
  (*C)->Pool.setStatus(B.Spec.Name, W.Status);
  rebindHomes(CurrentState.Cells, CurrentState.Jobs,
              guaranteesOwed(CurrentState.Plans, CurrentState.Customers,
                             CurrentState.HeldTermsByAccount),
              CurrentState.Degraded);
  return {};
}

Applier::Result Applier::on(const WorkerStatusChanged &B) {
  auto C = ownedCell(B.By);
  if (!C)
    return tl::unexpected(C.error());
  auto Found = (*C)->Workers.find(B.Worker);
  if (Found == (*C)->Workers.end())
    return makeError(ErrorCode::NotFound, "apply", "unknown worker " + B.Worker,
                     B.Worker);
  Found->second.Status = B.Status;
  (*C)->Pool.setStatus(B.Worker, B.Status);
  rebindHomes(CurrentState.Cells, CurrentState.Jobs,
              guaranteesOwed(CurrentState.Plans, CurrentState.Customers,
                             CurrentState.HeldTermsByAccount),
              CurrentState.Degraded);
  removeIfLostAndIdle(**C, B.Worker);
  return {};
}

namespace {

/// A home without its location: account, unit, instance, sorted slot counts and
/// whether it is within one rack.
using HomeShape =
    std::tuple<std::string, unsigned, unsigned, std::vector<unsigned>, bool>;

HomeShape shapeOf(const pool::Pool &P, const pool::Home &H) {
  std::vector<unsigned> Sizes;
  std::set<std::string> Racks;
  for (const pool::Placement &S : H.Slots) {
    Sizes.push_back(static_cast<unsigned>(std::popcount(S.Slots)));
    if (const pool::WorkerSpec *W = P.worker(S.Worker))
      Racks.insert(W->Rack);
  }
  std::sort(Sizes.begin(), Sizes.end());
  return {H.Account, H.Unit, H.Instance, Sizes, Racks.size() <= 1};
}

std::multiset<HomeShape> shapesOf(const pool::Pool &P,
                                  std::span<const pool::Home> Homes) {
  std::multiset<HomeShape> Shapes;
  for (const pool::Home &H : Homes)
    Shapes.insert(shapeOf(P, H));
  return Shapes;
}

} // namespace

Applier::Result Applier::on(const HomesMoved &B) {
  auto C = ownedCell(B.By);
  if (!C)
    return tl::unexpected(C.error());
  const pool::Pool &P = (*C)->Pool;
  if (shapesOf(P, P.homes()) != shapesOf(P, B.Homes))
    return makeError(ErrorCode::InvalidArgument, "apply",
                     "a move must keep every home's account and shape", "",
                     "homes");
  for (const pool::Home &H : B.Homes)
    for (const pool::Placement &S : H.Slots)
      if (H.Cell != B.By.Cell || P.status(S.Worker) != pool::WorkerStatus::Up)
        return makeError(ErrorCode::InvalidArgument, "apply",
                         "the workers of a home must be up", S.Worker, "homes");
  std::vector<pool::Home> After = allHomes(CurrentState.Cells);
  std::erase_if(After,
                [&](const pool::Home &H) { return H.Cell == B.By.Cell; });
  After.insert(After.end(), B.Homes.begin(), B.Homes.end());
  if (std::string Account =
          displacedAccount(CurrentState.Cells, CurrentState.Jobs, After);
      !Account.empty())
    return makeError(ErrorCode::Conflict, "apply",
                     "the move would expose work of account " + Account, "",
                     "homes");
  return (*C)->Pool.setHomes(B.Homes);
}

} // namespace heathersaddle::state
