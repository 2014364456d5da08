#ifndef HEATHERSADDLE_FUZZ_STEP_H
#define HEATHERSADDLE_FUZZ_STEP_H

#include "heathersaddle/base/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace heathersaddle::fuzz {

/// A small reproducible generator (SplitMix64).
class Random {
public:
  explicit Random(std::uint64_t Seed) : State(Seed) {}
  std::uint64_t next();
  /// Below \p Bound, which must not be 0.
  std::uint64_t below(std::uint64_t Bound) { return next() % Bound; }
  std::uint64_t within(std::uint64_t Min, std::uint64_t Max) {
    return Min + below(Max - Min + 1);
  }
  bool chance(unsigned Percent) { return below(100) < Percent; }

private:
  std::uint64_t State;
};

enum class StepKind {
  Submit,
  Repeat,         ///< The same key and body, through any daemon.
  ConflictingKey, ///< The same key with another body.
  Wait,
  Cancel,
  CancelBurst,
  Publish,
  PublishRace, ///< The same base version through two daemons.
  Idle,
  CrashDaemon,
  StopDaemon, ///< A planned, graceful stop.
  PauseDaemon,
  CutLog,
  CutWorkers,
  CutPeers,
  CutDataCentre,
  LogDown,
  LogLosesAnswers,
  LogSlow,
  TrimLog,
  DamageSnapshots, ///< The log stores damaged snapshot chunks.
  ClockJump,
  WorkerRestart,
  WorkerPause,
  WorkerCut,
  WorkerDelaysAnswers,
  WorkerFailsTasks,
  WorkerHoldsCommands, ///< Some are carried out late, after newer ones.
  HostLeaves,
  RackLost,
  Chaos ///< Messages are lost, delayed, reordered and repeated.
};

std::string_view name(StepKind Kind);
/// Whether the step injects a fault.
bool isFault(StepKind Kind);

/// One drawn step. The numbers are raw draws: the world reduces them to what
/// exists when the step is taken, so that steps can be removed at will.
struct Step {
  StepKind Kind = StepKind::Idle;
  std::uint64_t TargetDraw = 0;
  std::uint64_t ChoiceDraw = 0;
  base::Millis Duration{}; ///< How long a fault stays.
  base::Millis Advance{};  ///< Virtual time after the step; 0: next at once.
};

/// With \p HoldCommands, also steps after which workers carry commands out
/// late.
std::vector<Step> drawSteps(std::uint64_t Seed, unsigned Count,
                            bool HoldCommands = false);
/// One line for the trace.
std::string describe(const Step &S);

} // namespace heathersaddle::fuzz

#endif
