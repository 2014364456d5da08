#include "heathersaddle/dispatch/Planner.h"
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>

using namespace heathersaddle;
using namespace heathersaddle::dispatch;

namespace {

/// Racks of workers with 8 GPUs each, of known speeds.
struct SpeedChoiceFixture {
  Fleet Pool;
  std::deque<workload::Job> Jobs;
  std::vector<WaitingTasks> Queue;
  Planner PlannerUnderTest;
  std::int64_t NowMs = 1'000'000;
  std::int64_t UrgentGpus = 0;

  void addRack(const std::string &Rack, const std::vector<double> &Factors) {
    for (double Factor : Factors) {
      Worker W;
      W.Id = Rack + "-" + std::to_string(Pool.Workers.size());
      W.Service = "service";
      W.Rack = Rack;
      W.Capacity = W.Free = {64'000, 256'000, 8};
      W.Usable = true;
      W.Speed.LogFactor = std::log(Factor);
      W.Speed.Error = 0.05;
      W.Speed.Class =
          static_cast<int>(std::lround(std::log(Factor) / SpeedClassWidth));
      Pool.Workers.push_back(W);
    }
  }
  /// A job of 2 s; urgent work has a stretch of 1.5, other work of 3.
  WaitingTasks &wait(unsigned Priority, unsigned Tasks, std::int64_t Gpus,
                     bool Gang, bool SameRack = false) {
    workload::Job &J = Jobs.emplace_back();
    J.Spec.Id = std::to_string(Jobs.size());
    J.Spec.Service = "service";
    J.Spec.Priority = Priority;
    workload::Step S;
    S.Count = Tasks;
    S.Need = {1'000, 1'000, Gpus};
    S.EstimateMs = 2'000;
    S.Gang = Gang;
    S.SameRack = SameRack;
    J.Spec.Steps.push_back(S);
    WaitingTasks W;
    W.Job = &J;
    for (unsigned N = 0; N < Tasks; ++N)
      W.Tasks.push_back(N);
    W.DueMs = NowMs;
    W.ObjectiveMs = NowMs + (Priority ? 6'000 : 3'250);
    W.RemainingMs = 2'000;
    return Queue.emplace_back(W);
  }
  void occupy(std::size_t Worker, std::int64_t Gpus) {
    Allocation R;
    R.Unit = {"old" + std::to_string(Worker), 0, 0, 0};
    R.Room = {1'000, 1'000, Gpus};
    R.Priority = 1;
    R.EndEstimateMs = NowMs + 4'000;
    R.LostIfStoppedMs = 1'000;
    Pool.Workers[Worker].Allocations.push_back(R);
    Pool.Workers[Worker].Free -= R.Room;
  }
  Plan plan() { return PlannerUnderTest.plan(Pool, Queue, NowMs, UrgentGpus); }
  /// The workers of the only placement.
  std::vector<std::size_t> planOne() {
    auto Next = plan();
    BOOST_REQUIRE(Next.Placements.size() == 1u);
    return Next.Placements[0].Workers;
  }
  double slowest(const std::vector<std::size_t> &On) {
    double Slowest = 10;
    for (std::size_t W : On)
      Slowest = std::min(Slowest, std::exp(Pool.Workers[W].Speed.LogFactor));
    return Slowest;
  }
  double fastest(const std::vector<std::size_t> &On) {
    double Fastest = 0;
    for (std::size_t W : On)
      Fastest = std::max(Fastest, std::exp(Pool.Workers[W].Speed.LogFactor));
    return Fastest;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkersOfDifferentSpeeds, SpeedChoiceFixture)

BOOST_AUTO_TEST_SUITE(UrgentWork)

// Guards against a gang that one slow member makes late.
BOOST_AUTO_TEST_CASE(GangGoesToTheRackWithTheFastestSlowestMember) {
  addRack("r1", {1.6, 1.6, 0.6, 0.6});
  addRack("r2", {1.0, 1.0, 1.0, 0.6});
  wait(0, 3, 8, true, true);
  auto On = planOne();
  BOOST_TEST(slowest(On) == 1.0);
  for (std::size_t W : On)
    BOOST_TEST(Pool.Workers[W].Rack == "r2");
}

// Guards against fast workers that wait for slower members of the same gang.
BOOST_AUTO_TEST_CASE(MembersAreOfLikeSpeed) {
  addRack("r1", {1.6, 1.0, 1.0, 0.6});
  wait(0, 2, 8, true);
  auto On = planOne();
  BOOST_TEST(slowest(On) == 1.0);
  BOOST_TEST(fastest(On) == 1.0);
}

// Guards against gangs that are spread over racks, where they take three times
// as long, for the sake of speed.
BOOST_AUTO_TEST_CASE(RackMattersMoreThanSpeed) {
  addRack("r1", {1.6, 0.6});
  addRack("r2", {1.6, 0.6});
  wait(0, 2, 8, true, true);
  auto On = planOne();
  BOOST_TEST(Pool.Workers[On[0]].Rack == Pool.Workers[On[1]].Rack);
}

// Guards against single tasks on slow workers, and against loose packing within
// a class of speed.
BOOST_AUTO_TEST_CASE(TasksGoToTheFastestWorkerWithTheTightestFit) {
  addRack("r1", {0.6, 1.6, 1.6, 1.0});
  occupy(0, 6);
  occupy(2, 4);
  wait(0, 2, 1, false);
  for (std::size_t W : planOne())
    BOOST_TEST(W == 2u);
}

// Guards against stops on workers where the urgent work would be late.
BOOST_AUTO_TEST_CASE(NothingIsStoppedOnWorkersThatAreTooSlow) {
  addRack("r1", {0.6, 0.6, 1.0, 1.0});
  for (std::size_t W = 0; W < 4; ++W)
    occupy(W, 8);
  // It is the cheapest to stop.
  Pool.Workers[0].Allocations[0].LostIfStoppedMs = 0;
  wait(0, 2, 8, true);
  auto Next = plan();
  BOOST_TEST(Next.Stops.size() == 2u);
  BOOST_TEST(!Next.Stops.contains({"old0", 0, 0, 0}));
}

// Guards against urgent work on workers that may be slow, while known ones are
// free.
BOOST_AUTO_TEST_CASE(UnknownWorkersComeAfterThoseOfUsualSpeed) {
  addRack("r1", {1.0, 1.0, 0.6});
  Pool.Workers[0].Speed = {0, 0.4, 0, false};
  wait(0, 1, 1, false);
  BOOST_TEST(planOne()[0] == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OtherWork)

// Guards against patient work on fast workers, which urgent work then lacks.
BOOST_AUTO_TEST_CASE(TakesTheSlowestWorkersThatSuffice) {
  addRack("r1", {1.6, 0.6, 1.0, 0.6});
  wait(1, 2, 8, true);
  BOOST_TEST(fastest(planOne()) == 0.6);
}

// Guards against work that is late on slow workers since it has waited for so
// long that only fast ones would bring it in time.
BOOST_AUTO_TEST_CASE(TakesFasterWorkersAfterAWait) {
  addRack("r1", {0.6, 1.6, 1.0, 0.6});
  WaitingTasks &W = wait(1, 1, 8, false);
  W.ObjectiveMs = NowMs + 2'100;
  BOOST_TEST(fastest(planOne()) == 1.6);
}

// Guards against work that waits although there is room.
BOOST_AUTO_TEST_CASE(TakesWhateverIsFreeRatherThanWaiting) {
  addRack("r1", {1.6, 0.6});
  occupy(1, 8);
  wait(1, 1, 8, false);
  BOOST_TEST(planOne()[0] == 0u);
}

// Guards against accounts that get fast workers by understating run times.
BOOST_AUTO_TEST_CASE(LearnedRunTimesGiveItNoFasterWorkers) {
  addRack("r1", {1.6, 0.6, 1.0});
  wait(1, 1, 8, false).RunTimeRatio = 8;
  BOOST_TEST(fastest(planOne()) == 0.6);
}

// Guards against workers that stay unknown as nothing is placed there.
BOOST_AUTO_TEST_CASE(ExploresWorkersOfUnknownSpeed) {
  addRack("r1", {0.6, 1.0, 1.6});
  Pool.Workers[1].Speed = {0, 0.4, 0, false};
  wait(2, 1, 1, false);
  BOOST_TEST(planOne()[0] == 1u);
}

// Guards against room that is kept for urgent work on workers which are too
// slow for it, and against slow workers that stand idle beside it.
BOOST_AUTO_TEST_CASE(OnlyFastWorkersAreKeptForUrgentWork) {
  addRack("r1", {0.6, 0.6, 0.6, 0.6});
  addRack("r2", {1.0, 1.0, 1.0, 1.0});
  UrgentGpus = 24;
  wait(1, 8, 8, false);
  auto Next = plan();
  BOOST_REQUIRE(Next.Placements.size() == 1u);
  BOOST_TEST(Next.Placements[0].Workers.size() == 4u);
  BOOST_TEST(fastest(Next.Placements[0].Workers) == 0.6);
}

// Guards against urgent gangs that find too little room on one rack and stop
// other work, as the room for them is kept on the few workers that are a little
// faster.
BOOST_AUTO_TEST_CASE(RoomIsKeptAsUsualWhereFewWorkersAreFaster) {
  addRack("r1", {1.0, 1.0, 1.6, 1.0});
  addRack("r2", {1.0, 1.0, 1.6, 1.0});
  UrgentGpus = 24;
  wait(1, 8, 8, false);
  auto Next = plan();
  BOOST_REQUIRE(Next.Placements.size() == 1u);
  BOOST_TEST(
      (Next.Placements[0].Workers == std::vector<std::size_t>{4, 5, 6, 7}));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
