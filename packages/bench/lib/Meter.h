#ifndef HEATHERSADDLE_BENCH_LIB_METER_H
#define HEATHERSADDLE_BENCH_LIB_METER_H

#include "Load.h"
#include "heathersaddle/pool/PoolAccess.h"
#include <set>

namespace heathersaddle::bench {

/// Values of one figure; times in milliseconds.
class Samples {
public:
  void add(double Value) { Values.push_back(Value); }
  double quantile(double Q) const;
  double mean() const;
  double sum() const;
  std::size_t count() const { return Values.size(); }

private:
  std::vector<double> Values;
};

/// What one run of a load measures.
struct Meter {
  void decided(double Ms, std::size_t Decisions) {
    DecideMs.add(Ms);
    this->Decisions += Decisions;
  }
  void completed(const LoadJob &J, base::WallMs Ms) {
    auto Value = static_cast<double>(Ms);
    Completion[J.View.Account].add(Value);
    CompletionAll.add(Value);
    if (J.View.Shape.Tasks > 1)
      CompletionGang.add(Value);
    else if (!J.View.Urgent)
      CompletionSmall.add(Value);
  }
  void started(const LoadJob &J, base::WallMs WaitMs, bool Entitled);
  void sampleFragmentation(const pool::Table &T, const Load &L,
                           const std::set<std::size_t> &Waiting);

  Samples DecideMs, UrgentStart, GangWait, Reclaim, Fragmentation;
  Samples CompletionAll, CompletionGang, CompletionSmall;
  /// While jobs wait: shares of the cell's slots that are free, and that are
  /// free but kept for a gang.
  Samples Idle, HeldIdle;
  std::map<std::string, Samples> Completion;
  std::size_t Decisions = 0;
  unsigned Violations = 0, Entitled = 0;
  unsigned Stops = 0, Cancelled = 0, Unknown = 0, Unfinished = 0;
  unsigned EndedUnrun = 0;
  std::int64_t LostMs = 0; ///< Slot-milliseconds of repeated work.
};

} // namespace heathersaddle::bench

#endif
