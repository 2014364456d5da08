// Regions kept for a job until those who hold their slots are gone. A hold is
// served in every pass: placed when the region is free, repeated stops while
// it is not, dropped when it can no longer lead to a placement. The number of
// gang reservations is bounded; each waits a bounded time before what can be
// stopped in its region is stopped.
#include "Pass.h"
#include <algorithm>
#include <bit>

namespace heathersaddle::policy {

using pool::NoId;
using pool::SlotMask;
using pool::Tasks;
using pool::WorkerId;

static constexpr unsigned MaxReservations = 4;
static constexpr unsigned ReserveAttempts = 4;
// A job that needs more than one slot in this many is large. One large job at a
// time has a reservation, and the small ones together hold no more than that:
// slots that drain are idle, and much of a small cell would be.
static constexpr unsigned ReservedPart = 8;
static constexpr std::size_t ReserveWorkers = 256;
static constexpr base::WallMs ReserveEveryMs = 1'000;
// A hold that is not served within this many grace periods is given up.
static constexpr int HoldGraces = 6;
// How long the record of a swap may take to come back.
static constexpr base::WallMs SwapMs = 5'000;
// Run time assumed for a kind that was neither observed nor declared.
static constexpr std::int64_t UnknownRunMs = 600'000;

std::vector<pool::JobId> Pass::holders(const Tasks &Region) const {
  std::set<pool::JobId> Ids;
  for (const pool::TaskSlots &Part : Region) {
    const pool::WorkerRow &R = T.Rows[Part.Worker];
    for (SlotMask M = Part.Slots & R.All & ~R.Unheld; M; M &= M - 1)
      Ids.insert(R.JobAt[std::countr_zero(M)]);
  }
  return {Ids.begin(), Ids.end()};
}

bool Pass::regionUsable(const Job &J, const Hold &H) const {
  Claim C = claimOf(J, H.Kind);
  bool OwnOnly = H.Kind == HoldKind::Guarantee || H.Kind == HoldKind::Swap;
  for (const pool::TaskSlots &Part : H.Region) {
    if (Part.Worker >= T.Rows.size() || !T.Rows[Part.Worker].Present)
      return false;
    const pool::WorkerRow &R = T.Rows[Part.Worker];
    if (R.Status != pool::WorkerStatus::Up || SickRow[Part.Worker] ||
        (Part.Slots & (Base[Part.Worker] | ~R.All)))
      return false;
    SlotMask Foreign = Part.Slots & ~R.homeOf(C.Owner);
    if (OwnOnly && Foreign)
      return H.Kind == HoldKind::Swap && Now - H.SinceMs < SwapMs;
    if (!J.Idempotent && (Foreign & R.Homed))
      return false;
  }
  return true;
}

void Pass::serveHolds() {
  for (HoldKind Kind : {HoldKind::Guarantee, HoldKind::Swap, HoldKind::Urgent,
                        HoldKind::Overrun, HoldKind::Gang}) {
    for (auto At = S.Holds.begin(); At != S.Holds.end();) {
      Job *J = S.find(At->first);
      Hold &H = At->second;
      if (H.Kind != Kind || (J && serveHold(*J, H))) {
        ++At;
        continue;
      }
      // A hold given up frees its slots for others; a placement does not.
      S.Changes += !J || !S.Proposals.contains(J->Id);
      At = S.Holds.erase(At);
    }
  }
}

// A hold on slots that are not yet the account's home waits for the swap.
static bool swapDone(const pool::Table &T, const Hold &H,
                     pool::AccountId Owner) {
  return std::all_of(
      H.Region.begin(), H.Region.end(), [&](const pool::TaskSlots &Part) {
        return !(Part.Slots & ~T.Rows[Part.Worker].homeOf(Owner));
      });
}

bool Pass::serveHold(Job &J, Hold &H) {
  if (J.State != JobState::Pending || S.Proposals.contains(J.Id) ||
      (J.Issues && J.Issues->Ends) || !quotaAllows(J) || !regionUsable(J, H))
    return false;
  if (H.Kind == HoldKind::Swap &&
      !swapDone(T, H, T.account(S.Accounts[J.Account].Name)))
    return true;
  bool Busy = !holders(H.Region).empty();
  if (!Busy) {
    if (J.Retry && Tokens < 100)
      return false;
    J.Reserved = H.Kind == HoldKind::Gang;
    propose(J, H.Region);
    return false;
  }
  if (H.Kind == HoldKind::Swap)
    return false; // Lent meanwhile: reclaim it.
  if (H.Kind == HoldKind::Gang)
    return serveGang(J, H);
  if (Now - H.SinceMs > HoldGraces * S.Set.ReclaimGrace.count())
    return false;
  return stopHolders(J, H);
}

// False when somebody in the region may not be stopped for this claim.
bool Pass::stopHolders(Job &J, Hold &H) {
  Claim C = claimOf(J, H.Kind);
  bool AllMayStop = true;
  for (pool::JobId Id : holders(H.Region)) {
    if (victim(Id, C).Id == NoId)
      AllMayStop = false;
    else
      stop(Id, H.Kind, J);
  }
  return AllMayStop;
}

// Waits for what drains. Nothing is stopped before everything that is left can
// be stopped, and then the region is closed to backfill; otherwise backfill
// would be started and stopped in turn.
bool Pass::serveGang(Job &J, Hold &H) {
  Claim C = claimOf(J, H.Kind);
  bool Draining = false, Fixed = false;
  for (pool::JobId Id : holders(H.Region)) {
    bool Expected = std::binary_search(H.Draining.begin(), H.Draining.end(),
                                       T.Jobs[Id].Name);
    bool Stoppable = victim(Id, C).Id != NoId;
    if (!Stoppable && !Expected)
      return false;
    Draining |= Expected;
    Fixed |= !Stoppable;
  }
  if (Fixed)
    return Now < std::max(H.StopMs, H.DueMs) +
                     HoldGraces * S.Set.ReclaimGrace.count();
  if (Draining && Now < H.StopMs)
    return true;
  H.Closed = true;
  for (const pool::TaskSlots &Part : H.Region)
    Hard[Part.Worker] |= Part.Slots;
  return stopHolders(J, H);
}

base::WallMs Pass::freeAt(pool::JobId Id, const Claim &C) const {
  const pool::JobRow &R = T.Jobs[Id];
  const Job *J = S.find(R.Name);
  if (!J || (T.isGuaranteed(R) && R.Account != C.Owner))
    return -1;
  if (J->State == JobState::Stopping)
    return Now + S.Set.ReclaimGrace.count();
  std::int64_t Estimate = S.Times.estimate(J->Kind);
  if (!Estimate)
    Estimate = J->DeclaredRunMs > 0 ? J->DeclaredRunMs : UnknownRunMs;
  std::int64_t Done = J->ProgressMs + (Now - J->ProgressAt);
  // Past its estimate, a job is expected to take as long again.
  std::int64_t Left = Done < Estimate ? Estimate - Done : Done;
  if (mayStop(R, C))
    Left =
        std::min(Left, S.Set.MaxGangDrain.count() + S.Set.ReclaimGrace.count());
  return Now + Left;
}

// The region that is free the earliest, by bisection over the times at which
// the jobs on the given workers are expected to be gone.
std::optional<Tasks> Pass::earliestRegion(const Job &J, const Claim &C,
                                          std::span<const WorkerId> Rows,
                                          base::WallMs &Due) const {
  std::vector<SlotMask> Usable(T.Rows.size(), 0);
  std::map<pool::JobId, base::WallMs> Ends;
  for (WorkerId W : Rows) {
    Usable[W] = domain(W, C);
    for (pool::JobId Id : holders({{W, Usable[W]}}))
      if (!Ends.contains(Id))
        Ends.emplace(Id, freeAt(Id, C));
  }
  std::vector<base::WallMs> Times{Now};
  for (const auto &[Id, At] : Ends)
    if (At >= 0)
      Times.push_back(At);
  std::sort(Times.begin(), Times.end());
  Times.erase(std::unique(Times.begin(), Times.end()), Times.end());
  auto Attempt = [&](base::WallMs By) {
    std::vector<SlotMask> M = Usable;
    for (WorkerId W : Rows)
      M[W] &= T.Rows[W].Unheld;
    for (const auto &[Id, At] : Ends)
      if (At >= 0 && At <= By)
        for (const pool::TaskSlots &Part : T.Jobs[Id].Where)
          M[Part.Worker] |= Part.Slots & Usable[Part.Worker];
    return pool::placeOn(T, J.Shape, std::move(M));
  };
  auto Best = Attempt(Times.back());
  std::size_t Low = 0, High = Times.size() - 1;
  while (Best && Low < High) {
    std::size_t Middle = (Low + High) / 2;
    if (auto Found = Attempt(Times[Middle])) {
      Best = std::move(Found);
      High = Middle;
    } else {
      Low = Middle + 1;
    }
  }
  Due = Times[High];
  return Best;
}

bool Pass::reserve(Job &J) {
  Claim C = claimOf(J, HoldKind::Gang);
  base::WallMs Due = 0;
  auto Region = earliestRegion(J, C, sample(J, ReserveWorkers), Due);
  if (!Region)
    return false;
  Hold H{HoldKind::Gang,
         std::move(*Region),
         Now,
         Due,
         Now + S.Set.MaxGangDrain.count(),
         false,
         {}};
  for (pool::JobId Id : holders(H.Region))
    H.Draining.push_back(T.Jobs[Id].Name);
  std::sort(H.Draining.begin(), H.Draining.end());
  for (const pool::TaskSlots &Part : H.Region)
    Soft[Part.Worker] |= Part.Slots;
  S.Holds.insert_or_assign(J.Id, std::move(H));
  // Others may now be placed in the region as backfill.
  ++S.Changes;
  return true;
}

// The oldest waiting job of the account that is not provided for; 0 if none.
Job *Pass::headOf(const Account &A) const {
  Job *Head = nullptr;
  for (const auto &[Key, C] : A.Classes)
    for (Job *J : C.Jobs) {
      if (Head && ByWait{}(Head, J))
        break;
      if (S.Holds.contains(J->Id) || S.Proposals.contains(J->Id) ||
          S.Ending.contains(J))
        continue;
      Head = J;
      break;
    }
  return Head;
}

// Heads of their accounts that have waited long for more than one slot, the
// least served account first. Only heads: a reservation for a job further back
// would let it pass older jobs, and many small ones would wait for few large.
std::vector<Job *> Pass::longWaiting() {
  std::vector<std::tuple<bool, double, Job *>> Found;
  for (const Account &A : S.Accounts) {
    Job *J = A.Classes.empty() ? nullptr : headOf(A);
    if (!J || J->Shape.totalSlots() < 2 ||
        Now - J->AcceptedMs < S.Set.GangReservationAfter.count() ||
        !quotaAllows(*J) || (J->Retry && Tokens < 100))
      continue;
    double Use = static_cast<double>(A.Used) / std::max(A.Terms.Share, 1U);
    Found.emplace_back(!J->Urgent, Use, J);
  }
  std::sort(Found.begin(), Found.end(), [](const auto &A, const auto &B) {
    auto Key = [](const auto &E) {
      return std::pair(std::get<0>(E), std::get<1>(E));
    };
    if (Key(A) != Key(B))
      return Key(A) < Key(B);
    return ByWait{}(std::get<2>(A), std::get<2>(B));
  });
  std::vector<Job *> Jobs;
  Jobs.reserve(Found.size());
  for (const auto &[Later, Use, J] : Found)
    Jobs.push_back(J);
  return Jobs;
}

bool Pass::isLarge(const Job &J) const {
  return J.Shape.totalSlots() * ReservedPart > T.UpSlots;
}

// Slots of an account's jobs that have a reservation or were placed by one.
unsigned Pass::reservedBy(std::uint32_t Account) const {
  unsigned Sum = S.Accounts[Account].Reserved;
  auto Add = [&](const std::string &Id, bool OnlyReserved) {
    const Job *J = S.find(Id);
    if (J && J->Account == Account && (J->Reserved || !OnlyReserved))
      Sum += J->Shape.totalSlots();
  };
  for (const auto &[Id, H] : S.Holds)
    if (H.Kind == HoldKind::Gang)
      Add(Id, false);
  for (const auto &[Id, Where] : S.Proposals)
    Add(Id, true);
  return Sum;
}

// Whether the account's jobs that run in regions held for them leave room for
// one more. Without this bound the wide jobs of an account start in order of
// age, and its many small jobs wait behind them. An account that has none of
// them running may always have one, so its oldest job does not wait for good.
bool Pass::mayReserveMore(const Job &J) const {
  unsigned Have = reservedBy(J.Account);
  return J.Urgent || Have == 0 ||
         (Have + J.Shape.totalSlots()) * ReservedPart <= T.UpSlots;
}

void Pass::reserveGangs() {
  if (Now < S.NextReserveMs)
    return;
  S.NextReserveMs = Now + ReserveEveryMs;
  bool Large = false;
  unsigned Reserved = 0, Small = 0;
  for (const auto &[Id, H] : S.Holds) {
    const Job *J = S.find(Id);
    if (!J || H.Kind != HoldKind::Gang)
      continue;
    ++Reserved;
    if (isLarge(*J))
      Large = true;
    else
      Small += J->Shape.totalSlots();
  }
  unsigned Attempts = ReserveAttempts;
  for (Job *J : longWaiting()) {
    bool Allowed =
        isLarge(*J)
            ? !Large
            : Reserved < MaxReservations &&
                  (Small + J->Shape.totalSlots()) * ReservedPart <= T.UpSlots;
    if (!Allowed || !mayReserveMore(*J))
      continue;
    if (reserve(*J) || --Attempts == 0)
      return;
  }
}

unsigned Scheduler::heldIdleSlots(const pool::Pool &P) const {
  const pool::Table &T = pool::PoolAccess::table(P);
  unsigned Sum = 0;
  for (const auto &[Id, H] : I->Holds)
    for (const pool::TaskSlots &Part : H.Region)
      if (H.Kind == HoldKind::Gang && Part.Worker < T.Rows.size())
        Sum += std::popcount(T.Rows[Part.Worker].freeSlots() & Part.Slots);
  return Sum;
}

} // namespace heathersaddle::policy
