#ifndef HEATHERSADDLE_BENCH_LIB_METER_H
#define HEATHERSADDLE_BENCH_LIB_METER_H

#include "Load.h"
#include "heathersaddle/pool/PoolAccess.h"
#include <set>

namespace heathersaddle::bench {

/// The values of one figure. Times are in milliseconds.
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

/// The measurements of one run of a load.
struct Meter {
  void recordDecisions(double Ms, std::size_t Decisions) {
    DecisionMs.add(Ms);
    this->Decisions += Decisions;
  }
  void recordCompletion(const LoadJob &J, base::WallMs Ms) {
    auto Value = static_cast<double>(Ms);
    CompletionByAccount[J.View.Account].add(Value);
    CompletionAll.add(Value);
    if (J.View.Shape.Tasks > 1)
      CompletionGang.add(Value);
    else if (!J.View.Urgent)
      CompletionSingleTask.add(Value);
  }
  void recordStart(const LoadJob &J, base::WallMs WaitMs, bool IsEntitled);
  void sampleFragmentation(const pool::Table &T, const Load &L,
                           const std::set<std::size_t> &Waiting);

  Samples DecisionMs, UrgentWait, GangWait, EntitledWait, Fragmentation;
  Samples CompletionAll, CompletionGang, CompletionSingleTask;
  /// While jobs wait: the share of the cell's slots that are free, and the
  /// share that are free but held for a gang.
  Samples IdleShare, HeldIdleShare;
  std::map<std::string, Samples> CompletionByAccount;
  std::size_t Decisions = 0;
  unsigned GuaranteeViolations = 0, GuaranteeRequests = 0;
  unsigned Stops = 0, Cancelled = 0, UnknownOutcomes = 0, Unfinished = 0;
  unsigned EndedWithoutRun = 0;
  std::int64_t RepeatedWorkMs = 0; ///< Slot-milliseconds of repeated work.
};

} // namespace heathersaddle::bench

#endif
