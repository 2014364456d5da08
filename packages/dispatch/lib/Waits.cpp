// Explains a wait by trying the placement again with one rule less at a time:
// without the avoidance of workers that failed lately, without the requirement
// of a single rack, and without the workers that are kept for other work.
#include "Waits.h"

namespace heathersaddle::dispatch {

static bool fits(const Fleet &F, Racks &R, FreeResources Free,
                 const WaitingTasks &W, bool MaySpread) {
  if (W.step().Gang)
    return !packGang(F, R, Free, W, MaySpread).empty();
  return !pack(F, Free, R.workersFor(W), W, 1).empty();
}

WaitReason explainWait(const Fleet &F, Racks &R, const FreeResources &Free,
                       const FreeResources &Available, const WaitingTasks &W) {
  WaitingTasks OnAnyWorker = W;
  OnAnyWorker.MayUseAnyRoom = true;
  if (R.workersFor(OnAnyWorker).empty())
    return WaitReason::NoWorkerAllowed;
  if (!fits(F, R, Free, OnAnyWorker, true))
    return WaitReason::NoRoom;
  if (!fits(F, R, Free, W, true))
    return WaitReason::WorkersAvoided;
  if (fits(F, R, Available, W, true))
    return WaitReason::NoRack;
  return WaitReason::KeptForOthers;
}

std::string_view name(WaitReason Why) {
  switch (Why) {
  case WaitReason::NoWorkerAllowed:
    return "no_worker_allowed";
  case WaitReason::NoRoom:
    return "no_room";
  case WaitReason::WorkersAvoided:
    return "workers_avoided";
  case WaitReason::NoRack:
    return "no_rack";
  case WaitReason::KeptForOthers:
    return "kept_for_others";
  }
  return "unknown";
}

} // namespace heathersaddle::dispatch
