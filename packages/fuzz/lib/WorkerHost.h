#ifndef HEATHERSADDLE_FUZZ_WORKERHOST_H
#define HEATHERSADDLE_FUZZ_WORKERHOST_H

#include "LogHost.h"
#include "heathersaddle/standin/WorkerModel.h"
#include <list>

namespace heathersaddle::fuzz {

inline constexpr unsigned WorkerSlots = 4;

/// The answer that task \p Task of a job of \p Tasks tasks must give to
/// \p Input.
std::string expectedAnswer(std::string_view Input, unsigned Task,
                           unsigned Tasks);
/// The outcome of the task on a worker without faults; depends on the request
/// alone.
standin::TaskOutcome healthyOutcome(const standin::TaskRequest &R);

/// One worker host in virtual time.
class WorkerHost {
public:
  struct Pause {
    Millis From, To;
  };
  /// Called with a description of a daemon's invalid request.
  using ProtocolErrorHandler = std::function<void(std::string)>;

  WorkerHost(Simulation &Sim, Random &Rng, control::HostEntry Entry,
             bool RefuseStoppedAttempts, ProtocolErrorHandler OnProtocolError);

  /// Serves /v1/commands and /v1/sync for a connection that was made while the
  /// worker's boot ID was \p Boot.
  void serve(const std::string &Path, const boost::json::value &Body,
             std::uint64_t Boot, const Reply<boost::json::value> &Done);

  void restart();
  void pause(Millis Duration);
  void delayAnswers(Millis Duration) { extend(DelaysAnswersUntil, Duration); }
  void failTasks(Millis Duration) { extend(FailsTasksUntil, Duration); }
  void holdCommands(Millis Duration) { extend(HoldsCommandsUntil, Duration); }
  void leave(Millis Duration);
  /// Turns the host off; it starts again after \p Duration.
  void turnOff(Millis Duration);
  void heal();

  std::uint64_t boot() const { return Model.boot(); }
  bool isOff() const { return Sim.now() < OffUntil; }
  /// The worker's entry in the platform's host list.
  control::HostEntry entry() const;
  const std::vector<standin::AuditEntry> &audit() const {
    return Model.audit();
  }
  /// Converts a time of the audit trail to virtual time.
  Millis virtualTime(Millis Clock) const { return Clock - ClockSkew; }
  const std::vector<Pause> &pauses() const { return Pauses; }
  const std::string &name() const { return Host.Name; }

private:
  struct HeldSync {
    std::uint64_t Id = 0;
    boost::json::value Body;
    Reply<boost::json::value> Done;
  };
  void extend(Millis &Until, Millis Duration) {
    Until = std::max(Until, Sim.now() + Duration);
  }
  Millis clock() const { return Sim.now() + ClockSkew; }
  void resume();
  void handle(const std::string &Path, const boost::json::value &Body,
              const Reply<boost::json::value> &Done);
  void holdSync(const boost::json::value &Body,
                const Reply<boost::json::value> &Done);
  /// Carries out commands after their caller has received an error.
  void carryOutLate(const boost::json::value &Body,
                    const Reply<boost::json::value> &Done);
  void expireSync(std::uint64_t Id);
  void answerDueSyncs();
  void scheduleChange();
  void answer(const Reply<boost::json::value> &Done,
              standin::WorkerReply Reply);

  Simulation &Sim;
  Random &Rng;
  control::HostEntry Host;
  ProtocolErrorHandler OnProtocolError;
  Millis ClockSkew; ///< Offset of the worker's clock; constant.
  standin::WorkerModel Model;
  std::list<HeldSync> HeldSyncs;
  std::vector<std::function<void()>>
      Backlog; ///< Work that arrived while paused.
  std::vector<Pause> Pauses;
  std::uint64_t NextSyncId = 0;
  /// Only the latest scheduled change is carried out.
  std::uint64_t LatestChangeId = 0;
  Millis PausedUntil{}, DelaysAnswersUntil{}, FailsTasksUntil{}, LeavingUntil{},
      OffUntil{};
  Millis HoldsCommandsUntil{};
};

} // namespace heathersaddle::fuzz

#endif
