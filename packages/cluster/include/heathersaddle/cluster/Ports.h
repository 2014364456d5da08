#ifndef HEATHERSADDLE_CLUSTER_PORTS_H
#define HEATHERSADDLE_CLUSTER_PORTS_H

#include "heathersaddle/workload/Ledger.h"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The interface between a Node and its environment: a store of ordered,
/// compacted topics, a registry of workers, the operator's configuration, and
/// commands to workers. An adapter carries out the actions and calls each Done
/// exactly once.
namespace heathersaddle::cluster {

using workload::KeyValue;

/// A queue of jobs. Requests select it by host and longest path prefix.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Service;
  unsigned Priority = 0;
  unsigned MaxAttempts = 1;
  double Stretch = 1;
  std::int64_t LatencyObjectiveMs = 0;
  bool Public = false; ///< Accepts requests without a key.
  bool NeedsAdvice = false;
  std::int64_t AdviceValidMs = 0;
};

struct Account {
  std::string Name;
  std::vector<std::string> Keys;
  std::int64_t ReservedGpus = 0; ///< At all times, for its work of priority 0.
};

/// One version of the operator's configuration.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Queue> Queues;
  std::vector<std::string> Services;
  std::vector<Account> Accounts;

  const Queue *route(std::string_view Host, std::string_view Path) const;
  const Account *accountOfKey(std::string_view Key) const;
  const Account *account(std::string_view Name) const;
};

/// A worker as it describes itself in the registry.
struct WorkerEntry {
  std::string Id; ///< Of one lifetime of a machine; also names it in calls.
  std::string Address;
  std::string Service;
  std::string DataCentre;
  std::string Rack;
  std::vector<std::string> Labels;
  workload::Resources Capacity;
  bool Draining = false;
  std::int64_t ProcessStartMs = 0; ///< Start of its process.
  std::int64_t WarmupLeftMs = 0;   ///< Remaining time in which it is slow.
  std::int64_t LeavesInMs = -1; ///< Least time until it is removed; -1: stays.
};

struct RegistryChange {
  std::string Worker;
  std::optional<WorkerEntry> Entry; ///< None: removed, if it was readable.
  /// Another writer has written something that is no entry of a worker.
  bool Unreadable = false;
};

/// The operator's request to start no work in a data centre, or its withdrawal.
struct DrainChange {
  std::string DataCentre;
  bool Requested = false;
};

/// A change to the operator's topic; both are empty if it concerns neither.
struct OperatorChange {
  std::shared_ptr<const Configuration> Config;
  std::optional<DrainChange> Drain;
};

/// Records from an offset onwards.
template <class Entry> struct Batch {
  std::vector<Entry> Entries;
  std::uint64_t Next = 0; ///< Offset after the last record.
  std::uint64_t End = 0;  ///< End of the topic when it was read.
  bool Trimmed = false;   ///< The requested records have been deleted.
};

/// A page of the newest records, one for each key.
template <class Entry> struct Page {
  std::vector<Entry> Entries;
  std::string LastKey;
  bool More = false;
  std::uint64_t End = 0; ///< End of the topic when the page was read.
};

/// Reads a topic from an offset. Wait is how long the store may delay the
/// answer if there are no records.
template <class Entry> struct ReadAction {
  std::uint64_t From = 0;
  std::uint32_t MaxKb = 0; ///< Limit of the data in the answer.
  base::Millis Wait{};
  base::Millis TimeLimit{};
  std::function<void(base::Expected<Batch<Entry>>)> Done;
};

template <class Entry> struct ReadNewestAction {
  std::string AfterKey; ///< Empty: the first page.
  base::Millis TimeLimit{};
  std::function<void(base::Expected<Page<Entry>>)> Done;
};

/// A fencing token: the append is carried out only if no writer with a later
/// epoch has appended, and at most once.
struct WriterFence {
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
};

enum class AppendVerdict {
  Appended,
  Superseded, ///< A later epoch has appended.
  OutOfOrder, ///< Another writer uses the same epoch.
  Refused,    ///< Certainly not appended; may be retried.
  Rejected,   ///< Certainly not appended, and never will be with this content.
  Unresolved  ///< May have been appended, or may still be.
};

struct AppendResult {
  AppendVerdict Verdict = AppendVerdict::Unresolved;
  std::uint64_t First = 0; ///< Offset of the first record.
};

/// Appends records to the control topic atomically.
struct AppendAction {
  std::vector<KeyValue> Records;
  std::optional<WriterFence> Fence;
  base::Millis TimeLimit{};
  std::function<void(AppendResult)> Done;
};

struct WorkerAddress {
  std::string Id;
  std::string Address;
};

/// Identifies a task in calls to workers.
struct TaskName {
  std::string Job;
  workload::TaskKey Key;
  bool operator==(const TaskName &) const = default;
  bool operator<(const TaskName &O) const {
    return std::tie(Job, Key) < std::tie(O.Job, O.Key);
  }
};

struct RunningTask {
  TaskName Task;
  unsigned Run = 0;
  std::string Checkpoint;
  unsigned Percent = 0;
};

enum class EndReason {
  Done,
  Failed,
  Stopped,
  LeaseExpired,
  GangBroken,    ///< Another member ended.
  GangIncomplete ///< The other members did not start in time.
};

struct EndedTask {
  std::uint64_t Number = 0; ///< Increases within one incarnation of the worker.
  TaskName Task;
  unsigned Run = 0;
  EndReason Reason = EndReason::Failed;
  std::string Checkpoint;
};

enum class WorkerVerdict {
  Ok,
  Fenced,         ///< The worker has seen a later epoch.
  RunTooOld,      ///< That run can never start there.
  DeadlinePassed, ///< The lease in the call had expired on arrival.
  NoRoom,
  TicketInvalid,
  Invalid,          ///< The worker rejected the call as malformed.
  Unhealthy,        ///< Not carried out; the worker cannot run tasks now.
  OtherIncarnation, ///< The addressed worker does not exist any more.
  NoAnswer,         ///< May have been carried out, or may still be.
  NotDelivered      ///< Certainly not carried out.
};

struct WorkerReply {
  WorkerVerdict Verdict = WorkerVerdict::NoAnswer;
  std::int64_t ClockMs = -1;        ///< The worker's clock; -1: unknown.
  std::int64_t ProcessStartMs = -1; ///< Start of its process; -1: unknown.
  std::vector<RunningTask> Running; ///< Only in answers to a sync.
  std::vector<EndedTask> Ended;
};

/// Starts one run. LeaseUntilMs is by the worker's clock and renews the lease
/// of everything that runs there.
struct StartAction {
  WorkerAddress Worker;
  TaskName Task;
  unsigned Run = 0;
  std::string Payload;
  std::int64_t LeaseUntilMs = 0;
  std::uint64_t Epoch = 0;
  std::string Checkpoint;
  std::string Ticket;
  base::Millis TimeLimit{};
  std::function<void(WorkerReply)> Done;
};

struct StopAction {
  WorkerAddress Worker;
  TaskName Task;
  unsigned Run = 0;
  std::uint64_t Epoch = 0;
  base::Millis TimeLimit{};
  std::function<void(WorkerReply)> Done;
};

/// Renews the lease, acknowledges ends, and requests the lists of running and
/// ended tasks.
struct SyncAction {
  WorkerAddress Worker;
  std::uint64_t Epoch = 0;
  std::int64_t LeaseUntilMs = -1; ///< -1: do not renew the lease.
  std::uint64_t AcknowledgedTo = 0;
  base::Millis Wait{}; ///< How long the worker may wait for a run to end before
                       ///< it answers.
  base::Millis TimeLimit{};
  std::function<void(WorkerReply)> Done;
};

/// Asks the advisor which of the workers may run a step.
struct AdviceAction {
  TaskName Step; ///< The index is not used.
  std::vector<std::string> Workers;
  base::Millis TimeLimit{};
  /// Tickets by worker; workers without one are not allowed.
  std::function<void(base::Expected<std::map<std::string, std::string>>)> Done;
};

using Action =
    std::variant<ReadAction<KeyValue>, ReadAction<RegistryChange>,
                 ReadAction<OperatorChange>, ReadNewestAction<KeyValue>,
                 ReadNewestAction<RegistryChange>,
                 ReadNewestAction<OperatorChange>, AppendAction, StartAction,
                 StopAction, SyncAction, AdviceAction>;

} // namespace heathersaddle::cluster

#endif
