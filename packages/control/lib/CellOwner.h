#ifndef HEATHERSADDLE_CONTROL_CELLOWNER_H
#define HEATHERSADDLE_CONTROL_CELLOWNER_H

#include "AppendQueue.h"
#include "HostList.h"
#include "WorkerLink.h"
#include <set>

namespace heathersaddle::control {

/// Schedules one cell under one epoch. Created when this daemon's claim has
/// been applied and destroyed when the epoch is over. A later owner needs
/// nothing of it: all that must persist is in the state or on the workers.
class CellOwner : public LinkListener,
                  public std::enable_shared_from_this<CellOwner> {
public:
  CellOwner(Core &C, AppendQueue &Queue, HostList &Hosts, std::string Cell,
            std::uint64_t Epoch);
  ~CellOwner() override = default;

  /// Reads the state; call once after construction.
  void begin();
  void tick(bool LogDown);
  void onApplied(const state::Record &R, const state::Verdict &V);
  void release();

  const std::string &cell() const { return Name; }
  std::uint64_t epoch() const { return Epoch; }
  /// Whether the log shows that another daemon or epoch owns the cell.
  bool deposed() const { return Deposed; }
  /// Whether a worker rejected this epoch since the last call, so that the log
  /// should be read at once.
  bool takeReadRequested() { return std::exchange(ReadRequested, false); }
  /// Whether no record is in flight and every worker is synced or lost.
  bool quiescent() const;
  bool released() const { return Released; }
  policy::Explanation explain(std::string_view Job) const;
  /// Called with the answer of a job of which all tasks finished while the log
  /// is down.
  std::function<void(const state::Job &, const std::vector<std::string> &)>
      OnUnrecordedAnswer;
  /// Returns the answer that an earlier owner pushed for the current attempt,
  /// or null.
  std::function<const std::vector<std::string> *(const state::Job &)>
      FindPushedAnswer;

  void onEvent(const std::string &Worker, const WorkerEvent &E) override;
  void onResult(const std::string &Worker, const Command &Cmd, bool Ok,
                std::string_view Code) override;
  void onNoReply(const std::string &Worker, const Command &Cmd) override;
  void onTaskList(const std::string &Worker,
                  const std::vector<ListedTask> &Tasks,
                  std::uint64_t Since) override;
  void onRestarted(const std::string &Worker) override;
  void onEpochRejected(const std::string &Worker) override;
  bool isRecorded(const WorkerEvent &E) const override;
  std::uint64_t nextChange() override { return ++LastChange; }
  base::Millis usagePeriod() const override;

private:
  using TaskState = TaskTrack::TaskState;

  // CellOwner.cpp
  const state::Cell *cellState() const { return NodeCore.State.cell(Name); }
  state::Authority authority() const { return {Name, Epoch}; }
  /// Queues a record about \p Key (a job's id or the name of another subject).
  /// False while an earlier record about \p Key is in flight, or backed off
  /// because records about it were voided.
  bool record(state::Body Body, const std::string &Key);
  void onAppendResult(const std::string &Key, bool IsPlacement,
                      const AppendResult &Result);
  bool recordInFlight(std::string_view Key) const {
    return KeysInFlight.contains(Key);
  }
  void tickLinks();
  void sweep();
  void heartbeat();
  WorkerLink *link(std::string_view Worker);

  // CellScheduling.cpp
  void notifyScheduler(const state::Body &Body, const state::Verdict &V);
  void addPendingJob(const state::Job &J);
  void updateTerms();
  void beginScheduling();
  void decide();
  void carryOut(const policy::PlaceDecision &D);
  void carryOut(const policy::StopDecision &D);
  void carryOut(const policy::HomesDecision &D);
  void carryOut(const policy::EndDecision &D);
  void carryOut(const policy::WorkerDecision &D);
  void reroute();
  void rerouteJob(const state::Job &J);
  void removeOldJobs();

  // CellWorkers.cpp
  void reviewWorkers();
  void reviewHost(const HostEntry &H);
  void reviewLinks();
  void reviewStatus(const std::string &Worker, const state::Worker &W);
  bool recordWorker(state::Body Body, const std::string &Worker);
  pool::WorkerStatus wantedStatus(const std::string &Worker,
                                  const state::Worker &W);

  // CellDispatch.cpp
  /// Begins to track the current attempt of \p J.
  void track(const state::Job &J, bool PlacedByThisOwner);
  void advanceDirty();
  void advance(const std::string &Id, const state::Job &J, AttemptTrack &T);
  void advanceTask(const state::Job &J, AttemptTrack &T, unsigned Task);
  void checkWorkerLoss(const state::Job &J, AttemptTrack &T, unsigned Task);
  void send(CommandKind Kind, const state::Job &J, AttemptTrack &T,
            unsigned Task);
  void stopUntracked(const std::string &Worker, const TaskId &N);
  void stopAll(const state::Job &J, AttemptTrack &T);
  void commitStart(const state::Job &J, AttemptTrack &T);
  struct Found {
    const state::Job *Job = nullptr;
    AttemptTrack *Track = nullptr;
    TaskTrack *Task = nullptr;
  };
  Found find(const std::string &Worker, const TaskId &N);
  template <class F> void forTasksOn(const std::string &Worker, F Visit);
  static void noteStopped(TaskTrack &X, std::int64_t ProgressMs);
  void applyListedTask(const state::Job &J, TaskTrack &T, const ListedTask *L);
  bool restartable(const state::Job &J) const;
  /// Whether the host list shows the worker leaving, or no longer at all.
  bool isLeaving(std::string_view Worker) const;
  json::object commandBody(CommandKind Kind, const state::Job &J,
                           unsigned Task) const;

  // CellUpkeep.cpp
  void upkeep();
  void checkpoint(const state::Job &J, AttemptTrack &T);
  void throttle(const state::Job &J, AttemptTrack &T, bool On);
  void adjust(const state::Job &J, unsigned Task, CommandKind Kind,
              unsigned Percent);

  // CellOutcomes.cpp
  /// Marks an attempt that cannot succeed; the first reason counts.
  void abandon(AttemptTrack &T, std::string_view Reason);
  void conclude(const state::Job &J, AttemptTrack &T);
  void finish(const state::Job &J, AttemptTrack &T);
  bool end(const state::Job &J, state::Outcome Result, std::string_view Reason,
           bool Ran, std::vector<std::string> Parts = {},
           std::vector<std::string> FailedWorkers = {});
  void endAttempt(const state::Job &J, AttemptTrack &T, bool Ran);
  void endStarted(const state::Job &J, AttemptTrack &T);
  void cancelPending(const state::Job &J);
  bool takePushedAnswer(const state::Job &J, AttemptTrack &T);

  Core &NodeCore;
  AppendQueue &Queue;
  HostList &Hosts;
  std::string Name;
  std::uint64_t Epoch;
  base::MonoTime ClaimedAt;
  bool Deposed = false;
  bool ReadRequested = false;
  bool Released = false;
  bool Releasing = false;
  bool LogDown = false;
  policy::Scheduler Scheduler;
  std::map<std::string, std::shared_ptr<WorkerLink>, std::less<>> Links;
  std::map<std::string, AttemptTrack, std::less<>> Tracks;
  std::set<std::string, std::less<>> Dirty; ///< Jobs to be advanced.
  std::set<std::string, std::less<>> KeysInFlight;
  struct VoidedBackoff {
    unsigned Count = 0; ///< In a row.
    base::MonoTime RetryAt{};
  };
  std::map<std::string, VoidedBackoff, std::less<>> VoidedBackoffs;
  unsigned PlacementsInFlight = 0;
  bool DecideWanted = true;
  std::uint64_t LastChange = 0;
  std::uint64_t HostListGeneration = 0;
  std::size_t TasksTracked = 0; ///< At the last sweep.
  std::string RerouteCursor;    ///< Last job examined by reroute(), or empty.
  std::map<std::string, base::MonoTime, std::less<>> WorkerRetryAt;
  // When the next round of each periodic task is due.
  base::MonoTime HeartbeatAt{};
  base::MonoTime DecideAt{};
  base::MonoTime ReviewAt{};
  base::MonoTime SweepAt{};
  base::MonoTime UpkeepAt{};
  base::MonoTime RerouteAt{};
  base::MonoTime RemovalAt{};
};

} // namespace heathersaddle::control

#endif
