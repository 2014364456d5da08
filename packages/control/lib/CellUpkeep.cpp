// Approach: periodically requests checkpoints of running jobs, so that a lost
// worker costs at most CheckpointPeriod of progress, and throttles borrowing
// jobs that run much longer than is usual for their kind. Losing either
// command does no harm.
// Bounds: one round of checkpoints per job and CheckpointPeriod, which keeps
// 17,000 tasks of a cell within 1 KB/s.
#include "CellOwner.h"

namespace heathersaddle::control {

namespace {
constexpr base::Millis CheckpointPeriod{30 * 60'000};
constexpr unsigned ThrottlePercent = 50;
} // namespace

void CellOwner::upkeep() {
  std::vector<std::string> ToThrottle = Scheduler.throttled(cellState()->Pool);
  std::set<std::string_view> Wanted(ToThrottle.begin(), ToThrottle.end());
  for (auto &[Id, T] : Tracks) {
    const state::Job *J = NodeCore.State.job(Id);
    if (!J || !T.AllRunning || J->Attempt != T.Attempt)
      continue;
    if (J->Spec.Idempotent && NodeCore.now() >= T.NextCheckpointAt)
      checkpoint(*J, T);
    if (bool On = Wanted.contains(Id); On != T.Throttled)
      throttle(*J, T, On);
  }
}

void CellOwner::checkpoint(const state::Job &J, AttemptTrack &T) {
  bool First = T.NextCheckpointAt == base::MonoTime{};
  // The first round of each job is at a random time within the period, so that
  // a new owner does not request all checkpoints at once.
  T.NextCheckpointAt =
      NodeCore.now() +
      (First ? base::Millis(NodeCore.Rng() % CheckpointPeriod.count())
             : CheckpointPeriod);
  if (First)
    return;
  for (unsigned I = 0; I < T.Tasks.size(); ++I) {
    T.Tasks[I].RequestedCheckpointMs = T.Tasks[I].ReportedProgressMs;
    adjust(J, I, CommandKind::Checkpoint, 0);
  }
}

void CellOwner::throttle(const state::Job &J, AttemptTrack &T, bool On) {
  T.Throttled = On;
  for (unsigned I = 0; I < T.Tasks.size(); ++I)
    adjust(J, I, CommandKind::Throttle, On ? ThrottlePercent : 100);
}

void CellOwner::adjust(const state::Job &J, unsigned Task, CommandKind Kind,
                       unsigned Percent) {
  WorkerLink *L = link(J.Tasks[Task].Worker);
  if (!L || !L->synced())
    return;
  json::object Body{{"job", J.Spec.Id}, {"attempt", J.Attempt}, {"task", Task}};
  Body["op"] = Kind == CommandKind::Checkpoint ? "checkpoint" : "throttle";
  if (Kind == CommandKind::Throttle)
    Body["percent"] = Percent;
  L->command({Kind, {J.Spec.Id, J.Attempt, Task}, std::move(Body)});
}

} // namespace heathersaddle::control
