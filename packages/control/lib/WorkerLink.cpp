// Approach: a link first greets the worker (an empty command list) to learn
// its boot id and clock, because a lease is a time on the worker's own clock.
// A full sync follows; only then are commands delivered. After that one long
// poll renews the lease and waits for events. Events are acknowledged once the
// log has recorded what they brought; until then the poll returns at once with
// the same events, so it is repeated at growing intervals instead.
// Bounds: one greeting, one list, one poll and one delivery at a time;
// MaxCommands per delivery.
#include "WorkerLink.h"
#include "WorkerWire.h"

namespace heathersaddle::control {

namespace {
constexpr std::size_t MaxCommands = 64;
constexpr base::Millis RetryFirst{200};
constexpr base::Millis RetryMost{10'000};
constexpr base::Millis PollGapFirst{50};
constexpr base::Millis PollGapMost{5'000};
/// Unreachable for this long, a worker gets no new work.
constexpr base::Millis LostAfter{10'000};
/// A worker that this owner has not synced yet holds up the placements meant
/// for it, so it is given up sooner: urgent work must start within 1.4 s.
constexpr base::Millis UnsyncedLostAfter{1'000};
/// Least time between two lists, so that a long stop does not become a loop.
constexpr base::Millis ListGap{500};
/// Allowance for clocks that run at different speeds, in percent.
constexpr int DriftPercent = 1;
} // namespace

base::MonoTime WorkerLink::boundAfter(const NodeSettings &S, base::MonoTime T) {
  return T + S.WorkerLease + S.WorkerLease * DriftPercent / 100;
}

bool WorkerLink::lost() const {
  return Failures > 0 && NodeCore.now() - FailingSince >=
                             (Synced ? LostAfter : UnsyncedLostAfter);
}

void WorkerLink::tick(const Self &Me) {
  if (NodeCore.now() < RetryAt)
    return;
  if (!Greeted) {
    if (!GreetOut)
      greet(Me);
    return;
  }
  if (!ListOut && (!Synced || (ListWanted && NodeCore.now() >= ListAt)))
    list(Me);
  if (!Synced)
    return;
  if (Delivering.empty() && !Outbox.empty())
    deliver(Me);
  settle();
  if (!PollOut && (Unsettled.empty() || NodeCore.now() >= PollAt))
    poll(Me);
}

json::object WorkerLink::header() const {
  return {{"cell", Cell}, {"epoch", Epoch}, {"owner", NodeCore.Settings.Name}};
}

json::object WorkerLink::syncBody(base::Millis Wait, bool Full) {
  json::object Body = header();
  // The worker may take this lease even if its reply never comes.
  LeaseBound = std::max(LeaseBound, boundAfter(NodeCore.Settings, ClockAt));
  Body["lease_until_ms"] = ClockMs + NodeCore.Settings.WorkerLease.count();
  Body["after"] = Acked;
  Body["wait_ms"] = Wait.count();
  if (Full)
    Body["full"] = true;
  askUsage(Body, Full);
  return Body;
}

/// A worker keeps the period it was told, so it is named again only when it has
/// changed by more than a quarter.
void WorkerLink::askUsage(json::object &Body, bool Full) {
  base::Millis Wanted = Listener.usagePeriod();
  base::Millis Change =
      Wanted > UsageAsked ? Wanted - UsageAsked : UsageAsked - Wanted;
  if (!Full && Change * 4 <= UsageAsked)
    return;
  UsageAsked = Wanted;
  Body["usage_ms"] = Wanted.count();
}

void WorkerLink::greet(const Self &Me) {
  GreetOut = true;
  json::object Body = header();
  Body["commands"] = json::array();
  NodeCore.callWorker(
      Worker, Address, "/v1/commands", std::move(Body),
      NodeCore.Settings.CallTimeout,
      [Me, R = Round](const base::Expected<json::value> &Reply) {
        auto Link = Me.lock();
        if (Link && Link->Round == R)
          Link->onGreeted(Reply);
      });
}

void WorkerLink::onGreeted(const base::Expected<json::value> &R) {
  GreetOut = false;
  if (heard(R))
    Greeted = true;
}

void WorkerLink::list(const Self &Me) {
  ListOut = true;
  ListWanted = false;
  ListAt = NodeCore.now() + ListGap;
  std::uint64_t Since = Listener.nextChange();
  NodeCore.callWorker(
      Worker, Address, "/v1/sync", syncBody(base::Millis(0), true),
      NodeCore.Settings.CallTimeout,
      [Me, Since, R = Round](const base::Expected<json::value> &Reply) {
        auto Link = Me.lock();
        if (!Link || Link->Round != R)
          return;
        Link->ListOut = false;
        Link->onSync(Reply, true, Since);
      });
}

void WorkerLink::poll(const Self &Me) {
  PollOut = true;
  base::Millis Wait =
      Unsettled.empty() ? NodeCore.Settings.SyncWait : base::Millis(0);
  NodeCore.callWorker(
      Worker, Address, "/v1/sync", syncBody(Wait, false),
      Wait + NodeCore.Settings.CallTimeout,
      [Me, R = Round](const base::Expected<json::value> &Reply) {
        auto Link = Me.lock();
        if (!Link || Link->Round != R)
          return;
        Link->PollOut = false;
        Link->onSync(Reply, false, 0);
      });
}

void WorkerLink::deliver(const Self &Me) {
  std::size_t Count = std::min(Outbox.size(), MaxCommands);
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
      [Me, R = Round](const base::Expected<json::value> &Reply) {
        auto Link = Me.lock();
        if (Link && Link->Round == R)
          Link->onDelivered(Reply);
      });
}

void WorkerLink::onDelivered(const base::Expected<json::value> &R) {
  std::vector<Command> Done = std::exchange(Delivering, {});
  if (!heard(R)) {
    for (const Command &Cmd : Done)
      Listener.onLost(Worker, Cmd);
    return;
  }
  std::vector<CommandResult> Results = readResults(R->as_object());
  for (std::size_t I = 0; I < Done.size(); ++I) {
    if (I < Results.size())
      Listener.onResult(Worker, Done[I], Results[I].Ok, Results[I].Code);
    else
      Listener.onLost(Worker, Done[I]);
  }
}

bool WorkerLink::heard(const base::Expected<json::value> &R) {
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
  ClockMs = Who->ClockMs;
  ClockAt = NodeCore.now();
  bool Restarted = !Boot.empty() && Boot != Who->Boot;
  Boot = Who->Boot;
  if (Restarted)
    onRestart();
  return !Restarted;
}

void WorkerLink::onRestart() {
  NodeCore.log(EventWorkerRestarted, "worker " + Worker + " restarted");
  // Event numbers may start again from zero.
  Acked = Heard = 0;
  Unsettled.clear();
  Listener.onRestarted(Worker);
  reset();
  Greeted = true;
}

void WorkerLink::onFailure(const base::Error &E) {
  if (E.Code == base::ErrorCode::Conflict) {
    Listener.onDeposed(Worker);
    RetryAt = NodeCore.now() + RetryMost;
  } else {
    RetryAt =
        NodeCore.now() + NodeCore.backoff(Failures, RetryFirst, RetryMost);
  }
  if (Failures++ == 0)
    FailingSince = NodeCore.now();
  reset();
}

void WorkerLink::reset() {
  // Whatever else is in progress is judged anew after the next full sync.
  ++Round;
  Greeted = Synced = GreetOut = ListOut = PollOut = false;
  std::vector<Command> Open = std::exchange(Delivering, {});
  for (Command &Cmd : std::exchange(Outbox, {}))
    Open.push_back(std::move(Cmd));
  for (const Command &Cmd : Open)
    Listener.onLost(Worker, Cmd);
}

void WorkerLink::onSync(const base::Expected<json::value> &R, bool Full,
                        std::uint64_t Since) {
  if (!heard(R))
    return;
  const json::object &Reply = R->as_object();
  readEvents(Reply);
  if (!Full)
    return;
  Synced = true;
  Listener.onListed(Worker, readTasks(Reply), Since);
}

void WorkerLink::readEvents(const json::object &Reply) {
  bool Fresh = false;
  for (WorkerEvent &E : readWorkerEvents(Reply)) {
    if (E.Id <= Heard)
      continue;
    Heard = E.Id;
    Fresh = true;
    Listener.onEvent(Worker, E);
    E.Text.clear();
    Unsettled.push_back(std::move(E));
  }
  PollGap = Fresh ? PollGapFirst : std::min(PollGap * 2, PollGapMost);
  PollAt = NodeCore.now() + PollGap;
  settle();
}

void WorkerLink::settle() {
  while (!Unsettled.empty() && Listener.settled(Unsettled.front())) {
    Acked = Unsettled.front().Id;
    Unsettled.pop_front();
  }
}

} // namespace heathersaddle::control
