// Approach: all decisions are computed from the state and become records; the
// owner acts on a record only after it has been read back from the log. A job
// or worker with a record in flight gets no other record until the result of
// that one is known.
// Bounds: SweepPeriod between full passes over the tracked jobs; one record in
// flight per job, worker and list of homes.
#include "CellOwner.h"

namespace heathersaddle::control {

namespace {
constexpr base::Millis SweepPeriod{1'000};
constexpr base::Millis ReviewPeriod{500};
constexpr base::Millis UpkeepPeriod{10'000};
/// Allows at most 5 usage reports a second in a cell: at about 110 bytes each,
/// 17,400 tasks that report every 30 s would cost 64 KB/s.
constexpr base::Millis UsagePeriodPerTask{200};
constexpr base::Millis MinUsagePeriod{30'000};
constexpr base::Millis VoidedBaseDelay{100};
constexpr base::Millis VoidedMaxDelay{10'000};
const std::string HeartbeatKey = "heartbeat";
} // namespace

CellOwner::CellOwner(Core &C, AppendQueue &Queue, HostList &Hosts,
                     std::string Cell, std::uint64_t Epoch)
    : NodeCore(C), Queue(Queue), Hosts(Hosts), Name(std::move(Cell)),
      Epoch(Epoch), ClaimedAt(NodeCore.now()),
      Scheduler(NodeCore.Settings.Policy) {}

void CellOwner::begin() {
  beginScheduling();
  HeartbeatAt = NodeCore.now() + NodeCore.Settings.OwnerHeartbeat;
  UpkeepAt = NodeCore.now() + UpkeepPeriod;
}

bool CellOwner::record(state::Body Body, const std::string &Key) {
  if (Releasing || recordInFlight(Key))
    return false;
  bool IsPlacement = std::holds_alternative<state::Placed>(Body);
  if (auto It = VoidedBackoffs.find(Key);
      It != VoidedBackoffs.end() && NodeCore.now() < It->second.RetryAt)
    return false;
  std::weak_ptr<CellOwner> Weak = weak_from_this();
  auto Done = [Weak, Key, IsPlacement](const AppendResult &Result) {
    if (auto Self = Weak.lock())
      Self->onAppendResult(Key, IsPlacement, Result);
  };
  if (!Queue.push(std::move(Body), std::move(Done)))
    return false;
  KeysInFlight.insert(Key);
  PlacementsInFlight += IsPlacement ? 1 : 0;
  return true;
}

void CellOwner::onAppendResult(const std::string &Key, bool IsPlacement,
                               const AppendResult &Result) {
  KeysInFlight.erase(Key);
  PlacementsInFlight -= IsPlacement ? 1 : 0;
  DecideWanted = true;
  Dirty.insert(Key);
  if (auto It = Tracks.find(Key); It != Tracks.end())
    It->second.EndRecordInFlight = false;
  if (Result.Status != AppendStatus::Voided) {
    VoidedBackoffs.erase(Key);
    return;
  }
  NodeCore.log(EventRecordVoided, Key + ": " + Result.Verdict.Why.toString());
  // A record is voided once when the state changed before it was applied, so
  // the first retry is not delayed. A decision that is voided repeatedly is
  // wrong and must not fill the log.
  VoidedBackoff &B = VoidedBackoffs[Key];
  if (B.Count > 0)
    B.RetryAt = NodeCore.now() +
                NodeCore.backoff(B.Count, VoidedBaseDelay, VoidedMaxDelay);
  ++B.Count;
}

void CellOwner::tick(bool Down) {
  LogDown = Down;
  if (Deposed || Released || !cellState())
    return;
  heartbeat();
  if (NodeCore.now() >= ReviewAt || HostListGeneration != Hosts.generation()) {
    ReviewAt = NodeCore.now() + ReviewPeriod;
    reviewWorkers();
  }
  if (NodeCore.now() >= SweepAt) {
    SweepAt = NodeCore.now() + SweepPeriod;
    sweep();
  }
  advanceDirty();
  if (NodeCore.now() >= UpkeepAt) {
    UpkeepAt = NodeCore.now() + UpkeepPeriod;
    upkeep();
  }
  if (!LogDown && !Releasing) {
    decide();
    reroute();
    removeOldJobs();
  }
  tickLinks();
}

void CellOwner::sweep() {
  std::erase_if(VoidedBackoffs, [&](const auto &H) {
    return NodeCore.now() > H.second.RetryAt + VoidedMaxDelay;
  });
  TasksTracked = 0;
  for (const auto &[Id, T] : Tracks) {
    TasksTracked += T.Tasks.size();
    if (!T.AllRunning)
      Dirty.insert(Id);
  }
  for (const auto &[Worker, L] : Links)
    if (!L->synced())
      for (std::string &Id : cellState()->Pool.jobsOn(Worker))
        Dirty.insert(std::move(Id));
}

base::Millis CellOwner::usagePeriod() const {
  return std::max(MinUsagePeriod,
                  UsagePeriodPerTask * std::int64_t(TasksTracked));
}

void CellOwner::tickLinks() {
  for (auto &[Worker, Link] : Links)
    Link->tick(Link);
}

WorkerLink *CellOwner::link(std::string_view Worker) {
  auto It = Links.find(Worker);
  return It == Links.end() ? nullptr : It->second.get();
}

void CellOwner::heartbeat() {
  if (NodeCore.now() < HeartbeatAt || recordInFlight(HeartbeatKey))
    return;
  HeartbeatAt = NodeCore.now() + NodeCore.Settings.OwnerHeartbeat;
  record(state::Heartbeat{authority()}, HeartbeatKey);
}

void CellOwner::onApplied(const state::Record &R, const state::Verdict &V) {
  const state::Cell *Cell = cellState();
  if (!Cell || Cell->Epoch != Epoch || Cell->Owner != NodeCore.Settings.Name) {
    Deposed = !Releasing;
    Released = Releasing;
    return;
  }
  if (V.Applied)
    notifyScheduler(R.What, V);
}

bool CellOwner::quiescent() const {
  return KeysInFlight.empty() &&
         std::all_of(Links.begin(), Links.end(), [](const auto &L) {
           return L.second->synced() || L.second->lost();
         });
}

void CellOwner::release() {
  if (Releasing)
    return;
  std::weak_ptr<CellOwner> Weak = weak_from_this();
  bool Queued = Queue.push(state::Released{authority()},
                           [Weak](const AppendResult &Result) {
                             auto Self = Weak.lock();
                             if (Self && Result.Status == AppendStatus::Dropped)
                               Self->Releasing = false;
                             else if (Self)
                               Self->Released = true;
                           });
  Releasing = Queued;
}

policy::Explanation CellOwner::explain(std::string_view Job) const {
  return Scheduler.explain(Job, cellState()->Pool, NodeCore.stateClock());
}

} // namespace heathersaddle::control
