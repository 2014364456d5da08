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

/// Settings of a node; times are defaults of docs/design.md.
struct NodeSettings {
  std::string Name;
  std::string Address;
  std::string DataCentre;
  std::uint64_t Incarnation = 0; ///< Random; unique per process start.
  std::uint64_t Seed = 0;        ///< For jitter.
  base::Millis OwnerHeartbeat{2'000};
  base::Millis OwnerSilenceTimeout{5'000};
  base::Millis OwnerRefusedTimeout{1'000};
  base::Millis RankDelay{500};
  base::Millis SyncWait{60'000};
  base::Millis WorkerLease{150'000};
  base::Millis HostListPeriod{2'000};
  base::Millis CallTimeout{3'000};
  /// Together with CallTimeout below the 8 s bound for lists: a read that is
  /// lost with its connection is noticed only when its time limit is over.
  base::Millis ReadWait{3'000};
  base::Millis UnknownOutcomeGrace{30'000};
  std::uint64_t SnapshotRecords = 10'000;
  base::Millis SnapshotPeriod{6 * 3'600'000};
  std::size_t MaxWaiters = 1'000;
  std::size_t MaxQueuedRecords = 4'096;
  std::size_t BatchRecords = 256;
  std::size_t BatchBytes = 512 * 1024;
  policy::Settings Policy;
};

/// A caller's request, already authenticated and checked for form.
struct SubmitRequest {
  state::JobSpec Spec; ///< Id and AcceptedMs are filled in by the node.
  std::string Key;     ///< Idempotency key; may be empty.
};

struct SubmitResult {
  std::string Job;
  bool Repeat = false; ///< The key was known already.
};

/// What a caller may see of a job.
struct JobAnswer {
  std::string Job;
  state::JobStatus Status = state::JobStatus::Pending;
  state::Outcome Result = state::Outcome::None;
  std::string Reason;
  bool Ran = false;
  std::vector<std::string> Parts;
};

template <class T> using Completion = std::function<void(base::Expected<T>)>;

/// The control logic of one daemon: tails the log, answers callers from the
/// state, and decides for the cells that it owns.
///
/// It has no socket, thread or clock. A driver feeds events in and carries out
/// the actions that takeActions() returns:
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
/// Every call passes the monotonic and the wall time; the wall clock may jump.
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
  /// The whole list of hosts.
  void onHosts(std::uint64_t Call, base::Expected<std::vector<HostEntry>> Hosts,
               Now T);
  /// What changed since the last result that was passed here.
  void onHostChanges(std::uint64_t Call, base::Expected<HostChanges> Changes,
                     Now T);
  /// Handles a request of a peer daemon (path /v1/peer/...).
  base::Expected<boost::json::value>
  onPeerRequest(std::string_view Path, const boost::json::value &Body, Now T);

  /// Accepts a job: completes once its record has been applied, or with an
  /// error that says whether it certainly did not run (any code but
  /// Unresolved).
  void submit(SubmitRequest Request, const Completion<SubmitResult> &Done,
              Now T);
  /// Completes when the job has ended or \p MaxWait is over.
  void wait(std::string_view Job, std::string_view Account,
            base::Millis MaxWait, Completion<JobAnswer> Done, Now T);
  base::Expected<JobAnswer> status(std::string_view Job,
                                   std::string_view Account) const;
  void cancel(std::string_view Job, std::string_view Account,
              const Completion<JobAnswer> &Done, Now T);
  /// Publishes a list change; completes with the verdict at its place in the
  /// log.
  void publish(state::ListChange Change,
               const Completion<state::ListVerdict> &Done, Now T);
  base::Expected<policy::Explanation>
  explain(std::string_view Job, std::string_view Account, Now T) const;

  const state::State &state() const;
  /// Whether the state is complete and recent enough to serve callers.
  bool ready() const;
  /// Whether the last exchanges with the log failed.
  bool logDown() const;
  std::vector<std::string> ownedCells() const;

  /// Begins a graceful stop: not ready any more, cells released after records
  /// in flight are resolved.
  void beginStop(Now T);
  /// Whether nothing is left to hand over; pending completions were called.
  bool stopped() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace heathersaddle::control

#endif
