#ifndef HEATHERSADDLE_CONTROL_WORKERLINK_H
#define HEATHERSADDLE_CONTROL_WORKERLINK_H

#include "Core.h"
#include "Track.h"
#include <deque>

namespace heathersaddle::control {

/// Identifies a task of an attempt of a job.
struct TaskId {
  std::string Job;
  unsigned Attempt = 0;
  unsigned TaskIndex = 0;
};

struct Command {
  CommandKind Kind = CommandKind::Stop;
  TaskId Task;
  json::object Body;
};

/// One event reported by a worker.
struct WorkerEvent {
  std::uint64_t Sequence = 0;
  std::string Kind;
  TaskId Task;
  std::string Text;
  std::int64_t ProgressMs = 0;
};

/// One task in the reply to a full sync.
struct ListedTask {
  TaskId Task;
  std::string State;
  std::int64_t ProgressMs = 0;
};

/// The interface of a cell's owner to its worker links.
class LinkListener {
public:
  virtual ~LinkListener() = default;
  virtual void onEvent(const std::string &Worker, const WorkerEvent &E) = 0;
  /// \p Ok false: the worker refused with \p Code.
  virtual void onResult(const std::string &Worker, const Command &C, bool Ok,
                        std::string_view Code) = 0;
  /// The command got no reply: it may have taken effect or not.
  virtual void onNoReply(const std::string &Worker, const Command &C) = 0;
  /// All tasks of the worker, requested when the change counter was \p Since.
  virtual void onTaskList(const std::string &Worker,
                          const std::vector<ListedTask> &Tasks,
                          std::uint64_t Since) = 0;
  virtual void onRestarted(const std::string &Worker) = 0;
  /// The worker rejected this owner's epoch.
  virtual void onEpochRejected(const std::string &Worker) = 0;
  /// Whether the log holds the result of \p E, so that the worker may drop it.
  virtual bool isRecorded(const WorkerEvent &E) const = 0;
  /// Advances the change counter, which orders commands, their replies and
  /// task lists.
  virtual std::uint64_t nextChange() = 0;
  /// The minimum time between two usage reports of a task.
  virtual base::Millis usagePeriod() const = 0;
};

/// The exchange with one worker under one epoch: reads its clock, lists its
/// tasks, renews its lease, reads its events and delivers commands.
class WorkerLink {
public:
  WorkerLink(Core &C, LinkListener &L, std::string Cell, std::uint64_t Epoch,
             std::string Worker, base::MonoTime LeaseExpiry)
      : NodeCore(C), Listener(L), Cell(std::move(Cell)), Epoch(Epoch),
        Worker(std::move(Worker)), LeaseExpiry(LeaseExpiry) {}

  /// When a lease that was last renewed at \p T has certainly expired.
  static base::MonoTime leaseExpiryAfter(const NodeSettings &S,
                                         base::MonoTime T);

  void setAddress(std::string_view Where) { Address = Where; }
  /// \p Self refers to this link; a reply that arrives after the link was
  /// destroyed is ignored.
  void tick(const std::weak_ptr<WorkerLink> &Self);
  void command(Command Cmd) { Outbox.push_back(std::move(Cmd)); }
  /// Requests a list of all tasks that is newer than this call.
  void wantList() { ListWanted = true; }

  bool synced() const { return Synced; }
  bool lost() const;
  /// When the worker's lease has certainly expired unless it is renewed.
  base::MonoTime leaseExpiry() const { return LeaseExpiry; }

private:
  using WeakLink = std::weak_ptr<WorkerLink>;
  void requestIdentity(const WeakLink &Weak);
  void requestList(const WeakLink &Weak);
  void poll(const WeakLink &Weak);
  void deliver(const WeakLink &Weak);
  json::object header() const;
  json::object syncBody(base::Millis Wait, bool Full);
  void addUsagePeriod(json::object &Body, bool Full);
  bool acceptReply(const base::Expected<json::value> &R);
  void onIdentity(const base::Expected<json::value> &R);
  void awaitLateCommands();
  void onSync(const base::Expected<json::value> &R, bool Full,
              std::uint64_t Since);
  void onDelivered(const base::Expected<json::value> &R);
  void readEvents(const json::object &Reply);
  void onFailure(const base::Error &E);
  void onRestart();
  void reset();
  void acknowledgeRecorded();

  Core &NodeCore;
  LinkListener &Listener;
  std::string Cell;
  std::uint64_t Epoch;
  std::string Worker;
  std::string Address;
  std::string BootId;
  base::MonoTime LeaseExpiry;
  std::int64_t WorkerClockMs = 0;
  base::MonoTime WorkerClockReadAt{};
  bool Identified = false;
  bool Synced = false;
  bool ListWanted = false;
  bool IdentityInFlight = false;
  bool ListInFlight = false;
  bool PollInFlight = false;
  std::vector<Command> Outbox;
  std::vector<Command> Delivering;
  std::uint64_t LastAcknowledged = 0;
  std::uint64_t LastReceived = 0;
  std::deque<WorkerEvent> Unrecorded;
  base::MonoTime RetryAt{};
  base::MonoTime PollAt{};
  /// Until then a command without a reply may still be carried out; 0 if there
  /// is none.
  base::MonoTime LateCommandsUntil{};
  base::MonoTime ListAt{};
  base::MonoTime FailingSince{};
  base::Millis PollGap{};
  base::Millis
      RequestedUsagePeriod{}; ///< Last sent to the worker; 0: never sent.
  unsigned Failures = 0;
  std::uint64_t Generation =
      0; ///< Replies to calls of an earlier one are ignored.
};

} // namespace heathersaddle::control

#endif
