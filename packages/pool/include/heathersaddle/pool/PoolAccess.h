#ifndef HEATHERSADDLE_POOL_POOLACCESS_H
#define HEATHERSADDLE_POOL_POOLACCESS_H

#include "heathersaddle/pool/Blocks.h"
#include "heathersaddle/pool/Pool.h"
#include <array>
#include <unordered_map>

namespace heathersaddle::pool {

/// The tables behind Pool, which the scheduler reads directly. Names are
/// interned, so that a slot costs four bytes and integers are compared.
using WorkerId = std::uint32_t;
using JobId = std::uint32_t;
using AccountId = std::uint32_t;
inline constexpr std::uint32_t NoId = ~std::uint32_t{0};

struct NameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Name) const {
    return std::hash<std::string_view>{}(Name);
  }
};
/// For lookups only; never iterated, since its order is arbitrary.
using NameMap =
    std::unordered_map<std::string, std::uint32_t, NameHash, std::equal_to<>>;

/// The slots of a home on one worker.
struct HomePart {
  AccountId Account = NoId;
  SlotMask Slots = 0;
  std::uint32_t Home = 0; ///< Index into Table::Homes.
};

struct WorkerRow {
  WorkerSpec Spec;
  WorkerStatus Status = WorkerStatus::Up;
  bool Present = false; ///< False after removeWorker().
  std::uint32_t Rank = 0;
  SlotMask AllSlots = 0;
  SlotMask Accelerated = 0;
  SlotMask Unallocated = 0; ///< Allocated to no job, whatever the status.
  SlotMask Homed = 0;       ///< In a home of any account.
  std::vector<JobId> JobAt;
  std::vector<HomePart> Homes;

  SlotMask freeSlots() const {
    return Status == WorkerStatus::Up ? Unallocated : 0;
  }
  SlotMask homeOf(AccountId Account) const {
    SlotMask Slots = 0;
    for (const HomePart &H : Homes)
      Slots |= H.Account == Account ? H.Slots : 0;
    return Slots;
  }
};

struct TaskSlots {
  WorkerId Worker = NoId;
  SlotMask Slots = 0;
};

struct JobRow {
  std::string Name;
  AccountId Account = NoId;
  std::vector<Placement> Tasks;
  std::vector<TaskSlots> Where;
};

/// Which free slots a search may use.
enum class Domain { OwnHomes, Spare, OwnHomesOrSpare, Any };

struct Query {
  Domain In = Domain::Any;
  AccountId Account = NoId;
  /// Slots to leave out, by WorkerId; may be null.
  const std::vector<SlotMask> *Blocked = nullptr;
  std::span<const WorkerId> Avoid = {};
};

using Tasks = std::vector<TaskSlots>;

class Table;
/// Places \p S on the slots \p Free (a mask per WorkerId), workers in name
/// order, breaking up the smallest free blocks first.
std::optional<Tasks> placeOn(const Table &T, const Shape &S,
                             std::vector<SlotMask> Free);

class Table {
public:
  std::vector<WorkerRow> Rows; ///< Never shrinks; ids stay valid.
  std::vector<JobRow> Jobs;
  std::vector<std::string> Accounts;
  std::vector<Home> Homes;
  std::map<std::string, std::vector<WorkerId>, std::less<>> Racks;
  std::vector<std::vector<WorkerId>>
      HomeWorkers;                     ///< By AccountId; in name order.
  std::vector<WorkerId> WorkersByName; ///< Present workers.
  std::vector<unsigned> HomeSlots;     ///< By AccountId.
  /// Increases when slots become free or the workers or homes change; a failed
  /// search need not be repeated while it is unchanged.
  std::uint64_t Version = 0;
  /// Increases when the workers, their status or the homes change.
  std::uint64_t Structure = 0;
  unsigned UpSlots = 0;
  unsigned UsedSlots = 0;
  unsigned FreeSlots = 0;

  WorkerId worker(std::string_view Worker) const;
  JobId job(std::string_view Name) const;
  AccountId account(std::string_view Name) const;
  AccountId internAccount(std::string_view Name);
  JobId internJob(std::string_view Name, AccountId Account);
  void removeJob(JobId Job);

  bool isGuaranteed(const JobRow &Job) const;
  /// Whether \p Job holds slots in homes of other accounts.
  bool isBorrowing(const JobRow &Job) const;

  std::optional<Tasks> find(const Shape &S, const Query &Q) const;
  /// Maximum number of tasks like those of \p S that fit now; find() fails for
  /// more.
  unsigned maxFits(const Shape &S, const Query &Q) const;
  /// Free slots of \p Worker that \p Q allows.
  SlotMask allowed(WorkerId Worker, const Query &Q) const;
  std::vector<Placement> toPlacements(const Tasks &Where) const;

  /// Updates the index; call after any change of a worker's slots, homes or
  /// status.
  void updateIndex(WorkerId Worker);
  unsigned homeSlots(AccountId Account) const {
    return Account < HomeSlots.size() ? HomeSlots[Account] : 0;
  }
  std::span<const WorkerId> homeWorkers(AccountId Account) const {
    if (Account >= HomeWorkers.size())
      return {};
    return HomeWorkers[Account];
  }
  void rebuild();

private:
  static constexpr unsigned Orders = 7;
  using Bits = std::vector<std::uint64_t>;
  struct Buckets {
    std::array<Bits, Orders> ByOrder;
  };
  enum SlotKind { Plain, Accelerated, All };
  std::optional<Tasks> findTask(unsigned Size, SlotKind Kind,
                                const Query &Q) const;
  /// Searches only the workers that have homes of the account.
  std::optional<Tasks> findTaskInHomes(const Shape &S, const Query &Q) const;
  std::optional<Tasks> findGangInHomes(const Shape &S, const Query &Q) const;

  NameMap RowByName;
  NameMap JobByName;
  NameMap AccountByName;
  std::vector<JobId> FreeJobIds;
  /// Bit sets of ranks: the workers with a maximal free block of each order,
  /// for [any, spare][plain, accelerated, all] slots.
  Buckets BlockIndex[2][3];
  friend class Pool;
};

/// Gives the scheduler the tables of a pool.
class PoolAccess {
public:
  static const Table &table(const Pool &P);
};

} // namespace heathersaddle::pool

#endif
