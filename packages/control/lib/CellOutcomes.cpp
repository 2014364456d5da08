// Approach: the outcome of an attempt is decided once, when every task is
// final. "Not run" is reported only when no start of any task can have been
// delivered; "unknown" only for a non-idempotent job that may have run and
// whose end was not reported.
#include "CellOwner.h"

namespace heathersaddle::control {

void CellOwner::abandon(AttemptTrack &T, std::string_view Reason) {
  if (std::exchange(T.Abandoned, true))
    return;
  T.Reason = Reason;
}

bool CellOwner::end(const state::Job &J, state::Outcome Result,
                    std::string_view Reason, bool Ran,
                    std::vector<std::string> Parts,
                    std::vector<std::string> FailedWorkers) {
  return record(state::JobEnded{authority(), J.Spec.Id, J.Attempt, Result,
                                std::string(Reason), Ran, std::move(Parts),
                                std::move(FailedWorkers)},
                J.Spec.Id);
}

void CellOwner::finish(const state::Job &J, AttemptTrack &T) {
  std::vector<std::string> Parts;
  std::size_t Bytes = 0;
  for (const TaskTrack &X : T.Tasks) {
    Bytes += X.Text.size();
    Parts.push_back(X.Text);
  }
  if (Bytes > state::MaxAnswerBytes) {
    if (!recordInFlight(J.Spec.Id))
      end(J, state::Outcome::Failed, "the answer is too large", true);
    return;
  }
  if (LogDown && !T.EndRecordInFlight && !T.AnswerPushed &&
      OnUnrecordedAnswer) {
    T.AnswerPushed = true;
    OnUnrecordedAnswer(J, Parts);
  }
  if (!recordInFlight(J.Spec.Id))
    end(J, state::Outcome::Finished, "", true, std::move(Parts));
}

void CellOwner::conclude(const state::Job &J, AttemptTrack &T) {
  bool Ran = J.Started &&
             std::any_of(T.Tasks.begin(), T.Tasks.end(),
                         [](const TaskTrack &X) { return !X.NeverStarted; });
  bool EverRan = Ran || J.EverStarted;
  if (J.CancelWanted)
    T.EndRecordInFlight =
        end(J, state::Outcome::Cancelled, "cancelled", EverRan);
  else if (Ran && !J.Spec.Idempotent)
    endStarted(J, T);
  else if (!Ran && T.Invalid)
    T.EndRecordInFlight =
        end(J, EverRan ? state::Outcome::Failed : state::Outcome::NotRun,
            T.Reason, EverRan);
  else
    endAttempt(J, T, Ran);
}

void CellOwner::endStarted(const state::Job &J, AttemptTrack &T) {
  auto Result = state::Outcome::Failed;
  std::string Reason;
  std::vector<std::string> FailedWorkers;
  for (unsigned I = 0; I < T.Tasks.size(); ++I) {
    const TaskTrack &X = T.Tasks[I];
    if (X.State != TaskState::Failed)
      continue;
    FailedWorkers.push_back(J.Tasks[I].Worker);
    if (Reason.empty())
      Reason = X.Text.empty() ? "a task failed" : X.Text;
  }
  if (Reason.empty())
    for (unsigned I = 0; I < T.Tasks.size(); ++I)
      if (T.Tasks[I].State == TaskState::Lost && !T.Tasks[I].NeverStarted) {
        Result = state::Outcome::Unknown;
        Reason = "worker " + J.Tasks[I].Worker +
                 " lost the task and the job must not be repeated";
      }
  if (Reason.empty())
    Reason = J.StopReason.empty() ? T.Reason : "stopped: " + J.StopReason;
  T.EndRecordInFlight =
      end(J, Result, Reason, true, {}, std::move(FailedWorkers));
}

void CellOwner::endAttempt(const state::Job &J, AttemptTrack &T, bool Ran) {
  state::AttemptEnded E{authority(), J.Spec.Id, J.Attempt};
  auto Why = TaskState::Stopped;
  for (const TaskTrack &X : T.Tasks) {
    if (X.State == TaskState::Failed)
      Why = TaskState::Failed;
    else if ((X.State == TaskState::Lost || X.LeaseExpired) &&
             Why != TaskState::Failed)
      Why = TaskState::Lost;
  }
  if (!Ran)
    E.Why = state::AttemptEnd::NotStarted;
  else if (Why == TaskState::Failed)
    E.Why = state::AttemptEnd::TaskFailed;
  else if (Why == TaskState::Lost)
    E.Why = state::AttemptEnd::WorkerLost;
  // A gang resumes as a whole, from the least progress of its tasks. A task
  // whose end was not reported counts with its last confirmed checkpoint.
  std::int64_t LeastProgressMs = INT64_MAX;
  for (unsigned I = 0; I < T.Tasks.size(); ++I) {
    const TaskTrack &X = T.Tasks[I];
    bool EndReported =
        X.State == TaskState::Stopped || X.State == TaskState::Finished;
    if (X.State != TaskState::Finished)
      LeastProgressMs = std::min(LeastProgressMs,
                                 EndReported ? X.ProgressMs : X.CheckpointMs);
    bool CausedEnd =
        X.State == Why || (Why == TaskState::Lost && X.LeaseExpired);
    if (Why != TaskState::Stopped && CausedEnd)
      E.FailedWorkers.push_back(J.Tasks[I].Worker);
  }
  E.ProgressMs = std::max(J.ProgressMs, LeastProgressMs);
  T.EndRecordInFlight = record(std::move(E), J.Spec.Id);
}

bool CellOwner::takePushedAnswer(const state::Job &J, AttemptTrack &T) {
  const std::vector<std::string> *Parts =
      FindPushedAnswer ? FindPushedAnswer(J) : nullptr;
  if (!Parts || Parts->size() != T.Tasks.size() || T.AnswerPushed)
    return false;
  // Callers received this answer during a log outage, so it must become the
  // recorded outcome even if the workers have been lost since.
  T.AnswerPushed = true;
  for (std::size_t I = 0; I < Parts->size(); ++I) {
    T.Tasks[I].State = TaskState::Finished;
    T.Tasks[I].Text = (*Parts)[I];
    T.Tasks[I].NeverStarted = false;
  }
  return true;
}

void CellOwner::cancelPending(const state::Job &J) {
  end(J, state::Outcome::Cancelled, "cancelled", J.EverStarted);
}

} // namespace heathersaddle::control
