// Pool: the checked interface to the tables. Every change validates first and
// then applies as a whole.
#include "heathersaddle/pool/Pool.h"
#include "heathersaddle/pool/PoolAccess.h"
#include <algorithm>
#include <bit>

namespace heathersaddle::pool {

using base::ErrorCode;
using base::makeError;

struct Pool::Impl : Table {};

Pool::Pool() : I(std::make_unique<Impl>()) { I->reorder(); }
Pool::~Pool() = default;
Pool::Pool(const Pool &Other) : I(std::make_unique<Impl>(*Other.I)) {}
Pool &Pool::operator=(const Pool &Other) {
  if (this != &Other)
    I = std::make_unique<Impl>(*Other.I);
  return *this;
}
Pool::Pool(Pool &&) noexcept = default;
Pool &Pool::operator=(Pool &&) noexcept = default;

const Table &PoolAccess::table(const Pool &P) { return *P.I; }

static void uncount(Table &T, const WorkerRow &R) {
  T.FreeSlots -= std::popcount(R.freeSlots());
  T.UpSlots -= R.Status == WorkerStatus::Up ? std::popcount(R.All) : 0;
}

static void count(Table &T, const WorkerRow &R) {
  T.FreeSlots += std::popcount(R.freeSlots());
  T.UpSlots += R.Status == WorkerStatus::Up ? std::popcount(R.All) : 0;
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
  auto [Entry, Fresh] = I->RowByName.try_emplace(Spec.Name, I->Rows.size());
  if (Fresh)
    I->Rows.emplace_back();
  WorkerRow &R = I->Rows[Entry->second];
  SlotMask Held = R.Present ? R.All & ~R.Unheld : 0;
  SlotMask All = lowSlots(Spec.Slots);
  if (R.Present && ((Held | R.Homed) & ~All))
    return makeError(ErrorCode::Conflict, Step,
                     "The worker has allocations or homes beyond its slots.",
                     Spec.Name, "slots");
  if (R.Present)
    uncount(*I, R);
  else
    R = WorkerRow{};
  R.Spec = Spec;
  R.Present = true;
  R.All = All;
  R.Accelerated = lowSlots(Spec.Accelerators);
  R.Unheld = All & ~Held;
  R.JobAt.resize(Spec.Slots, NoId);
  count(*I, R);
  I->reorder();
  return {};
}

base::Expected<void> Pool::removeWorker(std::string_view Name) {
  WorkerId Id = I->row(Name);
  if (Id == NoId)
    return makeError(ErrorCode::NotFound, "remove worker",
                     "There is no such worker.", Name);
  WorkerRow &R = I->Rows[Id];
  if (R.Unheld != R.All || R.Homed)
    return makeError(ErrorCode::Conflict, "remove worker",
                     "The worker still has allocations or homes.", Name);
  uncount(*I, R);
  R.Present = false;
  I->reorder();
  return {};
}

void Pool::setStatus(std::string_view Name, WorkerStatus Status) {
  WorkerId Id = I->row(Name);
  if (Id == NoId)
    return;
  WorkerRow &R = I->Rows[Id];
  uncount(*I, R);
  R.Status = Status;
  ++I->Version;
  ++I->Structure;
  count(*I, R);
  I->refresh(Id);
}

// Resolves the placements against the free slots; they must not overlap.
static base::Expected<Tasks> checkFree(const Table &T,
                                       std::span<const Placement> Asked) {
  Tasks Where;
  for (const Placement &P : Asked) {
    WorkerId W = T.row(P.Worker);
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
  if (I->job(Job) != NoId)
    return makeError(ErrorCode::Conflict, "allocate",
                     "The job already holds slots.", Job);
  if (Asked.empty() || Asked.size() > MaxTasks)
    return makeError(ErrorCode::InvalidArgument, "allocate",
                     "A job has 1 to 64 tasks.", Job, "tasks");
  auto Where = checkFree(*I, Asked);
  if (!Where)
    return tl::unexpected(Where.error());
  JobId Id = I->internJob(Job, I->internAccount(Account));
  JobRow &J = I->Jobs[Id];
  J.Tasks.assign(Asked.begin(), Asked.end());
  J.Where = std::move(*Where);
  for (const TaskSlots &T : J.Where) {
    WorkerRow &R = I->Rows[T.Worker];
    R.Unheld &= ~T.Slots;
    for (SlotMask M = T.Slots; M; M &= M - 1)
      R.JobAt[std::countr_zero(M)] = Id;
    I->FreeSlots -= std::popcount(T.Slots);
    I->UsedSlots += std::popcount(T.Slots);
    I->refresh(T.Worker);
  }
  return {};
}

void Pool::release(std::string_view Job) {
  JobId Id = I->job(Job);
  if (Id == NoId)
    return;
  for (const TaskSlots &T : I->Jobs[Id].Where) {
    WorkerRow &R = I->Rows[T.Worker];
    uncount(*I, R);
    R.Unheld |= T.Slots;
    count(*I, R);
    for (SlotMask M = T.Slots; M; M &= M - 1)
      R.JobAt[std::countr_zero(M)] = NoId;
    I->UsedSlots -= std::popcount(T.Slots);
    I->refresh(T.Worker);
  }
  I->dropJob(Id);
  ++I->Version;
}

// Resolves all homes; fails on unknown workers, absent slots and overlaps.
static base::Expected<std::vector<Tasks>>
resolveHomes(const Table &T, std::span<const Home> Homes) {
  std::vector<Tasks> Resolved;
  std::vector<SlotMask> Taken(T.Rows.size(), 0);
  for (const Home &H : Homes) {
    Tasks Parts;
    for (const Placement &P : H.Slots) {
      WorkerId W = T.row(P.Worker);
      if (W == NoId || !P.Slots || (P.Slots & ~T.Rows[W].All))
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
  auto Resolved = resolveHomes(*I, Homes);
  if (!Resolved)
    return tl::unexpected(Resolved.error());
  for (WorkerRow &R : I->Rows) {
    R.Homed = 0;
    R.Homes.clear();
  }
  I->Homes.assign(Homes.begin(), Homes.end());
  for (std::uint32_t H = 0; H != Resolved->size(); ++H) {
    AccountId Account = I->internAccount(I->Homes[H].Account);
    for (const TaskSlots &T : (*Resolved)[H]) {
      I->Rows[T.Worker].Homed |= T.Slots;
      I->Rows[T.Worker].Homes.push_back({Account, T.Slots, H});
    }
  }
  I->reorder();
  return {};
}

const std::vector<Home> &Pool::homes() const { return I->Homes; }

const WorkerSpec *Pool::worker(std::string_view Name) const {
  WorkerId Id = I->row(Name);
  return Id == NoId ? nullptr : &I->Rows[Id].Spec;
}

std::optional<WorkerStatus> Pool::status(std::string_view Name) const {
  WorkerId Id = I->row(Name);
  if (Id == NoId)
    return std::nullopt;
  return I->Rows[Id].Status;
}

std::vector<WorkerSpec> Pool::workers() const {
  std::vector<WorkerSpec> Result;
  Result.reserve(I->WorkersByName.size());
  for (WorkerId Id : I->WorkersByName)
    Result.push_back(I->Rows[Id].Spec);
  return Result;
}

SlotMask Pool::freeSlots(std::string_view Worker) const {
  WorkerId Id = I->row(Worker);
  return Id == NoId ? 0 : I->Rows[Id].freeSlots();
}

std::string_view Pool::homeOf(std::string_view Worker, unsigned Slot) const {
  WorkerId Id = I->row(Worker);
  if (Id == NoId || Slot >= MaxSlots)
    return {};
  for (const HomePart &H : I->Rows[Id].Homes)
    if (H.Slots >> Slot & 1)
      return I->Accounts[H.Account];
  return {};
}

std::span<const Placement> Pool::placements(std::string_view Job) const {
  JobId Id = I->job(Job);
  if (Id == NoId)
    return {};
  return I->Jobs[Id].Tasks;
}

std::vector<std::string> Pool::jobsOn(std::string_view Worker) const {
  std::vector<std::string> Result;
  WorkerId Id = I->row(Worker);
  if (Id == NoId)
    return Result;
  std::vector<JobId> Seen;
  for (JobId J : I->Rows[Id].JobAt) {
    if (J == NoId || std::find(Seen.begin(), Seen.end(), J) != Seen.end())
      continue;
    Seen.push_back(J);
    Result.push_back(I->Jobs[J].Name);
  }
  return Result;
}

bool Pool::isGuaranteed(std::string_view Job) const {
  JobId Id = I->job(Job);
  return Id != NoId && I->isGuaranteed(I->Jobs[Id]);
}

std::vector<std::string> Pool::borrowersFrom(std::string_view Account) const {
  std::vector<std::string> Result;
  AccountId A = I->account(Account);
  if (A == NoId)
    return Result;
  for (WorkerId W : I->WorkersByName) {
    const WorkerRow &R = I->Rows[W];
    for (SlotMask M = R.homeOf(A) & R.All & ~R.Unheld; M; M &= M - 1) {
      const JobRow &J = I->Jobs[R.JobAt[std::countr_zero(M)]];
      if (J.Account != A || !I->isGuaranteed(J))
        Result.push_back(J.Name);
    }
  }
  std::sort(Result.begin(), Result.end());
  Result.erase(std::unique(Result.begin(), Result.end()), Result.end());
  return Result;
}

unsigned Pool::upSlots() const { return I->UpSlots; }
unsigned Pool::usedSlots() const { return I->UsedSlots; }
unsigned Pool::freeSlotCount() const { return I->FreeSlots; }

std::optional<std::vector<Placement>> Pool::findFree(const Shape &S) const {
  auto Found = I->find(S, Query{});
  if (!Found)
    return std::nullopt;
  return I->toPlacements(*Found);
}

bool Pool::couldEverFit(const Shape &S) const {
  if (S.Tasks == 0 || S.SlotsPerTask == 0)
    return false;
  std::vector<SlotMask> Free(I->Rows.size(), 0);
  for (WorkerId W : I->WorkersByName)
    if (I->Rows[W].Status == WorkerStatus::Up)
      Free[W] = I->Rows[W].All;
  return placeOn(*I, S, std::move(Free)).has_value();
}

} // namespace heathersaddle::pool
