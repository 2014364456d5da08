// Load pattern: some tasks crash each worker that starts them, beside healthy
// work that is lost with the worker, on a pool whose workers also crash by
// themselves.
//
// Which task it was cannot be seen from a crash. What tells the two apart is
// time: a task that crashes its workers does so soon after each start, while a
// worker that crashes by itself does so at any moment of a run. So a crash
// counts against a task only if its own worker crashed and its run had not been
// at work for ClearedAfter, and a run that is at work for so long clears its
// task. The evidence of a crash is the chance that the worker of a healthy task
// crashes within the time that the run had taken, at the rate at which workers
// crash without the task. The evidence of crashes in a row is added up; a task
// is given up when it leaves practically no doubt.
//
// Until then a suspected task costs isolation and time. The first time that it
// runs again, it is kept apart from other suspects where that costs nothing.
// From the second crash on it runs alone, and on another worker than before: it
// takes no other work with it, and nothing else can have caused a further
// crash. As all rules that keep room from work, these yield to KeptRoom.cpp.
#include "heathersaddle/dispatch/Crashes.h"
#include <algorithm>
#include <array>
#include <cmath>

namespace heathersaddle::dispatch {

/// Crashes in a row from which a task may be given up.
static constexpr unsigned MinCrashes = 3;
/// The evidence, in decibans, that it takes after so many crashes and after
/// each further one: the more crashes in a row, the rarer for a healthy task.
static constexpr std::array<unsigned, 3> NeededDecibans{90, 60, 45};
/// A single worker that crashes under a task may be at fault itself.
static constexpr unsigned MinWorkers = 2;
/// Lower bound of the rate of crashes, in crashes per worker and second, as a
/// calm time does not promise another one.
static constexpr double MinCrashRate = 0.002;
/// Shortest time of a run: what passes between its start and the first call to
/// its worker that fails.
static constexpr base::Millis MinRunTime{20};
/// The least chance of a crash that another suspect beside the task may
/// explain, and of one that a fault of the worker may explain.
static constexpr double MinChanceIfShared = 0.1;
static constexpr double MinChanceIfRepeated = 0.03;
/// How long crashes are remembered for the rate.
static constexpr base::Millis CrashMemory{60'000};
/// How long a suspect waits for a worker that has not crashed under it.
static constexpr std::int64_t OtherWorkerWaitMs = 3'000;
static constexpr base::Millis FirstPause{250};
static constexpr base::Millis LongestPause{2'000};

static bool isAtTheSameTime(const WorkerCrash &A, const WorkerCrash &B) {
  return A.At >= B.At - OutageWindow && A.At <= B.At + OutageWindow;
}

static bool isAnotherWithout(const UnitId &Unit, const WorkerCrash &C,
                             const WorkerCrash &Crash) {
  return C.Worker != Crash.Worker && !C.Units.contains(Unit);
}

void CrashHistory::add(WorkerCrash Crash) {
  while (!Crashes.empty() && Crash.At - Crashes.front().At > CrashMemory)
    Crashes.pop_front();
  Crashes.push_back(std::move(Crash));
}

double CrashHistory::rateWithout(const UnitId &Unit, const WorkerCrash &Crash,
                                 const GroupSizes &Workers,
                                 base::MonoTime Now) const {
  auto Seconds = [](base::Millis Time) {
    return std::chrono::duration<double>(std::max(Time, OutageWindow)).count();
  };
  base::MonoTime End = std::min(Now, Crash.At + OutageWindow);
  double Around = Seconds(End - (Crash.At - OutageWindow));
  double Lately = Seconds(End - std::max(Since, Crash.At - CrashMemory));
  double Highest = MinCrashRate;
  for (const std::string &Group : Crash.Groups) {
    auto Size = Workers.find(Group);
    if (Size == Workers.end() || Size->second < 2)
      continue;
    auto Others = static_cast<double>(Size->second - 1);
    unsigned CountAround = 0;
    unsigned CountLately = 0;
    for (const WorkerCrash &C : Crashes) {
      if (C.Explained || !C.Groups.contains(Group) ||
          !isAnotherWithout(Unit, C, Crash))
        continue;
      ++CountLately;
      CountAround += isAtTheSameTime(C, Crash);
    }
    Highest = std::max({Highest, CountAround / (Others * Around),
                        CountLately / (Others * Lately)});
  }
  return Highest;
}

unsigned crashEvidence(const CrashCircumstances &C) {
  double Seconds =
      std::chrono::duration<double>(std::max(C.RanFor, MinRunTime)).count();
  double Chance = std::min(1.0, std::max(C.Rate, MinCrashRate) * Seconds);
  if (!C.MainSuspect)
    Chance = std::max(Chance, MinChanceIfShared);
  if (!C.AnotherWorker)
    Chance = std::max(Chance, MinChanceIfRepeated);
  return static_cast<unsigned>(std::lround(-10 * std::log10(Chance)));
}

bool crashesItsWorkers(unsigned Crashes, std::size_t Workers,
                       unsigned Decibans) {
  if (Workers < MinWorkers || Crashes < MinCrashes)
    return false;
  std::size_t Further = Crashes - MinCrashes;
  return Decibans >=
         NeededDecibans[std::min(Further, NeededDecibans.size() - 1)];
}

base::Millis pauseAfterCrash(unsigned Crashes) {
  if (Crashes < AloneFromCrashes)
    return base::Millis(0);
  unsigned Doublings = std::min(Crashes - AloneFromCrashes, 8U);
  return std::min(FirstPause * (1U << Doublings), LongestPause);
}

bool mayShare(const Worker &On, const WaitingTasks &W) {
  if (W.MayUseAnyRoom)
    return true;
  if (W.Crashes >= AloneFromCrashes && W.AvoidedWorkers.contains(On.Id) &&
      W.SeenWaitingMs < OtherWorkerWaitMs)
    return false;
  return On.TenantCrashes < AloneFromCrashes &&
         (W.Crashes < AloneFromCrashes || !On.Occupied);
}

void addTenant(Worker &On, const WaitingTasks &W) {
  On.Occupied = true;
  On.TenantCrashes = std::max(On.TenantCrashes, W.Crashes);
}

} // namespace heathersaddle::dispatch
