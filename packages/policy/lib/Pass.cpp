// One decision pass: the order of the queue. Jobs that differ only in id and
// age form classes, and a class whose head finds no room is skipped until slots
// become free, so the cost depends on the number of classes, not of jobs. A
// pass examines at most MaxExaminedPerPass jobs; a round of passes examines
// every class once, and urgent classes come first in each pass.
#include "Pass.h"
#include <algorithm>
#include <queue>

namespace heathersaddle::policy {

using pool::AccountId;
using pool::NoId;

Pass::Pass(Core &State, const pool::Pool &Cell, base::WallMs At)
    : CoreState(State), CellPool(Cell),
      PoolTable(pool::PoolAccess::table(Cell)), Now(At),
      Unavailable(PoolTable.Rows.size(), 0),
      IsProbing(PoolTable.Rows.size(), false) {
  CoreState.refillRetryTokens(Now);
  RetryTokensLeft = CoreState.RetryTokens;
}

std::vector<Decision> Pass::run() {
  // An unfinished round continues, but urgent classes are examined again first.
  if (CoreState.HasMore)
    for (Account &A : CoreState.Accounts)
      for (auto &[Key, C] : A.Classes) {
        if (std::get<0>(Key))
          break;
        C.LastRound = 0;
      }
  ++CoreState.PassCount;
  CoreState.HasMore = false;
  while (!CoreState.OverrunQueue.empty() &&
         (*CoreState.OverrunQueue.begin())->OverrunAt <= Now) {
    Job *J = *CoreState.OverrunQueue.begin();
    CoreState.OverrunQueue.erase(CoreState.OverrunQueue.begin());
    J->Overrun = true;
    CoreState.OverrunningJobs.insert(J);
    ++CoreState.ChangeCount;
  }
  endJobs();
  checkHealth();
  UnavailableForBackfill = UnavailableOrHeld = Unavailable;
  for (const auto &[Id, H] : CoreState.Holds)
    for (const pool::TaskSlots &R : H.Region)
      if (R.Worker < UnavailableOrHeld.size()) {
        UnavailableOrHeld[R.Worker] |= R.Slots;
        if (H.Kind != HoldKind::Gang || H.Closed)
          UnavailableForBackfill[R.Worker] |= R.Slots;
      }
  repeatProposals();
  processHolds();
  // Before the queue, whose placements could take slots that the gangs need.
  reserveGangs();
  scanQueue();
  if (!NewHomes.empty())
    Decisions.insert(Decisions.begin(), HomesDecision{std::move(NewHomes)});
  for (std::uint32_t A : ProposingAccounts)
    CoreState.Accounts[A].ProposedSlots = 0;
  return std::move(Decisions);
}

// Ends jobs that are past their deadline or have failed permanently.
void Pass::endJobs() {
  while (!CoreState.Deadlines.empty() &&
         (*CoreState.Deadlines.begin())->DeadlineMs <= Now) {
    Job *J = *CoreState.Deadlines.begin();
    CoreState.Deadlines.erase(CoreState.Deadlines.begin());
    CoreState.decideEnd(*J, J->Attempts > 0, "The deadline passed.");
  }
  for (const Job *J : CoreState.JobsToEnd) {
    if (Decisions.size() >= CoreState.Config.MaxExaminedPerPass) {
      CoreState.HasMore = true;
      return;
    }
    Decisions.push_back(
        EndDecision{J->Id, J->Issues->EndFailed, J->Issues->EndReason});
  }
}

// Repeats decisions that have not taken effect yet unchanged, so that no new
// decision contradicts one in flight in the log.
void Pass::repeatProposals() {
  for (auto At = CoreState.Proposals.begin();
       At != CoreState.Proposals.end();) {
    Job *J = CoreState.find(At->first);
    bool Valid = J && J->State == JobState::Pending && quotaAllows(*J) &&
                 !(J->Issues && J->Issues->EndDecided);
    for (const pool::TaskSlots &R : At->second)
      Valid = Valid && R.Worker < PoolTable.Rows.size() &&
              (PoolTable.Rows[R.Worker].freeSlots() & ~Unavailable[R.Worker] &
               R.Slots) == R.Slots;
    if (!Valid || (!J->Idempotent &&
                   PoolTable.isBorrowing(
                       {J->Id,
                        PoolTable.account(CoreState.Accounts[J->Account].Name),
                        {},
                        At->second}))) {
      At = CoreState.Proposals.erase(At);
      continue;
    }
    pool::Tasks Where = At->second;
    ++At;
    propose(*J, Where);
  }
}

// Whether the job could not run even with all workers present and idle.
// Workers that are lost or quarantined count, since they may return.
// With \p WithoutFailed, workers on which the job failed do not count.
bool Pass::neverFits(const Job &J, bool WithoutFailed) const {
  const Account &A = CoreState.Accounts[J.Account];
  if (A.Terms.MaxSlots && J.Shape.totalSlots() > A.Terms.MaxSlots)
    return true;
  AccountId Owner = PoolTable.account(A.Name);
  std::vector<pool::SlotMask> Idle(PoolTable.Rows.size(), 0);
  for (pool::WorkerId W : PoolTable.WorkersByName) {
    const pool::WorkerRow &R = PoolTable.Rows[W];
    if (R.Status == pool::WorkerStatus::Leaving)
      continue;
    if (WithoutFailed && std::ranges::count(J.Issues->FailedOn, R.Spec.Name))
      continue;
    Idle[W] =
        J.Idempotent ? R.AllSlots : R.AllSlots & (~R.Homed | R.homeOf(Owner));
  }
  return !pool::placeOn(PoolTable, J.Shape, std::move(Idle));
}

// Whether A goes before B of the same account. The job with the longer wait per
// requested slot goes first; by age alone, many small jobs would wait for a few
// older wide ones, which can have a reservation instead. Within the guarantee
// of the account the older job goes first, since a younger small job could take
// the home that the older one is entitled to.
bool Pass::goesBefore(const Job &A, const Job &B) const {
  const Account &Of = CoreState.Accounts[A.Account];
  unsigned Wider = std::max(A.Shape.totalSlots(), B.Shape.totalSlots());
  if (Of.UsedSlots + Of.ProposedSlots + Wider <=
      PoolTable.homeSlots(PoolTable.account(Of.Name)))
    return ByWait{}(&A, &B);
  auto Wait = [&](const Job &J) {
    return std::max<base::WallMs>(Now - J.AcceptedMs, 1);
  };
  base::WallMs ForA = Wait(A) * B.Shape.totalSlots();
  base::WallMs ForB = Wait(B) * A.Shape.totalSlots();
  return ForA != ForB ? ForA > ForB : ByWait{}(&A, &B);
}

JobClass *Pass::nextClass(Account &A) const {
  JobClass *Best = nullptr;
  bool BestUrgent = false;
  for (auto &[Key, C] : A.Classes) {
    bool Urgent = !std::get<0>(Key);
    if (C.BlockedVersion == version() || C.LastRound == CoreState.ScanRound ||
        C.Jobs.empty())
      continue;
    if (!Best || Urgent > BestUrgent ||
        (Urgent == BestUrgent &&
         goesBefore(**C.Jobs.begin(), **Best->Jobs.begin()))) {
      Best = &C;
      BestUrgent = Urgent;
    }
  }
  return Best;
}

namespace {
/// An account's position in the queue.
struct QueueEntry {
  std::uint32_t Account = 0;
  const Job *Head = nullptr;
  bool WithinGuarantee = false;
  double Share = 0;
  // True when A comes after B.
  friend bool operator<(const QueueEntry &A, const QueueEntry &B) {
    if (A.Head->Urgent != B.Head->Urgent)
      return B.Head->Urgent;
    if (A.WithinGuarantee != B.WithinGuarantee)
      return B.WithinGuarantee;
    if (A.Share != B.Share)
      return A.Share > B.Share;
    return ByWait{}(B.Head, A.Head);
  }
};
} // namespace

static QueueEntry queueEntryOf(const Account &A, std::uint32_t Id,
                               const Job *Head, unsigned Guaranteed) {
  unsigned Used = A.UsedSlots + A.ProposedSlots;
  unsigned Over = Used > Guaranteed ? Used - Guaranteed : 0;
  return {Id, Head, Used + Head->Shape.totalSlots() <= Guaranteed,
          static_cast<double>(Over) / std::max(A.Terms.Share, 1U)};
}

void Pass::scanQueue() {
  std::priority_queue<QueueEntry> Queue;
  auto Enqueue = [&](std::uint32_t Id) {
    Account &A = CoreState.Accounts[Id];
    if (JobClass *C = nextClass(A))
      Queue.push(queueEntryOf(A, Id, *C->Jobs.begin(),
                              PoolTable.homeSlots(PoolTable.account(A.Name))));
  };
  for (std::uint32_t Id = 0; Id != CoreState.Accounts.size(); ++Id)
    if (!CoreState.Accounts[Id].Classes.empty())
      Enqueue(Id);
  while (!Queue.empty()) {
    if (ExaminedCount >= CoreState.Config.MaxExaminedPerPass) {
      CoreState.HasMore = true;
      return;
    }
    std::uint32_t Id = Queue.top().Account;
    Queue.pop();
    scanAccount(Id);
    Enqueue(Id);
  }
  ++CoreState.ScanRound;
  // Another pass helps only if this one changed anything.
  CoreState.HasMore |=
      AnySearchDeferred && (MadeProgress || !Decisions.empty());
}

bool Pass::scanAccount(std::uint32_t Id) {
  JobClass *C = nextClass(CoreState.Accounts[Id]);
  return C && examineClass(*C);
}

// Tries to place the first job of the class that was not yet examined in this
// pass and has no proposal, hold or decided end.
bool Pass::examineClass(JobClass &C) {
  Job *J = nullptr;
  std::size_t Skipped = 0;
  auto At = C.LastPass == CoreState.PassCount
                ? C.Jobs.upper_bound(C.LastExamined)
                : C.Jobs.begin();
  for (; At != C.Jobs.end() && !J; ++At, ++Skipped)
    if (!CoreState.Proposals.contains((*At)->Id) &&
        !CoreState.Holds.contains((*At)->Id) &&
        !CoreState.JobsToEnd.contains(*At))
      J = *At;
  ExaminedCount += 1 + Skipped / 16;
  if (!J) {
    C.LastRound = CoreState.ScanRound;
    return false;
  }
  C.LastPass = CoreState.PassCount;
  C.LastExamined = J;
  SearchDeferred = SearchPartial = false;
  Outcome O = tryPlace(*J);
  if (O != Outcome::Blocked)
    return O == Outcome::Placed;
  if (C.FeasibleStructure != PoolTable.Structure) {
    if (neverFits(*J)) {
      CoreState.decideEnd(*J, J->Attempts > 0,
                          "No worker of the cell can hold this shape "
                          "under the lists in force.");
      Decisions.push_back(
          EndDecision{J->Id, J->Issues->EndFailed, J->Issues->EndReason});
      return false;
    }
    C.FeasibleStructure = PoolTable.Structure;
    // A small cell may have no other workers to try. The job may then run again
    // on workers where it failed, until it has failed too often.
    if (J->Issues && !J->Issues->FailedOn.empty() &&
        !J->Issues->NoAlternative && neverFits(*J, /*WithoutFailed=*/true)) {
      J->Issues->NoAlternative = AnySearchDeferred = MadeProgress = true;
      C.LastRound = CoreState.ScanRound;
      return false;
    }
  }
  C.LastRound = CoreState.ScanRound;
  AnySearchDeferred |= SearchDeferred;
  // The retry budget refills over time, and a partial search examines other
  // workers next time.
  if (SearchDeferred || SearchPartial || awaitsProbe(*J) ||
      (J->Retry && RetryTokensLeft < 100))
    return false;
  C.BlockedVersion = version();
  MadeProgress = true;
  return false;
}

std::vector<Decision> Scheduler::decide(const pool::Pool &P, base::WallMs Now) {
  return Pass(*Pimpl, P, Now).run();
}

} // namespace heathersaddle::policy
