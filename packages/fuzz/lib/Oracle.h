#ifndef HEATHERSADDLE_FUZZ_ORACLE_H
#define HEATHERSADDLE_FUZZ_ORACLE_H

#include "Callers.h"

namespace heathersaddle::fuzz {

/// Time to record the stop of a gang that has lost a task. It is added to two
/// worker leases, because the loss itself may be detected only when a lease
/// expires.
inline constexpr Millis GangStopMargin{10'000};
/// How soon a daemon must have an accepted list version after the acceptance
/// was confirmed or the daemon's last fault ended, whichever is later
/// (requirement 8).
inline constexpr Millis ListPropagationLimit{8'000};

/// Checks the requirements from outside: from the answers to callers, the audit
/// trails of the workers, and the records of the log.
class Oracle {
public:
  Oracle(Environment &Env, Callers &AllCallers, Millis WorkerLease)
      : Env(Env), AllCallers(AllCallers), WorkerLease(WorkerLease) {}

  /// Takes a record of `control` when it is appended.
  void onRecord(std::uint64_t Offset, const std::string &Text);
  /// Checks everything that must hold at any time.
  void checkNow();
  /// Checks the lists only; cheap enough for short intervals.
  void checkLists();
  /// Whether every accepted job has ended in the log and at every daemon.
  bool allEnded() const;
  /// Checks what must hold once all faults are healed and time has passed.
  void checkEnd();
  /// Checks that no task holds slots any more.
  void checkNothingRuns();

  const state::State &referenceState() const { return Reference; }

private:
  struct TaskRun {
    const standin::AuditEntry *Entry;
    const WorkerHost *Worker;
    Millis ReservedAt, StartedAt, EndedAt; ///< Virtual time.
    bool Active; ///< Not ended yet; EndedAt is the present time.
  };
  using AttemptId = std::pair<std::string, unsigned>;

  std::map<AttemptId, std::vector<TaskRun>> attempts() const;
  void checkStarts(const std::map<AttemptId, std::vector<TaskRun>> &Attempts);
  void checkGang(const AttemptId &Attempt,
                 const std::vector<TaskRun> &TaskRuns);
  void checkLostTask(const AttemptId &Attempt, const TaskRun &Lost,
                     const std::vector<TaskRun> &TaskRuns);
  void checkAnswers(const std::map<AttemptId, std::vector<TaskRun>> &Attempts);
  void checkSlots();
  std::string explanation(const state::Job &J) const;
  void checkDigests();
  void checkStop(const state::StopRequested &Stop, bool Guaranteed);

  Environment &Env;
  Callers &AllCallers;
  Millis WorkerLease;
  state::State Reference; ///< The log applied by the oracle.
  std::map<std::string, unsigned> EndRecordsByJob;
  std::map<std::uint64_t, std::string> Digests; ///< By offset.
  struct DaemonLists {
    unsigned Generation = 0;
    bool WasReady = false;
    std::uint64_t Versions[2] = {0, 0};
  };
  std::map<std::string, DaemonLists> ListsByDaemon;
};

} // namespace heathersaddle::fuzz

#endif
