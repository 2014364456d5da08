#include "Deployment.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::cluster;

namespace {

/// A pool of racks with 4 workers each, on which small gangs run.
struct WorkerSpeedFixture : World {
  unsigned JobNumber = 0;

  void addRacks(unsigned Racks) {
    for (unsigned N = 0; N < 4 * Racks; ++N)
      addWorker("w" + std::to_string(10 + N), "r" + std::to_string(N / 4));
  }
  bool isSlow(const std::string &Worker) {
    return Workers[Worker].SlowdownFactor > 1;
  }
  std::string submitGang(unsigned Priority, unsigned Tasks, std::int64_t Gpus,
                         std::int64_t WorkMs, double Stretch) {
    std::string Id = "j" + std::to_string(++JobNumber);
    auto J = job(Id, Tasks, Gpus, WorkMs);
    J.Priority = Priority;
    J.Stretch = Stretch;
    J.LatencyObjectiveMs = 250;
    J.Steps[0].Gang = true;
    GangSizes[Id] = Tasks;
    BOOST_TEST(!submit(*Daemons.begin()->second, J));
    return Id;
  }
  /// Fills the pool with gangs for a while.
  void runGangs(unsigned Rounds) {
    for (unsigned Round = 0; Round < Rounds; ++Round) {
      for (std::size_t N = 0; N < Workers.size(); ++N)
        submitGang(1, 4, 2, 1'000, 3);
      run(2'600);
    }
  }
  std::set<std::string> workersRunning(const std::string &Job) {
    std::set<std::string> On;
    for (const auto &[Id, W] : Workers)
      for (const auto &R : W.Runs)
        if (R.Task.Job == Job)
          On.insert(Id);
    return On;
  }
  double gauge(const std::string &Name) {
    const auto &Gauges = Daemons[owner()]->stats().Gauges;
    auto It = Gauges.find(Name);
    return It == Gauges.end() ? -1 : It->second;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WorkersOfDifferentSpeed, WorkerSpeedFixture)

// Guards against urgent gangs that are late on workers which always take twice
// as long, while faster ones are free.
BOOST_AUTO_TEST_CASE(UrgentGangsRunOnFastWorkers) {
  addRacks(4);
  addDaemon("a");
  run(2'000);
  unsigned Number = 0;
  for (auto &[Id, W] : Workers)
    W.SlowdownFactor = Number++ % 2 ? 2 : 1;
  runGangs(4);
  BOOST_TEST(gauge("worker_speed_spread") > 0.2);
  BOOST_TEST(gauge("worker_speeds_known") == 16);
  for (unsigned Round = 0; Round < 4; ++Round) {
    std::string Urgent = submitGang(0, 4, 4, 1'000, 1.5);
    run(300);
    auto On = workersRunning(Urgent);
    BOOST_TEST(!On.empty());
    for (const std::string &Worker : On)
      BOOST_TEST(!isSlow(Worker));
    run(2'000);
  }
}

// Guards against patient work on fast workers, which urgent work then lacks.
BOOST_AUTO_TEST_CASE(PatientWorkRunsOnSlowWorkers) {
  addRacks(4);
  addDaemon("a");
  run(2'000);
  unsigned Number = 0;
  for (auto &[Id, W] : Workers)
    W.SlowdownFactor = Number++ % 2 ? 2 : 1;
  runGangs(4);
  std::string Patient = submitGang(1, 4, 4, 1'000, 5);
  run(300);
  auto On = workersRunning(Patient);
  BOOST_TEST(!On.empty());
  for (const std::string &Worker : On)
    BOOST_TEST(isSlow(Worker));
}

// Guards against estimates of an earlier process of a worker that are applied
// to the next one.
BOOST_AUTO_TEST_CASE(RestartedWorkerIsOfUnknownSpeed) {
  addRacks(4);
  addDaemon("a");
  run(2'000);
  unsigned Number = 0;
  for (auto &[Id, W] : Workers)
    W.SlowdownFactor = Number++ % 2 ? 2 : 1;
  runGangs(4);
  BOOST_TEST(gauge("worker_speeds_known") == 16);
  crash("w11");
  run(RestartMs + 1'000);
  BOOST_TEST(gauge("worker_speeds_known") == 15);
}

// Guards against a change of placement where all workers are alike.
BOOST_AUTO_TEST_CASE(EqualWorkersAreNotToldApart) {
  addRacks(4);
  addDaemon("a");
  run(2'000);
  runGangs(4);
  BOOST_TEST(gauge("worker_speed_spread") == 0);
  BOOST_TEST(gauge("worker_speeds_known") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
