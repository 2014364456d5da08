#ifndef HEATHERSADDLE_REPORT_BURNREPORT_H
#define HEATHERSADDLE_REPORT_BURNREPORT_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/state/State.h"
#include <array>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::report {

/// Two windows for fast burn (5 min, 1 h) and two for slow burn (6 h, 3 d).
inline constexpr std::array<base::WallMs, 4> WindowsMs{
    5 * 60'000, 3'600'000, 6 * 3'600'000, 3 * 24 * 3'600'000};
inline constexpr std::array<std::string_view, 4> WindowNames{"5m", "1h", "6h",
                                                             "3d"};
/// An alert is due when the burn rate is above this in both windows of a pair.
/// At these rates the fast pair spends 2% of a 30-day error budget in an hour
/// and the slow pair 10% in three days.
inline constexpr double FastBurn = 14.4;
inline constexpr double SlowBurn = 1.0;

/// One objective of one account.
struct BurnRow {
  std::string Account;
  std::string Objective;
  double Target = 0;
  std::array<state::EventCounts, 4> Windows{};

  /// The burn rate: the bad share divided by the error budget; empty without
  /// events.
  std::optional<double> burn(std::size_t Window) const;
  /// The remaining share of the three-day error budget; empty without events.
  std::optional<double> budgetLeft() const;
  /// "fast", "slow" or "ok"; "no events" when the longest window is empty.
  std::string_view verdict() const;
};

/// The 99th percentile is not shown below this number of requests, because its
/// estimate is meaningless.
inline constexpr std::uint64_t P99MinRequests = 1'000;

/// Statistics of the requests that one daemon has served since its start.
struct RequestFigures {
  std::uint64_t Requests = 0;
  std::uint64_t ServerErrors = 0;
  double MeanMs = 0;
  double P99Ms = 0;
  double MaxMs = 0;

  std::optional<double> mean() const;
  /// Empty below P99MinRequests.
  std::optional<double> p99() const;
};

/// The use of slots by one account, and reclaims, since the state began.
struct UsageRow {
  std::string Account;
  state::Usage Used;
};

/// The report of one daemon.
struct BurnReport {
  std::string Daemon;
  std::uint64_t Offset = 0; ///< Offset up to which it has read the log.
  base::WallMs ClockMs = 0; ///< Its state clock.
  std::uint64_t SkewedRecords =
      0; ///< Records with a clock off by > 1 s in 6 h.
  std::vector<BurnRow> Rows;
  std::vector<UsageRow> Usage;            ///< Accounts that have used slots.
  std::optional<RequestFigures> Requests; ///< For operators only.
};

/// The report over all accounts, or over \p Account alone when not empty.
BurnReport buildReport(const state::State &S, std::string_view Daemon,
                       std::string_view Account);

boost::json::value toJson(const BurnReport &R);
base::Expected<BurnReport> parseReport(const boost::json::value &Value);

/// The merged reports of several daemons.
struct MergedReport {
  BurnReport Newest; ///< Rows of the daemon that has read furthest.
  std::vector<BurnReport> Daemons;
  std::vector<std::string> Missing; ///< "ADDRESS: why" for each.
  std::vector<std::string> Warnings;
};

/// Takes the rows of the daemon that has read furthest, because all daemons
/// derive the same rows from the log. Of two reports of one daemon it uses the
/// one with the higher offset. Fails when there is no report.
base::Expected<MergedReport> merge(std::span<const BurnReport> Reports,
                                   std::span<const std::string> Missing);

std::string renderTable(const MergedReport &M);
boost::json::value toJson(const MergedReport &M);
/// One HTML page with plots and without external resources.
std::string renderHtml(const MergedReport &M);

} // namespace heathersaddle::report

#endif
