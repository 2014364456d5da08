// Pool: the checked interface to the tables. Every change is validated first
// and then applied as a whole.
#include "heathersaddle/pool/Pool.h"
#include "heathersaddle/pool/PoolAccess.h"
#include <algorithm>
#include <bit>

namespace heathersaddle::pool {

using base::ErrorCode;
using base::makeError;

struct Pool::Impl : Table {};

Pool::Pool() : Pimpl(std::make_unique<Impl>()) { Pimpl->rebuild(); }
Pool::~Pool() = default;
Pool::Pool(const Pool &Other) : Pimpl(std::make_unique<Impl>(*Other.Pimpl)) {}
Pool &Pool::operator=(const Pool &Other) {
  if (this != &Other)
    Pimpl = std::make_unique<Impl>(*Other.Pimpl);
  return *this;
}
Pool::Pool(Pool &&) noexcept = default;
Pool &Pool::operator=(Pool &&) noexcept = default;

const Table &PoolAccess::table(const Pool &P) { return *P.Pimpl; }

static void subtractFromTotals(Table &T, const WorkerRow &R) {
  T.FreeSlots -= std::popcount(R.freeSlots());
  T.UpSlots -= R.Status == WorkerStatus::Up ? std::popcount(R.AllSlots) : 0;
}

static void addToTotals(Table &T, const WorkerRow &R) {
  T.FreeSlots += std::popcount(R.freeSlots());
  T.UpSlots += R.Status == WorkerStatus::Up ? std::popcount(R.AllSlots) : 0;
}

base::Expected<void> Pool::addWorker(const WorkerSpec &Spec) {
  const char *Step = "add worker";
  if (Spec.Name.empty() || Spec.Slots == 0 || Spec.Slots > MaxSlots)
    return makeError(ErrorCode::InvalidArgument, Step,
                     "A worker needs a name and 1 to 64 slots.", Spec.Name,
                     "slots");
  if (Spec.Accelerators > Spec.Slots)
    return makeError(ErrorCode::InvalidArgument, Step,
                     "A worker has at most one accelerator per slot.",
                     Spec.Name, "accelerators");
  auto [Entry, Fresh] =
      Pimpl->RowByName.try_emplace(Spec.Name, Pimpl->Rows.size());
  if (Fresh)
    Pimpl->Rows.emplace_back();
  WorkerRow &R = Pimpl->Rows[Entry->second];
  SlotMask Held = R.Present ? R.AllSlots & ~R.Unallocated : 0;
  SlotMask All = lowSlots(Spec.Slots);
  if (R.Present && ((Held | R.Homed) & ~All))
    return makeError(ErrorCode::Conflict, Step,
                     "The worker has allocations or homes beyond its slots.",
                     Spec.Name, "slots");
  if (R.Present)
    subtractFromTotals(*Pimpl, R);
  else
    R = WorkerRow{};
  R.Spec = Spec;
  R.Present = true;
  R.AllSlots = All;
  R.Accelerated = lowSlots(Spec.Accelerators);
  R.Unallocated = All & ~Held;
  R.JobAt.resize(Spec.Slots, NoId);
  addToTotals(*Pimpl, R);
  Pimpl->rebuild();
  return {};
}

base::Expected<void> Pool::removeWorker(std::string_view Name) {
  WorkerId Id = Pimpl->worker(Name);
  if (Id == NoId)
    return makeError(ErrorCode::NotFound, "remove worker",
                     "There is no such worker.", Name);
  WorkerRow &R = Pimpl->Rows[Id];
  if (R.Unallocated != R.AllSlots || R.Homed)
    return makeError(ErrorCode::Conflict, "remove worker",
                     "The worker still has allocations or homes.", Name);
  subtractFromTotals(*Pimpl, R);
  R.Present = false;
  Pimpl->rebuild();
  return {};
}

void Pool::setStatus(std::string_view Name, WorkerStatus Status) {
  WorkerId Id = Pimpl->worker(Name);
  if (Id == NoId)
    return;
  WorkerRow &R = Pimpl->Rows[Id];
  subtractFromTotals(*Pimpl, R);
  R.Status = Status;
  ++Pimpl->Version;
  ++Pimpl->Structure;
  addToTotals(*Pimpl, R);
  Pimpl->updateIndex(Id);
}

// Converts the placements to worker ids; fails unless they are on free slots
// and do not overlap.
static base::Expected<Tasks> checkFree(const Table &T,
                                       std::span<const Placement> Asked) {
  Tasks Where;
  for (const Placement &P : Asked) {
    WorkerId W = T.worker(P.Worker);
    if (W == NoId)
      return makeError(ErrorCode::NotFound, "allocate",
                       "There is no such worker.", P.Worker);
    SlotMask Open = T.Rows[W].freeSlots();
    for (const TaskSlots &Earlier : Where)
      Open &= Earlier.Worker == W ? ~Earlier.Slots : ~SlotMask{0};
    if (!isTaskRange(P.Slots))
      return makeError(ErrorCode::InvalidArgument, "allocate",
                       "The slots are not adjacent in an aligned block.",
                       P.Worker, "slots");
    if (P.Slots & ~Open)
      return makeError(ErrorCode::Conflict, "allocate",
                       "The slots are not free.", P.Worker, "slots");
    Where.push_back({W, P.Slots});
  }
  return Where;
}

base::Expected<void> Pool::allocate(std::string_view Job,
                                    std::string_view Account,
                                    std::span<const Placement> Asked) {
  if (Pimpl->job(Job) != NoId)
    return makeError(ErrorCode::Conflict, "allocate",
                     "The job already holds slots.", Job);
  if (Asked.empty() || Asked.size() > MaxTasks)
    return makeError(ErrorCode::InvalidArgument, "allocate",
                     "A job has 1 to 64 tasks.", Job, "tasks");
  auto Where = checkFree(*Pimpl, Asked);
  if (!Where)
    return tl::unexpected(Where.error());
  JobId Id = Pimpl->internJob(Job, Pimpl->internAccount(Account));
  JobRow &J = Pimpl->Jobs[Id];
  J.Tasks.assign(Asked.begin(), Asked.end());
  J.Where = std::move(*Where);
  for (const TaskSlots &T : J.Where) {
    WorkerRow &R = Pimpl->Rows[T.Worker];
    R.Unallocated &= ~T.Slots;
    for (SlotMask M = T.Slots; M; M &= M - 1)
      R.JobAt[std::countr_zero(M)] = Id;
    Pimpl->FreeSlots -= std::popcount(T.Slots);
    Pimpl->UsedSlots += std::popcount(T.Slots);
    Pimpl->updateIndex(T.Worker);
  }
  return {};
}

void Pool::release(std::string_view Job) {
  JobId Id = Pimpl->job(Job);
  if (Id == NoId)
    return;
  for (const TaskSlots &T : Pimpl->Jobs[Id].Where) {
    WorkerRow &R = Pimpl->Rows[T.Worker];
    subtractFromTotals(*Pimpl, R);
    R.Unallocated |= T.Slots;
    addToTotals(*Pimpl, R);
    for (SlotMask M = T.Slots; M; M &= M - 1)
      R.JobAt[std::countr_zero(M)] = NoId;
    Pimpl->UsedSlots -= std::popcount(T.Slots);
    Pimpl->updateIndex(T.Worker);
  }
  Pimpl->removeJob(Id);
  ++Pimpl->Version;
}

// Converts all homes to worker ids; fails on unknown workers, missing slots and
// overlaps.
static base::Expected<std::vector<Tasks>>
resolveHomes(const Table &T, std::span<const Home> Homes) {
  std::vector<Tasks> Resolved;
  std::vector<SlotMask> Taken(T.Rows.size(), 0);
  for (const Home &H : Homes) {
    Tasks Parts;
    for (const Placement &P : H.Slots) {
      WorkerId W = T.worker(P.Worker);
      if (W == NoId || !P.Slots || (P.Slots & ~T.Rows[W].AllSlots))
        return makeError(ErrorCode::InvalidArgument, "set homes",
                         "A home is on slots that do not exist.", P.Worker);
      if (P.Slots & Taken[W])
        return makeError(ErrorCode::Conflict, "set homes", "Homes overlap.",
                         P.Worker);
      Taken[W] |= P.Slots;
      Parts.push_back({W, P.Slots});
    }
    Resolved.push_back(std::move(Parts));
  }
  return Resolved;
}

base::Expected<void> Pool::setHomes(std::span<const Home> Homes) {
  auto Resolved = resolveHomes(*Pimpl, Homes);
  if (!Resolved)
    return tl::unexpected(Resolved.error());
  for (WorkerRow &R : Pimpl->Rows) {
    R.Homed = 0;
    R.Homes.clear();
  }
  Pimpl->Homes.assign(Homes.begin(), Homes.end());
  for (std::uint32_t H = 0; H != Resolved->size(); ++H) {
    AccountId Account = Pimpl->internAccount(Pimpl->Homes[H].Account);
    for (const TaskSlots &T : (*Resolved)[H]) {
      Pimpl->Rows[T.Worker].Homed |= T.Slots;
      Pimpl->Rows[T.Worker].Homes.push_back({Account, T.Slots, H});
    }
  }
  Pimpl->rebuild();
  return {};
}

const std::vector<Home> &Pool::homes() const { return Pimpl->Homes; }

const WorkerSpec *Pool::worker(std::string_view Name) const {
  WorkerId Id = Pimpl->worker(Name);
  return Id == NoId ? nullptr : &Pimpl->Rows[Id].Spec;
}

std::optional<WorkerStatus> Pool::status(std::string_view Name) const {
  WorkerId Id = Pimpl->worker(Name);
  if (Id == NoId)
    return std::nullopt;
  return Pimpl->Rows[Id].Status;
}

std::vector<WorkerSpec> Pool::workers() const {
  std::vector<WorkerSpec> Result;
  Result.reserve(Pimpl->WorkersByName.size());
  for (WorkerId Id : Pimpl->WorkersByName)
    Result.push_back(Pimpl->Rows[Id].Spec);
  return Result;
}

SlotMask Pool::freeSlots(std::string_view Worker) const {
  WorkerId Id = Pimpl->worker(Worker);
  return Id == NoId ? 0 : Pimpl->Rows[Id].freeSlots();
}

std::string_view Pool::homeOf(std::string_view Worker, unsigned Slot) const {
  WorkerId Id = Pimpl->worker(Worker);
  if (Id == NoId || Slot >= MaxSlots)
    return {};
  for (const HomePart &H : Pimpl->Rows[Id].Homes)
    if (H.Slots >> Slot & 1)
      return Pimpl->Accounts[H.Account];
  return {};
}

std::span<const Placement> Pool::placements(std::string_view Job) const {
  JobId Id = Pimpl->job(Job);
  if (Id == NoId)
    return {};
  return Pimpl->Jobs[Id].Tasks;
}

std::vector<std::string> Pool::jobsOn(std::string_view Worker) const {
  std::vector<std::string> Result;
  WorkerId Id = Pimpl->worker(Worker);
  if (Id == NoId)
    return Result;
  std::vector<JobId> Seen;
  for (JobId J : Pimpl->Rows[Id].JobAt) {
    if (J == NoId || std::find(Seen.begin(), Seen.end(), J) != Seen.end())
      continue;
    Seen.push_back(J);
    Result.push_back(Pimpl->Jobs[J].Name);
  }
  return Result;
}

bool Pool::isGuaranteed(std::string_view Job) const {
  JobId Id = Pimpl->job(Job);
  return Id != NoId && Pimpl->isGuaranteed(Pimpl->Jobs[Id]);
}

std::vector<std::string> Pool::borrowersFrom(std::string_view Account) const {
  std::vector<std::string> Result;
  AccountId A = Pimpl->account(Account);
  if (A == NoId)
    return Result;
  for (WorkerId W : Pimpl->WorkersByName) {
    const WorkerRow &R = Pimpl->Rows[W];
    for (SlotMask M = R.homeOf(A) & R.AllSlots & ~R.Unallocated; M;
         M &= M - 1) {
      const JobRow &J = Pimpl->Jobs[R.JobAt[std::countr_zero(M)]];
      if (J.Account != A || !Pimpl->isGuaranteed(J))
        Result.push_back(J.Name);
    }
  }
  std::sort(Result.begin(), Result.end());
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  return Result;
}

unsigned Pool::upSlots() const { return Pimpl->UpSlots; }
unsigned Pool::usedSlots() const { return Pimpl->UsedSlots; }
unsigned Pool::freeSlotCount() const { return Pimpl->FreeSlots; }

std::optional<std::vector<Placement>> Pool::findFree(const Shape &S) const {
  auto Found = Pimpl->find(S, Query{});
  if (!Found)
    return std::nullopt;
  return Pimpl->toPlacements(*Found);
}

bool Pool::couldEverFit(const Shape &S) const {
  if (S.Tasks == 0 || S.SlotsPerTask == 0)
    return false;
  std::vector<SlotMask> Free(Pimpl->Rows.size(), 0);
  for (WorkerId W : Pimpl->WorkersByName)
    if (Pimpl->Rows[W].Status == WorkerStatus::Up)
      Free[W] = Pimpl->Rows[W].AllSlots;
  return placeOn(*Pimpl, S, std::move(Free)).has_value();
}

} // namespace heathersaddle::pool
