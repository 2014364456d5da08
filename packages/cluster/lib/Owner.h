#ifndef HEATHERSADDLE_CLUSTER_OWNER_H
#define HEATHERSADDLE_CLUSTER_OWNER_H

#include "Tail.h"
#include "Writer.h"
#include "heathersaddle/dispatch/Pace.h"
#include "heathersaddle/dispatch/Planner.h"
#include <set>
#include <tuple>

namespace heathersaddle::cluster {

/// Usual bytes, at most, of a task in a job's record: its numbers, a checkpoint
/// and the name of a worker, with room to spare.
inline constexpr std::size_t TaskEntryBytes = 128;
/// The part of it without the checkpoint and the name.
inline constexpr std::size_t TaskEntryFixedBytes = 64;

/// Failures of this many distinct jobs without a success mark a worker as
/// failing; it gets no work for a while, and is then used last.
inline constexpr std::size_t FailingWorkerJobs = 2;

using dispatch::UnitId;
using workload::Job;
using workload::JobState;
using workload::TaskKey;
using workload::TaskPhase;
using workload::TaskProgress;

/// At least the bytes of the record of \p J's progress.
std::size_t recordBytes(const Job &J);

/// The step of a task; as for a gang, the index is 0.
inline UnitId stepOf(const TaskName &Task) {
  return {Task.Job, Task.Key.Occurrence, Task.Key.Step, 0};
}

/// How far a run has come on its worker.
enum class RunStage {
  Recording, ///< Its placement is not stored yet; nothing was sent.
  Starting,  ///< The start may or may not have arrived.
  Confirmed, ///< The worker has confirmed it.
  Stopping   ///< To end; holds its room until the worker lists the end.
};

struct RunState {
  workload::Resources Room;
  RunStage Stage = RunStage::Recording;
  bool CallInFlight = false;
  bool MayHaveArrived = false;
  bool StopConfirmed = false;
  unsigned StartAttempts = 0; ///< Of the start.
  unsigned StopAttempts = 0;
  MonoTime PlacedAt{};
  MonoTime SentAt{}; ///< The latest start, or later the latest stop.
  MonoTime RetryAt{};
  MonoTime ConfirmedAt{}; ///< Start, or later the stop, was confirmed.
  dispatch::Pace Speed;
  bool AllMembersConfirmed = false; ///< All members of its gang are present.
  unsigned Percent = 0;
  MonoTime ProgressAt{}; ///< When the percentage changed last.
  /// The percentage that was read first, and when: a run that resumes, or was
  /// inherited, does not begin at zero.
  std::optional<unsigned> FirstPercent;
  MonoTime FirstPercentAt{};
  MonoTime CheckpointAt{};
  std::string Checkpoint;
  std::string Ticket;
};

struct RunId {
  TaskName Task;
  unsigned Run = 0;
  bool operator==(const RunId &) const = default;
  bool operator<(const RunId &O) const {
    return std::tie(Task, Run) < std::tie(O.Task, O.Run);
  }
};

/// One life of a worker and all that may hold room on it.
struct Session {
  WorkerEntry Entry;
  bool Listed = true;  ///< In the registry.
  bool Synced = false; ///< Has answered under this epoch.
  bool SyncInFlight = false;
  MonoTime SyncSentAt{};
  MonoTime NextSyncAt{};
  MonoTime ClockReadAt{};
  std::int64_t ClockMs = -1; ///< The worker's clock at ClockReadAt.
  /// Latest time, on our clock, at which a lease granted by us can end.
  MonoTime LeaseEndsAt{};
  std::uint64_t LastHandledEnd = 0; ///< Ends handled.
  std::uint64_t LastStoredEnd = 0;  ///< Ends whose effect is stored.
  /// Ends that this life of the worker has heard acknowledged, and up to which
  /// the latest sync acknowledges.
  std::uint64_t LastAcknowledgedEnd = 0;
  std::uint64_t SyncAcknowledgesTo = 0;
  /// Of a draining worker: the earliest time at which it may be gone.
  MonoTime LeavesAt{};
  MonoTime AvoidUntil{};
  dispatch::SlowWorker Slowness;
  /// Jobs that failed here since the last success.
  std::set<std::string> FailedJobs;
  /// When earlier lives of the worker began; by its wall clock, which may jump,
  /// so a later life need not have a later time.
  std::set<std::int64_t> PastIncarnations;
  MonoTime IncarnationSeenAt{}; ///< When the present life was first heard of.
  /// The present life had not ended yet when this time came.
  MonoTime KnownAliveAt{};
  /// When starts that had no answer were sent last. A stop bars them only for
  /// the life that heard it.
  std::map<RunId, MonoTime> UnansweredStarts;
  unsigned SyncFailures = 0;
  std::map<RunId, RunState> Runs;
};

/// Which workers an advisor lets run a step, with their tickets.
struct Advice {
  std::map<std::string, std::string> Tickets;
  std::set<std::string> AskedWorkers;
  bool InFlight = false;
  MonoTime ValidUntil{};
  MonoTime NextAskAt{};
};

/// Schedules all work while this daemon is the owner.
class Owner {
public:
  Owner(Core &C, std::uint64_t Epoch, std::uint64_t Sequence);
  ~Owner();
  Owner(const Owner &) = delete;
  Owner &operator=(const Owner &) = delete;

  /// Called once, at most, when a later owner exists.
  std::function<void(std::string_view Reason)> OnDeposed;

  void tick();
  /// A caller's record about this job was read.
  void jobChanged(std::string_view Job);
  /// Stores a job that a caller has handed in, with the owner's own records.
  void store(Submission S) { RecordWriter.add(std::move(S)); }
  std::function<void(const Submission &, std::uint64_t Offset)> &onStored() {
    return RecordWriter.OnStored;
  }
  void failPendingSubmissions() { RecordWriter.failPendingSubmissions(); }
  void beginStop();
  bool released() const { return RecordWriter.released(); }
  std::uint64_t epoch() const { return Epoch; }

private:
  // OwnerWorkers.cpp: the registry and the lists of workers.
  void onRegistry(RegistryChange &&Change);
  void adoptRecordedRuns(Session &S);
  void sync(const std::string &Id, Session &S);
  void onSynced(const std::string &Id, const WorkerReply &R);
  void updateClock(Session &S, const WorkerReply &R);
  /// Whether an answer to a call sent at \p SentAt comes from another life, by
  /// its clock.
  bool clockRestarted(const Session &S, const WorkerReply &R,
                      MonoTime SentAt) const;
  /// How long the worker may hold the next sync.
  Millis syncWait(const Session &S) const;
  /// Whether the answer ends this owner's time or the worker's session.
  bool endsSession(Session &S, WorkerVerdict V);
  void onRunReported(Session &S, const RunningTask &T);
  void onEndReported(Session &S, const EndedTask &T);
  /// Whether \p ProcessStartMs tells of another life than the one that is
  /// known.
  bool isNewIncarnation(const Session &S, std::int64_t ProcessStartMs) const;
  void onWorkerRestarted(Session &S, std::int64_t ProcessStartMs);
  void markRunsLost(Session &S, std::string_view Why);
  void checkWorkers();
  void stopStuckRuns(const std::string &Id, Session &S);
  void evacuate(const std::string &Id, Session &S);
  std::int64_t grantLease(Session &S);

  // OwnerPace.cpp: slow workers.
  struct RunRate {
    const Job *RunJob = nullptr;
    const workload::Step *Step = nullptr;
    dispatch::Rate Rate = 0;
  };
  /// None when the run says nothing about its worker's speed.
  std::optional<RunRate> rateOf(const Session &S, const RunId &Id,
                                const RunState &R) const;
  /// Whether the unit runs far from its data or spread over racks, and so takes
  /// longer for a good reason.
  bool hasRemotePlacement(const Session &S, const workload::Step &Step,
                          const Job &J, const RunId &Id) const;
  void updateRates();
  /// Judges the worker by the pace of its runs and moves work off slow ones.
  void checkWorkerSpeed(const std::string &Id, Session &S);

  // OwnerRuns.cpp: starts, stops and ends of runs.
  using ReplyHandler = void (Owner::*)(Session &, RunState &, const RunId &,
                                       const WorkerReply &);
  /// What takes the answer to a call about a run: passes it on to \p Handle
  /// while the owner, the worker's session and the run exist.
  std::function<void(WorkerReply)> makeReplyCallback(const std::string &Worker,
                                                     const RunId &Id,
                                                     ReplyHandler Handle);
  void sendStart(const std::string &Worker, const RunId &Id);
  void onStarted(Session &S, RunState &R, const RunId &Id,
                 const WorkerReply &Reply);
  void sendStop(const std::string &Worker, const RunId &Id);
  void onStopped(Session &S, RunState &R, const RunId &Id,
                 const WorkerReply &Reply);
  void sendDueCalls();
  /// The worker has confirmed the run.
  void onConfirmed(RunState &R, const RunId &Id);
  void stopRun(Session &S, const RunId &Id);
  void stopUnit(const UnitId &Unit, std::string_view Why);
  void stopJob(const std::string &Job, std::string_view Why);
  /// How much longer a run is expected to take.
  Millis remainingTime(const workload::Step &Step, const RunState &R) const;
  /// The run has ended, or certainly never began.
  void finishRun(const RunId &Id, EndReason Why, const std::string &Checkpoint,
                 Session &S);
  void storeCheckpoint(Job &J, const TaskKey &Task, const std::string &Saved);
  void completeIfDone(Job &J);
  void endJob(Job &J, JobState State, std::string_view Why);
  bool isCurrentRun(const RunId &Id) const;

  // OwnerAdvice.cpp: queues for which an advisor names the workers.
  /// The tickets for a step; null until there are enough to place a task.
  const std::map<std::string, std::string> *
  ticketsFor(const Job &J, unsigned Occurrence, unsigned Step);
  void requestAdvice(const UnitId &Step, const Job &J, Advice &A);
  void onAdvice(const UnitId &Step, std::int64_t ValidMs,
                const base::Expected<std::map<std::string, std::string>> &R);

  // OwnerSchedule.cpp: what is placed where.
  void schedule();
  dispatch::Fleet buildFleet(std::int64_t NowMs);
  std::vector<dispatch::Waiting> buildQueue(std::int64_t NowMs);
  std::int64_t urgentDemand();
  void markGuaranteed(std::vector<dispatch::Waiting> &Queue);
  void applyPlan(const dispatch::Plan &Plan, const dispatch::Fleet &Fleet);
  void publishLoad(workload::Ownership &O) const;
  void removeExpiredJobs();
  /// Gives up when most workers are silent: another daemon may reach them.
  void checkReachability();
  void depose(std::string_view Reason);

  Core &Shared;
  std::uint64_t Epoch;
  Writer RecordWriter;
  Tail<RegistryChange> Registry;
  std::map<std::string, Session, std::less<>> Sessions;
  std::set<std::string> ListedWorkers; ///< While the registry is read anew.
  dispatch::Planner Planner;
  dispatch::UsualRates Rates;
  std::set<std::string, std::less<>>
      UnfinishedJobs; ///< Jobs that have not ended.
  std::set<std::string, std::less<>> GuaranteedJobs;
  /// Workers on which a task of the step failed.
  std::map<UnitId, std::set<std::string>> FailedWorkers;
  double UrgentDemand = 0; ///< GPUs; decays slowly.
  MonoTime DemandUpdatedAt{};
  std::map<UnitId, Advice> AdviceByStep; ///< By step.
  unsigned AdviceCalls = 0;              ///< In flight.
  bool PlanNeeded = true;
  bool WorkWaiting = false; ///< The latest plan left something waiting.
  bool Stopping = false;
  bool Deposed = false;
  bool CallsDue = false; ///< A run is to be started or stopped now.
  MonoTime CallsCheckedAt{};
  MonoTime RunsCheckedAt{};
  MonoTime MajorityAnsweredAt{}; ///< When most workers answered last.
  MonoTime PlannedAt{};
  Millis PlanDuration{};
  MonoTime JobsExpiredAt{};
  MonoTime ActiveSince{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace heathersaddle::cluster

#endif
