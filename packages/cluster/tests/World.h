#ifndef HEATHERSADDLE_CLUSTER_TESTS_WORLD_H
#define HEATHERSADDLE_CLUSTER_TESTS_WORLD_H

#include "heathersaddle/cluster/Node.h"
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace heathersaddle::cluster {

/// A worker in virtual time: runs, leases, stops and the list of ends.
struct FakeWorker {
  struct Run {
    TaskName Task;
    unsigned Number = 0;
    std::int64_t StartedMs = 0;
    std::int64_t StopAtMs = -1; ///< When a stop takes effect.
    std::int64_t WorkMs = 0;
  };
  WorkerEntry Entry;
  bool Up = true;
  bool Disconnected = false;  ///< Calls get lost; it works on.
  bool AnswersLost = false;   ///< Calls are carried out, their answers lost.
  bool FailsEveryRun = false; ///< Every run fails at once.
  std::int64_t FailRunsAtMs = -1;    ///< All that runs then fails.
  bool DisconnectAfterStart = false; ///< The next start is its last call.
  std::int64_t StartDelayMs =
      0;                     ///< Starts are carried out so late, unanswered.
  unsigned StartsToLose = 0; ///< The next starts that get lost.
  unsigned SyncsToLose = 0;  ///< Likewise.
  std::int64_t SlowdownFactor = 1; ///< Runs take this many times as long.
  bool SlowClock = false;          ///< Its clock is 2% slow.
  std::int64_t ClockZeroMs = 0;    ///< When its clock was zero.
  std::int64_t clock(std::int64_t Time) const {
    Time -= ClockZeroMs;
    return SlowClock ? Time * 98 / 100 : Time;
  }
  std::int64_t StopDurationMs = 0;
  std::int64_t LeaseUntilMs = 0;
  std::uint64_t Epoch = 0;
  std::uint64_t Acknowledged = 0;
  std::string Checkpoint; ///< Of all that runs here, also when it ends.
  std::vector<Run> Runs;
  std::vector<EndedTask> Ended;
  std::map<TaskName, unsigned> LastBarredRun; ///< Runs up to this never start.
  std::uint64_t NextEndNumber = 1;
};

/// A compacted topic.
struct FakeTopic {
  std::vector<KeyValue> Records;
  std::uint64_t OldestOffset = 0; ///< Oldest offset that a read can begin at.
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  AppendResult LastResult;
};

/// A store, a registry, workers and daemons in virtual time. Calls take 2 ms
/// each way.
class World {
public:
  World();
  FakeWorker &addWorker(const std::string &Id, const std::string &Rack,
                        std::int64_t Gpus = 8);
  /// A new life under the same id, which the registry does not show yet.
  void restartWithoutRegistryChange(const std::string &Worker);
  Node &addDaemon(const std::string &Name, std::int64_t CpuMilli = 250);
  void kill(const std::string &Daemon) { Daemons.erase(Daemon); }
  /// Lets a suspended daemon find the answers that came meanwhile.
  void resume(const std::string &Daemon);
  void configure(std::uint64_t Version);

  void run(std::int64_t Ms);
  bool runUntil(const std::function<bool()> &Done, std::int64_t MaxMs);
  /// Submits a job of one step and runs until it is answered.
  std::optional<Refusal> submit(Node &N, workload::JobSpec Spec);
  workload::JobSpec job(const std::string &Id, unsigned Tasks,
                        std::int64_t Gpus, std::int64_t WorkMs);
  std::string owner() const;
  /// Jobs whose members work only together, with their number.
  std::map<std::string, unsigned> GangSizes;
  /// Starts that took effect, by task.
  std::map<TaskName, unsigned> StartCounts;
  unsigned StartsRefusedForRoom =
      0; ///< Starts that a worker refused for want of room.
  bool RunsOverlapped = false; ///< A task ran twice at the same time.
  /// A task started although its good end had been acknowledged.
  bool StartedAfterAcknowledgedEnd = false;

  std::map<std::string, std::unique_ptr<Node>> Daemons;
  std::map<std::string, FakeWorker> Workers;
  FakeTopic ControlTopic;
  std::vector<RegistryChange> Registry;
  std::vector<OperatorChange> OperatorTopic;
  std::set<std::string> AllowedWorkers;    ///< Workers that the advisor allows.
  std::set<std::string> JobsNeedingTicket; ///< Jobs whose starts need a ticket.
  unsigned TicketsRefused = 0;
  std::set<std::string>
      DaemonsWithoutWorkers;              ///< Daemons that reach no worker.
  std::set<std::string> SuspendedDaemons; ///< Daemons that stand still.
  std::set<std::string>
      DaemonsWithoutStore; ///< Daemons whose store calls get lost.
  /// How long the control topic takes for an append, one after the other.
  std::int64_t AppendDurationMs = 0;
  std::int64_t ReadDelayMs = 0; ///< How long its reads take at least.
  unsigned ClaimAttempts = 0;   ///< Appends under a new epoch that were tried.
  std::int64_t PageDelayMs = 0; ///< How long a page of the control topic takes.
  std::size_t LinkBytesPerMs = 0;   ///< Of reads of the control topic; 0: any.
  unsigned AppendAnswersToLose = 0; ///< Answers of appends to lose.
  /// The store's bounds, for daemons added later, and the largest seen.
  std::size_t RecordBytes = 262'144;
  std::size_t AppendBytes = 2'097'152;
  std::size_t LargestRecord = 0;
  std::size_t LargestAppend = 0;
  std::int64_t Clock = 10'000;

private:
  struct Event {
    std::int64_t AtMs;
    std::uint64_t Order;
    std::function<void()> Callback;
    bool operator<(const Event &E) const {
      return std::tie(E.AtMs, E.Order) < std::tie(AtMs, Order);
    }
  };
  void after(std::int64_t Ms, std::function<void()> Callback);
  /// Runs \p Do for a daemon unless it was killed, then lets it react.
  void reply(const std::string &Daemon, std::function<void()> Callback);
  void tickDaemon(const std::string &Daemon);
  void carryOut(const std::string &Daemon, Action A);
  void updateRuns(FakeWorker &W);
  bool isGangIncomplete(const FakeWorker::Run &Run) const;
  void endRun(FakeWorker &W, std::size_t Index, EndReason Why);
  WorkerReply start(FakeWorker &W, const StartAction &A);
  AppendResult append(const AppendAction &A);
  void pollControlTopic(const std::string &Daemon,
                        const ReadAction<KeyValue> &A, std::int64_t Until);
  template <class Entry>
  void pollChanges(const std::string &Daemon, const ReadAction<Entry> &A,
                   const std::vector<Entry> &Changes, std::int64_t Until);
  void sync(const std::string &Daemon, const SyncAction &A, std::int64_t Until);

  std::priority_queue<Event> Events;
  std::map<std::string, std::vector<std::function<void()>>> HeldAnswers;
  std::uint64_t NextOrder = 0;
  std::int64_t AppendsBusyUntil = 0;
  std::map<std::string, std::int64_t> WorkMsByJob;
  std::set<TaskName> AcknowledgedTasks;
  std::unique_ptr<base::StructuredLog> Log;
};

} // namespace heathersaddle::cluster

#endif
