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

/// What a Node asks of its surroundings: an ordered log with compacted topics,
/// a registry of workers, the operator's configuration, and commands to
/// workers. An adapter carries out the actions and calls Done exactly once.
namespace heathersaddle::cluster {

using workload::KeyValue;

/// A queue of jobs, selected by host and longest path prefix.
struct Queue {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  std::string Service;
  unsigned Priority = 0;
  unsigned MaxAttempts = 1;
  double Stretch = 1;
  std::int64_t LatencyObjectiveMs = 0;
  bool Public = false; ///< Needs no key.
  bool NeedsAdvice = false;
  std::int64_t AdviceValidMs = 0;
};

struct Account {
  std::string Name;
  std::vector<std::string> Keys;
  std::int64_t ReservedGpus = 0; ///< For its work of priority 0, always.
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
  std::string Id; ///< Of one life of a machine; also names it in calls.
  std::string Address;
  std::string Service;
  std::string DataCentre;
  std::string Rack;
  std::vector<std::string> Labels;
  workload::Resources Capacity;
  bool Draining = false;
  std::int64_t ProcessStartMs = 0; ///< When its process started.
  std::int64_t WarmupLeftMs = 0;   ///< How much longer it is slow.
  std::int64_t LeavesInMs = -1;    ///< Least time left; -1: stays.
};

struct RegistryChange {
  std::string Worker;
  std::optional<WorkerEntry> Entry; ///< None: gone, or not readable.
};

/// A change of the operator's; null when it concerns something else.
struct OperatorChange {
  std::shared_ptr<const Configuration> Config;
};

/// Records from an offset on.
template <class Entry> struct Batch {
  std::vector<Entry> Entries;
  std::uint64_t Next = 0; ///< Offset after the last record.
  std::uint64_t End = 0;  ///< Where the topic ended when it was read.
  bool Trimmed = false;   ///< The offset asked for has been deleted.
};

/// A page of the newest record of each key.
template <class Entry> struct Page {
  std::vector<Entry> Entries;
  std::string LastKey;
  bool More = false;
  std::uint64_t End = 0; ///< Offset of the next record when it was read.
};

/// Follows a topic. Wait is how long the log may hold the call.
template <class Entry> struct ReadAction {
  std::uint64_t From = 0;
  std::uint32_t MaxKb = 0; ///< Most data in the answer.
  base::Millis Wait{};
  base::Millis TimeLimit{};
  std::function<void(base::Expected<Batch<Entry>>)> Done;
};

template <class Entry> struct ReadNewestAction {
  std::string AfterKey; ///< Empty: the first page.
  base::Millis TimeLimit{};
  std::function<void(base::Expected<Page<Entry>>)> Done;
};

/// Makes an append valid only while no writer with a later epoch has appended,
/// and at most once.
struct WriterFence {
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
};

enum class AppendVerdict {
  Appended,
  Superseded, ///< A later epoch has appended.
  OutOfOrder, ///< Another writer of the epoch exists.
  Refused,    ///< Certainly not appended; try again.
  Unresolved  ///< May have been appended, or may be later.
};

struct AppendResult {
  AppendVerdict Verdict = AppendVerdict::Unresolved;
  std::uint64_t First = 0; ///< Offset of the first record.
};

/// Appends to the control topic, all or nothing.
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

/// A task as workers name it.
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
  GangIncomplete ///< The other members did not come in time.
};

struct EndedTask {
  std::uint64_t Number = 0; ///< Rises within one life of the worker.
  TaskName Task;
  unsigned Run = 0;
  EndReason Reason = EndReason::Failed;
  std::string Checkpoint;
};

enum class WorkerVerdict {
  Ok,
  Fenced,         ///< It has seen a later epoch.
  RunTooOld,      ///< That run can never start there.
  DeadlinePassed, ///< The lease in the call was over on arrival.
  NoRoom,
  TicketInvalid,
  Invalid,          ///< The worker cannot make sense of the call.
  Unhealthy,        ///< Did nothing; not able to work now.
  OtherIncarnation, ///< The worker meant has gone.
  NoAnswer,         ///< May have been carried out, or may be later.
  NotDelivered      ///< Certainly not carried out.
};

struct WorkerReply {
  WorkerVerdict Verdict = WorkerVerdict::NoAnswer;
  std::int64_t ClockMs = -1;        ///< The worker's own clock; -1: not told.
  std::int64_t ProcessStartMs = -1; ///< Start of its process; -1: not told.
  std::vector<RunningTask> Running; ///< After a sync.
  std::vector<EndedTask> Ended;
};

/// Starts one run. The deadline is on the worker's clock and is the lease of
/// everything that runs there.
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

/// Renews the lease, acknowledges ends and lists what runs and what has ended.
struct SyncAction {
  WorkerAddress Worker;
  std::uint64_t Epoch = 0;
  std::int64_t LeaseUntilMs = -1; ///< -1: leave the lease as it is.
  std::uint64_t AcknowledgedTo = 0;
  base::Millis Wait{}; ///< How long the worker may wait for an end.
  base::Millis TimeLimit{};
  std::function<void(WorkerReply)> Done;
};

/// Asks which of the workers may run a step.
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
