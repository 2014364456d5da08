// Learned run times. The median resists single wrong or extreme values; three
// observations are needed before anything rests on it. Kinds beyond the limit
// of an account share one entry, so that callers cannot grow the table.
#include "RunTimes.h"
#include <algorithm>

namespace heathersaddle::policy {

static constexpr std::size_t MaxKinds = 4096;
static constexpr unsigned FewestObservations = 3;
static constexpr std::size_t SuspectAfterWorkers = 3;

std::uint32_t RunTimes::kind(std::uint32_t Account, std::string_view Name) {
  std::pair Key(Account, std::string(Name));
  if (Ids.size() >= MaxKinds && !Ids.contains(Key))
    Key.second.clear();
  auto [Entry, Fresh] = Ids.try_emplace(std::move(Key), All.size());
  if (Fresh)
    All.emplace_back();
  return Entry->second;
}

std::int64_t RunTimes::known(std::uint32_t Account,
                             std::string_view Name) const {
  auto Found = Ids.find(std::pair(Account, std::string(Name)));
  return Found == Ids.end() ? -1 : std::int64_t{Found->second};
}

void RunTimes::learn(std::uint32_t Kind, std::int64_t RunMs) {
  Stats &S = All[Kind];
  S.Ring[S.Count++ % S.Ring.size()] = RunMs;
  auto Sorted = S.Ring;
  auto End = Sorted.begin() + std::min<std::size_t>(S.Count, Sorted.size());
  auto Middle = Sorted.begin() + (End - Sorted.begin()) / 2;
  std::nth_element(Sorted.begin(), Middle, End);
  S.Median = *Middle;
}

std::int64_t RunTimes::estimate(std::uint32_t Kind) const {
  const Stats &S = All[Kind];
  return S.Count < FewestObservations ? 0 : std::max<std::int64_t>(S.Median, 1);
}

bool RunTimes::suspect(std::uint32_t Kind) const {
  return All[Kind].FailedOn.size() >= SuspectAfterWorkers;
}

void RunTimes::failedOn(std::uint32_t Kind, const std::string &Worker) {
  if (!suspect(Kind))
    All[Kind].FailedOn.insert(Worker);
}

void RunTimes::succeeded(std::uint32_t Kind) { All[Kind].FailedOn.clear(); }

} // namespace heathersaddle::policy
