#include "Deployment.h"
#include <cstdlib>
#include <random>

using namespace heathersaddle;
using namespace heathersaddle::cluster;

namespace {

/// A pool of 48 workers. Now and then one of them crashes by itself, as often
/// as on the users' day of single crashes; some tasks crash each worker that
/// starts them; the owner is replaced three times.
class PoolWithCrashes : public World {
public:
  explicit PoolWithCrashes(unsigned Seed) : Draws(Seed) {
    for (unsigned N = 0; N < Workers; ++N)
      addWorker("w" + std::to_string(N), "r" + std::to_string(N / 8));
    for (const char *Name : {"a", "b", "c"})
      addDaemon(Name, 4'000);
    NewIdAfterCrash = true;
    RestartMs = 1'000 + below(2'500);
    CrashDelayMs = below(2) ? 20 : below(1'500);
  }
  void play() {
    BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 3'000));
    run(300);
    std::set<std::int64_t> OwnerEnds;
    while (OwnerEnds.size() < 3)
      OwnerEnds.insert(below(TrafficMs / StepMs));
    std::int64_t NextCrash = 0;
    for (std::int64_t N = 0; N < TrafficMs / StepMs; ++N) {
      if (N % 2 == 0)
        submitNext();
      if ((N + 1) * StepMs > NextCrash) {
        crashAnyWorker();
        NextCrash += CrashIntervalMs;
      }
      if (OwnerEnds.contains(N))
        replaceOwner();
      run(StepMs);
      noteEnds();
    }
    runUntil(
        [this] {
          noteEnds();
          return Ended.size() == Sound.size() + Deadly.size();
        },
        90'000);
  }

  std::set<std::string> Sound;
  std::map<std::string, TaskName> Deadly; ///< The task of the job that is.
  std::map<std::string, JobState> Ended;  ///< As shown first.
  unsigned OwnCrashes = 0;                ///< Of workers by themselves.

private:
  static constexpr unsigned Workers = 48;
  static constexpr std::int64_t TrafficMs = 60'000;
  static constexpr std::int64_t StepMs = 100;
  static constexpr std::int64_t CrashIntervalMs = 2'100;

  std::int64_t below(std::int64_t Limit) {
    return static_cast<std::int64_t>(Draws() %
                                     static_cast<std::uint64_t>(Limit));
  }
  void submitNext() {
    std::string Id = std::to_string(Sound.size() + Deadly.size());
    auto Tasks = static_cast<unsigned>(1 + below(5));
    std::int64_t Gpus = 1 + below(8);
    std::int64_t WorkMs = 2'000 + below(7'000);
    bool IsGang = Tasks > 1 && below(2);
    bool IsDeadly = !below(12);
    if (IsDeadly)
      WorkMs += CrashDelayMs;
    auto J = job(Id, Tasks, Gpus, WorkMs);
    J.Steps[0].Gang = IsGang;
    J.Priority = static_cast<unsigned>(below(3));
    if (IsGang)
      GangSizes[Id] = Tasks;
    if (IsDeadly) {
      Deadly[Id] = {Id, {0, 0, static_cast<unsigned>(below(Tasks))}};
      CrashingTasks.insert(Deadly[Id]);
    } else {
      Sound.insert(Id);
    }
    // Callers try again until a daemon takes the job.
    for (int N = 0; N < 20 && submit(*Daemons.begin()->second, J); ++N)
      run(StepMs);
  }
  void crashAnyWorker() {
    std::vector<std::string> Up;
    for (const auto &[Id, W] : World::Workers)
      if (W.Up && !W.Replaced)
        Up.push_back(Id);
    crash(Up[static_cast<std::size_t>(
        below(static_cast<std::int64_t>(Up.size())))]);
    ++OwnCrashes;
  }
  void replaceOwner() {
    std::string Owner = owner();
    if (Owner.empty())
      return;
    kill(Owner);
    run(below(400));
    addDaemon(Owner, 4'000);
  }
  /// States are shown for a while only.
  void noteEnds() {
    for (unsigned N = 0; N < Sound.size() + Deadly.size(); ++N) {
      std::string Id = std::to_string(N);
      if (Ended.contains(Id))
        continue;
      auto Shown = Daemons.begin()->second->status(Id);
      if (Shown.Result == Lookup::Found &&
          (Shown.State == JobState::Completed ||
           Shown.State == JobState::Failed))
        Ended[Id] = Shown.State;
    }
  }

  std::mt19937_64 Draws;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PoolWhoseWorkersCrash)

// Guards against evidence that holds only where nothing else happens: that does
// not tell crashes at random moments from those that a task causes. Plays as
// many seeds as HEATHERSADDLE_CRASH_SEEDS says.
BOOST_AUTO_TEST_CASE(TellsHealthyTasksFromThoseThatCrashTheirWorkers) {
  const char *Wanted = std::getenv("HEATHERSADDLE_CRASH_SEEDS");
  unsigned Seeds = Wanted ? static_cast<unsigned>(std::atoi(Wanted)) : 3;
  unsigned OwnCrashes = 0;
  unsigned Deadly = 0;
  unsigned Crashed = 0;
  unsigned LostBeside = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    PoolWithCrashes Pool(Seed);
    Pool.play();
    for (const std::string &Id : Pool.Sound)
      BOOST_TEST(
          (Pool.Ended.contains(Id) && Pool.Ended[Id] == JobState::Completed),
          "seed " << Seed << ": healthy job " << Id);
    for (const auto &[Id, Task] : Pool.Deadly) {
      BOOST_TEST(
          (Pool.Ended.contains(Id) && Pool.Ended[Id] == JobState::Failed),
          "seed " << Seed << ": job " << Id);
      BOOST_TEST(Pool.CrashesUnder[Task] <= 5u,
                 "seed " << Seed << ": job " << Id);
      BOOST_TEST(Pool.StartsAfterThreeCrashes[Task] < 3u,
                 "seed " << Seed << ": job " << Id);
      Crashed += Pool.CrashesUnder[Task];
    }
    BOOST_TEST(!Pool.RunsOverlapped, "seed " << Seed);
    OwnCrashes += Pool.OwnCrashes;
    Deadly += static_cast<unsigned>(Pool.Deadly.size());
    LostBeside += Pool.RunsLostBesideCrashingTasks;
  }
  BOOST_TEST_MESSAGE(Seeds << " seeds: " << OwnCrashes
                           << " workers crashed by themselves; " << Deadly
                           << " tasks crashed " << Crashed << " workers, with "
                           << LostBeside << " runs of other tasks");
}

BOOST_AUTO_TEST_SUITE_END()
