// Quarantine and probing of workers. Only workers with recent failures have an
// entry, so healthy workers add no cost to a pass.
#include "Pass.h"

namespace heathersaddle::policy {

using pool::WorkerStatus;

// Quarantines that this scheduler has no entry for, for example after a change
// of the cell's owner, start again; otherwise they would never end.
static void adoptUnknownQuarantines(Core &S, const pool::Table &T,
                                    base::WallMs Now) {
  if (S.QuarantineCheckStructure == T.Structure)
    return;
  S.QuarantineCheckStructure = T.Structure;
  for (pool::WorkerId W : T.WorkersByName) {
    const pool::WorkerRow &R = T.Rows[W];
    if (R.Status != WorkerStatus::Quarantined)
      continue;
    WorkerHealth &H = S.Health[R.Spec.Name];
    if (!H.QuarantineEndMs) {
      H.QuarantineEndMs = Now + S.Config.InitialQuarantine.count();
      H.Quarantines = std::max(H.Quarantines, 1U);
    }
  }
}

void Pass::checkHealth() {
  adoptUnknownQuarantines(CoreState, PoolTable, Now);
  for (auto At = CoreState.Health.begin(); At != CoreState.Health.end();) {
    pool::WorkerId W = PoolTable.worker(At->first);
    if (W == pool::NoId) {
      At = CoreState.Health.erase(At);
      continue;
    }
    const std::string &Name = At->first;
    WorkerHealth &H = At->second;
    ++At;
    WorkerStatus Status = PoolTable.Rows[W].Status;
    if (H.QuarantineEndMs > Now && Status == WorkerStatus::Up) {
      Unavailable[W] = ~pool::SlotMask{0};
      Decisions.push_back(
          WorkerDecision{Name, WorkerStatus::Quarantined,
                         "Distinct jobs failed on it in a row."});
    } else if (H.QuarantineEndMs && H.QuarantineEndMs <= Now) {
      if (Status == WorkerStatus::Quarantined)
        Decisions.push_back(
            WorkerDecision{Name, WorkerStatus::Up,
                           "The quarantine ended; one job probes "
                           "the worker."});
      else if (Status == WorkerStatus::Up) {
        H.QuarantineEndMs = 0;
        H.Probing = true;
      }
    }
    if (!H.Probing)
      continue;
    IsProbing[W] = true;
    ProbingWorkers.push_back(W);
    if (!H.ProbeJob.empty())
      Unavailable[W] = ~pool::SlotMask{0};
  }
}

} // namespace heathersaddle::policy
