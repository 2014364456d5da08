#ifndef HEATHERSADDLE_CLUSTER_OWNER_H
#define HEATHERSADDLE_CLUSTER_OWNER_H

#include "CallBudget.h"
#include "CopyPacing.h"
#include "EntryVerdict.h"
#include "LossEstimate.h"
#include "RecordRoom.h"
#include "Tail.h"
#include "Writer.h"
#include "heathersaddle/cluster/LeaseTerms.h"
#include "heathersaddle/dispatch/Crashes.h"
#include "heathersaddle/dispatch/Pace.h"
#include "heathersaddle/dispatch/Planner.h"
#include "heathersaddle/dispatch/Stall.h"
#include "heathersaddle/dispatch/WorkerSpeed.h"
#include <deque>
#include <set>
#include <tuple>

namespace heathersaddle::cluster {

/// The first syncs of an owner get more time than later ones, as they go to all
/// workers at once.
inline constexpr Millis FirstSyncTimeout{1'200};
inline constexpr Millis SyncRetryDelay{250};

/// A worker on which this many distinct jobs have failed since the last success
/// counts as failing: it gets no work for a while and is used last after that.
inline constexpr std::size_t FailingWorkerJobs = 2;

/// Nothing is placed with a ticket in this time before it expires, so that the
/// start still arrives in time.
inline constexpr Millis TicketMargin{500};

/// How many calls the estimates of the share of lost calls remember: to one
/// worker, and to all.
inline constexpr double WorkerLossMemory = 24;
inline constexpr double PoolLossMemory = 512;

/// Why a start on a worker that isDrained() is revoked.
inline constexpr std::string_view DataCentreDrained =
    "its data centre is drained";

using dispatch::UnitId;
using workload::Job;
using workload::JobState;
using workload::TaskKey;
using workload::TaskPhase;
using workload::TaskProgress;

/// The step of a task, as a unit with index 0 like that of a gang.
inline UnitId stepOf(const TaskName &Task) {
  return {Task.Job, Task.Key.Occurrence, Task.Key.Step, 0};
}

/// The unit that a task belongs to.
inline UnitId unitOf(const Job &J, const TaskKey &K) {
  return {J.Spec.Id, K.Occurrence, K.Step,
          J.Spec.Steps[K.Step].Gang ? 0 : K.Index};
}

/// State of a run on its worker.
enum class RunStage {
  Recording, ///< The placement is not stored yet; no call has been sent.
  Starting,  ///< The worker may or may not have received the start.
  Confirmed, ///< The worker has confirmed the run.
  Stopping ///< To be stopped; holds its resources until the worker reports the
           ///< end.
};

struct RunState {
  workload::Resources Room;
  RunStage Stage = RunStage::Recording;
  unsigned StartsInFlight = 0;
  unsigned StopsInFlight = 0;
  bool MayHaveArrived = false;
  /// The worker has shown that it began the run, or may have shown it to an
  /// earlier owner.
  bool MayHaveBegun = false;
  bool StopConfirmed = false;
  bool HeldBack = false;       ///< A limit holds back a call that is due.
  bool CopiesHeldBack = false; ///< A limit has held back a copy of its start.
  /// Its worker crashed under it. It is stopped in the next incarnation, where
  /// its start may still arrive.
  bool Crashed = false;
  bool Adopted = false; ///< An earlier owner recorded it.
  /// When its unit was at work, by the worker's clock; -1: not known to be.
  std::int64_t AtWorkFromClockMs = -1;
  /// Its worker has shown it at work for dispatch::ClearedAfter.
  bool ShownAtWork = false;
  /// So were all members of its gang, so that it does not crash its worker.
  bool Cleared = false;
  /// The incarnation of the worker that it was placed on; 0: not known.
  std::int64_t WorkerStartMs = 0;
  std::string_view StopReason; ///< Set with the stage Stopping.
  unsigned StartAttempts = 0;
  unsigned StopAttempts = 0;
  MonoTime PlacedAt{};
  /// When this owner first sent the start, or took the run over.
  MonoTime StartingSince{};
  /// When the latest start or, later, the latest stop was sent.
  MonoTime SentAt{};
  MonoTime RetryAt{};
  MonoTime ConfirmedAt{}; ///< When the start or, later, the stop was confirmed.
  dispatch::Pace Speed;
  /// It was an observation of its worker's speed, or can't be one.
  bool SpeedObserved = false;
  /// All members of its gang run; always set with the confirmation if it has no
  /// gang.
  bool AllMembersConfirmed = false;
  unsigned Percent = 0;
  MonoTime ProgressAt{}; ///< Time of the latest change of the percentage.
  /// The first percentage that was read, and when: a run that resumes from a
  /// checkpoint, or that an earlier owner started, does not begin at zero.
  std::optional<unsigned> FirstPercent;
  MonoTime FirstPercentAt{};
  MonoTime CheckpointAt{};
  std::string Checkpoint;
  std::string Ticket;
  MonoTime TicketValidUntil{}; ///< If it has a ticket.
};

struct RunId {
  TaskName Task;
  unsigned Run = 0;
  bool operator==(const RunId &) const = default;
  bool operator<(const RunId &O) const {
    return std::tie(Task, Run) < std::tie(O.Task, O.Run);
  }
};

/// A registry entry that names another incarnation of its worker than the known
/// one, until the worker has answered which one it is.
struct IncarnationClaim {
  WorkerEntry Entry;
  MonoTime ReadAt{};
  std::uint64_t LatestCall = 0; ///< Number of the latest call when it was read.
};

/// A run that was taken for lost when its lease had expired.
struct LapsedRun {
  bool Begun = false;    ///< As RunState::MayHaveBegun.
  bool Cleared = false;  ///< As RunState::Cleared.
  base::Millis RanFor{}; ///< How long it may have been at work by then.
};

/// The session with a worker: what this owner knows about its current
/// incarnation and about all runs that may hold resources on it.
struct Session {
  WorkerEntry Entry;      ///< With the start time of the known incarnation.
  bool Described = true;  ///< Entry describes the known incarnation.
  bool Confirmed = false; ///< It has answered a sync at the address in Entry.
  bool Listed = true;     ///< The registry lists the worker.
  bool Synced = false;    ///< The worker has answered a sync under this epoch.
  /// Oldest first. The worker is asked at the address of each in turn.
  std::vector<IncarnationClaim> Claims;
  std::size_t NextClaim = 0;     ///< Index of the claim to be asked about next.
  std::uint64_t ProbeNumber = 0; ///< Number of the call in flight; 0: none.
  MonoTime NextProbeAt{};
  bool SyncInFlight = false;
  std::uint64_t SyncNumber = 0; ///< Number of the sync in flight; 0: none.
  MonoTime SyncSentAt{};        ///< When its first copy was sent.
  MonoTime SyncEndsAt{};        ///< When all its copies end.
  MonoTime NextSyncCopyAt{};
  std::int64_t SyncLeaseUntilMs = -1; ///< As in SyncAction.
  unsigned MaxSyncCopies = 0;         ///< Of the sync in flight.
  unsigned SyncCopies = 0;            ///< Sent, and of these in flight.
  unsigned SyncCopiesInFlight = 0;
  /// Orders had no answer when the sync in flight was first sent.
  bool OrdersPending = false;
  bool SyncCopyHeldBack = false; ///< A limit holds back a copy that is due.
  /// The end of the lease that the sync in flight grants, and of the latest
  /// lease that the worker has confirmed.
  MonoTime SyncLeaseEndsAt{};
  MonoTime HeldLeaseEndsAt{};
  unsigned CallsInFlight = 0; ///< Starts, stops and copies of syncs.
  CopyPacing Pacing;
  LossEstimate Losses{WorkerLossMemory};
  unsigned LossesSinceAnswer = 0;
  /// When the first call was sent, or its answer was due, that followed the
  /// latest answer; 0: there is none.
  MonoTime UnansweredSince{};
  MonoTime LatestAnswerAt{}; ///< Of this incarnation.
  /// The earliest time, after that, at which a call failed or its answer was
  /// due and did not come.
  std::optional<MonoTime> SilentSince;
  MonoTime LatestLossAt{}; ///< When a call was last found to have no answer.
  MonoTime NextSyncAt{};
  MonoTime ClockReadAt{};
  std::int64_t ClockMs = -1; ///< The worker's clock at ClockReadAt.
  /// Latest time, by this daemon's clock, at which a granted lease can expire.
  MonoTime LeaseEndsAt{};
  MonoTime LatestGrantAt{}; ///< To the current incarnation.
  /// Until when a grant to an earlier incarnation may be carried out by the
  /// current one; 0: there is none.
  MonoTime StrayGrantsUntil{};
  /// Number of the latest end that has been handled.
  std::uint64_t LastHandledEnd = 0;
  /// Number of the latest end whose effect is stored.
  std::uint64_t LastStoredEnd = 0;
  /// Number of the latest end whose acknowledgement this incarnation of the
  /// worker has received, and of the latest end that the sync in flight
  /// acknowledges.
  std::uint64_t LastAcknowledgedEnd = 0;
  std::uint64_t SyncAcknowledgesTo = 0;
  /// Earliest time at which a draining worker may be removed.
  MonoTime LeavesAt{};
  MonoTime AvoidUntil{};
  dispatch::SlowWorkerDetector Slowness;
  dispatch::WorkerSpeed Speed; ///< Of the current incarnation.
  int SpeedClass = 0;          ///< As of the latest event about it.
  /// Jobs that failed here since the last success.
  std::set<std::string> FailedJobs;
  /// When the current incarnation was first seen.
  MonoTime IncarnationSeenAt{};
  /// Latest time at which the current incarnation is known to have been
  /// running.
  MonoTime KnownAliveAt{};
  /// When each start without an answer was sent last. A stop blocks a delayed
  /// start only in the incarnation that received the stop.
  std::map<RunId, MonoTime> UnansweredStarts;
  /// If the worker turns out to have been replaced, it has crashed under them.
  std::map<RunId, LapsedRun> LapsedRuns;
  MonoTime LapsedAt{};
  unsigned SyncFailures = 0;
  std::map<RunId, RunState> Runs;
};

/// The workers that the advisor allows to run a step, with their tickets.
struct Advice {
  std::map<std::string, std::string> Tickets;
  std::set<std::string> AskedWorkers;
  bool InFlight = false;
  bool HeldBack = false; ///< The limit holds back a call that is due.
  MonoTime ValidUntil{};
  MonoTime NextAskAt{};
};

/// Schedules all work while this daemon is the owner.
class Owner {
public:
  /// The claim was first sent at \p ClaimedAt. Leases of earlier owners end by
  /// \p FormerLeasesEnd.
  Owner(Core &C, std::uint64_t Epoch, std::uint64_t Sequence,
        MonoTime ClaimedAt, MonoTime FormerLeasesEnd);
  ~Owner();
  Owner(const Owner &) = delete;
  Owner &operator=(const Owner &) = delete;

  /// Called at most once, when a later owner exists.
  std::function<void(std::string_view Reason)> OnDeposed;

  void tick();
  /// Called after a record that a caller wrote about this job was read.
  void jobChanged(std::string_view Job);
  /// Called after the set of drained data centres has changed.
  void drainChanged(const DrainChange &Change);
  /// Stores a submission together with the owner's own records.
  void store(Submission S) { RecordWriter.add(std::move(S)); }
  AppendState appendState() const { return RecordWriter.appendState(); }
  std::function<void(const Submission &, std::uint64_t Offset)> &onStored() {
    return RecordWriter.OnStored;
  }
  void failPendingSubmissions() { RecordWriter.failPendingSubmissions(); }
  void beginStop();
  bool released() const { return RecordWriter.released(); }
  std::uint64_t epoch() const { return Epoch; }
  /// The number of jobs whose records the store does not take.
  std::size_t withheldJobs() const { return RecordWriter.withheldJobs(); }
  /// All registry entries that were stored this long ago have been read; none
  /// before the registry was first read to its end.
  std::optional<Millis> registryAge() const {
    return Registry.caughtUp() ? std::optional(Registry.age()) : std::nullopt;
  }

private:
  // OwnerRegistry.cpp: the registry and the incarnations of workers.
  void onRegistryChange(RegistryChange &&Change);
  /// Takes an entry that describes the known incarnation.
  void describeWorker(Session &S, WorkerEntry &&E, MonoTime ReadAt);
  void addClaim(Session &S, WorkerEntry &&E);
  /// Asks the worker, at the address of a claim, which incarnation it is.
  void probe(const std::string &Id, Session &S);
  void onProbed(const std::string &Id, std::uint64_t Number,
                const std::string &Address, const WorkerReply &R);
  /// Settles the claims that were read before the call \p Number was sent: the
  /// worker has answered it at \p Address as the incarnation that started at
  /// \p ProcessStartMs.
  void settleIncarnation(Session &S, std::int64_t ProcessStartMs,
                         const std::string &Address, std::uint64_t Number);
  /// Abandons the sync in flight; its answer would be about another
  /// incarnation or from another address.
  void abandonSync(Session &S);
  /// Whether the configuration or an unfinished job names the service. Entries
  /// of other services are read again when it does.
  bool isServiceInUse(const std::string &Service);
  void learnService(const std::string &Service);
  void learnServices();

  // OwnerWorkers.cpp: the sessions with workers.
  /// The session with a worker that a record names; the registry has not been
  /// read.
  Session &recordedWorker(const std::string &Id, std::int64_t ProcessStartMs,
                          const std::string &Address);
  void adoptRecordedRuns(Session &S);
  void onWorkerRestarted(Session &S, std::int64_t ProcessStartMs);
  void markRunsLost(Session &S, std::string_view Why);
  void checkWorkers();
  struct MemberProgress {
    dispatch::RunProgress Progress;
    std::string Worker;
  };
  /// The progress of all members of the run's gang; empty if that of a member
  /// is not known.
  std::vector<MemberProgress> gangProgress(const Job &J,
                                           const RunId &Run) const;
  void stopStalledRuns(const std::string &Id, Session &S);
  void evacuate(const std::string &Id, Session &S);
  /// When all runs of a worker that is not heard of have certainly ended.
  MonoTime silentRunsEndAt(const Session &S) const;
  /// Returns whether the store has confirmed recently enough that this daemon
  /// is the owner. If not, another one may be, and this one gives no orders.
  bool isConfirmed();

  // OwnerSyncs.cpp: leases, and what the answers to syncs tell.
  /// The latest end, by this daemon's clock, of a lease granted now; none if
  /// this owner may grant none.
  std::optional<MonoTime> leaseEnd() const;
  /// The deadline, by the worker's clock, of a lease granted now.
  std::optional<std::int64_t> grantLease(Session &S);
  void sync(const std::string &Id, Session &S);
  /// Whether the worker may be carrying out an order without an answer.
  static bool hasPendingOrders(const Session &S);
  /// Sends another copy of the sync in flight, within the limits.
  void copySync(const std::string &Id, Session &S);
  void sendSync(const std::string &Id, Session &S, Millis Wait);
  void onSynced(const std::string &Id, std::uint64_t Number, bool Copy,
                const WorkerReply &R);
  void updateClock(Session &S, const WorkerReply &R);
  /// Whether the clock in the answer to a call sent at \p SentAt shows that the
  /// worker has restarted.
  bool clockRestarted(const Session &S, const WorkerReply &R,
                      MonoTime SentAt) const;
  /// Whether another copy of the sync in flight may follow.
  bool mayCopySync(const Session &S) const;
  /// Called when no copy of the sync in flight can be answered any more.
  void failSync(const std::string &Id, Session &S);
  /// Whether reports of the worker arrive, so that its leases are renewed and
  /// it is used.
  bool isHeardOf(const Session &S) const;
  /// Whether the worker has answered none of the calls of the latest time.
  bool isSilent(const Session &S) const;
  /// The share of calls to the worker without an answer; 0 if it is silent.
  double lossOf(const Session &S) const;
  /// Takes note of a call that is sent and answered at \p DueAt at the
  /// earliest.
  static void recordCall(Session &S, MonoTime DueAt);
  /// Takes note of whether a call was answered, and how long after \p DueAt,
  /// the earliest time at which its answer was due.
  void recordAnswer(Session &S, WorkerVerdict V, MonoTime DueAt);
  /// Takes note of an answer of the known incarnation.
  void noteAnswer(Session &S);
  /// How long the worker may wait before it answers the next sync.
  Millis syncWait(const Session &S) const;
  /// Handles answers, to calls sent to \p Address, that end this owner's term
  /// or the worker's session; returns whether it was one.
  bool endsSession(Session &S, WorkerVerdict V, const std::string &Address);
  /// \p ClockMs is the worker's clock at the report.
  void onRunReported(Session &S, const RunningTask &T, std::int64_t ClockMs);
  void onEndReported(Session &S, const EndedTask &T);

  // OwnerPace.cpp: the speeds of workers, and detection of slow workers.
  /// Adds the run to those of its step from which speeds are learned, if it
  /// tells something about its worker's speed.
  void addRunTime(Session &S, const RunId &Id, RunState &R,
                  std::vector<dispatch::RunProgressTime> &Runs);
  /// Learns from a run that has ended successfully.
  void observeEnd(Session &S, const RunId &Id);
  /// Learns from the progress of all runs.
  void updateSpeeds();
  /// The factor of the worker's speed by which its rates are corrected before
  /// they are compared with others.
  double rateFactor(const Session &S) const;
  struct RunRate {
    const Job *RunJob = nullptr;
    const workload::Step *Step = nullptr;
    dispatch::Rate Rate = 0;
  };
  /// None if the run tells nothing about its worker's speed.
  std::optional<RunRate> rateOf(const Session &S, const RunId &Id,
                                const RunState &R) const;
  /// Whether the unit is expected to take longer because it runs in another
  /// rack than its data or is spread over several racks.
  bool hasRemotePlacement(const Session &S, const workload::Step &Step,
                          const Job &J, const RunId &Id) const;
  void updateRates();
  /// Compares the worker's runs with the usual rates and moves work off it if
  /// it is slow.
  void checkWorkerSpeed(const std::string &Id, Session &S);

  // OwnerOrders.cpp: starts and stops that are sent to workers.
  enum class OrderKind { Start, Stop };
  /// Counts an order that is being sent, and returns the callback for its
  /// answer. It passes the answer on if the owner, the worker's session and the
  /// run still exist.
  std::function<void(WorkerReply)> trackOrder(const std::string &Worker,
                                              const RunId &Id, OrderKind Kind);
  void sendStart(const std::string &Worker, const RunId &Id);
  /// Called when the run's placement is stored.
  void makeStartDue(const std::string &Worker, const RunId &Id);
  /// Why the worker must not be told to start the run now; empty if it may.
  std::string_view startFault(const Session &S, const RunState &R) const;
  /// Whether starts have to wait until the topics have been read.
  bool startsWaitForState();
  void onStarted(Session &S, RunState &R, const RunId &Id, MonoTime SentAt,
                 const WorkerReply &Reply);
  void sendStop(const std::string &Worker, const RunId &Id);
  void onStopped(Session &S, RunState &R, MonoTime SentAt,
                 const WorkerReply &Reply);
  struct DueOrder {
    OrderUrgency Urgency;
    std::string Worker;
    RunId Id;
  };
  /// The orders that are due, the most urgent first. Gives up starts that have
  /// had no answer for \p GiveUpAfter.
  std::vector<DueOrder> dueOrders(Millis GiveUpAfter);
  OrderUrgency urgencyOf(const RunId &Id, const RunState &R,
                         const std::map<UnitId, unsigned> &Starting) const;
  void giveUpStart(const std::string &Worker, Session &S, const RunId &Id);
  void sendDueCalls();
  /// Counts an order or a copy of a sync that a limit holds back, once until it
  /// is sent.
  void noteHeldBack(bool &HeldBack, std::string_view Counter,
                    unsigned &SinceReport);
  /// Logs the calls held back, at most once a second; \p Waiting orders are
  /// held back now.
  void reportHeldCalls(std::size_t Waiting);
  /// Stops the run in an incarnation of the worker to which its start was not
  /// sent, but may still arrive.
  void barInThisIncarnation(Session &S, const RunId &Id);

  // OwnerDrains.cpp: data centres that the operator wants drained.
  bool isDrained(const Session &S) const;
  bool isDrainedWorker(std::string_view Worker) const;
  /// Whether starts have to wait until more is known of the requests.
  bool startsWaitForDrains(const Session &S);

  // OwnerRuns.cpp: the stages and ends of runs.
  struct UnitMember {
    RunId Id;
    const Session *On = nullptr;
    RunState *Run = nullptr;
  };
  /// The run \p R on \p S, or all members of its gang; empty if one of them is
  /// not confirmed.
  std::vector<UnitMember> confirmedMembers(Session &S, RunState &R,
                                           const RunId &Id);
  /// The worker has confirmed the run.
  void onConfirmed(Session &S, RunState &R, const RunId &Id);
  /// A worker has shown that it has started a run of the job. Until then the
  /// job counts as queued, as its starts may come to nothing.
  void markBegun(std::string_view Job);
  /// \p Why is logged with the end of the run; it must outlive the run, as a
  /// literal does.
  void stopRun(Session &S, const RunId &Id, std::string_view Why);
  void stopUnit(const UnitId &Unit, std::string_view Why);
  void stopJob(const std::string &Job, std::string_view Why);
  /// Expected remaining time of a run.
  Millis remainingTime(const workload::Step &Step, const RunState &R) const;
  std::int64_t lostCoreSeconds(const RunState &R, EndReason Why,
                               const std::string &Saved) const;
  /// Called when the run has ended or certainly never began.
  void finishRun(const RunId &Id, EndReason Why, const std::string &Checkpoint,
                 Session &S);
  void storeCheckpoint(Job &J, const TaskKey &Task, const std::string &Saved);
  void completeIfDone(Job &J);
  void endJob(Job &J, JobState State, std::string_view Why);
  bool isCurrentRun(const RunId &Id) const;

  // OwnerCrashes.cpp: tasks that crash their workers.
  /// A run that was present on a worker when it crashed.
  struct CrashedRun {
    RunId Id;
    LapsedRun State;
    bool Late = false; ///< Its lease had expired before the crash was known.
  };
  /// A crash under a run that may have caused it.
  struct SuspectedRun {
    CrashedRun Run;
    std::string WorkerAddress; ///< Or its id, if the address is not known.
    dispatch::WorkerCrash Crash;
    dispatch::CrashCircumstances Circumstances;
    unsigned Decibans = 0; ///< As counted.
  };
  /// The runs that this incarnation of the worker may have carried out.
  static std::set<RunId> runsPresent(const Session &S);
  /// What is known now of a run on a worker that is no longer heard of.
  LapsedRun lapsedRun(const Session &S, const RunId &Id) const;
  /// Whether another worker has answered this owner at the worker's address.
  bool isReplaced(const Session &S) const;
  /// Counts the crashes of other workers at the worker's address under runs
  /// whose lease has expired.
  void recordCrashesOfFormerWorkers(const Session &S);
  /// Records the runs that the worker may have had when their lease expired, so
  /// that a later owner, too, counts a crash that shows only then.
  void recordLapsedRuns(Session &S);
  /// Called once it is known whether the worker has crashed under them.
  void forgetLapsedRuns(Session &S);
  /// Takes over the runs whose lease expired under earlier owners.
  void adoptLapsedRuns();
  /// Counts the crash of the worker against the tasks of \p Runs and of the
  /// runs whose lease expired before it was known.
  void recordCrash(Session &S, const std::set<RunId> &Runs);
  void countCrash(SuspectedRun Suspect);
  /// Weakens the evidence of a crash by the crashes that have been seen since.
  void reviewCrash(const SuspectedRun &Suspect);
  void reviewCrashes();
  /// The groups of workers among which crashes may be frequent: all, those of
  /// a rack, of a data centre and with the same label.
  static std::set<std::string, std::less<>> groupsOf(const WorkerEntry &E);
  /// The number of listed workers in each group.
  dispatch::GroupSizes groupSizes() const;
  /// Takes note that the run is at work at \p ClockMs by its worker's clock.
  void noteAtWork(Session &S, RunState &R, const RunId &Id,
                  std::int64_t ClockMs);
  /// Ends the row of crashes of the run's task.
  void clearSuspicion(RunState &R, const RunId &Id);
  /// The longest wait before the worker reports again, if the run is that of a
  /// suspect and has not been at work for long.
  std::optional<Millis> suspectWait(const Session &S, const RunState &R,
                                    const RunId &Id) const;
  /// Handles the recorded runs that an earlier incarnation of the worker had,
  /// when the worker answers this owner for the first time.
  void findRunsOfEarlierIncarnation(Session &S, const WorkerReply &Reply);
  /// Whether the task certainly crashes its workers, so that its job fails.
  /// Tasks that last start again however they end.
  static bool crashesItsWorkers(const Job &J, const TaskKey &K,
                                const TaskProgress &T);
  /// Whether the task is to be given up if a worker on which its lease expired
  /// turns out to have crashed.
  bool mayHaveCrashedTooOften(const Job &J, const TaskKey &K,
                              const TaskProgress &T) const;
  /// Avoids the workers that have crashed under the task, in any incarnation:
  /// another crash of theirs would tell little.
  void avoidCrashedWorkers(dispatch::WaitingTasks &W,
                           const TaskProgress &T) const;
  void checkSuspendedUnits();
  /// Fails the job if a task of the unit crashes its workers.
  void giveUpIfItCrashesWorkers(const UnitId &Unit);

  // OwnerAdvice.cpp: queues for which an advisor chooses the workers.
  /// The tickets for a step; null while there is none.
  const std::map<std::string, std::string> *
  ticketsFor(const Job &J, unsigned Occurrence, unsigned Step);
  void requestAdvice(const UnitId &Step, const Job &J, Advice &A);
  void onAdvice(const UnitId &Step, std::int64_t ValidMs,
                const base::Expected<std::map<std::string, std::string>> &R);

  // OwnerSchedule.cpp: placement of tasks on workers.
  void schedule();
  dispatch::Fleet buildFleet(std::int64_t NowMs);
  std::vector<dispatch::WaitingTasks> buildQueue(std::int64_t NowMs);
  /// The room in the records of jobs, by the names of the workers now.
  RecordRoom recordRoom() const;
  std::int64_t urgentDemand();
  void markGuaranteed(std::vector<dispatch::WaitingTasks> &Queue);
  /// Why the placement can't be carried out; empty if it can.
  std::string_view faultOf(const dispatch::TaskPlacement &P,
                           const dispatch::Fleet &Fleet) const;
  void applyPlan(const dispatch::Plan &Plan, const dispatch::Fleet &Fleet);
  void publishLoad(workload::Ownership &O) const;
  void removeExpiredJobs();
  /// Releases ownership when most workers do not answer, as another daemon may
  /// reach them.
  void checkReachability();
  void depose(std::string_view Reason);

  Core &Shared;
  std::uint64_t Epoch;
  Writer RecordWriter;
  Tail<RegistryChange> Registry;
  std::map<std::string, Session, std::less<>> Sessions;
  std::set<std::string> ListedWorkers; ///< While the registry is reread.
  std::uint64_t LatestCall = 0;        ///< Number of the latest sync or probe.
  std::set<std::string, std::less<>> ServicesInUse;
  std::shared_ptr<const Configuration> ServicesFrom;
  /// An entry was ignored because its service was not in use.
  bool UnusedServiceListed = false;
  dispatch::Planner Planner;
  dispatch::UsualRates Rates;
  dispatch::SpeedModel Speeds;
  bool SpeedsDiffer = false; ///< As of the latest event about it.
  std::set<std::string, std::less<>> UnfinishedJobs;
  std::set<std::string, std::less<>> GuaranteedJobs;
  /// When this owner first read each cancellation of an unknown job.
  std::map<std::string, MonoTime> UnsubmittedCancelsSince;
  /// Since when each step has had tasks that wait without a break.
  std::map<UnitId, MonoTime> WaitingSince;
  dispatch::CrashHistory Crashes;
  std::deque<SuspectedRun> CountedCrashes; ///< To be reviewed; oldest first.
  /// Until when units do not start, as their workers have crashed.
  std::map<UnitId, MonoTime> SuspendedUntil;
  /// Workers on which a task of the step has failed.
  std::map<UnitId, std::set<std::string>> FailedWorkers;
  double UrgentDemand = 0; ///< In GPUs; decays exponentially.
  MonoTime DemandUpdatedAt{};
  std::map<UnitId, Advice> AdviceByStep;
  unsigned AdviceCalls = 0; ///< Number of calls in flight.
  bool PlanNeeded = true;
  bool WorkWaiting = false; ///< The latest plan left tasks waiting.
  bool Stopping = false;
  bool Deposed = false;
  CallBudget Budget;
  LossEstimate Losses{PoolLossMemory}; ///< Of workers that answer.
  bool CallsDue = false; ///< A call to start or stop a run is due now.
  MonoTime CallsCheckedAt{};
  unsigned OrdersHeldBack = 0; ///< Since the last report.
  unsigned SyncCopiesHeldBack = 0;
  MonoTime HeldCallsReportedAt{};
  MonoTime HeldStartsReportedAt{}; ///< Of starts that wait for drains.
  MonoTime RunsCheckedAt{};
  MonoTime MajorityAnsweredAt{}; ///< Last time that most workers answered.
  MonoTime PlannedAt{};
  Millis PlanDuration{};
  MonoTime JobsExpiredAt{};
  LeaseTerms Leases;
  MonoTime FormerLeasesEnd{}; ///< Of all earlier owners' leases.
  bool WasConfirmed = true;   ///< As of the latest tick.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace heathersaddle::cluster

#endif
