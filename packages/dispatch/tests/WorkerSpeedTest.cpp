#include "heathersaddle/dispatch/WorkerSpeed.h"
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace heathersaddle::dispatch;

namespace {

/// Generates runs of gangs and steps on workers with known speeds.
struct SpeedFixture {
  std::vector<double> LogSpeeds;
  std::vector<WorkerSpeed> Speeds;
  SpeedModel Model;
  std::mt19937_64 Random{11};
  double TaskSpread = 0.3;
  double TailShare = 0.03;
  double EstimateError = 0.2;
  unsigned JobNumber = 0;

  void addWorkers(std::size_t Count, std::vector<double> Factors) {
    for (std::size_t N = 0; N < Count; ++N)
      LogSpeeds.push_back(std::log(Factors[N % Factors.size()]));
    std::shuffle(LogSpeeds.begin(), LogSpeeds.end(), Random);
    Speeds.resize(LogSpeeds.size());
  }
  void addWorkersBetween(std::size_t Count, double Slowest, double Fastest) {
    std::uniform_real_distribution<> Log(std::log(Slowest), std::log(Fastest));
    for (std::size_t N = 0; N < Count; ++N)
      LogSpeeds.push_back(Log(Random));
    Speeds.resize(LogSpeeds.size());
  }
  double normal() { return std::normal_distribution<>()(Random); }
  /// Runs a job of \p Tasks on random workers.
  void runJob(unsigned Tasks) {
    std::string Id = std::to_string(++JobNumber);
    double Estimate = 2'000;
    double LogTime = std::log(Estimate) + EstimateError * normal();
    std::vector<RunProgressTime> Runs;
    Runs.reserve(Tasks);
    for (unsigned N = 0; N < Tasks; ++N) {
      auto On = Random() % Speeds.size();
      double Deviation = TaskSpread * normal();
      if (std::uniform_real_distribution<>()(Random) < TailShare)
        Deviation += std::log(7);
      Runs.push_back(
          {&Speeds[On], std::exp(LogTime + Deviation - LogSpeeds[On]), true});
    }
    Model.observeStep({Id, 0, 0, 0}, "queue", Estimate, Runs);
    Model.forgetJob(Id);
    if (JobNumber % 10 == 0)
      refresh();
  }
  /// Runs jobs until each worker has had \p Runs runs on average.
  void runJobs(unsigned Runs, unsigned Tasks = 5) {
    for (std::size_t Left = Runs * Speeds.size() / Tasks; Left > 0; --Left)
      runJob(Tasks);
    refresh();
  }
  void refresh() {
    std::vector<WorkerSpeed *> All;
    All.reserve(Speeds.size());
    for (WorkerSpeed &W : Speeds)
      All.push_back(&W);
    Model.refresh(All);
  }
  /// Root of the mean square of the errors of the estimates.
  double error() const {
    double Mean = 0;
    for (double S : LogSpeeds)
      Mean += S / static_cast<double>(LogSpeeds.size());
    double Sum = 0;
    for (std::size_t N = 0; N < Speeds.size(); ++N) {
      double Off = Model.estimate(Speeds[N]).LogFactor - (LogSpeeds[N] - Mean);
      Sum += Off * Off / static_cast<double>(Speeds.size());
    }
    return std::sqrt(Sum);
  }
  /// The share of workers whose class is off by more than one.
  double misclassified() const {
    double Wrong = 0;
    for (std::size_t N = 0; N < Speeds.size(); ++N)
      Wrong += std::abs(Model.estimate(Speeds[N]).Class -
                        LogSpeeds[N] / SpeedClassWidth) > 1.5;
    return Wrong / static_cast<double>(Speeds.size());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EstimatingWorkerSpeeds, SpeedFixture)

// Guards against urgent gangs on workers at 0.6, which are not told from the
// others.
BOOST_AUTO_TEST_CASE(ThreeSpeedsAreToldApartAfterAFewRuns) {
  addWorkers(350, {0.6, 1.0, 1.6});
  runJobs(3);
  BOOST_TEST(Model.workersDiffer());
  runJobs(7);
  BOOST_TEST_MESSAGE("error " << error() << " misclassified " << misclassified()
                              << " spread " << Model.spread());
  BOOST_TEST(error() < 0.17);
  BOOST_TEST(misclassified() < 0.03);
  BOOST_TEST(std::abs(Model.spread() - 0.4) < 0.08);
}

// Guards against a narrow spread that is not found, or overestimated.
BOOST_AUTO_TEST_CASE(NarrowSpreadIsFound) {
  addWorkersBetween(350, 0.8, 1.25);
  runJobs(20);
  BOOST_TEST_MESSAGE("error " << error() << " spread " << Model.spread());
  BOOST_TEST(Model.workersDiffer());
  BOOST_TEST(error() < 0.1);
  BOOST_TEST(std::abs(Model.spread() - 0.13) < 0.05);
}

// Guards against placement that changes where workers do not differ, with tasks
// that differ more or less than usual, and estimates off by up to 0.9.
BOOST_AUTO_TEST_CASE(EqualWorkersCountAsUsual) {
  for (std::size_t Count : {16U, 48U, 350U})
    for (double Tasks : {0.05, 0.3, 0.6})
      for (double Estimates : {0.2, 0.9})
        for (double Tail : {0.0, 0.03, 0.1}) {
          Speeds.clear();
          LogSpeeds.clear();
          Model = {};
          TaskSpread = Tasks;
          EstimateError = Estimates;
          TailShare = Tail;
          addWorkers(Count, {1.0});
          std::size_t Differed = 0;
          for (unsigned N = 0; N < 40; ++N) {
            runJobs(1, 1 + N % 5);
            Differed += Model.workersDiffer();
          }
          BOOST_TEST_CONTEXT(Count << " workers, tasks " << Tasks
                                   << ", estimates " << Estimates << ", tail "
                                   << Tail)
          BOOST_TEST(Differed == 0u);
          for (const WorkerSpeed &W : Speeds)
            BOOST_REQUIRE(Model.estimate(W).Class == 0);
        }
}

// Guards against a slow rack that is overlooked since most workers are alike.
BOOST_AUTO_TEST_CASE(OneSlowRackIsFound) {
  addWorkers(48, {1.0});
  for (std::size_t N = 0; N < 8; ++N)
    LogSpeeds[N] = std::log(0.6);
  runJobs(15);
  BOOST_TEST(Model.workersDiffer());
  for (std::size_t N = 0; N < 8; ++N)
    BOOST_TEST(Model.estimate(Speeds[N]).Class <= -1);
  BOOST_TEST(misclassified() < 0.05);
}

// Guards against estimates that stay when workers change their speed.
BOOST_AUTO_TEST_CASE(ChangedSpeedIsFollowed) {
  addWorkers(120, {0.6, 1.0, 1.6});
  runJobs(30);
  for (double &S : LogSpeeds)
    S = S < -0.1 ? std::log(1.6) : S > 0.1 ? std::log(0.6) : 0;
  runJobs(12);
  BOOST_TEST_MESSAGE("error " << error());
  BOOST_TEST(error() < 0.25);
  BOOST_TEST(misclassified() < 0.06);
}

// Guards against a worker that counts as slow because of one task in the tail.
BOOST_AUTO_TEST_CASE(OneTaskInTheTailHardlyCounts) {
  WorkerSpeed W;
  for (std::size_t N = 0; N < 10; ++N)
    W.observe(0.3, 0.11, N);
  double Before = W.mean();
  W.observe(0.3 - std::log(7), 0.11, 11);
  BOOST_TEST(Before - W.mean() < 0.05);
  // Other tasks that are as slow show that the worker is.
  for (std::size_t N = 0; N < 6; ++N)
    W.observe(0.3 - std::log(7), 0.11, 20 + N);
  BOOST_TEST(W.mean() < -0.5);
}

// Guards against slow workers that are hidden by estimates that are far off, as
// those of wide gangs are.
BOOST_AUTO_TEST_CASE(EstimatesMayBeFarOff) {
  EstimateError = 0.9;
  addWorkers(120, {0.6, 1.0, 1.6});
  runJobs(10, 13);
  BOOST_TEST(misclassified() < 0.03);
  // Runs without siblings tell less.
  Speeds.assign(Speeds.size(), {});
  runJobs(40, 1);
  BOOST_TEST_MESSAGE("single tasks: error " << error());
  BOOST_TEST(error() < 0.35);
}

// Guards against run times that are taken from estimates which are too low.
BOOST_AUTO_TEST_CASE(RatioToTheEstimateIsLearned) {
  addWorkers(48, {0.6, 1.0, 1.6});
  for (unsigned N = 0; N < 60; ++N) {
    std::string Id = std::to_string(N);
    std::vector<RunProgressTime> Runs;
    for (unsigned Task = 0; Task < 4; ++Task) {
      auto On = Random() % Speeds.size();
      Runs.push_back({&Speeds[On], 6'000 * std::exp(-LogSpeeds[On]), true});
    }
    Model.observeStep({Id, 0, 0, 0}, "queue", 2'000, Runs);
  }
  BOOST_TEST(Model.runTimeRatio("queue") > 2.4);
  BOOST_TEST(Model.runTimeRatio("queue") < 3.6);
  BOOST_TEST(Model.runTimeRatio("other") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
