// Load pattern: some workers take several times as long for everything they
// run, without failing; gangs wait for their slowest member.
//
// Estimates of work are off by up to ten times, so a run is compared with the
// other tasks of its step, and a single run with its queue. The rate is
// measured over short windows, so that a worker that becomes slow in the middle
// of a run is detected. One run at a usual rate is enough to clear the worker.
// A gang member that has reached 100 percent may wait for the others, so it has
// no rate.
#include "heathersaddle/dispatch/Pace.h"
#include <algorithm>
#include <cmath>

namespace heathersaddle::dispatch {

using base::Millis;
using base::MonoTime;

/// Shortest and longest window over which a rate is measured.
static constexpr Millis MinRateWindow{450};
static constexpr Millis MaxRateWindow{3'000};
/// Percentages are whole numbers, so a window ends only once the run has gained
/// this much, or would have at its usual rate.
static constexpr double MinGainPercent = 4;
/// Older measurements say little about the current rate and are ignored.
static constexpr Millis RateValidity{3'000};
/// A run is extrapolated once it has gained this much, and is precise enough to
/// tell its worker's speed after this gain and time: percentages are whole
/// numbers, and the time of a start is known to within some 20 ms.
static constexpr unsigned MinGainToExtrapolate = 10;
static constexpr unsigned MinPreciseGain = 20;
static constexpr Millis MinPreciseTime{400};
/// The rates of consecutive parts of a run are compared; a part ends after this
/// gain and time. Rounding of percentages then changes a rate by 0.05.
static constexpr double PartGainPercent = 20;
static constexpr Millis MinPartTime{600};
/// Parts with less gain tell that the run stands still, not how fast it is.
static constexpr double MinPartGainPercent = 4;
/// The rate has changed if its logarithm differs by more than this.
static constexpr double MinRateChange = 0.25;
/// Below this share of the usual rate a run is slow. Tasks of a step differ by
/// a third; slow workers take at least four times as long.
static constexpr double SlowRateShare = 0.35;
/// How long a worker counts as slow after its last slow measurement.
static constexpr Millis SlowWorkerPeriod{6'000};
/// A run is moved if staying takes more than this many times as long as running
/// again elsewhere, including the fixed cost of the stop and the new start.
static constexpr double MinMoveSpeedup = 2;
static constexpr double MoveCostMs = 500;
/// Jobs of a queue differ by up to three times, so a single run is compared
/// with this share of the usual rate of the queue.
static constexpr double QueueRateShare = 0.7;
/// Weight of a new step in the moving average of its queue.
static constexpr double QueueRateWeight = 0.02;

void Pace::begin(MonoTime Now) {
  Started = true;
  FromZero = true;
  StartPercent = LatestPercent = 0;
  StartAt = LatestAt = Now;
  PartStartPercent = 0;
  PartStart = Now;
  WindowStartPercent = 0;
  WindowStart = Now;
}

void Pace::sample(unsigned Percent, MonoTime Now, Rate UsualRate) {
  if (Percent >= 100) {
    LatestRate.reset();
    if (Started && !CompleteAt)
      CompleteAt = Now;
    return;
  }
  if (!Started) {
    begin(Now);
    FromZero = false;
    WindowStartPercent = StartPercent = LatestPercent = PartStartPercent =
        Percent;
    return;
  }
  comparePart(Percent, Now);
  if (Percent > LatestPercent) {
    LatestPercent = Percent;
    LatestAt = Now;
  }
  auto ElapsedSeconds =
      static_cast<double>((Now - WindowStart).count()) / 1'000;
  double GainedPercent = Percent - std::min(Percent, WindowStartPercent);
  if (Now - WindowStart < MinRateWindow ||
      (GainedPercent < MinGainPercent &&
       UsualRate * ElapsedSeconds < MinGainPercent &&
       Now - WindowStart < MaxRateWindow))
    return;
  LatestRate = GainedPercent / ElapsedSeconds;
  LatestRateAt = Now;
  WindowStartPercent = Percent;
  WindowStart = Now;
}

std::optional<Rate> Pace::latest(MonoTime Now) const {
  return LatestRate && Now - LatestRateAt <= RateValidity ? LatestRate
                                                          : std::nullopt;
}

void Pace::comparePart(unsigned Percent, MonoTime Now) {
  double Seconds = static_cast<double>((Now - PartStart).count()) / 1'000;
  double Gain = Percent - std::min(Percent, PartStartPercent);
  if (Now - PartStart < MinPartTime ||
      (Gain < PartGainPercent &&
       PartRate.value_or(0) * Seconds < PartGainPercent))
    return;
  std::optional<Rate> Before = PartRate;
  PartRate.reset();
  if (Gain >= MinPartGainPercent)
    PartRate = Gain / Seconds;
  Changed |= Before && PartRate &&
             std::abs(std::log(*PartRate / *Before)) > MinRateChange;
  PartStartPercent = Percent;
  PartStart = Now;
}

void Pace::restart() {
  if (!Started || CompleteAt)
    return;
  FromZero = false;
  StartPercent = LatestPercent;
  StartAt = LatestAt;
}

void Pace::finish(MonoTime Now) {
  if (!CompleteAt && Started)
    CompleteAt = Now;
}

std::optional<double> Pace::wholeMs() const {
  unsigned Gain = LatestPercent - StartPercent;
  // The first report of 100 percent may come late, so a gain below it is
  // preferred.
  if (Gain >= MinGainToExtrapolate)
    // A percentage is rounded down, by half a percent on average.
    return static_cast<double>((LatestAt - StartAt).count()) * 100 /
           (Gain + (FromZero ? 0.5 : 0));
  if (CompleteAt && FromZero)
    return static_cast<double>((*CompleteAt - StartAt).count());
  return std::nullopt;
}

bool Pace::isPrecise() const {
  if (LatestPercent - StartPercent >= MinPreciseGain)
    return LatestAt - StartAt >= MinPreciseTime;
  return CompleteAt && FromZero && *CompleteAt - StartAt >= MinPreciseTime;
}

void UsualRates::aggregate(const std::map<UnitId, std::string> &QueueOf) {
  for (auto &[Step, Rates] : StepRates) {
    // The upper median, so that the faster of two gang members sets the usual
    // rate.
    auto Middle = Rates.begin() + static_cast<std::ptrdiff_t>(Rates.size() / 2);
    std::nth_element(Rates.begin(), Middle, Rates.end());
    Rate Median = *Middle;
    auto Queue = QueueOf.find(Step);
    if (Queue != QueueOf.end() && Median > 0) {
      Rate &Q = QueueRates[Queue->second];
      Q = Q > 0 ? Q + QueueRateWeight * (Median - Q) : Median;
    }
    if (Rates.size() > 1)
      Rates = {Median, Median};
  }
}

Rate UsualRates::of(const UnitId &Step, const std::string &Queue,
                    unsigned Run) const {
  auto S = StepRates.find(Step);
  if (S != StepRates.end() && S->second.size() > 1)
    return S->second.front();
  auto Q = QueueRates.find(Queue);
  return Run > 1 || Q == QueueRates.end() ? 0 : QueueRateShare * Q->second;
}

void SlowWorkerDetector::update(std::span<const double> Shares, MonoTime Now) {
  if (Shares.empty())
    return;
  bool Slow = *std::max_element(Shares.begin(), Shares.end()) < SlowRateShare;
  SlowUntil = Slow ? Now + SlowWorkerPeriod : MonoTime{};
}

bool worthMoving(double Share, unsigned Percent, Rate UsualRate,
                 bool SavesProgress) {
  if (Share >= SlowRateShare || UsualRate <= 0)
    return false;
  double WholeMs = 100 / UsualRate * 1'000;
  double RemainingMs = WholeMs * (100 - std::min(100U, Percent)) / 100;
  double RerunMs = (SavesProgress ? RemainingMs : WholeMs) + MoveCostMs;
  // Without any progress the run would never end.
  return Share <= 0 || RemainingMs / Share > MinMoveSpeedup * RerunMs;
}

} // namespace heathersaddle::dispatch
