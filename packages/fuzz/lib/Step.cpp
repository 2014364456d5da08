// The steps are drawn from the seed alone before the run, with weights that
// make about half of them requests of callers. After a fifth of the steps no
// virtual time passes, so that faults coincide.
#include "heathersaddle/fuzz/Step.h"
#include <array>

namespace heathersaddle::fuzz {

namespace {

struct KindInfo {
  std::string_view Name;
  bool Fault = false;
  unsigned Weight = 1;
};

constexpr std::array<KindInfo, 31> Kinds{{
    {"submit", false, 30},
    {"repeat", false, 6},
    {"conflicting-key", false, 2},
    {"wait", false, 8},
    {"cancel", false, 4},
    {"cancel-burst", false, 1},
    {"publish", false, 3},
    {"publish-race", false, 2},
    {"idle", false, 4},
    {"crash-daemon", true, 4},
    {"stop-daemon", true, 2},
    {"pause-daemon", true, 4},
    {"cut-log", true, 3},
    {"cut-workers", true, 3},
    {"cut-peers", true, 1},
    {"cut-region", true, 2},
    {"log-down", true, 2},
    {"log-loses-answers", true, 3},
    {"log-slow", true, 1},
    {"trim", true, 2},
    {"damage-snapshots", true, 2},
    {"clock-jump", true, 2},
    {"worker-restart", true, 4},
    {"worker-pause", true, 3},
    {"worker-cut", true, 3},
    {"worker-late", true, 2},
    {"worker-failing", true, 2},
    {"worker-holds-commands", true, 0}, // Drawn only with HoldCommands.
    {"host-leaves", true, 2},
    {"rack-lost", true, 1},
    {"chaos", true, 3},
}};
static_assert(Kinds.size() == std::size_t(StepKind::Chaos) + 1);

/// Weight of WorkerHoldsCommands with HoldCommands.
constexpr unsigned HoldCommandsWeight = 3;

StepKind drawKind(Random &R, bool HoldCommands) {
  auto Weights = Kinds;
  if (HoldCommands)
    Weights[std::size_t(StepKind::WorkerHoldsCommands)].Weight =
        HoldCommandsWeight;
  unsigned Total = 0;
  for (const KindInfo &K : Weights)
    Total += K.Weight;
  auto Pick = unsigned(R.below(Total));
  std::size_t I = 0;
  while (Pick >= Weights[I].Weight)
    Pick -= Weights[I++].Weight;
  return StepKind(I);
}

} // namespace

std::uint64_t Random::next() {
  State += 0x9e3779b97f4a7c15ULL;
  std::uint64_t Z = State;
  Z = (Z ^ (Z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Z = (Z ^ (Z >> 27)) * 0x94d049bb133111ebULL;
  return Z ^ (Z >> 31);
}

std::string_view name(StepKind Kind) { return Kinds[unsigned(Kind)].Name; }

bool isFault(StepKind Kind) { return Kinds[unsigned(Kind)].Fault; }

std::vector<Step> drawSteps(std::uint64_t Seed, unsigned Count,
                            bool HoldCommands) {
  Random R(Seed ^ 0x5eed);
  std::vector<Step> Steps;
  for (unsigned I = 0; I != Count; ++I) {
    Step S;
    S.Kind = drawKind(R, HoldCommands);
    S.TargetDraw = R.next();
    S.ChoiceDraw = R.next();
    // Most faults are short; some outlast the worker lease.
    S.Duration = base::Millis(R.chance(25) ? R.within(10'000, 40'000)
                                           : R.within(200, 8'000));
    if (!R.chance(20))
      S.Advance = base::Millis(R.chance(15) ? R.within(3'000, 12'000)
                                            : R.within(1, 2'000));
    Steps.push_back(S);
  }
  return Steps;
}

std::string describe(const Step &S) {
  return std::string(name(S.Kind)) + " a=" + std::to_string(S.TargetDraw) +
         " b=" + std::to_string(S.ChoiceDraw) +
         " lasts_ms=" + std::to_string(S.Duration.count()) +
         " advance_ms=" + std::to_string(S.Advance.count());
}

} // namespace heathersaddle::fuzz
