// A node follows two topics: the control topic, which holds jobs and
// ownership, and the operator's configuration. Everything else hangs off
// them: the election (Election.cpp), callers' requests (Requests.cpp) and,
// while this node is the owner, scheduling (Owner*.cpp).
#include "NodeImpl.h"

namespace heathersaddle::cluster {

static constexpr Millis OperatorGap{100};
/// State older than this is not served as "unknown job", and the daemon asks
/// to be left out of the balancer's rotation.
static constexpr Millis StaleAfter{2'500};

Node::Impl::Impl(NodeSettings Settings, std::function<ClockReading()> Clock,
                 base::StructuredLog &Log)
    : C(std::move(Settings), std::move(Clock), Log),
      Control(C, FollowerGap, ControlWait), Incoming(C),
      Operator(C, OperatorGap) {
  Incoming.OnStored = [this](const Submission &S, std::uint64_t Offset) {
    stored(S, Offset);
  };
  Incoming.Unreachable = [this] { return Control.failing(); };
  Control.OnReset = [this] {
    // An owner's state is ahead of the pages; it gives up before they count.
    if (Own)
      DeposedReason = "the history that it follows has been deleted";
    else
      C.Ledger.clear();
  };
  Control.OnEntry = [this](KeyValue &&R) { onControl(std::move(R)); };
  Operator.OnEntry = [this](OperatorChange &&Change) {
    onOperator(std::move(Change));
  };
}

void Node::Impl::onControl(KeyValue &&Record) {
  // While this node is the owner its own state is ahead of its records.
  auto Applied =
      Own ? C.Ledger.applyCallersRecord(Record) : C.Ledger.apply(Record);
  if (!Applied)
    C.log(405, {{"key", Record.Key}, {"reason", Applied.error().toString()}});
  if (!Own)
    return;
  if (C.Ledger.owner().Epoch > Own->epoch()) {
    DeposedReason = "a later owner has claimed";
    return;
  }
  if (Record.Key.size() > 2 && (Record.Key[0] == 'j' || Record.Key[0] == 'x'))
    Own->jobChanged(std::string_view(Record.Key).substr(2));
}

void Node::Impl::onOperator(OperatorChange &&Change) {
  if (!Change.Config)
    return;
  // Within one life of the process a version never gives way to an older one.
  if (C.Config && Change.Config->Version <= C.Config->Version)
    return;
  C.log(404, {{"version", Change.Config->Version},
              {"before", C.Config ? C.Config->Version : 0},
              {"queues", Change.Config->Queues.size()},
              {"accounts", Change.Config->Accounts.size()}});
  C.Config = std::move(Change.Config);
}

void Node::Impl::watchStore() {
  bool Up = Control.fresh(StaleAfter);
  if (Up == StoreUp)
    return;
  StoreUp = Up;
  if (Up)
    C.log(402, {{"next", Control.next()}, {"jobs", C.Ledger.jobs().size()}});
  else
    C.log(403, {{"next", Control.next()}});
}

void Node::Impl::tick() {
  Control.tick();
  Operator.tick();
  watchStore();
  resolveCancels();
  elect();
  if (Own && DeposedReason.empty())
    Own->tick();
  // After a handover this daemon serves callers from what the topic says.
  if (Own && Own->released())
    Stopping ? stepDown("stopping") : giveUp();
  if (Own && !DeposedReason.empty())
    stepDown(std::exchange(DeposedReason, {}));
}

Node::Node(NodeSettings Settings, std::function<ClockReading()> Clock,
           base::StructuredLog &Log)
    : I(std::make_unique<Impl>(std::move(Settings), std::move(Clock), Log)) {}
Node::~Node() = default;

void Node::start() { I->tick(); }
void Node::tick() { I->tick(); }
std::vector<Action> Node::takeActions() {
  return std::exchange(I->C.Actions, {});
}
std::shared_ptr<const Configuration> Node::configuration() const {
  return I->C.Config;
}
bool Node::ready() const {
  return !I->Stopping && I->C.Config && I->Control.fresh(StaleAfter) &&
         I->Operator.fresh(StaleAfter);
}
bool Node::isOwner() const { return I->Own != nullptr; }
void Node::submit(workload::JobSpec Spec,
                  std::function<void(std::optional<Refusal>)> Done) {
  I->submit(std::move(Spec), std::move(Done));
}
StatusResult Node::status(std::string_view Job) const { return I->status(Job); }
void Node::cancel(std::string_view Job, std::function<void(Lookup)> Done) {
  I->cancel(Job, std::move(Done));
}
std::optional<std::size_t> Node::waiting(std::string_view Queue) const {
  return I->waiting(Queue);
}
std::string Node::forwardTarget() const { return I->forwardTarget(); }
bool Node::storeIsSlow() const {
  return I->C.storeIsSlow() || I->ownersAppend() >= Core::SlowAppend;
}
void Node::recordForwarded(std::string_view Path, std::string_view Peer,
                           PeerAnswer How, base::Millis Took) {
  I->C.count("requests_passed_on");
  I->C.log(438, {{"path", Path},
                 {"peer", Peer},
                 {"how", name(How)},
                 {"took_ms", Took.count()},
                 {"epoch", I->C.Ledger.owner().Epoch}});
}
void Node::beginStop() {
  I->Stopping = true;
  if (I->Own)
    I->Own->beginStop();
}
bool Node::stopped() const { return !I->Own || I->Own->released(); }
const NodeStats &Node::stats() const { return I->C.Stats; }

} // namespace heathersaddle::cluster
