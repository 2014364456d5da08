#ifndef HEATHERSADDLE_CLUSTER_TESTS_WORLD_H
#define HEATHERSADDLE_CLUSTER_TESTS_WORLD_H

#include "heathersaddle/cluster/Node.h"
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace heathersaddle::cluster {

/// A simulated worker: its runs, its lease and its list of ends, with the
/// faults that a test may inject. All times but the lease are by World::Clock.
struct FakeWorker {
  struct Run {
    TaskName Task;
    unsigned Number = 0;
    std::int64_t StartedMs = 0;
    std::int64_t StopAtMs = -1; ///< When a requested stop takes effect.
    std::int64_t WorkMs = 0;
    bool GangFinished = false; ///< All members have finished their parts.
  };
  WorkerEntry Entry;
  bool Up = true;             ///< Its process runs; if not, its runs are lost.
  bool Replaced = false;      ///< Another worker answers at its address.
  bool Disconnected = false;  ///< All calls get lost; its runs continue.
  bool AnswersLost = false;   ///< Calls are carried out but not answered.
  bool FailsEveryRun = false; ///< Every run fails at once.
  std::int64_t FailRunsAtMs = -1; ///< All runs at this time fail.
  /// The next start is carried out but not answered, and all later calls get
  /// lost.
  bool DisconnectAfterStart = false;
  /// If not 0, starts are carried out with this delay and not answered.
  std::int64_t StartDelayMs = 0;
  unsigned StartsToLose = 0;       ///< Number of next starts that get lost.
  unsigned SyncsToLose = 0;        ///< Number of next syncs that get lost.
  std::int64_t SlowdownFactor = 1; ///< Runs take this many times as long.
  /// Runs stand still from this percentage on.
  std::optional<unsigned> StallsAtPercent;
  bool SlowClock = false;       ///< Its clock runs 2% slow.
  std::int64_t ClockZeroMs = 0; ///< When its clock was zero.
  std::int64_t clock(std::int64_t Time) const {
    Time -= ClockZeroMs;
    return SlowClock ? Time * 98 / 100 : Time;
  }
  std::int64_t StopDurationMs = 0; ///< How long a stop takes.
  std::int64_t LeaseUntilMs = 0;   ///< By its own clock.
  /// Shortens a longer lease to MaxLeaseMs from now.
  void extendLease(std::int64_t Time, std::int64_t UntilMs) {
    LeaseUntilMs =
        std::max(LeaseUntilMs, std::min(UntilMs, clock(Time) + MaxLeaseMs));
  }
  static constexpr std::int64_t MaxLeaseMs = 6'000;
  std::int64_t LapsedAtMs = 0; ///< When it last held no lease.
  std::uint64_t Epoch = 0;
  std::uint64_t Acknowledged = 0;
  std::string Checkpoint; ///< Reported for every run and every end.
  std::vector<Run> Runs;
  std::vector<EndedTask> Ended;
  std::map<std::uint64_t, std::int64_t> EndedAtMs; ///< By number of the end.
  /// Runs of the task up to this number can no longer start here.
  std::map<TaskName, unsigned> LastBarredRun;
  std::uint64_t NextEndNumber = 1;
};

/// The control topic of the simulated store. It is not compacted; the newest
/// records of all keys are computed for each read of a page.
struct FakeTopic {
  std::vector<KeyValue> Records;
  std::uint64_t OldestOffset = 0; ///< Records before it have been deleted.
  std::uint64_t Epoch = 0;    ///< Of the latest append with a fencing token.
  std::uint64_t Sequence = 0; ///< Likewise.
  AppendResult LastResult;    ///< Repeated for copies of the same append.
};

/// Simulates a deployment in virtual time: daemons, each a Node whose actions
/// it carries out, and their environment, that is the store, the worker
/// registry, the operator's configuration, the advisor and the workers. Each
/// call and each answer takes 2 ms. Tests set the public fields to inject
/// faults and delays, and read them for what has happened.
class World {
public:
  World();
  /// Adds a worker and its registry entry; under an existing id, a new
  /// incarnation of that worker.
  FakeWorker &addWorker(const std::string &Id, const std::string &Rack,
                        std::int64_t Gpus = 8,
                        const std::string &DataCentre = "dc1");
  /// Restarts the worker as a new incarnation under the same id, whose clock
  /// begins at zero; the registry still lists the former one.
  void restartWithoutRegistryChange(const std::string &Worker);
  /// Ends the worker's process with all its runs. After RestartMs a new
  /// incarnation takes its place, whose clock begins at zero.
  void crash(const std::string &Worker);
  Node &addDaemon(const std::string &Name, std::int64_t CpuMilli = 250);
  void kill(const std::string &Daemon) { Daemons.erase(Daemon); }
  /// Resumes a suspended daemon, which then receives the answers that arrived
  /// in the meantime.
  void resume(const std::string &Daemon);
  /// Publishes a version of the configuration, with three queues and one
  /// account.
  void configure(std::uint64_t Version);

  /// Advances the virtual time.
  void run(std::int64_t Ms);
  bool runUntil(const std::function<bool()> &Done, std::int64_t MaxMs);
  /// Submits a job and runs until the caller is answered, but for 5 s at most.
  std::optional<Refusal> submit(Node &N, workload::JobSpec Spec);
  /// Returns a job of one step, whose tasks take \p WorkMs on a worker.
  workload::JobSpec job(const std::string &Id, unsigned Tasks,
                        std::int64_t Gpus, std::int64_t WorkMs);
  /// The name of the first daemon that is the owner; empty if none is.
  std::string owner() const;
  /// Jobs whose runs make progress only while all members run, and end
  /// together, with the number of members.
  std::map<std::string, unsigned> GangSizes;
  /// How often a run of each task was started, and of any task on each worker.
  std::map<TaskName, unsigned> Starts;
  std::map<std::string, unsigned> StartsOn;
  /// Starts that a worker refused because its resources were in use.
  unsigned StartsRefusedForRoom = 0;
  /// Tasks that crash each worker that starts them, after CrashDelayMs.
  std::set<TaskName> CrashingTasks;
  /// How many workers crashed under each of them, and how often it was started
  /// after the third of these crashes.
  std::map<TaskName, unsigned> CrashesUnder;
  std::map<TaskName, unsigned> StartsAfterThreeCrashes;
  unsigned RunsLostBesideCrashingTasks = 0;
  std::int64_t CrashDelayMs = 50;
  bool CrashBeforeAnswer = false; ///< Their starts are not answered.
  std::int64_t RestartMs = 3'000;
  /// A worker that restarts gets another id at the same address.
  bool NewIdAfterCrash = false;
  bool RunsOverlapped = false; ///< A task ran twice at the same time.
  /// A task was started after the acknowledgement of its successful end by a
  /// worker that had held its lease in between.
  bool StartedAfterAcknowledgedEnd = false;
  /// A task was started after its successful end, and that end was acknowledged
  /// later although the worker had held its lease in between.
  bool StartedAfterEndAcknowledgedLater = false;
  /// This share of all calls to workers is not answered, and carried out 2 to
  /// 12 s later.
  double LateCallShare = 0;
  std::mt19937_64 Random;
  /// How often each daemon has called a worker, including calls that got lost.
  std::map<std::string, unsigned> WorkerCalls;

  std::map<std::string, std::unique_ptr<Node>> Daemons;
  std::map<std::string, FakeWorker> Workers;
  FakeTopic ControlTopic;
  std::vector<RegistryChange> Registry;
  std::vector<OperatorChange> OperatorTopic;
  std::uint64_t OperatorOldestOffset = 0; ///< Earlier records are deleted.
  /// Daemons whose reads of the control topic, or of the registry, get lost,
  /// except for pages; their appends are carried out and answered.
  std::set<std::string> DaemonsWithoutControlReads;
  std::set<std::string> DaemonsWithoutRegistryReads;
  /// Daemons whose reads of the operator's topic get lost, except for pages.
  std::set<std::string> DaemonsWithoutOperatorTopic;
  /// Workers that the advisor allows.
  std::set<std::string> AllowedWorkers;
  /// Jobs whose starts need a ticket.
  std::set<std::string> JobsNeedingTicket;
  unsigned TicketsRefused = 0;
  static constexpr std::int64_t TicketValidMs = 3'000;
  /// Daemons whose calls to workers get lost.
  std::set<std::string> DaemonsWithoutWorkers;
  /// For each daemon, the workers whose calls from it get lost.
  std::map<std::string, std::set<std::string>> UnreachableWorkers;
  /// Daemons whose processes are suspended.
  std::set<std::string> SuspendedDaemons;
  /// Daemons whose calls to the store get lost, except for pages of the
  /// registry and of the operator's topic.
  std::set<std::string> DaemonsWithoutStore;
  /// Duration of an append to the control topic, which carries out one at a
  /// time.
  std::int64_t AppendDurationMs = 0;
  /// Added to the time of each read of the control topic.
  std::int64_t ReadDelayMs = 0;
  /// Appends sent under a new epoch, including those that got lost.
  unsigned ClaimAttempts = 0;
  /// Added to the time of each page of the control topic.
  std::int64_t PageDelayMs = 0;
  /// Bandwidth for reads of the control topic; 0: unlimited.
  std::size_t LinkBytesPerMs = 0;
  /// Number of next appends that are carried out but not answered.
  unsigned AppendAnswersToLose = 0;
  /// Size limits of the store, which are also set for daemons that are added
  /// later, and the largest sizes of what was sent to it.
  std::size_t RecordBytes = 262'144;
  std::size_t AppendBytes = 2'097'152;
  /// Keys of records that the store takes in no append, for whatever reason.
  std::set<std::string> RejectedKeys;
  unsigned AppendsRejected = 0; ///< For a size or a key.
  std::size_t LargestRecord = 0;
  std::size_t LargestAppend = 0;
  std::int64_t Clock = 10'000; ///< The virtual time in milliseconds.

private:
  struct Event {
    std::int64_t AtMs;
    std::uint64_t Order; ///< Among events of the same time.
    std::function<void()> Callback;
    bool operator<(const Event &E) const {
      return std::tie(E.AtMs, E.Order) < std::tie(AtMs, Order);
    }
  };
  void after(std::int64_t Ms, std::function<void()> Callback);
  /// Runs \p Callback, which delivers an answer, after the network delay and
  /// lets the daemon react, unless its process has ended. A suspended daemon
  /// receives the answer when it is resumed.
  void reply(const std::string &Daemon, std::function<void()> Callback);
  /// Calls the daemon's tick() and carries out its actions.
  void tickDaemon(const std::string &Daemon);
  void carryOut(const std::string &Daemon, Action A);
  /// Draws by how much the next call to a worker is late; 0: not at all.
  std::int64_t drawCallDelay();
  /// Ends the runs whose end is due.
  void updateRuns(FakeWorker &W);
  /// All workers that have ever begun a run of the job.
  const std::set<FakeWorker *> &workersOf(const std::string &Job) const;
  /// Whether the run belongs to a job in GangSizes of which not all members
  /// run.
  bool isGangIncomplete(const FakeWorker::Run &Run) const;
  /// Whether the run has finished its own part of the work.
  bool isFinished(const FakeWorker &W, const FakeWorker::Run &Run) const;
  /// As above, for all members of the run's gang if its job is in GangSizes.
  bool isUnitFinished(const FakeWorker &W, const FakeWorker::Run &Run) const;
  unsigned percent(const FakeWorker &W, const FakeWorker::Run &Run) const;
  /// The worker at the address, if there is one. It answers calls to another
  /// worker that it is not that one.
  FakeWorker *workerAt(const std::string &Address);
  void endRun(FakeWorker &W, std::size_t Index, EndReason Why);
  /// Whether calls of the daemon are received by the worker and answered.
  bool reaches(const std::string &Daemon, const FakeWorker &W) const;
  WorkerReply start(FakeWorker &W, const StartAction &A);
  std::string makeTicket(const std::string &Worker) const;
  /// Whether the ticket is one for the worker and has not expired.
  bool isTicketValid(const StartAction &A) const;
  AppendResult append(const AppendAction &A);
  /// Whether the store takes the records of the append.
  bool takesContent(const AppendAction &A);
  /// Answers a read once there are records, its records have been deleted or
  /// the time is \p Until.
  void pollControlTopic(const std::string &Daemon,
                        const ReadAction<KeyValue> &A, std::int64_t Until);
  template <class Entry>
  void pollChanges(const std::string &Daemon, const ReadAction<Entry> &A,
                   const std::vector<Entry> &Changes, std::int64_t Until);
  /// All newest records of the operator's topic, without withdrawn requests.
  Page<OperatorChange> newestOperatorRecords() const;
  /// Answers a sync once there are ends or the time is \p Until.
  void sync(const std::string &Daemon, const SyncAction &A, std::int64_t Until);

  std::priority_queue<Event> Events;
  /// Answers and timeouts of calls of suspended daemons.
  std::map<std::string, std::vector<std::function<void()>>> HeldAnswers;
  std::uint64_t NextOrder = 0;
  std::int64_t AppendsBusyUntil = 0;
  std::map<std::string, std::int64_t> WorkMsByJob;
  std::map<std::string, std::set<FakeWorker *>> WorkersByJob;
  /// Where the latest call to the address arrived.
  std::map<std::string, FakeWorker *> WorkerByAddress;
  std::set<TaskName> AcknowledgedTasks;
  std::map<TaskName, std::int64_t> StartedAtMs;
  std::map<std::string, std::int64_t> TicketIssuedMs;
  std::unique_ptr<base::StructuredLog> Log;
};

} // namespace heathersaddle::cluster

#endif
