#ifndef HEATHERSADDLE_POLICY_LIB_PASS_H
#define HEATHERSADDLE_POLICY_LIB_PASS_H

#include "Core.h"

namespace heathersaddle::policy {

/// A job that would have to stop, and the work that would be lost.
struct Victim {
  pool::JobId Id = pool::NoId;
  std::int64_t LostMs = 0; ///< Slot-milliseconds.
};

/// One decision pass. Collects decisions without changing the pool; what it
/// decides is kept in masks over the pool's free slots.
class Pass {
public:
  Pass(Core &State, const pool::Pool &P, base::WallMs At);
  std::vector<Decision> run();

private:
  enum class Outcome { Placed, Waits, Blocked };
  /// The account a region would be taken for, and under which rule.
  struct Claim {
    HoldKind Kind = HoldKind::Guarantee;
    const Job *For = nullptr;
    pool::AccountId Owner = pool::NoId;
  };

  // Pass.cpp: order of the queue.
  void endJobs();
  void repeatProposals();
  void scanQueue();
  bool scanAccount(std::uint32_t Id);
  bool examine(JobClass &C);
  JobClass *nextClass(Account &A) const;
  bool goesBefore(const Job &A, const Job &B) const;
  bool neverFits(const Job &J, bool Without = false) const;
  std::uint64_t version() const { return T.Version + S.Changes + 1; }

  // Place.cpp: free slots.
  Outcome tryPlace(Job &J);
  Outcome placeFree(Job &J);
  bool placeAsBackfill(Job &J);
  std::optional<pool::Tasks> search(const Job &J, const pool::Query &Q,
                                    int Kind);
  bool placeOwn(Job &J, pool::Query Q);
  bool ownSlotsFree(const pool::Query &Q) const;
  void propose(Job &J, const pool::Tasks &Where);
  void block(const pool::Tasks &Where);
  bool awaitsProbe(const Job &J) const;
  std::vector<pool::WorkerId> avoided(const Job &J) const;
  bool quotaAllows(const Job &J) const;

  // Reclaim.cpp: slots that others hold.
  Outcome reclaim(Job &J, bool AtNoLoss);
  Outcome preempt(Job &J, HoldKind Kind);
  bool mayStop(const pool::JobRow &R, const Claim &C) const;
  Victim victim(pool::JobId Id, const Claim &C) const;
  std::vector<pool::WorkerId> overrunRows() const;
  std::int64_t lostBy(const Job &J) const;
  std::vector<Victim> victimsOn(const pool::Tasks &Region,
                                const Claim &C) const;
  std::int64_t costOf(const pool::Tasks &Region, const Claim &C) const;
  pool::SlotMask takeable(pool::WorkerId W, const Claim &C) const;
  std::optional<pool::Tasks> cheapestTask(const Job &J, const Claim &C,
                                          std::span<const pool::WorkerId> Rows,
                                          std::size_t Enough) const;
  std::optional<pool::Tasks>
  cheapestGang(const Job &J, const Claim &C,
               std::span<const pool::WorkerId> Rows) const;
  pool::SlotMask domain(pool::WorkerId W, const Claim &C) const;
  std::vector<pool::WorkerId> sample(const Job &J, std::size_t Most);
  void hold(Job &J, const Claim &C, pool::Tasks Region);
  void stop(pool::JobId Id, HoldKind Kind, const Job &For);

  // Swap.cpp: exchanging homes.
  bool trySwap(Job &J, const pool::Tasks &Region, std::int64_t Cost,
               std::int64_t MostLoss);
  bool rebind(const Job &J);
  std::optional<pool::Tasks> spareRegion(const pool::Home &H,
                                         bool Held = false) const;
  bool movable(const pool::Tasks &Region, pool::AccountId NewOwner) const;
  std::int64_t regionCost(const pool::Tasks &Region) const;
  bool sameShape(const pool::Home &A, const pool::Home &B) const;
  bool inOneRack(const pool::Home &H) const;
  std::uint32_t homeAround(const pool::Tasks &Region,
                           pool::AccountId Owner) const;
  struct Exchange {
    std::uint32_t Other = pool::NoId; ///< Home to exchange with, if any.
    pool::Tasks Region;
    std::int64_t Cost = 0;
  };
  std::optional<Exchange> bestExchange(std::uint32_t Home,
                                       std::int64_t MostLoss) const;
  pool::Tasks regionOf(const pool::Home &H) const;
  bool untouched(const pool::Tasks &Region) const;

  // Holds.cpp: regions kept for a job until they are free.
  void serveHolds();
  bool serveHold(Job &J, Hold &H); ///< False: drop the hold.
  bool stopHolders(Job &J, Hold &H);
  bool serveGang(Job &J, Hold &H);
  std::vector<pool::JobId> holders(const pool::Tasks &Region) const;
  std::optional<pool::Tasks>
  earliestRegion(const Job &J, const Claim &C,
                 std::span<const pool::WorkerId> Rows, base::WallMs &Due) const;
  Job *headOf(const Account &A) const;
  bool isLarge(const Job &J) const;
  unsigned reservedBy(std::uint32_t Account) const;
  bool mayReserveMore(const Job &J) const;
  std::vector<Job *> longWaiting();
  void reserveGangs();
  bool reserve(Job &J);
  base::WallMs freeAt(pool::JobId Id, const Claim &C) const;
  bool regionUsable(const Job &J, const Hold &H) const;
  Claim claimOf(const Job &J, HoldKind Kind) const;

  // Health.cpp
  void checkHealth();

  Core &S;
  const pool::Pool &P;
  const pool::Table &T;
  const base::WallMs Now;
  std::vector<Decision> Out;
  std::vector<pool::SlotMask> Base; ///< Decided in this pass, or unhealthy.
  std::vector<pool::SlotMask> Hard; ///< Base and holds, but for gangs'.
  std::vector<pool::SlotMask> Soft; ///< Hard and gang holds.
  std::vector<bool> SickRow;        ///< Probing; not for non-idempotent jobs.
  std::vector<pool::WorkerId> SickRows; ///< The rows set in SickRow.
  std::set<std::string, std::less<>> StoppedNow;
  std::vector<pool::Home> NewHomes;
  std::vector<std::uint32_t> Proposers;
  /// Fewest tasks of a kind (search, slots, accelerators, adjacency) that were
  /// found not to fit; slots only become fewer during a pass.
  std::map<std::tuple<int, unsigned, bool, pool::Adjacency>, unsigned> Misses;
  unsigned Examined = 0;
  unsigned Searches = 0; ///< Costly ones; bounded per pass.
  bool Deferred = false; ///< The last job's search was put off.
  bool Partial = false;  ///< It did not look at all workers.
  bool PutOff = false;   ///< Some search was put off.
  bool Progress = false; ///< Some class was found to have no room.
  std::int64_t Tokens = 0;
};

} // namespace heathersaddle::policy

#endif
