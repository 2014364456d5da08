// Approach: compares the host list, the state of the links and the workers in
// the state, and records the differences. A host that is leaving or vanished
// gets no new work; one that does not answer is lost; one that answers again
// and is in the host list is up.
// Bounds: one record in flight per worker, at most one per RecordRetry.
#include "CellOwner.h"

namespace heathersaddle::control {

namespace {
/// A record that was voided is not offered again at once.
constexpr base::Millis RecordRetry{2'000};

bool describes(const HostEntry &H, const state::Worker &W) {
  return W.Spec.Rack == H.Rack && W.Spec.Slots == H.Slots &&
         W.Spec.Accelerators == H.Accelerators && W.Address == H.Address &&
         W.Cores == H.Cores && W.MemoryMb == H.MemoryMb;
}
} // namespace

bool CellOwner::recordWorker(state::Body What, const std::string &Worker) {
  base::MonoTime &RetryAt = WorkerRetryAt[Worker];
  if (C.now() < RetryAt || !record(std::move(What), "worker/" + Worker))
    return false;
  RetryAt = C.now() + RecordRetry;
  return true;
}

void CellOwner::reviewWorkers() {
  HostsSeen = Hosts.generation();
  reviewLinks();
  for (const auto &[HostName, H] : Hosts.hosts())
    if (H.DataCentre == Name)
      reviewHost(H);
  for (const auto &[Worker, W] : view()->Workers)
    reviewStatus(Worker, W);
}

void CellOwner::reviewLinks() {
  std::map<std::string, std::string> Wanted;
  for (const auto &[Worker, W] : view()->Workers)
    if (!Hosts.known() || !view()->Pool.jobsOn(Worker).empty())
      Wanted.emplace(Worker, W.Address);
  for (const auto &[HostName, H] : Hosts.hosts())
    if (H.DataCentre == Name)
      Wanted.insert_or_assign(HostName, H.Address);
  std::erase_if(Links,
                [&](const auto &L) { return !Wanted.contains(L.first); });
  for (const auto &[Worker, Address] : Wanted) {
    std::shared_ptr<WorkerLink> &L = Links[Worker];
    if (!L)
      L = std::make_shared<WorkerLink>(C, *this, Name, Epoch, Worker,
                                       WorkerLink::boundAfter(C.S, ClaimedAt));
    L->setAddress(Address);
  }
}

void CellOwner::reviewHost(const HostEntry &H) {
  const state::Cell &Cell = *view();
  auto It = Cell.Workers.find(H.Name);
  bool New = It == Cell.Workers.end();
  // A worker that was never reached, or not since it was given up, is no part
  // of the pool.
  const WorkerLink *L = link(H.Name);
  if (New ? (H.Leaving || !L || !L->synced()) : describes(H, It->second))
    return;
  pool::WorkerSpec Spec{H.Name, H.Rack, H.Slots, H.Accelerators};
  recordWorker(state::WorkerRegistered{by(), std::move(Spec), H.Address,
                                       H.Cores, H.MemoryMb},
               H.Name);
}

void CellOwner::reviewStatus(const std::string &Worker,
                             const state::Worker &W) {
  pool::WorkerStatus Wanted = wantedStatus(Worker, W);
  if (Wanted == W.Status)
    return;
  pool::WorkerStatus Was = W.Status;
  if (!recordWorker(state::WorkerStatusChanged{by(), Worker, Wanted}, Worker))
    return;
  if (Wanted == pool::WorkerStatus::Lost)
    C.log(EventWorkerLost, "worker " + Worker + " does not answer");
  else if (Was == pool::WorkerStatus::Lost)
    C.log(EventWorkerBack, "worker " + Worker + " answers again");
}

pool::WorkerStatus CellOwner::wantedStatus(const std::string &Worker,
                                           const state::Worker &W) {
  const HostEntry *H = Hosts.host(Worker);
  bool Vanished = Hosts.known() && !H;
  WorkerLink *L = link(Worker);
  if (L ? L->lost() : Vanished)
    return pool::WorkerStatus::Lost;
  if (Vanished || (H && H->Leaving))
    return pool::WorkerStatus::Leaving;
  bool Away = W.Status == pool::WorkerStatus::Lost ||
              W.Status == pool::WorkerStatus::Leaving;
  if (Away && L && L->synced())
    return pool::WorkerStatus::Up;
  return W.Status;
}

} // namespace heathersaddle::control
