#ifndef HEATHERSADDLE_DISPATCH_PACE_H
#define HEATHERSADDLE_DISPATCH_PACE_H

#include "heathersaddle/base/Time.h"
#include <optional>
#include <span>

namespace heathersaddle::dispatch {

/// How fast one run advances, from the percentages that its worker lists.
class Pace {
public:
  /// The run begins its work at \p Now; not for one that resumes, as where it
  /// goes on is not known.
  void begin(base::MonoTime Now);
  /// Takes a percentage read at \p Now of a run that should take \p Estimate.
  void sample(unsigned Percent, base::MonoTime Now, base::Millis Estimate);
  /// The share of the estimated speed lately; none when it is not known.
  std::optional<double> latest(base::MonoTime Now) const;

private:
  bool Begun = false;
  unsigned FromPercent = 0;
  base::MonoTime FromAt{};
  std::optional<double> Share;
  base::MonoTime ShareAt{};
};

/// Whether a worker is slow, from the paces of its runs.
class SlowWorker {
public:
  /// \p Shares of the estimated speed, of all runs for which it is known.
  void judge(std::span<const double> Shares, base::MonoTime Now);
  bool slow(base::MonoTime Now) const { return Now < SlowUntil; }

private:
  base::MonoTime SlowUntil{};
};

/// Whether a run at this pace ends much sooner when it is stopped and runs
/// again elsewhere.
bool worthMoving(double Share, unsigned Percent, base::Millis Estimate,
                 bool SavesProgress);

} // namespace heathersaddle::dispatch

#endif
