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
  /// False switches off the workers' memory of stops, to check that the run
  /// notices.
  bool RememberStopped = true;
  /// Takes a line for each step, record, command and log event; may be empty.
  std::function<void(const std::string &Line)> Trace;
};

/// The first requirement that a run found broken.
struct Violation {
  std::string Rule;
  std::string Detail;
  std::size_t AfterStep = 0; ///< Steps taken before it showed.
  base::Millis At{};         ///< Virtual time.
};

struct RunResult {
  std::size_t Steps = 0;
  std::uint64_t Faults = 0;      ///< Injected, single messages included.
  std::size_t Records = 0;       ///< In the log.
  std::size_t Starts = 0;        ///< Of tasks, on all workers.
  std::size_t FinalOutcomes = 0; ///< Requests whose final outcome was told.
  std::optional<Violation> FirstViolation;
};

/// Runs the steps on a world drawn from the seed, then heals all faults and
/// checks how everything ends. The same arguments give the same result.
RunResult run(const RunSettings &Settings, std::span<const Step> Steps);

/// Removes steps while a run still breaks \p Rule; at most \p MaxRuns runs.
std::vector<Step> shrink(const RunSettings &Settings, std::vector<Step> Steps,
                         const std::string &Rule, unsigned MaxRuns = 300);

} // namespace heathersaddle::fuzz

#endif
