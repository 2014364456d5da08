#ifndef HEATHERSADDLE_CLUSTER_INTAKE_H
#define HEATHERSADDLE_CLUSTER_INTAKE_H

#include "Core.h"
#include "heathersaddle/cluster/Admission.h"

namespace heathersaddle::cluster {

/// A job, or the cancellation of an unknown one, that is waiting to be stored.
struct Submission {
  std::string Job;
  std::string Queue;
  unsigned Priority = 0;
  std::int64_t WorkMs = 0; ///< In milliseconds of a whole worker.
  MonoTime Started{};
  MonoTime AnswerBy{}; ///< Its caller stops waiting soon after that.
  KeyValue Record;
  std::function<void(std::optional<Refusal>)> Done;
  bool Cancels = false; ///< The record cancels the job.
  /// Whether its caller can still be answered; always if empty.
  std::function<bool()> IsCallerConnected;
};

/// Counts and logs that the job is not stored because its caller has gone.
void logDropped(Core &C, std::string_view Job, std::string_view Queue,
                std::string_view Reason);
/// The answer to a caller that was assumed to have gone.
Refusal abandonedRefusal();
/// Removes the submissions whose callers have closed their connections, and
/// refuses them. They were not sent to the store.
void dropAbandoned(Core &C, std::vector<Submission> &Pending);

/// Logs that the record was not stored and answers the caller accordingly.
void refuse(Core &C, const Submission &S, bool CertainlyNotStored);

/// Answers the caller that the store does not take the record and never will.
void refuseRejected(Core &C, const Submission &S);

/// Stores submissions with at most one append in flight; the next append holds
/// all submissions that arrived in the meantime.
class Intake {
public:
  explicit Intake(Core &C) : Shared(C) {}
  ~Intake() { *Alive = false; }
  Intake(const Intake &) = delete;
  Intake &operator=(const Intake &) = delete;

  /// Called for each stored submission, with the offset of its record, before
  /// its caller is answered.
  std::function<void(const Submission &, std::uint64_t Offset)> OnStored;
  /// Whether the store is known to be unreachable for this daemon.
  std::function<bool()> Unreachable;

  void add(Submission S);
  AppendState appendState() const;

private:
  void flush();
  void send();
  void onResult(const AppendResult &R);

  Core &Shared;
  std::vector<Submission> PendingSubmissions;
  std::vector<Submission> InFlightSubmissions;
  /// How many of the next submissions are sent one by one, since an append with
  /// all of them was rejected.
  std::size_t SentSingly = 0;
  unsigned AttemptsLeft = 0;
  /// An earlier attempt may still take effect.
  bool EarlierAttemptUnanswered = false;
  MonoTime SentAt{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace heathersaddle::cluster

#endif
