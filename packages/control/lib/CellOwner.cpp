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
constexpr base::Millis ReroutePeriod{2'000};
constexpr base::Millis ForgetPeriod{60'000};
const std::string HeartbeatKey = "heartbeat";
} // namespace

CellOwner::CellOwner(Core &C, AppendQueue &Queue, HostList &Hosts,
                     std::string Cell, std::uint64_t Epoch)
    : C(C), Queue(Queue), Hosts(Hosts), Name(std::move(Cell)), Epoch(Epoch),
      ClaimedAt(C.now()), Scheduler(C.S.Policy) {}

void CellOwner::begin() {
  beginScheduling();
  HeartbeatAt = C.now() + C.S.OwnerHeartbeat;
  RerouteAt = C.now() + ReroutePeriod;
  ForgetAt = C.now() + ForgetPeriod;
}

bool CellOwner::record(state::Body What, const std::string &Key) {
  if (Releasing || busy(Key))
    return false;
  bool Place = std::holds_alternative<state::Placed>(What);
  std::weak_ptr<CellOwner> Weak = weak_from_this();
  auto Done = [Weak, Key, Place](const Fate &) {
    auto Me = Weak.lock();
    if (!Me)
      return;
    Me->Busy.erase(Key);
    Me->PlacesOpen -= Place ? 1 : 0;
    Me->DecideWanted = true;
    Me->Dirty.insert(Key);
    if (auto It = Me->Tracks.find(Key); It != Me->Tracks.end())
      It->second.Concluded = false;
  };
  if (!Queue.push(std::move(What), std::move(Done)))
    return false;
  Busy.insert(Key);
  PlacesOpen += Place ? 1 : 0;
  return true;
}

void CellOwner::tick(bool Down) {
  LogDown = Down;
  if (Deposed || Released || !view())
    return;
  heartbeat();
  if (C.now() >= ReviewAt || HostsSeen != Hosts.generation()) {
    ReviewAt = C.now() + ReviewPeriod;
    reviewWorkers();
  }
  if (C.now() >= SweepAt) {
    SweepAt = C.now() + SweepPeriod;
    for (const auto &[Id, T] : Tracks)
      Dirty.insert(Id);
  }
  advanceDirty();
  if (!LogDown && !Releasing) {
    decide();
    reroute();
    forget();
  }
  tickLinks();
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
  if (C.now() < HeartbeatAt || busy(HeartbeatKey))
    return;
  HeartbeatAt = C.now() + C.S.OwnerHeartbeat;
  record(state::Heartbeat{by()}, HeartbeatKey);
}

void CellOwner::onApplied(const state::Record &R, const state::Verdict &V) {
  const state::Cell *Cell = view();
  if (!Cell || Cell->Epoch != Epoch || Cell->Owner != C.S.Name) {
    Deposed = !Releasing;
    Released = Releasing;
    return;
  }
  if (V.Applied)
    feed(R.What, V);
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
  return Scheduler.explain(Job, view()->Pool, C.clock());
}

} // namespace heathersaddle::control
