// Approach: every call sets the time, passes the event to the component that
// it concerns and then runs all components. The components depend on each
// other only through the state, the append queue and a few callbacks that are
// connected here.
#include "heathersaddle/control/Node.h"
#include "AppendQueue.h"
#include "HostList.h"
#include "Ownership.h"
#include "Requests.h"
#include "Snapshots.h"
#include "Tail.h"

namespace heathersaddle::control {

namespace {
/// A planned stop waits at most this long for the log.
constexpr base::Millis StopTimeout{10'000};
/// Minimum time between two daemon_joined records of this daemon. The record is
/// repeated when other daemons removed this one.
constexpr base::Millis JoinRetryDelay{2'000};
} // namespace

struct Node::Impl {
  explicit Impl(NodeSettings Settings)
      : NodeCore(std::move(Settings)), Queue(NodeCore), LogTail(NodeCore),
        Hosts(NodeCore), Snapshots(NodeCore, Queue),
        Owners(NodeCore, Queue, Hosts, LogTail),
        CallerRequests(NodeCore, Queue) {
    LogTail.OnApplied = [this](const state::Record &R, std::uint64_t Offset,
                               const state::Verdict &V) {
      onApplied(R, Offset, V);
    };
    LogTail.OnRestored = [this] { onRestored(); };
    LogTail.OnLogUp = [this] { Owners.onLogUp(); };
    Owners.OnUnrecordedAnswer = [this](const state::Job &J,
                                       const std::vector<std::string> &Parts) {
      CallerRequests.pushAnswer(J, Parts);
    };
    CallerRequests.LogDown = [this] { return logDown(); };
    Owners.FindPushedAnswer = [this](const state::Job &J) {
      return CallerRequests.pushedAnswer(J);
    };
  }

  Core NodeCore;
  AppendQueue Queue;
  Tail LogTail;
  HostList Hosts;
  SnapshotWriter Snapshots;
  Ownership Owners;
  Requests CallerRequests;
  base::MonoTime JoinAt{};
  base::MonoTime StopDeadline{};
  bool JoinInFlight = false;
  bool Stopping = false;
  bool LeaveInFlight = false; ///< daemon_left is queued.
  bool HasLeft = false;

  bool logDown() const { return Queue.failing() || LogTail.failing(); }
  bool ready() const { return LogTail.caughtUp() && !Stopping; }

  void onApplied(const state::Record &R, std::uint64_t Offset,
                 const state::Verdict &V);
  void onRestored();
  void join();
  void runComponents(Now T);
  void continueStop();
  bool writesSnapshots() const;
  /// Why a request that needs the log is refused now, or nothing.
  std::optional<base::Error> refusal(std::string_view Step) const;
};

void Node::Impl::onApplied(const state::Record &R, std::uint64_t Offset,
                           const state::Verdict &V) {
  if (const auto *S = std::get_if<state::SnapshotTaken>(&R.What))
    Snapshots.onSnapshotTaken(S->Covered);
  Owners.onApplied(R, V);
  Queue.onApplied(R, Offset, V);
  if (V.Applied && !V.Job.empty())
    CallerRequests.onJobChanged(V.Job);
}

void Node::Impl::onRestored() {
  NodeCore.ClockChangedAt = NodeCore.now();
  Queue.onRestored();
  Snapshots.onRestored(NodeCore.State.nextOffset());
  Owners.onRestored();
  CallerRequests.onRestored();
}

bool Node::Impl::writesSnapshots() const {
  const auto &Cells = NodeCore.State.cells();
  return !Cells.empty() && Owners.owned(Cells.begin()->first);
}

void Node::Impl::join() {
  auto It = NodeCore.State.daemons().find(NodeCore.Settings.Name);
  bool Known = It != NodeCore.State.daemons().end() &&
               It->second.Address == NodeCore.Settings.Address &&
               It->second.DataCentre == NodeCore.Settings.DataCentre;
  if (Known || JoinInFlight || Stopping || NodeCore.now() < JoinAt)
    return;
  JoinAt = NodeCore.now() + JoinRetryDelay;
  JoinInFlight = Queue.push(
      state::DaemonJoined{NodeCore.Settings.Name, NodeCore.Settings.Address,
                          NodeCore.Settings.DataCentre},
      [this](const AppendResult &) { JoinInFlight = false; });
}

void Node::Impl::runComponents(Now T) {
  NodeCore.CurrentTime = T;
  if (HasLeft)
    return;
  LogTail.tick();
  Queue.expire();
  CallerRequests.tick();
  if (LogTail.caughtUp()) {
    join();
    Hosts.tick(Owners.any());
    Owners.tick(logDown(), Stopping);
    Snapshots.tick(!logDown() && !Stopping && writesSnapshots());
    if (Stopping)
      continueStop();
    Queue.sendIfDue();
  }
  if (Queue.takeReadRequested())
    LogTail.readNow();
}

void Node::Impl::continueStop() {
  if (!Owners.any() && !LeaveInFlight && CallerRequests.idle())
    LeaveInFlight =
        Queue.push(state::DaemonLeft{NodeCore.Settings.Name},
                   [this](const AppendResult &) { HasLeft = true; });
}

std::optional<base::Error> Node::Impl::refusal(std::string_view Step) const {
  auto MakeError = [&](const char *Why) {
    return base::Error{base::ErrorCode::Unavailable, std::string(Step), "", Why,
                       ""};
  };
  if (Stopping)
    return MakeError("this daemon is stopping; nothing took effect");
  if (!LogTail.caughtUp())
    return MakeError("this daemon is recovering; nothing took effect");
  if (logDown())
    return MakeError("the log is down; nothing took effect");
  return std::nullopt;
}

Node::Node(NodeSettings Settings)
    : Pimpl(std::make_unique<Impl>(std::move(Settings))) {}
Node::~Node() = default;
Node::Node(Node &&) noexcept = default;
Node &Node::operator=(Node &&) noexcept = default;

void Node::start(Now T) { Pimpl->runComponents(T); }

void Node::tick(Now T) {
  Pimpl->runComponents(T);
  if (!Pimpl->Stopping || Pimpl->HasLeft || T.Mono < Pimpl->StopDeadline)
    return;
  Pimpl->Queue.abandon();
  Pimpl->CallerRequests.answerAllWaiters();
  Pimpl->HasLeft = true;
}

std::vector<Action> Node::takeActions() {
  return std::exchange(Pimpl->NodeCore.Actions, {});
}

void Node::onAppended(std::uint64_t Call,
                      const base::Expected<std::uint64_t> &First, Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  Pimpl->Queue.onAppended(Call, First);
  Pimpl->Snapshots.onAppended(Call, First);
  Pimpl->runComponents(T);
}

void Node::onRead(std::uint64_t Call, const base::Expected<ReadResult> &Result,
                  Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  Pimpl->LogTail.onRead(Call, Result);
  Pimpl->runComponents(T);
}

void Node::onWorkerReply(std::uint64_t Call,
                         base::Expected<boost::json::value> Reply, Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  Pimpl->NodeCore.WorkerCalls.finish(Call, std::move(Reply));
  Pimpl->runComponents(T);
}

void Node::onPeerReply(std::uint64_t Call,
                       base::Expected<boost::json::value> Reply, Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  Pimpl->NodeCore.PeerCalls.finish(Call, std::move(Reply));
  Pimpl->runComponents(T);
}

void Node::onHosts(std::uint64_t Call,
                   base::Expected<std::vector<HostEntry>> Hosts, Now T) {
  onHostChanges(Call, std::move(Hosts).map([](std::vector<HostEntry> &&All) {
    return HostChanges{true, std::move(All), {}};
  }),
                T);
}

void Node::onHostChanges(std::uint64_t Call,
                         base::Expected<HostChanges> Changes, Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  Pimpl->Hosts.onChanges(Call, std::move(Changes));
  Pimpl->runComponents(T);
}

base::Expected<boost::json::value>
Node::onPeerRequest(std::string_view Path, const boost::json::value &Body,
                    Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  if (Path == "/v1/peer/ping")
    return json::object{{"daemon", Pimpl->NodeCore.Settings.Name},
                        {"ready", Pimpl->ready()}};
  if (Path == "/v1/peer/answers")
    return Pimpl->CallerRequests.onPushedAnswer(Body);
  return base::makeError(base::ErrorCode::NotFound, "peer request",
                         "there is no such path");
}

void Node::submit(SubmitRequest Request, const Completion<SubmitResult> &Done,
                  Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  if (auto Why = Pimpl->refusal("submit")) {
    Done(tl::unexpected(std::move(*Why)));
    return;
  }
  Pimpl->CallerRequests.submit(std::move(Request), Done);
  Pimpl->runComponents(T);
}

void Node::wait(std::string_view Job, std::string_view Account,
                base::Millis MaxWait, Completion<JobAnswer> Done, Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  Pimpl->CallerRequests.wait(Job, Account,
                             Pimpl->Stopping ? base::Millis(0) : MaxWait,
                             std::move(Done));
}

base::Expected<JobAnswer> Node::status(std::string_view Job,
                                       std::string_view Account) const {
  return Pimpl->CallerRequests.status(Job, Account);
}

void Node::cancel(std::string_view Job, std::string_view Account,
                  const Completion<JobAnswer> &Done, Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  if (auto Why = Pimpl->refusal("cancel")) {
    Done(tl::unexpected(std::move(*Why)));
    return;
  }
  Pimpl->CallerRequests.cancel(Job, Account, Done);
  Pimpl->runComponents(T);
}

void Node::publish(state::ListChange Change,
                   const Completion<state::ListVerdict> &Done, Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  if (auto Why = Pimpl->refusal("publish")) {
    Done(tl::unexpected(std::move(*Why)));
    return;
  }
  Pimpl->CallerRequests.publish(std::move(Change), Done);
  Pimpl->runComponents(T);
}

base::Expected<policy::Explanation>
Node::explain(std::string_view Job, std::string_view Account, Now T) const {
  Pimpl->NodeCore.CurrentTime = T;
  auto Known = Pimpl->CallerRequests.status(Job, Account);
  if (!Known)
    return tl::unexpected(Known.error());
  const state::Job *J = Pimpl->NodeCore.State.job(Job);
  const CellOwner *O = Pimpl->Owners.owned(J->Cell);
  if (Known->Status != state::JobStatus::Pending)
    return policy::Explanation{"none", "The job does not wait."};
  if (O)
    return O->explain(Job);
  return policy::Explanation{"order", "The job waits in data centre " +
                                          J->Cell +
                                          ", which another daemon schedules."};
}

const state::State &Node::state() const { return Pimpl->NodeCore.State; }
bool Node::ready() const { return Pimpl->ready(); }
bool Node::logDown() const { return Pimpl->logDown(); }
std::vector<std::string> Node::ownedCells() const {
  return Pimpl->Owners.cells();
}

void Node::beginStop(Now T) {
  Pimpl->NodeCore.CurrentTime = T;
  if (std::exchange(Pimpl->Stopping, true))
    return;
  Pimpl->StopDeadline = T.Mono + StopTimeout;
  Pimpl->CallerRequests.answerAllWaiters();
  Pimpl->Owners.release();
  if (!Pimpl->LogTail.caughtUp()) {
    Pimpl->Queue.abandon();
    Pimpl->CallerRequests.answerAllWaiters();
    Pimpl->HasLeft = true;
  }
  Pimpl->runComponents(T);
}

bool Node::stopped() const { return Pimpl->HasLeft; }

} // namespace heathersaddle::control
