// The hosts are generated from the seed, then the steps act on them. A fault
// ends by itself after the duration in its step, so removing a step removes its
// whole effect.
#include "World.h"
#include <algorithm>

namespace heathersaddle::fuzz {

// Shorter than the defaults, so that leases expire and snapshots are taken
// within a run.
static constexpr Millis WorkerLease{20'000};
static constexpr Millis SyncWait{6'000};
static constexpr Millis UnknownOutcomeGrace{4'000};
static constexpr Millis ReclaimGrace{2'000};
static constexpr std::uint64_t SnapshotRecords = 40;
static constexpr Millis SetUpTimeout{60'000};
static constexpr Millis FinishTimeout{1'500'000};

World::World(const RunSettings &Settings)
    : Rng(Settings.Seed), Net(Sim, Rng),
      Log(Sim, Rng,
          [this](std::uint64_t Offset, const std::string &Text) {
            TestOracle.onRecord(Offset, Text);
          }),
      Env{Sim,
          Rng,
          Net,
          Log,
          Workers,
          Daemons,
          [this](std::string Rule, std::string Detail) {
            report(std::move(Rule), std::move(Detail));
          },
          Settings.Trace},
      AllCallers(Env), TestOracle(Env, AllCallers, WorkerLease),
      RefuseStoppedAttempts(Settings.RefuseStoppedAttempts) {
  addHosts();
}

void World::report(std::string Rule, std::string Detail) {
  if (FirstViolation)
    return;
  FirstViolation =
      Violation{std::move(Rule), std::move(Detail), StepsTaken, Sim.now()};
  Sim.stop();
}

std::string World::cellOf(unsigned Index) const {
  return "dc" + std::to_string(Index % CellCount);
}

control::NodeSettings World::nodeSettings(unsigned Index) const {
  control::NodeSettings S;
  S.Name = "d" + std::to_string(Index);
  S.Address = S.Name + ":1";
  S.DataCentre = cellOf(Index);
  S.WorkerLease = WorkerLease;
  S.SyncWait = SyncWait;
  S.UnknownOutcomeGrace = UnknownOutcomeGrace;
  S.SnapshotRecords = SnapshotRecords;
  S.Policy.ReclaimGrace = ReclaimGrace;
  S.Policy.GangReservationAfter = Millis{5'000};
  S.Policy.InitialQuarantine = Millis{5'000};
  S.Policy.MaxQuarantine = Millis{20'000};
  return S;
}

void World::addHosts() {
  CellCount = unsigned(Rng.within(1, 2));
  auto WorkerCount = unsigned(Rng.within(2 * CellCount, 6));
  auto DaemonCount = unsigned(Rng.within(2, 4));
  for (unsigned I = 0; I != WorkerCount; ++I) {
    control::HostEntry E;
    E.Name = "w" + std::to_string(I);
    E.Address = E.Name + ":1";
    E.DataCentre = cellOf(I);
    E.Rack = E.DataCentre + "-r" + std::to_string(I / CellCount / 2);
    E.Slots = E.Accelerators = WorkerSlots;
    E.Cores = 8;
    E.MemoryMb = 1'000;
    Workers.push_back(std::make_unique<WorkerHost>(
        Sim, Rng, E, RefuseStoppedAttempts,
        [this, N = E.Name](const std::string &Text) {
          report("protocol", N + ": " + Text);
        }));
  }
  for (unsigned I = 0; I != DaemonCount; ++I)
    Daemons.push_back(std::make_unique<DaemonHost>(Env, I, nodeSettings(I)));
}

DaemonHost &World::daemon(std::uint64_t Draw) {
  return *Daemons[Draw % Daemons.size()];
}

WorkerHost &World::worker(std::uint64_t Draw) {
  return *Workers[Draw % Workers.size()];
}

// Lets virtual time pass. The lists are checked every second, everything else
// after the step.
void World::advance(Millis Time) {
  Millis Until = Sim.now() + Time;
  while (!FirstViolation && Sim.now() < Until) {
    Sim.runUntil(std::min(Until, Sim.now() + Millis{1'000}));
    if (!FirstViolation)
      TestOracle.checkLists();
  }
}

bool World::publishInitial(const state::ListChange &Change) {
  std::size_t Before = AllCallers.published().size();
  for (Millis End = Sim.now() + SetUpTimeout;
       !FirstViolation && Sim.now() < End;) {
    AllCallers.publish(*Daemons.front(), Change);
    advance(Millis{2'000});
    if (AllCallers.published().size() > Before)
      return true;
  }
  report("set-up",
         "the initial lists were not accepted: " + AllCallers.lastRefusal());
  return false;
}

void World::setUp() {
  for (auto &D : Daemons)
    D->start();
  advance(Millis{10'000});
  if (publishInitial(initialPlans()))
    publishInitial(initialCustomers());
}

void World::take(const Step &S) {
  ++StepsTaken;
  FaultSteps += isFault(S.Kind);
  if (Env.TraceSink)
    Env.trace("step", describe(S));
  if (S.Kind <= StepKind::CancelBurst)
    takeCallerStep(S);
  else if (S.Kind <= StepKind::Idle)
    takeOperatorStep(S);
  else if (S.Kind <= StepKind::CutDataCentre || S.Kind == StepKind::ClockJump)
    takeDaemonFault(S);
  else if (S.Kind <= StepKind::DamageSnapshots)
    takeLogFault(S);
  else
    takeWorkerFault(S);
  advance(S.Advance);
  if (!FirstViolation)
    TestOracle.checkNow();
}

void World::takeCallerStep(const Step &S) {
  DaemonHost &D = daemon(S.TargetDraw);
  std::size_t Known = AllCallers.requests().size();
  if (S.Kind == StepKind::Submit)
    return AllCallers.submitNew(D, Random(S.ChoiceDraw));
  if (Known == 0)
    return;
  std::size_t Index = S.ChoiceDraw % Known;
  switch (S.Kind) {
  case StepKind::Repeat:
    return AllCallers.repeat(D, Index);
  case StepKind::ConflictingKey:
    return AllCallers.submitConflicting(D, Index);
  case StepKind::Wait:
    return AllCallers.wait(D, Index, S.Duration);
  case StepKind::Cancel:
    return AllCallers.cancel(D, Index);
  case StepKind::CancelBurst:
    for (std::size_t I = Known - std::min<std::size_t>(Known, 8); I != Known;
         ++I)
      AllCallers.cancel(D, I);
    return;
  default:
    return;
  }
}

void World::takeOperatorStep(const Step &S) {
  if (S.Kind == StepKind::Idle)
    return;
  AllCallers.publish(daemon(S.TargetDraw), Random(S.ChoiceDraw));
  if (S.Kind == StepKind::PublishRace)
    AllCallers.publish(daemon(S.TargetDraw + 1), Random(S.ChoiceDraw));
}

void World::takeDaemonFault(const Step &S) {
  auto Index = unsigned(S.TargetDraw % Daemons.size());
  DaemonHost &D = *Daemons[Index];
  switch (S.Kind) {
  case StepKind::CrashDaemon:
    return D.crash(S.Duration);
  case StepKind::StopDaemon:
    return D.stopGracefully(S.Duration);
  case StepKind::PauseDaemon:
    return D.pause(S.Duration);
  case StepKind::CutLog:
    Net.cut(Index, {Endpoint::Kind::Log, 0}, S.Duration);
    if (S.ChoiceDraw % 2)
      Net.cut(Index, {Endpoint::Kind::Hosts, 0}, S.Duration);
    return;
  case StepKind::CutWorkers:
    for (unsigned I = 0; I != Workers.size(); ++I)
      if (S.ChoiceDraw >> I & 1)
        Net.cut(Index, {Endpoint::Kind::Worker, I}, S.Duration);
    return;
  case StepKind::CutPeers:
    for (unsigned I = 0; I != Daemons.size(); ++I)
      Net.cut(Index, {Endpoint::Kind::Daemon, I}, S.Duration);
    return;
  case StepKind::CutDataCentre:
    return cutDataCentre(S);
  case StepKind::ClockJump:
    return D.jumpClock(
        Millis(std::int64_t(S.ChoiceDraw % 7'200'000) - 3'600'000));
  default:
    return;
  }
}

// Cuts one data centre off from the log, the host list and all other data
// centres.
void World::cutDataCentre(const Step &S) {
  std::string Isolated = cellOf(unsigned(S.TargetDraw % CellCount));
  for (unsigned D = 0; D != Daemons.size(); ++D) {
    bool Inside = cellOf(D) == Isolated;
    if (Inside) {
      Net.cut(D, {Endpoint::Kind::Log, 0}, S.Duration);
      Net.cut(D, {Endpoint::Kind::Hosts, 0}, S.Duration);
    }
    for (unsigned W = 0; W != Workers.size(); ++W)
      if ((cellOf(W) == Isolated) != Inside)
        Net.cut(D, {Endpoint::Kind::Worker, W}, S.Duration);
    for (unsigned P = 0; P != Daemons.size(); ++P)
      if ((cellOf(P) == Isolated) != Inside)
        Net.cut(D, {Endpoint::Kind::Daemon, P}, S.Duration);
  }
}

void World::takeLogFault(const Step &S) {
  switch (S.Kind) {
  case StepKind::LogDown:
    return Log.down(S.Duration);
  case StepKind::LogLosesAnswers:
    return Log.loseAnswers(S.Duration);
  case StepKind::LogSlow:
    return Log.slow(S.Duration);
  case StepKind::TrimLog:
    return Log.trim();
  case StepKind::DamageSnapshots:
    return Log.damageSnapshots(S.Duration);
  default:
    return;
  }
}

void World::takeWorkerFault(const Step &S) {
  WorkerHost &W = worker(S.TargetDraw);
  switch (S.Kind) {
  case StepKind::WorkerRestart:
    return W.restart();
  case StepKind::WorkerPause:
    return W.pause(S.Duration);
  case StepKind::WorkerCut:
    for (unsigned D = 0; D != Daemons.size(); ++D)
      Net.cut(D,
              {Endpoint::Kind::Worker, unsigned(S.TargetDraw % Workers.size())},
              S.Duration);
    return;
  case StepKind::WorkerDelaysAnswers:
    return W.delayAnswers(S.Duration);
  case StepKind::WorkerFailsTasks:
    return W.failTasks(S.Duration);
  case StepKind::WorkerHoldsCommands:
    return W.holdCommands(S.Duration);
  case StepKind::HostLeaves:
    W.leave(S.Duration + Millis{8'000});
    if (S.ChoiceDraw % 2)
      Sim.after(S.Duration, [&W, S] { W.turnOff(S.Duration); });
    return;
  case StepKind::RackLost:
    for (auto &O : Workers)
      if (O->entry().Rack == W.entry().Rack)
        O->turnOff(S.Duration);
    return;
  case StepKind::Chaos:
    return Net.chaos(S.Duration);
  default:
    return;
  }
}

void World::heal() {
  Net.heal();
  Log.heal();
  for (auto &W : Workers)
    W->heal();
  for (auto &D : Daemons)
    D->heal();
}

void World::finish() {
  heal();
  // Fifteen seconds pass before requests are repeated, so that planned stops
  // are completed and daemons start again.
  for (Millis Settled = Sim.now() + Millis{15'000};
       !FirstViolation && Sim.now() < Settled;) {
    advance(Millis{1'000});
    heal();
  }
  if (!FirstViolation) {
    AllCallers.repeatUnresolved(*Daemons.front());
    AllCallers.restorePlans(*Daemons.front());
  }
  for (Millis End = Sim.now() + FinishTimeout;
       !FirstViolation && Sim.now() < End;) {
    advance(Millis{2'000});
    if (TestOracle.allEnded())
      break;
  }
  if (!FirstViolation)
    TestOracle.checkNow();
  if (!FirstViolation)
    TestOracle.checkEnd();
  advance(WorkerLease);
  if (!FirstViolation)
    TestOracle.checkNothingRuns();
  if (!FirstViolation)
    TestOracle.checkNow();
}

RunResult World::result() const {
  RunResult R;
  R.Steps = StepsTaken;
  R.Faults = FaultSteps + Net.faults();
  R.Records = TestOracle.referenceState().nextOffset();
  for (const auto &W : Workers)
    for (const auto &E : W->audit())
      R.Starts += E.Started.has_value();
  for (const CallerRequest &Q : AllCallers.requests())
    R.FinalOutcomes += Q.FinalAnswer.has_value();
  R.FirstViolation = FirstViolation;
  return R;
}

} // namespace heathersaddle::fuzz
