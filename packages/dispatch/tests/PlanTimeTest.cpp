#include "heathersaddle/dispatch/Planner.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <deque>
#include <random>

using namespace heathersaddle;
using namespace heathersaddle::dispatch;

namespace {

/// A pool in which a third of the GPUs is in use.
Fleet makePool(unsigned Workers, bool SpeedsDiffer, std::mt19937_64 &Random) {
  Fleet F;
  for (unsigned N = 0; N < Workers; ++N) {
    Worker &W = F.Workers.emplace_back();
    W.Id = "w" + std::to_string(N);
    W.Service = "service";
    W.Rack = "r" + std::to_string(N / 8);
    W.Capacity = W.Free = {128'000, 512'000, 8};
    W.Usable = true;
    if (SpeedsDiffer) {
      W.Speed.Class = static_cast<int>(Random() % 3) * 2 - 2;
      W.Speed.LogFactor = W.Speed.Class * SpeedClassWidth;
      W.Speed.Error = 0.08;
    }
    for (unsigned Run = 0; Run < Random() % 5; ++Run) {
      Allocation A;
      A.Unit = {"j" + std::to_string(Random() % 2'000), 0, 0, 0};
      A.Room = {15'000, 20'000, 1 + static_cast<std::int64_t>(Random() % 2)};
      A.Priority = 1;
      A.EndEstimateMs = 1'000'000 + static_cast<std::int64_t>(Random() % 9'000);
      W.Free -= A.Room;
      W.Allocations.push_back(A);
    }
  }
  return F;
}

workload::Job makeJob(unsigned Number, unsigned Priority, unsigned Tasks,
                      std::int64_t Gpus, bool SameRack) {
  workload::Job J;
  J.Spec.Id = "n" + std::to_string(Number);
  J.Spec.Service = "service";
  J.Spec.Priority = Priority;
  workload::Step S;
  S.Count = Tasks;
  S.Need = {15'000, 20'000, Gpus};
  S.EstimateMs = 2'000;
  S.Gang = Priority < 2;
  S.SameRack = SameRack;
  J.Spec.Steps.push_back(S);
  return J;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TimeOfAPlan)

// Prints the time of a usual pass, in which an urgent gang, another gang and a
// step of 39 tasks wait.
BOOST_AUTO_TEST_CASE(Figures, *boost::unit_test::disabled()) {
  for (unsigned Workers : {350U, 3'600U})
    for (bool SpeedsDiffer : {false, true}) {
      std::mt19937_64 Random(5);
      std::vector<double> Ms;
      Ms.reserve(200);
      for (unsigned N = 0; N < 200; ++N) {
        Fleet F = makePool(Workers, SpeedsDiffer, Random);
        std::deque<workload::Job> Jobs{makeJob(1, 0, 5, 4, true),
                                       makeJob(2, 1, 13, 2, false),
                                       makeJob(3, 2, 39, 1, false)};
        std::vector<WaitingTasks> Queue;
        Queue.reserve(Jobs.size());
        for (const workload::Job &J : Jobs) {
          WaitingTasks &W = Queue.emplace_back();
          W.Job = &J;
          for (unsigned T = 0; T < J.Spec.Steps[0].Count; ++T)
            W.Tasks.push_back(T);
          W.DueMs = 1'000'000;
          W.ObjectiveMs = 1'000'000 + (J.Spec.Priority ? 6'000 : 3'250);
          W.RemainingMs = 2'000;
        }
        Planner P;
        auto Began = std::chrono::steady_clock::now();
        auto Next = P.plan(F, Queue, 1'000'000, 60);
        Ms.push_back(std::chrono::duration<double, std::milli>(
                         std::chrono::steady_clock::now() - Began)
                         .count());
        BOOST_TEST(Next.Placements.size() == 3u);
      }
      std::sort(Ms.begin(), Ms.end());
      BOOST_TEST_MESSAGE(
          Workers << " workers, speeds " << (SpeedsDiffer ? "differ" : "alike")
                  << ": median " << Ms[100] << " ms, p99 " << Ms[198] << " ms");
    }
}

BOOST_AUTO_TEST_SUITE_END()
