#include "heathersaddle/dispatch/Planner.h"
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace heathersaddle;
using namespace heathersaddle::dispatch;

namespace {

/// A pool of workers with 8 GPUs and jobs that wait for it.
struct PoolUnderLoad {
  Fleet F;
  std::deque<workload::Job> Jobs;
  std::vector<WaitingTasks> Queue;
  Planner P;
  std::int64_t NowMs = 1'000'000;

  void addRack(const std::string &Rack, unsigned Workers) {
    for (unsigned N = 0; N < Workers; ++N) {
      Worker W;
      W.Id = Rack + "-" + std::to_string(N);
      W.Service = "service";
      W.Rack = Rack;
      W.Labels = {"a", Rack};
      W.Capacity = W.Free = {64'000, 256'000, 8};
      W.Usable = true;
      F.Workers.push_back(W);
    }
  }
  workload::Job &addJob(const std::string &Id, unsigned Priority,
                        unsigned Tasks, std::int64_t Gpus, bool Gang) {
    workload::Job &J = Jobs.emplace_back();
    J.Spec.Id = Id;
    J.Spec.Service = "service";
    J.Spec.Priority = Priority;
    J.Spec.Stretch = 3;
    workload::Step S;
    S.Count = Tasks;
    S.Need = {1'000, 1'000, Gpus};
    S.EstimateMs = 5'000;
    S.Gang = Gang;
    J.Spec.Steps.push_back(S);
    return J;
  }
  WaitingTasks &wait(const workload::Job &J, bool Guaranteed = false) {
    WaitingTasks W;
    W.Job = &J;
    for (unsigned N = 0; N < J.Spec.Steps[0].Count; ++N)
      W.Tasks.push_back(N);
    W.DueMs = NowMs;
    W.ObjectiveMs = NowMs + 15'000;
    W.RemainingMs = 5'000;
    W.Guaranteed = Guaranteed;
    return Queue.emplace_back(W);
  }
  void occupy(std::size_t Worker, const std::string &Job, std::int64_t Gpus,
              unsigned Priority = 1, bool Guaranteed = false) {
    Allocation R;
    R.Unit = {Job, 0, 0, 0};
    R.Room = {1'000, 1'000, Gpus};
    R.Priority = Priority;
    R.Guaranteed = Guaranteed;
    R.EndEstimateMs = NowMs + 4'000;
    R.LostIfStoppedMs = 1'000;
    F.Workers[Worker].Allocations.push_back(R);
    F.Workers[Worker].Free -= R.Room;
  }
  std::int64_t UrgentGpus = 0;
  Plan plan() { return P.plan(F, Queue, NowMs, UrgentGpus); }
  /// Takes the room of a plan; whether every worker has enough.
  bool fits(const Plan &Next) {
    for (const TaskPlacement &One : Next.Placements)
      for (std::size_t W : One.Workers)
        F.Workers[W].Free -= One.Work->step().room();
    for (const Worker &W : F.Workers)
      if (W.Free.Gpus < 0 || W.Free.CpuMilli < 0 || W.Free.MemoryMb < 0)
        return false;
    return true;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacingWaitingWork, PoolUnderLoad)

BOOST_AUTO_TEST_SUITE(WhenThereIsRoom)

// Guards against small tasks that break up workers which wide tasks need.
BOOST_AUTO_TEST_CASE(SmallTasksFillTheFullestWorkerFirst) {
  addRack("r1", 3);
  occupy(1, "x", 4);
  wait(addJob("1", 1, 4, 1, false));
  auto Next = plan();
  BOOST_REQUIRE(Next.Placements.size() == 1u);
  for (std::size_t W : Next.Placements[0].Workers)
    BOOST_TEST(W == 1u);
}

// Guards against a gang that is placed in part.
BOOST_AUTO_TEST_CASE(AGangIsPlacedWholeOrNotAtAll) {
  addRack("r1", 2);
  occupy(0, "x", 1);
  wait(addJob("1", 1, 2, 8, true));
  BOOST_TEST(plan().Placements.empty());
}

// Guards against a gang that runs three times as long on two racks.
BOOST_AUTO_TEST_CASE(AGangThatNeedsOneRackWaitsForOne) {
  addRack("r1", 2);
  addRack("r2", 2);
  occupy(0, "x", 8);
  occupy(2, "y", 8);
  auto &J = addJob("1", 1, 2, 8, true);
  J.Spec.Steps[0].SameRack = true;
  wait(J);
  BOOST_TEST(plan().Placements.empty());
}

// Guards against a gang that waits for ever because no rack can hold it.
BOOST_AUTO_TEST_CASE(AGangWiderThanARackIsSpread) {
  addRack("r1", 2);
  addRack("r2", 2);
  auto &J = addJob("1", 1, 3, 8, true);
  J.Spec.Steps[0].SameRack = true;
  wait(J);
  BOOST_TEST(plan().Placements.size() == 1u);
}

// Guards against more tasks of a step on one worker than it allows.
BOOST_AUTO_TEST_CASE(TheLimitPerWorkerHolds) {
  addRack("r1", 2);
  auto &J = addJob("1", 1, 6, 1, false);
  J.Spec.Steps[0].MaxPerWorker = 2;
  wait(J);
  auto Next = plan();
  BOOST_REQUIRE(Next.Placements.size() == 1u);
  BOOST_TEST(Next.Placements[0].Tasks.size() == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenUrgentGangsComeAtOnce)

// Guards against room that is given away twice. Two gangs of different sizes
// are held places for; the second pass has them in another order.
BOOST_AUTO_TEST_CASE(HeldRoomIsCountedForTheGangThatHoldsIt) {
  addRack("r1", 4);
  for (std::size_t W = 0; W < 4; ++W)
    occupy(W, "old" + std::to_string(W), 8);
  auto &Wide = addJob("a", 0, 2, 8, true);
  auto &Narrow = addJob("b", 0, 2, 1, true);
  wait(Wide);
  wait(Narrow);
  auto First = plan();
  BOOST_TEST(First.Stops.size() >= 3u);
  for (Worker &W : F.Workers) {
    std::erase_if(W.Allocations, [&](const Allocation &R) {
      bool Stopped = First.Stops.contains(R.Unit);
      if (Stopped)
        W.Free += R.Room;
      return Stopped;
    });
  }
  Queue.clear();
  wait(Narrow);
  wait(Wide);
  // Older work with a need of its own comes before both.
  auto &Guaranteed = addJob("0", 0, 8, 1, true);
  wait(Guaranteed, true);
  BOOST_TEST(fits(plan()));
}

// Guards against stops that are repeated while the room is on its way.
BOOST_AUTO_TEST_CASE(WorkIsStoppedOnceForAGang) {
  addRack("r1", 4);
  for (std::size_t W = 0; W < 4; ++W)
    occupy(W, "old" + std::to_string(W), 8);
  wait(addJob("a", 0, 2, 8, true));
  auto First = plan();
  BOOST_TEST(First.Stops.size() == 2u);
  for (Worker &W : F.Workers)
    for (Allocation &R : W.Allocations)
      R.Stoppable = !First.Stops.contains(R.Unit);
  NowMs += 100;
  BOOST_TEST(plan().Stops.empty());
}

// Guards against a guarantee that is taken by somebody else's urgent work.
BOOST_AUTO_TEST_CASE(GuaranteedWorkIsNeverStopped) {
  addRack("r1", 1);
  occupy(0, "theirs", 8, 0, true);
  wait(addJob("a", 0, 1, 8, true), true);
  BOOST_TEST(plan().Stops.empty());
}

// Guards against a gang that borrows what is reserved for another account.
BOOST_AUTO_TEST_CASE(AGuaranteedGangStopsUrgentWorkBeyondAReserve) {
  addRack("r1", 1);
  occupy(0, "borrower", 8, 0, false);
  wait(addJob("a", 0, 1, 8, true), true);
  BOOST_TEST(plan().Stops.size() == 1u);
}

// Guards against stopping what has just begun to lose much instead of little.
BOOST_AUTO_TEST_CASE(TheCheapestWorkIsStopped) {
  addRack("r1", 2);
  occupy(0, "long", 8);
  occupy(1, "young", 8);
  F.Workers[0].Allocations[0].LostIfStoppedMs = 9'000;
  wait(addJob("a", 0, 1, 8, true));
  auto Next = plan();
  BOOST_REQUIRE(Next.Stops.size() == 1u);
  BOOST_TEST(Next.Stops.begin()->Job == "young");
}

// Guards against a gang that one slow or failing member holds up or breaks
// while sound workers are free on another rack.
BOOST_AUTO_TEST_CASE(AGangGoesToTheRackWithoutDoubtfulWorkers) {
  addRack("r1", 2);
  addRack("r2", 2);
  occupy(0, "x", 6);
  F.Workers[1].Condition = WorkerCondition::Slow;
  auto &J = addJob("a", 0, 3, 2, true);
  J.Spec.Steps[0].SameRack = true;
  wait(J);
  auto Next = plan();
  BOOST_REQUIRE(Next.Placements.size() == 1u);
  for (std::size_t W : Next.Placements[0].Workers)
    BOOST_TEST(F.Workers[W].Rack == "r2");
}

// Guards against an urgent gang that goes to a slow worker although cheaper
// work could leave a sound one.
BOOST_AUTO_TEST_CASE(RoomIsMadeOnSoundWorkersBeforeSlowOnesAreUsed) {
  addRack("r1", 2);
  occupy(0, "old", 8);
  F.Workers[1].Condition = WorkerCondition::Slow;
  wait(addJob("a", 0, 1, 8, true));
  auto Next = plan();
  BOOST_TEST(Next.Placements.empty());
  BOOST_TEST(Next.Stops.size() == 1u);
}

// Guards against cheaper work that is thrown away because a task failed by its
// own fault on a worker with free room.
BOOST_AUTO_TEST_CASE(OneFailureIsNoReasonToMakeRoomElsewhere) {
  addRack("r1", 2);
  occupy(0, "old", 8);
  F.Workers[1].Condition = WorkerCondition::Suspect;
  wait(addJob("a", 0, 1, 8, true));
  auto Next = plan();
  BOOST_TEST(Next.Placements.size() == 1u);
  BOOST_TEST(Next.Stops.empty());
}

// Guards against urgent work that waits although only slow workers are left.
BOOST_AUTO_TEST_CASE(SlowWorkersAreUsedWhenThereAreNoOthers) {
  addRack("r1", 1);
  F.Workers[0].Condition = WorkerCondition::Slow;
  wait(addJob("a", 0, 1, 8, true));
  BOOST_TEST(plan().Placements.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenUrgentGangsComeAllDay)

// Guards against urgent gangs that always have to stop something first: with
// all racks full of other work, 587 units were stopped in a day.
BOOST_AUTO_TEST_CASE(RacksAreKeptForThem) {
  addRack("r1", 2);
  addRack("r2", 2);
  UrgentGpus = 12;
  wait(addJob("gang", 1, 4, 8, true));
  wait(addJob("small", 2, 32, 1, false));
  auto Next = plan();
  for (const TaskPlacement &One : Next.Placements)
    for (std::size_t W : One.Workers)
      BOOST_TEST(F.Workers[W].Rack == "r2");
  BOOST_REQUIRE(fits(Next));
  Queue.clear();
  wait(addJob("urgent", 0, 2, 8, true));
  Next = plan();
  BOOST_TEST(Next.Stops.empty());
  BOOST_TEST(Next.Placements.size() == 1u);
}

// Guards against lanes that idle although some work could run there cheaply.
BOOST_AUTO_TEST_CASE(WorkThatSavesItsProgressMayUseTheirRacks) {
  addRack("r1", 2);
  addRack("r2", 2);
  UrgentGpus = 12;
  auto &J = addJob("small", 2, 32, 1, false);
  J.Spec.Steps[0].SavesProgress = true;
  wait(J);
  auto Next = plan();
  BOOST_REQUIRE(Next.Placements.size() == 1u);
  BOOST_TEST(Next.Placements[0].Tasks.size() == 32u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenWideGangsMeetManySmallTasks)

// Guards against a wide gang that starves because small tasks take each hole.
BOOST_AUTO_TEST_CASE(AWaitingGangsWorkersTakeOnlyWorkThatEndsBefore) {
  addRack("r1", 2);
  occupy(0, "x", 4);
  wait(addJob("wide", 1, 2, 8, true));
  auto &Long = addJob("small", 2, 8, 1, false);
  Long.Spec.Steps[0].EstimateMs = 60'000;
  wait(Long).ObjectiveMs += 60'000;
  BOOST_TEST(plan().Placements.empty());
  auto &Short = addJob("short", 2, 8, 1, false);
  Short.Spec.Steps[0].EstimateMs = 1'000;
  wait(Short);
  BOOST_TEST(plan().Placements.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheOrderOfWaitingWork)

// Guards against late work that delays work which can still be on time.
BOOST_AUTO_TEST_CASE(WorkThatIsTooLateComesAfterWorkThatIsNot) {
  auto &Late = addJob("late", 1, 1, 1, false);
  auto &Good = addJob("good", 2, 1, 1, false);
  wait(Late).DueMs -= 20'000;
  Queue[0].ObjectiveMs -= 20'000;
  wait(Good);
  sortByUrgency(Queue, NowMs);
  BOOST_TEST(Queue[0].Job->Spec.Id == "good");
}

// Guards against urgent work behind anything else.
BOOST_AUTO_TEST_CASE(UrgentWorkComesFirstGuaranteedWorkBeforeIt) {
  wait(addJob("normal", 1, 1, 1, false));
  wait(addJob("urgent", 0, 1, 1, false));
  wait(addJob("guaranteed", 0, 1, 1, false), true);
  sortByUrgency(Queue, NowMs);
  BOOST_TEST(Queue[0].Job->Spec.Id == "guaranteed");
  BOOST_TEST(Queue[1].Job->Spec.Id == "urgent");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
