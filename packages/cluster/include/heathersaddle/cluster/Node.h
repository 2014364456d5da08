#ifndef HEATHERSADDLE_CLUSTER_NODE_H
#define HEATHERSADDLE_CLUSTER_NODE_H

#include "heathersaddle/base/StructuredLog.h"
#include "heathersaddle/cluster/Ports.h"
#include "heathersaddle/cluster/Relay.h"
#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::cluster {

struct NodeSettings {
  std::string Name;
  std::string Incarnation; ///< Unique per process start.
  /// Where this daemon takes requests from others; may be empty.
  std::string PeerAddress;
  /// This daemon's share of a core, in thousandths; larger ones own.
  std::int64_t CpuMilli = 250;
  std::uint64_t Seed = 0; ///< For jitter.
  /// Most time a worker grants a lease for.
  base::Millis MaxLease{6'000};
  /// Ended jobs stay known this long.
  base::Millis StatusRetention{120'000};
  /// Most time a worker takes to stop a run.
  base::Millis MaxStopTime{1'000};
  /// A gang's members must all be present within this time.
  base::Millis GangAssembly{3'000};
  /// Most bytes of one record, and of all records of one append.
  std::size_t RecordBytes = 262'144;
  std::size_t AppendBytes = 2'097'152;
};

struct ClockReading {
  base::MonoTime Mono{}; ///< Also counts time while the host is suspended.
  base::WallMs Wall = 0; ///< May jump.
};

/// Why a job was not accepted, in terms a caller can act on.
struct Refusal {
  enum Kind {
    Overloaded,  ///< Certainly not run; try again after RetryAfter.
    Unavailable, ///< Certainly not run; another daemon may accept it.
    Unresolved,  ///< The store did not answer; ask again with the same id.
    Invalid      ///< Can never run.
  };
  Kind Why = Unavailable;
  base::Millis RetryAfter{1'000};
  std::string Message;
};

/// What status() tells.
enum class Lookup { Found, Unknown, Stale };
struct StatusResult {
  Lookup Result = Lookup::Stale;
  workload::JobState State = workload::JobState::Queued;
};

/// How often a duration fell below each bound.
struct Latency {
  /// Milliseconds, from an answer of a healthy store to the longest jobs.
  static constexpr std::array<std::int64_t, 13> Bounds{
      5,     10,    25,    50,     100,    250,   500,
      1'000, 2'500, 5'000, 10'000, 30'000, 60'000};
  /// Not cumulative; the last one counts what is above all bounds.
  std::array<std::uint64_t, Bounds.size() + 1> Counts{};
  std::uint64_t Count = 0;
  std::int64_t SumMs = 0;

  void add(base::Millis Took) {
    auto It = std::lower_bound(Bounds.begin(), Bounds.end(), Took.count());
    ++Counts[static_cast<std::size_t>(It - Bounds.begin())];
    ++Count;
    SumMs += Took.count();
  }
};

/// What is measured for one name; the class is the priority of a job.
struct LatencyKey {
  std::string Name;
  std::string Class; ///< Empty: not about jobs.
  bool operator<(const LatencyKey &O) const {
    return std::tie(Name, Class) < std::tie(O.Name, O.Class);
  }
};

/// Counters and latencies for the metrics page.
struct NodeStats {
  std::map<std::string, std::uint64_t, std::less<>> Counts;
  std::map<LatencyKey, Latency> Latencies;
};

/// One daemon's control logic: follows the control topic, answers callers, and
/// schedules all work while it is the owner.
///
/// It has no socket or thread. A driver carries out the actions and calls
/// tick() at least every 50 ms and after each completion:
///
/// \code
///   Node N(Settings, Clock, Log);
///   N.start();
///   for (;;) {
///     N.tick();
///     for (Action &A : N.takeActions()) carryOut(std::move(A));
///   }
/// \endcode
class Node {
public:
  Node(NodeSettings Settings, std::function<ClockReading()> Clock,
       base::StructuredLog &Log);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  void start();
  void tick();
  std::vector<Action> takeActions();

  /// The configuration in force; null until one has been read.
  std::shared_ptr<const Configuration> configuration() const;
  /// Whether callers can be served from recent state.
  bool ready() const;
  bool isOwner() const;

  /// Completes with nothing once the job is stored (or was known already).
  void submit(workload::JobSpec Spec,
              std::function<void(std::optional<Refusal>)> Done);
  StatusResult status(std::string_view Job) const;
  /// Completes with Found once the cancellation is stored, or at once with
  /// Unknown or Stale.
  void cancel(std::string_view Job, std::function<void(Lookup)> Done);
  /// Jobs of the queue for which no task has started; none when stale.
  std::optional<std::size_t> waiting(std::string_view Queue) const;

  /// Where a request that this daemon cannot serve may be passed on to: the
  /// owner as last known. Empty: nowhere.
  std::string forwardTarget() const;
  /// Whether appends wait for one another, so that more of them help nobody.
  bool storeIsSlow() const;
  /// Records what became of a request that was passed on.
  void recordForwarded(std::string_view Path, std::string_view Peer,
                       PeerAnswer How, base::Millis Took);

  /// Hands ownership over; calls can still be made until the process ends.
  void beginStop();
  /// Whether a stop would leave nothing behind.
  bool stopped() const;
  const NodeStats &stats() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace heathersaddle::cluster

#endif
