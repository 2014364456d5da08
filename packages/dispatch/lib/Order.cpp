// Load pattern: more work waits than fits, of three priorities and many sizes.
//
// Urgent work (priority 0) comes first: guaranteed shares, then by age. All
// other work is ordered by the time at which it must end, in three bands:
// what can still earn full credit, what can still earn late credit, and the
// rest. Work that is too late for full credit thus never delays work that is
// not, and within a band no size or account is preferred.
#include "heathersaddle/dispatch/Planner.h"
#include <algorithm>
#include <tuple>

namespace heathersaddle::dispatch {

/// Late credit is given up to this multiple of the objective; from the credit
/// rules of the deployments.
static constexpr std::int64_t LateCreditFactor = 3;

static int creditBand(const WaitingTasks &W, std::int64_t NowMs) {
  std::int64_t End = NowMs + W.RemainingMs;
  if (End <= W.ObjectiveMs)
    return 0;
  std::int64_t Allowed = W.ObjectiveMs - W.DueMs;
  return End <= W.DueMs + LateCreditFactor * Allowed ? 1 : 2;
}

void sortByUrgency(std::span<WaitingTasks> Queue, std::int64_t NowMs) {
  auto Key = [NowMs](const WaitingTasks &W) {
    bool Urgent = W.Job->Spec.Priority == 0;
    int Band = Urgent && W.Guaranteed ? 0 : creditBand(W, NowMs);
    // Late work is ordered by the time after which it earns no credit.
    std::int64_t Deadline =
        Band == 0 ? W.ObjectiveMs
                  : W.DueMs + LateCreditFactor * (W.ObjectiveMs - W.DueMs);
    return std::make_tuple(!Urgent, !(Urgent && W.Guaranteed), Band,
                           Urgent ? W.DueMs : Deadline, W.Job->Spec.Priority,
                           std::string_view(W.Job->Spec.Id), W.Occurrence,
                           W.Step, W.Tasks.empty() ? 0 : W.Tasks.front());
  };
  std::sort(Queue.begin(), Queue.end(),
            [&](const WaitingTasks &A, const WaitingTasks &B) {
              return Key(A) < Key(B);
            });
}

} // namespace heathersaddle::dispatch
