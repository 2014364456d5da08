// Regions held for a job until the jobs that occupy them have ended. Every pass
// processes each hold: it places the job when the region is free, repeats the
// stops while it is not, and removes the hold when it can no longer lead to a
// placement. The number of gang reservations is bounded; each waits a bounded
// time before the stoppable jobs in its region are stopped.
#include "Pass.h"
#include <algorithm>
#include <bit>

namespace heathersaddle::policy {

using pool::NoId;
using pool::SlotMask;
using pool::Tasks;
using pool::WorkerId;

static constexpr unsigned MaxReservations = 4;
static constexpr unsigned MaxReserveAttempts = 4;
// A job that needs more than one slot in this many of those on Up workers is
// large. At most one large job has a reservation at a time, and the
// reservations of small jobs together hold no more than that part: draining
// slots are idle, which without these bounds would be much of a small cell.
static constexpr unsigned ReservedSlotsDivisor = 8;
static constexpr std::size_t MaxReserveWorkers = 256;
static constexpr base::WallMs ReservePeriodMs = 1'000;
// A hold that has not led to a placement within this many grace periods is
// removed.
static constexpr int MaxHoldGracePeriods = 6;
// Maximum time until the record of a swap takes effect.
static constexpr base::WallMs SwapTimeoutMs = 5'000;
// Run time assumed when none was observed for the kind or declared by the job.
static constexpr std::int64_t DefaultRunMs = 600'000;

std::vector<pool::JobId> Pass::jobsIn(const Tasks &Region) const {
  std::set<pool::JobId> Ids;
  for (const pool::TaskSlots &Part : Region) {
    const pool::WorkerRow &R = PoolTable.Rows[Part.Worker];
    for (SlotMask M = Part.Slots & R.AllSlots & ~R.Unallocated; M; M &= M - 1)
      Ids.insert(R.JobAt[std::countr_zero(M)]);
  }
  return {Ids.begin(), Ids.end()};
}

bool Pass::regionUsable(const Job &J, const Hold &H) const {
  Claim C = claimOf(J, H.Kind);
  bool OwnOnly = H.Kind == HoldKind::Guarantee || H.Kind == HoldKind::Swap;
  for (const pool::TaskSlots &Part : H.Region) {
    if (Part.Worker >= PoolTable.Rows.size() ||
        !PoolTable.Rows[Part.Worker].Present)
      return false;
    const pool::WorkerRow &R = PoolTable.Rows[Part.Worker];
    if (R.Status != pool::WorkerStatus::Up || IsProbing[Part.Worker] ||
        (Part.Slots & (Unavailable[Part.Worker] | ~R.AllSlots)))
      return false;
    SlotMask Foreign = Part.Slots & ~R.homeOf(C.Owner);
    if (OwnOnly && Foreign)
      return H.Kind == HoldKind::Swap && Now - H.SinceMs < SwapTimeoutMs;
    if (!J.Idempotent && (Foreign & R.Homed))
      return false;
  }
  return true;
}

void Pass::processHolds() {
  for (HoldKind Kind : {HoldKind::Guarantee, HoldKind::Swap, HoldKind::Urgent,
                        HoldKind::Overrun, HoldKind::Gang}) {
    for (auto At = CoreState.Holds.begin(); At != CoreState.Holds.end();) {
      Job *J = CoreState.find(At->first);
      Hold &H = At->second;
      if (H.Kind != Kind || (J && processHold(*J, H))) {
        ++At;
        continue;
      }
      // A removed hold frees its slots for other jobs unless its job is placed.
      CoreState.ChangeCount += !J || !CoreState.Proposals.contains(J->Id);
      At = CoreState.Holds.erase(At);
    }
  }
}

// Whether the swap has taken effect, so that the region lies in homes of the
// owner.
static bool swapDone(const pool::Table &T, const Hold &H,
                     pool::AccountId Owner) {
  return std::all_of(
      H.Region.begin(), H.Region.end(), [&](const pool::TaskSlots &Part) {
        return !(Part.Slots & ~T.Rows[Part.Worker].homeOf(Owner));
      });
}

bool Pass::processHold(Job &J, Hold &H) {
  if (J.State != JobState::Pending || CoreState.Proposals.contains(J.Id) ||
      (J.Issues && J.Issues->EndDecided) || !quotaAllows(J) ||
      !regionUsable(J, H))
    return false;
  if (H.Kind == HoldKind::Swap &&
      !swapDone(PoolTable, H,
                PoolTable.account(CoreState.Accounts[J.Account].Name)))
    return true;
  bool Busy = !jobsIn(H.Region).empty();
  if (!Busy) {
    if (J.Retry && RetryTokensLeft < 100)
      return false;
    J.Reserved = H.Kind == HoldKind::Gang;
    propose(J, H.Region);
    return false;
  }
  if (H.Kind == HoldKind::Swap)
    return false; // Occupied since by a borrower: it must be reclaimed.
  if (H.Kind == HoldKind::Gang)
    return processGangHold(J, H);
  if (Now - H.SinceMs >
      MaxHoldGracePeriods * CoreState.Config.ReclaimGrace.count())
    return false;
  return stopJobsIn(J, H);
}

// Returns false when some job in the region may not be stopped for this claim.
bool Pass::stopJobsIn(Job &J, Hold &H) {
  Claim C = claimOf(J, H.Kind);
  bool AllMayStop = true;
  for (pool::JobId Id : jobsIn(H.Region)) {
    if (victim(Id, C).Id == NoId)
      AllMayStop = false;
    else
      stopJob(Id, H.Kind, J);
  }
  return AllMayStop;
}

// Waits for the region to drain. No job is stopped until all remaining ones can
// be stopped, and the region is then closed to backfill; otherwise backfill
// jobs would be started and stopped in turn.
bool Pass::processGangHold(Job &J, Hold &H) {
  Claim C = claimOf(J, H.Kind);
  bool Draining = false, Fixed = false;
  for (pool::JobId Id : jobsIn(H.Region)) {
    bool Expected = std::binary_search(H.Draining.begin(), H.Draining.end(),
                                       PoolTable.Jobs[Id].Name);
    bool Stoppable = victim(Id, C).Id != NoId;
    if (!Stoppable && !Expected)
      return false;
    Draining |= Expected;
    Fixed |= !Stoppable;
  }
  if (Fixed)
    return Now <
           std::max(H.StopMs, H.DueMs) +
               MaxHoldGracePeriods * CoreState.Config.ReclaimGrace.count();
  if (Draining && Now < H.StopMs)
    return true;
  H.Closed = true;
  for (const pool::TaskSlots &Part : H.Region)
    UnavailableForBackfill[Part.Worker] |= Part.Slots;
  return stopJobsIn(J, H);
}

base::WallMs Pass::expectedFreeTime(pool::JobId Id, const Claim &C) const {
  const pool::JobRow &R = PoolTable.Jobs[Id];
  const Job *J = CoreState.find(R.Name);
  if (!J || (PoolTable.isGuaranteed(R) && R.Account != C.Owner))
    return -1;
  if (J->State == JobState::Stopping)
    return Now + CoreState.Config.ReclaimGrace.count();
  std::int64_t Estimate = CoreState.LearnedRunTimes.estimate(J->Kind);
  if (!Estimate)
    Estimate = J->DeclaredRunMs > 0 ? J->DeclaredRunMs : DefaultRunMs;
  std::int64_t Done = J->ProgressMs + (Now - J->ProgressAt);
  // A job past its estimate is expected to take as long again as it has run.
  std::int64_t Left = Done < Estimate ? Estimate - Done : Done;
  if (mayStop(R, C))
    Left = std::min(Left, CoreState.Config.MaxGangDrain.count() +
                              CoreState.Config.ReclaimGrace.count());
  return Now + Left;
}

// Finds the region that becomes free earliest, by bisection over the times at
// which the jobs on the given workers are expected to end.
std::optional<Tasks> Pass::earliestRegion(const Job &J, const Claim &C,
                                          std::span<const WorkerId> Rows,
                                          base::WallMs &Due) const {
  std::vector<SlotMask> Usable(PoolTable.Rows.size(), 0);
  std::map<pool::JobId, base::WallMs> Ends;
  for (WorkerId W : Rows) {
    Usable[W] = eligibleSlots(W, C);
    for (pool::JobId Id : jobsIn({{W, Usable[W]}}))
      if (!Ends.contains(Id))
        Ends.emplace(Id, expectedFreeTime(Id, C));
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
      M[W] &= PoolTable.Rows[W].Unallocated;
    for (const auto &[Id, At] : Ends)
      if (At >= 0 && At <= By)
        for (const pool::TaskSlots &Part : PoolTable.Jobs[Id].Where)
          M[Part.Worker] |= Part.Slots & Usable[Part.Worker];
    return pool::placeOn(PoolTable, J.Shape, std::move(M));
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

bool Pass::reserveRegion(Job &J) {
  Claim C = claimOf(J, HoldKind::Gang);
  base::WallMs Due = 0;
  auto Region = earliestRegion(J, C, sampleWorkers(J, MaxReserveWorkers), Due);
  if (!Region)
    return false;
  Hold H{HoldKind::Gang,
         std::move(*Region),
         Now,
         Due,
         Now + CoreState.Config.MaxGangDrain.count(),
         false,
         {}};
  for (pool::JobId Id : jobsIn(H.Region))
    H.Draining.push_back(PoolTable.Jobs[Id].Name);
  std::sort(H.Draining.begin(), H.Draining.end());
  for (const pool::TaskSlots &Part : H.Region)
    UnavailableOrHeld[Part.Worker] |= Part.Slots;
  CoreState.Holds.insert_or_assign(J.Id, std::move(H));
  // Other jobs may now be placed in the region as backfill.
  ++CoreState.ChangeCount;
  return true;
}

// The oldest pending job of the account that has no hold, proposal or decided
// end; nullptr if there is none.
Job *Pass::oldestUnservedJob(const Account &A) const {
  Job *Head = nullptr;
  for (const auto &[Key, C] : A.Classes)
    for (Job *J : C.Jobs) {
      if (Head && ByWait{}(Head, J))
        break;
      if (CoreState.Holds.contains(J->Id) ||
          CoreState.Proposals.contains(J->Id) ||
          CoreState.JobsToEnd.contains(J))
        continue;
      Head = J;
      break;
    }
  return Head;
}

// The oldest unserved job of each account, if it needs more than one slot and
// has waited for GangReservationAfter; accounts that use the least of their
// share come first, after urgent jobs. Only the oldest jobs: a reservation for
// a later one would let it pass older jobs, and many small jobs would wait for
// few large ones.
std::vector<Job *> Pass::longWaitingJobs() {
  std::vector<std::tuple<bool, double, Job *>> Found;
  for (const Account &A : CoreState.Accounts) {
    Job *J = A.Classes.empty() ? nullptr : oldestUnservedJob(A);
    if (!J || J->Shape.totalSlots() < 2 ||
        Now - J->AcceptedMs < CoreState.Config.GangReservationAfter.count() ||
        !quotaAllows(*J) || (J->Retry && RetryTokensLeft < 100))
      continue;
    double Use = static_cast<double>(A.UsedSlots) / std::max(A.Terms.Share, 1U);
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
  return J.Shape.totalSlots() * ReservedSlotsDivisor > PoolTable.UpSlots;
}

// Slots of the account's jobs that have a gang reservation or were placed or
// proposed by one.
unsigned Pass::reservedSlots(std::uint32_t Account) const {
  unsigned Sum = CoreState.Accounts[Account].PlacedReservedSlots;
  auto Add = [&](const std::string &Id, bool OnlyReserved) {
    const Job *J = CoreState.find(Id);
    if (J && J->Account == Account && (J->Reserved || !OnlyReserved))
      Sum += J->Shape.totalSlots();
  };
  for (const auto &[Id, H] : CoreState.Holds)
    if (H.Kind == HoldKind::Gang)
      Add(Id, false);
  for (const auto &[Id, Where] : CoreState.Proposals)
    Add(Id, true);
  return Sum;
}

// Whether the account may have one more reservation. Without this bound the
// wide jobs of an account would start in order of age and its many small jobs
// would wait behind them. An account without any reserved slots may always have
// one, so that its oldest job does not wait forever.
bool Pass::mayReserveMore(const Job &J) const {
  unsigned Have = reservedSlots(J.Account);
  return J.Urgent || Have == 0 ||
         (Have + J.Shape.totalSlots()) * ReservedSlotsDivisor <=
             PoolTable.UpSlots;
}

void Pass::reserveGangs() {
  if (Now < CoreState.NextReservationMs)
    return;
  CoreState.NextReservationMs = Now + ReservePeriodMs;
  bool Large = false;
  unsigned Reserved = 0, Small = 0;
  for (const auto &[Id, H] : CoreState.Holds) {
    const Job *J = CoreState.find(Id);
    if (!J || H.Kind != HoldKind::Gang)
      continue;
    ++Reserved;
    if (isLarge(*J))
      Large = true;
    else
      Small += J->Shape.totalSlots();
  }
  unsigned Attempts = MaxReserveAttempts;
  for (Job *J : longWaitingJobs()) {
    bool Allowed = isLarge(*J) ? !Large
                               : Reserved < MaxReservations &&
                                     (Small + J->Shape.totalSlots()) *
                                             ReservedSlotsDivisor <=
                                         PoolTable.UpSlots;
    if (!Allowed || !mayReserveMore(*J))
      continue;
    if (reserveRegion(*J) || --Attempts == 0)
      return;
  }
}

unsigned Scheduler::heldIdleSlots(const pool::Pool &P) const {
  const pool::Table &T = pool::PoolAccess::table(P);
  unsigned Sum = 0;
  for (const auto &[Id, H] : Pimpl->Holds)
    for (const pool::TaskSlots &Part : H.Region)
      if (H.Kind == HoldKind::Gang && Part.Worker < T.Rows.size())
        Sum += std::popcount(T.Rows[Part.Worker].freeSlots() & Part.Slots);
  return Sum;
}

} // namespace heathersaddle::policy
