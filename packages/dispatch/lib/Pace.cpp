// Load pattern: a part of the workers takes several times as long for all they
// run, without failing; gangs wait for their slowest member.
//
// Estimates of work are off by up to ten times, so a run is compared with the
// other tasks of its step, and a lone one with its queue. The pace is measured
// over short windows, so that a worker that turns slow in the middle of a run
// is noticed. One run at a usual pace clears the worker. A member of a gang
// that is through with its part stands still and says nothing.
#include "heathersaddle/dispatch/Pace.h"
#include <algorithm>

namespace heathersaddle::dispatch {

using base::Millis;
using base::MonoTime;

/// The least and the longest window.
static constexpr Millis PaceWindow{450};
static constexpr Millis PaceWindowMost{3'000};
/// Percentages are whole numbers: a window ends when this much was gained, or
/// would have been at the usual rate.
static constexpr double TellingGain = 4;
/// Older measurements say little.
static constexpr Millis PaceMemory{3'000};
/// Tasks of a step differ by a third; slow workers take four times as long and
/// more.
static constexpr double SlowShare = 0.35;
/// How long a worker is avoided after it was seen to be slow.
static constexpr Millis SlowAvoid{6'000};
/// A move must end the run this many times sooner, beyond its fixed cost: the
/// stop and the new start.
static constexpr double MoveGain = 2;
static constexpr double MoveCostMs = 500;
/// Jobs of a queue differ by up to three times, so a lone run is compared with
/// this share of the queue's usual rate.
static constexpr double QueueShare = 0.7;
/// Weight of a step among what is remembered of its queue.
static constexpr double QueueMemory = 0.02;

void Pace::begin(MonoTime Now) {
  Begun = true;
  FromPercent = 0;
  FromAt = Now;
}

void Pace::sample(unsigned Percent, MonoTime Now, Rate Usual) {
  if (Percent >= 100) {
    Last.reset();
    return;
  }
  if (!Begun) {
    begin(Now);
    FromPercent = Percent;
    return;
  }
  auto Passed = static_cast<double>((Now - FromAt).count()) / 1'000;
  double Gained = Percent - std::min(Percent, FromPercent);
  if (Now - FromAt < PaceWindow ||
      (Gained < TellingGain && Usual * Passed < TellingGain &&
       Now - FromAt < PaceWindowMost))
    return;
  Last = Gained / Passed;
  LastAt = Now;
  FromPercent = Percent;
  FromAt = Now;
}

std::optional<Rate> Pace::latest(MonoTime Now) const {
  return Last && Now - LastAt <= PaceMemory ? Last : std::nullopt;
}

void UsualRates::aggregate(const std::map<UnitId, std::string> &QueueOf) {
  for (auto &[Step, Rates] : Steps) {
    // The upper median: of two members of a gang, the slow one is the other.
    auto Middle = Rates.begin() + static_cast<std::ptrdiff_t>(Rates.size() / 2);
    std::nth_element(Rates.begin(), Middle, Rates.end());
    Rate Median = *Middle;
    auto Queue = QueueOf.find(Step);
    if (Queue != QueueOf.end() && Median > 0) {
      Rate &Q = Queues[Queue->second];
      Q = Q > 0 ? Q + QueueMemory * (Median - Q) : Median;
    }
    if (Rates.size() > 1)
      Rates = {Median, Median};
  }
}

Rate UsualRates::of(const UnitId &Step, const std::string &Queue,
                    unsigned Run) const {
  auto S = Steps.find(Step);
  if (S != Steps.end() && S->second.size() > 1)
    return S->second.front();
  auto Q = Queues.find(Queue);
  return Run > 1 || Q == Queues.end() ? 0 : QueueShare * Q->second;
}

void SlowWorkerDetector::update(std::span<const double> Shares, MonoTime Now) {
  if (Shares.empty())
    return;
  bool Slow = *std::max_element(Shares.begin(), Shares.end()) < SlowShare;
  SlowUntil = Slow ? Now + SlowAvoid : MonoTime{};
}

bool worthMoving(double Share, unsigned Percent, Rate Usual,
                 bool SavesProgress) {
  if (Share >= SlowShare || Usual <= 0)
    return false;
  double WholeMs = 100 / Usual * 1'000;
  double Left = WholeMs * (100 - std::min(100U, Percent)) / 100;
  double Again = (SavesProgress ? Left : WholeMs) + MoveCostMs;
  // Without any progress no end is in sight.
  return Share <= 0 || Left / Share > MoveGain * Again;
}

} // namespace heathersaddle::dispatch
