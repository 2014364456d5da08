// For queues that require it, an external advisor decides which workers may run
// a step, and returns a ticket for each. A worker without a ticket may not be
// used for the step.
//
// The advisor is slow and handles one call at a time, so a call names up to
// thirty workers, those with the least reserved first, and further workers are
// asked about only if those allowed so far are not enough. A ticket is valid
// for a limited time and for one incarnation of a worker; expired advice is
// requested again.
#include "Owner.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// Workers named in one call; deployments plan for one call per thirty workers.
static constexpr std::size_t MaxWorkersPerCall = 30;
/// Limit of calls in flight; the advisor rejects calls when 32 are waiting.
static constexpr unsigned MaxAdviceCalls = 8;
static constexpr Millis AdviceTimeout{6'000};
static constexpr Millis AdviceRetryDelay{500};
/// Used if the configuration sets no validity.
static constexpr std::int64_t DefaultAdviceValidMs = 3'000;

const std::map<std::string, std::string> *
Owner::ticketsFor(const Job &J, unsigned Occurrence, unsigned Step) {
  UnitId Id{J.Spec.Id, Occurrence, Step, 0};
  Advice &A = AdviceByStep[Id];
  MonoTime T = Shared.mono();
  if (A.ValidUntil.count() && T > A.ValidUntil) {
    A.Tickets.clear();
    A.AskedWorkers.clear();
    A.ValidUntil = {};
  }
  const workload::Step &S = J.Spec.Steps[Step];
  std::size_t RequiredTickets = S.Gang ? S.Count : 1;
  std::size_t UsableTickets = A.Tickets.size();
  if (!Shared.Drained.empty())
    UsableTickets -= static_cast<std::size_t>(std::count_if(
        A.Tickets.begin(), A.Tickets.end(),
        [this](const auto &T) { return isDrainedWorker(T.first); }));
  if (UsableTickets < RequiredTickets && !A.InFlight && T >= A.NextAskAt) {
    if (AdviceCalls < MaxAdviceCalls)
      requestAdvice(Id, J, A);
    else if (!std::exchange(A.HeldBack, true))
      Shared.count("advice_calls_held_back");
  }
  return A.Tickets.empty() ? nullptr : &A.Tickets;
}

void Owner::requestAdvice(const UnitId &Step, const Job &J, Advice &A) {
  A.HeldBack = false;
  const workload::Step &S = J.Spec.Steps[Step.Step];
  std::vector<std::pair<std::int64_t, std::string>> Candidates;
  for (const auto &[Id, Worker] : Sessions) {
    const auto &Labels = Worker.Entry.Labels;
    if (!Worker.Listed || !Worker.Described || !Worker.Synced ||
        Worker.Entry.Draining || isDrained(Worker) ||
        Worker.Entry.Service != J.Spec.Service || A.AskedWorkers.contains(Id) ||
        !S.room().fitsIn(Worker.Entry.Capacity) ||
        (!S.RequiredLabel.empty() &&
         std::find(Labels.begin(), Labels.end(), S.RequiredLabel) ==
             Labels.end()))
      continue;
    std::int64_t ReservedGpusAndRuns = 0;
    for (const auto &[Run, R] : Worker.Runs)
      ReservedGpusAndRuns += R.Room.Gpus + 1;
    Candidates.emplace_back(ReservedGpusAndRuns, Id);
  }
  if (Candidates.empty()) {
    // All workers were asked about. The advisor's rule for a step does not
    // change, but the workers do, so the next round starts from the beginning.
    A.AskedWorkers.clear();
    A.NextAskAt = Shared.mono() + AdviceRetryDelay;
    return;
  }
  std::sort(Candidates.begin(), Candidates.end());
  if (Candidates.size() > MaxWorkersPerCall)
    Candidates.resize(MaxWorkersPerCall);
  const Queue *Q = nullptr;
  if (Shared.Config)
    for (const Queue &One : Shared.Config->Queues)
      if (One.Name == J.Spec.Queue)
        Q = &One;
  std::int64_t ValidMs =
      Q && Q->AdviceValidMs > 0 ? Q->AdviceValidMs : DefaultAdviceValidMs;
  AdviceAction Action;
  Action.Step = {Step.Job, {Step.Occurrence, Step.Step, 0}};
  for (auto &[ReservedGpusAndRuns, Id] : Candidates) {
    A.AskedWorkers.insert(Id);
    Action.Workers.push_back(std::move(Id));
  }
  Action.TimeLimit = AdviceTimeout;
  A.InFlight = true;
  ++AdviceCalls;
  Shared.count("advice_calls");
  Action.Done =
      [this, Alive = Alive, Step,
       ValidMs](const base::Expected<std::map<std::string, std::string>> &R) {
        if (*Alive)
          onAdvice(Step, ValidMs, R);
      };
  Shared.Actions.push_back(std::move(Action));
}

void Owner::onAdvice(
    const UnitId &Step, std::int64_t ValidMs,
    const base::Expected<std::map<std::string, std::string>> &R) {
  --AdviceCalls;
  PlanNeeded = true;
  auto It = AdviceByStep.find(Step);
  if (It == AdviceByStep.end())
    return;
  Advice &A = It->second;
  A.InFlight = false;
  if (!R) {
    A.AskedWorkers.clear();
    A.NextAskAt = Shared.mono() + Shared.jitter(AdviceRetryDelay);
    Shared.log(433, {{"job", Step.Job},
                     {"step", Step.Step},
                     {"reason", R.error().toString()}});
    return;
  }
  A.Tickets.insert(R->begin(), R->end());
  MonoTime Until = Shared.mono() + std::max(Millis(ValidMs) - TicketMargin,
                                            Millis(ValidMs / 2));
  A.ValidUntil = A.ValidUntil.count() ? std::min(A.ValidUntil, Until) : Until;
  Shared.log(434, {{"job", Step.Job},
                   {"step", Step.Step},
                   {"allowed", A.Tickets.size()},
                   {"asked", A.AskedWorkers.size()}});
}

} // namespace heathersaddle::cluster
