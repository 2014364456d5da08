// Quarantine and probes of workers. Only workers with recent failures have an
// entry, so a pass costs nothing for healthy ones.
#include "Pass.h"

namespace heathersaddle::policy {

using pool::WorkerStatus;

// Quarantines this scheduler knows nothing of, e.g. after a change of owner,
// start afresh; otherwise they would never end.
static void adoptQuarantines(Core &S, const pool::Table &T, base::WallMs Now) {
  if (S.HealthSeen == T.Structure)
    return;
  S.HealthSeen = T.Structure;
  for (pool::WorkerId W : T.WorkersByName) {
    const pool::WorkerRow &R = T.Rows[W];
    if (R.Status != WorkerStatus::Quarantined)
      continue;
    WorkerHealth &H = S.Health[R.Spec.Name];
    if (!H.UntilMs) {
      H.UntilMs = Now + S.Set.InitialQuarantine.count();
      H.Quarantines = std::max(H.Quarantines, 1U);
    }
  }
}

void Pass::checkHealth() {
  adoptQuarantines(S, T, Now);
  for (auto At = S.Health.begin(); At != S.Health.end();) {
    pool::WorkerId W = T.row(At->first);
    if (W == pool::NoId) {
      At = S.Health.erase(At);
      continue;
    }
    const std::string &Name = At->first;
    WorkerHealth &H = At->second;
    ++At;
    WorkerStatus Status = T.Rows[W].Status;
    if (H.UntilMs > Now && Status == WorkerStatus::Up) {
      Base[W] = ~pool::SlotMask{0};
      Out.push_back(WorkerDecision{Name, WorkerStatus::Quarantined,
                                   "Distinct jobs failed on it in a row."});
    } else if (H.UntilMs && H.UntilMs <= Now) {
      if (Status == WorkerStatus::Quarantined)
        Out.push_back(WorkerDecision{Name, WorkerStatus::Up,
                                     "The quarantine ended; one job probes "
                                     "the worker."});
      else if (Status == WorkerStatus::Up) {
        H.UntilMs = 0;
        H.Probing = true;
      }
    }
    if (!H.Probing)
      continue;
    SickRow[W] = true;
    SickRows.push_back(W);
    if (!H.ProbeJob.empty())
      Base[W] = ~pool::SlotMask{0};
  }
}

} // namespace heathersaddle::policy
