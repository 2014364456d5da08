#ifndef HEATHERSADDLE_BENCH_LIB_SIM_H
#define HEATHERSADDLE_BENCH_LIB_SIM_H

#include "Load.h"
#include "Meter.h"
#include "heathersaddle/pool/PoolAccess.h"
#include <chrono>
#include <concepts>
#include <queue>

namespace heathersaddle::bench {

/// What the simulation needs of a scheduler.
template <class S>
concept Deciding = requires(S &Sched, const pool::Pool &P) {
  { Sched.decide(P, 0) } -> std::same_as<std::vector<policy::Decision>>;
  { Sched.hasMore() } -> std::convertible_to<bool>;
};

/// Runs a load against a scheduler on a virtual clock, with workers that take
/// 20 ms to start a job and 0.2 to 0.9 s to take a checkpoint. Running jobs
/// report their progress every 60 s.
template <Deciding S> class Sim {
public:
  Sim(const Load &Of, S &With) : L(Of), Sched(With) {
    for (const pool::WorkerSpec &W : L.Workers)
      if (!Cell.addWorker(W))
        std::abort();
    pool::PackResult R = pool::packHomes({{"c", &Cell}}, L.Guarantees);
    if (!R.Missing.empty() || !Cell.setHomes(R.Homes))
      std::abort();
    for (const auto &[Account, Terms] : L.Terms)
      Sched.setTerms(Account, Terms);
  }

  Meter run();
  pool::Pool Cell;

private:
  enum class What { Submit, Finish, Stopped, Cancel, Down, Up, Tick };
  struct Event {
    base::WallMs At = 0;
    std::uint64_t Order = 0;
    What Kind = What::Tick;
    std::size_t Index = 0; ///< Job or fault.
    unsigned Attempt = 0;
    bool operator<(const Event &B) const {
      return std::tie(At, Order) > std::tie(B.At, B.Order);
    }
  };
  struct Live {
    bool Accepted = false, Placed = false, Stopping = false, Ended = false;
    unsigned Attempt = 0;
    base::WallMs StartMs = 0, FirstMs = -1;
    std::int64_t ProgressMs = 0;
    bool Entitled = false;
  };

  void push(base::WallMs At, What Kind, std::size_t Index,
            unsigned Attempt = 0) {
    Events.push({At, Count++, Kind, Index, Attempt});
  }
  void handle(const Event &E);
  void decide();
  void submit(std::size_t J);
  void endAttempt(std::size_t J, policy::AttemptEnd Why, std::int64_t Kept);
  void down(const RackFault &F, pool::WorkerStatus Status);
  void report();
  void apply(const policy::PlaceDecision &D);
  void apply(const policy::StopDecision &D);
  void apply(const policy::HomesDecision &D) { (void)Cell.setHomes(D.Homes); }
  void apply(const policy::EndDecision &D) {
    Lives[Index.at(D.Job)].Ended = true;
    Sched.jobRemoved(D.Job);
    ++M.EndedUnrun;
  }
  void apply(const policy::WorkerDecision &D) {
    Cell.setStatus(D.Worker, D.Status);
  }
  bool entitled(const LoadJob &J) const;
  void finishMeter();
  void sampleIdle();

  const Load &L;
  S &Sched;
  Meter M;
  std::priority_queue<Event> Events;
  std::uint64_t Count = 0;
  base::WallMs Now = 0;
  std::vector<Live> Lives;
  std::map<std::string, std::size_t, std::less<>> Index;
  std::set<std::size_t> Waiting;
  std::map<std::pair<std::string, int>, unsigned> Outstanding;
};

static constexpr base::WallMs StartLatencyMs = 20;
static constexpr base::WallMs ReportEveryMs = 60'000;

template <Deciding S> Meter Sim<S>::run() {
  Lives.resize(L.Jobs.size());
  for (std::size_t J = 0; J != L.Jobs.size(); ++J) {
    Index.emplace(L.Jobs[J].View.Id, J);
    push(L.Jobs[J].View.AcceptedMs, What::Submit, J);
    if (L.Jobs[J].CancelMs)
      push(L.Jobs[J].CancelMs, What::Cancel, J);
  }
  for (std::size_t F = 0; F != L.Faults.size(); ++F) {
    push(L.Faults[F].DownMs, What::Down, F);
    push(L.Faults[F].UpMs, What::Up, F);
  }
  push(0, What::Tick, 0);
  while (!Events.empty() && Events.top().At <= L.EndMs) {
    Now = Events.top().At;
    while (!Events.empty() && Events.top().At == Now) {
      Event E = Events.top();
      Events.pop();
      handle(E);
    }
    decide();
  }
  finishMeter();
  return std::move(M);
}

template <Deciding S> void Sim<S>::decide() {
  for (unsigned Pass = 0; Pass != 64; ++Pass) {
    auto Before = std::chrono::steady_clock::now();
    std::vector<policy::Decision> Ds = Sched.decide(Cell, Now);
    auto After = std::chrono::steady_clock::now();
    if (Now >= L.MeasureMs)
      M.decided(
          std::chrono::duration<double, std::milli>(After - Before).count(),
          Ds.size());
    for (const policy::Decision &D : Ds)
      std::visit([this](const auto &Each) { this->apply(Each); }, D);
    if (!Sched.hasMore())
      return;
  }
}

// A job of a unit's shape is entitled when its account has fewer jobs of the
// unit than the unit's count and does not use its guaranteed number of
// accelerators itself for other work.
template <Deciding S> bool Sim<S>::entitled(const LoadJob &J) const {
  if (J.Unit < 0)
    return false;
  unsigned Slots = J.View.Shape.totalSlots();
  for (std::size_t N = 0; N != Lives.size(); ++N)
    if (Lives[N].Placed && L.Jobs[N].View.Account == J.View.Account &&
        L.Jobs[N].View.Shape.Accelerators)
      Slots += L.Jobs[N].View.Shape.totalSlots();
  for (const pool::Guarantee &G : L.Guarantees)
    if (G.Account == J.View.Account) {
      unsigned Guaranteed = 0;
      for (const pool::GuaranteeUnit &U : G.Units)
        Guaranteed += U.Accelerators * U.Workers * U.Count;
      if (Slots > Guaranteed)
        return false;
      auto Have = Outstanding.find({G.Account, J.Unit});
      return Have == Outstanding.end() || Have->second < G.Units[J.Unit].Count;
    }
  return false;
}

template <Deciding S> void Sim<S>::sampleIdle() {
  const pool::Table &T = pool::PoolAccess::table(Cell);
  M.Idle.add(static_cast<double>(T.FreeSlots) / T.UpSlots);
  if constexpr (requires { Sched.heldIdleSlots(Cell); })
    M.HeldIdle.add(static_cast<double>(Sched.heldIdleSlots(Cell)) / T.UpSlots);
}

template <Deciding S> void Sim<S>::submit(std::size_t J) {
  const LoadJob &Job = L.Jobs[J];
  Lives[J].Accepted = true;
  Lives[J].Entitled = entitled(Job);
  if (Job.Unit >= 0)
    ++Outstanding[{Job.View.Account, Job.Unit}];
  Waiting.insert(J);
  Sched.jobPending(Job.View, Now);
}

template <Deciding S> void Sim<S>::handle(const Event &E) {
  switch (E.Kind) {
  case What::Submit:
    return submit(E.Index);
  case What::Finish:
  case What::Cancel: {
    Live &J = Lives[E.Index];
    bool Due = E.Kind == What::Cancel ||
               (J.Placed && !J.Stopping && J.Attempt == E.Attempt);
    if (J.Ended || !Due)
      return;
    const LoadJob &Job = L.Jobs[E.Index];
    J.Ended = true;
    J.Placed = false;
    Cell.release(Job.View.Id);
    Waiting.erase(E.Index);
    if (Job.Unit >= 0)
      --Outstanding[{Job.View.Account, Job.Unit}];
    if (E.Kind == What::Cancel) {
      ++M.Cancelled;
      return Sched.jobRemoved(Job.View.Id);
    }
    Sched.jobFinished(Job.View.Id, Now);
    if (Job.View.AcceptedMs >= L.MeasureMs)
      M.completed(Job, Now - Job.View.AcceptedMs);
    return;
  }
  case What::Stopped: {
    Live &J = Lives[E.Index];
    if (!J.Ended && J.Placed && J.Attempt == E.Attempt)
      endAttempt(E.Index, policy::AttemptEnd::Stopped,
                 J.ProgressMs + Now - J.StartMs);
    return;
  }
  case What::Down:
    return down(L.Faults[E.Index], pool::WorkerStatus::Lost);
  case What::Up:
    return down(L.Faults[E.Index], pool::WorkerStatus::Up);
  case What::Tick:
    push(Now + L.TickMs, What::Tick, 0);
    if (Now % ReportEveryMs == 0)
      report();
    if (Now >= L.MeasureMs && Now % (5 * L.TickMs) == 0 && !Waiting.empty()) {
      M.sampleFragmentation(pool::PoolAccess::table(Cell), L, Waiting);
      sampleIdle();
    }
    return;
  }
}

template <Deciding S>
void Sim<S>::endAttempt(std::size_t J, policy::AttemptEnd Why,
                        std::int64_t Kept) {
  const LoadJob &Job = L.Jobs[J];
  Live &Each = Lives[J];
  Cell.release(Job.View.Id);
  Each.Placed = Each.Stopping = false;
  M.LostMs +=
      std::max<std::int64_t>(Each.ProgressMs + Now - Each.StartMs - Kept, 0) *
      Job.View.Shape.totalSlots();
  Each.ProgressMs = Kept;
  Sched.attemptEnded(Job.View.Id, Why, {}, Now);
  policy::JobView View = Job.View;
  View.ProgressMs = Kept;
  View.Attempt = Each.Attempt;
  Waiting.insert(J);
  Sched.jobPending(View, Now);
}

template <Deciding S>
void Sim<S>::down(const RackFault &F, pool::WorkerStatus Status) {
  for (const pool::WorkerSpec &W : L.Workers) {
    if (W.Rack != F.Rack)
      continue;
    Cell.setStatus(W.Name, Status);
    if (Status == pool::WorkerStatus::Up)
      continue;
    for (const std::string &Id : Cell.jobsOn(W.Name)) {
      std::size_t J = Index.at(Id);
      std::int64_t Ran = Lives[J].ProgressMs + Now - Lives[J].StartMs;
      if (L.Jobs[J].View.Idempotent) {
        endAttempt(J, policy::AttemptEnd::WorkerLost,
                   std::max<std::int64_t>(Ran - ReportEveryMs / 2,
                                          Lives[J].ProgressMs));
        continue;
      }
      Lives[J].Ended = true;
      Lives[J].Placed = false;
      Cell.release(Id);
      if (L.Jobs[J].Unit >= 0)
        --Outstanding[{L.Jobs[J].View.Account, L.Jobs[J].Unit}];
      Sched.jobRemoved(Id);
      ++M.Unknown;
    }
  }
}

template <Deciding S> void Sim<S>::report() {
  for (std::size_t J = 0; J != Lives.size(); ++J)
    if (Lives[J].Placed && !Lives[J].Stopping)
      Sched.usage(L.Jobs[J].View.Id,
                  Lives[J].ProgressMs + Now - Lives[J].StartMs, Now);
}

template <Deciding S> void Sim<S>::apply(const policy::PlaceDecision &D) {
  std::size_t J = Index.at(D.Job);
  const LoadJob &Job = L.Jobs[J];
  Live &Each = Lives[J];
  if (!Cell.allocate(D.Job, Job.View.Account, D.Tasks))
    std::abort();
  Each.Placed = true;
  Each.StartMs = Now + StartLatencyMs;
  ++Each.Attempt;
  Waiting.erase(J);
  if (Each.FirstMs < 0) {
    Each.FirstMs = Each.StartMs;
    if (Job.View.AcceptedMs >= L.MeasureMs)
      M.started(Job, Each.FirstMs - Job.View.AcceptedMs, Each.Entitled);
  }
  push(Each.StartMs + std::max<std::int64_t>(Job.RunMs - Each.ProgressMs, 1),
       What::Finish, J, Each.Attempt);
  Sched.jobPlaced(D.Job, D.Tasks, Now);
}

template <Deciding S> void Sim<S>::apply(const policy::StopDecision &D) {
  std::size_t J = Index.at(D.Job);
  Lives[J].Stopping = true;
  ++M.Stops;
  // The time varies by job and attempt but not between schedulers.
  base::WallMs Checkpoint = 200 + (J * 37 + Lives[J].Attempt * 101) % 700;
  push(Now + Checkpoint, What::Stopped, J, Lives[J].Attempt);
  Sched.jobStopping(D.Job);
}

// Jobs that never started or ended count with the time they have waited, so
// that leaving them out does not improve a figure.
template <Deciding S> void Sim<S>::finishMeter() {
  for (std::size_t J = 0; J != Lives.size(); ++J) {
    const LoadJob &Job = L.Jobs[J];
    if (!Lives[J].Accepted || Lives[J].Ended ||
        Job.View.AcceptedMs < L.MeasureMs)
      continue;
    base::WallMs Age = L.EndMs - Job.View.AcceptedMs;
    ++M.Unfinished;
    M.completed(Job, Age);
    if (Lives[J].FirstMs < 0)
      M.started(Job, Age, Lives[J].Entitled);
  }
}

} // namespace heathersaddle::bench

#endif
