// One pass over the waiting work in the order of Order.cpp. Each unit is placed
// if it fits beside the holds and reservations of units before it. Urgent
// units that do not fit have cheaper work stopped and their workers held
// (Victims.cpp); the first few other gangs that do not fit get a reservation
// (Reserve.cpp).
#include "heathersaddle/dispatch/Planner.h"
#include "Lanes.h"
#include "Packing.h"
#include "Reserve.h"
#include "Victims.h"
#include <algorithm>

namespace heathersaddle::dispatch {

/// Stopped work frees its room within the longest stop time of a worker plus
/// two exchanges; a hold that lasts longer has failed.
static constexpr std::int64_t HoldMostMs = 3'000;
/// Gangs that get a reservation in one pass; more would idle the pool.
static constexpr unsigned MaxReservations = 2;
/// Urgent gangs that room is made for in one pass; the next pass goes on.
static constexpr unsigned MaxEvictions = 6;
/// Work with data on a rack waits this multiple of its own length for it, as
/// it takes three times as long elsewhere.
static constexpr double DataRackPatience = 1.5;

namespace {

class Pass {
public:
  Pass(Fleet &F, std::map<UnitId, Hold> &Holds, std::int64_t NowMs,
       std::vector<bool> Lanes)
      : F(F), Holds(Holds), NowMs(NowMs), Lanes(std::move(Lanes)), R(F),
        Free(F.Workers.size()), ReservedFrom(F.Workers.size(), 0) {
    for (std::size_t N = 0; N < F.Workers.size(); ++N)
      Free[N] = F.Workers[N].Free;
  }

  void consider(WaitingTasks &W) {
    bool Urgent = W.Job->Spec.Priority == 0;
    if (W.step().Gang)
      placeGang(W, Urgent);
    else
      placeTasks(W, Urgent);
  }
  /// Takes the room of a hold away from everybody else.
  void keepRoom(const Hold &H, const Resources &Need) {
    for (std::size_t N : H.Workers)
      Free[N] -= Need;
  }
  void freeRoom(const Hold &H, const Resources &Need) {
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
    if (W.step().MaxPerWorker)
      for (std::size_t N : Where)
        ++F.StepTasks[{W.Job->Spec.Id, W.Occurrence, W.Step, 0}]
                     [F.Workers[N].Id];
    Result.Placements.push_back({&W, std::move(Tasks), std::move(Where)});
  }
  /// Free room without the reservations that \p W would outlast.
  Room roomFor(const WaitingTasks &W, bool Urgent) const {
    Room Left = Free;
    if (Urgent)
      return Left;
    for (std::size_t N = 0; N < Left.size(); ++N)
      if ((Lanes[N] && !mayUseLane(W)) ||
          (ReservedFrom[N] && NowMs + W.step().EstimateMs > ReservedFrom[N]))
        Left[N] = {-1, -1, -1};
    return Left;
  }
  void take(const std::vector<std::size_t> &Where, const Resources &Need) {
    for (std::size_t N : Where)
      Free[N] -= Need;
  }

  void placeGang(WaitingTasks &W, bool Urgent) {
    Resources Need = W.step().room();
    auto Held = Holds.find(unit(W));
    if (Held != Holds.end()) {
      freeRoom(Held->second, Need);
      if (holdIsFree(Held->second, Need)) {
        auto Where = Held->second.Workers;
        Holds.erase(Held);
        take(Where, Need);
        return place(W, W.Tasks, std::move(Where));
      }
    }
    bool MaySpread = !W.step().SameRack || !fitsOneEmptyRack(F, R, W);
    Room Visible = roomFor(W, Urgent);
    auto Where = packSound(Visible, W, MaySpread);
    if (!Where.empty()) {
      if (Held != Holds.end())
        Holds.erase(Held);
      take(Where, Need);
      return place(W, W.Tasks, std::move(Where));
    }
    if (Held != Holds.end()) {
      keepRoom(Held->second, Need);
      return;
    }
    auto Made = Urgent ? findRoom(W, MaySpread) : std::nullopt;
    // Room that is made on sound workers is better than free room on others.
    if (Made && Made->Cost < DoubtCost)
      return makeRoom(W, *Made);
    Where = packGang(F, R, Visible, W, MaySpread);
    if (!Where.empty()) {
      take(Where, Need);
      return place(W, W.Tasks, std::move(Where));
    }
    if (Made)
      return makeRoom(W, *Made);
    if (Urgent)
      return;
    if (Reservations < MaxReservations) {
      Room Allowed = Free;
      for (std::size_t N = 0; N < Allowed.size(); ++N)
        if (Lanes[N] && !mayUseLane(W))
          Allowed[N] = {-(1 << 30), -(1 << 30), -(1 << 30)};
      if (auto Later = reserve(F, R, Allowed, W, MaySpread, NowMs)) {
        ++Reservations;
        for (std::size_t N : Later->Workers)
          ReservedFrom[N] = ReservedFrom[N]
                                ? std::min(ReservedFrom[N], Later->FromMs)
                                : Later->FromMs;
      }
    }
  }

  /// Where the whole gang fits on workers that nothing speaks against: one
  /// member on a slow or failing worker holds up or breaks all.
  std::vector<std::size_t> packSound(const Room &Visible, const WaitingTasks &W,
                                     bool MaySpread) {
    Room Sound = Visible;
    for (std::size_t N = 0; N < Sound.size(); ++N)
      if (unsound(F.Workers[N], W))
        Sound[N] = {-1, -1, -1};
    return packGang(F, R, Sound, W, MaySpread);
  }

  bool holdIsFree(const Hold &H, const Resources &Need) const {
    std::map<std::size_t, Resources> Sum;
    for (std::size_t N : H.Workers)
      Sum[N] += Need;
    return std::all_of(Sum.begin(), Sum.end(), [this](const auto &S) {
      return S.second.fitsIn(Free[S.first]);
    });
  }

  /// What to stop so that the tasks of urgent \p W can run.
  std::optional<Eviction> findRoom(const WaitingTasks &W, bool MaySpread) {
    if (Evictions >= MaxEvictions)
      return std::nullopt;
    ++Evictions;
    if (UnitCost.empty())
      UnitCost = unitCosts(F);
    std::optional<Eviction> Best;
    if (W.step().SameRack && !MaySpread)
      for (const Rack &One : R.of(W)) {
        auto E = findEviction(F, UnitCost, Free, One.Members, W);
        if (E && (!Best || E->Cost < Best->Cost))
          Best = std::move(E);
      }
    // A guaranteed gang starts in time even if it has to spread.
    if (!Best && (MaySpread || W.Guaranteed))
      Best = findEviction(F, UnitCost, Free, R.all(W), W);
    return Best;
  }

  /// Stops what is in the way; a gang keeps the room until it can start.
  void makeRoom(const WaitingTasks &W, const Eviction &E) {
    Result.Stops.insert(E.Units.begin(), E.Units.end());
    if (!W.step().Gang)
      return;
    Hold H{unit(W), E.Workers, {}, NowMs + HoldMostMs};
    for (std::size_t N : H.Workers)
      H.WorkerIds.push_back(F.Workers[N].Id);
    keepRoom(H, W.step().room());
    Holds[H.For] = std::move(H);
    for (Worker &On : F.Workers)
      for (Allocation &Run : On.Allocations)
        if (E.Units.contains(Run.Unit))
          Run.Stoppable = false;
  }

  void placeTasks(WaitingTasks &W, bool Urgent) {
    const workload::Step &S = W.step();
    Room Visible = roomFor(W, Urgent);
    std::vector<std::size_t> Where;
    if (!S.DataRack.empty()) {
      const Rack *Data = nullptr;
      for (const Rack &One : R.of(W))
        if (One.Name == S.DataRack)
          Data = &One;
      if (Data)
        Where = pack(F, Visible, Data->Members, W, W.Tasks.size());
      bool Waits =
          Data && static_cast<double>(NowMs - W.DueMs) <
                      DataRackPatience * static_cast<double>(S.EstimateMs);
      if (Where.size() < W.Tasks.size() && !Waits) {
        auto More =
            pack(F, Visible, R.all(W), W, W.Tasks.size() - Where.size());
        Where.insert(Where.end(), More.begin(), More.end());
      }
    } else {
      Where = pack(F, Visible, R.all(W), W, W.Tasks.size());
    }
    take(Where, S.room());
    std::vector<unsigned> Tasks(W.Tasks.begin(),
                                W.Tasks.begin() +
                                    static_cast<std::ptrdiff_t>(Where.size()));
    if (!Where.empty())
      place(W, std::move(Tasks), Where);
    if (Urgent && Where.size() < W.Tasks.size()) {
      W.Tasks.erase(W.Tasks.begin(),
                    W.Tasks.begin() +
                        static_cast<std::ptrdiff_t>(Where.size()));
      if (auto Room = findRoom(W, true))
        makeRoom(W, *Room);
    }
  }

  Fleet &F;
  std::map<UnitId, Hold> &Holds;
  std::int64_t NowMs;
  std::vector<bool> Lanes; ///< Workers kept for urgent work.
  Racks R;
  Room Free;
  std::vector<std::int64_t> ReservedFrom; ///< 0: not reserved.
  unsigned Reservations = 0;
  unsigned Evictions = 0;
  std::map<UnitId, double> UnitCost; ///< Filled by the first eviction.
};

} // namespace

Plan Planner::plan(Fleet &F, std::span<WaitingTasks> Queue, std::int64_t NowMs,
                   std::int64_t UrgentGpus) {
  // First, because pointers into the queue are kept below.
  sortByGain(Queue, NowMs);
  std::map<std::string_view, std::size_t> Index;
  for (std::size_t N = 0; N < F.Workers.size(); ++N)
    Index[F.Workers[N].Id] = N;
  std::map<UnitId, const WaitingTasks *> Gangs;
  for (const WaitingTasks &W : Queue)
    if (W.step().Gang)
      Gangs[{W.Job->Spec.Id, W.Occurrence, W.Step, 0}] = &W;
  // Holds of gangs that have gone, or on workers that have, are dropped.
  auto Stands = [&](Hold &H) {
    auto Gang = Gangs.find(H.For);
    if (Gang == Gangs.end() || H.UntilMs <= NowMs)
      return false;
    for (std::size_t T = 0; T < H.Workers.size(); ++T) {
      auto It = Index.find(H.WorkerIds[T]);
      if (It == Index.end() || !F.Workers[It->second].Usable)
        return false;
      H.Workers[T] = It->second;
    }
    return true;
  };
  for (auto It = Holds.begin(); It != Holds.end();)
    It = Stands(It->second) ? std::next(It) : Holds.erase(It);
  Pass P(F, Holds, NowMs, urgentLanes(F, UrgentGpus));
  for (const auto &[Unit, H] : Holds)
    P.keepRoom(H, Gangs[Unit]->step().room());
  for (WaitingTasks &W : Queue)
    P.consider(W);
  return std::move(P.Result);
}

} // namespace heathersaddle::dispatch
