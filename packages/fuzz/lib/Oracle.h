#ifndef HEATHERSADDLE_FUZZ_ORACLE_H
#define HEATHERSADDLE_FUZZ_ORACLE_H

#include "Callers.h"

namespace heathersaddle::fuzz {

/// After a member of a gang was lost: two leases, since the loss may itself
/// be found only by a lapsed lease, and time to record the stop.
inline constexpr Millis GangStopMargin{10'000};
/// Bound of requirement 8.
inline constexpr Millis ListPropagationLimit{8'000};

/// Checks the requirements from outside: from what callers were told, what the
/// workers' audit trails show, and what the log holds.
class Oracle {
public:
  Oracle(Environment &Env, Callers &AllCallers, Millis WorkerLease)
      : Env(Env), AllCallers(AllCallers), WorkerLease(WorkerLease) {}

  /// A record of `control`, seen when it is appended.
  void onRecord(std::uint64_t Offset, const std::string &Text);
  /// Checks everything that must hold at any time.
  void checkNow();
  /// Checks the lists only; cheap, for short intervals.
  void checkLists();
  /// Whether every accepted job has ended at every daemon.
  bool allEnded() const;
  /// Checks what must hold after all faults are healed and time has passed.
  void checkEnd();
  /// Checks that nothing runs any more.
  void checkNothingRuns();

  const state::State &referenceState() const { return Reference; }

private:
  struct TaskRun {
    const standin::AuditEntry *Entry;
    const WorkerHost *Worker;
    Millis ReservedAt, StartedAt, EndedAt; ///< Virtual time.
    bool Active; ///< Not ended yet; Ended is the present time.
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
  state::State Reference; ///< The log's own meaning.
  std::map<std::string, unsigned> EndRecordsByJob;
  std::map<std::uint64_t, std::string> Digests; ///< By offset.
  struct DaemonLists {
    unsigned Generation = 0;
    bool WasReady = false;
    std::uint64_t Versions[2] = {0, 0};
  };
  std::map<std::string, DaemonLists> ListsByDaemon; ///< By daemon.
};

} // namespace heathersaddle::fuzz

#endif
