// Load pattern: urgent gangs with a stretch of 1.5 next to work with a stretch
// of 3, on a pool of which a third each runs at 0.6, 1.0 and 1.6.
//
// An urgent gang is late on a worker at 0.6 however early it starts, while the
// other work is in time there. So urgent work takes the fastest workers, and
// other work the slowest with which it should still end in time. A gang ends
// with its slowest member, so its members are placed on workers of the same
// class as the slowest one as far as possible.
#include "SpeedChoice.h"
#include <algorithm>
#include <cmath>
#include <functional>

namespace heathersaddle::dispatch {

/// Standard deviation of the logarithm of the run times of the tasks of a step.
static constexpr double TaskSpread = 0.3;
/// Urgent work expects workers to be slower than estimated by this many times
/// the error of the estimate.
static constexpr double UrgentErrors = 1;
/// A worker of unknown speed is explored by this many runs at a time: about as
/// many observations make it known.
static constexpr std::size_t RunsToExplore = 3;
/// From the plan to the start of a task: the placement is stored, then sent.
static constexpr std::int64_t StartMs = 100;
/// Run times of other work than urgent work count as at most this multiple of
/// the estimates: an account that understates them gets no faster workers.
static constexpr double MaxRunTimeRatio = 1.2;

SpeedRange speedRange(const Fleet &F) {
  SpeedRange Range;
  for (const Worker &On : F.Workers) {
    Range.Slowest = std::min(Range.Slowest, On.Speed.Class);
    Range.Fastest = std::max(Range.Fastest, On.Speed.Class);
    Range.Differ |= On.Speed.Class != 0 || !On.Speed.Known;
  }
  return Range;
}

int classOfMostWorkers(const Fleet &F) {
  std::vector<int> Classes;
  for (const Worker &On : F.Workers)
    if (On.Usable)
      Classes.push_back(On.Speed.Class);
  if (Classes.empty())
    return 0;
  auto Middle =
      Classes.begin() + static_cast<std::ptrdiff_t>((Classes.size() - 1) / 2);
  std::nth_element(Classes.begin(), Middle, Classes.end(), std::greater<>());
  return *Middle;
}

/// Whether work that can tolerate it is to find out how fast the worker is.
static bool isUnexplored(const Worker &On) {
  return !On.Speed.Known && On.Allocations.size() < RunsToExplore;
}

int speedClass(const Worker &On, const WaitingTasks &W) {
  if (W.Job->Spec.Priority == 0)
    return static_cast<int>(
        std::lround((On.Speed.LogFactor - UrgentErrors * On.Speed.Error) /
                    SpeedClassWidth));
  // Work that would be in time on a worker of usual speed takes one that is not
  // known for one of the slowest that suffice.
  if (W.NeededSpeed < 0 && isUnexplored(On))
    return W.NeededSpeed;
  return On.Speed.Class;
}

/// By which factor the longest of \p Tasks run times is above the median,
/// approximately.
static double unevenness(std::size_t Tasks) {
  auto N = static_cast<double>(Tasks);
  return std::exp(TaskSpread * 0.62 * std::sqrt(2 * std::log(N + 1)));
}

int neededSpeedClass(const WaitingTasks &W, const SpeedRange &Range,
                     std::int64_t NowMs) {
  bool Urgent = W.Job->Spec.Priority == 0;
  double Ratio =
      Urgent ? W.RunTimeRatio : std::min(W.RunTimeRatio, MaxRunTimeRatio);
  double Needed =
      static_cast<double>(W.RemainingMs) * Ratio * unevenness(W.Tasks.size());
  auto Left = static_cast<double>(W.ObjectiveMs - NowMs - StartMs);
  if (Left <= 0)
    return Range.Fastest + 1;
  double Class =
      std::round(std::log(std::max(1.0, Needed) / Left) / SpeedClassWidth);
  return static_cast<int>(
      std::clamp<double>(Class, Range.Slowest, Range.Fastest + 1));
}

SpeedOrder SpeedOrder::forTasks(const WaitingTasks &W) {
  if (!W.SpeedMatters)
    return {};
  if (W.Job->Spec.Priority == 0)
    return {Kind::FastestFirst, 0};
  return {Kind::FromClass, W.NeededSpeed};
}

SpeedOrder SpeedOrder::forGang(int Slowest) {
  return {Kind::FromClass, Slowest};
}

int SpeedOrder::rank(const Worker &On, const WaitingTasks &W) const {
  // Above any difference of classes.
  constexpr int TooSlow = 1'000;
  if (Order == Kind::Alike)
    return 0;
  int Class = speedClass(On, W);
  if (Order == Kind::FastestFirst)
    return -Class;
  // Before known workers that suffice, so that it is soon known, too.
  if (W.Job->Spec.Priority != 0 && W.NeededSpeed < 0 && isUnexplored(On))
    return -1;
  return Class >= From ? Class - From : TooSlow + From - Class;
}

} // namespace heathersaddle::dispatch
