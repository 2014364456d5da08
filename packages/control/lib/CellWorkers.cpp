// Approach: compares the host list and the links with the workers in the state
// and records the differences. A worker that is leaving or no longer in the
// host list gets no new work; one that does not answer is lost; one that
// answers again and is in the host list is up.
// Bounds: one record in flight per worker, at most one per RecordRetryDelay.
#include "CellOwner.h"

namespace heathersaddle::control {

namespace {
/// Minimum time between two records about a worker, so that a voided record is
/// not repeated at once.
constexpr base::Millis RecordRetryDelay{2'000};

bool describes(const HostEntry &H, const state::Worker &W) {
  return W.Spec.Rack == H.Rack && W.Spec.Slots == H.Slots &&
         W.Spec.Accelerators == H.Accelerators && W.Address == H.Address &&
         W.Cores == H.Cores && W.MemoryMb == H.MemoryMb;
}
} // namespace

bool CellOwner::recordWorker(state::Body Body, const std::string &Worker) {
  base::MonoTime &RetryAt = WorkerRetryAt[Worker];
  if (NodeCore.now() < RetryAt || !record(std::move(Body), "worker/" + Worker))
    return false;
  RetryAt = NodeCore.now() + RecordRetryDelay;
  return true;
}

void CellOwner::reviewWorkers() {
  HostListGeneration = Hosts.generation();
  reviewLinks();
  for (const auto &[HostName, H] : Hosts.hosts())
    if (H.DataCentre == Name)
      reviewHost(H);
  for (const auto &[Worker, W] : cellState()->Workers)
    reviewStatus(Worker, W);
}

void CellOwner::reviewLinks() {
  std::map<std::string, std::string> Wanted;
  for (const auto &[Worker, W] : cellState()->Workers)
    if (!Hosts.known() || !cellState()->Pool.jobsOn(Worker).empty())
      Wanted.emplace(Worker, W.Address);
  for (const auto &[HostName, H] : Hosts.hosts())
    if (H.DataCentre == Name)
      Wanted.insert_or_assign(HostName, H.Address);
  std::erase_if(Links,
                [&](const auto &L) { return !Wanted.contains(L.first); });
  for (const auto &[Worker, Address] : Wanted) {
    std::shared_ptr<WorkerLink> &L = Links[Worker];
    if (!L)
      L = std::make_shared<WorkerLink>(
          NodeCore, *this, Name, Epoch, Worker,
          WorkerLink::leaseExpiryAfter(NodeCore.Settings, ClaimedAt));
    L->setAddress(Address);
  }
}

void CellOwner::reviewHost(const HostEntry &H) {
  const state::Cell &Cell = *cellState();
  auto It = Cell.Workers.find(H.Name);
  bool New = It == Cell.Workers.end();
  // A worker joins the pool only when it has been reached.
  const WorkerLink *L = link(H.Name);
  if (New ? (H.Leaving || !L || !L->synced()) : describes(H, It->second))
    return;
  pool::WorkerSpec Spec{H.Name, H.Rack, H.Slots, H.Accelerators};
  recordWorker(state::WorkerRegistered{authority(), std::move(Spec), H.Address,
                                       H.Cores, H.MemoryMb},
               H.Name);
}

void CellOwner::reviewStatus(const std::string &Worker,
                             const state::Worker &W) {
  pool::WorkerStatus Wanted = wantedStatus(Worker, W);
  if (Wanted == W.Status)
    return;
  pool::WorkerStatus Was = W.Status;
  if (!recordWorker(state::WorkerStatusChanged{authority(), Worker, Wanted},
                    Worker))
    return;
  if (Wanted == pool::WorkerStatus::Lost)
    NodeCore.log(EventWorkerLost, "worker " + Worker + " does not answer");
  else if (Was == pool::WorkerStatus::Lost)
    NodeCore.log(EventWorkerBack, "worker " + Worker + " answers again");
}

pool::WorkerStatus CellOwner::wantedStatus(const std::string &Worker,
                                           const state::Worker &W) {
  const HostEntry *H = Hosts.host(Worker);
  bool NotInHostList = Hosts.known() && !H;
  WorkerLink *L = link(Worker);
  if (L ? L->lost() : NotInHostList)
    return pool::WorkerStatus::Lost;
  if (NotInHostList || (H && H->Leaving))
    return pool::WorkerStatus::Leaving;
  bool Away = W.Status == pool::WorkerStatus::Lost ||
              W.Status == pool::WorkerStatus::Leaving;
  if (Away && L && L->synced())
    return pool::WorkerStatus::Up;
  return W.Status;
}

} // namespace heathersaddle::control
