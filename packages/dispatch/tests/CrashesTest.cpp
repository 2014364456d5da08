#include "heathersaddle/dispatch/Crashes.h"
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace heathersaddle;
using namespace heathersaddle::dispatch;
using base::Millis;
using base::MonoTime;

namespace {

/// Four workers with 8 GPUs each, in one rack.
struct PoolFixture {
  Fleet CurrentFleet;
  std::deque<workload::Job> Jobs;
  std::vector<WaitingTasks> Queue;
  Planner PlannerUnderTest;
  std::int64_t NowMs = 1'000'000;

  PoolFixture() {
    for (const char *Id : {"w0", "w1", "w2", "w3"}) {
      Worker &W = CurrentFleet.Workers.emplace_back();
      W.Id = Id;
      W.Service = "service";
      W.Rack = "r1";
      W.Capacity = W.Free = {64'000, 256'000, 8};
      W.Usable = true;
    }
  }
  void occupy(std::size_t N, std::int64_t Gpus, std::int64_t EndsInMs,
              unsigned Crashes = 0) {
    Worker &On = CurrentFleet.Workers[N];
    Allocation A;
    A.Unit = {"running" + std::to_string(N), 0, 0, 0};
    A.Room = {1'000, 1'000, Gpus};
    A.Priority = 1;
    A.EndEstimateMs = NowMs + EndsInMs;
    On.Allocations.push_back(A);
    On.Free -= A.Room;
    On.Occupied = true;
    On.TenantCrashes = std::max(On.TenantCrashes, Crashes);
  }
  WaitingTasks &wait(const std::string &Id, std::int64_t Gpus, unsigned Crashes,
                     std::int64_t WaitedMs = 0, unsigned Priority = 1) {
    workload::Job &J = Jobs.emplace_back();
    J.Spec.Id = Id;
    J.Spec.Service = "service";
    J.Spec.Priority = Priority;
    workload::Step &S = J.Spec.Steps.emplace_back();
    S.Need = {1'000, 1'000, Gpus};
    S.EstimateMs = 5'000;
    WaitingTasks &W = Queue.emplace_back();
    W.Job = &J;
    W.Tasks = {0};
    W.DueMs = NowMs - WaitedMs;
    W.ObjectiveMs = NowMs + 15'000;
    W.RemainingMs = 5'000;
    W.Crashes = Crashes;
    return W;
  }
  /// The worker of each job that the next plan places.
  std::map<std::string, std::size_t> plan() {
    std::map<std::string, std::size_t> On;
    for (const TaskPlacement &P :
         PlannerUnderTest.plan(CurrentFleet, Queue, NowMs).Placements)
      On[P.Work->Job->Spec.Id] = P.Workers.front();
    return On;
  }
};

const MonoTime Start{100'000};
const UnitId Suspect{"suspect", 0, 0, 0};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TasksThatMayCrashTheirWorkers, PoolFixture)

BOOST_AUTO_TEST_SUITE(WhenTheyRunAgain)

// Guards against work that is lost beside a task that crashes its workers.
BOOST_AUTO_TEST_CASE(FirstGoesWhereLeastIsLost) {
  occupy(0, 4, 4'000);
  occupy(1, 2, 4'000);
  occupy(2, 6, 4'000);
  occupy(3, 5, 4'000);
  wait("suspect", 1, 1);
  BOOST_TEST(plan()["suspect"] == 1u);
}

// Guards against suspects that are lost with each other, so that the next crash
// does not tell them apart.
BOOST_AUTO_TEST_CASE(FirstAreKeptApart) {
  wait("1", 1, 1);
  wait("2", 1, 1);
  wait("3", 1, 1);
  auto On = plan();
  BOOST_TEST(On.size() == 3u);
  BOOST_TEST((On["1"] != On["2"] && On["2"] != On["3"] && On["1"] != On["3"]));
}

// Guards against a second crash that takes other work with it.
BOOST_AUTO_TEST_CASE(ThenTheyRunAlone) {
  for (std::size_t N : {0U, 1U, 3U})
    occupy(N, 1, 4'000);
  wait("suspect", 1, 2);
  wait("1", 1, 0, 0, 0);
  wait("2", 8, 0, 0, 0);
  auto On = plan();
  // Urgent work comes first and has taken the empty worker.
  BOOST_TEST(On["2"] == 2u);
  BOOST_TEST(!On.contains("suspect"));
  Queue.clear();
  CurrentFleet.Workers[2].Occupied = false;
  wait("suspect", 1, 2);
  wait("3", 2, 0);
  On = plan();
  BOOST_TEST(On["suspect"] == 2u);
  BOOST_REQUIRE(On.contains("3"));
  BOOST_TEST(On["3"] != 2u);
}

// Guards against work that joins a task that is to run alone.
BOOST_AUTO_TEST_CASE(NothingJoinsThem) {
  occupy(0, 1, 4'000, 2);
  for (std::size_t N : {1U, 2U, 3U})
    occupy(N, 8, 4'000);
  wait("1", 1, 0);
  wait("2", 1, 0, 0, 0);
  BOOST_TEST(plan().empty());
}

// Guards against a task that never runs because no worker becomes empty.
BOOST_AUTO_TEST_CASE(WorkerIsReservedForThemOnABusyPool) {
  for (std::size_t N : {0U, 1U, 2U, 3U})
    occupy(N, 7, N == 2 ? 1'000 : 9'000);
  wait("suspect", 1, 2);
  for (const char *Id : {"1", "2", "3", "4"})
    wait(Id, 1, 0).ObjectiveMs += 1'000;
  auto On = plan();
  BOOST_TEST(On.size() == 3u);
  for (const auto &[Id, N] : On)
    BOOST_TEST(N != 2u);
}

// Guards against accepted work that waits beside free workers.
BOOST_AUTO_TEST_CASE(TheyStartInTimeOnAPoolThatIsMostlyFree) {
  for (std::size_t N : {0U, 1U, 2U, 3U})
    occupy(N, 1, 9'000);
  wait("suspect", 1, 3, 2'500);
  BOOST_TEST(plan().contains("suspect"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheyCrashAnother)

// Guards against healthy tasks that are given up for what ran beside them.
BOOST_AUTO_TEST_CASE(OnlyThatOfALoneTaskTells) {
  BOOST_TEST((judgeCrash(1, true) == CrashVerdict::RunAgain));
  BOOST_TEST((judgeCrash(3, false) == CrashVerdict::RunAgain));
  BOOST_TEST((judgeCrash(2, true) == CrashVerdict::GiveUpUnlessOutage));
}

// Guards against a task without a limit of crashes.
BOOST_AUTO_TEST_CASE(TheirNumberIsBounded) {
  BOOST_TEST((judgeCrash(4, false) == CrashVerdict::GiveUp));
}

// Guards against healthy tasks that are given up after a power failure.
BOOST_AUTO_TEST_CASE(CrashesOfManyWorkersAreAnOutage) {
  std::vector<WorkerCrash> Crashes{{"w1", Start, {Suspect}},
                                   {"w2", Start + Millis(900), {}},
                                   {"w3", Start - Millis(300), {}}};
  BOOST_TEST(isOutage(Crashes, Suspect, Start));
  Crashes[2].At = Start - Millis(5'000);
  BOOST_TEST(!isOutage(Crashes, Suspect, Start));
}

// Guards against a gang that crashes several workers at once and is taken for
// the victim of an outage.
BOOST_AUTO_TEST_CASE(CrashesWithATaskInCommonAreNone) {
  std::vector<WorkerCrash> Crashes{{"w1", Start, {Suspect}},
                                   {"w2", Start, {Suspect}},
                                   {"w3", Start, {Suspect}}};
  BOOST_TEST(!isOutage(Crashes, Suspect, Start));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
