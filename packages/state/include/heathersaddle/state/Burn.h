#ifndef HEATHERSADDLE_STATE_BURN_H
#define HEATHERSADDLE_STATE_BURN_H

#include "heathersaddle/base/Time.h"
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace heathersaddle::state {

/// What is promised to every client account.
enum class Objective {
  UrgentStart,   ///< An urgent job's start is recorded within UrgentStartMs.
  Deadline,      ///< A job with a deadline has finished by then.
  JobCompletion, ///< An accepted job ends with a result or as its caller asked.
  Reclaim        ///< Slots asked back are free within ReclaimMs.
};
inline constexpr std::size_t ObjectiveCount = 4;
inline constexpr base::WallMs UrgentStartLimitMs = 1'400;
/// The grace period of 10 s and 5 s to stop and record it.
inline constexpr base::WallMs ReclaimLimitMs = 15'000;
inline constexpr base::WallMs BurnRetentionMs = 3 * 24 * 3'600'000;

std::string_view name(Objective O);
/// The share of good events that is promised, e.g. 0.99.
double target(Objective O);

struct EventCounts {
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
};

/// Good and bad events per account, objective and minute of the state clock,
/// for the last three days. Derived from the log, so every daemon has the same
/// figures and a daemon that is missing takes none of them away.
class BurnHistory {
public:
  using MinuteCounts = std::array<EventCounts, ObjectiveCount>;
  using CountsByMinute = std::map<std::int64_t, MinuteCounts>;

  void record(std::string_view Account, Objective O, bool Good,
              base::WallMs Clock);
  /// Notes a record whose writer's clock differs from the state clock by more
  /// than a second; figures over that minute may be off by as much.
  void recordSkew(base::WallMs Clock);

  EventCounts sum(std::string_view Account, Objective O, base::WallMs Clock,
                  base::WallMs Window) const;
  std::uint64_t skewedRecords(base::WallMs Clock, base::WallMs Window) const;

  std::map<std::string, CountsByMinute, std::less<>> Accounts;
  std::map<std::int64_t, std::uint64_t> SkewByMinute;
};

} // namespace heathersaddle::state

#endif
