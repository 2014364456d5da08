// Approach: passes every event of the cell to the scheduler in the order of
// the log and turns the scheduler's decisions into records. The scheduler
// allocates from the pool in the state, so it does not run while placements
// are in flight: it would allocate the same slots again.
// Bounds: MaxReroutesExamined jobs examined per round, MaxJobsPerRemoval jobs
// removed per record.
#include "CellOwner.h"

namespace heathersaddle::control {

namespace {
constexpr base::Millis DecidePeriod{500};
constexpr base::Millis ReroutePeriod{2'000};
constexpr base::Millis RemovalPeriod{60'000};
constexpr base::WallMs RerouteWaitMs = 10'000;
/// An account with homes in the cell can reclaim slots there, so its jobs wait
/// longer before they are moved to another cell.
constexpr base::WallMs RerouteHomeWaitMs = 60'000;
constexpr std::size_t MaxReroutesExamined = 16;
constexpr std::size_t MaxJobsPerRemoval = 256;
const std::string HomesKey = "homes";
const std::string RemovalKey = "forget";

policy::AttemptEnd toPolicy(state::AttemptEnd Why) {
  switch (Why) {
  case state::AttemptEnd::Stopped:
    return policy::AttemptEnd::Stopped;
  case state::AttemptEnd::TaskFailed:
    return policy::AttemptEnd::TaskFailed;
  case state::AttemptEnd::WorkerLost:
    return policy::AttemptEnd::WorkerLost;
  case state::AttemptEnd::NotStarted:
    return policy::AttemptEnd::NotStarted;
  }
  return policy::AttemptEnd::Stopped;
}

policy::JobView viewOf(const state::Job &J) {
  return {J.Spec.Id,         J.Spec.Account,    J.Spec.Kind,
          J.Spec.Shape,      J.Spec.Urgent,     J.Spec.Idempotent,
          J.Spec.AcceptedMs, J.Spec.DeadlineMs, J.Spec.RunTimeMs,
          J.ProgressMs,      J.Attempt,         J.Failures};
}
} // namespace

void CellOwner::beginScheduling() {
  updateTerms();
  for (const auto &[Order, Id] : cellState()->Live) {
    const state::Job *J = NodeCore.State.job(Id);
    if (!J || !J->live())
      continue;
    Dirty.insert(Id);
    addPendingJob(*J);
    if (!J->placed())
      continue;
    Scheduler.jobPlaced(Id, J->Tasks, NodeCore.stateClock());
    if (J->Status == state::JobStatus::Stopping)
      Scheduler.jobStopping(Id);
    track(*J, false);
  }
}

void CellOwner::updateTerms() {
  std::set<std::string_view> Accounts;
  for (const auto &[Account, Customer] : NodeCore.State.customers())
    Accounts.insert(Account);
  for (const auto &[Order, Id] : cellState()->Live)
    if (const state::Job *J = NodeCore.State.job(Id))
      Accounts.insert(J->Spec.Account);
  for (std::string_view A : Accounts)
    if (const state::Plan *P = NodeCore.State.terms(A))
      Scheduler.setTerms(A,
                         {P->Share, P->MaxSlots, NodeCore.State.departed(A)});
}

void CellOwner::addPendingJob(const state::Job &J) {
  Scheduler.jobPending(viewOf(J), NodeCore.stateClock());
}

void CellOwner::notifyScheduler(const state::Body &Body,
                                const state::Verdict &V) {
  DecideWanted = true;
  if (std::holds_alternative<state::ListPublished>(Body)) {
    updateTerms();
    return;
  }
  const state::Job *J = V.Job.empty() ? nullptr : NodeCore.State.job(V.Job);
  if (!J)
    return;
  const std::string &Id = J->Spec.Id;
  if (const auto *R = std::get_if<state::Rerouted>(&Body))
    if (R->By.Cell == Name)
      Scheduler.jobRemoved(Id);
  if (J->Cell != Name)
    return;
  Dirty.insert(Id);
  if (std::holds_alternative<state::JobAccepted>(Body) ||
      std::holds_alternative<state::Rerouted>(Body)) {
    addPendingJob(*J);
  } else if (std::holds_alternative<state::CancelRequested>(Body)) {
    if (J->Status == state::JobStatus::Pending)
      Scheduler.jobRemoved(Id);
  } else if (std::holds_alternative<state::Placed>(Body)) {
    Scheduler.jobPlaced(Id, J->Tasks, NodeCore.stateClock());
    track(*J, true);
  } else if (std::holds_alternative<state::StopRequested>(Body)) {
    Scheduler.jobStopping(Id);
  } else if (const auto *E = std::get_if<state::AttemptEnded>(&Body)) {
    Scheduler.attemptEnded(Id, toPolicy(E->Why), E->FailedWorkers,
                           NodeCore.stateClock());
    if (J->live())
      addPendingJob(*J);
  } else if (std::holds_alternative<state::JobEnded>(Body) ||
             std::holds_alternative<state::AnswerRelayed>(Body)) {
    if (J->Result == state::Outcome::Finished)
      return Scheduler.jobFinished(Id, NodeCore.stateClock());
    // A failure counts against the workers also when the job is not retried.
    const auto *End = std::get_if<state::JobEnded>(&Body);
    if (End && !End->FailedWorkers.empty())
      Scheduler.attemptEnded(Id, policy::AttemptEnd::TaskFailed,
                             End->FailedWorkers, NodeCore.stateClock());
    Scheduler.jobRemoved(Id);
  }
}

void CellOwner::decide() {
  bool Due = DecideWanted || Scheduler.hasMore() || NodeCore.now() >= DecideAt;
  if (!Due || PlacementsInFlight > 0)
    return;
  DecideWanted = false;
  DecideAt = NodeCore.now() + DecidePeriod;
  for (const policy::Decision &D :
       Scheduler.decide(cellState()->Pool, NodeCore.stateClock()))
    std::visit([this](const auto &X) { carryOut(X); }, D);
}

void CellOwner::carryOut(const policy::PlaceDecision &D) {
  const state::Job *J = NodeCore.State.job(D.Job);
  if (!J || J->Cell != Name || J->Status != state::JobStatus::Pending ||
      J->CancelWanted)
    return;
  for (const pool::Placement &P : D.Tasks) {
    WorkerLink *L = link(P.Worker);
    if (!L || !L->synced())
      return;
  }
  // A single task that is not idempotent is reserved first, as a gang is. A
  // later owner can then tell from the reservation that no start was delivered.
  bool Start = D.Tasks.size() == 1 && J->Spec.Idempotent;
  record(state::Placed{authority(), D.Job, J->Attempt + 1, Start, D.Tasks},
         D.Job);
}

void CellOwner::carryOut(const policy::StopDecision &D) {
  const state::Job *J = NodeCore.State.job(D.Job);
  if (!J || J->Cell != Name || !J->placed() ||
      J->Status == state::JobStatus::Stopping)
    return;
  record(state::StopRequested{authority(), D.Job, J->Attempt, D.Reason,
                              D.ForAccount},
         D.Job);
}

void CellOwner::carryOut(const policy::HomesDecision &D) {
  record(state::HomesMoved{authority(), D.Homes}, HomesKey);
}

void CellOwner::carryOut(const policy::EndDecision &D) {
  const state::Job *J = NodeCore.State.job(D.Job);
  if (!J || J->Cell != Name || J->Status != state::JobStatus::Pending)
    return;
  bool Failed = D.Failed || J->EverStarted;
  end(*J, Failed ? state::Outcome::Failed : state::Outcome::NotRun, D.Reason,
      J->EverStarted);
}

void CellOwner::carryOut(const policy::WorkerDecision &D) {
  auto It = cellState()->Workers.find(D.Worker);
  if (It == cellState()->Workers.end() || It->second.Status == D.Status)
    return;
  // The scheduler decides only between up and quarantined. Leaving and lost
  // follow from the host list and the links.
  bool Healthy = It->second.Status == pool::WorkerStatus::Up ||
                 It->second.Status == pool::WorkerStatus::Quarantined;
  if (Healthy)
    recordWorker(state::WorkerStatusChanged{authority(), D.Worker, D.Status},
                 D.Worker);
}

void CellOwner::reroute() {
  if (NodeCore.now() < RerouteAt)
    return;
  RerouteAt = NodeCore.now() + ReroutePeriod;
  const state::Cell &Here = *cellState();
  std::vector<const state::Job *> Waiting;
  std::string Next;
  for (const auto &[Order, Id] : Here.Live) {
    const state::Job *J = NodeCore.State.job(Id);
    if (!J || J->Status != state::JobStatus::Pending || J->CancelWanted ||
        recordInFlight(Id) || Id <= RerouteCursor)
      continue;
    if (Waiting.size() == MaxReroutesExamined) {
      Next = Waiting.back()->Spec.Id;
      break;
    }
    Waiting.push_back(J);
  }
  RerouteCursor = Next;
  for (const state::Job *J : Waiting)
    rerouteJob(*J);
}

void CellOwner::rerouteJob(const state::Job &J) {
  const state::Cell &Here = *cellState();
  bool Possible = Here.Pool.couldEverFit(J.Spec.Shape);
  bool Home = std::any_of(
      Here.Pool.homes().begin(), Here.Pool.homes().end(),
      [&](const pool::Home &H) { return H.Account == J.Spec.Account; });
  base::WallMs MinWaitMs =
      !Possible ? 0 : (Home ? RerouteHomeWaitMs : RerouteWaitMs);
  if (NodeCore.stateClock() - J.Spec.AcceptedMs < MinWaitMs ||
      Here.Pool.findFree(J.Spec.Shape))
    return;
  for (const auto &[Other, Cell] : NodeCore.State.cells()) {
    if (Other == Name || Cell.Owner.empty())
      continue;
    if (Cell.Pool.findFree(J.Spec.Shape) ||
        (!Possible && Cell.Pool.couldEverFit(J.Spec.Shape))) {
      record(state::Rerouted{authority(), J.Spec.Id, Other}, J.Spec.Id);
      return;
    }
  }
}

void CellOwner::removeOldJobs() {
  if (NodeCore.now() < RemovalAt)
    return;
  RemovalAt = NodeCore.now() + RemovalPeriod;
  std::vector<std::string> Old;
  for (const auto &[Id, J] : NodeCore.State.jobs())
    if (!J.live() && J.Cell == Name && Old.size() < MaxJobsPerRemoval &&
        NodeCore.State.clock() - J.EndedMs > state::EndedJobRetentionMs)
      Old.push_back(Id);
  if (!Old.empty())
    record(state::JobsExpired{authority(), std::move(Old)}, RemovalKey);
}

} // namespace heathersaddle::control
