#ifndef HEATHERSADDLE_CONTROL_NODE_H
#define HEATHERSADDLE_CONTROL_NODE_H

#include "heathersaddle/control/Actions.h"
#include "heathersaddle/policy/Scheduler.h"
#include "heathersaddle/state/State.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::control {

/// Settings of a node; the times default to those of docs/design.md.
struct NodeSettings {
  std::string Name;
  std::string Address;
  std::string DataCentre;
  std::uint64_t Incarnation = 0; ///< Random; unique per process start.
  std::uint64_t Seed = 0;        ///< For jitter.
  /// Period of an owner's heartbeat records.
  base::Millis OwnerHeartbeat{2'000};
  /// A cell may be claimed when its owner has written no record for this long.
  base::Millis OwnerSilenceTimeout{5'000};
  /// A cell may be claimed when its owner has refused connections for this
  /// long.
  base::Millis OwnerRefusedTimeout{1'000};
  /// Added to these timeouts for each daemon that ranks higher as a claimant.
  base::Millis RankDelay{500};
  /// How long a worker may hold a sync request.
  base::Millis SyncWait{60'000};
  base::Millis WorkerLease{150'000};
  base::Millis HostListPeriod{2'000};
  /// Timeout of one exchange with the log, a worker or a peer, beyond the time
  /// that the other side may hold the request.
  base::Millis CallTimeout{3'000};
  /// How long the log may hold a read request. ReadWait plus CallTimeout must
  /// stay below the 8 s within which a list change is in force: a read that is
  /// lost with its connection is noticed only when its time limit is over.
  base::Millis ReadWait{3'000};
  /// How long after its lease and its job's deadline a lost worker may still
  /// report; then the outcome of a non-idempotent job is unknown.
  base::Millis UnknownOutcomeGrace{30'000};
  /// A snapshot is due after this many records, or after SnapshotPeriod.
  std::uint64_t SnapshotRecords = 10'000;
  base::Millis SnapshotPeriod{6 * 3'600'000};
  /// Callers that may wait for the end of a job at the same time.
  std::size_t MaxWaiters = 1'000;
  std::size_t MaxQueuedRecords = 4'096;
  std::size_t BatchRecords = 256;
  std::size_t BatchBytes = 512 * 1024;
  policy::Settings Policy;
};

/// A caller's request, already authenticated and validated.
struct SubmitRequest {
  state::JobSpec Spec; ///< Id and AcceptedMs are filled in by the node.
  std::string Key;     ///< Idempotency key; may be empty.
};

struct SubmitResult {
  std::string Job;
  bool Repeat = false; ///< A job with this idempotency key existed already.
};

/// The view of a job that its caller gets.
struct JobAnswer {
  std::string Job;
  state::JobStatus Status = state::JobStatus::Pending;
  state::Outcome Result = state::Outcome::None;
  std::string Reason;
  bool Ran = false;
  std::vector<std::string> Parts; ///< One answer per task, in task order.
};

template <class T> using Completion = std::function<void(base::Expected<T>)>;

/// The control logic of one daemon: tails the log, answers callers from the
/// state, and schedules the cells that it owns.
///
/// It has no socket, thread or clock. A driver passes events in and carries
/// out the actions that takeActions() returns:
///
/// \code
///   Node N(Settings);
///   N.start(MonoNow, WallNow);
///   for (;;) {
///     for (Action &A : N.takeActions()) carryOut(A);
///     // ... an event: N.onRead(...), N.submit(...), N.tick(...)
///   }
/// \endcode
///
/// Every call that depends on time passes the monotonic and the wall time; the
/// wall clock may jump.
class Node {
public:
  explicit Node(NodeSettings Settings);
  ~Node();
  Node(Node &&) noexcept;
  Node &operator=(Node &&) noexcept;

  struct Now {
    base::MonoTime Mono{};
    base::WallMs Wall = 0;
  };

  void start(Now T);
  /// Runs timers; call at least every 50 ms and after every event.
  void tick(Now T);
  std::vector<Action> takeActions();

  void onAppended(std::uint64_t Call,
                  const base::Expected<std::uint64_t> &First, Now T);
  void onRead(std::uint64_t Call, const base::Expected<ReadResult> &Result,
              Now T);
  void onWorkerReply(std::uint64_t Call,
                     base::Expected<boost::json::value> Reply, Now T);
  void onPeerReply(std::uint64_t Call, base::Expected<boost::json::value> Reply,
                   Now T);
  /// The full list of hosts.
  void onHosts(std::uint64_t Call, base::Expected<std::vector<HostEntry>> Hosts,
               Now T);
  /// The changes since the last result that was passed here, or the full list.
  void onHostChanges(std::uint64_t Call, base::Expected<HostChanges> Changes,
                     Now T);
  /// Handles a request of a peer daemon (path /v1/peer/...).
  base::Expected<boost::json::value>
  onPeerRequest(std::string_view Path, const boost::json::value &Body, Now T);

  /// Accepts a job. Completes once the job's record has been applied, or with
  /// an error. After the error Unresolved the job may still run; after any
  /// other error it certainly does not.
  void submit(SubmitRequest Request, const Completion<SubmitResult> &Done,
              Now T);
  /// Completes when the job has ended, or after \p MaxWait.
  void wait(std::string_view Job, std::string_view Account,
            base::Millis MaxWait, Completion<JobAnswer> Done, Now T);
  base::Expected<JobAnswer> status(std::string_view Job,
                                   std::string_view Account) const;
  void cancel(std::string_view Job, std::string_view Account,
              const Completion<JobAnswer> &Done, Now T);
  /// Publishes a list change. Completes with the verdict that the change got
  /// when its record was applied.
  void publish(state::ListChange Change,
               const Completion<state::ListVerdict> &Done, Now T);
  base::Expected<policy::Explanation>
  explain(std::string_view Job, std::string_view Account, Now T) const;

  const state::State &state() const;
  /// Whether the state is complete and the node is not stopping.
  bool ready() const;
  /// Whether the last appends to the log or reads from it failed.
  bool logDown() const;
  std::vector<std::string> ownedCells() const;

  /// Begins a graceful stop: ready() becomes false and all cells are released,
  /// each by a record that follows those already queued.
  void beginStop(Now T);
  /// Whether the stop is complete: every cell is released, or the time limit
  /// of a stop is over, and all pending completions were called.
  bool stopped() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace heathersaddle::control

#endif
