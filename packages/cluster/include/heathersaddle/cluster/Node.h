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
  /// Where this daemon accepts requests from other daemons; may be empty.
  std::string PeerAddress;
  /// This daemon's CPU share in thousandths of a core; larger daemons are
  /// preferred as owners.
  std::int64_t CpuMilli = 250;
  std::size_t MaxDescriptors = 4'096;
  std::int64_t LinkBytesPerSecond = 1'250'000;
  std::uint64_t Seed = 0; ///< For jitter.
  /// Longest lease that a worker accepts.
  base::Millis MaxLease{6'000};
  /// How long the status of an ended job stays available.
  base::Millis StatusRetention{120'000};
  /// Longest time that a worker takes to stop a run.
  base::Millis MaxStopTime{1'000};
  /// From this time after a request to drain a data centre was stored on, no
  /// work may be started there.
  base::Millis DrainNotice{5'000};
  /// From this time after a configuration was stored on, no request may be
  /// judged by an older one.
  base::Millis ConfigurationNotice{3'000};
  /// Added to that while the store is disrupted.
  base::Millis ConfigurationExtension{5'000};
  /// From this time after a cancellation was stored on, none of its job's tasks
  /// may be started.
  base::Millis CancelNotice{3'000};
  /// From this time after a worker has said that it drains on, nothing may be
  /// started there.
  base::Millis WorkerDrainNotice{2'000};
  /// All members of a gang must have started within this time.
  base::Millis GangAssembly{3'000};
  /// Size limits, in bytes, of one record and of all records of one append.
  std::size_t RecordBytes = 262'144;
  std::size_t AppendBytes = 2'097'152;
};

struct ClockReading {
  base::MonoTime Mono{}; ///< Also advances while the host is suspended.
  base::WallMs Wall = 0; ///< May jump.
};

/// Why a job was not accepted, in terms that a caller can act on.
struct Refusal {
  enum Kind {
    Overloaded,  ///< Certainly not run; may be retried after RetryAfter.
    Unavailable, ///< Certainly not run; another daemon may accept it.
    Unresolved,  ///< The store did not answer; retry with the same id.
    Cancelled,   ///< Was cancelled before it was submitted; never runs.
    Abandoned,   ///< Certainly not run; its caller has gone or may have gone.
    Invalid,     ///< Can never run.
    TooLarge     ///< Can never be stored.
  };
  Kind Why = Unavailable;
  base::Millis RetryAfter{1'000};
  std::string Message;
};

/// Outcome of looking up or cancelling a job.
enum class Lookup {
  Found,
  Unknown,   ///< To a cancellation: such a job will not run either.
  Stale,     ///< This daemon's state is too old to tell; nothing was stored.
  Refused,   ///< Too many unknown jobs are being cancelled; nothing was stored.
  Unresolved ///< The store did not answer; the job may be cancelled later.
};
struct StatusResult {
  Lookup Result = Lookup::Stale;
  workload::JobState State = workload::JobState::Queued;
  /// Whether the state is recent, or can no longer change; only if found.
  bool Current = true;
};

/// How certain it is that no later configuration than the current one has to be
/// in force.
enum class ConfigurationAge {
  Recent, ///< Certain: all that are older than the notice have been read.
  Late,   ///< Certain only if the store is disrupted.
  Unknown ///< Not certain, or none has been read.
};

/// Histogram of durations.
struct LatencyHistogram {
  /// Upper bounds in milliseconds, from an answer of a healthy store to the
  /// duration of the longest jobs.
  static constexpr std::array<std::int64_t, 13> Bounds{
      5,     10,    25,    50,     100,    250,   500,
      1'000, 2'500, 5'000, 10'000, 30'000, 60'000};
  /// Not cumulative; the last one counts durations above all bounds.
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

/// Identifies a histogram; PriorityClass is the label "priority".
struct LatencyKey {
  std::string Name;
  std::string PriorityClass; ///< Empty if it does not concern jobs.
  bool operator<(const LatencyKey &O) const {
    return std::tie(Name, PriorityClass) < std::tie(O.Name, O.PriorityClass);
  }
};

/// Counters and latencies for the metrics page.
struct NodeStats {
  std::map<std::string, std::uint64_t, std::less<>> Counts;
  std::map<LatencyKey, LatencyHistogram> Latencies;
  std::map<std::string, double, std::less<>> Gauges; ///< Latest values.
};

/// How long callers wait for an answer if they do not say.
inline constexpr base::Millis DefaultCallerWait{3'000};

/// The control logic of one daemon: it follows the control topic, answers
/// callers and, while it is the owner, schedules all work.
///
/// It has no sockets or threads. An adapter carries out the actions and calls
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
  /// Runs \p Result, which passes a result to the Done of an action.
  void deliver(const std::function<void()> &Result);
  /// False once a call that modifies the state has ended by an exception: the
  /// state may be partly modified, and no further call may be made.
  bool isStateSound() const;

  /// The current configuration; null until one has been read.
  std::shared_ptr<const Configuration> configuration() const;
  ConfigurationAge configurationAge() const;
  /// Number of data centres in which the operator wants no work started.
  std::size_t drainedDataCentres() const;
  /// Whether this daemon's state is recent enough to serve callers.
  bool ready() const;
  bool isOwner() const;

  /// The time by this daemon's clock.
  base::MonoTime now() const;
  /// When the caller of a request that was just read stops waiting, if it waits
  /// for \p CallerWaits. If the process was paused, the request may have waited
  /// in it since before the pause.
  base::MonoTime waitsUntil(base::Millis CallerWaits);
  /// Whether the process was paused and requests that arrived before its end
  /// may not have been read yet.
  bool inputMayHaveWaited() const;
  /// To be called when all connections and requests that had arrived have been
  /// read.
  void allInputRead();

  /// Completes without a refusal once the job is stored or if it was known
  /// already, and before its caller has waited for \p CallerWaits from now on.
  /// A job is refused if, before it is sent to the store, that time is over or
  /// \p IsCallerConnected says that its caller has gone; if empty, it has not.
  void submit(workload::JobSpec Spec,
              std::function<void(std::optional<Refusal>)> Done,
              base::Millis CallerWaits = DefaultCallerWait,
              std::function<bool()> IsCallerConnected = {});
  /// Why no daemon can ever accept the job; none if one may accept it. The
  /// answer depends only on the job and on the limits of the store.
  std::optional<Refusal> refusalForGood(const workload::JobSpec &Spec);
  StatusResult status(std::string_view Job) const;
  /// Completes with Found or Unknown once the cancellation is stored.
  void cancel(std::string_view Job, std::function<void(Lookup)> Done);
  /// Number of jobs of the queue of which no worker has started a task; none if
  /// this daemon's state is stale.
  std::optional<std::size_t> waiting(std::string_view Queue) const;

  /// Address to which a request may be forwarded: that of the last known owner.
  /// Empty if there is none.
  std::string forwardTarget() const;
  /// Whether appends queue up at the store, so that further ones would only
  /// lengthen the queue.
  bool storeIsSlow() const;
  /// Records the outcome of a forwarded request.
  void recordForwarded(std::string_view Path, std::string_view Peer,
                       PeerAnswer How, base::Millis Took);

  /// Records how long a control event, and an event of traffic, has waited for
  /// others before it was handled.
  void recordControlDelay(base::Millis Waited);
  void recordTrafficDelay(base::Millis Waited);

  /// Starts to release ownership; other calls may still be made until the
  /// process exits.
  void beginStop();
  /// Whether this daemon is not the owner or has released ownership.
  bool stopped() const;
  /// With gauges as of now.
  const NodeStats &stats();

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace heathersaddle::cluster

#endif
