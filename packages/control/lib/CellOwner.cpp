// Approach: all decisions are computed from the state and become records; the
// owner acts only when it has read them back. A job or worker with a record in
// flight is busy and left alone until the fate of that record is known.
// Bounds: SweepPeriod between full passes over the tracked jobs; one record in
// flight per job, worker and list of homes.
#include "CellOwner.h"

namespace heathersaddle::control {

namespace {
constexpr base::Millis SweepPeriod{1'000};
constexpr base::Millis ReviewPeriod{500};
constexpr base::Millis UpkeepPeriod{10'000};
/// At most 5 usage reports a second in a cell: at about 110 bytes each, 17,400
/// tasks that report every 30 s would alone cost 64 KB/s.
constexpr base::Millis UsagePeriodPerTask{200};
constexpr base::Millis UsagePeriodLeast{30'000};
constexpr base::Millis HoldFirst{100};
constexpr base::Millis HoldMost{10'000};
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

bool CellOwner::record(state::Body What, const std::string &Key) {
  if (Releasing || busy(Key))
    return false;
  bool Place = std::holds_alternative<state::Placed>(What);
  if (auto It = Holds.find(Key);
      It != Holds.end() && NodeCore.now() < It->second.Until)
    return false;
  std::weak_ptr<CellOwner> Weak = weak_from_this();
  auto Done = [Weak, Key, Place](const Fate &F) {
    if (auto Me = Weak.lock())
      Me->onFate(Key, Place, F);
  };
  if (!Queue.push(std::move(What), std::move(Done)))
    return false;
  Busy.insert(Key);
  PlacesOpen += Place ? 1 : 0;
  return true;
}

void CellOwner::onFate(const std::string &Key, bool Place, const Fate &F) {
  Busy.erase(Key);
  PlacesOpen -= Place ? 1 : 0;
  DecideWanted = true;
  Dirty.insert(Key);
  if (auto It = Tracks.find(Key); It != Tracks.end())
    It->second.Concluded = false;
  if (F.Kind != FateKind::Voided) {
    Holds.erase(Key);
    return;
  }
  NodeCore.log(EventRecordVoided, Key + ": " + F.Verdict.Why.toString());
  // State that has moved on voids a decision once; a decision that is voided
  // again and again is wrong, and must not fill the log.
  Hold &H = Holds[Key];
  if (H.Voided > 0)
    H.Until = NodeCore.now() + NodeCore.backoff(H.Voided, HoldFirst, HoldMost);
  ++H.Voided;
}

void CellOwner::tick(bool Down) {
  LogDown = Down;
  if (Deposed || Released || !view())
    return;
  heartbeat();
  if (NodeCore.now() >= ReviewAt || HostsSeen != Hosts.generation()) {
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
    forget();
  }
  tickLinks();
}

void CellOwner::sweep() {
  std::erase_if(Holds, [&](const auto &H) {
    return NodeCore.now() > H.second.Until + HoldMost;
  });
  TasksTracked = 0;
  for (const auto &[Id, T] : Tracks) {
    TasksTracked += T.Tasks.size();
    if (!T.Steady)
      Dirty.insert(Id);
  }
  for (const auto &[Worker, L] : Links)
    if (!L->synced())
      for (std::string &Id : view()->Pool.jobsOn(Worker))
        Dirty.insert(std::move(Id));
}

base::Millis CellOwner::usagePeriod() const {
  return std::max(UsagePeriodLeast,
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
  if (NodeCore.now() < HeartbeatAt || busy(HeartbeatKey))
    return;
  HeartbeatAt = NodeCore.now() + NodeCore.Settings.OwnerHeartbeat;
  record(state::Heartbeat{by()}, HeartbeatKey);
}

void CellOwner::onApplied(const state::Record &R, const state::Verdict &V) {
  const state::Cell *Cell = view();
  if (!Cell || Cell->Epoch != Epoch || Cell->Owner != NodeCore.Settings.Name) {
    Deposed = !Releasing;
    Released = Releasing;
    return;
  }
  if (V.Applied)
    feed(R.What, V);
}

bool CellOwner::calm() const {
  return Busy.empty() &&
         std::all_of(Links.begin(), Links.end(), [](const auto &L) {
           return L.second->synced() || L.second->lost();
         });
}

void CellOwner::release() {
  if (Releasing)
    return;
  std::weak_ptr<CellOwner> Weak = weak_from_this();
  bool Queued = Queue.push(state::Released{by()}, [Weak](const Fate &F) {
    auto Me = Weak.lock();
    if (Me && F.Kind == FateKind::Dropped)
      Me->Releasing = false;
    else if (Me)
      Me->Released = true;
  });
  Releasing = Queued;
}

policy::Explanation CellOwner::explain(std::string_view Job) const {
  return Scheduler.explain(Job, view()->Pool, NodeCore.stateClock());
}

} // namespace heathersaddle::control
