// Three simple schedulers to compare with. Like policy::Scheduler, they examine
// at most 256 queue entries per decision.
#include "Baselines.h"
#include <algorithm>
#include <bit>

namespace heathersaddle::bench {

using namespace policy;
using pool::SlotMask;
using pool::Table;
using pool::Tasks;
using pool::WorkerId;

static constexpr unsigned MaxExamined = 256;
// With BaselineKind::SlotQuota: how long after other jobs were stopped for a
// waiting job more jobs may be stopped for it.
static constexpr base::WallMs ReclaimRetryMs = 15'000;

void Baseline::setTerms(std::string_view Account, const AccountTerms &Terms) {
  Shares[std::string(Account)] = std::max(Terms.Share, 1U);
}

Baseline::Key Baseline::keyOf(const JobEntry &Entry) const {
  bool IsPrioritized = Kind != BaselineKind::FirstFit && Entry.View.Urgent;
  return {!IsPrioritized, Entry.View.AcceptedMs, Entry.View.Id};
}

void Baseline::release(JobEntry &Entry) {
  Queue.erase(keyOf(Entry));
  if (Entry.Placed)
    UsedSlots[Entry.View.Account] -= Entry.View.Shape.totalSlots();
  Entry.Placed = Entry.Stopping = false;
}

void Baseline::jobPending(const JobView &Job, base::WallMs) {
  JobEntry &Entry = Jobs[Job.Id];
  release(Entry);
  Entry.View = Job;
  Queue.insert(keyOf(Entry));
}

void Baseline::jobPlaced(std::string_view Job, std::span<const pool::Placement>,
                         base::WallMs Now) {
  JobEntry &Entry = Jobs.find(Job)->second;
  release(Entry);
  Entry.Placed = true;
  Entry.StartMs = Now;
  UsedSlots[Entry.View.Account] += Entry.View.Shape.totalSlots();
}

void Baseline::jobStopping(std::string_view Job) {
  Jobs.find(Job)->second.Stopping = true;
}

void Baseline::attemptEnded(std::string_view Job, AttemptEnd,
                            std::span<const std::string>, base::WallMs) {
  release(Jobs.find(Job)->second);
}

void Baseline::jobRemoved(std::string_view Job) {
  auto I = Jobs.find(Job);
  if (I == Jobs.end())
    return;
  release(I->second);
  Jobs.erase(I);
}

void Baseline::place(JobEntry &Entry, const Table &T, Masks &Free,
                     const Tasks &W) {
  for (const pool::TaskSlots &Part : W)
    Free[Part.Worker] &= ~Part.Slots;
  Decisions.push_back(PlaceDecision{Entry.View.Id, T.toPlacements(W)});
}

// Places the tasks on the first workers in Rows that have room, lowest slots
// first.
static Tasks firstFitOn(const pool::Shape &S, std::span<const WorkerId> Rows,
                        const std::vector<SlotMask> &Free, const Table &T) {
  Tasks Out;
  unsigned Block = std::bit_ceil(S.SlotsPerTask);
  for (WorkerId W : Rows) {
    SlotMask M = Free[W];
    if (S.Accelerators)
      M &= T.Rows[W].Accelerated;
    for (unsigned Low = 0; M && Low + S.SlotsPerTask <= 64; ++Low) {
      SlotMask Range = pool::lowSlots(S.SlotsPerTask) << Low;
      if ((M & Range) != Range ||
          Low / Block != (Low + S.SlotsPerTask - 1) / Block)
        continue;
      Out.push_back({W, Range});
      M &= ~Range;
      if (Out.size() == S.Tasks)
        return Out;
    }
  }
  return {};
}

static Tasks firstFitFor(const pool::Shape &S, const std::vector<SlotMask> &F,
                         const Table &T) {
  if (S.Tasks == 1 || S.Within == pool::Adjacency::None)
    return firstFitOn(S, T.WorkersByName, F, T);
  if (S.Within == pool::Adjacency::Rack) {
    for (const auto &[Name, Rows] : T.Racks)
      if (Tasks W = firstFitOn(S, Rows, F, T); !W.empty())
        return W;
    return {};
  }
  for (const WorkerId &Row : T.WorkersByName)
    if (Tasks W = firstFitOn(S, {&Row, 1}, F, T); !W.empty())
      return W;
  return {};
}

void Baseline::decideFirstFit(const Table &T, Masks Free) {
  unsigned Left = MaxExamined;
  for (const Key &K : Queue) {
    JobEntry &Entry = Jobs.find(std::get<2>(K))->second;
    Tasks W = firstFitFor(Entry.View.Shape, Free, T);
    if (W.empty() || Left-- == 0)
      return;
    place(Entry, T, Free, W);
  }
}

// Returns when and where the head of the queue can start if all jobs run for
// their declared times.
static std::pair<base::WallMs, Tasks>
earliestStart(const Table &T, const pool::Shape &S,
              const std::vector<std::pair<base::WallMs, pool::JobId>> &Ends,
              const std::vector<SlotMask> &Free) {
  auto Attempt = [&](std::size_t Count) {
    std::vector<SlotMask> M = Free;
    for (std::size_t I = 0; I != Count; ++I)
      for (const pool::TaskSlots &Part : T.Jobs[Ends[I].second].Where)
        if (T.Rows[Part.Worker].Status == pool::WorkerStatus::Up)
          M[Part.Worker] |= Part.Slots;
    return pool::placeOn(T, S, std::move(M));
  };
  std::size_t Low = 0, High = Ends.size();
  auto Best = Attempt(High);
  if (!Best || Ends.empty())
    return {0, {}};
  while (Low < High) {
    std::size_t Middle = (Low + High) / 2;
    if (auto Found = Attempt(Middle)) {
      Best = std::move(Found);
      High = Middle;
    } else {
      Low = Middle + 1;
    }
  }
  return {Ends[std::max<std::size_t>(High, 1) - 1].first, *Best};
}

void Baseline::decideBackfill(const Table &T, Masks Free, base::WallMs Now) {
  unsigned Left = MaxExamined;
  Masks ReservedSlots(Free.size(), 0);
  base::WallMs HeadStart = -1;
  for (const Key &K : Queue) {
    if (Left-- == 0)
      return;
    JobEntry &Entry = Jobs.find(std::get<2>(K))->second;
    Masks Unreserved = Free;
    for (WorkerId W : T.WorkersByName)
      Unreserved[W] &= ~ReservedSlots[W];
    auto W = pool::placeOn(T, Entry.View.Shape, std::move(Unreserved));
    std::int64_t Run = Entry.View.DeclaredRunMs;
    if (!W && HeadStart >= 0 && Run > 0 && Now + Run <= HeadStart)
      W = pool::placeOn(T, Entry.View.Shape, Free);
    if (W) {
      place(Entry, T, Free, *W);
      continue;
    }
    if (HeadStart >= 0)
      continue;
    std::vector<std::pair<base::WallMs, pool::JobId>> Ends;
    for (pool::JobId J = 0; J != T.Jobs.size(); ++J)
      if (auto Run = Jobs.find(T.Jobs[J].Name); Run != Jobs.end())
        Ends.emplace_back(std::max(Now + 1, Run->second.StartMs +
                                                Run->second.View.DeclaredRunMs),
                          J);
    std::sort(Ends.begin(), Ends.end());
    auto [At, Where] = earliestStart(T, Entry.View.Shape, Ends, Free);
    HeadStart = At;
    for (const pool::TaskSlots &Part : Where)
      ReservedSlots[Part.Worker] |= Part.Slots;
  }
}

// Stops the youngest jobs of accounts above their quota until enough slots will
// become free, regardless of where the slots are.
void Baseline::reclaimByQuota(JobEntry &Entry, const Table &T,
                              base::WallMs Now) {
  if (Entry.LastReclaimMs >= 0 && Now - Entry.LastReclaimMs < ReclaimRetryMs)
    return;
  Entry.LastReclaimMs = Now;
  std::vector<JobEntry *> Youngest;
  for (auto &[Id, Each] : Jobs)
    if (Each.Placed && !Each.Stopping && Each.View.Idempotent &&
        !Each.View.Urgent && Each.View.Account != Entry.View.Account &&
        UsedSlots[Each.View.Account] >
            T.homeSlots(T.account(Each.View.Account)))
      Youngest.push_back(&Each);
  std::stable_sort(Youngest.begin(), Youngest.end(),
                   [](const JobEntry *A, const JobEntry *B) {
                     return A->StartMs > B->StartMs;
                   });
  unsigned Needed = Entry.View.Shape.totalSlots();
  for (JobEntry *Victim : Youngest) {
    if (Needed == 0)
      return;
    Needed -= std::min(Needed, Victim->View.Shape.totalSlots());
    Decisions.push_back(
        StopDecision{Victim->View.Id, "reclaim", Entry.View.Account});
    Victim->Stopping = true;
  }
}

void Baseline::decideSlotQuota(const Table &T, Masks Free, base::WallMs Now) {
  struct QueueEntry {
    bool NotUrgent;
    bool OverQuota;
    double UseByShare;
    const Key *QueueKey;
  };
  std::vector<QueueEntry> Order;
  for (const Key &K : Queue) {
    const JobView &V = Jobs.find(std::get<2>(K))->second.View;
    unsigned Quota = T.homeSlots(T.account(V.Account));
    unsigned Have = UsedSlots[V.Account];
    Order.push_back(
        {std::get<0>(K), Have + V.Shape.totalSlots() > Quota,
         static_cast<double>(Have) / std::max(Shares[V.Account], 1U), &K});
  }
  std::stable_sort(Order.begin(), Order.end(), [](auto &A, auto &B) {
    return std::tuple(A.NotUrgent, A.OverQuota, A.UseByShare) <
           std::tuple(B.NotUrgent, B.OverQuota, B.UseByShare);
  });
  unsigned Left = MaxExamined;
  for (const QueueEntry &Each : Order) {
    if (Left-- == 0)
      return;
    JobEntry &Entry = Jobs.find(std::get<2>(*Each.QueueKey))->second;
    if (auto W = pool::placeOn(T, Entry.View.Shape, Free))
      place(Entry, T, Free, *W);
    else if (!Each.OverQuota)
      reclaimByQuota(Entry, T, Now);
  }
}

std::vector<Decision> Baseline::decide(const pool::Pool &P, base::WallMs Now) {
  const Table &T = pool::PoolAccess::table(P);
  Decisions.clear();
  if (Queue.empty())
    return {};
  Masks Free(T.Rows.size(), 0);
  for (WorkerId W : T.WorkersByName)
    Free[W] = T.Rows[W].freeSlots();
  switch (Kind) {
  case BaselineKind::FirstFit:
    decideFirstFit(T, std::move(Free));
    break;
  case BaselineKind::Backfill:
    decideBackfill(T, std::move(Free), Now);
    break;
  case BaselineKind::SlotQuota:
    decideSlotQuota(T, std::move(Free), Now);
    break;
  }
  return std::move(Decisions);
}

} // namespace heathersaddle::bench
