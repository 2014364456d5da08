#include "Meter.h"
#include <algorithm>
#include <bit>
#include <numeric>

namespace heathersaddle::bench {

// A job entitled to guaranteed slots must start within the reclaim grace period
// plus the start latency.
static constexpr base::WallMs MaxEntitledWaitMs = 10'100;

double Samples::quantile(double Q) const {
  if (Values.empty())
    return 0;
  std::vector<double> Sorted = Values;
  auto Rank = static_cast<std::size_t>(Q * static_cast<double>(Sorted.size()));
  Rank = std::min(Rank, Sorted.size() - 1);
  std::nth_element(Sorted.begin(), Sorted.begin() + static_cast<long>(Rank),
                   Sorted.end());
  return Sorted[Rank];
}

double Samples::sum() const {
  return std::accumulate(Values.begin(), Values.end(), 0.0);
}

double Samples::mean() const {
  return Values.empty() ? 0 : sum() / static_cast<double>(Values.size());
}

void Meter::recordStart(const LoadJob &J, base::WallMs WaitMs,
                        bool IsEntitled) {
  auto Wait = static_cast<double>(WaitMs);
  if (J.View.Urgent)
    UrgentWait.add(Wait);
  if (J.View.Shape.Tasks > 1)
    GangWait.add(Wait);
  if (!IsEntitled)
    return;
  EntitledWait.add(Wait);
  ++GuaranteeRequests;
  GuaranteeViolations += WaitMs > MaxEntitledWaitMs;
}

// Counts the free accelerators that jobs of the shape can use: only whole
// tasks, and only whole gangs per worker or rack if the shape requires that.
static unsigned usableSlots(const pool::Table &T, const pool::Shape &S) {
  auto Fits = [&](pool::WorkerId W) {
    const pool::WorkerRow &R = T.Rows[W];
    return pool::countFits(R.freeSlots() & R.Accelerated, S.SlotsPerTask);
  };
  unsigned Tasks = 0;
  if (S.Within == pool::Adjacency::Rack) {
    for (const auto &[Name, Rows] : T.Racks) {
      unsigned Here = 0;
      for (pool::WorkerId W : Rows)
        Here += Fits(W);
      Tasks += Here / S.Tasks * S.Tasks;
    }
    return Tasks * S.SlotsPerTask;
  }
  for (pool::WorkerId W : T.WorkersByName)
    Tasks += S.Within == pool::Adjacency::Worker ? Fits(W) / S.Tasks * S.Tasks
                                                 : Fits(W);
  return Tasks / S.Tasks * S.Tasks * S.SlotsPerTask;
}

void Meter::sampleFragmentation(const pool::Table &T, const Load &L,
                                const std::set<std::size_t> &Waiting) {
  const pool::Shape *Largest = nullptr;
  for (std::size_t J : Waiting) {
    const pool::Shape &S = L.Jobs[J].View.Shape;
    if (S.Accelerators && (!Largest || S.totalSlots() > Largest->totalSlots()))
      Largest = &S;
  }
  unsigned Free = 0;
  for (pool::WorkerId W : T.WorkersByName)
    Free += std::popcount(T.Rows[W].freeSlots() & T.Rows[W].Accelerated);
  if (!Largest || !Free)
    return;
  Fragmentation.add(1 - static_cast<double>(usableSlots(T, *Largest)) / Free);
}

} // namespace heathersaddle::bench
