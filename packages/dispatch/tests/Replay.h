#ifndef HEATHERSADDLE_DISPATCH_TESTS_REPLAY_H
#define HEATHERSADDLE_DISPATCH_TESTS_REPLAY_H

#include "heathersaddle/dispatch/Pace.h"
#include "heathersaddle/dispatch/Planner.h"
#include "heathersaddle/dispatch/WorkerSpeed.h"
#include <array>
#include <deque>
#include <memory>
#include <random>

namespace heathersaddle::dispatch {

/// What a replay of a load varies.
struct ReplayOptions {
  std::uint64_t Seed = 1;
  bool UsesSpeeds = true;
  unsigned Workers = 350;
  std::int64_t DurationMs = 60'000;
  /// The members of a gang differ and have tails like single tasks.
  bool UnevenGangs = false;
  double Load = 1; ///< Multiple of the usual rate of arrivals.
};

struct ReplayResult {
  struct Kind {
    unsigned Jobs = 0;
    unsigned InTime = 0;
    unsigned Evictions = 0; ///< Units stopped.
  };
  /// Why an urgent job was late.
  struct Late {
    std::int64_t AtMs = 0;
    std::int64_t WaitedMs = 0;
    double SlowestSpeed = 0; ///< Of its workers.
    double Slowdown = 1;     ///< Because it is spread over racks.
    double WorkToEstimate = 1;
    bool operator==(const Late &) const = default;
  };
  std::array<Kind, 3> Kinds;
  std::vector<Late> LateUrgent; ///< Those that have ended.
  std::size_t Placements = 0;
  std::size_t PlacementHash = 0; ///< Of all placements in their order.
  double LostCoreSeconds = 0;
  double DoneCoreSeconds = 0;
  double PlanMsAtP99 = 0;
  std::int64_t UrgentWaitMsAtP95 = 0;
  std::size_t Known = 0; ///< Workers of known speed at the end.
  double SpeedError = 0; ///< Root of the mean square, of the logarithm.
  double lateUrgent() const {
    return 1 -
           static_cast<double>(Kinds[0].InTime) / std::max(1U, Kinds[0].Jobs);
  }
};

/// Replays the load of docs/hard-load.md on a simulated pool in virtual time:
/// plans with the Planner, runs what it places, and estimates the speeds of the
/// workers from the progress.
class Replay {
public:
  /// \p Speed is asked for the factor of each worker at a time.
  Replay(ReplayOptions O,
         std::function<double(unsigned Worker, std::int64_t Ms)> Speed);
  ReplayResult run();

private:
  struct Run {
    std::size_t Worker = 0;
    double WorkMs = 0; ///< At the usual speed.
    double DoneMs = 0;
    Pace Progress;
    bool Observed = false;
  };
  struct Unit {
    std::int64_t JobNumber = 0;
    bool Gang = false;
    std::vector<unsigned> Tasks;
    std::vector<Run> Runs;
    std::int64_t StartedAt = 0; ///< When all its runs began.
    std::int64_t StopsAt = -1;
    double Slowdown = 1;
  };
  struct Arrival {
    workload::Job Job;
    std::int64_t AtMs = 0;
    std::vector<double> WorkMs; ///< Per task.
    std::vector<unsigned> Waiting;
    unsigned Left = 0;
    bool Placed = false;
  };
  void generate();
  void addJob(unsigned Priority, std::int64_t At);
  void advance();
  bool endOrStop(Unit &U);
  void observe();
  void plan();
  double normal(double Spread) {
    return std::normal_distribution<>(0, Spread)(Random);
  }
  unsigned uniform(unsigned From, unsigned To) {
    return std::uniform_int_distribution<unsigned>(From, To)(Random);
  }
  Fleet fleet() const;

  ReplayOptions Options;
  std::function<double(unsigned, std::int64_t)> SpeedOf;
  std::mt19937_64 Random;
  std::int64_t NowMs = 0;
  Fleet Pool; ///< Without allocations.
  std::vector<WorkerSpeed> Speeds;
  SpeedModel Model;
  std::deque<Arrival> Jobs; ///< By the time of arrival.
  std::size_t Arrived = 0;
  std::vector<Unit> Running;
  Planner Plans;
  double UrgentDemand = 0;
  bool PlanNeeded = false;
  std::vector<double> PlanMs;
  std::vector<std::int64_t> UrgentWaits;
  ReplayResult Result;
};

} // namespace heathersaddle::dispatch

#endif
