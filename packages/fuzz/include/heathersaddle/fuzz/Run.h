#ifndef HEATHERSADDLE_FUZZ_RUN_H
#define HEATHERSADDLE_FUZZ_RUN_H

#include "heathersaddle/fuzz/Step.h"
#include <functional>
#include <optional>
#include <span>
#include <string>

namespace heathersaddle::fuzz {

struct RunSettings {
  std::uint64_t Seed = 1;
  /// If false, the workers keep no tombstones: they accept a reservation or a
  /// start that arrives after the stop of its attempt. A run must detect this.
  bool RefuseStoppedAttempts = true;
  /// Receives a line for each step, log record, command and log event of a
  /// daemon; may be empty.
  std::function<void(const std::string &Line)> Trace;
};

/// The first violation of a requirement that a run detected.
struct Violation {
  std::string Rule;
  std::string Detail;
  std::size_t AfterStep = 0; ///< Steps taken before it was detected.
  base::Millis At{};         ///< Virtual time.
};

struct RunResult {
  std::size_t Steps = 0;
  std::uint64_t Faults = 0; ///< Injected, including those of single messages.
  std::size_t Records = 0;  ///< Records in the log.
  std::size_t Starts = 0;   ///< Starts of tasks on all workers.
  std::size_t FinalOutcomes = 0; ///< Requests with a known one.
  std::optional<Violation> FirstViolation;
};

/// Runs the steps on a simulated system generated from the seed, then heals all
/// faults and checks the final state. The same arguments give the same result.
RunResult run(const RunSettings &Settings, std::span<const Step> Steps);

/// Removes steps as long as a run still violates \p Rule, in at most
/// \p MaxRuns runs.
std::vector<Step> shrink(const RunSettings &Settings, std::vector<Step> Steps,
                         const std::string &Rule, unsigned MaxRuns = 300);

} // namespace heathersaddle::fuzz

#endif
