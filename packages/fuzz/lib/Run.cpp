// A run is a function of the seed and the steps. Shrinking removes groups of
// steps, halving the group size, and keeps a removal if the same rule is still
// violated. It ends after at most MaxRuns runs.
#include "heathersaddle/fuzz/Run.h"
#include "World.h"

namespace heathersaddle::fuzz {

RunResult run(const RunSettings &Settings, std::span<const Step> Steps) {
  World W(Settings);
  W.setUp();
  for (const Step &S : Steps) {
    if (W.firstViolation())
      break;
    W.take(S);
  }
  if (!W.firstViolation())
    W.finish();
  return W.result();
}

std::vector<Step> shrink(const RunSettings &Settings, std::vector<Step> Steps,
                         const std::string &Rule, unsigned MaxRuns) {
  std::size_t Group = Steps.size() / 2;
  while (Group > 0) {
    bool Removed = false;
    for (std::size_t I = 0; I < Steps.size() && MaxRuns > 0;) {
      std::vector<Step> Fewer = Steps;
      std::size_t End = std::min(Steps.size(), I + Group);
      Fewer.erase(Fewer.begin() + std::ptrdiff_t(I),
                  Fewer.begin() + std::ptrdiff_t(End));
      --MaxRuns;
      RunResult R = run(Settings, Fewer);
      if (R.FirstViolation && R.FirstViolation->Rule == Rule) {
        Steps = std::move(Fewer);
        Removed = true;
      } else {
        I = End;
      }
    }
    if (!Removed || Group > 1)
      Group /= 2;
  }
  return Steps;
}

} // namespace heathersaddle::fuzz
