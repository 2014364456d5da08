#ifndef HEATHERSADDLE_FUZZ_STEP_H
#define HEATHERSADDLE_FUZZ_STEP_H

#include "heathersaddle/base/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace heathersaddle::fuzz {

/// A reproducible pseudo-random number generator (SplitMix64).
class Random {
public:
  explicit Random(std::uint64_t Seed) : State(Seed) {}
  std::uint64_t next();
  /// Returns a number below \p Bound, which must not be 0.
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
  Repeat,         ///< Submits the same key and body again, to any daemon.
  ConflictingKey, ///< Submits another body under the same key.
  Wait,
  Cancel,
  CancelBurst,
  Publish,
  PublishRace, ///< Publishes on the same base version at two daemons.
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

/// One randomly drawn step. The draws are stored unreduced: World reduces them
/// to the objects that exist when the step is taken, so that any steps can be
/// removed from a sequence.
struct Step {
  StepKind Kind = StepKind::Idle;
  std::uint64_t TargetDraw = 0;
  std::uint64_t ChoiceDraw = 0;
  base::Millis Duration{}; ///< Of a fault; of Wait, the longest wait.
  base::Millis Advance{};  ///< Virtual time until the next step; 0: none.
};

/// Draws \p Count steps. With \p HoldCommands, these include steps after which
/// workers carry out commands late.
std::vector<Step> drawSteps(std::uint64_t Seed, unsigned Count,
                            bool HoldCommands = false);
/// Describes the step in one line of the trace.
std::string describe(const Step &S);

} // namespace heathersaddle::fuzz

#endif
