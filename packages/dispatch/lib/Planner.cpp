// One pass over the waiting work in the order of Order.cpp. Each unit is placed
// if it fits alongside the holds and reservations of the units before it. For
// urgent units that do not fit, cheaper work is stopped and its workers are
// held (Victims.cpp). The first few other gangs that do not fit get a
// reservation (Reserve.cpp).
#include "heathersaddle/dispatch/Planner.h"
#include "KeptRoom.h"
#include "Packing.h"
#include "Reserve.h"
#include "UrgentRacks.h"
#include "Victims.h"
#include "Waits.h"
#include "heathersaddle/dispatch/Crashes.h"
#include <algorithm>
#include <cmath>

namespace heathersaddle::dispatch {

/// Stopped work frees its room within the longest stop time of a worker plus
/// two message exchanges, so a hold that lasts longer than this has failed.
static constexpr std::int64_t MaxHoldMs = 3'000;
/// Gangs that get a reservation in one pass; more reservations would leave the
/// pool idle.
static constexpr unsigned MaxReservations = 2;
/// Urgent gangs and steps for which an eviction is searched in one pass; the
/// next pass continues.
static constexpr unsigned MaxEvictionSearches = 6;
/// Work with data on a rack waits for room there up to this multiple of its
/// estimate, as it takes three times as long elsewhere.
static constexpr double DataRackWaitFactor = 1.5;

/// Weight of one waiting unit in the moving average of the speed that urgent
/// work needs.
static constexpr double UrgentSpeedWeight = 0.05;

/// Waits are explained from this age on, in one pass per period, for so many
/// units at most.
static constexpr std::int64_t MinExplainedWaitMs = 5'000;
static constexpr std::int64_t WaitExplanationPeriodMs = 2'000;
static constexpr std::size_t MaxExplainedWaits = 4;

namespace {

class Pass {
public:
  Pass(Fleet &F, std::map<UnitId, Hold> &Holds, std::int64_t NowMs,
       std::vector<bool> InUrgentRack, const SpeedRange &Speeds,
       bool ExplainsWaits)
      : CurrentFleet(F), Holds(Holds), NowMs(NowMs),
        InUrgentRack(std::move(InUrgentRack)), Speeds(Speeds),
        ExplainsWaits(ExplainsWaits), RackIndex(F),
        Free(CurrentFleet.Workers.size()),
        ReservedFrom(CurrentFleet.Workers.size(), 0) {
    for (std::size_t N = 0; N < CurrentFleet.Workers.size(); ++N)
      Free[N] = CurrentFleet.Workers[N].Free;
  }

  void consider(WaitingTasks &W) {
    bool Urgent = W.Job->Spec.Priority == 0;
    std::size_t PlacedBefore = Result.Placements.size();
    limitKeptRoom(CurrentFleet, Free, W, NowMs);
    W.SpeedMatters = Speeds.Differ;
    W.NeededSpeed = Speeds.Differ ? neededSpeedClass(W, Speeds, NowMs) : 0;
    if (W.step().Gang)
      placeGang(W, Urgent);
    else
      placeTasks(W, Urgent);
    if (ExplainsWaits && Result.Placements.size() == PlacedBefore &&
        !W.Tasks.empty() && NowMs - W.DueMs >= MinExplainedWaitMs &&
        Result.Waits.size() < MaxExplainedWaits)
      Result.Waits.push_back({&W, explainWait(CurrentFleet, RackIndex, Free,
                                              roomFor(W, Urgent), W)});
  }
  /// Makes the room of a hold unavailable to other work.
  void subtractHeldRoom(const Hold &H, const Resources &Need) {
    for (std::size_t N : H.Workers) {
      Free[N] -= Need;
      CurrentFleet.Workers[N].Occupied = true;
    }
  }
  void addHeldRoom(const Hold &H, const Resources &Need) {
    for (std::size_t N : H.Workers)
      Free[N] += Need;
  }

  Plan Result;

private:
  static UnitId unit(const WaitingTasks &W) {
    return {W.Job->Spec.Id, W.Occurrence, W.Step,
            W.step().Gang || W.Tasks.empty() ? 0 : W.Tasks.front()};
  }
  void place(const WaitingTasks &W, std::vector<unsigned> Tasks,
             std::vector<std::size_t> Where) {
    for (std::size_t N : Where)
      addTenant(CurrentFleet.Workers[N], W);
    if (W.step().MaxPerWorker)
      for (std::size_t N : Where)
        ++CurrentFleet.StepTasks[{W.Job->Spec.Id, W.Occurrence, W.Step, 0}]
                                [CurrentFleet.Workers[N].Id];
    Result.Placements.push_back({&W, std::move(Tasks), std::move(Where)});
  }
  /// Free room without the workers that \p W may not use yet: those kept for
  /// urgent work, and those with a reservation that starts before \p W would
  /// end.
  FreeResources roomFor(const WaitingTasks &W, bool Urgent) const {
    FreeResources Left = Free;
    if (Urgent || W.MayUseKeptRoom)
      return Left;
    for (std::size_t N = 0; N < Left.size(); ++N)
      if ((InUrgentRack[N] && !mayUseUrgentRacks(W)) ||
          (ReservedFrom[N] && NowMs + W.step().EstimateMs > ReservedFrom[N]))
        Left[N] = {-1, -1, -1};
    return Left;
  }
  void allocate(const std::vector<std::size_t> &Where, const Resources &Need) {
    for (std::size_t N : Where)
      Free[N] -= Need;
  }

  void placeGang(WaitingTasks &W, bool Urgent) {
    Resources Need = W.step().room();
    auto Held = Holds.find(unit(W));
    if (Held != Holds.end()) {
      addHeldRoom(Held->second, Need);
      if (heldRoomIsFree(Held->second, Need)) {
        auto Where = Held->second.Workers;
        Holds.erase(Held);
        allocate(Where, Need);
        return place(W, W.Tasks, std::move(Where));
      }
    }
    bool MaySpread = !W.step().SameRack ||
                     !fitsOneEmptyRack(CurrentFleet, RackIndex, W) ||
                     W.MayUseAnyRoom;
    FreeResources Available = roomFor(W, Urgent);
    auto Where = packWithoutDegraded(Available, W, MaySpread);
    if (Where.empty() && W.MayUseAnyRoom)
      Where = packGang(CurrentFleet, RackIndex, Available, W, MaySpread);
    if (!Where.empty()) {
      if (Held != Holds.end())
        Holds.erase(Held);
      allocate(Where, Need);
      return place(W, W.Tasks, std::move(Where));
    }
    if (Held != Holds.end()) {
      subtractHeldRoom(Held->second, Need);
      return;
    }
    auto Found = Urgent ? findEvictionFor(W, MaySpread) : std::nullopt;
    // Room made on workers that are not degraded is better than free room on
    // degraded ones.
    if (Found && Found->Cost < DegradedWorkerCost)
      return evict(W, *Found);
    Where = packGang(CurrentFleet, RackIndex, Available, W, MaySpread);
    if (!Where.empty()) {
      allocate(Where, Need);
      return place(W, W.Tasks, std::move(Where));
    }
    if (Found)
      return evict(W, *Found);
    if (Urgent)
      return;
    if (Reservations < MaxReservations) {
      FreeResources Allowed = Free;
      for (std::size_t N = 0; N < Allowed.size(); ++N)
        if (InUrgentRack[N] && !mayUseUrgentRacks(W))
          Allowed[N] = {-(1 << 30), -(1 << 30), -(1 << 30)};
      if (auto Reserved =
              reserve(CurrentFleet, RackIndex, Allowed, W, MaySpread, NowMs)) {
        ++Reservations;
        for (std::size_t N : Reserved->Workers)
          ReservedFrom[N] = ReservedFrom[N]
                                ? std::min(ReservedFrom[N], Reserved->FromMs)
                                : Reserved->FromMs;
      }
    }
  }

  /// Places the whole gang on workers that are not degraded: one member on a
  /// slow or failing worker delays or breaks the whole gang.
  std::vector<std::size_t> packWithoutDegraded(const FreeResources &Available,
                                               const WaitingTasks &W,
                                               bool MaySpread) {
    FreeResources WithoutDegraded = Available;
    for (std::size_t N = 0; N < WithoutDegraded.size(); ++N)
      if (isDegraded(CurrentFleet.Workers[N], W))
        WithoutDegraded[N] = {-1, -1, -1};
    return packGang(CurrentFleet, RackIndex, WithoutDegraded, W, MaySpread);
  }

  bool heldRoomIsFree(const Hold &H, const Resources &Need) const {
    std::map<std::size_t, Resources> Sum;
    for (std::size_t N : H.Workers)
      Sum[N] += Need;
    return std::all_of(Sum.begin(), Sum.end(), [this](const auto &S) {
      return S.second.fitsIn(Free[S.first]);
    });
  }

  /// Finds the work to stop so that the tasks of urgent \p W can run.
  std::optional<Eviction> findEvictionFor(const WaitingTasks &W,
                                          bool MaySpread) {
    if (EvictionSearches >= MaxEvictionSearches)
      return std::nullopt;
    ++EvictionSearches;
    if (UnitCost.empty())
      UnitCost = unitCosts(CurrentFleet);
    auto Best = findEvictionOn(W, MaySpread, true);
    // A job that ends a little late is better than one that begins late.
    if (!Best && Speeds.Differ)
      Best = findEvictionOn(W, MaySpread, false);
    return Best;
  }

  /// As above; with \p FastEnough, only on workers on which \p W should end in
  /// time if there are any. Otherwise the stops would gain nothing.
  std::optional<Eviction> findEvictionOn(const WaitingTasks &W, bool MaySpread,
                                         bool FastEnough) {
    std::optional<Eviction> Best;
    auto Search = [&](std::span<const std::size_t> Candidates) {
      std::vector<std::size_t> Fast;
      if (FastEnough && Speeds.Differ && W.NeededSpeed <= Speeds.Fastest) {
        for (std::size_t C : Candidates)
          if (speedClass(CurrentFleet.Workers[C], W) >= W.NeededSpeed)
            Fast.push_back(C);
        Candidates = Fast;
      }
      auto E = findEviction(CurrentFleet, UnitCost, Free, Candidates, W);
      if (E && (!Best || E->Cost < Best->Cost))
        Best = std::move(E);
    };
    if (W.step().SameRack && !MaySpread)
      for (const Rack &One : RackIndex.racksFor(W))
        Search(One.Members);
    // A guaranteed gang may spread over racks, so that it starts in time.
    if (!Best && (MaySpread || W.Guaranteed))
      Search(RackIndex.workersFor(W));
    return Best;
  }

  /// Stops the units of \p E. The room is held for the tasks of \p W, whether
  /// they are a gang or not: otherwise the next pass would give it to other
  /// work and stop more.
  void evict(const WaitingTasks &W, const Eviction &E) {
    Result.Stops.insert(E.Units.begin(), E.Units.end());
    if (W.step().Gang)
      hold(unit(W), E.Workers, W);
    else
      for (std::size_t N = 0; N < W.Tasks.size(); ++N)
        hold({W.Job->Spec.Id, W.Occurrence, W.Step, W.Tasks[N]}, {E.Workers[N]},
             W);
    for (Worker &On : CurrentFleet.Workers)
      for (Allocation &Run : On.Allocations)
        if (E.Units.contains(Run.Unit))
          Run.Stoppable = false;
  }

  void hold(const UnitId &Unit, std::vector<std::size_t> Workers,
            const WaitingTasks &W) {
    Hold H{Unit, std::move(Workers), {}, NowMs + MaxHoldMs};
    for (std::size_t N : H.Workers)
      H.WorkerIds.push_back(CurrentFleet.Workers[N].Id);
    subtractHeldRoom(H, W.step().room());
    Holds[H.Unit] = std::move(H);
  }

  /// Places the single tasks of \p W whose held room has become free. The
  /// others with a hold keep it, unless there is room elsewhere. Removes all of
  /// them from the tasks of \p W.
  void placeHeldTasks(WaitingTasks &W) {
    Resources Need = W.step().room();
    std::vector<unsigned> Placed;
    std::vector<std::size_t> Where;
    std::erase_if(W.Tasks, [&](unsigned Index) {
      auto Held = Holds.find({W.Job->Spec.Id, W.Occurrence, W.Step, Index});
      if (Held == Holds.end())
        return false;
      addHeldRoom(Held->second, Need);
      std::vector<std::size_t> On;
      if (heldRoomIsFree(Held->second, Need)) {
        On = Held->second.Workers;
        allocate(On, Need);
      } else {
        On = pack(CurrentFleet, Free, RackIndex.workersFor(W), W, 1);
      }
      if (On.empty()) {
        subtractHeldRoom(Held->second, Need);
        return true;
      }
      Holds.erase(Held);
      Placed.push_back(Index);
      Where.push_back(On.front());
      return true;
    });
    if (!Placed.empty())
      place(W, std::move(Placed), std::move(Where));
  }

  void placeTasks(WaitingTasks &W, bool Urgent) {
    if (Urgent)
      placeHeldTasks(W);
    const workload::Step &S = W.step();
    FreeResources Available = roomFor(W, Urgent);
    std::vector<std::size_t> Where;
    if (!S.DataRack.empty()) {
      const Rack *DataRack = nullptr;
      for (const Rack &One : RackIndex.racksFor(W))
        if (One.Name == S.DataRack)
          DataRack = &One;
      if (DataRack)
        Where =
            pack(CurrentFleet, Available, DataRack->Members, W, W.Tasks.size());
      bool WaitsForRack =
          DataRack && !W.MayUseAnyRoom &&
          static_cast<double>(NowMs - W.DueMs) <
              DataRackWaitFactor * static_cast<double>(S.EstimateMs);
      if (Where.size() < W.Tasks.size() && !WaitsForRack) {
        auto More = pack(CurrentFleet, Available, RackIndex.workersFor(W), W,
                         W.Tasks.size() - Where.size());
        Where.insert(Where.end(), More.begin(), More.end());
      }
    } else {
      Where = pack(CurrentFleet, Available, RackIndex.workersFor(W), W,
                   W.Tasks.size());
    }
    allocate(Where, S.room());
    std::vector<unsigned> Tasks(W.Tasks.begin(),
                                W.Tasks.begin() +
                                    static_cast<std::ptrdiff_t>(Where.size()));
    if (!Where.empty())
      place(W, std::move(Tasks), Where);
    else
      reserveForLoneTask(W);
    if (Urgent && Where.size() < W.Tasks.size()) {
      W.Tasks.erase(W.Tasks.begin(),
                    W.Tasks.begin() +
                        static_cast<std::ptrdiff_t>(Where.size()));
      if (auto Found = findEvictionFor(W, true))
        evict(W, *Found);
    }
  }

  void reserveForLoneTask(const WaitingTasks &W) {
    if (W.Crashes < AloneFromCrashes || W.Tasks.empty() ||
        LoneReservations >= MaxReservations)
      return;
    auto Reserved = reserveEmptyWorker(CurrentFleet, ReservedFrom,
                                       RackIndex.workersFor(W), W, NowMs);
    if (!Reserved)
      return;
    ++LoneReservations;
    ReservedFrom[Reserved->Workers.front()] = Reserved->FromMs;
  }

  Fleet &CurrentFleet;
  std::map<UnitId, Hold> &Holds;
  std::int64_t NowMs;
  /// Per worker: whether its rack is kept for urgent work.
  std::vector<bool> InUrgentRack;
  SpeedRange Speeds;
  bool ExplainsWaits;
  Racks RackIndex;
  FreeResources Free;
  std::vector<std::int64_t> ReservedFrom; ///< Per worker; 0: not reserved.
  unsigned Reservations = 0;
  unsigned LoneReservations = 0;
  unsigned EvictionSearches = 0;
  std::map<UnitId, double> UnitCost; ///< Filled by the first search.
};

} // namespace

Plan Planner::plan(Fleet &F, std::span<WaitingTasks> Queue, std::int64_t NowMs,
                   std::int64_t UrgentGpus) {
  // Sorted first, because pointers into the queue are kept below.
  sortByUrgency(Queue, NowMs);
  std::map<std::string_view, std::size_t> Index;
  if (!Holds.empty())
    for (std::size_t N = 0; N < F.Workers.size(); ++N)
      Index[F.Workers[N].Id] = N;
  // The urgent units, which may have holds.
  std::map<UnitId, const WaitingTasks *> Urgent;
  for (const WaitingTasks &W : Queue)
    if (W.Job->Spec.Priority == 0)
      for (unsigned Index : W.Tasks)
        Urgent[{W.Job->Spec.Id, W.Occurrence, W.Step,
                W.step().Gang ? 0 : Index}] = &W;
  // Drops holds that have expired, whose unit no longer waits, or whose workers
  // are gone, avoided, or may no longer run the step: a worker may drain, and
  // its ticket may have expired.
  auto StillValid = [&](Hold &H) {
    auto Waiting = Urgent.find(H.Unit);
    if (Waiting == Urgent.end() || H.UntilMs <= NowMs)
      return false;
    for (std::size_t T = 0; T < H.Workers.size(); ++T) {
      auto It = Index.find(H.WorkerIds[T]);
      if (It == Index.end() || F.Workers[It->second].Avoided ||
          !allowed(F.Workers[It->second], *Waiting->second))
        return false;
      H.Workers[T] = It->second;
    }
    return true;
  };
  for (auto It = Holds.begin(); It != Holds.end();)
    It = StillValid(It->second) ? std::next(It) : Holds.erase(It);
  bool ExplainsWaits = NowMs - WaitsExplainedMs >= WaitExplanationPeriodMs;
  if (ExplainsWaits)
    WaitsExplainedMs = NowMs;
  SpeedRange Speeds = speedRange(F);
  std::optional<int> KeptSpeed;
  if (Speeds.Differ) {
    for (const auto &[Unit, W] : Urgent)
      UrgentSpeed += UrgentSpeedWeight *
                     (neededSpeedClass(*W, Speeds, W->DueMs) - UrgentSpeed);
    // Preferring some workers gains nothing where all are fast enough for usual
    // urgent work. Where few are, the room on these is too scattered for gangs:
    // on 1.0, 1.0 and 1.3 twice as many urgent jobs were late as without.
    int Needed = std::min(static_cast<int>(std::lround(UrgentSpeed)),
                          classOfMostWorkers(F));
    Speeds.Differ = Needed > Speeds.Slowest;
    if (Speeds.Differ)
      KeptSpeed = Needed;
  }
  Pass P(F, Holds, NowMs, workersInUrgentRacks(F, UrgentGpus, KeptSpeed),
         Speeds, ExplainsWaits);
  for (const auto &[Unit, H] : Holds)
    P.subtractHeldRoom(H, Urgent[Unit]->step().room());
  for (WaitingTasks &W : Queue)
    P.consider(W);
  return std::move(P.Result);
}

} // namespace heathersaddle::dispatch
