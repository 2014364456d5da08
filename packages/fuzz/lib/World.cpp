// Approach: the world is drawn from the seed, then steps act on it. Faults end
// by themselves after the time that their step names, so removing a step
// removes its whole effect.
#include "World.h"
#include <algorithm>

namespace heathersaddle::fuzz {

// Shorter than the defaults, so that lapses and snapshots happen within a run.
static constexpr Millis Lease{20'000};
static constexpr Millis SyncWait{6'000};
static constexpr Millis UnknownGrace{4'000};
static constexpr Millis ReclaimGrace{2'000};
static constexpr std::uint64_t SnapshotRecords = 40;
static constexpr Millis SetUpLimit{60'000};
static constexpr Millis EndLimit{1'500'000};

World::World(const RunSettings &Settings)
    : Rng(Settings.Seed), Net(Sim, Rng),
      Log(Sim, Rng,
          [this](std::uint64_t Offset, const std::string &Text) {
            Check.onRecord(Offset, Text);
          }),
      Around{Sim,
             Rng,
             Net,
             Log,
             Workers,
             Daemons,
             [this](std::string Rule, std::string Detail) {
               report(std::move(Rule), std::move(Detail));
             },
             Settings.Trace},
      Requests(Around), Check(Around, Requests, Lease),
      RememberStopped(Settings.RememberStopped) {
  addHosts();
}

void World::report(std::string Rule, std::string Detail) {
  if (Found)
    return;
  Found = Violation{std::move(Rule), std::move(Detail), Taken, Sim.now()};
  Sim.stop();
}

std::string World::cellOf(unsigned Index) const {
  return "dc" + std::to_string(Index % Cells);
}

control::NodeSettings World::nodeSettings(unsigned Index) const {
  control::NodeSettings S;
  S.Name = "d" + std::to_string(Index);
  S.Address = S.Name + ":1";
  S.DataCentre = cellOf(Index);
  S.WorkerLease = Lease;
  S.SyncWait = SyncWait;
  S.UnknownGrace = UnknownGrace;
  S.SnapshotRecords = SnapshotRecords;
  S.Policy.ReclaimGrace = ReclaimGrace;
  S.Policy.GangReservationAfter = Millis{5'000};
  S.Policy.InitialQuarantine = Millis{5'000};
  S.Policy.MaxQuarantine = Millis{20'000};
  return S;
}

void World::addHosts() {
  Cells = unsigned(Rng.within(1, 2));
  auto WorkerCount = unsigned(Rng.within(2 * Cells, 6));
  auto DaemonCount = unsigned(Rng.within(2, 4));
  for (unsigned I = 0; I != WorkerCount; ++I) {
    control::HostEntry E;
    E.Name = "w" + std::to_string(I);
    E.Address = E.Name + ":1";
    E.DataCentre = cellOf(I);
    E.Rack = E.DataCentre + "-r" + std::to_string(I / Cells / 2);
    E.Slots = E.Accelerators = WorkerSlots;
    E.Cores = 8;
    E.MemoryMb = 1'000;
    Workers.push_back(std::make_unique<WorkerHost>(
        Sim, Rng, E, RememberStopped,
        [this, N = E.Name](const std::string &Text) {
          report("protocol", N + ": " + Text);
        }));
  }
  for (unsigned I = 0; I != DaemonCount; ++I)
    Daemons.push_back(std::make_unique<DaemonHost>(Around, I, nodeSettings(I)));
}

DaemonHost &World::daemon(std::uint64_t Draw) {
  return *Daemons[Draw % Daemons.size()];
}

WorkerHost &World::worker(std::uint64_t Draw) {
  return *Workers[Draw % Workers.size()];
}

// The lists are checked every second, everything else after the step.
void World::pass(Millis Time) {
  Millis Until = Sim.now() + Time;
  while (!Found && Sim.now() < Until) {
    Sim.runUntil(std::min(Until, Sim.now() + Millis{1'000}));
    if (!Found)
      Check.checkLists();
  }
}

bool World::publishFirst(const state::ListChange &Change) {
  std::size_t Before = Requests.published().size();
  for (Millis End = Sim.now() + SetUpLimit; !Found && Sim.now() < End;) {
    Requests.publish(*Daemons.front(), Change);
    pass(Millis{2'000});
    if (Requests.published().size() > Before)
      return true;
  }
  report("set-up",
         "the first lists were not accepted: " + Requests.lastRefusal());
  return false;
}

void World::setUp() {
  for (auto &D : Daemons)
    D->start();
  pass(Millis{10'000});
  if (publishFirst(firstPlans()))
    publishFirst(firstCustomers());
}

void World::take(const Step &S) {
  ++Taken;
  FaultSteps += isFault(S.Kind);
  if (Around.Sink)
    Around.trace("step", describe(S));
  if (S.Kind <= StepKind::CancelBurst)
    takeCallerStep(S);
  else if (S.Kind <= StepKind::Idle)
    takeOperatorStep(S);
  else if (S.Kind <= StepKind::CutRegion || S.Kind == StepKind::ClockJump)
    takeDaemonFault(S);
  else if (S.Kind <= StepKind::DamageSnapshots)
    takeLogFault(S);
  else
    takeWorkerFault(S);
  pass(S.Advance);
  if (!Found)
    Check.checkNow();
}

void World::takeCallerStep(const Step &S) {
  DaemonHost &D = daemon(S.A);
  std::size_t Known = Requests.requests().size();
  if (S.Kind == StepKind::Submit)
    return Requests.submitNew(D, Random(S.B));
  if (Known == 0)
    return;
  std::size_t Which = S.B % Known;
  switch (S.Kind) {
  case StepKind::Repeat:
    return Requests.repeat(D, Which);
  case StepKind::ConflictingKey:
    return Requests.submitConflicting(D, Which);
  case StepKind::Wait:
    return Requests.wait(D, Which, S.Lasts);
  case StepKind::Cancel:
    return Requests.cancel(D, Which);
  case StepKind::CancelBurst:
    for (std::size_t I = Known - std::min<std::size_t>(Known, 8); I != Known;
         ++I)
      Requests.cancel(D, I);
    return;
  default:
    return;
  }
}

void World::takeOperatorStep(const Step &S) {
  if (S.Kind == StepKind::Idle)
    return;
  Requests.publish(daemon(S.A), Random(S.B));
  if (S.Kind == StepKind::PublishRace)
    Requests.publish(daemon(S.A + 1), Random(S.B));
}

void World::takeDaemonFault(const Step &S) {
  auto Index = unsigned(S.A % Daemons.size());
  DaemonHost &D = *Daemons[Index];
  switch (S.Kind) {
  case StepKind::CrashDaemon:
    return D.crash(S.Lasts);
  case StepKind::StopDaemon:
    return D.stopGracefully(S.Lasts);
  case StepKind::PauseDaemon:
    return D.pause(S.Lasts);
  case StepKind::CutLog:
    Net.cut(Index, {Endpoint::Kind::Log, 0}, S.Lasts);
    if (S.B % 2)
      Net.cut(Index, {Endpoint::Kind::Hosts, 0}, S.Lasts);
    return;
  case StepKind::CutWorkers:
    for (unsigned I = 0; I != Workers.size(); ++I)
      if (S.B >> I & 1)
        Net.cut(Index, {Endpoint::Kind::Worker, I}, S.Lasts);
    return;
  case StepKind::CutPeers:
    for (unsigned I = 0; I != Daemons.size(); ++I)
      Net.cut(Index, {Endpoint::Kind::Daemon, I}, S.Lasts);
    return;
  case StepKind::CutRegion:
    return cutRegion(S);
  case StepKind::ClockJump:
    return D.jumpClock(Millis(std::int64_t(S.B % 7'200'000) - 3'600'000));
  default:
    return;
  }
}

// One data centre is cut off from the log and from all others.
void World::cutRegion(const Step &S) {
  std::string Side = cellOf(unsigned(S.A % Cells));
  for (unsigned D = 0; D != Daemons.size(); ++D) {
    bool Inside = cellOf(D) == Side;
    if (Inside) {
      Net.cut(D, {Endpoint::Kind::Log, 0}, S.Lasts);
      Net.cut(D, {Endpoint::Kind::Hosts, 0}, S.Lasts);
    }
    for (unsigned W = 0; W != Workers.size(); ++W)
      if ((cellOf(W) == Side) != Inside)
        Net.cut(D, {Endpoint::Kind::Worker, W}, S.Lasts);
    for (unsigned P = 0; P != Daemons.size(); ++P)
      if ((cellOf(P) == Side) != Inside)
        Net.cut(D, {Endpoint::Kind::Daemon, P}, S.Lasts);
  }
}

void World::takeLogFault(const Step &S) {
  switch (S.Kind) {
  case StepKind::LogDown:
    return Log.down(S.Lasts);
  case StepKind::LogLosesAnswers:
    return Log.loseAnswers(S.Lasts);
  case StepKind::LogSlow:
    return Log.slow(S.Lasts);
  case StepKind::Trim:
    return Log.trim();
  case StepKind::DamageSnapshots:
    return Log.damageSnapshots(S.Lasts);
  default:
    return;
  }
}

void World::takeWorkerFault(const Step &S) {
  WorkerHost &W = worker(S.A);
  switch (S.Kind) {
  case StepKind::WorkerRestart:
    return W.restart();
  case StepKind::WorkerPause:
    return W.pause(S.Lasts);
  case StepKind::WorkerCut:
    for (unsigned D = 0; D != Daemons.size(); ++D)
      Net.cut(D, {Endpoint::Kind::Worker, unsigned(S.A % Workers.size())},
              S.Lasts);
    return;
  case StepKind::WorkerLate:
    return W.late(S.Lasts);
  case StepKind::WorkerFailing:
    return W.failing(S.Lasts);
  case StepKind::WorkerHoldsCommands:
    return W.holdCommands(S.Lasts);
  case StepKind::HostLeaves:
    W.leave(S.Lasts + Millis{8'000});
    if (S.B % 2)
      Sim.after(S.Lasts, [&W, S] { W.off(S.Lasts); });
    return;
  case StepKind::RackLost:
    for (auto &O : Workers)
      if (O->entry().Rack == W.entry().Rack)
        O->off(S.Lasts);
    return;
  case StepKind::Chaos:
    return Net.chaos(S.Lasts);
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
  // Some seconds pass before requests are repeated: planned stops come to
  // their end, and daemons start again.
  for (Millis Settled = Sim.now() + Millis{15'000};
       !Found && Sim.now() < Settled;) {
    pass(Millis{1'000});
    heal();
  }
  if (!Found) {
    Requests.repeatOpen(*Daemons.front());
    Requests.restorePlans(*Daemons.front());
  }
  for (Millis End = Sim.now() + EndLimit; !Found && Sim.now() < End;) {
    pass(Millis{2'000});
    if (Check.allEnded())
      break;
  }
  if (!Found)
    Check.checkNow();
  if (!Found)
    Check.checkEnd();
  pass(Lease);
  if (!Found)
    Check.checkNothingRuns();
  if (!Found)
    Check.checkNow();
}

RunResult World::result() const {
  RunResult R;
  R.Steps = Taken;
  R.Faults = FaultSteps + Net.faults();
  R.Records = Check.log().nextOffset();
  for (const auto &W : Workers)
    for (const auto &E : W->audit())
      R.Starts += E.Started.has_value();
  for (const CallerRequest &Q : Requests.requests())
    R.Finals += Q.Final.has_value();
  R.Found = Found;
  return R;
}

} // namespace heathersaddle::fuzz
