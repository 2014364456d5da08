// Search for slots that fit a shape. A search for a single task uses the index
// of free block orders and examines a few workers; gangs and the domain
// OwnHomesOrSpare copy one mask per worker and scan it, which takes
// microseconds at 3,600 workers.
#include "heathersaddle/pool/PoolAccess.h"
#include <algorithm>
#include <bit>

namespace heathersaddle::pool {

SlotMask Table::allowed(WorkerId Worker, const Query &Q) const {
  const WorkerRow &R = Rows[Worker];
  SlotMask Free = R.freeSlots();
  if (Q.In == Domain::Spare)
    Free &= ~R.Homed;
  else if (Q.In == Domain::OwnHomes)
    Free &= R.homeOf(Q.Account);
  else if (Q.In == Domain::OwnHomesOrSpare)
    Free &= ~R.Homed | R.homeOf(Q.Account);
  if (Q.Blocked)
    Free &= ~(*Q.Blocked)[Worker];
  if (std::find(Q.Avoid.begin(), Q.Avoid.end(), Worker) != Q.Avoid.end())
    return 0;
  return Free;
}

// Places up to Left tasks on the worker's free blocks of at most MaxOrder.
static void takeTasks(WorkerId Worker, SlotMask &Free, unsigned Size,
                      unsigned MaxOrder, unsigned &Left, Tasks &Out) {
  while (Left) {
    Fit C = bestFit(Free, Size);
    if (!C.Slots || C.Order > MaxOrder)
      return;
    Free &= ~C.Slots;
    Out.push_back({Worker, C.Slots});
    --Left;
  }
}

static std::optional<Tasks> placeWithin(const Shape &S,
                                        std::span<const WorkerId> Among,
                                        std::vector<SlotMask> &Free) {
  unsigned Fits = 0;
  for (WorkerId W : Among)
    if ((Fits += countFits(Free[W], S.SlotsPerTask)) >= S.Tasks)
      break;
  if (Fits < S.Tasks)
    return std::nullopt;
  Tasks Out;
  unsigned Left = S.Tasks;
  unsigned First = std::bit_width(S.SlotsPerTask) - 1;
  for (unsigned K = First; Left && K != 7; ++K)
    for (WorkerId W : Among)
      if (Left && Free[W])
        takeTasks(W, Free[W], S.SlotsPerTask, K, Left, Out);
  return Left ? std::nullopt : std::optional(std::move(Out));
}

static std::optional<Tasks> placeOnOneWorker(const Table &T, const Shape &S,
                                             std::vector<SlotMask> &Free) {
  WorkerId Best = NoId;
  for (WorkerId W : T.WorkersByName)
    if (Free[W] && countFits(Free[W], S.SlotsPerTask) >= S.Tasks &&
        (Best == NoId || std::popcount(Free[W]) < std::popcount(Free[Best])))
      Best = W;
  if (Best == NoId)
    return std::nullopt;
  return placeWithin(S, {&Best, 1}, Free);
}

// Uses the rack with the fewest fitting tasks that suffices, so that racks with
// more room stay free for larger gangs.
static std::optional<Tasks> placeInOneRack(const Table &T, const Shape &S,
                                           std::vector<SlotMask> &Free) {
  const std::vector<WorkerId> *Best = nullptr;
  unsigned BestFits = 0;
  for (const auto &[Name, Members] : T.Racks) {
    unsigned Fits = 0;
    for (WorkerId W : Members)
      Fits += countFits(Free[W], S.SlotsPerTask);
    if (Fits >= S.Tasks && (!Best || Fits < BestFits)) {
      Best = &Members;
      BestFits = Fits;
    }
  }
  if (!Best)
    return std::nullopt;
  return placeWithin(S, *Best, Free);
}

static std::optional<Tasks> placeOnMasks(const Table &T, const Shape &S,
                                         std::vector<SlotMask> &Free) {
  if (S.Within == Adjacency::Worker || S.Tasks == 1)
    return S.Tasks == 1 ? placeWithin(S, T.WorkersByName, Free)
                        : placeOnOneWorker(T, S, Free);
  if (S.Within == Adjacency::Rack)
    return placeInOneRack(T, S, Free);
  return placeWithin(S, T.WorkersByName, Free);
}

std::optional<Tasks> placeOn(const Table &T, const Shape &S,
                             std::vector<SlotMask> Free) {
  if (S.Accelerators) {
    for (WorkerId W : T.WorkersByName)
      Free[W] &= T.Rows[W].Accelerated;
    return placeOnMasks(T, S, Free);
  }
  std::vector<SlotMask> Plain = Free;
  for (WorkerId W : T.WorkersByName)
    Plain[W] &= ~T.Rows[W].Accelerated;
  if (auto Found = placeOnMasks(T, S, Plain))
    return Found;
  return placeOnMasks(T, S, Free);
}

std::optional<Tasks> Table::findTask(unsigned Size, SlotKind Kind,
                                     const Query &Q) const {
  const Buckets &B = BlockIndex[Q.In == Domain::Spare][Kind];
  unsigned First = std::bit_width(Size) - 1;
  for (unsigned K = First; K != Orders; ++K) {
    const Bits &Words = B.ByOrder[K];
    for (std::size_t I = 0; I != Words.size(); ++I) {
      for (std::uint64_t W = Words[I]; W; W &= W - 1) {
        WorkerId Worker = WorkersByName[I * 64 + std::countr_zero(W)];
        SlotMask Fast = Rows[Worker].Accelerated;
        SlotMask Free = allowed(Worker, Q);
        if (Kind != All)
          Free &= Kind == Accelerated ? Fast : ~Fast;
        if (Fit C = bestFit(Free, Size); C.Slots)
          return Tasks{{Worker, C.Slots}};
      }
    }
  }
  return std::nullopt;
}

std::optional<Tasks> Table::findTaskInHomes(const Shape &S,
                                            const Query &Q) const {
  TaskSlots Best;
  unsigned BestRank = ~0U;
  for (WorkerId W : homeWorkers(Q.Account)) {
    SlotMask Fast = Rows[W].Accelerated;
    SlotMask Free = allowed(W, Q);
    for (bool OnPlain : {true, false}) {
      if (OnPlain && S.Accelerators)
        continue;
      SlotMask Usable = S.Accelerators ? Free & Fast
                        : OnPlain      ? Free & ~Fast
                                       : Free;
      Fit C = bestFit(Usable, S.SlotsPerTask);
      unsigned Rank = C.Order + (OnPlain ? 0 : Orders);
      if (C.Slots && Rank < BestRank) {
        Best = {W, C.Slots};
        BestRank = Rank;
      }
    }
  }
  return Best.Slots ? std::optional(Tasks{Best}) : std::nullopt;
}

std::optional<Tasks> Table::findGangInHomes(const Shape &S,
                                            const Query &Q) const {
  unsigned Fits = 0;
  for (WorkerId W : homeWorkers(Q.Account))
    Fits += countFits(allowed(W, Q), S.SlotsPerTask);
  if (Fits < S.Tasks)
    return std::nullopt;
  std::vector<SlotMask> Free(Rows.size(), 0);
  for (WorkerId W : homeWorkers(Q.Account))
    Free[W] = allowed(W, Q);
  return placeOn(*this, S, std::move(Free));
}

unsigned Table::maxFits(const Shape &S, const Query &Q) const {
  unsigned Sum = 0, Most = 0;
  auto Add = [&](WorkerId W) {
    SlotMask Free = allowed(W, Q);
    if (S.Accelerators)
      Free &= Rows[W].Accelerated;
    unsigned Fits = Free ? countFits(Free, S.SlotsPerTask) : 0;
    Sum += Fits;
    Most = std::max(Most, Fits);
  };
  if (S.Within != Adjacency::Rack) {
    std::for_each(WorkersByName.begin(), WorkersByName.end(), Add);
    return S.Within == Adjacency::Worker ? Most : Sum;
  }
  unsigned Best = 0;
  for (const auto &[Name, Members] : Racks) {
    Sum = 0;
    std::for_each(Members.begin(), Members.end(), Add);
    Best = std::max(Best, Sum);
  }
  return Best;
}

std::optional<Tasks> Table::find(const Shape &S, const Query &Q) const {
  if (S.Tasks == 0 || S.Tasks > MaxTasks || S.SlotsPerTask == 0 ||
      S.SlotsPerTask > MaxSlots)
    return std::nullopt;
  if (Q.In == Domain::OwnHomes)
    return S.Tasks == 1 ? findTaskInHomes(S, Q) : findGangInHomes(S, Q);
  if (S.Tasks == 1 && Q.In != Domain::OwnHomesOrSpare) {
    if (S.Accelerators)
      return findTask(S.SlotsPerTask, Accelerated, Q);
    auto Found = findTask(S.SlotsPerTask, Plain, Q);
    return Found ? Found : findTask(S.SlotsPerTask, All, Q);
  }
  std::vector<SlotMask> Free(Rows.size(), 0);
  for (WorkerId W : WorkersByName)
    Free[W] = allowed(W, Q);
  return placeOn(*this, S, std::move(Free));
}

} // namespace heathersaddle::pool
