// A minute in which an account has no events has no entry, so memory is bounded
// by the number of events in three days.

#include "heathersaddle/state/Burn.h"

namespace heathersaddle::state {

namespace {

constexpr base::WallMs MinuteMs = 60'000;

std::size_t index(Objective O) { return static_cast<std::size_t>(O); }

} // namespace

std::string_view name(Objective O) {
  constexpr std::array<std::string_view, ObjectiveCount> Names{
      "urgent_start", "deadline", "whole", "reclaim"};
  return Names[index(O)];
}

double target(Objective O) {
  return O == Objective::JobCompletion ? 0.999 : 0.99;
}

void BurnHistory::record(std::string_view Account, Objective O, bool Good,
                         base::WallMs Clock) {
  auto Found = Accounts.find(Account);
  if (Found == Accounts.end())
    Found = Accounts.emplace(std::string(Account), CountsByMinute{}).first;
  CountsByMinute &Kept = Found->second;
  EventCounts &Count = Kept[Clock / MinuteMs][index(O)];
  ++(Good ? Count.Good : Count.Bad);
  while (!Kept.empty() &&
         Kept.begin()->first < (Clock - BurnRetentionMs) / MinuteMs)
    Kept.erase(Kept.begin());
}

void BurnHistory::recordSkew(base::WallMs Clock) {
  ++SkewByMinute[Clock / MinuteMs];
  while (SkewByMinute.begin()->first < (Clock - BurnRetentionMs) / MinuteMs)
    SkewByMinute.erase(SkewByMinute.begin());
}

EventCounts BurnHistory::sum(std::string_view Account, Objective O,
                             base::WallMs Clock, base::WallMs Window) const {
  EventCounts Sum;
  auto Found = Accounts.find(Account);
  if (Found == Accounts.end())
    return Sum;
  const CountsByMinute &Kept = Found->second;
  for (auto It = Kept.upper_bound((Clock - Window) / MinuteMs);
       It != Kept.end(); ++It) {
    Sum.Good += It->second[index(O)].Good;
    Sum.Bad += It->second[index(O)].Bad;
  }
  return Sum;
}

std::uint64_t BurnHistory::skewedRecords(base::WallMs Clock,
                                         base::WallMs Window) const {
  std::uint64_t Sum = 0;
  for (auto It = SkewByMinute.upper_bound((Clock - Window) / MinuteMs);
       It != SkewByMinute.end(); ++It)
    Sum += It->second;
  return Sum;
}

} // namespace heathersaddle::state
