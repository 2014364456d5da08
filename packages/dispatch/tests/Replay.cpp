#include "Replay.h"
#include <algorithm>
#include <chrono>
#include <cmath>

namespace heathersaddle::dispatch {

/// Step of the virtual time; also the shortest time between two plans.
static constexpr std::int64_t StepMs = 20;
static constexpr std::int64_t PlanPeriodMs = 200;
static constexpr std::int64_t ObservePeriodMs = 240;
/// From the plan to the begin of the runs, and from a stop to its end.
static constexpr std::int64_t StartMs = 60;
static constexpr std::int64_t StopMs = 200;
static constexpr double DemandDecayMs = 10'000;
/// A gang that prefers one rack takes so many times as long on several.
static constexpr double FarFactor = 3;
static constexpr unsigned WorkersPerRack = 8;

namespace {

/// The jobs of one priority; see docs/hard-load.md.
struct JobKind {
  double PerSecond;
  unsigned MinTasks, MaxTasks;
  double WorkMs;
  std::int64_t Cores;
  unsigned MaxGpus;
  double Stretch;
  double EstimateError;
  double SameRackShare;
};

} // namespace

static constexpr std::array<JobKind, 3> Kinds{
    {{2.8, 2, 8, 2'100, 15, 8, 1.5, 0.2, 0.8},
     {2.5, 4, 22, 9'400, 52, 2, 3, 0.9, 0},
     {1.5, 10, 68, 5'200, 11, 1, 3, 0.5, 0}}};

Replay::Replay(ReplayOptions O,
               std::function<double(unsigned, std::int64_t)> Speed)
    : Options(O), SpeedOf(std::move(Speed)), Random(O.Seed), Speeds(O.Workers) {
  for (unsigned N = 0; N < O.Workers; ++N) {
    Worker W;
    W.Id = "w" + std::to_string(1'000 + N);
    W.Service = "service";
    W.Rack = "r" + std::to_string(100 + N / WorkersPerRack);
    W.Capacity = W.Free = {128'000, 512'000, 8};
    W.Usable = true;
    Pool.Workers.push_back(W);
  }
  generate();
}

void Replay::addJob(unsigned Priority, std::int64_t At) {
  const JobKind &K = Kinds[Priority];
  Arrival A;
  A.AtMs = At;
  workload::JobSpec &Spec = A.Job.Spec;
  Spec.Priority = Priority;
  Spec.Service = "service";
  Spec.Stretch = K.Stretch;
  Spec.LatencyObjectiveMs = 250;
  Spec.AcceptedMs = At;
  workload::Step S;
  S.Count = uniform(K.MinTasks, K.MaxTasks);
  S.Need = {K.Cores * 1'000, 20'000, uniform(1, K.MaxGpus)};
  S.Gang = Priority < 2;
  S.SavesProgress = Priority == 2;
  S.SameRack = uniform(1, 100) <= 100 * K.SameRackShare;
  double Work = K.WorkMs * std::exp(normal(0.4));
  S.EstimateMs =
      static_cast<std::int64_t>(Work * std::exp(normal(K.EstimateError)));
  for (unsigned N = 0; N < S.Count; ++N) {
    double Deviation = normal(0.3);
    if (uniform(1, 100) <= 3)
      Deviation += std::log(7);
    A.WorkMs.push_back(
        Work * (S.Gang && !Options.UnevenGangs ? 1 : std::exp(Deviation)));
    A.Waiting.push_back(N);
  }
  A.Left = S.Count;
  Spec.Steps.push_back(S);
  Jobs.push_back(std::move(A));
}

void Replay::generate() {
  // The rate varies by 0.55 (standard deviation of the logarithm) in 13 s.
  double LogRate = 0;
  for (std::int64_t At = 0; At < Options.DurationMs; At += 100) {
    LogRate += -LogRate * 0.1 / 6.5 + normal(0.55 * std::sqrt(0.2 / 6.5));
    for (unsigned P = 0; P < Kinds.size(); ++P) {
      double Mean =
          Options.Load * Kinds[P].PerSecond * 0.1 * std::exp(LogRate - 0.15);
      for (int N = std::poisson_distribution<>(Mean)(Random); N > 0; --N)
        addJob(P, At);
    }
  }
  for (std::size_t N = 0; N < Jobs.size(); ++N)
    Jobs[N].Job.Spec.Id = "j" + std::to_string(100'000 + N);
}

/// Ends the unit if it is due; returns whether it has ended.
bool Replay::endOrStop(Unit &U) {
  Arrival &A = Jobs[static_cast<std::size_t>(U.JobNumber)];
  const workload::Step &S = A.Job.Spec.Steps[0];
  double Cores = weightedCores(S.Need);
  if (U.StopsAt >= 0 && NowMs >= U.StopsAt) {
    for (std::size_t N = 0; N < U.Runs.size(); ++N) {
      if (S.SavesProgress)
        A.WorkMs[U.Tasks[N]] -= U.Runs[N].DoneMs;
      else
        Result.LostCoreSeconds +=
            Cores * static_cast<double>(NowMs - U.StartedAt) / 1'000;
      A.Waiting.push_back(U.Tasks[N]);
    }
    return true;
  }
  if (!std::all_of(U.Runs.begin(), U.Runs.end(),
                   [](const Run &R) { return R.DoneMs >= R.WorkMs; }))
    return false;
  Result.DoneCoreSeconds += Cores * static_cast<double>(U.Runs.size()) *
                            static_cast<double>(NowMs - U.StartedAt) / 1'000;
  for (Run &R : U.Runs)
    R.Progress.finish(base::MonoTime(NowMs));
  A.Left -= static_cast<unsigned>(U.Tasks.size());
  if (A.Left)
    return true;
  bool InTime = NowMs <= A.AtMs + A.Job.Spec.objectiveMs();
  Result.Kinds[A.Job.Spec.Priority].InTime += InTime;
  if (!InTime && A.Job.Spec.Priority == 0) {
    double Slowest = 10;
    for (const Run &R : U.Runs)
      Slowest =
          std::min(Slowest, SpeedOf(static_cast<unsigned>(R.Worker), NowMs));
    Result.LateUrgent.push_back(
        {A.AtMs, U.StartedAt - A.AtMs, Slowest, U.Slowdown,
         A.WorkMs[0] / static_cast<double>(S.EstimateMs)});
  }
  return true;
}

void Replay::advance() {
  for (Unit &U : Running)
    if (NowMs > U.StartedAt)
      for (Run &R : U.Runs)
        R.DoneMs += SpeedOf(static_cast<unsigned>(R.Worker), NowMs) * StepMs /
                    U.Slowdown;
  // Ends after stops, so that both are seen in the order of the units.
  std::erase_if(Running, [this](Unit &U) {
    bool Ended = endOrStop(U);
    PlanNeeded |= Ended;
    if (Ended && !U.Gang && U.StopsAt < 0 && !U.Runs[0].Observed) {
      const auto &Spec = Jobs[static_cast<std::size_t>(U.JobNumber)].Job.Spec;
      if (auto Whole = U.Runs[0].Progress.wholeMs();
          Whole && U.Runs[0].Progress.isPrecise()) {
        RunProgressTime One{&Speeds[U.Runs[0].Worker], *Whole, true};
        Model.observeStep(
            {Spec.Id, 0, 0, 0}, "q" + std::to_string(Spec.Priority),
            static_cast<double>(Spec.Steps[0].EstimateMs), {&One, 1});
      }
    }
    return Ended;
  });
}

/// As cluster/lib/OwnerPace.cpp does.
void Replay::observe() {
  std::map<std::int64_t, std::vector<Run *>> ByJob;
  std::vector<bool> Changed(Speeds.size());
  for (Unit &U : Running)
    for (Run &R : U.Runs) {
      auto Percent =
          static_cast<unsigned>(std::min(100.0, 100 * R.DoneMs / R.WorkMs));
      if (NowMs >= U.StartedAt)
        R.Progress.sample(Percent, base::MonoTime(NowMs), 0);
      if (R.Progress.takeChange())
        Changed[R.Worker] = true;
    }
  for (std::size_t N = 0; N < Speeds.size(); ++N)
    if (Changed[N])
      Speeds[N].noteChange();
  for (Unit &U : Running) {
    if (NowMs < U.StartedAt || U.Slowdown > 1)
      continue;
    for (Run &R : U.Runs) {
      if (Changed[R.Worker]) {
        R.Progress.restart();
        R.Observed = false;
      }
      if (!R.Observed && R.Progress.wholeMs())
        ByJob[U.JobNumber].push_back(&R);
    }
  }
  for (auto &[Number, Runs] : ByJob) {
    std::vector<RunProgressTime> Times;
    Times.reserve(Runs.size());
    bool Any = false;
    for (Run *R : Runs) {
      R->Observed = R->Progress.isPrecise();
      Any |= R->Observed;
      Times.push_back(
          {&Speeds[R->Worker], *R->Progress.wholeMs(), R->Observed});
    }
    const auto &Spec = Jobs[static_cast<std::size_t>(Number)].Job.Spec;
    if (Any)
      Model.observeStep({Spec.Id, 0, 0, 0}, "q" + std::to_string(Spec.Priority),
                        static_cast<double>(Spec.Steps[0].EstimateMs), Times);
  }
  std::vector<WorkerSpeed *> All;
  All.reserve(Speeds.size());
  for (WorkerSpeed &W : Speeds)
    All.push_back(&W);
  Model.refresh(All);
}

Fleet Replay::fleet() const {
  Fleet F = Pool;
  if (Options.UsesSpeeds)
    for (std::size_t N = 0; N < F.Workers.size(); ++N)
      F.Workers[N].Speed = Model.estimate(Speeds[N]);
  for (const Unit &U : Running) {
    const auto &Spec = Jobs[static_cast<std::size_t>(U.JobNumber)].Job.Spec;
    const workload::Step &S = Spec.Steps[0];
    for (std::size_t N = 0; N < U.Runs.size(); ++N) {
      Allocation A;
      A.Unit = {Spec.Id, 0, 0, U.Gang ? 0 : U.Tasks[N]};
      A.Room = S.Need;
      A.Priority = Spec.Priority;
      A.Stoppable = U.StopsAt < 0;
      A.EndEstimateMs = std::max(U.StartedAt + S.EstimateMs, NowMs + 300);
      A.LostIfStoppedMs =
          S.SavesProgress ? 0 : std::max<std::int64_t>(0, NowMs - U.StartedAt);
      Worker &On = F.Workers[U.Runs[N].Worker];
      On.Free -= A.Room;
      On.Occupied = true;
      On.Allocations.push_back(std::move(A));
    }
  }
  return F;
}

void Replay::plan() {
  std::vector<WaitingTasks> Queue;
  std::map<const workload::Job *, std::int64_t> NumberOf;
  std::int64_t UrgentGpus = 0;
  for (std::size_t N = 0; N < Arrived; ++N) {
    Arrival &A = Jobs[N];
    const workload::Step &S = A.Job.Spec.Steps[0];
    if (A.Job.Spec.Priority == 0)
      UrgentGpus += A.Left * S.Need.Gpus;
    if (A.Waiting.empty() || (S.Gang && A.Waiting.size() < S.Count))
      continue;
    WaitingTasks W;
    W.Job = &A.Job;
    W.Tasks = A.Waiting;
    W.DueMs = A.AtMs;
    W.SeenWaitingMs = NowMs - A.AtMs;
    W.ObjectiveMs = A.AtMs + A.Job.Spec.objectiveMs();
    W.RemainingMs = S.EstimateMs;
    if (Options.UsesSpeeds)
      W.RunTimeRatio =
          Model.runTimeRatio("q" + std::to_string(A.Job.Spec.Priority));
    NumberOf[&A.Job] = static_cast<std::int64_t>(N);
    Queue.push_back(std::move(W));
  }
  UrgentDemand = std::max(static_cast<double>(UrgentGpus),
                          UrgentDemand * std::exp(-StepMs / DemandDecayMs));
  if (Queue.empty())
    return;
  Fleet F = fleet();
  auto Began = std::chrono::steady_clock::now();
  Plan Next =
      Plans.plan(F, Queue, NowMs, static_cast<std::int64_t>(UrgentDemand));
  PlanMs.push_back(std::chrono::duration<double, std::milli>(
                       std::chrono::steady_clock::now() - Began)
                       .count());
  for (const TaskPlacement &P : Next.Placements) {
    Arrival &A = Jobs[static_cast<std::size_t>(NumberOf[P.Work->Job])];
    const workload::Step &S = P.Work->step();
    if (A.Job.Spec.Priority == 0 && !A.Placed)
      UrgentWaits.push_back(NowMs - A.AtMs);
    A.Placed = true;
    std::set<std::string> RacksUsed;
    for (std::size_t W : P.Workers)
      RacksUsed.insert(F.Workers[W].Rack);
    for (std::size_t N = 0; N < P.Tasks.size(); ++N) {
      ++Result.Placements;
      Result.PlacementHash =
          Result.PlacementHash * 1'000'003 + P.Workers[N] * 100 + P.Tasks[N];
      std::erase(A.Waiting, P.Tasks[N]);
      if (!S.Gang || N == 0) {
        Unit &U = Running.emplace_back();
        U.JobNumber = NumberOf[P.Work->Job];
        U.Gang = S.Gang;
        U.StartedAt = NowMs + StartMs;
        U.Slowdown = S.SameRack && RacksUsed.size() > 1 ? FarFactor : 1;
      }
      Unit &U = Running.back();
      U.Tasks.push_back(P.Tasks[N]);
      U.Runs.push_back({P.Workers[N], A.WorkMs[P.Tasks[N]], 0, {}, false});
      U.Runs.back().Progress.begin(base::MonoTime(U.StartedAt));
    }
  }
  for (const UnitId &Stop : Next.Stops)
    for (Unit &U : Running) {
      const auto &Spec = Jobs[static_cast<std::size_t>(U.JobNumber)].Job.Spec;
      if (Spec.Id == Stop.Job && (U.Gang || U.Tasks[0] == Stop.Index) &&
          U.StopsAt < 0) {
        U.StopsAt = NowMs + StopMs;
        ++Result.Kinds[Spec.Priority].Evictions;
      }
    }
}

ReplayResult Replay::run() {
  std::int64_t PlannedAt = 0;
  // Jobs that have not ended some time after the last arrival are late.
  for (; NowMs < Options.DurationMs + 30'000; NowMs += StepMs) {
    advance();
    for (; Arrived < Jobs.size() && Jobs[Arrived].AtMs <= NowMs; ++Arrived)
      PlanNeeded = true;
    if (NowMs % ObservePeriodMs == 0)
      observe();
    if (PlanNeeded || NowMs - PlannedAt >= PlanPeriodMs) {
      PlanNeeded = false;
      PlannedAt = NowMs;
      plan();
    }
  }
  for (const Arrival &A : Jobs)
    ++Result.Kinds[A.Job.Spec.Priority].Jobs;
  std::sort(PlanMs.begin(), PlanMs.end());
  if (!PlanMs.empty())
    Result.PlanMsAtP99 = PlanMs[PlanMs.size() * 99 / 100];
  std::sort(UrgentWaits.begin(), UrgentWaits.end());
  if (!UrgentWaits.empty())
    Result.UrgentWaitMsAtP95 = UrgentWaits[UrgentWaits.size() * 95 / 100];
  double Mean = 0;
  auto Count = static_cast<double>(Speeds.size());
  for (unsigned N = 0; N < Speeds.size(); ++N)
    Mean += std::log(SpeedOf(N, NowMs)) / Count;
  double Squares = 0;
  for (unsigned N = 0; N < Speeds.size(); ++N) {
    SpeedEstimate E = Model.estimate(Speeds[N]);
    Result.Known += E.Known;
    double Off = E.LogFactor - (std::log(SpeedOf(N, NowMs)) - Mean);
    Squares += Off * Off / Count;
  }
  Result.SpeedError = std::sqrt(Squares);
  return Result;
}

} // namespace heathersaddle::dispatch
