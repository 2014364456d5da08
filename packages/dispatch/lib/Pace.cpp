// Load pattern: a part of the workers takes several times as long for all they
// run, without failing; gangs wait for their slowest member.
//
// The pace is measured over short windows, so that a worker that turns slow in
// the middle of a run is noticed. Estimates are rough, so only a pace far below
// the estimate counts, and one run at a usual pace clears the worker. A member
// of a gang that is through with its part stands still and says nothing.
#include "heathersaddle/dispatch/Pace.h"
#include <algorithm>

namespace heathersaddle::dispatch {

using base::Millis;
using base::MonoTime;

/// The least window, and the share of a run that one covers at the estimated
/// speed: percentages are whole numbers.
static constexpr Millis PaceWindow{450};
static constexpr double WindowShare = 0.06;
/// Older measurements say little.
static constexpr Millis PaceMemory{3'000};
/// Estimates may be half of what a run takes, and tasks differ by a third;
/// slow workers take four times as long and more.
static constexpr double SlowShare = 0.35;
/// How long a worker is avoided after it was seen to be slow.
static constexpr Millis SlowAvoid{6'000};
/// A move must end the run this many times sooner, beyond its fixed cost: the
/// stop, the new start, and a doubtful estimate.
static constexpr double MoveGain = 2;
static constexpr Millis MoveCost{500};

void Pace::begin(MonoTime Now) {
  Begun = true;
  FromPercent = 0;
  FromAt = Now;
}

void Pace::sample(unsigned Percent, MonoTime Now, Millis Estimate) {
  if (Percent >= 100) {
    Share.reset();
    return;
  }
  if (!Begun) {
    begin(Now);
    FromPercent = Percent;
    return;
  }
  auto Passed = static_cast<double>((Now - FromAt).count());
  auto Whole = static_cast<double>(Estimate.count());
  if (Now - FromAt < PaceWindow || Passed < WindowShare * Whole)
    return;
  double Gained =
      static_cast<double>(Percent - std::min(Percent, FromPercent)) / 100;
  Share = Gained * Whole / Passed;
  ShareAt = Now;
  FromPercent = Percent;
  FromAt = Now;
}

std::optional<double> Pace::latest(MonoTime Now) const {
  return Share && Now - ShareAt <= PaceMemory ? Share : std::nullopt;
}

void SlowWorker::judge(std::span<const double> Shares, MonoTime Now) {
  if (Shares.empty())
    return;
  bool Slow = *std::max_element(Shares.begin(), Shares.end()) < SlowShare;
  SlowUntil = Slow ? Now + SlowAvoid : MonoTime{};
}

bool worthMoving(double Share, unsigned Percent, Millis Estimate,
                 bool SavesProgress) {
  if (Share >= SlowShare)
    return false;
  auto Whole = static_cast<double>(Estimate.count());
  double Left = Whole * (100 - std::min(100U, Percent)) / 100;
  double Again =
      (SavesProgress ? Left : Whole) + static_cast<double>(MoveCost.count());
  // Without any progress no end is in sight.
  return Share <= 0 || Left / Share > MoveGain * Again;
}

} // namespace heathersaddle::dispatch
