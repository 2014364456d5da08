#ifndef HEATHERSADDLE_BENCH_LIB_SIM_H
#define HEATHERSADDLE_BENCH_LIB_SIM_H

#include "Load.h"
#include "Meter.h"
#include "heathersaddle/pool/PoolAccess.h"
#include <chrono>
#include <concepts>
#include <queue>

namespace heathersaddle::bench {

/// The main operations that the simulation requires of a scheduler.
template <class S>
concept SchedulerLike = requires(S &Sched, const pool::Pool &P) {
  { Sched.decide(P, 0) } -> std::same_as<std::vector<policy::Decision>>;
  { Sched.hasMore() } -> std::convertible_to<bool>;
};

/// Runs a load against a scheduler in virtual time. Workers take 20 ms to start
/// a job and 0.2 to 0.9 s to take a checkpoint. Running jobs report their
/// progress every 60 s.
template <SchedulerLike S> class Sim {
public:
  Sim(const Load &L, S &Scheduler) : Input(L), Sched(Scheduler) {
    for (const pool::WorkerSpec &W : Input.Workers)
      if (!Cell.addWorker(W))
        std::abort();
    pool::PackResult R = pool::packHomes({{"c", &Cell}}, Input.Guarantees);
    if (!R.Missing.empty() || !Cell.setHomes(R.Homes))
      std::abort();
    for (const auto &[Account, Terms] : Input.Terms)
      Sched.setTerms(Account, Terms);
  }

  Meter run();
  pool::Pool Cell;

private:
  enum class EventKind { Submit, Finish, Stopped, Cancel, Down, Up, Tick };
  struct Event {
    base::WallMs At = 0;
    std::uint64_t Order = 0;
    EventKind Kind = EventKind::Tick;
    std::size_t Index = 0; ///< Of the job or fault.
    unsigned Attempt = 0;
    bool operator<(const Event &B) const {
      return std::tie(At, Order) > std::tie(B.At, B.Order);
    }
  };
  struct JobState {
    bool Accepted = false, Placed = false, Stopping = false, Ended = false;
    unsigned Attempt = 0;
    base::WallMs StartMs = 0, FirstStartMs = -1;
    std::int64_t ProgressMs = 0;
    bool Entitled = false;
  };

  void push(base::WallMs At, EventKind Kind, std::size_t Index,
            unsigned Attempt = 0) {
    Events.push({At, EventCount++, Kind, Index, Attempt});
  }
  void handle(const Event &E);
  void decide();
  void submit(std::size_t J);
  void endAttempt(std::size_t J, policy::AttemptEnd Why, std::int64_t Kept);
  void setRackStatus(const RackFault &F, pool::WorkerStatus Status);
  void reportUsage();
  void apply(const policy::PlaceDecision &D);
  void apply(const policy::StopDecision &D);
  void apply(const policy::HomesDecision &D) { (void)Cell.setHomes(D.Homes); }
  void apply(const policy::EndDecision &D) {
    JobStates[JobIndexes.at(D.Job)].Ended = true;
    Sched.jobRemoved(D.Job);
    ++Figures.EndedWithoutRun;
  }
  void apply(const policy::WorkerDecision &D) {
    Cell.setStatus(D.Worker, D.Status);
  }
  bool entitled(const LoadJob &J) const;
  void measureUnfinishedJobs();
  void sampleIdle();

  const Load &Input;
  S &Sched;
  Meter Figures;
  std::priority_queue<Event> Events;
  std::uint64_t EventCount = 0;
  base::WallMs Now = 0;
  std::vector<JobState> JobStates;
  std::map<std::string, std::size_t, std::less<>> JobIndexes;
  std::set<std::size_t> Waiting;
  std::map<std::pair<std::string, int>, unsigned> Outstanding;
};

static constexpr base::WallMs StartLatencyMs = 20;
static constexpr base::WallMs UsageReportPeriodMs = 60'000;

template <SchedulerLike S> Meter Sim<S>::run() {
  JobStates.resize(Input.Jobs.size());
  for (std::size_t J = 0; J != Input.Jobs.size(); ++J) {
    JobIndexes.emplace(Input.Jobs[J].View.Id, J);
    push(Input.Jobs[J].View.AcceptedMs, EventKind::Submit, J);
    if (Input.Jobs[J].CancelMs)
      push(Input.Jobs[J].CancelMs, EventKind::Cancel, J);
  }
  for (std::size_t F = 0; F != Input.Faults.size(); ++F) {
    push(Input.Faults[F].DownMs, EventKind::Down, F);
    push(Input.Faults[F].UpMs, EventKind::Up, F);
  }
  push(0, EventKind::Tick, 0);
  while (!Events.empty() && Events.top().At <= Input.EndMs) {
    Now = Events.top().At;
    while (!Events.empty() && Events.top().At == Now) {
      Event E = Events.top();
      Events.pop();
      handle(E);
    }
    decide();
  }
  measureUnfinishedJobs();
  return std::move(Figures);
}

template <SchedulerLike S> void Sim<S>::decide() {
  for (unsigned Pass = 0; Pass != 64; ++Pass) {
    auto Before = std::chrono::steady_clock::now();
    std::vector<policy::Decision> Ds = Sched.decide(Cell, Now);
    auto After = std::chrono::steady_clock::now();
    if (Now >= Input.MeasureFromMs)
      Figures.recordDecisions(
          std::chrono::duration<double, std::milli>(After - Before).count(),
          Ds.size());
    for (const policy::Decision &D : Ds)
      std::visit([this](const auto &Each) { this->apply(Each); }, D);
    if (!Sched.hasMore())
      return;
  }
}

// A job that requests a guarantee unit is entitled if its account has fewer
// outstanding jobs of the unit than the unit's count, and if the job and the
// account's placed jobs with accelerators fit into the guaranteed number of
// accelerators.
template <SchedulerLike S> bool Sim<S>::entitled(const LoadJob &J) const {
  if (J.UnitIndex < 0)
    return false;
  unsigned Slots = J.View.Shape.totalSlots();
  for (std::size_t N = 0; N != JobStates.size(); ++N)
    if (JobStates[N].Placed && Input.Jobs[N].View.Account == J.View.Account &&
        Input.Jobs[N].View.Shape.Accelerators)
      Slots += Input.Jobs[N].View.Shape.totalSlots();
  for (const pool::Guarantee &G : Input.Guarantees)
    if (G.Account == J.View.Account) {
      unsigned Guaranteed = 0;
      for (const pool::GuaranteeUnit &U : G.Units)
        Guaranteed += U.Accelerators * U.Workers * U.Count;
      if (Slots > Guaranteed)
        return false;
      auto Have = Outstanding.find({G.Account, J.UnitIndex});
      return Have == Outstanding.end() ||
             Have->second < G.Units[J.UnitIndex].Count;
    }
  return false;
}

template <SchedulerLike S> void Sim<S>::sampleIdle() {
  const pool::Table &T = pool::PoolAccess::table(Cell);
  Figures.IdleShare.add(static_cast<double>(T.FreeSlots) / T.UpSlots);
  if constexpr (requires { Sched.heldIdleSlots(Cell); })
    Figures.HeldIdleShare.add(static_cast<double>(Sched.heldIdleSlots(Cell)) /
                              T.UpSlots);
}

template <SchedulerLike S> void Sim<S>::submit(std::size_t J) {
  const LoadJob &Job = Input.Jobs[J];
  JobStates[J].Accepted = true;
  JobStates[J].Entitled = entitled(Job);
  if (Job.UnitIndex >= 0)
    ++Outstanding[{Job.View.Account, Job.UnitIndex}];
  Waiting.insert(J);
  Sched.jobPending(Job.View, Now);
}

template <SchedulerLike S> void Sim<S>::handle(const Event &E) {
  switch (E.Kind) {
  case EventKind::Submit:
    return submit(E.Index);
  case EventKind::Finish:
  case EventKind::Cancel: {
    JobState &J = JobStates[E.Index];
    bool Due = E.Kind == EventKind::Cancel ||
               (J.Placed && !J.Stopping && J.Attempt == E.Attempt);
    if (J.Ended || !Due)
      return;
    const LoadJob &Job = Input.Jobs[E.Index];
    J.Ended = true;
    J.Placed = false;
    Cell.release(Job.View.Id);
    Waiting.erase(E.Index);
    if (Job.UnitIndex >= 0)
      --Outstanding[{Job.View.Account, Job.UnitIndex}];
    if (E.Kind == EventKind::Cancel) {
      ++Figures.Cancelled;
      return Sched.jobRemoved(Job.View.Id);
    }
    Sched.jobFinished(Job.View.Id, Now);
    if (Job.View.AcceptedMs >= Input.MeasureFromMs)
      Figures.recordCompletion(Job, Now - Job.View.AcceptedMs);
    return;
  }
  case EventKind::Stopped: {
    JobState &J = JobStates[E.Index];
    if (!J.Ended && J.Placed && J.Attempt == E.Attempt)
      endAttempt(E.Index, policy::AttemptEnd::Stopped,
                 J.ProgressMs + Now - J.StartMs);
    return;
  }
  case EventKind::Down:
    return setRackStatus(Input.Faults[E.Index], pool::WorkerStatus::Lost);
  case EventKind::Up:
    return setRackStatus(Input.Faults[E.Index], pool::WorkerStatus::Up);
  case EventKind::Tick:
    push(Now + Input.TickMs, EventKind::Tick, 0);
    if (Now % UsageReportPeriodMs == 0)
      reportUsage();
    if (Now >= Input.MeasureFromMs && Now % (5 * Input.TickMs) == 0 &&
        !Waiting.empty()) {
      Figures.sampleFragmentation(pool::PoolAccess::table(Cell), Input,
                                  Waiting);
      sampleIdle();
    }
    return;
  }
}

template <SchedulerLike S>
void Sim<S>::endAttempt(std::size_t J, policy::AttemptEnd Why,
                        std::int64_t Kept) {
  const LoadJob &Job = Input.Jobs[J];
  JobState &Each = JobStates[J];
  Cell.release(Job.View.Id);
  Each.Placed = Each.Stopping = false;
  Figures.RepeatedWorkMs +=
      std::max<std::int64_t>(Each.ProgressMs + Now - Each.StartMs - Kept, 0) *
      Job.View.Shape.totalSlots();
  Each.ProgressMs = Kept;
  Sched.attemptEnded(Job.View.Id, Why, {}, Now);
  policy::JobView View = Job.View;
  View.ProgressMs = Kept;
  View.Attempt = Each.Attempt;
  Waiting.insert(J);
  Sched.jobPending(View, Now);
}

template <SchedulerLike S>
void Sim<S>::setRackStatus(const RackFault &F, pool::WorkerStatus Status) {
  for (const pool::WorkerSpec &W : Input.Workers) {
    if (W.Rack != F.Rack)
      continue;
    Cell.setStatus(W.Name, Status);
    if (Status == pool::WorkerStatus::Up)
      continue;
    for (const std::string &Id : Cell.jobsOn(W.Name)) {
      std::size_t J = JobIndexes.at(Id);
      std::int64_t TotalProgressMs =
          JobStates[J].ProgressMs + Now - JobStates[J].StartMs;
      if (Input.Jobs[J].View.Idempotent) {
        // The progress since the last usage report is lost: half a period on
        // average.
        endAttempt(
            J, policy::AttemptEnd::WorkerLost,
            std::max<std::int64_t>(TotalProgressMs - UsageReportPeriodMs / 2,
                                   JobStates[J].ProgressMs));
        continue;
      }
      JobStates[J].Ended = true;
      JobStates[J].Placed = false;
      Cell.release(Id);
      if (Input.Jobs[J].UnitIndex >= 0)
        --Outstanding[{Input.Jobs[J].View.Account, Input.Jobs[J].UnitIndex}];
      Sched.jobRemoved(Id);
      ++Figures.UnknownOutcomes;
    }
  }
}

template <SchedulerLike S> void Sim<S>::reportUsage() {
  for (std::size_t J = 0; J != JobStates.size(); ++J)
    if (JobStates[J].Placed && !JobStates[J].Stopping)
      Sched.usage(Input.Jobs[J].View.Id,
                  JobStates[J].ProgressMs + Now - JobStates[J].StartMs, Now);
}

template <SchedulerLike S> void Sim<S>::apply(const policy::PlaceDecision &D) {
  std::size_t J = JobIndexes.at(D.Job);
  const LoadJob &Job = Input.Jobs[J];
  JobState &Each = JobStates[J];
  if (!Cell.allocate(D.Job, Job.View.Account, D.Tasks))
    std::abort();
  Each.Placed = true;
  Each.StartMs = Now + StartLatencyMs;
  ++Each.Attempt;
  Waiting.erase(J);
  if (Each.FirstStartMs < 0) {
    Each.FirstStartMs = Each.StartMs;
    if (Job.View.AcceptedMs >= Input.MeasureFromMs)
      Figures.recordStart(Job, Each.FirstStartMs - Job.View.AcceptedMs,
                          Each.Entitled);
  }
  push(Each.StartMs + std::max<std::int64_t>(Job.RunMs - Each.ProgressMs, 1),
       EventKind::Finish, J, Each.Attempt);
  Sched.jobPlaced(D.Job, D.Tasks, Now);
}

template <SchedulerLike S> void Sim<S>::apply(const policy::StopDecision &D) {
  std::size_t J = JobIndexes.at(D.Job);
  JobStates[J].Stopping = true;
  ++Figures.Stops;
  // The time varies by job and attempt but is the same for all schedulers.
  base::WallMs Checkpoint = 200 + (J * 37 + JobStates[J].Attempt * 101) % 700;
  push(Now + Checkpoint, EventKind::Stopped, J, JobStates[J].Attempt);
  Sched.jobStopping(D.Job);
}

// Jobs that have not started or ended by the end of the load count with their
// age at that time, so that a scheduler does not improve a figure by leaving
// them out.
template <SchedulerLike S> void Sim<S>::measureUnfinishedJobs() {
  for (std::size_t J = 0; J != JobStates.size(); ++J) {
    const LoadJob &Job = Input.Jobs[J];
    if (!JobStates[J].Accepted || JobStates[J].Ended ||
        Job.View.AcceptedMs < Input.MeasureFromMs)
      continue;
    base::WallMs Age = Input.EndMs - Job.View.AcceptedMs;
    ++Figures.Unfinished;
    Figures.recordCompletion(Job, Age);
    if (JobStates[J].FirstStartMs < 0)
      Figures.recordStart(Job, Age, JobStates[J].Entitled);
  }
}

} // namespace heathersaddle::bench

#endif
