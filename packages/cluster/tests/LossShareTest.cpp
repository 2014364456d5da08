// The stream of jobs is like the real load: about 70% of the GPUs are in use,
// by urgent jobs, gangs and single tasks in equal parts.
#include "Deployment.h"
#include <array>
#include <cmath>

using namespace heathersaddle;
using namespace heathersaddle::cluster;

namespace {

constexpr unsigned WorkerCount = 200;
constexpr std::int64_t GpusPerWorker = 8;
constexpr double LoadShare = 0.7;
constexpr std::int64_t UndisturbedMs = 2'000;
constexpr std::int64_t TroubleMs = 12'000;
/// Jobs that are submitted later than this after the trouble are served as if
/// there had been none.
constexpr std::int64_t RecoveryMs = 4'000;
constexpr std::int64_t RecoveredMs = 3'000;
/// From the last submission.
constexpr std::int64_t LongestDrainMs = 60'000;
constexpr std::array<std::uint64_t, 2> Seeds{1, 2};

struct Kind {
  unsigned Priority;
  unsigned Tasks;
  std::int64_t LeastGpus; ///< Of a task.
  std::int64_t MostGpus;
  std::int64_t WorkMs;
  bool Gang;
  /// The time from one job to the next with a third of the load.
  double intervalMs() const {
    double Gpus = static_cast<double>(LeastGpus + MostGpus) / 2;
    return 3 * Tasks * Gpus * static_cast<double>(WorkMs) /
           (LoadShare * GpusPerWorker * WorkerCount);
  }
};

constexpr std::array<Kind, 3> Kinds{{
    {0, 5, 1, 8, 2'500, false},
    {1, 10, 4, 4, 7'000, true},
    {2, 30, 1, 1, 7'600, false},
}};

/// The jobs submitted in one period of a run, by how they ended.
struct Tally {
  unsigned Jobs = 0;
  unsigned InTime = 0;
  double share() const { return Jobs ? static_cast<double>(InTime) / Jobs : 0; }
};

struct Outcome {
  Tally Trouble;   ///< Submitted while calls were lost.
  Tally Recovered; ///< Submitted from RecoveryMs after that on.
  unsigned Refused = 0;
  unsigned NotCompleted = 0;
  std::string BrokenRules; ///< The World's flags that are set.
  std::uint64_t CallsHeldBack = 0;
};

/// Many workers and one daemon that are under load before calls get lost.
struct LoadedWorld : World {
  LoadedWorld(std::uint64_t Seed, std::int64_t CpuMilli) : Load(Seed) {
    Random.seed(Seed);
    for (unsigned N = 0; N < WorkerCount; ++N)
      addWorker("v" + std::to_string(1'000 + N), "r" + std::to_string(N % 10),
                GpusPerWorker);
    addDaemon("a", CpuMilli);
    BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 3'000));
    run(500);
    // As many jobs of each kind as are at work under a steady load.
    for (std::size_t K = 0; K < Kinds.size(); ++K) {
      NextAtMs[K] = static_cast<double>(Clock);
      double Interval = Kinds[K].intervalMs();
      for (double At = 0; At < static_cast<double>(Kinds[K].WorkMs);
           At += Interval)
        submitOne(Kinds[K], Kinds[K].WorkMs - static_cast<std::int64_t>(At));
    }
  }

  /// Submits the stream of jobs for \p Ms and counts those in \p T.
  void serve(std::int64_t Ms, Tally *T) {
    for (std::int64_t Until = Clock + Ms; Clock < Until; run(StepMs)) {
      for (std::size_t K = 0; K < Kinds.size(); ++K)
        for (; NextAtMs[K] <= static_cast<double>(Clock);
             NextAtMs[K] += drawInterval(Kinds[K]))
          submitOne(Kinds[K], Kinds[K].WorkMs, T);
      noteEnds();
    }
  }
  /// Runs until all jobs have ended.
  void drain(std::int64_t MaxMs) {
    for (std::int64_t Until = Clock + MaxMs; Clock < Until && !Open.empty();
         run(StepMs))
      noteEnds();
  }

  std::size_t openJobs() const { return Open.size(); }
  unsigned refusedJobs() const { return RefusedJobs; }
  unsigned failedJobs() const { return Failed; }
  Node &daemon() { return *Daemons.at("a"); }

private:
  static constexpr std::int64_t StepMs = 20;
  struct OpenJob {
    std::int64_t DueMs;
    Tally *CountedIn;
  };

  double drawInterval(const Kind &K) {
    return std::uniform_real_distribution<>(0.5, 1.5)(Load) * K.intervalMs();
  }
  void submitOne(const Kind &K, std::int64_t WorkMs, Tally *T = nullptr) {
    std::string Id = "j" + std::to_string(NextJob++);
    std::int64_t Gpus = std::uniform_int_distribution<std::int64_t>(
        K.LeastGpus, K.MostGpus)(Load);
    auto J = job(Id, K.Tasks, Gpus, WorkMs);
    J.Priority = K.Priority;
    J.Queue = "q" + std::to_string(K.Priority);
    J.LatencyObjectiveMs = 3'000;
    J.Steps[0].Gang = K.Gang;
    if (K.Gang)
      GangSizes[Id] = K.Tasks;
    Open[Id] = {Clock + J.objectiveMs(), T};
    if (T)
      ++T->Jobs;
    daemon().submit(J, [Id, Ids = Refused](const std::optional<Refusal> &R) {
      if (R)
        Ids->push_back(Id);
    });
  }
  void noteEnds() {
    RefusedJobs += static_cast<unsigned>(Refused->size());
    for (const std::string &Id : *Refused)
      Open.erase(Id);
    Refused->clear();
    std::erase_if(Open, [this](const auto &Entry) {
      const auto &[Id, J] = Entry;
      StatusResult R = daemon().status(Id);
      if (R.Result != Lookup::Found ||
          (R.State != workload::JobState::Completed &&
           R.State != workload::JobState::Failed))
        return false;
      Failed += R.State == workload::JobState::Failed;
      if (J.CountedIn && R.State == workload::JobState::Completed)
        J.CountedIn->InTime += Clock <= J.DueMs;
      return true;
    });
  }

  std::mt19937_64 Load; ///< Draws the jobs, the same at each share.
  std::array<double, Kinds.size()> NextAtMs{};
  unsigned NextJob = 0;
  std::map<std::string, OpenJob> Open;
  /// Refused since the last call of noteEnds().
  std::shared_ptr<std::vector<std::string>> Refused =
      std::make_shared<std::vector<std::string>>();
  unsigned RefusedJobs = 0;
  unsigned Failed = 0;
};

Outcome play(std::uint64_t Seed, double Share, std::int64_t CpuMilli = 250) {
  LoadedWorld W(Seed, CpuMilli);
  Outcome O;
  W.serve(UndisturbedMs, nullptr);
  W.LateCallShare = Share;
  W.serve(TroubleMs, &O.Trouble);
  W.LateCallShare = 0;
  W.serve(RecoveryMs, nullptr);
  W.serve(RecoveredMs, &O.Recovered);
  W.drain(LongestDrainMs);
  O.Refused = W.refusedJobs();
  O.NotCompleted = static_cast<unsigned>(W.openJobs()) + W.failedJobs();
  for (auto [Broken, Name] :
       {std::pair(W.RunsOverlapped, "RunsOverlapped"),
        std::pair(W.StartedAfterAcknowledgedEnd, "StartedAfterAcknowledgedEnd"),
        std::pair(W.StartedAfterEndAcknowledgedLater,
                  "StartedAfterEndAcknowledgedLater")})
    if (Broken)
      O.BrokenRules += std::string(" ") + Name;
  const auto &Counts = W.daemon().stats().Counts;
  for (const char *Name : {"orders_held_back", "sync_copies_held_back"})
    if (auto C = Counts.find(Name); C != Counts.end())
      O.CallsHeldBack += C->second;
  BOOST_TEST_MESSAGE("share "
                     << Share << ", seed " << Seed << ": " << O.Trouble.InTime
                     << " of " << O.Trouble.Jobs << " jobs in time, later "
                     << O.Recovered.InTime << " of " << O.Recovered.Jobs << ", "
                     << O.NotCompleted << " not completed, " << O.Refused
                     << " refused, " << O.CallsHeldBack << " calls held back"
                     << O.BrokenRules);
  return O;
}

/// The run of the seed at the share, which is played once for all tests.
const Outcome &outcome(std::uint64_t Seed, double Share) {
  static std::map<std::pair<std::uint64_t, double>, Outcome> Played;
  auto [It, New] = Played.try_emplace({Seed, Share});
  if (New)
    It->second = play(Seed, Share);
  return It->second;
}

/// The mean over the seeds of the share of jobs that end in time, relative to
/// the run in which no call is lost.
double meanRelativeShare(double Share) {
  double Sum = 0;
  for (std::uint64_t Seed : Seeds)
    Sum +=
        outcome(Seed, Share).Trouble.share() / outcome(Seed, 0).Trouble.share();
  return Sum / static_cast<double>(Seeds.size());
}

constexpr std::array<double, 4> Shares{0, 0.5, 0.6, 0.75};

} // namespace

BOOST_AUTO_TEST_SUITE(AShareOfTheCallsToHundredsOfWorkersIsLost)

BOOST_AUTO_TEST_SUITE(WhileItLasts)

// Guards against a load that overloads the workers by itself, so that the
// comparison with the undisturbed run shows nothing.
BOOST_AUTO_TEST_CASE(NearlyAllJobsWouldEndInTimeWithoutIt) {
  for (std::uint64_t Seed : Seeds) {
    const Outcome &O = outcome(Seed, 0);
    BOOST_TEST(O.Trouble.Jobs > 100u);
    BOOST_TEST(O.Trouble.share() >= 0.95, "seed " << Seed);
    BOOST_TEST(O.Recovered.share() >= 0.95, "seed " << Seed);
  }
}

// Guards against a collapse at a share of lost calls a little above one that is
// handled well.
BOOST_AUTO_TEST_CASE(ServiceDeclinesGraduallyWithTheShare) {
  for (auto [Share, Least] :
       {std::pair(0.5, 0.75), std::pair(0.6, 0.65), std::pair(0.75, 0.45)}) {
    double Mean = meanRelativeShare(Share);
    BOOST_TEST_MESSAGE("share " << 100 * Share << "%: mean "
                                << std::lround(1'000 * Mean) << " of 1000");
    BOOST_TEST(Mean >= Least, "share " << 100 * Share << "%: " << Mean);
  }
}

// Guards against work that runs twice because many calls are carried out late.
BOOST_AUTO_TEST_CASE(NoRuleIsBroken) {
  for (double Share : Shares)
    for (std::uint64_t Seed : Seeds)
      BOOST_TEST(outcome(Seed, Share).BrokenRules.empty(),
                 "share " << 100 * Share << "%, seed " << Seed << ":"
                          << outcome(Seed, Share).BrokenRules);
}

// Guards against calls that a limit holds back without a trace.
BOOST_AUTO_TEST_CASE(CallsThatASmallDaemonHoldsBackAreCounted) {
  Outcome O = play(Seeds[0], 0.75, 120);
  BOOST_TEST(O.CallsHeldBack > 0u);
  BOOST_TEST(O.BrokenRules.empty(), O.BrokenRules);
  BOOST_TEST(O.NotCompleted == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OnceItIsOver)

// Guards against jobs that are lost, or that never end, after the trouble.
BOOST_AUTO_TEST_CASE(EachAcceptedJobCompletes) {
  for (double Share : Shares)
    for (std::uint64_t Seed : Seeds) {
      const Outcome &O = outcome(Seed, Share);
      BOOST_TEST(O.NotCompleted == 0u, "share " << 100 * Share << "%, seed "
                                                << Seed << ": "
                                                << O.NotCompleted);
    }
}

// Guards against a backlog, or a pace of calls, that outlasts the trouble.
BOOST_AUTO_TEST_CASE(NewJobsAreServedAsWithoutIt) {
  for (double Share : Shares)
    for (std::uint64_t Seed : Seeds) {
      double Undisturbed = outcome(Seed, 0).Recovered.share();
      double Later = outcome(Seed, Share).Recovered.share();
      BOOST_TEST(Later >= 0.95 * Undisturbed,
                 "share " << 100 * Share << "%, seed " << Seed << ": " << Later
                          << " instead of " << Undisturbed);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
