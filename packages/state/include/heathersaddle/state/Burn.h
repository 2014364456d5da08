#ifndef HEATHERSADDLE_STATE_BURN_H
#define HEATHERSADDLE_STATE_BURN_H

#include "heathersaddle/base/Time.h"
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace heathersaddle::state {

/// A service-level objective that holds for every client account.
enum class Objective {
  UrgentStart, ///< An urgent job's start is recorded within UrgentStartLimitMs.
  Deadline,    ///< A job with a deadline has finished by the deadline.
  JobCompletion, ///< An accepted job ends with an outcome other than
                 ///< unknown and not_run.
  Reclaim        ///< Slots that are reclaimed for their account are free within
                 ///< ReclaimLimitMs.
};
inline constexpr std::size_t ObjectiveCount = 4;
inline constexpr base::WallMs UrgentStartLimitMs = 1'400;
/// A grace period of 10 s plus 5 s to stop the work and to record the stop.
inline constexpr base::WallMs ReclaimLimitMs = 15'000;
inline constexpr base::WallMs BurnRetentionMs = 3 * 24 * 3'600'000;

std::string_view name(Objective O);
/// The target share of good events, e.g. 0.99.
double target(Objective O);

struct EventCounts {
  std::uint64_t Good = 0;
  std::uint64_t Bad = 0;
};

/// Good and bad events per account, objective and minute of the state clock,
/// for the last three days. The counts are derived from the log, so every
/// daemon has the same ones and a missing daemon loses none.
class BurnHistory {
public:
  using MinuteCounts = std::array<EventCounts, ObjectiveCount>;
  using CountsByMinute = std::map<std::int64_t, MinuteCounts>;

  void record(std::string_view Account, Objective O, bool Good,
              base::WallMs Clock);
  /// Counts a record whose writer's clock differs from the state clock by more
  /// than a second; times measured in that minute may be wrong by as much.
  void recordSkew(base::WallMs Clock);

  EventCounts sum(std::string_view Account, Objective O, base::WallMs Clock,
                  base::WallMs Window) const;
  std::uint64_t skewedRecords(base::WallMs Clock, base::WallMs Window) const;

  std::map<std::string, CountsByMinute, std::less<>> Accounts;
  std::map<std::int64_t, std::uint64_t> SkewByMinute;
};

} // namespace heathersaddle::state

#endif
