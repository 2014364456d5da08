#ifndef HEATHERSADDLE_BENCH_LIB_BASELINES_H
#define HEATHERSADDLE_BENCH_LIB_BASELINES_H

#include "heathersaddle/policy/Scheduler.h"
#include "heathersaddle/pool/PoolAccess.h"
#include <map>
#include <set>

namespace heathersaddle::bench {

enum class BaselineKind {
  FirstFit, ///< First come, first served by first fit; the head blocks.
  Backfill, ///< Best fit; jobs may pass the head by declared run time.
  SlotQuota ///< Best fit by share; guarantees are numbers of slots.
};

/// A simple scheduler to compare with, which takes the events of
/// policy::Scheduler. Backfill and SlotQuota put urgent jobs first; only
/// SlotQuota stops jobs.
class Baseline {
public:
  explicit Baseline(BaselineKind K) : Kind(K) {}

  void setTerms(std::string_view Account, const policy::AccountTerms &Terms);
  void jobPending(const policy::JobView &Job, base::WallMs Now);
  void jobPlaced(std::string_view Job, std::span<const pool::Placement> Tasks,
                 base::WallMs Now);
  void jobStopping(std::string_view Job);
  void attemptEnded(std::string_view Job, policy::AttemptEnd Why,
                    std::span<const std::string> Failed, base::WallMs Now);
  void jobFinished(std::string_view Job, base::WallMs Now) {
    (void)Now;
    jobRemoved(Job);
  }
  void jobRemoved(std::string_view Job);
  void usage(std::string_view, std::int64_t, base::WallMs) {}
  std::vector<policy::Decision> decide(const pool::Pool &P, base::WallMs Now);
  bool hasMore() const { return false; }
  std::size_t pendingCount() const { return Queue.size(); }

private:
  struct JobEntry {
    policy::JobView View;
    bool Placed = false;
    bool Stopping = false;
    base::WallMs StartMs = 0;
    base::WallMs LastReclaimMs = -1; ///< When jobs were last stopped for it.
  };
  using Key = std::tuple<bool, base::WallMs, std::string>;
  using Masks = std::vector<pool::SlotMask>;

  Key keyOf(const JobEntry &Entry) const;
  void release(JobEntry &Entry);
  void place(JobEntry &Entry, const pool::Table &T, Masks &Free,
             const pool::Tasks &W);
  void decideFirstFit(const pool::Table &T, Masks Free);
  void decideBackfill(const pool::Table &T, Masks Free, base::WallMs Now);
  void decideSlotQuota(const pool::Table &T, Masks Free, base::WallMs Now);
  void reclaimByQuota(JobEntry &Entry, const pool::Table &T, base::WallMs Now);

  BaselineKind Kind;
  std::map<std::string, JobEntry, std::less<>> Jobs;
  std::set<Key> Queue;
  std::map<std::string, unsigned, std::less<>> UsedSlots;
  std::map<std::string, unsigned, std::less<>> Shares;
  std::vector<policy::Decision> Decisions;
};

} // namespace heathersaddle::bench

#endif
