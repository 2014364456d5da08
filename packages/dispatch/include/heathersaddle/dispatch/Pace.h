#ifndef HEATHERSADDLE_DISPATCH_PACE_H
#define HEATHERSADDLE_DISPATCH_PACE_H

#include "heathersaddle/base/Time.h"
#include "heathersaddle/dispatch/Fleet.h"
#include <optional>
#include <span>

namespace heathersaddle::dispatch {

/// Of a run, in percent of its work a second.
using Rate = double;

/// How fast one run advances, from the percentages that its worker lists.
class Pace {
public:
  /// The run begins its work at \p Now; not for one that resumes, as where it
  /// goes on is not known.
  void begin(base::MonoTime Now);
  /// Takes a percentage read at \p Now; \p Usual is the rate of runs of its
  /// kind, or 0.
  void sample(unsigned Percent, base::MonoTime Now, Rate Usual);
  /// The rate lately; none when it is not known.
  std::optional<Rate> latest(base::MonoTime Now) const;

private:
  bool Begun = false;
  unsigned FromPercent = 0;
  base::MonoTime FromAt{};
  std::optional<Rate> Last;
  base::MonoTime LastAt{};
};

/// The usual rates of steps and, for steps of which only one run is known, of
/// queues.
class UsualRates {
public:
  /// Starts over with what is known now; queues are remembered.
  void clear() { Steps.clear(); }
  /// A run of \p Step, which is the same for all its tasks, has this rate now.
  void add(const UnitId &Step, Rate R) { Steps[Step].push_back(R); }
  /// All have been noted.
  void aggregate(const std::map<UnitId, std::string> &QueueOf);
  /// 0 when nothing is known. A run that nothing but its queue can be compared
  /// with is judged by its first run only: if it is no faster elsewhere, it is
  /// long by itself.
  Rate of(const UnitId &Step, const std::string &Queue, unsigned Run) const;

private:
  std::map<UnitId, std::vector<Rate>> Steps;
  std::map<std::string, Rate, std::less<>> Queues;
};

/// Whether a worker is slow, from the paces of its runs.
class SlowWorkerDetector {
public:
  /// \p Shares of the usual rates, of all runs for which both are known.
  void update(std::span<const double> Shares, base::MonoTime Now);
  bool isSlow(base::MonoTime Now) const { return Now < SlowUntil; }

private:
  base::MonoTime SlowUntil{};
};

/// Whether a run at this share of the usual rate ends much sooner when it is
/// stopped and runs again elsewhere.
bool worthMoving(double Share, unsigned Percent, Rate Usual,
                 bool SavesProgress);

} // namespace heathersaddle::dispatch

#endif
