// Approach: a link first sends an empty command list to read the worker's boot
// id and clock, because a lease is a time on the worker's own clock. A full
// sync follows; only then are commands delivered. From then on one long poll
// renews the lease and waits for events. Events are acknowledged once their
// results are in the log. Until then a poll would return at once with the same
// events, so polls are repeated at growing intervals.
// Bounds: one identity request, one list, one poll and one delivery at a time;
// MaxCommandsPerDelivery per delivery.
#include "WorkerLink.h"
#include "WorkerWire.h"

namespace heathersaddle::control {

namespace {
constexpr std::size_t MaxCommandsPerDelivery = 64;
constexpr base::Millis RetryBaseDelay{200};
constexpr base::Millis RetryMaxDelay{10'000};
constexpr base::Millis MinPollGap{50};
constexpr base::Millis MaxPollGap{5'000};
/// A worker that has been unreachable for this long gets no new work.
constexpr base::Millis LostTimeout{10'000};
/// A worker that this owner has not synced yet delays the placements chosen for
/// it, so it counts as lost sooner: urgent work must start within 1.4 s.
constexpr base::Millis UnsyncedLostTimeout{1'000};
/// Minimum time between two lists, so that they are not requested in a tight
/// loop while a task takes long to stop.
constexpr base::Millis MinListGap{500};
/// Load pattern: workers leave commands unanswered and carry them out seconds
/// later, possibly after the job has ended. For this long after such a delivery
/// the worker's list is requested again and again; what runs there and is no
/// longer wanted is stopped.
constexpr base::Millis MaxCommandDelay{15'000};
constexpr base::Millis LateCommandListGap{2'000};
/// Allowance for clocks that run at different speeds, in percent.
constexpr int ClockDriftPercent = 1;
} // namespace

base::MonoTime WorkerLink::leaseExpiryAfter(const NodeSettings &S,
                                            base::MonoTime T) {
  return T + S.WorkerLease + S.WorkerLease * ClockDriftPercent / 100;
}

bool WorkerLink::lost() const {
  return Failures > 0 && NodeCore.now() - FailingSince >=
                             (Synced ? LostTimeout : UnsyncedLostTimeout);
}

void WorkerLink::tick(const WeakLink &Weak) {
  if (NodeCore.now() < RetryAt)
    return;
  if (!Identified) {
    if (!IdentityInFlight)
      requestIdentity(Weak);
    return;
  }
  if (LateCommandsUntil != base::MonoTime{} &&
      NodeCore.now() - ListAt >= LateCommandListGap) {
    // The last of these lists is requested after the latest possible effect.
    ListWanted = true;
    if (NodeCore.now() >= LateCommandsUntil)
      LateCommandsUntil = {};
  }
  if (!ListInFlight && (!Synced || (ListWanted && NodeCore.now() >= ListAt)))
    requestList(Weak);
  if (!Synced)
    return;
  if (Delivering.empty() && !Outbox.empty())
    deliver(Weak);
  acknowledgeRecorded();
  if (!PollInFlight && (Unrecorded.empty() || NodeCore.now() >= PollAt))
    poll(Weak);
}

json::object WorkerLink::header() const {
  return {{"cell", Cell}, {"epoch", Epoch}, {"owner", NodeCore.Settings.Name}};
}

json::object WorkerLink::syncBody(base::Millis Wait, bool Full) {
  json::object Body = header();
  // The worker may accept this lease even if its reply is lost.
  LeaseExpiry = std::max(
      LeaseExpiry, leaseExpiryAfter(NodeCore.Settings, WorkerClockReadAt));
  Body["lease_until_ms"] =
      WorkerClockMs + NodeCore.Settings.WorkerLease.count();
  Body["after"] = LastAcknowledged;
  Body["wait_ms"] = Wait.count();
  if (Full)
    Body["full"] = true;
  addUsagePeriod(Body, Full);
  return Body;
}

/// A worker keeps the period that it was last sent, so the period is sent again
/// only when it has changed by more than a quarter.
void WorkerLink::addUsagePeriod(json::object &Body, bool Full) {
  base::Millis Wanted = Listener.usagePeriod();
  base::Millis Change = Wanted > RequestedUsagePeriod
                            ? Wanted - RequestedUsagePeriod
                            : RequestedUsagePeriod - Wanted;
  if (!Full && Change * 4 <= RequestedUsagePeriod)
    return;
  RequestedUsagePeriod = Wanted;
  Body["usage_ms"] = Wanted.count();
}

void WorkerLink::requestIdentity(const WeakLink &Weak) {
  IdentityInFlight = true;
  json::object Body = header();
  Body["commands"] = json::array();
  NodeCore.callWorker(
      Worker, Address, "/v1/commands", std::move(Body),
      NodeCore.Settings.CallTimeout,
      [Weak, R = Generation](const base::Expected<json::value> &Reply) {
        auto Link = Weak.lock();
        if (Link && Link->Generation == R)
          Link->onIdentity(Reply);
      });
}

void WorkerLink::onIdentity(const base::Expected<json::value> &R) {
  IdentityInFlight = false;
  if (acceptReply(R))
    Identified = true;
}

void WorkerLink::requestList(const WeakLink &Weak) {
  ListInFlight = true;
  ListWanted = false;
  ListAt = NodeCore.now() + MinListGap;
  std::uint64_t Since = Listener.nextChange();
  NodeCore.callWorker(
      Worker, Address, "/v1/sync", syncBody(base::Millis(0), true),
      NodeCore.Settings.CallTimeout,
      [Weak, Since, R = Generation](const base::Expected<json::value> &Reply) {
        auto Link = Weak.lock();
        if (!Link || Link->Generation != R)
          return;
        Link->ListInFlight = false;
        Link->onSync(Reply, true, Since);
      });
}

void WorkerLink::poll(const WeakLink &Weak) {
  PollInFlight = true;
  base::Millis Wait =
      Unrecorded.empty() ? NodeCore.Settings.SyncWait : base::Millis(0);
  NodeCore.callWorker(
      Worker, Address, "/v1/sync", syncBody(Wait, false),
      Wait + NodeCore.Settings.CallTimeout,
      [Weak, R = Generation](const base::Expected<json::value> &Reply) {
        auto Link = Weak.lock();
        if (!Link || Link->Generation != R)
          return;
        Link->PollInFlight = false;
        Link->onSync(Reply, false, 0);
      });
}

void WorkerLink::deliver(const WeakLink &Weak) {
  std::size_t Count = std::min(Outbox.size(), MaxCommandsPerDelivery);
  auto End = Outbox.begin() + std::ptrdiff_t(Count);
  Delivering.assign(std::make_move_iterator(Outbox.begin()),
                    std::make_move_iterator(End));
  Outbox.erase(Outbox.begin(), End);
  json::object Body = header();
  json::array List;
  for (Command &Cmd : Delivering)
    List.push_back(std::move(Cmd.Body));
  Body["commands"] = std::move(List);
  NodeCore.callWorker(
      Worker, Address, "/v1/commands", std::move(Body),
      NodeCore.Settings.CallTimeout,
      [Weak, R = Generation](const base::Expected<json::value> &Reply) {
        auto Link = Weak.lock();
        if (Link && Link->Generation == R)
          Link->onDelivered(Reply);
      });
}

void WorkerLink::onDelivered(const base::Expected<json::value> &R) {
  std::vector<Command> Done = std::exchange(Delivering, {});
  if (!acceptReply(R)) {
    awaitLateCommands();
    for (const Command &Cmd : Done)
      Listener.onNoReply(Worker, Cmd);
    return;
  }
  std::vector<CommandResult> Results = readResults(R->as_object());
  for (std::size_t I = 0; I < Done.size(); ++I) {
    if (I < Results.size())
      Listener.onResult(Worker, Done[I], Results[I].Ok, Results[I].Code);
    else
      Listener.onNoReply(Worker, Done[I]);
  }
}

bool WorkerLink::acceptReply(const base::Expected<json::value> &R) {
  if (!R) {
    onFailure(R.error());
    return false;
  }
  auto Who = readIdentity(*R);
  if (!Who) {
    onFailure(Who.error());
    return false;
  }
  Failures = 0;
  WorkerClockMs = Who->ClockMs;
  WorkerClockReadAt = NodeCore.now();
  bool Restarted = !BootId.empty() && BootId != Who->Boot;
  BootId = Who->Boot;
  if (Restarted)
    onRestart();
  return !Restarted;
}

void WorkerLink::onRestart() {
  NodeCore.log(EventWorkerRestarted, "worker " + Worker + " restarted");
  // The worker may number its events from zero again.
  LastAcknowledged = LastReceived = 0;
  Unrecorded.clear();
  Listener.onRestarted(Worker);
  reset();
  Identified = true;
}

void WorkerLink::onFailure(const base::Error &E) {
  if (E.Code == base::ErrorCode::Conflict) {
    Listener.onEpochRejected(Worker);
    RetryAt = NodeCore.now() + RetryMaxDelay;
  } else {
    RetryAt = NodeCore.now() +
              NodeCore.backoff(Failures, RetryBaseDelay, RetryMaxDelay);
  }
  if (Failures++ == 0)
    FailingSince = NodeCore.now();
  reset();
}

void WorkerLink::reset() {
  // The next full sync shows the effect of all calls and commands that were in
  // progress.
  ++Generation;
  Identified = Synced = IdentityInFlight = ListInFlight = PollInFlight = false;
  std::vector<Command> Open = std::exchange(Delivering, {});
  if (!Open.empty())
    awaitLateCommands();
  for (Command &Cmd : std::exchange(Outbox, {}))
    Open.push_back(std::move(Cmd));
  for (const Command &Cmd : Open)
    Listener.onNoReply(Worker, Cmd);
}

void WorkerLink::awaitLateCommands() {
  LateCommandsUntil = NodeCore.now() + MaxCommandDelay;
}

void WorkerLink::onSync(const base::Expected<json::value> &R, bool Full,
                        std::uint64_t Since) {
  if (!acceptReply(R))
    return;
  const json::object &Reply = R->as_object();
  readEvents(Reply);
  if (!Full)
    return;
  Synced = true;
  Listener.onTaskList(Worker, readTasks(Reply), Since);
}

void WorkerLink::readEvents(const json::object &Reply) {
  bool Fresh = false;
  for (WorkerEvent &E : readWorkerEvents(Reply)) {
    if (E.Sequence <= LastReceived)
      continue;
    LastReceived = E.Sequence;
    Fresh = true;
    Listener.onEvent(Worker, E);
    E.Text.clear();
    Unrecorded.push_back(std::move(E));
  }
  PollGap = Fresh ? MinPollGap : std::min(PollGap * 2, MaxPollGap);
  PollAt = NodeCore.now() + PollGap;
  acknowledgeRecorded();
}

void WorkerLink::acknowledgeRecorded() {
  while (!Unrecorded.empty() && Listener.isRecorded(Unrecorded.front())) {
    LastAcknowledged = Unrecorded.front().Sequence;
    Unrecorded.pop_front();
  }
}

} // namespace heathersaddle::control
