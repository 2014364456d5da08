// Every running task stores its progress at a known time, so the times of all
// future changes (finish, stop after the grace period, usage report, lease
// expiry) follow from stored values; advance() carries them out in order of
// time.
// Bounds: one change at a time; the number of tasks is bounded by the slots
// and the ended tasks of one boot.
#include "heathersaddle/standin/WorkerModel.h"
#include <algorithm>

namespace heathersaddle::standin {

using base::Millis;

WorkerModel::WorkerModel(WorkerModelSettings S, std::uint64_t Boot,
                         TaskBehaviour Behaviour)
    : Settings(S), Boot(Boot), Behaviour(std::move(Behaviour)) {}

Millis WorkerModel::progressOf(const Task &T, Millis Now) const {
  if (T.State != TaskState::Running)
    return T.Progress;
  return T.Progress + (Now - T.ProgressAt) * T.SpeedPercent / 100;
}

Millis WorkerModel::finishTime(const Task &T) const {
  Millis Left = std::max(Millis{0}, T.Outcome.RunTime - T.Progress);
  // Rounded up, so that the progress at this time is complete.
  return T.ProgressAt +
         (Left * 100 + Millis(T.SpeedPercent - 1)) / T.SpeedPercent;
}

std::optional<Millis> WorkerModel::taskChangeTime(const Task &T) const {
  if (T.State != TaskState::Running)
    return T.State == TaskState::Reserved ? T.StopAt : std::nullopt;
  Millis At = finishTime(T);
  if (T.StopAt)
    At = std::min(At, *T.StopAt);
  if (Settings.UsagePeriod.count() > 0)
    At = std::min(At, T.NextUsage);
  return At;
}

std::optional<Millis> WorkerModel::nextChangeTime() const {
  if (PausedAt)
    return std::nullopt;
  std::optional<Millis> Next;
  bool AnyActive = false;
  for (const auto &[Id, T] : Tasks) {
    AnyActive = AnyActive || T.active();
    if (auto At = taskChangeTime(T); At && (!Next || *At < *Next))
      Next = At;
  }
  if (AnyActive && (!Next || LeaseUntil < *Next))
    Next = LeaseUntil;
  return Next;
}

void WorkerModel::advance(Millis Now) {
  for (auto At = nextChangeTime(); At && *At <= Now; At = nextChangeTime()) {
    if (*At >= LeaseUntil) {
      expireLease(std::max(*At, LeaseUntil));
      continue;
    }
    for (auto &[Id, T] : Tasks)
      if (auto Due = taskChangeTime(T); Due && *Due <= *At)
        applyDueChange(Id, T, *At);
  }
}

void WorkerModel::applyDueChange(const TaskId &Id, Task &T, Millis Now) {
  if (T.State == TaskState::Running && finishTime(T) <= Now)
    return endTask(Id, T,
                   T.Outcome.Success ? EndReason::Finished : EndReason::Failed,
                   Now);
  if (T.StopAt && *T.StopAt <= Now) {
    T.Checkpoint = progressOf(T, Now);
    return endTask(Id, T, EndReason::Stopped, Now);
  }
  addUsage(Id, T, Now);
}

void WorkerModel::endTask(const TaskId &Id, Task &T, EndReason Reason,
                          Millis Now) {
  AuditEntry &A = Audit[T.AuditIndex];
  A.Ended = Now;
  A.Reason = Reason;
  T.Progress = progressOf(T, Now);
  T.StopAt.reset();
  switch (Reason) {
  case EndReason::Finished:
    T.State = TaskState::Finished;
    A.Answer = T.Outcome.Answer;
    return addEvent("finished", Id, T, T.Outcome.Answer);
  case EndReason::Failed:
    T.State = TaskState::Failed;
    return addEvent("failed", Id, T, T.Outcome.Answer);
  case EndReason::Stopped:
  case EndReason::LeaseExpired:
  case EndReason::Restarted:
    T.State = TaskState::Stopped;
    T.Progress = T.Checkpoint;
    return addEvent(Reason == EndReason::Stopped ? "stopped" : "lapsed", Id, T);
  }
}

void WorkerModel::expireLease(Millis Now) {
  for (auto &[Id, T] : Tasks) {
    if (!T.active())
      continue;
    StoppedAttempts.insert(Id.first);
    endTask(Id, T, EndReason::LeaseExpired, Now);
  }
}

void WorkerModel::addEvent(std::string_view Type, const TaskId &Id,
                           const Task &T, std::string Text) {
  Events.push_back(
      {++LastEventNumber, std::string(Type), Id, std::move(Text), T.Progress});
}

void WorkerModel::addUsage(const TaskId &Id, Task &T, Millis Now) {
  // Only the latest report of a task is kept, so that unacknowledged reports
  // do not accumulate.
  std::erase_if(
      Events, [&](const Event &E) { return E.Type == "usage" && E.Id == Id; });
  T.Progress = progressOf(T, Now);
  T.ProgressAt = Now;
  T.NextUsage = Now + usagePeriod();
  addEvent("usage", Id, T);
}

void WorkerModel::restart(std::uint64_t NewBoot, Millis Now) {
  advance(Now);
  for (auto &[Id, T] : Tasks) {
    if (!T.active())
      continue;
    Audit[T.AuditIndex].Ended = Now;
    Audit[T.AuditIndex].Reason = EndReason::Restarted;
  }
  Boot = NewBoot;
  Tasks.clear();
  StoppedAttempts.clear();
  Events.clear();
  Epochs.clear();
  LastEventNumber = 0;
  LeaseUntil = Millis{0};
  PausedAt.reset();
}

void WorkerModel::pause(Millis Now) {
  advance(Now);
  if (!PausedAt)
    PausedAt = Now;
}

void WorkerModel::resume(Millis Now) {
  if (!PausedAt)
    return;
  Millis PausedFor = Now - *PausedAt;
  PausedAt.reset();
  for (auto &[Id, T] : Tasks) {
    if (T.State == TaskState::Running)
      T.ProgressAt += PausedFor;
    if (T.StopAt)
      T.StopAt = std::max(*T.StopAt, Now);
    T.NextUsage = std::max(T.NextUsage, Now);
  }
  if (!leaseValid(Now))
    expireLease(Now);
  advance(Now);
}

} // namespace heathersaddle::standin
