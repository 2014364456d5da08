// Approach: tells the scheduler every event of the cell as the tail shows it
// and turns its decisions into records. The pool in the state is the only
// truth, so no pass runs while placements are in flight: it would hand out the
// same slots again.
// Bounds: RerouteExamined jobs looked at per round, ForgetBatch jobs forgotten
// per record.
#include "CellOwner.h"

namespace heathersaddle::control {

namespace {
constexpr base::Millis DecidePeriod{500};
constexpr base::Millis ReroutePeriod{2'000};
constexpr base::Millis ForgetPeriod{60'000};
constexpr base::WallMs RerouteAfterMs = 10'000;
/// An account with homes in the cell can reclaim there, so it waits longer.
constexpr base::WallMs RerouteHomeAfterMs = 60'000;
constexpr std::size_t RerouteExamined = 16;
constexpr std::size_t ForgetBatch = 256;
const std::string HomesKey = "homes";
const std::string ForgetKey = "forget";

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
  feedTerms();
  for (const auto &[Order, Id] : view()->Live) {
    const state::Job *J = C.St.job(Id);
    if (!J || !J->live())
      continue;
    Dirty.insert(Id);
    feedPending(*J);
    if (!J->placed())
      continue;
    Scheduler.jobPlaced(Id, J->Tasks, C.clock());
    if (J->Status == state::JobStatus::Stopping)
      Scheduler.jobStopping(Id);
    track(*J, false);
  }
}

void CellOwner::feedTerms() {
  std::set<std::string_view> Accounts;
  for (const auto &[Account, Customer] : C.St.customers())
    Accounts.insert(Account);
  for (const auto &[Order, Id] : view()->Live)
    if (const state::Job *J = C.St.job(Id))
      Accounts.insert(J->Spec.Account);
  for (std::string_view A : Accounts)
    if (const state::Plan *P = C.St.terms(A))
      Scheduler.setTerms(A, {P->Share, P->MaxSlots, C.St.departed(A)});
}

void CellOwner::feedPending(const state::Job &J) {
  Scheduler.jobPending(viewOf(J), C.clock());
}

void CellOwner::feed(const state::Body &What, const state::Verdict &V) {
  DecideWanted = true;
  if (std::holds_alternative<state::ListPublished>(What)) {
    feedTerms();
    return;
  }
  const state::Job *J = V.Job.empty() ? nullptr : C.St.job(V.Job);
  if (!J)
    return;
  const std::string &Id = J->Spec.Id;
  if (const auto *R = std::get_if<state::Rerouted>(&What))
    if (R->By.Cell == Name)
      Scheduler.jobRemoved(Id);
  if (J->Cell != Name)
    return;
  Dirty.insert(Id);
  if (std::holds_alternative<state::JobAccepted>(What) ||
      std::holds_alternative<state::Rerouted>(What)) {
    feedPending(*J);
  } else if (std::holds_alternative<state::CancelRequested>(What)) {
    if (J->Status == state::JobStatus::Pending)
      Scheduler.jobRemoved(Id);
  } else if (std::holds_alternative<state::Placed>(What)) {
    Scheduler.jobPlaced(Id, J->Tasks, C.clock());
    track(*J, true);
  } else if (std::holds_alternative<state::StopRequested>(What)) {
    Scheduler.jobStopping(Id);
  } else if (const auto *E = std::get_if<state::AttemptEnded>(&What)) {
    Scheduler.attemptEnded(Id, toPolicy(E->Why), E->FailedWorkers, C.clock());
    if (J->live())
      feedPending(*J);
  } else if (std::holds_alternative<state::JobEnded>(What) ||
             std::holds_alternative<state::AnswerRelayed>(What)) {
    if (J->Result == state::Outcome::Finished)
      return Scheduler.jobFinished(Id, C.clock());
    // The failure of a job that is not retried counts against its workers, too.
    const auto *End = std::get_if<state::JobEnded>(&What);
    if (End && !End->FailedWorkers.empty())
      Scheduler.attemptEnded(Id, policy::AttemptEnd::TaskFailed,
                             End->FailedWorkers, C.clock());
    Scheduler.jobRemoved(Id);
  }
}

void CellOwner::decide() {
  bool Due = DecideWanted || Scheduler.hasMore() || C.now() >= DecideAt;
  if (!Due || PlacesOpen > 0)
    return;
  DecideWanted = false;
  DecideAt = C.now() + DecidePeriod;
  for (const policy::Decision &D : Scheduler.decide(view()->Pool, C.clock()))
    std::visit([this](const auto &X) { carryOut(X); }, D);
}

void CellOwner::carryOut(const policy::PlaceDecision &D) {
  const state::Job *J = C.St.job(D.Job);
  if (!J || J->Cell != Name || J->Status != state::JobStatus::Pending ||
      J->CancelWanted)
    return;
  for (const pool::Placement &P : D.Tasks) {
    WorkerLink *L = link(P.Worker);
    if (!L || !L->synced())
      return;
  }
  // A non-idempotent single task is reserved first as a gang is. A later owner
  // can then tell from the reservation that the start was not delivered.
  bool Start = D.Tasks.size() == 1 && J->Spec.Idempotent;
  record(state::Placed{by(), D.Job, J->Attempt + 1, Start, D.Tasks}, D.Job);
}

void CellOwner::carryOut(const policy::StopDecision &D) {
  const state::Job *J = C.St.job(D.Job);
  if (!J || J->Cell != Name || !J->placed() ||
      J->Status == state::JobStatus::Stopping)
    return;
  record(state::StopRequested{by(), D.Job, J->Attempt, D.Reason, D.ForAccount},
         D.Job);
}

void CellOwner::carryOut(const policy::HomesDecision &D) {
  record(state::HomesMoved{by(), D.Homes}, HomesKey);
}

void CellOwner::carryOut(const policy::EndDecision &D) {
  const state::Job *J = C.St.job(D.Job);
  if (!J || J->Cell != Name || J->Status != state::JobStatus::Pending)
    return;
  bool Failed = D.Failed || J->EverStarted;
  end(*J, Failed ? state::Outcome::Failed : state::Outcome::NotRun, D.Reason,
      J->EverStarted);
}

void CellOwner::carryOut(const policy::WorkerDecision &D) {
  auto It = view()->Workers.find(D.Worker);
  if (It == view()->Workers.end() || It->second.Status == D.Status)
    return;
  // The scheduler judges health only; leaving and lost are facts.
  bool Healthy = It->second.Status == pool::WorkerStatus::Up ||
                 It->second.Status == pool::WorkerStatus::Quarantined;
  if (Healthy)
    recordWorker(state::WorkerStatusChanged{by(), D.Worker, D.Status},
                 D.Worker);
}

void CellOwner::reroute() {
  if (C.now() < RerouteAt)
    return;
  RerouteAt = C.now() + ReroutePeriod;
  const state::Cell &Here = *view();
  std::vector<const state::Job *> Waiting;
  std::string Next;
  for (const auto &[Order, Id] : Here.Live) {
    const state::Job *J = C.St.job(Id);
    if (!J || J->Status != state::JobStatus::Pending || J->CancelWanted ||
        busy(Id) || Id <= RerouteAfterJob)
      continue;
    if (Waiting.size() == RerouteExamined) {
      Next = Waiting.back()->Spec.Id;
      break;
    }
    Waiting.push_back(J);
  }
  RerouteAfterJob = Next;
  for (const state::Job *J : Waiting)
    rerouteJob(*J);
}

void CellOwner::rerouteJob(const state::Job &J) {
  const state::Cell &Here = *view();
  bool Possible = Here.Pool.couldEverFit(J.Spec.Shape);
  bool Home = std::any_of(
      Here.Pool.homes().begin(), Here.Pool.homes().end(),
      [&](const pool::Home &H) { return H.Account == J.Spec.Account; });
  base::WallMs Patience =
      !Possible ? 0 : (Home ? RerouteHomeAfterMs : RerouteAfterMs);
  if (C.clock() - J.Spec.AcceptedMs < Patience ||
      Here.Pool.findFree(J.Spec.Shape))
    return;
  for (const auto &[Other, Cell] : C.St.cells()) {
    if (Other == Name || Cell.Owner.empty())
      continue;
    if (Cell.Pool.findFree(J.Spec.Shape) ||
        (!Possible && Cell.Pool.couldEverFit(J.Spec.Shape))) {
      record(state::Rerouted{by(), J.Spec.Id, Other}, J.Spec.Id);
      return;
    }
  }
}

void CellOwner::forget() {
  if (C.now() < ForgetAt)
    return;
  ForgetAt = C.now() + ForgetPeriod;
  std::vector<std::string> Old;
  for (const auto &[Id, J] : C.St.jobs())
    if (!J.live() && J.Cell == Name && Old.size() < ForgetBatch &&
        C.St.clock() - J.EndedMs > state::EndedJobRetentionMs)
      Old.push_back(Id);
  if (!Old.empty())
    record(state::JobsExpired{by(), std::move(Old)}, ForgetKey);
}

} // namespace heathersaddle::control
