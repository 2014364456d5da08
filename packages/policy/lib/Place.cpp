// Placing a job on free slots: own homes, then spare slots, then (only for jobs
// that may be stopped) idle homes of others. One attempt costs a few index
// lookups for a single task and one scan of the masks for a gang.
#include "Pass.h"
#include <algorithm>

namespace heathersaddle::policy {

// Bounds the cost of a pass: one search compares up to 512 workers.
static constexpr unsigned SearchesPerPass = 8;
static constexpr unsigned UrgentSearchesPerPass = 6;

using pool::Domain;
using pool::NoId;
using pool::Query;
using pool::Tasks;

bool Pass::quotaAllows(const Job &J) const {
  const Account &A = S.Accounts[J.Account];
  return !A.Terms.MaxSlots ||
         A.Used + A.Proposed + J.Shape.totalSlots() <= A.Terms.MaxSlots;
}

// A job that must not be repeated leaves the probe of a suspect worker to
// others, but not for ever: there may be nobody else to probe it.
bool Pass::awaitsProbe(const Job &J) const {
  return !J.Idempotent &&
         Now - J.AcceptedMs < S.Set.InitialQuarantine.count() &&
         std::find(SickRow.begin(), SickRow.end(), true) != SickRow.end();
}

std::vector<pool::WorkerId> Pass::avoided(const Job &J) const {
  std::vector<pool::WorkerId> Rows;
  if (J.Issues && !J.Issues->NoOther)
    for (const std::string &W : J.Issues->FailedOn)
      if (pool::WorkerId R = T.row(W); R != NoId)
        Rows.push_back(R);
  if (awaitsProbe(J))
    Rows.insert(Rows.end(), SickRows.begin(), SickRows.end());
  return Rows;
}

void Pass::block(const Tasks &Where) {
  for (const pool::TaskSlots &R : Where) {
    // A probe is one job: its worker takes nothing else until it has ended.
    pool::SlotMask M = SickRow[R.Worker] ? ~pool::SlotMask{0} : R.Slots;
    Base[R.Worker] |= M;
    Hard[R.Worker] |= M;
    Soft[R.Worker] |= M;
  }
}

void Pass::propose(Job &J, const Tasks &Where) {
  block(Where);
  Account &A = S.Accounts[J.Account];
  A.Proposed += J.Shape.totalSlots();
  Proposers.push_back(J.Account);
  if (J.Retry)
    Tokens -= 100;
  S.Proposals.insert_or_assign(J.Id, Where);
  Out.push_back(PlaceDecision{J.Id, T.toPlacements(Where)});
}

// Holds of other accounts do not keep an account from its own homes.
static std::vector<pool::SlotMask> ownBlocks(const Core &S, const Job &J,
                                             std::vector<pool::SlotMask> Base) {
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

// A search whose answer does not depend on the account, so that a failure is
// remembered for the rest of the pass.
std::optional<Tasks> Pass::search(const Job &J, const Query &Q, int Kind) {
  std::tuple Key(Kind, J.Shape.SlotsPerTask, J.Shape.Accelerators,
                 J.Shape.Within);
  if (auto Miss = Misses.find(Key);
      Miss != Misses.end() && Miss->second <= J.Shape.Tasks)
    return std::nullopt;
  if (Q.Avoid.empty() && J.Shape.Tasks > 1 && !Misses.contains(Key)) {
    unsigned Fewest = T.mostFits(J.Shape, Q) + 1;
    Misses.emplace(Key, Fewest);
    if (Fewest <= J.Shape.Tasks)
      return std::nullopt;
  }
  auto Found = T.find(J.Shape, Q);
  if (!Found && Q.Avoid.empty()) {
    auto [Miss, Fresh] = Misses.try_emplace(Key, J.Shape.Tasks);
    Miss->second = std::min(Miss->second, J.Shape.Tasks);
  }
  return Found;
}

bool Pass::placeOwn(Job &J, Query Q) {
  if (T.homeSlots(Q.Account) < J.Shape.totalSlots())
    return false;
  std::vector<pool::SlotMask> Blocked;
  Q.In = Domain::Own;
  Q.Blocked = &Base;
  if (!S.Holds.empty()) {
    Blocked = ownBlocks(S, J, Base);
    Q.Blocked = &Blocked;
  }
  auto Found = T.find(J.Shape, Q);
  if (Found)
    propose(J, *Found);
  return Found.has_value();
}

bool Pass::ownSlotsFree(const Query &Q) const {
  auto Rows = T.homeRows(Q.Account);
  return std::any_of(Rows.begin(), Rows.end(), [&](pool::WorkerId W) {
    return T.Rows[W].freeSlots() & T.Rows[W].homeOf(Q.Account) & ~Soft[W];
  });
}

Pass::Outcome Pass::placeFree(Job &J) {
  std::vector<pool::WorkerId> Avoid = avoided(J);
  Query Q{Domain::Spare, T.account(S.Accounts[J.Account].Name), &Soft, Avoid};
  auto Accept = [&](const std::optional<Tasks> &Found) {
    if (Found)
      propose(J, *Found);
    return Found.has_value();
  };
  // Work without accelerators leaves the account's accelerators alone while
  // other slots are free.
  bool Fast = J.Shape.Accelerators;
  if (Fast && placeOwn(J, Q))
    return Outcome::Placed;
  bool Room = T.FreeSlots >= J.Shape.totalSlots();
  if (Room && Accept(search(J, Q, 0)))
    return Outcome::Placed;
  if (!Fast && placeOwn(J, Q))
    return Outcome::Placed;
  if (!Room || T.Homes.empty())
    return Outcome::Blocked;
  Q.In = Domain::OwnOrSpare;
  if (J.Shape.Tasks > 1 && ownSlotsFree(Q) && Accept(T.find(J.Shape, Q)))
    return Outcome::Placed;
  // A home exchanged for a free one makes the job guaranteed at no cost.
  if (Searches < SearchesPerPass &&
      reclaim(J, /*AtNoLoss=*/true) == Outcome::Waits)
    return Outcome::Waits;
  Q.In = Domain::Any;
  return J.Idempotent && Accept(search(J, Q, 1)) ? Outcome::Placed
                                                 : Outcome::Blocked;
}

// Slots kept for a draining gang may be used meanwhile by a job that can be
// stopped when the gang is due, if enough time is left for that to pay.
bool Pass::placeAsBackfill(Job &J) {
  if (!J.Idempotent || J.Urgent || T.FreeSlots < J.Shape.totalSlots())
    return false;
  bool Pays = false;
  for (const auto &[Id, H] : S.Holds)
    Pays |= H.Kind == HoldKind::Gang && !H.Closed && Id != J.Id &&
            H.DueMs - Now > 2 * S.Set.ReclaimGrace.count();
  if (!Pays)
    return false;
  std::vector<pool::WorkerId> Avoid = avoided(J);
  Query Q{Domain::Any, T.account(S.Accounts[J.Account].Name), &Hard, Avoid};
  auto Found = search(J, Q, 2);
  if (Found)
    propose(J, *Found);
  return Found.has_value();
}

Pass::Outcome Pass::tryPlace(Job &J) {
  J.Reserved = false;
  if (!quotaAllows(J) || (J.Retry && Tokens < 100))
    return Outcome::Blocked;
  if (Outcome O = placeFree(J); O != Outcome::Blocked)
    return O;
  if (placeAsBackfill(J))
    return Outcome::Placed;
  if (Searches >= SearchesPerPass) {
    Deferred = true;
    return Outcome::Blocked;
  }
  if (Outcome O = reclaim(J, /*AtNoLoss=*/false); O != Outcome::Blocked)
    return O;
  if (J.Urgent && Searches < UrgentSearchesPerPass)
    return preempt(J, HoldKind::Urgent);
  Deferred = J.Urgent;
  if (J.Urgent)
    return Outcome::Blocked;
  if (!S.Overrunning.empty())
    return preempt(J, HoldKind::Overrun);
  return Outcome::Blocked;
}

} // namespace heathersaddle::policy
