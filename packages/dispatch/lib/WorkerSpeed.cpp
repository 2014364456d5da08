// Load pattern: workers of a pool run permanently at different speeds, from 0.6
// to 1.6 of the usual one; the tasks of a step differ by 0.3 (standard
// deviation of the logarithm), 3 in 100 take 7 times as long, and the estimates
// of jobs are off by 0.2 to 0.9.
//
// All quantities are logarithms: run time = run time of the step at the usual
// speed + deviation of the task - speed of the worker. The run time of the step
// is taken from the other runs of the step, corrected by the estimates of their
// workers, and from the queue's learned ratio to the estimate.
//
// Whether workers differ at all is decided without a model of the errors: each
// worker has two estimates, from different steps. Their covariance over the
// workers is the variance of the true speeds, and their difference shows the
// size of the errors. While the covariance is not clearly above what the errors
// alone give, all workers count as usual, so placement is as without estimates.
#include "heathersaddle/dispatch/WorkerSpeed.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace heathersaddle::dispatch {

/// Variance of the run times of the tasks of a step: 0.3 squared, as on the
/// deployments. NoiseScale corrects it.
static constexpr double TaskVariance = 0.09;
/// Variance of the ratio of run time to estimate in a queue of which little is
/// known, and its lower bound.
static constexpr double UnknownQueueVariance = 1;
static constexpr double MinQueueVariance = 0.02;
/// Smallest weight of a step in the moving average of its queue.
static constexpr double MinQueueWeight = 0.03;
/// Degrees of freedom of the distribution by which observations are weighted. A
/// task that takes 7 times as long gets about a tenth of the usual weight.
static constexpr double TailFreedom = 4;
/// Larger deviations count as this one, about a factor of 3.
static constexpr double MaxDeviation = 1.2;
/// The information of this many usual observations is kept per half; older ones
/// are forgotten.
static constexpr double MaxInformation = 15 / TaskVariance;
/// A worker is taken to have changed its speed once the mean of the latest
/// deviations exceeds this many standard deviations. A constant speed exceeds
/// it now and then, which costs the precision of some observations.
static constexpr double MaxDrift = 1.0;
static constexpr double DriftWeight = 0.3;
/// Single deviations count for at most this many standard deviations, so that
/// two tasks in the tail are not enough.
static constexpr double MaxDriftPart = 2;
/// What is left per half once the speed has changed: less than one usual
/// observation.
static constexpr double InformationAfterChange = 2.5;
/// Once this many workers, and this share of them, have changed at about the
/// same time, the others may have changed, too: those on which nothing runs
/// don't show it. Of these changes, this share is remembered at each refresh,
/// so for about 3 s.
static constexpr double MinCommonChanges = 4;
static constexpr double MinCommonShare = 0.08;
static constexpr double ChangesThatRemain = 0.94;
/// Variance of the speed of a worker without observations, as long as nothing
/// is known of the others: a factor of 1.5.
static constexpr double UnknownSpeedVariance = 0.16;
/// Workers that differ by less than this (standard deviation of the logarithm)
/// count as equal, as they are all in one class.
static constexpr double MinSpread = 0.08;
/// The covariance must exceed its error by this factor before workers count as
/// different, and by the smaller one to remain so.
static constexpr double SignificantSpread = 4;
static constexpr double SpreadThatRemains = 3;
/// The error is itself uncertain where few workers are compared.
static constexpr double FewWorkers = 8;
static constexpr std::size_t MinWorkersToCompare = 8;
/// The error of an observation is taken from its distance to the mean of at
/// least this many others, averaged over about the 200 latest ones.
static constexpr unsigned MinObservationsForNoise = 3;
static constexpr double NoiseWeight = 0.005;
/// A class changes once the estimate is this far beyond its limit, in classes.
static constexpr double ClassHysteresis = 0.2;
/// With a larger error, the class may well be another one.
static constexpr double MaxErrorOfKnown = 0.22;

static double tailWeight(double Deviation, double Variance) {
  return std::min(1.0, (TailFreedom + 1) /
                           (TailFreedom + Deviation * Deviation / Variance));
}

double WorkerSpeed::information() const {
  return Halves[0].Information + Halves[1].Information;
}

double WorkerSpeed::mean() const {
  double Sum = information();
  return Sum > 0 ? (Halves[0].Mean * Halves[0].Information +
                    Halves[1].Mean * Halves[1].Information) /
                       Sum
                 : 0;
}

void WorkerSpeed::observe(double LogFactor, double Variance, std::size_t Step) {
  if (Observations++ && Step != LatestStep)
    CurrentHalf = 1 - CurrentHalf;
  LatestStep = Step;
  // The mean of the other half is not used, as the halves must be independent.
  Half &H = Halves[CurrentHalf];
  double Deviation = LogFactor - H.Mean;
  double Expected =
      Variance + (H.Information > 0 ? 1 / H.Information : UnknownSpeedVariance);
  double Weight = tailWeight(Deviation, Expected);
  Deviation = std::clamp(Deviation, -MaxDeviation, MaxDeviation);
  Drift += DriftWeight * (std::clamp(Deviation / std::sqrt(Expected),
                                     -MaxDriftPart, MaxDriftPart) -
                          Drift);
  if (std::abs(Drift) > MaxDrift) {
    forget();
  }
  double Added = Weight / Variance;
  H.Information = std::min(H.Information + Added, MaxInformation);
  H.Mean += std::min(1.0, Added / H.Information) * Deviation;
}

void WorkerSpeed::noteChange() {
  Changed = true;
  forget();
}

void WorkerSpeed::forget() {
  // Both halves take the new speed from the next observations. Their means stay
  // independent.
  for (Half &H : Halves)
    H.Information = std::min(H.Information, InformationAfterChange);
  Drift = 0;
}

double SpeedModel::spread() const {
  return Differ ? std::sqrt(SpreadVariance) : 0;
}

double SpeedModel::variance(const WorkerSpeed &W) const {
  if (!Differ)
    return 0;
  double Known = W.information() / NoiseScale;
  return 1 / (1 / SpreadVariance + Known);
}

double SpeedModel::logFactor(const WorkerSpeed &W) const {
  double Known = W.information() / NoiseScale;
  return Differ && Known > 0 ? (W.mean() - Center) * Known * variance(W) : 0;
}

SpeedEstimate SpeedModel::estimate(const WorkerSpeed &W) const {
  SpeedEstimate E;
  if (!Differ)
    return E;
  E.LogFactor = logFactor(W);
  E.Error = std::sqrt(variance(W));
  E.Class = W.Class;
  E.Known = E.Error <= MaxErrorOfKnown;
  return E;
}

double SpeedModel::runTimeRatio(const std::string &Queue) const {
  auto It = Queues.find(Queue);
  return It == Queues.end() ? 1 : std::exp(It->second.LogRatio);
}

void SpeedModel::observeStep(const UnitId &Step, const std::string &Queue,
                             double EstimateMs,
                             std::span<const RunProgressTime> Runs) {
  struct Element {
    double LogTime;
    double Weight;
  };
  std::vector<Element> Elements;
  Elements.reserve(Runs.size());
  for (const RunProgressTime &R : Runs) {
    // While it is not known that workers differ, they may do so.
    double Uncertain = Differ ? variance(*R.On) : UnknownSpeedVariance / 2;
    Elements.push_back({std::log(std::max(1.0, R.WholeMs)) + logFactor(*R.On),
                        1 / (TaskVariance + Uncertain)});
  }
  StepLevel &Level = Steps[Step];
  QueueLevel &Q = Queues[Queue];
  double LogEstimate = std::log(std::max(1.0, EstimateMs));
  if (!Q.Steps)
    Q.Variance = UnknownQueueVariance;
  double PriorWeight = 1 / Q.Variance;
  double Prior = LogEstimate + Q.LogRatio;
  // Weighted around the median, so that tasks in the tail hardly count.
  std::vector<double> Sorted;
  Sorted.reserve(Elements.size() + 1);
  for (const Element &E : Elements)
    Sorted.push_back(E.LogTime);
  if (Level.All.SumOfWeights > 0)
    Sorted.push_back(Level.All.WeightedSum / Level.All.SumOfWeights);
  auto Middle = Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 2);
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  double Median = Sorted.size() > 2 ? *Middle : Prior;
  double SumOfWeights = Level.All.SumOfWeights;
  double WeightedSum = Level.All.WeightedSum;
  for (Element &E : Elements) {
    double Variance =
        1 / E.Weight + (Sorted.size() > 2 ? TaskVariance : Q.Variance);
    E.Weight *= tailWeight(E.LogTime - Median, Variance);
    SumOfWeights += E.Weight;
    WeightedSum += E.Weight * E.LogTime;
  }
  if (!Level.CountedForQueue && SumOfWeights > 0) {
    Level.CountedForQueue = true;
    double Deviation = WeightedSum / SumOfWeights - LogEstimate - Q.LogRatio;
    double Share = std::max(MinQueueWeight, 1.0 / (Q.Steps + 2));
    Q.LogRatio += Share * Deviation;
    Q.Variance += Share * (Deviation * Deviation - Q.Variance);
    Q.Variance = std::max(Q.Variance, MinQueueVariance);
    ++Q.Steps;
  }
  std::map<const WorkerSpeed *, StepLevel::Part> ByWorker;
  for (std::size_t N = 0; N < Runs.size(); ++N) {
    auto [It, New] = ByWorker.try_emplace(Runs[N].On);
    if (auto Before = Level.ByWorker.find(Runs[N].On);
        New && Before != Level.ByWorker.end())
      It->second = Before->second;
    It->second.add(Elements[N].Weight, Elements[N].LogTime);
  }
  std::size_t StepNumber = std::hash<std::string>()(Step.Job) + 31 * Step.Step +
                           1'009 * Step.Occurrence;
  for (std::size_t N = 0; N < Runs.size(); ++N) {
    if (!Runs[N].Observe)
      continue;
    // Runs on the same worker tell nothing about how it compares with others.
    const Element &E = Elements[N];
    const StepLevel::Part &Own = ByWorker[Runs[N].On];
    double OtherWeights = SumOfWeights - Own.SumOfWeights + PriorWeight;
    double Others =
        (WeightedSum - Own.WeightedSum + PriorWeight * Prior) / OtherWeights;
    double LogTime = std::log(std::max(1.0, Runs[N].WholeMs));
    WorkerSpeed &On = *Runs[N].On;
    double Variance = TaskVariance + 1 / OtherWeights;
    if (On.observations() >= MinObservationsForNoise) {
      double Off =
          std::clamp(Others - LogTime - On.mean(), -MaxDeviation, MaxDeviation);
      double Scale = Off * Off / (Variance + 1 / On.information());
      ObservedNoise += NoiseWeight * (Scale - ObservedNoise);
    }
    On.observe(Others - LogTime, Variance, StepNumber);
    Level.All.add(E.Weight, E.LogTime);
    Level.ByWorker[Runs[N].On].add(E.Weight, E.LogTime);
  }
}

void SpeedModel::forgetJob(std::string_view Job) {
  auto First = Steps.lower_bound({std::string(Job), 0, 0, 0});
  auto Last = First;
  while (Last != Steps.end() && Last->first.Job == Job)
    ++Last;
  Steps.erase(First, Last);
}

bool SpeedModel::refresh(std::span<WorkerSpeed *const> Workers) {
  RecentChanges *= ChangesThatRemain;
  for (WorkerSpeed *W : Workers)
    RecentChanges += std::exchange(W->Changed, false);
  bool StartsAgain =
      RecentChanges >=
      std::max(MinCommonChanges,
               MinCommonShare * static_cast<double>(Workers.size()));
  if (StartsAgain) {
    RecentChanges = 0;
    for (WorkerSpeed *W : Workers)
      W->forget();
  }
  double Sum = 0;
  double MeanSum = 0;
  std::size_t Compared = 0;
  for (const WorkerSpeed *W : Workers)
    if (double Known = W->information(); Known > 0) {
      double Weight = 1 / (UnknownSpeedVariance + 1 / Known);
      Sum += Weight;
      MeanSum += Weight * W->mean();
    }
  Center = Sum > 0 ? MeanSum / Sum : 0;
  double Covariance = 0;
  double ErrorOfCovariance = 0;
  double Difference = 0;
  double ClaimedDifference = 0;
  Sum = 0;
  for (const WorkerSpeed *W : Workers) {
    const auto &[A, B] = W->Halves;
    if (A.Information <= 0 || B.Information <= 0)
      continue;
    ++Compared;
    double Claimed = 1 / A.Information + 1 / B.Information;
    double Weight = 1 / (UnknownSpeedVariance + Claimed);
    auto Deviation = [this](double Mean) {
      return std::clamp(Mean - Center, -MaxDeviation, MaxDeviation);
    };
    Sum += Weight;
    Covariance += Weight * Deviation(A.Mean) * Deviation(B.Mean);
    ErrorOfCovariance += Weight * Weight / (A.Information * B.Information);
    double Apart = Deviation(A.Mean) - Deviation(B.Mean);
    Difference += Weight * Apart * Apart;
    ClaimedDifference += Weight * Claimed;
  }
  if (Compared >= MinWorkersToCompare) {
    // The halves of a worker that changes its speed differ for a while.
    // Those of few workers may agree by chance, so what earlier observations
    // show is the lower bound.
    NoiseScale = std::max(ObservedNoise, Difference / ClaimedDifference);
    Covariance /= Sum;
    double Error = NoiseScale * std::sqrt(ErrorOfCovariance) / Sum;
    Error *= 1 + FewWorkers / static_cast<double>(Compared);
    bool Differed = Differ;
    Differ =
        Covariance > MinSpread * MinSpread * (Differed ? 0.5 : 1) &&
        Covariance > Error * (Differed ? SpreadThatRemains : SignificantSpread);
    if (Differ)
      SpreadVariance = Covariance;
  } else {
    Differ = false;
  }
  for (WorkerSpeed *W : Workers) {
    double Place = logFactor(*W) / SpeedClassWidth;
    int Class = W->Class;
    if (!Differ)
      Class = 0;
    else if (std::abs(Place - Class) > 0.5 + ClassHysteresis)
      Class = static_cast<int>(std::lround(Place));
    W->Class = Class;
  }
  return StartsAgain;
}

} // namespace heathersaddle::dispatch
