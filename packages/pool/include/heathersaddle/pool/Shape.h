#ifndef HEATHERSADDLE_POOL_SHAPE_H
#define HEATHERSADDLE_POOL_SHAPE_H

#include <cstdint>
#include <string>
#include <vector>

namespace heathersaddle::pool {

/// Slots of one worker; bit I stands for slot I.
using SlotMask = std::uint64_t;

inline constexpr unsigned MaxSlots = 64;
inline constexpr unsigned MaxTasks = 64;

/// How close the tasks of a gang must be to each other.
enum class Adjacency { None, Worker, Rack };

/// What a job asks for: \p Tasks tasks of \p SlotsPerTask adjacent slots each.
struct Shape {
  unsigned Tasks = 1;
  unsigned SlotsPerTask = 1;
  bool Accelerators = true; ///< Needs slots that have an accelerator.
  Adjacency Within = Adjacency::None;

  unsigned totalSlots() const { return Tasks * SlotsPerTask; }
  bool operator==(const Shape &) const = default;
};

/// A worker as the platform describes it. The first \p Accelerators of its
/// \p Slots slots carry one accelerator each.
struct WorkerSpec {
  std::string Name;
  std::string Rack;
  unsigned Slots = 0;
  unsigned Accelerators = 0;
  bool operator==(const WorkerSpec &) const = default;
};

enum class WorkerStatus { Up, Leaving, Quarantined, Lost };

/// The slots of one task, or one worker's part of a home.
struct Placement {
  std::string Worker;
  SlotMask Slots = 0;
  bool operator==(const Placement &) const = default;
};

/// A shape that a plan guarantees \p Count times: \p Accelerators adjacent
/// accelerators on each of \p Workers workers (of one rack when WithinRack).
struct GuaranteeUnit {
  unsigned Accelerators = 1;
  unsigned Workers = 1;
  bool WithinRack = false;
  unsigned Count = 1;
  bool operator==(const GuaranteeUnit &) const = default;
};

/// The guarantee units of one account.
struct Guarantee {
  std::string Account;
  std::vector<GuaranteeUnit> Units;
};

/// The slots to which one instance of a guarantee unit is bound.
struct Home {
  std::string Account;
  unsigned Unit = 0;     ///< Index into Guarantee::Units.
  unsigned Instance = 0; ///< 0 to Count - 1.
  std::string Cell;
  std::vector<Placement> Slots;
  bool operator==(const Home &) const = default;
};

} // namespace heathersaddle::pool

#endif
