#include "heathersaddle/workload/Job.h"
#include "heathersaddle/workload/Limits.h"
#include <algorithm>

namespace heathersaddle::workload {

bool JobSpec::isLongRunning() const {
  return std::any_of(Steps.begin(), Steps.end(),
                     [](const Step &S) { return S.LongRunning; });
}

std::int64_t JobSpec::longestChainMs() const {
  // Steps depend on earlier steps only, so one pass is enough.
  std::vector<std::int64_t> End(Steps.size(), 0);
  std::int64_t Longest = 0;
  for (std::size_t N = 0; N < Steps.size(); ++N) {
    for (unsigned Dependency : Steps[N].DependsOn)
      End[N] = std::max(End[N], End[Dependency]);
    End[N] += Steps[N].EstimateMs;
    Longest = std::max(Longest, End[N]);
  }
  return Longest;
}

std::int64_t JobSpec::objectiveMs() const {
  // The product may be too large for the cast.
  return static_cast<std::int64_t>(
             std::min(Stretch * static_cast<double>(longestChainMs()),
                      static_cast<double>(MaxMs))) +
         LatencyObjectiveMs;
}

std::int64_t workerMs(const Step &S, const Resources &Total,
                      std::int64_t Workers) {
  auto Share = [Workers](std::int64_t Need, std::int64_t Sum) {
    return Sum ? static_cast<double>(Need) * static_cast<double>(Workers) /
                     static_cast<double>(Sum)
               : 0.0;
  };
  Resources R = S.room();
  double LargestShare =
      std::max({Share(R.CpuMilli, Total.CpuMilli),
                Share(R.MemoryMb, Total.MemoryMb), Share(R.Gpus, Total.Gpus)});
  return static_cast<std::int64_t>(
      std::min(LargestShare * static_cast<double>(S.EstimateMs),
               static_cast<double>(MaxAmount)));
}

const TaskProgress &Job::task(const TaskKey &K) const {
  static const TaskProgress NeverPlaced;
  auto It = Tasks.find(K);
  return It == Tasks.end() ? NeverPlaced : It->second;
}

bool Job::stepDone(unsigned Occurrence, unsigned Step) const {
  for (unsigned N = 0; N < Spec.Steps[Step].Count; ++N)
    if (task({Occurrence, Step, N}).Phase != TaskPhase::Done)
      return false;
  return true;
}

bool Job::stepReady(unsigned Occurrence, unsigned Step) const {
  const auto &Dependencies = Spec.Steps[Step].DependsOn;
  return std::all_of(Dependencies.begin(), Dependencies.end(),
                     [&](unsigned D) { return stepDone(Occurrence, D); });
}

bool Job::allDone() const {
  for (unsigned K = 0; K < Spec.occurrences(); ++K)
    for (unsigned S = 0; S < Spec.Steps.size(); ++S)
      if (Spec.Steps[S].LongRunning || !stepDone(K, S))
        return false;
  return true;
}

} // namespace heathersaddle::workload
