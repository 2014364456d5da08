// Learned run times. The median is robust against single wrong or extreme
// values; no estimate is given before three observations. Once the table holds
// MaxKinds kinds, new kinds of an account share one entry, so that callers
// cannot grow the table.
#include "RunTimes.h"
#include <algorithm>

namespace heathersaddle::policy {

static constexpr std::size_t MaxKinds = 4096;
static constexpr unsigned MinObservations = 3;
static constexpr std::size_t SuspectAfterWorkers = 3;

std::uint32_t RunTimes::internKind(std::uint32_t Account,
                                   std::string_view Name) {
  std::pair Key(Account, std::string(Name));
  if (KindIds.size() >= MaxKinds && !KindIds.contains(Key))
    Key.second.clear();
  auto [Entry, Fresh] = KindIds.try_emplace(std::move(Key), Kinds.size());
  if (Fresh)
    Kinds.emplace_back();
  return Entry->second;
}

std::int64_t RunTimes::findKind(std::uint32_t Account,
                                std::string_view Name) const {
  auto Found = KindIds.find(std::pair(Account, std::string(Name)));
  return Found == KindIds.end() ? -1 : std::int64_t{Found->second};
}

void RunTimes::learn(std::uint32_t Kind, std::int64_t RunMs) {
  Stats &S = Kinds[Kind];
  S.Recent[S.Count++ % S.Recent.size()] = RunMs;
  auto Sorted = S.Recent;
  auto End = Sorted.begin() + std::min<std::size_t>(S.Count, Sorted.size());
  auto Middle = Sorted.begin() + (End - Sorted.begin()) / 2;
  std::nth_element(Sorted.begin(), Middle, End);
  S.Median = *Middle;
}

std::int64_t RunTimes::estimate(std::uint32_t Kind) const {
  const Stats &S = Kinds[Kind];
  return S.Count < MinObservations ? 0 : std::max<std::int64_t>(S.Median, 1);
}

bool RunTimes::isSuspect(std::uint32_t Kind) const {
  return Kinds[Kind].FailedWorkers.size() >= SuspectAfterWorkers;
}

void RunTimes::addFailure(std::uint32_t Kind, const std::string &Worker) {
  if (!isSuspect(Kind))
    Kinds[Kind].FailedWorkers.insert(Worker);
}

void RunTimes::clearFailures(std::uint32_t Kind) {
  Kinds[Kind].FailedWorkers.clear();
}

} // namespace heathersaddle::policy
