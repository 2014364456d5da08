// The events that update the scheduler's state. Each costs a few lookups in
// ordered or hashed tables, independent of the size of the queue and the pool.
#include "Core.h"
#include <algorithm>

namespace heathersaddle::policy {

// An attempt overruns when it has run for this many times its estimate.
static constexpr std::int64_t OverrunFactor = 4;
// Failed attempts after which a job ends, whether or not the workers were
// healthy.
static constexpr unsigned MaxFailedAttempts = 9;
// One retry per this period is allowed even when nothing else starts, so that a
// cell whose queue holds only retries makes progress.
static constexpr base::WallMs RetryRefillMs = 60'000;

Scheduler::Scheduler(const Settings &S) : Pimpl(std::make_unique<Impl>(S)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler &&) noexcept = default;
Scheduler &Scheduler::operator=(Scheduler &&) noexcept = default;

std::uint32_t Core::internAccount(std::string_view Name) {
  if (auto Found = AccountByName.find(Name); Found != AccountByName.end())
    return Found->second;
  std::uint32_t Id = Accounts.size();
  Accounts.emplace_back().Name = Name;
  AccountByName.emplace(Name, Id);
  return Id;
}

ClassKey Core::classOf(const Job &J) const {
  bool Special = J.Retry || (J.Issues && !J.Issues->FailedOn.empty());
  return {!J.Urgent,
          J.Shape.Tasks,
          J.Shape.SlotsPerTask,
          J.Shape.Accelerators,
          J.Shape.Within,
          J.Idempotent,
          Special ? J.Id : std::string()};
}

void Core::enqueue(Job &J) {
  J.State = JobState::Pending;
  Accounts[J.Account].Classes[classOf(J)].Jobs.insert(&J);
  if (J.DeadlineMs)
    Deadlines.insert(&J);
  if (J.Issues && J.Issues->EndDecided)
    JobsToEnd.insert(&J);
  ++PendingCount;
}

void Core::dequeue(Job &J) {
  if (J.State != JobState::Pending)
    return;
  auto &Classes = Accounts[J.Account].Classes;
  auto Class = Classes.find(classOf(J));
  Class->second.Jobs.erase(&J);
  if (Class->second.Jobs.empty())
    Classes.erase(Class);
  Deadlines.erase(&J);
  JobsToEnd.erase(&J);
  Holds.erase(J.Id);
  Proposals.erase(J.Id);
  J.State = JobState::Idle;
  --PendingCount;
}

void Core::releaseSlots(Job &J) {
  if (J.State != JobState::Placed && J.State != JobState::Stopping)
    return;
  Accounts[J.Account].UsedSlots -= J.Shape.totalSlots();
  if (J.Reserved)
    Accounts[J.Account].PlacedReservedSlots -= J.Shape.totalSlots();
  J.Reserved = false;
  OverrunQueue.erase(&J);
  OverrunningJobs.erase(&J);
  J.Overrun = false;
  J.OverrunAt = 0;
  J.State = JobState::Idle;
  ++ChangeCount;
}

void Scheduler::setTerms(std::string_view Account, const AccountTerms &Terms) {
  Pimpl->Accounts[Pimpl->internAccount(Account)].Terms = Terms;
  ++Pimpl->ChangeCount;
}

void Scheduler::jobPending(const JobView &View, base::WallMs Now) {
  auto &Slot = Pimpl->Jobs[View.Id];
  if (!Slot)
    Slot = std::make_unique<Job>();
  Job &J = *Slot;
  Pimpl->dequeue(J);
  Pimpl->releaseSlots(J);
  J.Id = View.Id;
  J.Account = Pimpl->internAccount(View.Account);
  J.Kind = Pimpl->LearnedRunTimes.internKind(J.Account, View.Kind);
  J.Shape = View.Shape;
  J.Urgent = View.Urgent;
  J.Idempotent = View.Idempotent;
  J.Attempts = View.Attempt;
  J.AcceptedMs = View.AcceptedMs;
  J.DeadlineMs = View.DeadlineMs;
  J.DeclaredRunMs = View.DeclaredRunMs;
  J.ProgressMs = std::max<std::int64_t>(View.ProgressMs, 0);
  J.ProgressAt = Now;
  Pimpl->enqueue(J);
  // The stored count outlives this scheduler, which starts empty with each new
  // owner of the cell.
  if (View.Failures == 0)
    return;
  JobIssues &T = J.issues();
  T.Failures = std::max(T.Failures, View.Failures);
  if (T.Failures >= MaxFailedAttempts)
    Pimpl->decideEnd(J, true, "The job failed too often.");
}

void Scheduler::jobPlaced(std::string_view Id,
                          std::span<const pool::Placement> Tasks,
                          base::WallMs Now) {
  Job *J = Pimpl->find(Id);
  if (!J)
    return;
  Pimpl->dequeue(*J);
  Pimpl->releaseSlots(*J);
  J->State = JobState::Placed;
  J->StartMs = J->ProgressAt = Now;
  ++J->Attempts;
  Pimpl->Accounts[J->Account].UsedSlots += J->Shape.totalSlots();
  if (J->Reserved)
    Pimpl->Accounts[J->Account].PlacedReservedSlots += J->Shape.totalSlots();
  if (J->Retry)
    Pimpl->RetryTokens -= 100;
  else
    Pimpl->RetryTokens = std::min<std::int64_t>(
        Pimpl->RetryTokens + Pimpl->Config.RetryPercentOfStarts,
        std::int64_t{Pimpl->Config.RetryBurst} * 100);
  if (std::int64_t Estimate = Pimpl->LearnedRunTimes.estimate(J->Kind)) {
    J->OverrunAt = Now + OverrunFactor * Estimate;
    Pimpl->OverrunQueue.insert(J);
  }
  if (J->Issues)
    J->Issues->SuspectWorkers.clear();
  for (const pool::Placement &T : Tasks) {
    auto Health = Pimpl->Health.find(T.Worker);
    if (Health == Pimpl->Health.end())
      continue;
    J->issues().SuspectWorkers.push_back(T.Worker);
    if (Health->second.Probing && Health->second.ProbeJob.empty())
      Health->second.ProbeJob = J->Id;
  }
}

void Scheduler::jobStopping(std::string_view Id) {
  if (Job *J = Pimpl->find(Id); J && J->State == JobState::Placed)
    J->State = JobState::Stopping;
}

void Scheduler::usage(std::string_view Id, std::int64_t ProgressMs,
                      base::WallMs Now) {
  Job *J = Pimpl->find(Id);
  if (!J || ProgressMs <= J->ProgressMs)
    return;
  J->ProgressMs = ProgressMs;
  J->ProgressAt = Now;
  std::int64_t Known =
      std::max(Pimpl->LearnedRunTimes.estimate(J->Kind), J->LearnedMs);
  if (Known && ProgressMs >= 2 * Known) {
    Pimpl->LearnedRunTimes.learn(J->Kind, ProgressMs);
    J->LearnedMs = ProgressMs;
  }
}

void Core::recordSuccess(Job &J) {
  LearnedRunTimes.clearFailures(J.Kind);
  if (!J.Issues)
    return;
  for (const std::string &W : J.Issues->SuspectWorkers) {
    auto Known = Health.find(W);
    if (Known == Health.end())
      continue;
    // A quarantine ends only by a probe: without this entry the worker would
    // stay quarantined forever.
    if (Known->second.QuarantineEndMs)
      Known->second.FailedJobs.clear();
    else
      Health.erase(Known);
  }
}

void Scheduler::jobFinished(std::string_view Id, base::WallMs Now) {
  Job *J = Pimpl->find(Id);
  if (!J)
    return;
  if (J->State == JobState::Placed || J->State == JobState::Stopping) {
    Pimpl->LearnedRunTimes.learn(
        J->Kind,
        J->ProgressMs + std::max<base::WallMs>(Now - J->ProgressAt, 0));
    Pimpl->recordSuccess(*J);
  }
  jobRemoved(Id);
}

void Scheduler::jobRemoved(std::string_view Id) {
  auto Found = Pimpl->Jobs.find(Id);
  if (Found == Pimpl->Jobs.end())
    return;
  Job *J = Found->second.get();
  Pimpl->dequeue(*J);
  Pimpl->releaseSlots(*J);
  // A probe that ends without a result leaves the probe to the next job.
  if (J->Issues)
    for (const std::string &W : J->Issues->SuspectWorkers)
      if (auto H = Pimpl->Health.find(W);
          H != Pimpl->Health.end() && H->second.ProbeJob == J->Id)
        H->second.ProbeJob.clear();
  Pimpl->Jobs.erase(Found);
}

void Core::decideEnd(Job &J, bool Failed, std::string Reason) {
  JobIssues &T = J.issues();
  T.EndDecided = true;
  T.EndFailed = Failed;
  T.EndReason = std::move(Reason);
  if (J.State == JobState::Pending)
    JobsToEnd.insert(&J);
}

// A failure counts against the worker unless the job's kind fails on several
// workers, and against the job unless other jobs fail on the worker, too.
void Core::recordFailure(Job &J, std::span<const std::string> Workers,
                         base::WallMs Now) {
  JobIssues &T = J.issues();
  ++T.Failures;
  for (const std::string &W : Workers) {
    LearnedRunTimes.addFailure(J.Kind, W);
    bool KindAtFault = LearnedRunTimes.isSuspect(J.Kind);
    auto Known = Health.find(W);
    bool Sound = Known == Health.end() || Known->second.FailedJobs.empty() ||
                 (Known->second.FailedJobs.size() == 1 &&
                  Known->second.FailedJobs.contains(J.Id));
    auto Add = [&](std::vector<std::string> &To) {
      if (std::find(To.begin(), To.end(), W) == To.end())
        To.push_back(W);
    };
    Add(T.FailedOn);
    if (Sound || KindAtFault)
      Add(T.FailedOnHealthy);
    bool Probe = Known != Health.end() && Known->second.ProbeJob == J.Id;
    if (KindAtFault && !Probe)
      continue;
    WorkerHealth &H = Health[W];
    H.FailedJobs.insert(J.Id);
    if (H.FailedJobs.size() < Config.FailuresToQuarantine && !Probe)
      continue;
    base::WallMs Pause = std::min<base::WallMs>(
        Config.InitialQuarantine.count() << std::min(H.Quarantines, 20U),
        Config.MaxQuarantine.count());
    ++H.Quarantines;
    H.QuarantineEndMs = Now + Pause;
    H.Probing = false;
    H.ProbeJob.clear();
  }
  if (T.FailedOnHealthy.size() >= Config.FailuresToEndJob)
    decideEnd(J, true, "The job failed on several healthy workers.");
  else if (T.Failures >= MaxFailedAttempts)
    decideEnd(J, true, "The job failed too often.");
}

void Scheduler::attemptEnded(std::string_view Id, AttemptEnd Why,
                             std::span<const std::string> FailedWorkers,
                             base::WallMs Now) {
  Job *J = Pimpl->find(Id);
  if (!J)
    return;
  Pimpl->dequeue(*J);
  Pimpl->releaseSlots(*J);
  J->Retry = Why == AttemptEnd::TaskFailed;
  if (J->Retry)
    Pimpl->recordFailure(*J, FailedWorkers, Now);
  if (J->Issues)
    for (const std::string &W : J->Issues->SuspectWorkers)
      if (auto H = Pimpl->Health.find(W);
          H != Pimpl->Health.end() && H->second.ProbeJob == J->Id)
        H->second.ProbeJob.clear();
}

void Core::refillRetryTokens(base::WallMs Now) {
  if (RetryTokens >= 100) {
    LastRefillMs = Now;
  } else if (Now - LastRefillMs >= RetryRefillMs) {
    LastRefillMs = Now;
    RetryTokens = 100;
  }
}

bool Scheduler::hasMore() const { return Pimpl->HasMore; }
std::size_t Scheduler::pendingCount() const { return Pimpl->PendingCount; }

} // namespace heathersaddle::policy
