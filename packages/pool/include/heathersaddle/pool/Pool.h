#ifndef HEATHERSADDLE_POOL_POOL_H
#define HEATHERSADDLE_POOL_POOL_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/pool/Shape.h"
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::pool {

/// The workers, allocations and homes of one cell.
///
/// \code
///   Pool P;
///   P.addWorker({"w1", "rack1", 8, 8});
///   if (auto Where = P.findFree({.Tasks = 1, .SlotsPerTask = 4}))
///     P.allocate("job1", "maison-a", *Where);
///   P.release("job1");
/// \endcode
///
/// Deterministic: the same calls in the same order give the same results.
/// Not thread-safe.
class Pool {
public:
  Pool();
  ~Pool();
  Pool(const Pool &);
  Pool &operator=(const Pool &);
  Pool(Pool &&) noexcept;
  Pool &operator=(Pool &&) noexcept;

  /// Adds a worker, or changes the description of an idle one. Fails when the
  /// description is out of range or the worker holds allocations it no longer
  /// has room for.
  base::Expected<void> addWorker(const WorkerSpec &Spec);
  /// Removes an idle worker; it must not be part of any home.
  base::Expected<void> removeWorker(std::string_view Name);
  /// Allocations stay; only workers that are Up take new ones.
  void setStatus(std::string_view Name, WorkerStatus Status);

  /// Takes the slots of all tasks for \p Job or none of them. Each placement
  /// must lie on an Up worker, be contiguous within an aligned power-of-two
  /// block and free.
  base::Expected<void> allocate(std::string_view Job, std::string_view Account,
                                std::span<const Placement> Tasks);
  /// Frees all slots of \p Job; nothing happens when it holds none.
  void release(std::string_view Job);

  /// Replaces all homes of this cell; they must be disjoint.
  base::Expected<void> setHomes(std::span<const Home> Homes);
  const std::vector<Home> &homes() const;

  const WorkerSpec *worker(std::string_view Name) const;
  std::optional<WorkerStatus> status(std::string_view Name) const;
  std::vector<WorkerSpec> workers() const;           ///< In name order.
  SlotMask freeSlots(std::string_view Worker) const; ///< 0 unless Up.
  /// Account whose home covers \p Slot of \p Worker; empty for spare slots.
  std::string_view homeOf(std::string_view Worker, unsigned Slot) const;
  /// The placements that \p Job holds; empty when none.
  std::span<const Placement> placements(std::string_view Job) const;
  std::vector<std::string> jobsOn(std::string_view Worker) const;

  /// True when all slots of \p Job lie in homes of its own account.
  bool isGuaranteed(std::string_view Job) const;
  /// Jobs that hold slots in homes of \p Account, except guaranteed jobs of
  /// \p Account itself.
  std::vector<std::string> borrowersFrom(std::string_view Account) const;

  unsigned upSlots() const;
  unsigned usedSlots() const;
  unsigned freeSlotCount() const;

  /// Places \p S on free slots of Up workers, keeping large aligned shapes
  /// whole; empty when it does not fit.
  std::optional<std::vector<Placement>> findFree(const Shape &S) const;
  /// Whether \p S would fit if every Up worker were idle.
  bool couldEverFit(const Shape &S) const;

private:
  friend class PoolAccess; ///< Gives the scheduler the tables (internal).
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

/// One instance of a guarantee unit that has no home.
struct UnmetUnit {
  std::string Account;
  unsigned Unit = 0;
  unsigned Instance = 0;
};

struct PackResult {
  std::vector<Home> Homes;
  std::vector<UnmetUnit> Missing;
};

/// Binds all guarantees to disjoint homes on the Up workers of \p Cells,
/// largest unit first, cells, racks, workers and blocks in name order. Keeps
/// each home of \p Current that is still guaranteed and lies on Up workers,
/// unless that leaves more units without a home than packing all anew does.
PackResult packHomes(const std::map<std::string, const Pool *> &Cells,
                     std::span<const Guarantee> Guarantees,
                     std::span<const Home> Current = {});

} // namespace heathersaddle::pool

#endif
