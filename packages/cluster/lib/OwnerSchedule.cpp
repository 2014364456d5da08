// Builds the planner's input from workers and waiting tasks, and records the
// placements of its plan. Starts are sent once their placement is stored.
#include "Owner.h"
#include "heathersaddle/workload/Limits.h"
#include <algorithm>
#include <cmath>

namespace heathersaddle::cluster {

/// Shortest time between two plans.
static constexpr Millis MinPlanInterval{15};
/// The pause after a plan is at least this many times its duration, so that
/// planning takes at most one part in this many of the time, and leases are
/// renewed and ends are read on a small host, too.
static constexpr int PlanPauseFactor = 4;
/// Longest time between two plans: scheduled jobs become due and estimates
/// change even without events.
static constexpr Millis MaxPlanInterval{200};
/// From this much progress on, a run's remaining time is extrapolated from its
/// progress instead of its estimate.
static constexpr unsigned MinPacePercent = 10;
/// Lower bound of a run's expected remaining time, as estimates may be
/// exceeded.
static constexpr std::int64_t MinRemainingMs = 300;
/// Time constant with which the recorded demand of urgent work decays: several
/// of its run times.
static constexpr Millis UrgentDemandDecayTime{10'000};
static constexpr Millis JobExpiryPeriod{5'000};
/// Ended jobs are kept for this much longer than callers are promised.
static constexpr Millis StatusRetentionMargin{30'000};
/// Cancellations of jobs that were never submitted are kept for this long,
/// which is far longer than a submission may be under way: daemons freeze for
/// seconds, and appends without an answer have been carried out up to 15 s
/// later. It is counted from when an owner first reads them, as clocks may
/// jump, so an owner change prolongs it.
static constexpr Millis UnsubmittedCancelRetention{120'000};
/// An owner that receives no answers from most workers for this long releases
/// ownership.
static constexpr Millis UnreachableTimeout{1'500};
/// Number of consecutive failed syncs after which a worker counts as silent.
static constexpr unsigned SilentSyncFailures = 2;

void Owner::jobChanged(std::string_view Id) {
  Job *J = Shared.Ledger.find(Id);
  if (!J) {
    // A cancellation that is repeated is kept for its whole time again.
    UnsubmittedCancelsSince.erase(std::string(Id));
    // Its records were removed, by whomever. Nobody waits for it any more.
    UnfinishedJobs.erase(std::string(Id));
    Speeds.forgetJob(Id);
    return stopJob(std::string(Id), "its records were removed");
  }
  if (J->ended()) {
    UnfinishedJobs.erase(std::string(Id));
    Speeds.forgetJob(Id);
    return;
  }
  UnfinishedJobs.emplace(Id);
  learnService(J->Spec.Service);
  PlanNeeded = true;
  for (const auto &[K, T] : J->Tasks)
    if (T.Phase != TaskPhase::Done && crashesItsWorkers(*J, K, T))
      SuspendedUntil.try_emplace(unitOf(*J, K), Shared.mono());
  if (J->CancelRequested)
    endJob(*J, JobState::Cancelled, "the caller has cancelled it");
  else
    completeIfDone(*J);
}

void Owner::beginStop() {
  Stopping = true;
  RecordWriter.release();
}

void Owner::tick() {
  if (Deposed)
    return;
  if (!Stopping) {
    learnServices();
    Registry.tick();
  }
  bool MayGiveOrders = isConfirmed();
  if (!Stopping && MayGiveOrders) {
    checkWorkers();
    reviewCrashes();
    checkSuspendedUnits();
    MonoTime T = Shared.mono();
    if (!Deposed && T - PlannedAt >= std::max(PlanDuration * PlanPauseFactor,
                                              PlanNeeded ? MinPlanInterval
                                                         : MaxPlanInterval))
      schedule();
  }
  // Before the writer releases ownership: no lease is granted after that.
  if (!Deposed && !RecordWriter.released() && MayGiveOrders)
    sendDueCalls();
  if (!Deposed && !RecordWriter.released())
    RecordWriter.tick();
  if (!Deposed && !Stopping && MayGiveOrders) {
    removeExpiredJobs();
    checkReachability();
  }
}

void Owner::schedule() {
  PlannedAt = Shared.mono();
  PlanNeeded = false;
  // What is planned before could be placed in a drained data centre.
  if (!Shared.OperatorTopicRead)
    return;
  std::int64_t NowMs = Shared.wall();
  auto Queue = buildQueue(NowMs);
  PlanDuration = {};
  WorkWaiting = false;
  if (Queue.empty())
    return;
  markGuaranteed(Queue);
  std::size_t Placed = 0;
  std::size_t Waited = 0;
  for (const dispatch::WaitingTasks &W : Queue)
    Waited += W.Tasks.size();
  auto Fleet = buildFleet(NowMs);
  auto Plan = Planner.plan(Fleet, Queue, NowMs, urgentDemand());
  for (const dispatch::TaskPlacement &P : Plan.Placements)
    Placed += P.Tasks.size();
  WorkWaiting = Waited > Placed;
  applyPlan(Plan, Fleet);
  PlanDuration = Shared.mono() - PlannedAt;
  Shared.recordLatency("plan", PlanDuration);
  PlannedAt = Shared.mono();
}

RecordRoom Owner::recordRoom() const {
  std::size_t LongestId = 0;
  std::size_t LongestAddress = 0;
  for (const auto &[Id, S] : Sessions) {
    LongestId = std::max(LongestId, Id.size());
    LongestAddress = std::max(LongestAddress, S.Entry.Address.size());
  }
  return {Shared.maxRecordBytes(), LongestId + LongestAddress};
}

std::vector<dispatch::WaitingTasks> Owner::buildQueue(std::int64_t NowMs) {
  std::vector<dispatch::WaitingTasks> Queue;
  auto SeenBefore = std::exchange(WaitingSince, {});
  RecordRoom Room = recordRoom();
  for (const std::string &Id : UnfinishedJobs) {
    Job &J = *Shared.Ledger.find(Id);
    std::vector<std::int64_t> ChainBefore(J.Spec.Steps.size(), 0);
    std::int64_t LongestChain = J.Spec.longestChainMs();
    std::size_t FreeEntries = Room.freeEntries(J);
    for (std::size_t S = 0; S < J.Spec.Steps.size(); ++S)
      for (unsigned D : J.Spec.Steps[S].DependsOn)
        ChainBefore[S] = std::max(ChainBefore[S],
                                  ChainBefore[D] + J.Spec.Steps[D].EstimateMs);
    for (unsigned K = 0; K < J.Spec.occurrences(); ++K) {
      std::int64_t Due = J.Spec.dueMs(K);
      if (J.Spec.OccurrenceCount && NowMs < Due)
        break;
      for (unsigned S = 0; S < J.Spec.Steps.size(); ++S) {
        const workload::Step &Step = J.Spec.Steps[S];
        dispatch::WaitingTasks W;
        std::size_t FreeEntriesAfter = FreeEntries;
        std::vector<unsigned> Suspects;
        for (unsigned N = 0; N < Step.Count; ++N) {
          auto It = J.Tasks.find({K, S, N});
          bool New = It == J.Tasks.end();
          if (New ? !FreeEntriesAfter : It->second.Phase != TaskPhase::Waiting)
            continue;
          if (!SuspendedUntil.empty() &&
              SuspendedUntil.contains(unitOf(J, {K, S, N})))
            continue;
          if (!New && mayHaveCrashedTooOften(J, It->first, It->second))
            continue;
          FreeEntriesAfter -= New;
          if (!New && It->second.Crashes && !Step.Gang) {
            Suspects.push_back(N);
            continue;
          }
          if (!New && It->second.Crashes) {
            W.Crashes = std::max(W.Crashes, It->second.Crashes);
            avoidCrashedWorkers(W, It->second);
          }
          W.Tasks.push_back(N);
        }
        if ((W.Tasks.empty() && Suspects.empty()) ||
            (Step.Gang && W.Tasks.size() < Step.Count) || !J.stepReady(K, S))
          continue;
        if (J.Spec.NeedsAdvice) {
          W.AllowedWorkers = ticketsFor(J, K, S);
          if (!W.AllowedWorkers)
            continue;
        }
        FreeEntries = FreeEntriesAfter;
        W.Job = &J;
        W.Occurrence = K;
        W.Step = S;
        W.DueMs = std::min(Due, NowMs);
        UnitId StepId{Id, K, S, 0};
        auto Seen = SeenBefore.find(StepId);
        MonoTime Since =
            Seen == SeenBefore.end() ? Shared.mono() : Seen->second;
        WaitingSince.emplace(StepId, Since);
        W.SeenWaitingMs = (Shared.mono() - Since).count();
        W.ObjectiveMs = W.DueMs + J.Spec.objectiveMs();
        W.RemainingMs = LongestChain - ChainBefore[S];
        W.RunTimeRatio = Speeds.runTimeRatio(J.Spec.Queue);
        if (auto It = FailedWorkers.find({Id, K, S, 0});
            It != FailedWorkers.end())
          W.AvoidedWorkers.insert(It->second.begin(), It->second.end());
        // Each suspected task is placed by itself.
        for (unsigned N : Suspects) {
          dispatch::WaitingTasks &Alone = Queue.emplace_back(W);
          const TaskProgress &T = J.task({K, S, N});
          Alone.Tasks = {N};
          Alone.Crashes = T.Crashes;
          avoidCrashedWorkers(Alone, T);
        }
        if (!W.Tasks.empty())
          Queue.push_back(std::move(W));
      }
    }
  }
  return Queue;
}

/// Marks urgent jobs as guaranteed: per account, oldest first, while their
/// total need stays within the GPUs that are reserved for the account.
void Owner::markGuaranteed(std::vector<dispatch::WaitingTasks> &Queue) {
  GuaranteedJobs.clear();
  if (!Shared.Config)
    return;
  std::map<std::string_view, std::vector<const Job *>> ByAccount;
  for (const std::string &Id : UnfinishedJobs) {
    const Job *J = Shared.Ledger.find(Id);
    if (J->Spec.Priority == 0)
      ByAccount[J->Spec.Account].push_back(J);
  }
  for (auto &[Name, Jobs] : ByAccount) {
    const Account *A = Shared.Config->account(Name);
    if (!A)
      continue;
    std::sort(Jobs.begin(), Jobs.end(), [](const Job *X, const Job *Y) {
      return std::tie(X->Spec.AcceptedMs, X->Spec.Id) <
             std::tie(Y->Spec.AcceptedMs, Y->Spec.Id);
    });
    std::int64_t Left = A->ReservedGpus;
    for (const Job *J : Jobs) {
      std::int64_t Need = 0;
      for (const auto &Step : J->Spec.Steps)
        Need += Step.Need.Gpus * Step.Count;
      if (Need > Left)
        continue;
      Left -= Need;
      GuaranteedJobs.insert(J->Spec.Id);
    }
  }
  for (dispatch::WaitingTasks &W : Queue)
    W.Guaranteed = GuaranteedJobs.contains(W.Job->Spec.Id);
}

/// Returns the GPUs that urgent work needs now or needed recently.
std::int64_t Owner::urgentDemand() {
  std::int64_t Needed = 0;
  for (const std::string &Id : UnfinishedJobs) {
    const Job &J = *Shared.Ledger.find(Id);
    if (J.Spec.Priority != 0 || J.Spec.OccurrenceCount)
      continue;
    for (unsigned S = 0; S < J.Spec.Steps.size(); ++S)
      for (unsigned N = 0; N < J.Spec.Steps[S].Count; ++N)
        if (J.task({0, S, N}).Phase != TaskPhase::Done)
          Needed =
              std::min(Needed + J.Spec.Steps[S].Need.Gpus, workload::MaxAmount);
  }
  MonoTime T = Shared.mono();
  double Passed = static_cast<double>((T - DemandUpdatedAt).count()) /
                  static_cast<double>(UrgentDemandDecayTime.count());
  DemandUpdatedAt = T;
  UrgentDemand =
      std::max(static_cast<double>(Needed), UrgentDemand * std::exp(-Passed));
  return static_cast<std::int64_t>(UrgentDemand);
}

Millis Owner::remainingTime(const workload::Step &Step,
                            const RunState &R) const {
  MonoTime T = Shared.mono();
  if (!R.FirstPercent)
    return Millis(Step.EstimateMs) - (T - R.PlacedAt);
  unsigned Left = 100 - std::min(100U, R.Percent);
  unsigned Advanced = R.Percent - std::min(R.Percent, *R.FirstPercent);
  Millis Needed = Advanced < MinPacePercent
                      ? Millis(Step.EstimateMs) * Left / 100
                      : (R.ProgressAt - R.FirstPercentAt) * Left / Advanced;
  return Needed - (T - R.ProgressAt);
}

dispatch::Fleet Owner::buildFleet(std::int64_t NowMs) {
  dispatch::Fleet F;
  MonoTime T = Shared.mono();
  F.Workers.reserve(Sessions.size());
  for (auto &[Id, S] : Sessions) {
    dispatch::Worker W;
    W.Id = Id;
    W.Service = S.Entry.Service;
    W.Rack = S.Entry.Rack;
    W.Labels = S.Entry.Labels;
    W.Capacity = S.Entry.Capacity;
    W.Free = S.Entry.Capacity;
    W.Usable = S.Listed && S.Described && S.Synced && S.ClockMs >= 0 &&
               isHeardOf(S) && !S.Entry.Draining && !isDrained(S) &&
               !S.Entry.Address.empty();
    W.Avoided = T < S.AvoidUntil;
    W.Speed = Speeds.estimate(S.Speed);
    if (S.Slowness.isSlow(T))
      W.Condition = dispatch::WorkerCondition::Slow;
    else if (S.FailedJobs.size() >= FailingWorkerJobs ||
             S.Entry.WarmupLeftMs > 0)
      W.Condition = dispatch::WorkerCondition::Failing;
    else if (!S.FailedJobs.empty())
      W.Condition = dispatch::WorkerCondition::Suspect;
    for (auto &[Run, R] : S.Runs) {
      W.Free -= R.Room;
      W.Occupied |= !R.Crashed;
      dispatch::Allocation Out;
      Out.Room = R.Room;
      Out.Unit.Job = Run.Task.Job;
      const Job *J = Shared.Ledger.find(Run.Task.Job);
      Out.Stoppable = false;
      Out.EndEstimateMs = NowMs + MinRemainingMs;
      if (J && J->Spec.has(Run.Task.Key)) {
        const TaskKey &K = Run.Task.Key;
        const workload::Step &Step = J->Spec.Steps[K.Step];
        Out.Unit = unitOf(*J, K);
        Out.Ends = !Step.LongRunning;
        unsigned Crashes = J->task(K).Crashes;
        if (!R.Crashed)
          W.TenantCrashes = std::max(W.TenantCrashes, Crashes);
        Out.Account = J->Spec.Account;
        Out.Priority = J->Spec.Priority;
        Out.Guaranteed = GuaranteedJobs.contains(J->Spec.Id);
        // Stopping a suspect before it crashes its worker or is cleared costs
        // one more start that may crash a worker.
        bool Undecided = Crashes >= dispatch::AloneFromCrashes && !R.Cleared;
        Out.Stoppable = R.Stage == RunStage::Confirmed && !J->ended() &&
                        !Step.LongRunning && !Undecided;
        auto Ran = (T - R.PlacedAt).count();
        if (R.Stage != RunStage::Stopping)
          Out.EndEstimateMs =
              NowMs + std::max(remainingTime(Step, R).count(), MinRemainingMs);
        Out.LostIfStoppedMs = Ran;
        if (Step.SavesProgress && R.CheckpointAt.count())
          Out.LostIfStoppedMs = (T - R.CheckpointAt).count();
        if (Step.MaxPerWorker)
          ++F.StepTasks[stepOf(Run.Task)][Id];
      }
      W.Allocations.push_back(std::move(Out));
    }
    F.Workers.push_back(std::move(W));
  }
  return F;
}

std::string_view Owner::faultOf(const dispatch::TaskPlacement &P,
                                const dispatch::Fleet &Fleet) const {
  const Job *J = Shared.Ledger.find(P.Work->Job->Spec.Id);
  if (!J || J->ended())
    return "its job has ended";
  if (P.Workers.size() != P.Tasks.size())
    return "it has no worker for each task";
  for (std::size_t N = 0; N < P.Tasks.size(); ++N) {
    TaskKey K{P.Work->Occurrence, P.Work->Step, P.Tasks[N]};
    if (J->task(K).Phase != TaskPhase::Waiting)
      return "a task does not wait";
    if (P.Workers[N] >= Fleet.Workers.size())
      return "a worker is unknown";
    const std::string &Worker = Fleet.Workers[P.Workers[N]].Id;
    if (!Sessions.contains(Worker))
      return "a worker has no session";
    if (P.Work->AllowedWorkers && !P.Work->AllowedWorkers->contains(Worker))
      return "a worker has no ticket";
  }
  return {};
}

void Owner::applyPlan(const dispatch::Plan &Plan,
                      const dispatch::Fleet &Fleet) {
  for (const dispatch::TaskPlacement &P : Plan.Placements) {
    if (auto Fault = faultOf(P, Fleet); !Fault.empty()) {
      Shared.count("placements_refused");
      Shared.log(440, {{"job", P.Work->Job->Spec.Id},
                       {"occurrence", P.Work->Occurrence},
                       {"step", P.Work->Step},
                       {"tasks", P.Tasks.size()},
                       {"reason", Fault}});
      continue;
    }
    Job &J = *Shared.Ledger.find(P.Work->Job->Spec.Id);
    bool FirstPlacement = J.Tasks.empty();
    const workload::Step &Step = J.Spec.Steps[P.Work->Step];
    std::string WorkerIds;
    unsigned GangRun = 0;
    if (Step.Gang)
      for (unsigned N = 0; N < Step.Count; ++N)
        GangRun = std::max(GangRun,
                           J.task({P.Work->Occurrence, P.Work->Step, N}).Run);
    for (std::size_t N = 0; N < P.Tasks.size(); ++N) {
      const std::string &Worker = Fleet.Workers[P.Workers[N]].Id;
      Session &S = Sessions.at(Worker);
      WorkerIds += (WorkerIds.empty() ? "" : " ") + Worker;
      TaskKey K{P.Work->Occurrence, P.Work->Step, P.Tasks[N]};
      TaskProgress &T = J.Tasks[K];
      T.Run = (Step.Gang ? GangRun : T.Run) + 1;
      T.Phase = TaskPhase::Placed;
      T.Worker = Worker;
      T.WorkerStartMs = S.Entry.ProcessStartMs;
      // The next owner takes another worker's answer there for a crash.
      T.WorkerAddress = S.Confirmed ? S.Entry.Address : "";
      RunId Id{{J.Spec.Id, K}, T.Run};
      RunState R;
      R.Room = Step.room();
      R.WorkerStartMs = S.Entry.ProcessStartMs;
      R.PlacedAt = Shared.mono();
      R.ProgressAt = R.PlacedAt;
      if (P.Work->AllowedWorkers) {
        R.Ticket = P.Work->AllowedWorkers->find(Worker)->second;
        if (auto A = AdviceByStep.find(stepOf(Id.Task));
            A != AdviceByStep.end())
          R.TicketValidUntil = A->second.ValidUntil + TicketMargin;
      }
      S.Runs.emplace(Id, std::move(R));
      RecordWriter.afterStored(
          {J.Spec.Id}, [this, Worker, Id] { makeStartDue(Worker, Id); });
    }
    if (FirstPlacement)
      Shared.recordLatency("job_first_placed", J.Spec.Priority,
                           Millis(Shared.wall() - P.Work->DueMs));
    RecordWriter.markChanged(J.Spec.Id);
    Shared.log(423, {{"job", J.Spec.Id},
                     {"occurrence", P.Work->Occurrence},
                     {"step", P.Work->Step},
                     {"tasks", P.Tasks.size()},
                     {"workers", WorkerIds},
                     {"guaranteed", P.Work->Guaranteed},
                     {"waited_ms", Shared.wall() - P.Work->DueMs}});
  }
  for (const dispatch::ExplainedWait &W : Plan.Waits)
    Shared.log(439, {{"job", W.Work->Job->Spec.Id},
                     {"occurrence", W.Work->Occurrence},
                     {"step", W.Work->Step},
                     {"tasks", W.Work->Tasks.size()},
                     {"gpus_each", W.Work->step().Need.Gpus},
                     {"waited_ms", Shared.wall() - W.Work->DueMs},
                     {"reason", dispatch::name(W.Reason)}});
  for (const UnitId &Unit : Plan.Stops)
    stopUnit(Unit, "urgent work needs its resources");
}

void Owner::publishLoad(workload::Ownership &O) const {
  std::int64_t Workers = 0;
  workload::Resources Sum;
  workload::Resources DrainedSum;
  for (const auto &[Id, S] : Sessions)
    if (S.Listed && S.Described && S.Synced && !S.Entry.Draining) {
      ++(isDrained(S) ? O.DrainedWorkers : Workers);
      (isDrained(S) ? DrainedSum : Sum) += S.Entry.Capacity;
    }
  O.Workers = Workers;
  // Jobs wait for the drained workers only if there are no others.
  bool AllDrained = !Workers && O.DrainedWorkers;
  if (AllDrained) {
    Workers = O.DrainedWorkers;
    Sum = DrainedSum;
  }
  O.BacklogMs.assign(3, 0);
  if (!Workers)
    return;
  for (const std::string &Id : UnfinishedJobs) {
    const Job &J = *Shared.Ledger.find(Id);
    if (J.Spec.isLongRunning())
      continue;
    std::int64_t Work = 0;
    for (unsigned K = 0; K < J.Spec.occurrences(); ++K) {
      if (J.Spec.OccurrenceCount && J.Spec.dueMs(K) > Shared.wall() + 5'000)
        break;
      for (unsigned S = 0; S < J.Spec.Steps.size(); ++S) {
        const workload::Step &Step = J.Spec.Steps[S];
        std::int64_t One = workload::workerMs(Step, Sum, Workers);
        for (unsigned N = 0; N < Step.Count; ++N) {
          const TaskProgress &T = J.task({K, S, N});
          // What runs on a drained worker takes nothing of the others.
          if (T.Phase == TaskPhase::Done ||
              (T.Phase == TaskPhase::Placed && !AllDrained &&
               O.DrainedWorkers && isDrainedWorker(T.Worker)))
            continue;
          Work = std::min(Work + (T.Phase == TaskPhase::Placed ? One / 2 : One),
                          workload::MaxWorkMs);
        }
      }
    }
    std::int64_t &Backlog =
        O.BacklogMs[std::min<std::size_t>(J.Spec.Priority, 2)];
    Backlog = std::min(Backlog + Work, workload::MaxWorkMs);
  }
  O.MeanCapacity = {Sum.CpuMilli / Workers, Sum.MemoryMb / Workers,
                    Sum.Gpus / Workers};
}

void Owner::checkReachability() {
  std::size_t Listed = 0;
  std::size_t Silent = 0;
  for (const auto &[Id, S] : Sessions) {
    Listed += S.Listed;
    Silent += S.Listed && S.SyncFailures >= SilentSyncFailures && !isHeardOf(S);
  }
  MonoTime T = Shared.mono();
  if (!MajorityAnsweredAt.count() || Silent * 2 <= Listed)
    MajorityAnsweredAt = T;
  if (T - MajorityAnsweredAt < UnreachableTimeout)
    return;
  Shared.log(432, {{"workers", Listed}, {"silent", Silent}});
  beginStop();
}

void Owner::removeExpiredJobs() {
  MonoTime T = Shared.mono();
  if (T - JobsExpiredAt < JobExpiryPeriod)
    return;
  JobsExpiredAt = T;
  std::vector<std::string> Old;
  for (const auto &[Id, J] : Shared.Ledger.jobs())
    if (J.HasSubmission && J.ended() &&
        Shared.wall() - J.EndedMs >
            (Shared.Settings.StatusRetention + StatusRetentionMargin).count())
      Old.push_back(Id);
  const auto &Cancels = Shared.Ledger.unsubmittedCancels();
  std::erase_if(UnsubmittedCancelsSince,
                [&](const auto &C) { return !Cancels.contains(C.first); });
  for (const std::string &Id : Cancels)
    if (T - UnsubmittedCancelsSince.try_emplace(Id, T).first->second >
        UnsubmittedCancelRetention)
      Old.push_back(Id);
  for (const std::string &Id : Old)
    RecordWriter.remove(Id);
}

} // namespace heathersaddle::cluster
