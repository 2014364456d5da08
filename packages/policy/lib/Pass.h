#ifndef HEATHERSADDLE_POLICY_LIB_PASS_H
#define HEATHERSADDLE_POLICY_LIB_PASS_H

#include "Core.h"

namespace heathersaddle::policy {

/// A job that would have to be stopped, and the work that would be lost.
struct Victim {
  pool::JobId Id = pool::NoId;
  std::int64_t LostMs = 0; ///< Slot-milliseconds.
};

/// One decision pass. Collects decisions without changing the pool; slots used
/// by its decisions are recorded in masks, one per worker.
class Pass {
public:
  Pass(Core &State, const pool::Pool &P, base::WallMs At);
  std::vector<Decision> run();

private:
  enum class Outcome { Placed, Waits, Blocked };
  /// The job and account for which a region would be taken, and by which rule.
  struct Claim {
    HoldKind Kind = HoldKind::Guarantee;
    const Job *Claimant = nullptr;
    pool::AccountId Owner = pool::NoId;
  };

  // Pass.cpp: the order of the queue.
  void endJobs();
  void repeatProposals();
  void scanQueue();
  bool scanAccount(std::uint32_t Id);
  bool examineClass(JobClass &C);
  JobClass *nextClass(Account &A) const;
  bool goesBefore(const Job &A, const Job &B) const;
  bool neverFits(const Job &J, bool WithoutFailed = false) const;
  std::uint64_t version() const {
    return PoolTable.Version + CoreState.ChangeCount + 1;
  }

  // Place.cpp: placement on free slots.
  Outcome tryPlace(Job &J);
  Outcome placeOnFreeSlots(Job &J);
  bool placeAsBackfill(Job &J);
  std::optional<pool::Tasks> searchFreeSlots(const Job &J, const pool::Query &Q,
                                             int Kind);
  bool placeInOwnHomes(Job &J, pool::Query Q);
  bool hasFreeHomeSlots(const pool::Query &Q) const;
  void propose(Job &J, const pool::Tasks &Where);
  void markUnavailable(const pool::Tasks &Where);
  bool awaitsProbe(const Job &J) const;
  std::vector<pool::WorkerId> workersToAvoid(const Job &J) const;
  bool quotaAllows(const Job &J) const;

  // Reclaim.cpp: slots that running jobs occupy.
  Outcome reclaim(Job &J, bool AtNoLoss);
  Outcome preempt(Job &J, HoldKind Kind);
  bool mayStop(const pool::JobRow &R, const Claim &C) const;
  Victim victim(pool::JobId Id, const Claim &C) const;
  std::vector<pool::WorkerId> overrunWorkers() const;
  std::int64_t progressLostBy(const Job &J) const;
  std::vector<Victim> victimsOn(const pool::Tasks &Region,
                                const Claim &C) const;
  std::int64_t claimCost(const pool::Tasks &Region, const Claim &C) const;
  pool::SlotMask takeableSlots(pool::WorkerId W, const Claim &C) const;
  std::optional<pool::Tasks> cheapestTask(const Job &J, const Claim &C,
                                          std::span<const pool::WorkerId> Rows,
                                          std::size_t Enough) const;
  std::optional<pool::Tasks>
  cheapestGang(const Job &J, const Claim &C,
               std::span<const pool::WorkerId> Rows) const;
  pool::SlotMask eligibleSlots(pool::WorkerId W, const Claim &C) const;
  std::vector<pool::WorkerId> sampleWorkers(const Job &J, std::size_t Most);
  void holdRegion(Job &J, const Claim &C, pool::Tasks Region);
  void stopJob(pool::JobId Id, HoldKind Kind, const Job &For);

  // Swap.cpp: swaps and moves of homes.
  bool trySwap(Job &J, const pool::Tasks &Region, std::int64_t Cost,
               std::int64_t MaxLoss);
  bool rebindLostHome(const Job &J);
  std::optional<pool::Tasks> spareRegion(const pool::Home &H,
                                         bool Held = false) const;
  bool mayChangeOwner(const pool::Tasks &Region,
                      pool::AccountId NewOwner) const;
  std::int64_t progressLostIn(const pool::Tasks &Region) const;
  bool sameShape(const pool::Home &A, const pool::Home &B) const;
  bool inOneRack(const pool::Home &H) const;
  std::uint32_t homeContaining(const pool::Tasks &Region,
                               pool::AccountId Owner) const;
  struct HomeSwap {
    /// Home to swap with; NoId for spare slots.
    std::uint32_t OtherHome = pool::NoId;
    pool::Tasks Region;
    std::int64_t Cost = 0;
  };
  std::optional<HomeSwap> bestHomeSwap(std::uint32_t Home,
                                       std::int64_t MaxLoss) const;
  pool::Tasks regionOf(const pool::Home &H) const;
  bool isAvailable(const pool::Tasks &Region) const;

  // Holds.cpp: regions held for a job until they are free.
  void processHolds();
  bool processHold(Job &J, Hold &H); ///< False: remove the hold.
  bool stopJobsIn(Job &J, Hold &H);
  bool processGangHold(Job &J, Hold &H);
  std::vector<pool::JobId> jobsIn(const pool::Tasks &Region) const;
  std::optional<pool::Tasks>
  earliestRegion(const Job &J, const Claim &C,
                 std::span<const pool::WorkerId> Rows, base::WallMs &Due) const;
  Job *oldestUnservedJob(const Account &A) const;
  bool isLarge(const Job &J) const;
  unsigned reservedSlots(std::uint32_t Account) const;
  bool mayReserveMore(const Job &J) const;
  std::vector<Job *> longWaitingJobs();
  void reserveGangs();
  bool reserveRegion(Job &J);
  base::WallMs expectedFreeTime(pool::JobId Id, const Claim &C) const;
  bool regionUsable(const Job &J, const Hold &H) const;
  Claim claimOf(const Job &J, HoldKind Kind) const;

  // Health.cpp: quarantine and probes.
  void checkHealth();

  Core &CoreState;
  const pool::Pool &CellPool;
  const pool::Table &PoolTable;
  const base::WallMs Now;
  std::vector<Decision> Decisions;
  /// Used by this pass's decisions or on unhealthy workers.
  std::vector<pool::SlotMask> Unavailable;
  /// Unavailable, and holds except open gang reservations.
  std::vector<pool::SlotMask> UnavailableForBackfill;
  std::vector<pool::SlotMask>
      UnavailableOrHeld;       ///< Unavailable, and all holds.
  std::vector<bool> IsProbing; ///< Workers that one job is to probe.
  std::vector<pool::WorkerId> ProbingWorkers; ///< The workers set in IsProbing.
  std::set<std::string, std::less<>> StoppedThisPass;
  std::vector<pool::Home> NewHomes;
  std::vector<std::uint32_t> ProposingAccounts;
  /// Smallest number of tasks found not to fit, by search kind, slots,
  /// accelerators and adjacency. Valid for the whole pass, in which the free
  /// slots only become fewer.
  std::map<std::tuple<int, unsigned, bool, pool::Adjacency>, unsigned>
      FailedSearches;
  unsigned ExaminedCount = 0;
  unsigned CostlySearches = 0; ///< Their number per pass is bounded.
  /// The last job's search was left to a later pass.
  bool SearchDeferred = false;
  bool SearchPartial = false;     ///< The last job's search skipped workers.
  bool AnySearchDeferred = false; ///< Some search was left to a later pass.
  bool MadeProgress = false;      ///< Some class was blocked or its job may now
                                  ///< retry where it failed.
  std::int64_t RetryTokensLeft = 0;
};

} // namespace heathersaddle::policy

#endif
