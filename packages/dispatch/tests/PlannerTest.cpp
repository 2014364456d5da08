#include "heathersaddle/dispatch/Planner.h"
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace heathersaddle;
using namespace heathersaddle::dispatch;

namespace {

/// A pool of workers with 8 GPUs each and the work that waits for them.
struct PlannerFixture {
  Fleet CurrentFleet;
  std::deque<workload::Job> Jobs;
  std::vector<WaitingTasks> Queue;
  Planner PlannerUnderTest;
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
      CurrentFleet.Workers.push_back(W);
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
    CurrentFleet.Workers[Worker].Allocations.push_back(R);
    CurrentFleet.Workers[Worker].Free -= R.Room;
  }
  std::int64_t UrgentGpus = 0;
  Plan plan() {
    return PlannerUnderTest.plan(CurrentFleet, Queue, NowMs, UrgentGpus);
  }
  /// Subtracts the room of the placed tasks; returns whether every worker has
  /// enough.
  bool fits(const Plan &Next) {
    for (const TaskPlacement &One : Next.Placements)
      for (std::size_t W : One.Workers)
        CurrentFleet.Workers[W].Free -= One.Work->step().room();
    for (const Worker &W : CurrentFleet.Workers)
      if (W.Free.Gpus < 0 || W.Free.CpuMilli < 0 || W.Free.MemoryMb < 0)
        return false;
    return true;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlanningWaitingWork, PlannerFixture)

BOOST_AUTO_TEST_SUITE(WhenThereIsRoom)

// Guards against small tasks that fragment workers which large tasks need.
BOOST_AUTO_TEST_CASE(SmallTasksGoToTheFullestWorker) {
  addRack("r1", 3);
  occupy(1, "x", 4);
  wait(addJob("1", 1, 4, 1, false));
  auto Next = plan();
  BOOST_REQUIRE(Next.Placements.size() == 1u);
  for (std::size_t W : Next.Placements[0].Workers)
    BOOST_TEST(W == 1u);
}

// Guards against a gang that is only partly placed.
BOOST_AUTO_TEST_CASE(GangThatDoesNotFitIsNotPlaced) {
  addRack("r1", 2);
  occupy(0, "x", 1);
  wait(addJob("1", 1, 2, 8, true));
  BOOST_TEST(plan().Placements.empty());
}

// Guards against a gang that is spread over two racks, where it takes three
// times as long.
BOOST_AUTO_TEST_CASE(SameRackGangWaitsForRoomOnOneRack) {
  addRack("r1", 2);
  addRack("r2", 2);
  occupy(0, "x", 8);
  occupy(2, "y", 8);
  auto &J = addJob("1", 1, 2, 8, true);
  J.Spec.Steps[0].SameRack = true;
  wait(J);
  BOOST_TEST(plan().Placements.empty());
}

// Guards against a gang that waits forever because no single rack can hold it.
BOOST_AUTO_TEST_CASE(SameRackGangWiderThanARackIsSpread) {
  addRack("r1", 2);
  addRack("r2", 2);
  auto &J = addJob("1", 1, 3, 8, true);
  J.Spec.Steps[0].SameRack = true;
  wait(J);
  BOOST_TEST(plan().Placements.size() == 1u);
}

// Guards against more tasks of a step on one worker than the step allows.
BOOST_AUTO_TEST_CASE(LimitPerWorkerIsKept) {
  addRack("r1", 2);
  auto &J = addJob("1", 1, 6, 1, false);
  J.Spec.Steps[0].MaxPerWorker = 2;
  wait(J);
  auto Next = plan();
  BOOST_REQUIRE(Next.Placements.size() == 1u);
  BOOST_TEST(Next.Placements[0].Tasks.size() == 4u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenABurstOfUrgentGangsArrives)

// Guards against room that is allocated twice: two gangs of different sizes
// have holds, and the second pass receives them in another order.
BOOST_AUTO_TEST_CASE(HeldRoomIsAllocatedOnlyOnce) {
  addRack("r1", 4);
  for (std::size_t W = 0; W < 4; ++W)
    occupy(W, "old" + std::to_string(W), 8);
  auto &Wide = addJob("a", 0, 2, 8, true);
  auto &Narrow = addJob("b", 0, 2, 1, true);
  wait(Wide);
  wait(Narrow);
  auto First = plan();
  BOOST_TEST(First.Stops.size() >= 3u);
  for (Worker &W : CurrentFleet.Workers) {
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
  // Guaranteed work comes before both.
  auto &Guaranteed = addJob("0", 0, 8, 1, true);
  wait(Guaranteed, true);
  BOOST_TEST(fits(plan()));
}

// Guards against further stops for a gang while the work stopped for it has not
// ended yet.
BOOST_AUTO_TEST_CASE(WorkIsStoppedOnlyOnceForAGang) {
  addRack("r1", 4);
  for (std::size_t W = 0; W < 4; ++W)
    occupy(W, "old" + std::to_string(W), 8);
  wait(addJob("a", 0, 2, 8, true));
  auto First = plan();
  BOOST_TEST(First.Stops.size() == 2u);
  for (Worker &W : CurrentFleet.Workers)
    for (Allocation &R : W.Allocations)
      R.Stoppable = !First.Stops.contains(R.Unit);
  NowMs += 100;
  BOOST_TEST(plan().Stops.empty());
}

// Guards against stops without end for urgent single tasks: on a full pool with
// other work waiting, each plan gave the freed room to that work and stopped
// more, 131 units in half a second on one day.
BOOST_AUTO_TEST_CASE(WorkIsStoppedOnlyOnceForSingleTasks) {
  addRack("r1", 4);
  for (std::size_t W = 0; W < 4; ++W)
    for (int Small = 0; Small < 8; ++Small)
      occupy(W, "old" + std::to_string(8 * W + Small), 1);
  auto &Urgent = addJob("urgent", 0, 2, 8, false);
  auto &Other = addJob("other", 2, 32, 1, false);
  std::size_t Stopped = 0;
  std::size_t Started = 0;
  std::map<UnitId, std::int64_t> EndsAt;
  std::vector<unsigned> Left{0, 1};
  for (; Started < 2 && NowMs < 1'000'600; NowMs += 20) {
    Queue.clear();
    wait(Urgent).Tasks = Left;
    wait(Other);
    auto Next = plan();
    for (const UnitId &Unit : Next.Stops)
      EndsAt[Unit] = NowMs + 200;
    Stopped += Next.Stops.size();
    for (const TaskPlacement &P : Next.Placements) {
      BOOST_TEST(P.Work->Job == &Urgent);
      Started += P.Tasks.size();
      for (unsigned Task : P.Tasks)
        std::erase(Left, Task);
    }
    BOOST_REQUIRE(fits(Next));
    // A stop takes 200 ms; what is being stopped is not stopped again.
    for (Worker &W : CurrentFleet.Workers)
      std::erase_if(W.Allocations, [&](Allocation &R) {
        auto End = EndsAt.find(R.Unit);
        R.Stoppable = End == EndsAt.end();
        bool Ended = !R.Stoppable && End->second <= NowMs + 20;
        if (Ended)
          W.Free += R.Room;
        return Ended;
      });
  }
  BOOST_TEST(Started == 2u);
  BOOST_TEST(Stopped == 16u);
}

// Guards against a unit that is placed on the worker that is held for it after
// its ticket for that worker has expired.
BOOST_AUTO_TEST_CASE(HeldWorkerWithoutATicketGetsNothing) {
  for (bool Gang : {false, true}) {
    BOOST_TEST_CONTEXT("gang: " << Gang) {
      CurrentFleet = {};
      Queue.clear();
      Jobs.clear();
      addRack("r1", 2);
      occupy(0, "x", 8);
      occupy(1, "y", 8, 0);
      std::map<std::string, std::string> Tickets{{"r1-0", "ticket"}};
      auto &W = wait(addJob("a", 0, 1, 8, Gang));
      W.AllowedWorkers = &Tickets;
      BOOST_TEST(plan().Stops.size() == 1u);
      Worker &Held = CurrentFleet.Workers[0];
      Held.Allocations.clear();
      Held.Free = Held.Capacity;
      Tickets = {{"r1-1", "ticket"}};
      Queue[0].Tasks = {0};
      BOOST_TEST(plan().Placements.empty());
      // Its room is free for other work.
      wait(addJob("b", 1, 1, 8, false));
      auto Next = plan();
      BOOST_REQUIRE(Next.Placements.size() == 1u);
      BOOST_TEST(Next.Placements[0].Work->Job->Spec.Id == "b");
    }
  }
}

// Guards against a unit that is placed on the worker that is held for it after
// that has lost a label that the step requires.
BOOST_AUTO_TEST_CASE(HeldWorkerWithoutTheRequiredLabelGetsNothing) {
  addRack("r1", 1);
  occupy(0, "x", 8);
  auto &J = addJob("a", 0, 1, 8, false);
  J.Spec.Steps[0].RequiredLabel = "a";
  wait(J);
  BOOST_TEST(plan().Stops.size() == 1u);
  Worker &Held = CurrentFleet.Workers[0];
  Held.Allocations.clear();
  Held.Free = Held.Capacity;
  Held.Labels.clear();
  Queue[0].Tasks = {0};
  BOOST_TEST(plan().Placements.empty());
}

// Guards against urgent work that stops guaranteed work of another account.
BOOST_AUTO_TEST_CASE(GuaranteedWorkIsNeverStopped) {
  addRack("r1", 1);
  occupy(0, "theirs", 8, 0, true);
  wait(addJob("a", 0, 1, 8, true), true);
  BOOST_TEST(plan().Stops.empty());
}

// Guards against urgent work beyond the reserved share of its account that
// keeps a guaranteed gang waiting.
BOOST_AUTO_TEST_CASE(GuaranteedGangStopsUrgentWorkBeyondAReservedShare) {
  addRack("r1", 1);
  occupy(0, "borrower", 8, 0, false);
  wait(addJob("a", 0, 1, 8, true), true);
  BOOST_TEST(plan().Stops.size() == 1u);
}

// Guards against stopping work that would lose much when other work would lose
// little.
BOOST_AUTO_TEST_CASE(WorkWithTheLowestCostIsStopped) {
  addRack("r1", 2);
  occupy(0, "long", 8);
  occupy(1, "young", 8);
  CurrentFleet.Workers[0].Allocations[0].LostIfStoppedMs = 9'000;
  wait(addJob("a", 0, 1, 8, true));
  auto Next = plan();
  BOOST_REQUIRE(Next.Stops.size() == 1u);
  BOOST_TEST(Next.Stops.begin()->Job == "young");
}

// Guards against a gang that is delayed or broken by one slow or failing worker
// while healthy workers are free on another rack.
BOOST_AUTO_TEST_CASE(GangGoesToTheRackWithoutSlowWorkers) {
  addRack("r1", 2);
  addRack("r2", 2);
  occupy(0, "x", 6);
  CurrentFleet.Workers[1].Condition = WorkerCondition::Slow;
  auto &J = addJob("a", 0, 3, 2, true);
  J.Spec.Steps[0].SameRack = true;
  wait(J);
  auto Next = plan();
  BOOST_REQUIRE(Next.Placements.size() == 1u);
  for (std::size_t W : Next.Placements[0].Workers)
    BOOST_TEST(CurrentFleet.Workers[W].Rack == "r2");
}

// Guards against an urgent gang that is placed on a slow worker although
// cheaper work could be stopped on a healthy one.
BOOST_AUTO_TEST_CASE(RoomIsMadeOnHealthyWorkersBeforeSlowOnesAreUsed) {
  addRack("r1", 2);
  occupy(0, "old", 8);
  CurrentFleet.Workers[1].Condition = WorkerCondition::Slow;
  wait(addJob("a", 0, 1, 8, true));
  auto Next = plan();
  BOOST_TEST(Next.Placements.empty());
  BOOST_TEST(Next.Stops.size() == 1u);
}

// Guards against stopping cheaper work because a task failed by its own fault
// on a worker with free room.
BOOST_AUTO_TEST_CASE(SuspectWorkerIsUsedBeforeOtherWorkIsStopped) {
  addRack("r1", 2);
  occupy(0, "old", 8);
  CurrentFleet.Workers[1].Condition = WorkerCondition::Suspect;
  wait(addJob("a", 0, 1, 8, true));
  auto Next = plan();
  BOOST_TEST(Next.Placements.size() == 1u);
  BOOST_TEST(Next.Stops.empty());
}

// Guards against urgent work that waits because only slow workers are left.
BOOST_AUTO_TEST_CASE(SlowWorkersAreUsedWhenThereAreNoOthers) {
  addRack("r1", 1);
  CurrentFleet.Workers[0].Condition = WorkerCondition::Slow;
  wait(addJob("a", 0, 1, 8, true));
  BOOST_TEST(plan().Placements.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

// A worker becomes unusable when its data centre is drained.
BOOST_AUTO_TEST_SUITE(WhenWorkersBecomeUnusable)

// Guards against an urgent unit that is placed on a worker held for it, once
// its data centre is drained, and against a hold that stays there.
BOOST_AUTO_TEST_CASE(TheirHoldsEnd) {
  addRack("r1", 1);
  addRack("r2", 1);
  occupy(0, "x", 8);
  occupy(1, "y", 8);
  CurrentFleet.Workers[1].Allocations[0].LostIfStoppedMs = 9'000;
  wait(addJob("a", 0, 1, 8, true));
  auto First = plan();
  BOOST_REQUIRE(First.Stops.size() == 1u);
  BOOST_TEST(First.Stops.begin()->Job == "x");
  Worker &Held = CurrentFleet.Workers[0];
  Held.Usable = false;
  Held.Allocations.clear();
  Held.Free = Held.Capacity;
  auto Next = plan();
  BOOST_TEST(Next.Placements.empty());
  BOOST_REQUIRE(Next.Stops.size() == 1u);
  BOOST_TEST(Next.Stops.begin()->Job == "y");
}

// Guards against a gang that waits for a reserved rack in a drained data centre
// although one elsewhere becomes free later.
BOOST_AUTO_TEST_CASE(NothingIsReservedOnThem) {
  addRack("r1", 1);
  addRack("r2", 1);
  occupy(0, "soon", 8);
  occupy(1, "later", 8);
  CurrentFleet.Workers[0].Usable = false;
  CurrentFleet.Workers[1].Allocations[0].EndEstimateMs = NowMs + 9'000;
  wait(addJob("gang", 1, 1, 8, true));
  // The reservation keeps long work off the worker on which the gang fits.
  CurrentFleet.Workers[1].Free.Gpus = 1;
  auto &Long = addJob("long", 2, 1, 1, false);
  Long.Spec.Steps[0].EstimateMs = 15'000;
  wait(Long);
  BOOST_TEST(plan().Placements.empty());
}

// Guards against racks kept for urgent work in a drained data centre, where
// they are of no use to it.
BOOST_AUTO_TEST_CASE(TheirRacksAreNotKeptForUrgentWork) {
  for (const char *Rack : {"r1", "r2", "r3", "r4"})
    addRack(Rack, 1);
  CurrentFleet.Workers[0].Usable = false;
  UrgentGpus = 6;
  wait(addJob("1", 1, 3, 8, false));
  auto Next = plan();
  BOOST_REQUIRE(Next.Placements.size() == 1u);
  // r2 is kept in the place of r1.
  BOOST_TEST(Next.Placements[0].Workers.size() == 2u);
}

// Guards against a pool that counts as mostly free because of workers that
// cannot be used.
BOOST_AUTO_TEST_CASE(TheirRoomDoesNotCountAsFree) {
  for (const char *Rack : {"r1", "r2", "r3", "r4"})
    addRack(Rack, 1);
  CurrentFleet.Workers[0].Usable = CurrentFleet.Workers[1].Usable = false;
  occupy(3, "x", 8);
  UrgentGpus = 8;
  // r3 is kept; 8 of 16 usable GPUs are free, 24 of 32 with the others.
  wait(addJob("1", 1, 1, 8, false)).DueMs -= 10'000;
  BOOST_TEST(plan().Placements.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenUrgentGangsArriveAllDay)

// Guards against urgent gangs that always have to stop other work first: with
// all racks full of other work, 587 units were stopped in a day.
BOOST_AUTO_TEST_CASE(RacksAreKeptForUrgentWork) {
  addRack("r1", 2);
  addRack("r2", 2);
  UrgentGpus = 12;
  wait(addJob("gang", 1, 4, 8, true));
  wait(addJob("small", 2, 32, 1, false));
  auto Next = plan();
  for (const TaskPlacement &One : Next.Placements)
    for (std::size_t W : One.Workers)
      BOOST_TEST(CurrentFleet.Workers[W].Rack == "r2");
  BOOST_REQUIRE(fits(Next));
  Queue.clear();
  wait(addJob("urgent", 0, 2, 8, true));
  Next = plan();
  BOOST_TEST(Next.Stops.empty());
  BOOST_TEST(Next.Placements.size() == 1u);
}

// Guards against racks kept for urgent work that idle although some work could
// run there cheaply.
BOOST_AUTO_TEST_CASE(WorkThatSavesItsProgressMayUseTheseRacks) {
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

BOOST_AUTO_TEST_SUITE(WhenWideGangsCompeteWithSmallTasks)

// Guards against a wide gang that starves because small tasks fill every gap.
BOOST_AUTO_TEST_CASE(ReservedWorkersTakeOnlyWorkThatEndsBeforeTheGangStarts) {
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

BOOST_AUTO_TEST_SUITE(WhenThePoolIsMostlyFree)

// Guards against gangs that wait for a minute beside a free pool, because racks
// are still kept for urgent work that no longer arrives.
BOOST_AUTO_TEST_CASE(RoomIsNotKeptFromWorkThatHasWaited) {
  for (const char *Rack : {"r1", "r2", "r3", "r4"})
    addRack(Rack, 2);
  UrgentGpus = 24;
  for (std::size_t W : {4UL, 6UL})
    occupy(W, "other", 1);
  auto &J = addJob("gang", 1, 2, 8, true);
  J.Spec.Steps[0].SameRack = true;
  wait(J);
  BOOST_TEST(plan().Placements.empty());
  Queue[0].DueMs -= 2'000;
  BOOST_TEST(plan().Placements.size() == 1u);
}

// Guards against gangs that wait for ever for a single rack, because each rack
// has a long-running task on some of its workers.
BOOST_AUTO_TEST_CASE(SameRackGangThatHasWaitedForLongIsSpread) {
  for (const char *Rack : {"r1", "r2", "r3", "r4"})
    addRack(Rack, 2);
  for (std::size_t W : {0UL, 2UL, 4UL})
    occupy(W, "lasting" + std::to_string(W), 1);
  occupy(6, "lasting6", 1);
  auto &J = addJob("gang", 1, 2, 8, true);
  J.Spec.Steps[0].SameRack = true;
  wait(J).DueMs -= 1'500;
  BOOST_TEST(plan().Placements.empty());
  Queue[0].DueMs -= 1'000;
  BOOST_TEST(plan().Placements.size() == 1u);
}

// Guards against urgent work that finds no room because other work took it
// while the pool was contended.
BOOST_AUTO_TEST_CASE(RoomStaysKeptWhileHalfOfThePoolIsInUse) {
  for (const char *Rack : {"r1", "r2", "r3", "r4"})
    addRack(Rack, 2);
  UrgentGpus = 24;
  for (std::size_t W : {4UL, 5UL, 6UL, 7UL})
    occupy(W, "other", 8);
  auto &J = addJob("gang", 1, 2, 8, true);
  wait(J).DueMs -= 4'000;
  BOOST_TEST(plan().Placements.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OrderOfWaitingWork)

// Guards against late work that delays work which can still end in time.
BOOST_AUTO_TEST_CASE(LateWorkComesAfterWorkThatCanEndInTime) {
  auto &Late = addJob("late", 1, 1, 1, false);
  auto &Good = addJob("good", 2, 1, 1, false);
  wait(Late).DueMs -= 20'000;
  Queue[0].ObjectiveMs -= 20'000;
  wait(Good);
  sortByUrgency(Queue, NowMs);
  BOOST_TEST(Queue[0].Job->Spec.Id == "good");
}

// Guards against urgent work that is placed after other work.
BOOST_AUTO_TEST_CASE(GuaranteedWorkComesBeforeUrgentBeforeOtherWork) {
  wait(addJob("normal", 1, 1, 1, false));
  wait(addJob("urgent", 0, 1, 1, false));
  wait(addJob("guaranteed", 0, 1, 1, false), true);
  sortByUrgency(Queue, NowMs);
  BOOST_TEST(Queue[0].Job->Spec.Id == "guaranteed");
  BOOST_TEST(Queue[1].Job->Spec.Id == "urgent");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
