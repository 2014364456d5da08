#ifndef HEATHERSADDLE_CLUSTER_INTAKE_H
#define HEATHERSADDLE_CLUSTER_INTAKE_H

#include "Core.h"

namespace heathersaddle::cluster {

/// A job that waits to be stored.
struct Submission {
  std::string Job;
  std::string Queue;
  unsigned Priority = 0;
  std::int64_t WorkMs = 0; ///< Of whole workers.
  MonoTime Started{};
  KeyValue Record;
  std::function<void(std::optional<Refusal>)> Done;
};

/// Tells the caller, and the log, that the job was not accepted.
void refuse(Core &C, const Submission &S, bool CertainlyNotStored);

/// Stores what callers hand in: one append under way at most, and the next one
/// takes all that has come meanwhile.
class Intake {
public:
  explicit Intake(Core &C) : Shared(C) {}
  ~Intake() { *Alive = false; }
  Intake(const Intake &) = delete;
  Intake &operator=(const Intake &) = delete;

  /// Called before the caller is answered, with the offset of the append.
  std::function<void(const Submission &, std::uint64_t Offset)> OnStored;
  /// Whether the store is known not to answer this daemon.
  std::function<bool()> Unreachable;

  void add(Submission S);

private:
  void flush();
  void send();
  void onResult(const AppendResult &R);

  Core &Shared;
  std::vector<Submission> PendingSubmissions;
  std::vector<Submission> InFlightSubmissions;
  unsigned AttemptsLeft = 0;
  bool EarlierAttemptUnanswered =
      false; ///< An earlier try may still take effect.
  MonoTime SentAt{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace heathersaddle::cluster

#endif
