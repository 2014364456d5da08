#ifndef HEATHERSADDLE_DISPATCH_PACE_H
#define HEATHERSADDLE_DISPATCH_PACE_H

#include "heathersaddle/base/Time.h"
#include "heathersaddle/dispatch/Fleet.h"
#include <optional>
#include <span>
#include <utility>

namespace heathersaddle::dispatch {

/// Progress rate of a run, in percent of its work per second.
using Rate = double;

/// Measures the progress rate of one run from the percentages that its worker
/// reports.
class Pace {
public:
  /// Starts the measurement at 0 percent at \p Now. Not for a run that resumes
  /// from a checkpoint, because its first percentage is not known: only
  /// sample() is called for it, and its first percentage becomes the start.
  void begin(base::MonoTime Now);
  /// Adds a percentage read at \p Now. \p UsualRate is the usual rate of
  /// comparable runs, or 0 if it is not known; a window also ends once a run at
  /// this rate would have gained enough to be measured.
  void sample(unsigned Percent, base::MonoTime Now, Rate UsualRate);
  /// The latest measured rate; none if there is none or it is too old.
  std::optional<Rate> latest(base::MonoTime Now) const;
  /// The run has ended successfully at \p Now.
  void finish(base::MonoTime Now);
  /// How long the whole run takes at its mean rate so far, or took; none while
  /// too little of it has been measured.
  std::optional<double> wholeMs() const;
  /// Whether wholeMs() is precise enough to tell how fast the worker is.
  bool isPrecise() const;
  /// Whether the rate has changed in the middle of the run since the latest
  /// call, which only its worker can be the cause of.
  bool takeChange() { return std::exchange(Changed, false); }
  /// Starts the measurement of wholeMs() again at the latest percentage.
  void restart();

private:
  void comparePart(unsigned Percent, base::MonoTime Now);
  bool Started = false;
  unsigned WindowStartPercent = 0;
  base::MonoTime WindowStart{};
  std::optional<Rate> LatestRate;
  base::MonoTime LatestRateAt{};
  // From the start of the measurement to the latest percentage below 100, and
  // to the first of 100.
  bool FromZero = false;
  unsigned StartPercent = 0;
  base::MonoTime StartAt{};
  unsigned LatestPercent = 0;
  base::MonoTime LatestAt{};
  std::optional<base::MonoTime> CompleteAt;
  // The rates of consecutive parts of the run.
  unsigned PartStartPercent = 0;
  base::MonoTime PartStart{};
  std::optional<Rate> PartRate;
  bool Changed = false;
};

/// The usual rates of steps and of queues. The rate of the queue is used for
/// steps with a known rate of only one run.
class UsualRates {
public:
  /// Removes the rates of all steps; those of queues are kept.
  void clear() { StepRates.clear(); }
  /// Adds the current rate of one run. \p Step is the same value for all tasks
  /// of the step.
  void add(const UnitId &Step, Rate R) { StepRates[Step].push_back(R); }
  /// Computes the usual rates; call it after all rates have been added.
  void aggregate(const std::map<UnitId, std::string> &QueueOf);
  /// The usual rate of a step, or 0 if nothing is known. \p Run is the number
  /// of the run. The rate of the queue applies only to the first run of a task:
  /// if the task is no faster on another worker, it is long rather than slowed
  /// down.
  Rate of(const UnitId &Step, const std::string &Queue, unsigned Run) const;

private:
  std::map<UnitId, std::vector<Rate>> StepRates;
  std::map<std::string, Rate, std::less<>> QueueRates;
};

/// Decides from the rates of its runs whether a worker is slow.
class SlowWorkerDetector {
public:
  /// \p Shares holds the ratio of the measured to the usual rate for each run
  /// on the worker for which both are known.
  void update(std::span<const double> Shares, base::MonoTime Now);
  bool isSlow(base::MonoTime Now) const { return Now < SlowUntil; }

private:
  base::MonoTime SlowUntil{};
};

/// Whether a run at \p Share of the usual rate would end much sooner if it were
/// stopped and run again on another worker.
bool worthMoving(double Share, unsigned Percent, Rate UsualRate,
                 bool SavesProgress);

} // namespace heathersaddle::dispatch

#endif
