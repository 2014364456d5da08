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
  bool Cut = false;           ///< Calls get lost; it works on.
  bool Mute = false;          ///< Calls are carried out, their answers lost.
  bool Fails = false;         ///< Every run fails at once.
  std::int64_t FailAtMs = -1; ///< All that runs then fails.
  bool CutAfterStart = false; ///< The next start is its last call.
  std::int64_t LateMs = 0;    ///< Starts are carried out so late, unanswered.
  unsigned LoseStarts = 0;    ///< The next starts that get lost.
  unsigned LoseSyncs = 0;     ///< Likewise.
  std::int64_t Slowness = 1;  ///< Runs take this many times as long.
  bool SlowClock = false;     ///< Its clock is 2% slow.
  std::int64_t BeganMs = 0;   ///< When its clock was zero.
  std::int64_t clock(std::int64_t Time) const {
    Time -= BeganMs;
    return SlowClock ? Time * 98 / 100 : Time;
  }
  std::int64_t StopMs = 0;
  std::int64_t LeaseUntilMs = 0;
  std::uint64_t Epoch = 0;
  std::uint64_t Acknowledged = 0;
  std::string Checkpoint; ///< Of all that runs here, also when it ends.
  std::vector<Run> Runs;
  std::vector<EndedTask> Ended;
  std::map<TaskName, unsigned> Barred; ///< Runs up to this never start.
  std::uint64_t NextEnd = 1;
};

/// A compacted topic.
struct FakeTopic {
  std::vector<KeyValue> Records;
  std::uint64_t First = 0; ///< Oldest offset that a read can begin at.
  std::uint64_t Epoch = 0;
  std::uint64_t Sequence = 0;
  AppendResult Last;
};

/// A store, a registry, workers and daemons in virtual time. Calls take 2 ms
/// each way.
class World {
public:
  World();
  FakeWorker &addWorker(const std::string &Id, const std::string &Rack,
                        std::int64_t Gpus = 8);
  /// A new life under the same id, which the registry does not show yet.
  void restartUnlisted(const std::string &Worker);
  Node &addDaemon(const std::string &Name, std::int64_t CpuMilli = 250);
  void kill(const std::string &Daemon) { Daemons.erase(Daemon); }
  /// Lets a suspended daemon find the answers that came meanwhile.
  void resume(const std::string &Daemon);
  void configure(std::uint64_t Version);

  void run(std::int64_t Ms);
  bool runUntil(const std::function<bool()> &Done, std::int64_t MostMs);
  /// Submits a job of one step and runs until it is answered.
  std::optional<Refusal> submit(Node &N, workload::JobSpec Spec);
  workload::JobSpec job(const std::string &Id, unsigned Tasks,
                        std::int64_t Gpus, std::int64_t WorkMs);
  std::string owner() const;
  /// Jobs whose members work only together, with their number.
  std::map<std::string, unsigned> Gangs;
  /// Starts that took effect, by task.
  std::map<TaskName, unsigned> Starts;
  unsigned NoRoom = 0;  ///< Starts that a worker refused for want of room.
  bool Overlap = false; ///< A task ran twice at the same time.
  /// A task started although its good end had been acknowledged.
  bool RanAfterItsEnd = false;

  std::map<std::string, std::unique_ptr<Node>> Daemons;
  std::map<std::string, FakeWorker> Workers;
  FakeTopic Control;
  std::vector<RegistryChange> Registry;
  std::vector<OperatorChange> Operator;
  std::set<std::string> Advised;    ///< Workers that the advisor allows.
  std::set<std::string> WithTicket; ///< Jobs whose starts need a ticket.
  unsigned TicketsRefused = 0;
  std::set<std::string> WorkersCut; ///< Daemons that reach no worker.
  std::set<std::string> Suspended;  ///< Daemons that stand still.
  std::set<std::string> StoreCut;   ///< Daemons whose store calls get lost.
  /// How long the control topic takes for an append, one after the other.
  std::int64_t AppendMs = 0;
  std::int64_t ReadMs = 0; ///< How long its reads take at least.
  unsigned Claims = 0;     ///< Appends under a new epoch that were tried.
  std::int64_t PageMs = 0; ///< How long a page of the control topic takes.
  std::size_t LinkBytesPerMs = 0; ///< Of reads of the control topic; 0: any.
  unsigned LoseAppends = 0;       ///< Answers of appends to lose.
  /// The store's bounds, for daemons added later, and the largest seen.
  std::size_t RecordBytes = 262'144;
  std::size_t AppendBytes = 2'097'152;
  std::size_t LargestRecord = 0;
  std::size_t LargestAppend = 0;
  std::int64_t Clock = 10'000;

private:
  struct Event {
    std::int64_t At;
    std::uint64_t Order;
    std::function<void()> Do;
    bool operator<(const Event &E) const {
      return std::tie(E.At, E.Order) < std::tie(At, Order);
    }
  };
  void after(std::int64_t Ms, std::function<void()> Do);
  /// Runs \p Do for a daemon unless it was killed, then lets it react.
  void reply(const std::string &Daemon, std::function<void()> Do);
  void pump(const std::string &Daemon);
  void carryOut(const std::string &Daemon, Action A);
  void step(FakeWorker &W);
  bool gangWaits(const FakeWorker::Run &Run) const;
  void end(FakeWorker &W, std::size_t Index, EndReason Why);
  WorkerReply start(FakeWorker &W, const StartAction &A);
  AppendResult append(const AppendAction &A);
  void poll(const std::string &Daemon, const ReadAction<KeyValue> &A,
            std::int64_t Until);
  template <class Entry>
  void pollList(const std::string &Daemon, const ReadAction<Entry> &A,
                const std::vector<Entry> &From, std::int64_t Until);
  void sync(const std::string &Daemon, const SyncAction &A, std::int64_t Until);

  std::priority_queue<Event> Events;
  std::map<std::string, std::vector<std::function<void()>>> Kept;
  std::uint64_t Order = 0;
  std::int64_t AppendsBusyUntil = 0;
  std::map<std::string, std::int64_t> WorkOf;
  std::set<TaskName> EndAcknowledged;
  std::unique_ptr<base::StructuredLog> Log;
};

} // namespace heathersaddle::cluster

#endif
