#ifndef HEATHERSADDLE_STANDIN_WORKERMODEL_H
#define HEATHERSADDLE_STANDIN_WORKERMODEL_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/base/Time.h"
#include <algorithm>
#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathersaddle::standin {

inline constexpr std::size_t MaxCommands = 256; ///< In one request.

/// The parameters from which a task's behaviour is computed.
struct TaskRequest {
  std::string Kind;
  std::string Input;
  unsigned Task = 0;
  unsigned Tasks = 1;
};

/// How a task ends when nothing interrupts it.
struct TaskOutcome {
  base::Millis RunTime{}; ///< Total, before earlier progress is deducted.
  bool Success = true;
  std::string Answer; ///< The error's text when not successful.
};

using TaskBehaviour = std::function<TaskOutcome(const TaskRequest &)>;

struct WorkerModelSettings {
  unsigned Slots = 8;
  base::Millis UsagePeriod{30'000}; ///< 0: no periodic usage reports.
  /// Whether to refuse a reservation or a start that arrives after the stop of
  /// its attempt. Set to false only by a fuzz run, which must detect that the
  /// worker accepts it.
  bool RefuseStoppedAttempts = true;
};

enum class EndReason { Finished, Failed, Stopped, LeaseExpired, Restarted };

/// One reservation and its actual course, whatever the worker's replies said.
/// Times are on the worker's clock.
struct AuditEntry {
  std::uint64_t Boot = 0;
  std::uint64_t Epoch = 0; ///< Under which it was reserved.
  std::string Job;
  unsigned Attempt = 0;
  unsigned Task = 0;
  unsigned Tasks = 1;
  std::uint64_t Slots = 0;
  std::string InputPrefix; ///< At most the first 64 bytes.
  base::Millis Reserved{};
  std::optional<base::Millis> Started; ///< Unset: the task never ran.
  std::optional<base::Millis> Ended;
  EndReason Reason = EndReason::Finished; ///< Valid when Ended is set.
  std::string Answer;
};

/// An HTTP status and the JSON body.
struct WorkerReply {
  unsigned Status = 200;
  boost::json::value Body;
};

/// One worker of the platform without sockets: the protocol of section 6 of
/// docs/design.md. Every call passes the worker's own clock, which must not
/// run backwards.
///
/// \code
///   WorkerModel W({.Slots = 8}, Boot, Behaviour);
///   WorkerReply R = W.sync(Body, Now); // renews the lease
///   R = W.commands(Body, Now);
///   W.advance(Now);                    // tasks end, the lease expires
/// \endcode
///
/// Rules that the design document does not specify:
/// - Without a valid lease, reserve and start are refused as "busy".
/// - A start without a reservation is accepted for a single task only.
/// - An attempt whose lease expired counts as stopped.
/// - A stop with a grace period keeps all progress; one without keeps the
///   progress of the last checkpoint.
/// - Usage reports do not end a waiting sync; they are sent with its reply.
/// - `usage_ms` of a sync sets the minimum time between two usage reports of a
///   task, in addition to UsagePeriod.
/// - A lower epoch gives 409 with `{"error":{...},"epoch":N}`.
class WorkerModel {
public:
  WorkerModel(WorkerModelSettings Settings, std::uint64_t Boot,
              TaskBehaviour Behaviour);

  /// POST /v1/commands
  WorkerReply commands(const boost::json::value &Body, base::Millis Now);
  /// POST /v1/sync: renews the lease, acknowledges, and replies at once.
  WorkerReply sync(const boost::json::value &Body, base::Millis Now);
  /// Whether the reply to \p Body, after sync(), should be held back until
  /// there are events or `wait_ms` is over; then call syncReply().
  bool shouldWait(const boost::json::value &Body) const;
  /// Returns the reply to \p Body without renewing the lease, removing
  /// acknowledged events or changing the usage period.
  WorkerReply syncReply(const boost::json::value &Body, base::Millis Now);

  /// Carries out all changes that are due by \p Now, in order of time.
  void advance(base::Millis Now);
  /// The earliest time at which advance() has a change to carry out.
  std::optional<base::Millis> nextChangeTime() const;

  /// Restarts the process without warning: tasks, lease, accepted epochs,
  /// events and tombstones are lost.
  void restart(std::uint64_t NewBoot, base::Millis Now);
  /// Suspends the host. Nothing changes until resume(), which checks the lease
  /// before anything else.
  void pause(base::Millis Now);
  void resume(base::Millis Now);
  bool paused() const { return PausedAt.has_value(); }

  std::uint64_t boot() const { return Boot; }
  const std::vector<AuditEntry> &audit() const { return Audit; }

private:
  using AttemptId = std::pair<std::string, unsigned>;
  using TaskId = std::pair<AttemptId, unsigned>;
  enum class TaskState { Reserved, Running, Finished, Failed, Stopped };

  struct Task {
    TaskState State = TaskState::Reserved;
    TaskRequest Request;
    TaskOutcome Outcome;
    std::uint64_t Slots = 0;
    std::size_t AuditIndex = 0;
    unsigned SpeedPercent = 100; ///< Of full speed.
    base::Millis ProgressAt{};
    base::Millis Progress{};   ///< At time ProgressAt.
    base::Millis Checkpoint{}; ///< Progress that a stop keeps.
    std::optional<base::Millis> StopAt;
    base::Millis NextUsage{};

    bool active() const {
      return State == TaskState::Reserved || State == TaskState::Running;
    }
  };
  struct Event {
    std::uint64_t Number = 0;
    std::string Type;
    TaskId Id;
    std::string Text; ///< Answer or error.
    base::Millis Progress{};
  };

  // Lifecycle (WorkerModel.cpp).
  base::Millis progressOf(const Task &T, base::Millis Now) const;
  base::Millis finishTime(const Task &T) const;
  std::optional<base::Millis> taskChangeTime(const Task &T) const;
  void applyDueChange(const TaskId &Id, Task &T, base::Millis Now);
  void endTask(const TaskId &Id, Task &T, EndReason Reason, base::Millis Now);
  void expireLease(base::Millis Now);
  void addEvent(std::string_view Type, const TaskId &Id, const Task &T,
                std::string Text = {});
  void addUsage(const TaskId &Id, Task &T, base::Millis Now);
  base::Millis usagePeriod() const {
    return std::max(Settings.UsagePeriod, RequestedUsagePeriod);
  }
  bool leaseValid(base::Millis Now) const { return Now < LeaseUntil; }

  // Commands (WorkerCommands.cpp).
  struct Command;
  std::string_view execute(const Command &C, base::Millis Now);
  std::string_view reserve(const Command &C, base::Millis Now);
  std::string_view start(const Command &C, base::Millis Now);
  std::string_view stop(const Command &C, base::Millis Now);
  std::string_view checkpointOrThrottle(const Command &C, base::Millis Now);
  std::uint64_t usedSlots() const;

  // Requests (WorkerRequests.cpp).
  std::optional<WorkerReply> acceptEpoch(const boost::json::value &Body,
                                         std::string_view Step);
  void setUsagePeriod(base::Millis Period);
  /// Whether there are events other than usage reports after \p After; only
  /// these end a waiting sync.
  bool hasNonUsageEvents(std::uint64_t After) const;
  boost::json::array eventList(std::uint64_t After) const;
  boost::json::array taskList(base::Millis Now) const;

  WorkerModelSettings Settings;
  std::uint64_t Boot;
  TaskBehaviour Behaviour;
  /// The highest accepted epoch of each cell.
  std::map<std::string, std::uint64_t, std::less<>> Epochs;
  std::uint64_t CurrentEpoch = 0; ///< Of the request being handled.
  base::Millis LeaseUntil{};
  base::Millis RequestedUsagePeriod{}; ///< By the owner's last sync.
  std::map<TaskId, Task> Tasks;
  std::set<AttemptId> StoppedAttempts; ///< Tombstones.
  std::deque<Event> Events;
  std::uint64_t LastEventNumber = 0;
  std::optional<base::Millis> PausedAt;
  std::vector<AuditEntry> Audit;
};

} // namespace heathersaddle::standin

#endif
