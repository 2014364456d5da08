// A node follows two topics: the control topic, which holds jobs and
// ownership, and the operator's configuration. Everything else hangs off
// them: the election (Election.cpp), callers' requests (Requests.cpp) and,
// while this node is the owner, scheduling (Owner*.cpp).
#include "NodeImpl.h"

namespace heathersaddle::cluster {

static constexpr Millis OperatorReadInterval{100};
/// State older than this is not served as "unknown job", and the daemon asks
/// to be left out of the balancer's rotation.
static constexpr Millis MaxServedStateAge{2'500};

Node::Impl::Impl(NodeSettings Settings, std::function<ClockReading()> Clock,
                 base::StructuredLog &Log)
    : Shared(std::move(Settings), std::move(Clock), Log),
      Control(Shared, FollowerReadInterval, MaxControlReadWait),
      Incoming(Shared), Operator(Shared, OperatorReadInterval) {
  Incoming.OnStored = [this](const Submission &S, std::uint64_t Offset) {
    stored(S, Offset);
  };
  Incoming.Unreachable = [this] { return Control.failing(); };
  Control.OnReset = [this] {
    // An owner's state is ahead of the pages; it gives up before they count.
    if (ActiveOwner)
      DeposedReason = "the history that it follows has been deleted";
    else
      Shared.Ledger.clear();
  };
  Control.OnEntry = [this](KeyValue &&R) { onControl(std::move(R)); };
  Operator.OnEntry = [this](OperatorChange &&Change) {
    onOperator(std::move(Change));
  };
}

void Node::Impl::onControl(KeyValue &&Record) {
  // While this node is the owner its own state is ahead of its records.
  auto Applied = ActiveOwner ? Shared.Ledger.applyCallersRecord(Record)
                             : Shared.Ledger.apply(Record);
  if (!Applied)
    Shared.log(405,
               {{"key", Record.Key}, {"reason", Applied.error().toString()}});
  if (!ActiveOwner)
    return;
  if (Shared.Ledger.owner().Epoch > ActiveOwner->epoch()) {
    DeposedReason = "a later owner has claimed";
    return;
  }
  if (Record.Key.size() > 2 && (Record.Key[0] == 'j' || Record.Key[0] == 'x'))
    ActiveOwner->jobChanged(std::string_view(Record.Key).substr(2));
}

void Node::Impl::onOperator(OperatorChange &&Change) {
  if (!Change.Config)
    return;
  // Within one life of the process a version never gives way to an older one.
  if (Shared.Config && Change.Config->Version <= Shared.Config->Version)
    return;
  Shared.log(404, {{"version", Change.Config->Version},
                   {"before", Shared.Config ? Shared.Config->Version : 0},
                   {"queues", Change.Config->Queues.size()},
                   {"accounts", Change.Config->Accounts.size()}});
  Shared.Config = std::move(Change.Config);
}

void Node::Impl::updateStoreState() {
  bool Up = Control.fresh(MaxServedStateAge);
  if (Up == StoreUp)
    return;
  StoreUp = Up;
  if (Up)
    Shared.log(
        402, {{"next", Control.next()}, {"jobs", Shared.Ledger.jobs().size()}});
  else
    Shared.log(403, {{"next", Control.next()}});
}

void Node::Impl::tick() {
  Control.tick();
  Operator.tick();
  updateStoreState();
  resolveCancels();
  elect();
  if (ActiveOwner && DeposedReason.empty())
    ActiveOwner->tick();
  // After a handover this daemon serves callers from what the topic says.
  if (ActiveOwner && ActiveOwner->released())
    Stopping ? stepDown("stopping") : giveUp();
  if (ActiveOwner && !DeposedReason.empty())
    stepDown(std::exchange(DeposedReason, {}));
}

Node::Node(NodeSettings Settings, std::function<ClockReading()> Clock,
           base::StructuredLog &Log)
    : Pimpl(
          std::make_unique<Impl>(std::move(Settings), std::move(Clock), Log)) {}
Node::~Node() = default;

void Node::start() { Pimpl->tick(); }
void Node::tick() { Pimpl->tick(); }
std::vector<Action> Node::takeActions() {
  return std::exchange(Pimpl->Shared.Actions, {});
}
std::shared_ptr<const Configuration> Node::configuration() const {
  return Pimpl->Shared.Config;
}
bool Node::ready() const {
  return !Pimpl->Stopping && Pimpl->Shared.Config &&
         Pimpl->Control.fresh(MaxServedStateAge) &&
         Pimpl->Operator.fresh(MaxServedStateAge);
}
bool Node::isOwner() const { return Pimpl->ActiveOwner != nullptr; }
void Node::submit(workload::JobSpec Spec,
                  std::function<void(std::optional<Refusal>)> Done) {
  Pimpl->submit(std::move(Spec), std::move(Done));
}
StatusResult Node::status(std::string_view Job) const {
  return Pimpl->status(Job);
}
void Node::cancel(std::string_view Job, std::function<void(Lookup)> Done) {
  Pimpl->cancel(Job, std::move(Done));
}
std::optional<std::size_t> Node::waiting(std::string_view Queue) const {
  return Pimpl->waiting(Queue);
}
std::string Node::forwardTarget() const { return Pimpl->forwardTarget(); }
bool Node::storeIsSlow() const {
  return Pimpl->Shared.storeIsSlow() ||
         Pimpl->ownerAppendTime() >= Core::SlowAppend;
}
void Node::recordForwarded(std::string_view Path, std::string_view Peer,
                           PeerAnswer How, base::Millis Took) {
  Pimpl->Shared.count("requests_passed_on");
  Pimpl->Shared.log(438, {{"path", Path},
                          {"peer", Peer},
                          {"how", name(How)},
                          {"took_ms", Took.count()},
                          {"epoch", Pimpl->Shared.Ledger.owner().Epoch}});
}
void Node::beginStop() {
  Pimpl->Stopping = true;
  if (Pimpl->ActiveOwner)
    Pimpl->ActiveOwner->beginStop();
}
bool Node::stopped() const {
  return !Pimpl->ActiveOwner || Pimpl->ActiveOwner->released();
}
const NodeStats &Node::stats() const { return Pimpl->Shared.Stats; }

} // namespace heathersaddle::cluster
