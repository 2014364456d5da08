// Follows the registry. An entry that names another incarnation than the known
// one is a claim: a probe, which is a sync that renews and acknowledges
// nothing, asks the worker about it.
#include "Owner.h"

namespace heathersaddle::cluster {

/// The newest entries of a worker that wait for its answer. More of them are
/// not a worker's: between two of its own it has started again.
static constexpr std::size_t MaxClaims = 4;
/// Registry entries may be this old when they are read.
static constexpr Millis MaxRegistryLag{800};

void Owner::onRegistryChange(RegistryChange &&Change) {
  // It says nothing about the worker, of which the last entry holds.
  if (Change.Unreadable)
    return;
  auto It = Sessions.find(Change.Worker);
  if (!Change.Entry) {
    if (It == Sessions.end())
      return;
    It->second.Claims.clear();
    if (It->second.Listed) {
      It->second.Listed = false;
      Shared.log(408,
                 {{"worker", Change.Worker}, {"runs", It->second.Runs.size()}});
      PlanNeeded = true;
    }
    return;
  }
  WorkerEntry &E = *Change.Entry;
  bool ServiceInUse = isServiceInUse(E.Service);
  if (It == Sessions.end()) {
    WorkerEntry Nothing;
    if (judgeEntry(E, {Nothing}, ServiceInUse) == EntryVerdict::Ignored)
      return;
    Session &S = Sessions[E.Id];
    S.Entry = std::move(E);
    S.LeaseEndsAt = FormerLeasesEnd;
    adoptRecordedRuns(S);
    recordCrashesOfFormerWorkers(S);
    PlanNeeded = true;
    return;
  }
  Session &S = It->second;
  switch (judgeEntry(E, {S.Entry, S.Described, S.Confirmed}, ServiceInUse)) {
  case EntryVerdict::Ignored:
    return;
  case EntryVerdict::Describes:
    return describeWorker(S, std::move(E), Shared.mono());
  case EntryVerdict::OtherIncarnation:
    return addClaim(S, std::move(E));
  }
}

void Owner::describeWorker(Session &S, WorkerEntry &&E, MonoTime ReadAt) {
  if (S.Entry.Draining != E.Draining && E.Draining)
    Shared.log(410, {{"worker", E.Id},
                     {"runs", S.Runs.size()},
                     {"leaves_in_ms", E.LeavesInMs}});
  if (E.Draining && E.LeavesInMs >= 0)
    S.LeavesAt = ReadAt + Millis(E.LeavesInMs) - MaxRegistryLag;
  if (E.Address != S.Entry.Address) {
    S.Confirmed = false;
    abandonSync(S);
  }
  S.Entry = std::move(E);
  S.Described = true;
  S.Listed = true;
  PlanNeeded = true;
}

void Owner::addClaim(Session &S, WorkerEntry &&E) {
  std::erase_if(S.Claims, [&E](const IncarnationClaim &C) {
    return C.Entry.ProcessStartMs == E.ProcessStartMs &&
           C.Entry.Address == E.Address;
  });
  if (S.Claims.size() == MaxClaims)
    S.Claims.erase(S.Claims.begin());
  S.NextClaim = S.Claims.size();
  S.Claims.push_back({std::move(E), Shared.mono(), LatestCall});
  S.NextProbeAt = Shared.mono();
}

void Owner::probe(const std::string &Id, Session &S) {
  const IncarnationClaim &C = S.Claims[S.NextClaim % S.Claims.size()];
  S.NextClaim = (S.NextClaim + 1) % S.Claims.size();
  S.ProbeNumber = ++LatestCall;
  SyncAction A;
  A.Worker = {Id, C.Entry.Address};
  A.Epoch = Epoch;
  A.TimeLimit = FirstSyncTimeout;
  Shared.count("worker_probes");
  A.Done = [this, Alive = Alive, Id, Number = S.ProbeNumber,
            Address = C.Entry.Address](const WorkerReply &R) {
    if (*Alive)
      onProbed(Id, Number, Address, R);
  };
  Shared.Actions.push_back(std::move(A));
}

void Owner::onProbed(const std::string &Id, std::uint64_t Number,
                     const std::string &Address, const WorkerReply &R) {
  auto It = Sessions.find(Id);
  if (It == Sessions.end() || It->second.ProbeNumber != Number)
    return;
  Session &S = It->second;
  S.ProbeNumber = 0;
  // Refusals are not trusted: the address may be any process's.
  S.NextProbeAt = Shared.mono() + Shared.jitter(SyncRetryDelay);
  if (R.Verdict == WorkerVerdict::Ok && R.ProcessStartMs > 0)
    settleIncarnation(S, R.ProcessStartMs, Address, Number);
}

void Owner::settleIncarnation(Session &S, std::int64_t ProcessStartMs,
                              const std::string &Address,
                              std::uint64_t Number) {
  std::optional<IncarnationClaim> Own;
  for (const IncarnationClaim &C : S.Claims)
    if (C.Entry.ProcessStartMs == ProcessStartMs &&
        (!Own || C.Entry.Address == Address))
      Own = C;
  std::erase_if(S.Claims, [&](const IncarnationClaim &C) {
    return C.Entry.ProcessStartMs == ProcessStartMs || C.LatestCall < Number;
  });
  if (!S.Entry.ProcessStartMs)
    S.Entry.ProcessStartMs = ProcessStartMs;
  if (ProcessStartMs == S.Entry.ProcessStartMs)
    return;
  // Without an entry of this incarnation, only the known address is certain to
  // be the worker's.
  if (!Own && Address != S.Entry.Address)
    return;
  Shared.log(409, {{"worker", S.Entry.Id}, {"runs", S.Runs.size()}});
  onWorkerRestarted(S, ProcessStartMs);
  S.Described = S.Confirmed = S.Synced = false;
  if (Own) {
    describeWorker(S, std::move(Own->Entry), Own->ReadAt);
    S.Confirmed = S.Entry.Address == Address;
  }
}

void Owner::abandonSync(Session &S) {
  S.SyncInFlight = false;
  S.SyncNumber = 0;
  S.SyncAcknowledgesTo = 0;
  S.NextSyncAt = Shared.mono();
}

bool Owner::isServiceInUse(const std::string &Service) {
  if (ServicesInUse.contains(Service))
    return true;
  UnusedServiceListed = true;
  return false;
}

void Owner::learnService(const std::string &Service) {
  if (!ServicesInUse.insert(Service).second || !UnusedServiceListed)
    return;
  UnusedServiceListed = false;
  Registry.restart();
}

void Owner::learnServices() {
  if (ServicesFrom == Shared.Config || !Shared.Config)
    return;
  ServicesFrom = Shared.Config;
  for (const std::string &Name : ServicesFrom->Services)
    learnService(Name);
  for (const Queue &Q : ServicesFrom->Queues)
    learnService(Q.Service);
}

} // namespace heathersaddle::cluster
