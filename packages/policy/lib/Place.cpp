// Placement of a job on free slots: in its account's own homes, then on spare
// slots, then (only for jobs that may be stopped) in idle homes of other
// accounts. Work without accelerators tries spare slots before its own homes.
// One attempt costs a few index lookups for a single task and a scan of the
// masks for a gang.
#include "Pass.h"
#include <algorithm>

namespace heathersaddle::policy {

// Bounds the cost of a pass: one search examines up to 512 workers.
static constexpr unsigned MaxSearchesPerPass = 8;
static constexpr unsigned MaxUrgentSearchesPerPass = 6;

using pool::Domain;
using pool::NoId;
using pool::Query;
using pool::Tasks;

bool Pass::quotaAllows(const Job &J) const {
  const Account &A = CoreState.Accounts[J.Account];
  return !A.Terms.MaxSlots ||
         A.UsedSlots + A.ProposedSlots + J.Shape.totalSlots() <=
             A.Terms.MaxSlots;
}

// A job that must not be repeated leaves the probe of a suspect worker to other
// jobs, but only for a limited time: there may be no other job to probe it.
bool Pass::awaitsProbe(const Job &J) const {
  return !J.Idempotent &&
         Now - J.AcceptedMs < CoreState.Config.InitialQuarantine.count() &&
         std::find(IsProbing.begin(), IsProbing.end(), true) != IsProbing.end();
}

std::vector<pool::WorkerId> Pass::workersToAvoid(const Job &J) const {
  std::vector<pool::WorkerId> Rows;
  if (J.Issues && !J.Issues->NoAlternative)
    for (const std::string &W : J.Issues->FailedOn)
      if (pool::WorkerId R = PoolTable.worker(W); R != NoId)
        Rows.push_back(R);
  if (awaitsProbe(J))
    Rows.insert(Rows.end(), ProbingWorkers.begin(), ProbingWorkers.end());
  return Rows;
}

void Pass::markUnavailable(const Tasks &Where) {
  for (const pool::TaskSlots &R : Where) {
    // A probe is a single job: its worker takes no other job until it has
    // ended.
    pool::SlotMask M = IsProbing[R.Worker] ? ~pool::SlotMask{0} : R.Slots;
    Unavailable[R.Worker] |= M;
    UnavailableForBackfill[R.Worker] |= M;
    UnavailableOrHeld[R.Worker] |= M;
  }
}

void Pass::propose(Job &J, const Tasks &Where) {
  markUnavailable(Where);
  Account &A = CoreState.Accounts[J.Account];
  A.ProposedSlots += J.Shape.totalSlots();
  ProposingAccounts.push_back(J.Account);
  if (J.Retry)
    RetryTokensLeft -= 100;
  CoreState.Proposals.insert_or_assign(J.Id, Where);
  Decisions.push_back(PlaceDecision{J.Id, PoolTable.toPlacements(Where)});
}

// Adds only holds of other jobs of the same account to Base: holds of other
// accounts do not keep an account from its own homes.
static std::vector<pool::SlotMask>
blockOwnHolds(const Core &S, const Job &J, std::vector<pool::SlotMask> Base) {
  for (const auto &[Id, H] : S.Holds) {
    auto Holder = S.Jobs.find(Id);
    if (Holder == S.Jobs.end() || Holder->second->Account != J.Account ||
        Id == J.Id)
      continue;
    for (const pool::TaskSlots &R : H.Region)
      if (R.Worker < Base.size())
        Base[R.Worker] |= R.Slots;
  }
  return Base;
}

// A search whose result does not depend on the account, so that a failure can
// be recorded for the rest of the pass.
std::optional<Tasks> Pass::searchFreeSlots(const Job &J, const Query &Q,
                                           int Kind) {
  std::tuple Key(Kind, J.Shape.SlotsPerTask, J.Shape.Accelerators,
                 J.Shape.Within);
  if (auto Miss = FailedSearches.find(Key);
      Miss != FailedSearches.end() && Miss->second <= J.Shape.Tasks)
    return std::nullopt;
  if (Q.Avoid.empty() && J.Shape.Tasks > 1 && !FailedSearches.contains(Key)) {
    unsigned Fewest = PoolTable.maxFits(J.Shape, Q) + 1;
    FailedSearches.emplace(Key, Fewest);
    if (Fewest <= J.Shape.Tasks)
      return std::nullopt;
  }
  auto Found = PoolTable.find(J.Shape, Q);
  if (!Found && Q.Avoid.empty()) {
    auto [Miss, Fresh] = FailedSearches.try_emplace(Key, J.Shape.Tasks);
    Miss->second = std::min(Miss->second, J.Shape.Tasks);
  }
  return Found;
}

bool Pass::placeInOwnHomes(Job &J, Query Q) {
  if (PoolTable.homeSlots(Q.Account) < J.Shape.totalSlots())
    return false;
  std::vector<pool::SlotMask> Blocked;
  Q.In = Domain::OwnHomes;
  Q.Blocked = &Unavailable;
  if (!CoreState.Holds.empty()) {
    Blocked = blockOwnHolds(CoreState, J, Unavailable);
    Q.Blocked = &Blocked;
  }
  auto Found = PoolTable.find(J.Shape, Q);
  if (Found)
    propose(J, *Found);
  return Found.has_value();
}

bool Pass::hasFreeHomeSlots(const Query &Q) const {
  auto Rows = PoolTable.homeWorkers(Q.Account);
  return std::any_of(Rows.begin(), Rows.end(), [&](pool::WorkerId W) {
    return PoolTable.Rows[W].freeSlots() & PoolTable.Rows[W].homeOf(Q.Account) &
           ~UnavailableOrHeld[W];
  });
}

Pass::Outcome Pass::placeOnFreeSlots(Job &J) {
  std::vector<pool::WorkerId> Avoid = workersToAvoid(J);
  Query Q{Domain::Spare, PoolTable.account(CoreState.Accounts[J.Account].Name),
          &UnavailableOrHeld, Avoid};
  auto Accept = [&](const std::optional<Tasks> &Found) {
    if (Found)
      propose(J, *Found);
    return Found.has_value();
  };
  // Work without accelerators does not use the account's homes while other
  // slots are free.
  bool Fast = J.Shape.Accelerators;
  if (Fast && placeInOwnHomes(J, Q))
    return Outcome::Placed;
  bool Room = PoolTable.FreeSlots >= J.Shape.totalSlots();
  if (Room && Accept(searchFreeSlots(J, Q, 0)))
    return Outcome::Placed;
  if (!Fast && placeInOwnHomes(J, Q))
    return Outcome::Placed;
  if (!Room || PoolTable.Homes.empty())
    return Outcome::Blocked;
  Q.In = Domain::OwnHomesOrSpare;
  if (J.Shape.Tasks > 1 && hasFreeHomeSlots(Q) &&
      Accept(PoolTable.find(J.Shape, Q)))
    return Outcome::Placed;
  // Swapping a home for a free one makes the job guaranteed at no cost.
  if (CostlySearches < MaxSearchesPerPass &&
      reclaim(J, /*AtNoLoss=*/true) == Outcome::Waits)
    return Outcome::Waits;
  Q.In = Domain::Any;
  return J.Idempotent && Accept(searchFreeSlots(J, Q, 1)) ? Outcome::Placed
                                                          : Outcome::Blocked;
}

// Slots reserved for a gang whose region drains may be used by a job that can
// be stopped when the gang is due, if enough time is left for that to be
// worthwhile.
bool Pass::placeAsBackfill(Job &J) {
  if (!J.Idempotent || J.Urgent || PoolTable.FreeSlots < J.Shape.totalSlots())
    return false;
  bool Pays = false;
  for (const auto &[Id, H] : CoreState.Holds)
    Pays |= H.Kind == HoldKind::Gang && !H.Closed && Id != J.Id &&
            H.DueMs - Now > 2 * CoreState.Config.ReclaimGrace.count();
  if (!Pays)
    return false;
  std::vector<pool::WorkerId> Avoid = workersToAvoid(J);
  Query Q{Domain::Any, PoolTable.account(CoreState.Accounts[J.Account].Name),
          &UnavailableForBackfill, Avoid};
  auto Found = searchFreeSlots(J, Q, 2);
  if (Found)
    propose(J, *Found);
  return Found.has_value();
}

Pass::Outcome Pass::tryPlace(Job &J) {
  J.Reserved = false;
  if (!quotaAllows(J) || (J.Retry && RetryTokensLeft < 100))
    return Outcome::Blocked;
  if (Outcome O = placeOnFreeSlots(J); O != Outcome::Blocked)
    return O;
  if (placeAsBackfill(J))
    return Outcome::Placed;
  if (CostlySearches >= MaxSearchesPerPass) {
    SearchDeferred = true;
    return Outcome::Blocked;
  }
  if (Outcome O = reclaim(J, /*AtNoLoss=*/false); O != Outcome::Blocked)
    return O;
  if (J.Urgent && CostlySearches < MaxUrgentSearchesPerPass)
    return preempt(J, HoldKind::Urgent);
  SearchDeferred = J.Urgent;
  if (J.Urgent)
    return Outcome::Blocked;
  if (!CoreState.OverrunningJobs.empty())
    return preempt(J, HoldKind::Overrun);
  return Outcome::Blocked;
}

} // namespace heathersaddle::policy
