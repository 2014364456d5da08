// Approach: every call sets the time, hands the event to its phase and then
// lets all phases go on. Phases know each other only through the state, the
// append queue and a few callbacks that are connected here.
#include "heathersaddle/control/Node.h"
#include "AppendQueue.h"
#include "HostList.h"
#include "Ownership.h"
#include "Requests.h"
#include "Snapshots.h"
#include "Tail.h"

namespace heathersaddle::control {

namespace {
/// A planned stop does not wait longer than this for the log.
constexpr base::Millis StopLimit{10'000};
/// The own daemon_joined record is repeated when others removed the daemon.
constexpr base::Millis JoinRetry{2'000};
} // namespace

struct Node::Impl {
  explicit Impl(NodeSettings Settings)
      : C(std::move(Settings)), Queue(C), Log(C), Hosts(C), Snapshots(C, Queue),
        Owners(C, Queue, Hosts, Log), Callers(C, Queue) {
    Log.OnApplied = [this](const state::Record &R, std::uint64_t Offset,
                           const state::Verdict &V) { applied(R, Offset, V); };
    Log.OnRestored = [this] { restored(); };
    Log.OnLogUp = [this] { Owners.onLogUp(); };
    Owners.OnAnswer = [this](const state::Job &J,
                             const std::vector<std::string> &Parts) {
      Callers.pushAnswer(J, Parts);
    };
    Callers.LogDown = [this] { return logDown(); };
    Owners.PushedAnswer = [this](const state::Job &J) {
      return Callers.early(J);
    };
  }

  Core C;
  AppendQueue Queue;
  Tail Log;
  HostList Hosts;
  SnapshotWriter Snapshots;
  Ownership Owners;
  Requests Callers;
  base::MonoTime JoinAt{};
  base::MonoTime StopBy{};
  bool Joining = false;
  bool Stopping = false;
  bool Leaving = false; ///< daemon_left is queued.
  bool Left = false;

  bool logDown() const { return Queue.failing() || Log.failing(); }
  bool ready() const { return Log.caughtUp() && !Stopping; }

  void applied(const state::Record &R, std::uint64_t Offset,
               const state::Verdict &V);
  void restored();
  void join();
  void proceed(Now T);
  void proceedStop();
  bool snapshotsAreOurs() const;
  /// Why a request that needs the log cannot be taken now, or nothing.
  std::optional<base::Error> refusal(std::string_view Step) const;
};

void Node::Impl::applied(const state::Record &R, std::uint64_t Offset,
                         const state::Verdict &V) {
  if (const auto *S = std::get_if<state::SnapshotTaken>(&R.What))
    Snapshots.noteTaken(S->Covered);
  Owners.onApplied(R, V);
  Queue.onApplied(R, Offset, V);
  if (V.Applied && !V.Job.empty())
    Callers.onJobChanged(V.Job);
}

void Node::Impl::restored() {
  C.ClockAt = C.now();
  Queue.onRestored();
  Snapshots.onRestored(C.St.nextOffset());
  Owners.onRestored();
  Callers.onRestored();
}

bool Node::Impl::snapshotsAreOurs() const {
  const auto &Cells = C.St.cells();
  return !Cells.empty() && Owners.owned(Cells.begin()->first);
}

void Node::Impl::join() {
  auto It = C.St.daemons().find(C.S.Name);
  bool Known = It != C.St.daemons().end() &&
               It->second.Address == C.S.Address &&
               It->second.DataCentre == C.S.DataCentre;
  if (Known || Joining || Stopping || C.now() < JoinAt)
    return;
  JoinAt = C.now() + JoinRetry;
  Joining =
      Queue.push(state::DaemonJoined{C.S.Name, C.S.Address, C.S.DataCentre},
                 [this](const Fate &) { Joining = false; });
}

void Node::Impl::proceed(Now T) {
  C.T = T;
  if (Left)
    return;
  Log.tick();
  Queue.expire();
  Callers.tick();
  if (Log.caughtUp()) {
    join();
    Hosts.tick(Owners.any());
    Owners.tick(logDown(), Stopping);
    Snapshots.tick(!logDown() && !Stopping && snapshotsAreOurs());
    if (Stopping)
      proceedStop();
    Queue.pump();
  }
  if (Queue.takeProbeWanted())
    Log.probe();
}

void Node::Impl::proceedStop() {
  if (!Owners.any() && !Leaving && Callers.idle())
    Leaving = Queue.push(state::DaemonLeft{C.S.Name},
                         [this](const Fate &) { Left = true; });
}

std::optional<base::Error> Node::Impl::refusal(std::string_view Step) const {
  auto Because = [&](const char *Why) {
    return base::Error{base::ErrorCode::Unavailable, std::string(Step), "", Why,
                       ""};
  };
  if (Stopping)
    return Because("this daemon is stopping; nothing took effect");
  if (!Log.caughtUp())
    return Because("this daemon is recovering; nothing took effect");
  if (logDown())
    return Because("the log is down; nothing took effect");
  return std::nullopt;
}

Node::Node(NodeSettings Settings)
    : I(std::make_unique<Impl>(std::move(Settings))) {}
Node::~Node() = default;
Node::Node(Node &&) noexcept = default;
Node &Node::operator=(Node &&) noexcept = default;

void Node::start(Now T) { I->proceed(T); }

void Node::tick(Now T) {
  I->proceed(T);
  if (!I->Stopping || I->Left || T.Mono < I->StopBy)
    return;
  I->Queue.abandon();
  I->Callers.flush();
  I->Left = true;
}

std::vector<Action> Node::takeActions() { return std::exchange(I->C.Out, {}); }

void Node::onAppended(std::uint64_t Call,
                      const base::Expected<std::uint64_t> &First, Now T) {
  I->C.T = T;
  I->Queue.onAppended(Call, First);
  I->Snapshots.onAppended(Call, First);
  I->proceed(T);
}

void Node::onRead(std::uint64_t Call, const base::Expected<ReadResult> &Result,
                  Now T) {
  I->C.T = T;
  I->Log.onRead(Call, Result);
  I->proceed(T);
}

void Node::onWorkerReply(std::uint64_t Call,
                         base::Expected<boost::json::value> Reply, Now T) {
  I->C.T = T;
  I->C.Workers.finish(Call, std::move(Reply));
  I->proceed(T);
}

void Node::onPeerReply(std::uint64_t Call,
                       base::Expected<boost::json::value> Reply, Now T) {
  I->C.T = T;
  I->C.Peers.finish(Call, std::move(Reply));
  I->proceed(T);
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
  I->C.T = T;
  I->Hosts.onChanges(Call, std::move(Changes));
  I->proceed(T);
}

base::Expected<boost::json::value>
Node::onPeerRequest(std::string_view Path, const boost::json::value &Body,
                    Now T) {
  I->C.T = T;
  if (Path == "/v1/peer/ping")
    return json::object{{"daemon", I->C.S.Name}, {"ready", I->ready()}};
  if (Path == "/v1/peer/answers")
    return I->Callers.onPushedAnswer(Body);
  return base::makeError(base::ErrorCode::NotFound, "peer request",
                         "there is no such path");
}

void Node::submit(SubmitRequest Request, const Completion<SubmitResult> &Done,
                  Now T) {
  I->C.T = T;
  if (auto Why = I->refusal("submit")) {
    Done(tl::unexpected(std::move(*Why)));
    return;
  }
  I->Callers.submit(std::move(Request), Done);
  I->proceed(T);
}

void Node::wait(std::string_view Job, std::string_view Account,
                base::Millis MaxWait, Completion<JobAnswer> Done, Now T) {
  I->C.T = T;
  I->Callers.wait(Job, Account, I->Stopping ? base::Millis(0) : MaxWait,
                  std::move(Done));
}

base::Expected<JobAnswer> Node::status(std::string_view Job,
                                       std::string_view Account) const {
  return I->Callers.status(Job, Account);
}

void Node::cancel(std::string_view Job, std::string_view Account,
                  const Completion<JobAnswer> &Done, Now T) {
  I->C.T = T;
  if (auto Why = I->refusal("cancel")) {
    Done(tl::unexpected(std::move(*Why)));
    return;
  }
  I->Callers.cancel(Job, Account, Done);
  I->proceed(T);
}

void Node::publish(state::ListChange Change,
                   const Completion<state::ListVerdict> &Done, Now T) {
  I->C.T = T;
  if (auto Why = I->refusal("publish")) {
    Done(tl::unexpected(std::move(*Why)));
    return;
  }
  I->Callers.publish(std::move(Change), Done);
  I->proceed(T);
}

base::Expected<policy::Explanation>
Node::explain(std::string_view Job, std::string_view Account, Now T) const {
  I->C.T = T;
  auto Known = I->Callers.status(Job, Account);
  if (!Known)
    return tl::unexpected(Known.error());
  const state::Job *J = I->C.St.job(Job);
  const CellOwner *O = I->Owners.owned(J->Cell);
  if (Known->Status != state::JobStatus::Pending)
    return policy::Explanation{"none", "The job does not wait."};
  if (O)
    return O->explain(Job);
  return policy::Explanation{"order", "The job waits in data centre " +
                                          J->Cell +
                                          ", which another daemon schedules."};
}

const state::State &Node::state() const { return I->C.St; }
bool Node::ready() const { return I->ready(); }
bool Node::logDown() const { return I->logDown(); }
std::vector<std::string> Node::ownedCells() const { return I->Owners.cells(); }

void Node::beginStop(Now T) {
  I->C.T = T;
  if (std::exchange(I->Stopping, true))
    return;
  I->StopBy = T.Mono + StopLimit;
  I->Callers.flush();
  I->Owners.release();
  if (!I->Log.caughtUp()) {
    I->Queue.abandon();
    I->Callers.flush();
    I->Left = true;
  }
  I->proceed(T);
}

bool Node::stopped() const { return I->Left; }

} // namespace heathersaddle::control
