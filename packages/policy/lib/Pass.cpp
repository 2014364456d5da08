// One decision pass: the order of the queue. Jobs that differ only in name form
// classes, and a class whose head finds no room is left alone until slots
// become free, so the cost follows the number of classes, not of jobs. A pass
// examines at most MaxExaminedPerPass jobs; a round of passes looks at every
// class once, and urgent classes come first in each pass.
#include "Pass.h"
#include <algorithm>
#include <queue>

namespace heathersaddle::policy {

using pool::AccountId;
using pool::NoId;

Pass::Pass(Core &State, const pool::Pool &Cell, base::WallMs At)
    : S(State), P(Cell), T(pool::PoolAccess::table(Cell)), Now(At),
      Base(T.Rows.size(), 0), SickRow(T.Rows.size(), false) {
  S.refillRetries(Now);
  Tokens = S.RetryTokens;
}

std::vector<Decision> Pass::run() {
  // A round left unfinished goes on, but not ahead of urgent jobs.
  if (S.More)
    for (Account &A : S.Accounts)
      for (auto &[Key, C] : A.Classes) {
        if (std::get<0>(Key))
          break;
        C.Round = 0;
      }
  ++S.Passes;
  S.More = false;
  while (!S.Overruns.empty() && (*S.Overruns.begin())->OverrunAt <= Now) {
    Job *J = *S.Overruns.begin();
    S.Overruns.erase(S.Overruns.begin());
    J->Overrun = true;
    S.Overrunning.insert(J);
    ++S.Changes;
  }
  endJobs();
  checkHealth();
  Hard = Soft = Base;
  for (const auto &[Id, H] : S.Holds)
    for (const pool::TaskSlots &R : H.Region)
      if (R.Worker < Soft.size()) {
        Soft[R.Worker] |= R.Slots;
        if (H.Kind != HoldKind::Gang || H.Closed)
          Hard[R.Worker] |= R.Slots;
      }
  repeatProposals();
  serveHolds();
  // Before the queue: what is placed in this pass would be in the way.
  reserveGangs();
  scanQueue();
  if (!NewHomes.empty())
    Out.insert(Out.begin(), HomesDecision{std::move(NewHomes)});
  for (std::uint32_t A : Proposers)
    S.Accounts[A].Proposed = 0;
  return std::move(Out);
}

// Ends jobs that are past their deadline or failed for good.
void Pass::endJobs() {
  while (!S.Deadlines.empty() && (*S.Deadlines.begin())->DeadlineMs <= Now) {
    Job *J = *S.Deadlines.begin();
    S.Deadlines.erase(S.Deadlines.begin());
    S.end(*J, J->Attempts > 0, "The deadline passed.");
  }
  for (const Job *J : S.Ending) {
    if (Out.size() >= S.Set.MaxExaminedPerPass) {
      S.More = true;
      return;
    }
    Out.push_back(
        EndDecision{J->Id, J->Issues->EndFailed, J->Issues->EndReason});
  }
}

// Decisions that have not taken effect yet are given again unchanged, so that
// a decision under way in the log is not contradicted.
void Pass::repeatProposals() {
  for (auto At = S.Proposals.begin(); At != S.Proposals.end();) {
    Job *J = S.find(At->first);
    bool Valid = J && J->State == JobState::Pending && quotaAllows(*J) &&
                 !(J->Issues && J->Issues->Ends);
    for (const pool::TaskSlots &R : At->second)
      Valid =
          Valid && R.Worker < T.Rows.size() &&
          (T.Rows[R.Worker].freeSlots() & ~Base[R.Worker] & R.Slots) == R.Slots;
    if (!Valid || (!J->Idempotent &&
                   T.isBorrowing({J->Id,
                                  T.account(S.Accounts[J->Account].Name),
                                  {},
                                  At->second}))) {
      At = S.Proposals.erase(At);
      continue;
    }
    pool::Tasks Where = At->second;
    ++At;
    propose(*J, Where);
  }
}

// Whether the job could not run even with all workers present and idle.
// Workers that are lost or quarantined count, since they may return.
// With \p Without, workers on which the job failed do not count.
bool Pass::neverFits(const Job &J, bool Without) const {
  const Account &A = S.Accounts[J.Account];
  if (A.Terms.MaxSlots && J.Shape.totalSlots() > A.Terms.MaxSlots)
    return true;
  AccountId Owner = T.account(A.Name);
  std::vector<pool::SlotMask> Idle(T.Rows.size(), 0);
  for (pool::WorkerId W : T.WorkersByName) {
    const pool::WorkerRow &R = T.Rows[W];
    if (R.Status == pool::WorkerStatus::Leaving)
      continue;
    if (Without && std::ranges::count(J.Issues->FailedOn, R.Spec.Name))
      continue;
    Idle[W] = J.Idempotent ? R.All : R.All & (~R.Homed | R.homeOf(Owner));
  }
  return !pool::placeOn(T, J.Shape, std::move(Idle));
}

// Whether A goes before B of the same account: the longer wait for each slot it
// asks for. Otherwise many small jobs wait for a few wide ones that are older;
// those can have a reservation. Within its guarantee the older one goes first,
// since a younger small job could take the home the older one is owed.
bool Pass::goesBefore(const Job &A, const Job &B) const {
  const Account &Of = S.Accounts[A.Account];
  unsigned Wider = std::max(A.Shape.totalSlots(), B.Shape.totalSlots());
  if (Of.Used + Of.Proposed + Wider <= T.homeSlots(T.account(Of.Name)))
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
    if (C.BlockedAt == version() || C.Round == S.Round || C.Jobs.empty())
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
/// Place of an account in the order of the queue.
struct Turn {
  std::uint32_t Account = 0;
  const Job *Head = nullptr;
  bool Under = false;
  double Share = 0;
  // True when A comes after B.
  friend bool operator<(const Turn &A, const Turn &B) {
    if (A.Head->Urgent != B.Head->Urgent)
      return B.Head->Urgent;
    if (A.Under != B.Under)
      return B.Under;
    if (A.Share != B.Share)
      return A.Share > B.Share;
    return ByWait{}(B.Head, A.Head);
  }
};
} // namespace

static Turn turnOf(const Account &A, std::uint32_t Id, const Job *Head,
                   unsigned Guaranteed) {
  unsigned Used = A.Used + A.Proposed;
  unsigned Over = Used > Guaranteed ? Used - Guaranteed : 0;
  return {Id, Head, Used + Head->Shape.totalSlots() <= Guaranteed,
          static_cast<double>(Over) / std::max(A.Terms.Share, 1U)};
}

void Pass::scanQueue() {
  std::priority_queue<Turn> Turns;
  auto Push = [&](std::uint32_t Id) {
    Account &A = S.Accounts[Id];
    if (JobClass *C = nextClass(A))
      Turns.push(
          turnOf(A, Id, *C->Jobs.begin(), T.homeSlots(T.account(A.Name))));
  };
  for (std::uint32_t Id = 0; Id != S.Accounts.size(); ++Id)
    if (!S.Accounts[Id].Classes.empty())
      Push(Id);
  while (!Turns.empty()) {
    if (Examined >= S.Set.MaxExaminedPerPass) {
      S.More = true;
      return;
    }
    std::uint32_t Id = Turns.top().Account;
    Turns.pop();
    scanAccount(Id);
    Push(Id);
  }
  ++S.Round;
  // Another pass helps only if this one settled anything.
  S.More |= PutOff && (Progress || !Out.empty());
}

bool Pass::scanAccount(std::uint32_t Id) {
  JobClass *C = nextClass(S.Accounts[Id]);
  return C && examine(*C);
}

// Looks at the first job of the class that is not already provided for.
bool Pass::examine(JobClass &C) {
  Job *J = nullptr;
  std::size_t Skipped = 0;
  auto At =
      C.PassSeen == S.Passes ? C.Jobs.upper_bound(C.Last) : C.Jobs.begin();
  for (; At != C.Jobs.end() && !J; ++At, ++Skipped)
    if (!S.Proposals.contains((*At)->Id) && !S.Holds.contains((*At)->Id) &&
        !S.Ending.contains(*At))
      J = *At;
  Examined += 1 + Skipped / 16;
  if (!J) {
    C.Round = S.Round;
    return false;
  }
  C.PassSeen = S.Passes;
  C.Last = J;
  Deferred = Partial = false;
  Outcome O = tryPlace(*J);
  if (O != Outcome::Blocked)
    return O == Outcome::Placed;
  if (C.FitsAt != T.Structure) {
    if (neverFits(*J)) {
      S.end(*J, J->Attempts > 0,
            "No worker of the cell can hold this shape "
            "under the lists in force.");
      Out.push_back(
          EndDecision{J->Id, J->Issues->EndFailed, J->Issues->EndReason});
      return false;
    }
    C.FitsAt = T.Structure;
    // A small cell may have no other workers to try. The job then runs again
    // where it failed, until it has failed too often.
    if (J->Issues && !J->Issues->FailedOn.empty() && !J->Issues->NoOther &&
        neverFits(*J, /*Without=*/true)) {
      J->Issues->NoOther = PutOff = Progress = true;
      C.Round = S.Round;
      return false;
    }
  }
  C.Round = S.Round;
  PutOff |= Deferred;
  // The retry budget refills with time, and a partial search looks at other
  // workers the next time.
  if (Deferred || Partial || awaitsProbe(*J) || (J->Retry && Tokens < 100))
    return false;
  C.BlockedAt = version();
  Progress = true;
  return false;
}

std::vector<Decision> Scheduler::decide(const pool::Pool &P, base::WallMs Now) {
  return Pass(*I, P, Now).run();
}

} // namespace heathersaddle::policy
