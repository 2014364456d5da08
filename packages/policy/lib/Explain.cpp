// Explains from the current state why a job waits, without naming jobs of other
// accounts.
#include "Core.h"
#include <algorithm>

namespace heathersaddle::policy {

using pool::Domain;

namespace {

bool fitsWithQuarantined(const pool::Table &T, const Job &J) {
  std::vector<pool::SlotMask> Free(T.Rows.size(), 0);
  for (pool::WorkerId W : T.WorkersByName)
    if (T.Rows[W].Status == pool::WorkerStatus::Up ||
        T.Rows[W].Status == pool::WorkerStatus::Quarantined)
      Free[W] = T.Rows[W].Unallocated;
  return pool::placeOn(T, J.Shape, std::move(Free)).has_value();
}

Explanation explainHold(const Hold &H) {
  if (H.Kind == HoldKind::Gang)
    return {"shape", "Slots for the whole gang are reserved and draining."};
  return {"guarantee", "Slots are being freed for this job."};
}

Explanation explainRoom(const pool::Table &T, const Job &J,
                        pool::AccountId Owner) {
  pool::Query Q{
      J.Idempotent ? Domain::Any : Domain::OwnHomesOrSpare, Owner, nullptr, {}};
  if (T.find(J.Shape, Q))
    return {"order", "Free slots exist; other jobs come first or the next "
                     "pass places it."};
  if (!J.Idempotent && T.find(J.Shape, pool::Query{}))
    return {"guarantee", "The free slots are other accounts' homes, which "
                         "take only jobs that can be stopped."};
  if (fitsWithQuarantined(T, J))
    return {"worker_health", "The slots that would fit are on quarantined "
                             "workers."};
  if (T.FreeSlots >= J.Shape.totalSlots())
    return {"shape", "Enough slots are free, but not in the shape asked "
                     "for."};
  return {"order", "All suitable slots are in use."};
}

} // namespace

Explanation Scheduler::explain(std::string_view Id, const pool::Pool &P,
                               base::WallMs Now) const {
  const Job *J = Pimpl->find(Id);
  if (!J || J->State != JobState::Pending)
    return {"none", "The job is not waiting for slots."};
  const pool::Table &T = pool::PoolAccess::table(P);
  const Account &A = Pimpl->Accounts[J->Account];
  if (J->Issues && J->Issues->EndDecided)
    return {"none", J->Issues->EndReason};
  if (A.Terms.MaxSlots &&
      A.UsedSlots + J->Shape.totalSlots() > A.Terms.MaxSlots)
    return {"slots_quota", "The account uses " + std::to_string(A.UsedSlots) +
                               " of its " + std::to_string(A.Terms.MaxSlots) +
                               " slots."};
  if (J->Retry && Pimpl->RetryTokens < 100 && Now >= J->AcceptedMs)
    return {"retry_budget", "The cell's retry budget is used up for now."};
  if (auto H = Pimpl->Holds.find(Id); H != Pimpl->Holds.end())
    return explainHold(H->second);
  return explainRoom(T, *J, T.account(A.Name));
}

std::vector<std::string> Scheduler::throttled(const pool::Pool &P) const {
  const pool::Table &T = pool::PoolAccess::table(P);
  std::vector<std::string> Result;
  for (const Job *J : Pimpl->OverrunningJobs)
    if (pool::JobId Id = T.job(J->Id);
        Id != pool::NoId && T.isBorrowing(T.Jobs[Id]))
      Result.push_back(J->Id);
  return Result;
}

std::int64_t Scheduler::learnedRunMs(std::string_view Account,
                                     std::string_view Kind) const {
  auto A = Pimpl->AccountByName.find(Account);
  if (A == Pimpl->AccountByName.end())
    return 0;
  std::int64_t K = Pimpl->LearnedRunTimes.findKind(A->second, Kind);
  return K < 0 ? 0 : Pimpl->LearnedRunTimes.estimate(K);
}

} // namespace heathersaddle::policy
