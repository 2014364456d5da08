#ifndef HEATHERSADDLE_POLICY_LIB_RUNTIMES_H
#define HEATHERSADDLE_POLICY_LIB_RUNTIMES_H

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::policy {

/// Run times learned per account and kind from the last 16 observations.
class RunTimes {
public:
  std::uint32_t internKind(std::uint32_t Account, std::string_view Name);
  /// Index of the kind if it is known; -1 otherwise.
  std::int64_t findKind(std::uint32_t Account, std::string_view Name) const;
  void learn(std::uint32_t Kind, std::int64_t RunMs);
  /// Median of the observations; 0 before there are three.
  std::int64_t estimate(std::uint32_t Kind) const;

  /// Whether the kind has failed on three workers since its last success: the
  /// cause is then more likely the kind than the workers.
  bool isSuspect(std::uint32_t Kind) const;
  void addFailure(std::uint32_t Kind, const std::string &Worker);
  void clearFailures(std::uint32_t Kind);

private:
  struct Stats {
    std::array<std::int64_t, 16> Recent{};
    unsigned Count = 0;
    std::int64_t Median = 0;
    std::set<std::string> FailedWorkers;
  };
  std::map<std::pair<std::uint32_t, std::string>, std::uint32_t, std::less<>>
      KindIds;
  std::vector<Stats> Kinds;
};

} // namespace heathersaddle::policy

#endif
