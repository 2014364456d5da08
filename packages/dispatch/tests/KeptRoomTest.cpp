#include "heathersaddle/dispatch/Planner.h"
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace heathersaddle;
using namespace heathersaddle::dispatch;

namespace {

/// Work that has waited for this long must not be kept from free room; callers
/// are promised that it starts within 3 s.
constexpr std::int64_t PromisedStartMs = 2'800;

/// A random pool with running work of all kinds and work that has waited for
/// PromisedStartMs.
struct RandomPool {
  std::mt19937_64 Random;
  Fleet CurrentFleet;
  std::deque<workload::Job> Jobs;
  std::vector<WaitingTasks> Queue;
  std::int64_t NowMs = 1'000'000;
  bool HasGpus = true;

  std::int64_t below(std::int64_t Limit) {
    return static_cast<std::int64_t>(Random() %
                                     static_cast<std::uint64_t>(Limit));
  }
  bool oneIn(std::int64_t N) { return below(N) == 0; }

  void addWorkers() {
    HasGpus = !oneIn(8);
    std::int64_t Racks = 2 + below(6);
    std::int64_t PerRack = 2 + below(8);
    for (std::int64_t R = 0; R < Racks; ++R)
      for (std::int64_t N = 0; N < PerRack; ++N) {
        Worker W;
        W.Id = "r" + std::to_string(R) + "-" + std::to_string(N);
        W.Rack = "r" + std::to_string(R);
        W.Service = oneIn(8) ? "other" : "service";
        W.Capacity = W.Free = {64'000, 131'072, HasGpus ? 8 : 0};
        W.Usable = !oneIn(10);
        W.Condition = static_cast<WorkerCondition>(oneIn(4) ? below(4) : 0);
        W.Avoided = oneIn(3);
        CurrentFleet.Workers.push_back(W);
      }
  }
  void addRunningWork(std::int64_t MaxSharePercent) {
    std::int64_t Share = below(MaxSharePercent + 1);
    for (Worker &W : CurrentFleet.Workers) {
      unsigned N = 0;
      while (W.Free.CpuMilli > 0 && below(100) < Share) {
        Allocation A;
        A.Unit = {W.Id + "/" + std::to_string(N++), 0, 0, 0};
        A.Room = {6'000, 15'000, W.Free.Gpus ? 1 + below(W.Free.Gpus) : 0};
        A.Priority = static_cast<unsigned>(below(3));
        A.Guaranteed = A.Priority == 0 && oneIn(2);
        A.Stoppable = !oneIn(3);
        A.EndEstimateMs = NowMs + 300 + below(20'000);
        if (!A.Room.fitsIn(W.Free))
          break;
        W.Free -= A.Room;
        W.Allocations.push_back(A);
        W.Occupied = true;
      }
      if (W.Occupied && oneIn(3))
        W.TenantCrashes = static_cast<unsigned>(below(4));
    }
  }
  void addWaitingWork() {
    std::int64_t Count = 1 + below(3);
    for (std::int64_t N = 0; N < Count; ++N) {
      workload::Job &J = Jobs.emplace_back();
      J.Spec.Id = "job" + std::to_string(N);
      J.Spec.Service = "service";
      J.Spec.Priority = static_cast<unsigned>(below(3));
      workload::Step S;
      S.Gang = oneIn(2);
      S.Count = static_cast<unsigned>(1 + below(6));
      S.Need = {6'000, 20'000, HasGpus ? 1 + below(8) : 0};
      S.EstimateMs = 500 + below(40'000);
      S.SameRack = S.Gang && oneIn(2);
      S.SavesProgress = oneIn(2);
      S.LongRunning = oneIn(4);
      if (oneIn(3))
        S.DataRack = "r" + std::to_string(below(4));
      J.Spec.Steps.push_back(S);
      WaitingTasks W;
      W.Job = &J;
      for (unsigned Index = 0; Index < S.Count; ++Index)
        W.Tasks.push_back(Index);
      W.Crashes = oneIn(3) ? static_cast<unsigned>(below(4)) : 0;
      W.DueMs = NowMs - PromisedStartMs;
      W.ObjectiveMs = NowMs + below(60'000);
      W.RemainingMs = S.EstimateMs;
      Queue.push_back(W);
    }
  }

  bool mayRunOn(const Worker &W) const {
    return W.Usable && W.Service == "service";
  }
  /// Whether under half of each resource of the service is in use.
  bool mostlyFree() const {
    Resources Capacity;
    Resources Free;
    for (const Worker &W : CurrentFleet.Workers)
      if (mayRunOn(W)) {
        Capacity += W.Capacity;
        Free += W.Free;
      }
    return 2 * Free.CpuMilli > Capacity.CpuMilli &&
           2 * Free.MemoryMb > Capacity.MemoryMb &&
           (!HasGpus || 2 * Free.Gpus > Capacity.Gpus);
  }
  /// How many units of the step fit into the free room, a single task or the
  /// whole gang; counts up to two.
  unsigned unitsThatFit(const workload::Step &S) const {
    unsigned Unit = S.Gang ? S.Count : 1;
    unsigned Tasks = 0;
    for (const Worker &W : CurrentFleet.Workers) {
      Resources Free = W.Free;
      while (mayRunOn(W) && Tasks < 2 * Unit && S.Need.fitsIn(Free)) {
        Free -= S.Need;
        ++Tasks;
      }
    }
    return Tasks / Unit;
  }
  /// Carries out the plan: places work, and ends the work that is to stop.
  void apply(const Plan &Next) {
    for (Worker &W : CurrentFleet.Workers)
      std::erase_if(W.Allocations, [&](const Allocation &A) {
        bool Stops = Next.Stops.contains(A.Unit);
        if (Stops)
          W.Free += A.Room;
        return Stops;
      });
    for (const TaskPlacement &P : Next.Placements) {
      for (std::size_t N : P.Workers)
        CurrentFleet.Workers[N].Free -= P.Work->step().Need;
      Started.insert(P.Work->Job->Spec.Id);
    }
  }
  /// Jobs of which nothing has started although the promise applies to them.
  std::string leftWaiting() const {
    std::string Ids;
    for (const WaitingTasks &W : Queue)
      if (!Started.contains(W.Job->Spec.Id) && unitsThatFit(W.step()) >= 2 &&
          (W.step().LongRunning || mostlyFree()))
        Ids += W.Job->Spec.Id + " ";
    return Ids;
  }
  std::set<std::string> Started;
};

} // namespace

BOOST_AUTO_TEST_SUITE(RoomKeptFromWaitingWork)

// Guards against accepted work that waits beside free workers, which are kept
// for urgent work, reserved for gangs, avoided, or not in the preferred rack.
BOOST_AUTO_TEST_CASE(AcceptedWorkStartsBesideFreeWorkers) {
  for (unsigned Seed = 1; Seed <= 4'000; ++Seed) {
    RandomPool Pool;
    Pool.Random.seed(Seed);
    Pool.addWorkers();
    Pool.addRunningWork(70);
    Pool.addWaitingWork();
    Planner PlannerUnderTest;
    std::int64_t UrgentGpus = Pool.below(400);
    // Work that is stopped frees its room within a second; the second plan
    // gives that room to the work for which it was stopped.
    for (std::int64_t DelayMs : {0, 1'000}) {
      Pool.NowMs += DelayMs;
      std::erase_if(Pool.Queue, [&](const WaitingTasks &W) {
        return Pool.Started.contains(W.Job->Spec.Id);
      });
      Pool.apply(PlannerUnderTest.plan(Pool.CurrentFleet, Pool.Queue,
                                       Pool.NowMs, UrgentGpus));
    }
    std::string Waiting = Pool.leftWaiting();
    BOOST_TEST(Waiting == "",
               "seed " << Seed << " leaves waiting: " << Waiting);
  }
}

// Guards against waits that the log blames on a lack of room although workers
// are free that failed lately.
BOOST_AUTO_TEST_CASE(WaitBesideAvoidedWorkersIsExplained) {
  RandomPool Pool;
  for (const char *Id : {"full", "avoided"}) {
    Worker &W = Pool.CurrentFleet.Workers.emplace_back();
    W.Id = Id;
    W.Rack = "r1";
    W.Service = "service";
    W.Capacity = {64'000, 131'072, 8};
    W.Usable = true;
  }
  Pool.CurrentFleet.Workers[1].Avoided = true;
  Pool.CurrentFleet.Workers[1].Free = {32'000, 65'536, 4};
  workload::Job J;
  J.Spec.Service = "service";
  J.Spec.Priority = 1;
  J.Spec.Steps.emplace_back().Need = {6'000, 15'000, 1};
  WaitingTasks &W = Pool.Queue.emplace_back();
  W.Job = &J;
  W.Tasks = {0};
  W.DueMs = Pool.NowMs - 6'000;
  Plan Next = Planner().plan(Pool.CurrentFleet, Pool.Queue, Pool.NowMs);
  BOOST_REQUIRE(Next.Waits.size() == 1u);
  BOOST_TEST(name(Next.Waits[0].Reason) == "workers_avoided");
}

BOOST_AUTO_TEST_SUITE_END()
