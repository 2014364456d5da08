// The states of a job: pending -> reserved -> running -> stopping -> pending or
// ended. All guarantees to callers are checked here, against the state at the
// record's offset and independently of the state that the writing daemon had: a
// non-idempotent job is placed again only if it is certain that its earlier
// attempt did not start, and "not run" is rejected for a job that may have run.

#include "Applier.h"
#include "JsonFields.h"
#include <bit>

namespace heathersaddle::state {

using base::ErrorCode;
using base::makeError;

namespace {

auto invalid(std::string_view Message, std::string_view Field = {}) {
  return makeError(ErrorCode::InvalidArgument, "apply", Message, "", Field);
}

auto conflict(std::string_view Message, std::string_view Field = {}) {
  return makeError(ErrorCode::Conflict, "apply", Message, "", Field);
}

std::size_t totalBytes(const std::vector<std::string> &Parts) {
  std::size_t Bytes = 0;
  for (const std::string &Part : Parts)
    Bytes += Part.size();
  return Bytes;
}

/// Whether all tasks are on one worker or in one rack, as the shape requires.
bool adjacencyHolds(const Cell &C, const pool::Shape &Shape,
                    std::span<const pool::Placement> Tasks) {
  for (const pool::Placement &P : Tasks) {
    const pool::WorkerSpec *First = C.Pool.worker(Tasks.front().Worker);
    const pool::WorkerSpec *Here = C.Pool.worker(P.Worker);
    if (!First || !Here)
      return false;
    if (Shape.Within == pool::Adjacency::Worker && First->Name != Here->Name)
      return false;
    if (Shape.Within == pool::Adjacency::Rack && First->Rack != Here->Rack)
      return false;
  }
  return true;
}

pool::SlotMask acceleratorSlots(const pool::WorkerSpec &W) {
  return W.Accelerators >= 64 ? ~pool::SlotMask{0}
                              : (pool::SlotMask{1} << W.Accelerators) - 1;
}

} // namespace

base::Expected<Job *> Applier::ownedJob(const Authority &By,
                                        std::string_view Id) {
  CurrentVerdict.Job = Id;
  auto C = ownedCell(By);
  if (!C)
    return tl::unexpected(C.error());
  auto Found = CurrentState.Jobs.find(Id);
  if (Found == CurrentState.Jobs.end() || Found->second.Cell != By.Cell)
    return makeError(ErrorCode::NotFound, "apply",
                     "the cell has no job " + std::string(Id));
  return &Found->second;
}

base::Expected<Job *> Applier::liveJobInAttempt(const Authority &By,
                                                std::string_view Id,
                                                unsigned Attempt) {
  auto J = ownedJob(By, Id);
  if (!J)
    return J;
  if (!(*J)->live())
    return conflict("the job has ended");
  if ((*J)->Attempt != Attempt)
    return conflict("the job is in attempt " + std::to_string((*J)->Attempt),
                    "attempt");
  return J;
}

Applier::Result Applier::on(const JobAccepted &B) {
  CurrentVerdict.Job = B.Spec.Id;
  CurrentVerdict.Cell = B.Cell;
  if (const Job *Known = CurrentState.job(B.Spec.Id)) {
    bool Same = Known->Spec.Digest == B.Spec.Digest &&
                Known->Spec.Account == B.Spec.Account;
    return conflict("the job is known already",
                    Same ? "repeat" : "idempotency_key");
  }
  auto Customer = CurrentState.Customers.find(B.Spec.Account);
  const Plan *Terms = CurrentState.terms(B.Spec.Account);
  if (Customer == CurrentState.Customers.end() || Customer->second.Departed ||
      !Terms)
    return makeError(ErrorCode::PermissionDenied, "apply",
                     "the account may submit nothing", "", "account");
  if (B.Spec.Id.empty() || B.Spec.Input.size() > MaxInputBytes)
    return invalid("the job has no id or too large an input", "input");
  if (!CurrentState.Cells.count(B.Cell))
    return makeError(ErrorCode::Unavailable, "apply", "unknown cell " + B.Cell,
                     "", "cell");
  if (CurrentState.liveJobs(B.Spec.Account) >= Terms->MaxJobs)
    return makeError(ErrorCode::ResourceExhausted, "apply",
                     "the account has " + std::to_string(Terms->MaxJobs) +
                         " live jobs, the most its plan allows",
                     "", "max_jobs");
  if (CurrentState.LiveJobCount >= MaxLiveJobs)
    return makeError(ErrorCode::Unavailable, "apply",
                     "the pool has too many live jobs");
  Job J;
  J.Spec = B.Spec;
  J.Cell = B.Cell;
  CurrentState.Cells[B.Cell].Live.emplace(Offset, J.Spec.Id);
  J.AcceptedOffset = Offset;
  J.AcceptedClockMs = CurrentState.Clock;
  ++CurrentState.LiveJobsByAccount[J.Spec.Account];
  ++CurrentState.LiveJobCount;
  CurrentState.Jobs.emplace(J.Spec.Id, std::move(J));
  return {};
}

Applier::Result Applier::on(const CancelRequested &B) {
  CurrentVerdict.Job = B.Job;
  auto Found = CurrentState.Jobs.find(B.Job);
  if (Found == CurrentState.Jobs.end())
    return makeError(ErrorCode::NotFound, "apply", "unknown job " + B.Job);
  if (!Found->second.live())
    return conflict("the job has ended");
  CurrentVerdict.Cell = Found->second.Cell;
  Found->second.CancelWanted = true;
  return {};
}

Applier::Result Applier::checkPlacement(const Cell &C, const Job &J,
                                        const Placed &B) const {
  const pool::Shape &Shape = J.Spec.Shape;
  if (B.Tasks.size() != Shape.Tasks)
    return invalid("the whole gang must be placed", "tasks");
  if (B.Start && Shape.Tasks != 1)
    return invalid("a gang is reserved before it starts", "start");
  if (!adjacencyHolds(C, Shape, B.Tasks))
    return invalid(
        "the tasks are not on one worker or in one rack as the shape requires",
        "tasks");
  for (const pool::Placement &P : B.Tasks) {
    if (std::popcount(P.Slots) != static_cast<int>(Shape.SlotsPerTask))
      return invalid("a task has the wrong number of slots", "tasks");
    if (Shape.Accelerators &&
        (P.Slots & ~acceleratorSlots(*C.Pool.worker(P.Worker))) != 0)
      return invalid("a task has slots without accelerators", "tasks");
    // A non-idempotent job must not use slots that can be reclaimed.
    for (unsigned I = 0; I < pool::MaxSlots && !J.Spec.Idempotent; ++I) {
      std::string_view Home =
          (P.Slots >> I) & 1 ? C.Pool.homeOf(P.Worker, I) : "";
      if (!Home.empty() && Home != J.Spec.Account)
        return invalid("a non-idempotent job may not borrow", "tasks");
    }
  }
  return {};
}

Applier::Result Applier::on(const Placed &B) {
  auto Found = ownedJob(B.By, B.Job);
  if (!Found)
    return tl::unexpected(Found.error());
  Job &J = **Found;
  Cell &C = CurrentState.Cells[B.By.Cell];
  if (J.Status != JobStatus::Pending || J.CancelWanted)
    return conflict("the job is not waiting for a placement");
  if (B.Attempt != J.Attempt + 1)
    return conflict("the next attempt is " + std::to_string(J.Attempt + 1),
                    "attempt");
  if (J.EverStarted && !J.Spec.Idempotent)
    return conflict("a non-idempotent job may have run already");
  if (Result Ok = checkPlacement(C, J, B); !Ok)
    return Ok;
  if (Result Ok = C.Pool.allocate(J.Spec.Id, J.Spec.Account, B.Tasks); !Ok)
    return Ok;
  J.Attempt = B.Attempt;
  J.Tasks = B.Tasks;
  J.Status = B.Start ? JobStatus::Running : JobStatus::Reserved;
  J.Started = B.Start;
  J.PlacedMs = CurrentState.Clock;
  if (J.Started)
    recordFirstStart(J);
  return {};
}

Applier::Result Applier::on(const StartCommitted &B) {
  auto J = liveJobInAttempt(B.By, B.Job, B.Attempt);
  if (!J)
    return tl::unexpected(J.error());
  if ((*J)->Status != JobStatus::Reserved || (*J)->CancelWanted)
    return conflict("the job is not reserved");
  (*J)->Status = JobStatus::Running;
  (*J)->Started = true;
  recordFirstStart(**J);
  return {};
}

Applier::Result Applier::on(const StopRequested &B) {
  auto J = liveJobInAttempt(B.By, B.Job, B.Attempt);
  if (!J)
    return tl::unexpected(J.error());
  if ((*J)->Status != JobStatus::Reserved && (*J)->Status != JobStatus::Running)
    return conflict("the job is not reserved or running");
  const std::string &Account = (*J)->Spec.Account;
  bool ForOther = !B.ForAccount.empty() && B.ForAccount != Account;
  if (ForOther && CurrentState.Cells[B.By.Cell].Pool.isGuaranteed(B.Job))
    return conflict("guaranteed work cannot be reclaimed");
  (*J)->Status = JobStatus::Stopping;
  (*J)->StopReason = B.Reason;
  (*J)->StopForAccount = B.ForAccount;
  (*J)->StopMs = CurrentState.Clock;
  if (ForOther) {
    ++CurrentState.UsageByAccount[Account].Reclaimed;
    ++CurrentState.UsageByAccount[B.ForAccount].ReclaimedFor;
  }
  return {};
}

void Applier::recordFirstStart(Job &J) {
  if (J.FirstStartMs != 0)
    return;
  J.FirstStartMs = CurrentState.Clock;
  if (J.Spec.Urgent)
    CurrentState.Burn.record(J.Spec.Account, Objective::UrgentStart,
                             CurrentState.Clock - J.AcceptedClockMs <=
                                 UrgentStartLimitMs,
                             CurrentState.Clock);
}

void Applier::recordEndObjectives(const Job &J) {
  bool Cancelled = J.Result == Outcome::Cancelled;
  // An urgent job that ends without a start has missed the objective.
  if (J.Spec.Urgent && J.FirstStartMs == 0 && !Cancelled)
    CurrentState.Burn.record(J.Spec.Account, Objective::UrgentStart, false,
                             CurrentState.Clock);
  if (J.Spec.DeadlineMs != 0 && !Cancelled)
    CurrentState.Burn.record(J.Spec.Account, Objective::Deadline,
                             J.Result == Outcome::Finished &&
                                 CurrentState.Clock <= J.Spec.DeadlineMs,
                             CurrentState.Clock);
  CurrentState.Burn.record(J.Spec.Account, Objective::JobCompletion,
                           J.Result != Outcome::Unknown &&
                               J.Result != Outcome::NotRun,
                           CurrentState.Clock);
}

void Applier::releaseSlots(Cell &C, Job &J) {
  if (J.Tasks.empty())
    return;
  if (J.Status == JobStatus::Stopping && !J.StopForAccount.empty())
    CurrentState.Burn.record(J.StopForAccount, Objective::Reclaim,
                             CurrentState.Clock - J.StopMs <= ReclaimLimitMs,
                             CurrentState.Clock);
  std::int64_t SlotMs = static_cast<std::int64_t>(J.Spec.Shape.totalSlots()) *
                        (CurrentState.Clock - J.PlacedMs);
  Usage &U = CurrentState.UsageByAccount[J.Spec.Account];
  (C.Pool.isGuaranteed(J.Spec.Id) ? U.GuaranteedSlotMs : U.BorrowedSlotMs) +=
      SlotMs;
  C.Pool.release(J.Spec.Id);
  std::vector<pool::Placement> Tasks = std::move(J.Tasks);
  J.Tasks.clear();
  for (const pool::Placement &P : Tasks)
    removeIfLostAndIdle(C, P.Worker);
}

Applier::Result Applier::on(const AttemptEnded &B) {
  auto Found = liveJobInAttempt(B.By, B.Job, B.Attempt);
  if (!Found)
    return tl::unexpected(Found.error());
  Job &J = **Found;
  if (!J.placed())
    return conflict("the job is not placed");
  bool MayHaveRun = J.Started && B.Why != AttemptEnd::NotStarted;
  if (MayHaveRun && !J.Spec.Idempotent)
    return conflict("a non-idempotent job that may have run must end");
  J.EverStarted |= MayHaveRun;
  J.Failures += B.Why == AttemptEnd::TaskFailed ? 1 : 0;
  if (MayHaveRun)
    J.ProgressMs = std::max(J.ProgressMs, B.ProgressMs);
  J.Started = false;
  J.Status = JobStatus::Pending;
  releaseSlots(CurrentState.Cells[B.By.Cell], J);
  return {};
}

void Applier::endJob(Job &J, const JobEnded &B) {
  Cell &C = CurrentState.Cells[J.Cell];
  releaseSlots(C, J);
  C.Live.erase({J.AcceptedOffset, J.Spec.Id});
  J.Status = JobStatus::Ended;
  J.Result = B.Result;
  J.Reason = B.Reason;
  J.Ran = B.Ran;
  J.Parts = B.Parts;
  J.EndedMs = CurrentState.Clock;
  recordEndObjectives(J);
  // The input is needed for dispatch only.
  J.Spec.Input.clear();
  J.Spec.Input.shrink_to_fit();
  --CurrentState.LiveJobCount;
  auto Live = CurrentState.LiveJobsByAccount.find(J.Spec.Account);
  if (--Live->second == 0) {
    CurrentState.LiveJobsByAccount.erase(Live);
    dropHeldTerms(J.Spec.Account);
  }
}

Applier::Result Applier::on(const JobEnded &B) {
  auto Found = liveJobInAttempt(B.By, B.Job, B.Attempt);
  if (!Found)
    return tl::unexpected(Found.error());
  Job &J = **Found;
  switch (B.Result) {
  case Outcome::None:
    return invalid("an ended job needs an outcome", "outcome");
  case Outcome::Finished:
    if (!J.Started || B.Parts.size() != J.Spec.Shape.Tasks)
      return invalid("a finished job needs one answer part per task", "parts");
    break;
  case Outcome::NotRun:
    if (J.EverStarted || B.Ran)
      return conflict("the job may have run");
    break;
  case Outcome::Failed:
  case Outcome::Cancelled:
    if (J.EverStarted && !B.Ran)
      return conflict("the job may have run");
    break;
  case Outcome::Unknown:
    if (!J.Started && !J.EverStarted)
      return conflict("the job certainly did not run");
    break;
  }
  if (totalBytes(B.Parts) > MaxAnswerBytes)
    return makeError(ErrorCode::TooLarge, "apply", "the answer is too large",
                     "", "parts");
  endJob(J, B);
  return {};
}

Applier::Result Applier::on(const AnswerRelayed &B) {
  CurrentVerdict.Job = B.Job;
  auto Found = CurrentState.Jobs.find(B.Job);
  if (Found == CurrentState.Jobs.end())
    return makeError(ErrorCode::NotFound, "apply", "unknown job " + B.Job);
  Job &J = Found->second;
  CurrentVerdict.Cell = J.Cell;
  if (!J.live() || J.Attempt != B.Attempt || !J.Started)
    return conflict("the job is not running in that attempt", "attempt");
  if (B.Parts.size() != J.Spec.Shape.Tasks ||
      totalBytes(B.Parts) > MaxAnswerBytes)
    return invalid("the answer is incomplete or too large", "parts");
  endJob(J, {{}, B.Job, B.Attempt, Outcome::Finished, "", true, B.Parts});
  return {};
}

Applier::Result Applier::on(const Rerouted &B) {
  auto Found = ownedJob(B.By, B.Job);
  if (!Found)
    return tl::unexpected(Found.error());
  auto To = CurrentState.Cells.find(B.ToCell);
  if (To == CurrentState.Cells.end())
    return makeError(ErrorCode::NotFound, "apply", "unknown cell " + B.ToCell);
  Job &J = **Found;
  if (J.Status != JobStatus::Pending)
    return conflict("only a pending job can move to another cell");
  CurrentState.Cells[J.Cell].Live.erase({J.AcceptedOffset, J.Spec.Id});
  To->second.Live.emplace(J.AcceptedOffset, J.Spec.Id);
  J.Cell = B.ToCell;
  return {};
}

Applier::Result Applier::on(const JobsExpired &B) {
  if (auto C = ownedCell(B.By); !C)
    return tl::unexpected(C.error());
  for (const std::string &Id : B.Jobs) {
    auto Found = CurrentState.Jobs.find(Id);
    if (Found != CurrentState.Jobs.end() && !Found->second.live() &&
        CurrentState.Clock - Found->second.EndedMs >= EndedJobRetentionMs)
      CurrentState.Jobs.erase(Found);
  }
  return {};
}

} // namespace heathersaddle::state
