#ifndef HEATHERSADDLE_DISPATCH_WORKERSPEED_H
#define HEATHERSADDLE_DISPATCH_WORKERSPEED_H

#include "heathersaddle/dispatch/Fleet.h"
#include <array>
#include <span>

namespace heathersaddle::dispatch {

/// What the runs on one incarnation of a worker tell about its speed.
class WorkerSpeed {
public:
  /// Adds the speed that one run shows, as the logarithm of the factor against
  /// the usual speed, with its variance. \p Step is the same value for runs of
  /// one step.
  void observe(double LogFactor, double Variance, std::size_t Step);
  /// A run shows that the speed has changed: earlier observations hardly count
  /// any more.
  void noteChange();
  /// The mean of the observations; 0 if there are none.
  double mean() const;
  /// How much the observations tell: the inverse of the variance of the mean.
  double information() const;
  unsigned observations() const { return Observations; }

private:
  friend class SpeedModel;
  void forget();
  struct Half {
    double Mean = 0;
    double Information = 0;
  };
  /// Steps are assigned to the two halves in turn, so that the errors of the
  /// halves are independent.
  std::array<Half, 2> Halves;
  unsigned CurrentHalf = 0;
  std::size_t LatestStep = 0;
  unsigned Observations = 0;
  /// Mean of the latest deviations from the means, in standard deviations.
  double Drift = 0;
  bool Changed = false; ///< Since the latest SpeedModel::refresh().
  int Class = 0;        ///< As of the latest SpeedModel::refresh().
};

/// The measured progress of one run.
struct RunProgressTime {
  WorkerSpeed *On = nullptr;
  /// How long the whole run takes at the measured rate.
  double WholeMs = 0;
  /// The run is measured well enough and was not an observation before.
  bool Observe = false;
};

/// Compares the runs on all workers, and from that estimates their speeds and
/// the ratio of real to estimated run times for each queue.
///
/// \code
///   SpeedModel M;
///   M.observeStep(Step, "queue", 2'000, Runs);
///   M.refresh(Speeds);
///   SpeedEstimate E = M.estimate(*Speeds[0]);
/// \endcode
class SpeedModel {
public:
  /// Adds the runs of \p Step to be observed, compared with each other, the
  /// step's earlier runs, and \p EstimateMs with the learned ratio of its
  /// queue.
  void observeStep(const UnitId &Step, const std::string &Queue,
                   double EstimateMs, std::span<const RunProgressTime> Runs);
  /// Removes what was learned of the steps of \p Job.
  void forgetJob(std::string_view Job);
  /// Learns by how much the workers differ, and sets their classes. Returns
  /// whether all estimates start again since many workers have changed.
  bool refresh(std::span<WorkerSpeed *const> Workers);
  SpeedEstimate estimate(const WorkerSpeed &W) const;
  /// Whether the workers differ by more than the error of the estimates.
  bool workersDiffer() const { return Differ; }
  /// Standard deviation of the logarithm of the speeds; 0 while they don't
  /// differ.
  double spread() const;
  /// How many times its estimate work of the queue takes at the usual speed.
  double runTimeRatio(const std::string &Queue) const;

private:
  struct StepLevel {
    struct Part {
      double SumOfWeights = 0;
      double WeightedSum = 0; ///< Of the logarithms of run times.
      void add(double Weight, double LogTime) {
        SumOfWeights += Weight;
        WeightedSum += Weight * LogTime;
      }
    };
    Part All;
    std::map<const WorkerSpeed *, Part> ByWorker;
    bool CountedForQueue = false;
  };
  struct QueueLevel {
    double LogRatio = 0;
    double Variance = 0;
    unsigned Steps = 0;
  };
  double logFactor(const WorkerSpeed &W) const;
  double variance(const WorkerSpeed &W) const;
  std::map<UnitId, StepLevel> Steps;
  std::map<std::string, QueueLevel, std::less<>> Queues;
  double Center = 0;
  double SpreadVariance = 0;
  /// How many times larger the errors are than the observations claim.
  double NoiseScale = 1;
  double ObservedNoise = 1; ///< The same, from the latest observations.
  bool Differ = false;
  double RecentChanges = 0; ///< Decays exponentially.
};

} // namespace heathersaddle::dispatch

#endif
