// A node follows two topics: the control topic, which holds jobs and ownership,
// and the operator's configuration. The other parts work on their contents: the
// election (Election.cpp), callers' requests (Requests.cpp) and, while this
// node is the owner, scheduling (Owner*.cpp).
#include "NodeImpl.h"

namespace heathersaddle::cluster {

static constexpr Millis OperatorReadInterval{100};
/// With state older than this the daemon does not report jobs as unknown and
/// reports itself as not ready, so that the load balancer takes it out of
/// rotation.
static constexpr Millis MaxServedStateAge{2'500};
/// A wait of events that is logged. It adds to every answer, at each daemon
/// that a request passes.
static constexpr Millis LongDelay{250};
static constexpr Millis DelayReportPeriod{1'000};

Node::Impl::Impl(NodeSettings Settings, std::function<ClockReading()> Clock,
                 base::StructuredLog &Log)
    : Shared(std::move(Settings), std::move(Clock), Log),
      ControlTopic(Shared, "control", FollowerReadInterval,
                   maxAgeForStarts(Shared.Settings.CancelNotice)),
      Incoming(Shared), OperatorTopic(Shared, "operator", OperatorReadInterval,
                                      Shared.Settings.ConfigurationNotice),
      Pauses(Shared.mono()),
      FormerLeases(LeaseTerms(Shared.Settings.MaxLease)) {
  Incoming.OnStored = [this](const Submission &S, std::uint64_t Offset) {
    onSubmissionStored(S, Offset);
  };
  Incoming.Unreachable = [this] { return ControlTopic.failing(); };
  ControlTopic.OnReset = [this] {
    FormerLeases.recordsSkipped(Shared.mono());
    // An owner's state is ahead of the records in the pages, so it steps down
    // before the pages are applied.
    if (ActiveOwner)
      DeposedReason = "unread records of the control topic were deleted";
    else
      Shared.Ledger.clear();
  };
  ControlTopic.OnEntry = [this](KeyValue &&R) {
    onControlRecord(std::move(R));
  };
  OperatorTopic.OnReset = [this] { Shared.Drained.beginPages(); };
  OperatorTopic.OnEntry = [this](OperatorChange &&Change) {
    onOperatorChange(std::move(Change));
  };
  OperatorTopic.OnComplete = [this] {
    for (const std::string &DataCentre : Shared.Drained.endPages())
      onDrainChanged({DataCentre, false});
  };
}

void Node::Impl::onControlRecord(KeyValue &&Record) {
  // While this node is the owner, its state is ahead of its own records.
  auto Applied = ActiveOwner ? Shared.Ledger.applyExceptProgress(Record)
                             : Shared.Ledger.apply(Record);
  if (auto O = workload::Ledger::decodeOwnership(Record); O && *O)
    FormerLeases.ownerRecordRead((*O)->Epoch, (*O)->Released, Shared.mono());
  if (!Applied)
    Shared.log(405,
               {{"key", Record.Key}, {"reason", Applied.error().toString()}});
  if (!ActiveOwner)
    return;
  if (Shared.Ledger.owner().Epoch > ActiveOwner->epoch()) {
    DeposedReason = "a later owner has claimed ownership";
    return;
  }
  if (Record.Key.size() > 2 && (Record.Key[0] == 'j' || Record.Key[0] == 'x'))
    ActiveOwner->jobChanged(std::string_view(Record.Key).substr(2));
}

void Node::Impl::onDrainChanged(const DrainChange &Change) {
  Shared.count(Change.Requested ? "drains_requested" : "drains_withdrawn");
  Shared.log(Change.Requested ? 446 : 447, {{"data_centre", Change.DataCentre},
                                            {"drained", Shared.Drained.size()},
                                            {"owner", ActiveOwner != nullptr}});
  if (ActiveOwner)
    ActiveOwner->drainChanged(Change);
}

void Node::Impl::onOperatorChange(OperatorChange &&Change) {
  if (Change.Drain && Shared.Drained.apply(*Change.Drain))
    onDrainChanged(*Change.Drain);
  if (!Change.Config)
    return;
  // A running process never replaces a configuration by an older version.
  if (Shared.Config && Change.Config->Version <= Shared.Config->Version)
    return;
  Shared.log(404, {{"version", Change.Config->Version},
                   {"before", Shared.Config ? Shared.Config->Version : 0},
                   {"queues", Change.Config->Queues.size()},
                   {"accounts", Change.Config->Accounts.size()}});
  Shared.Config = std::move(Change.Config);
}

void Node::Impl::updateStoreState() {
  bool Up = ControlTopic.fresh(MaxServedStateAge);
  if (Up == StoreUp)
    return;
  StoreUp = Up;
  if (Up)
    Shared.log(402, {{"next", ControlTopic.next()},
                     {"jobs", Shared.Ledger.jobs().size()}});
  else
    Shared.log(403, {{"next", ControlTopic.next()}});
}

void Node::Impl::notePause(std::optional<Millis> Pause) {
  if (!Pause)
    return;
  Shared.count("process_pauses");
  Shared.log(451, {{"pause_ms", Pause->count()}});
}

void Node::Impl::recordControlDelay(Millis Waited) {
  Shared.ControlDelay = Waited;
  Shared.recordLatency("control_delay", Waited);
  LongestControlDelay = std::max(LongestControlDelay, Waited);
}

void Node::Impl::recordTrafficDelay(Millis Waited) {
  TrafficDelay = Waited;
  Shared.recordLatency("traffic_delay", Waited);
  LongestTrafficDelay = std::max(LongestTrafficDelay, Waited);
  MonoTime T = Shared.mono();
  if (std::max(LongestTrafficDelay, LongestControlDelay) < LongDelay ||
      T - DelaysReportedAt < DelayReportPeriod)
    return;
  DelaysReportedAt = T;
  Shared.log(463, {{"traffic_ms", LongestTrafficDelay.count()},
                   {"control_ms", LongestControlDelay.count()},
                   {"owner", ActiveOwner != nullptr}});
  LongestTrafficDelay = LongestControlDelay = {};
}

void Node::Impl::updateGauges() {
  auto Seconds = [](Millis T) {
    return static_cast<double>(T.count()) / 1'000;
  };
  auto &Gauges = Shared.Stats.Gauges;
  if (OperatorTopic.caughtUp())
    Gauges["configuration_age_seconds"] = Seconds(OperatorTopic.age());
  if (ControlTopic.caughtUp())
    Gauges["control_state_age_seconds"] = Seconds(ControlTopic.age());
  Gauges["control_delay_now_seconds"] = Seconds(Shared.ControlDelay);
  Gauges["traffic_delay_now_seconds"] = Seconds(TrafficDelay);
  Gauges["jobs_not_recorded"] =
      ActiveOwner ? static_cast<double>(ActiveOwner->withheldJobs()) : 0;
  Gauges.erase("registry_age_seconds");
  if (ActiveOwner && ActiveOwner->registryAge())
    Gauges["registry_age_seconds"] = Seconds(*ActiveOwner->registryAge());
}

void Node::Impl::tick() {
  notePause(Pauses.processRuns(Shared.mono()));
  ControlTopic.tick();
  OperatorTopic.tick();
  Shared.OperatorTopicRead |= OperatorTopic.caughtUp();
  Shared.OperatorTopicAge = OperatorTopic.age();
  Shared.ControlTopicAge = ControlTopic.age();
  updateStoreState();
  resolveCancels();
  updateAllDrained();
  elect();
  if (ActiveOwner && DeposedReason.empty())
    ActiveOwner->tick();
  // After a handover this daemon serves callers from the records of the topic.
  if (ActiveOwner && ActiveOwner->released())
    Stopping ? stepDown("stopping") : stepDownUnreachable();
  if (ActiveOwner && !DeposedReason.empty())
    stepDown(std::exchange(DeposedReason, {}));
}

Node::Node(NodeSettings Settings, std::function<ClockReading()> Clock,
           base::StructuredLog &Log)
    : Pimpl(
          std::make_unique<Impl>(std::move(Settings), std::move(Clock), Log)) {}
Node::~Node() = default;

void Node::start() { tick(); }
void Node::tick() {
  Pimpl->modify([this] { Pimpl->tick(); });
}
void Node::deliver(const std::function<void()> &Result) {
  Pimpl->modify(Result);
}
bool Node::isStateSound() const { return !Pimpl->OpenChanges; }
std::vector<Action> Node::takeActions() {
  return std::exchange(Pimpl->Shared.Actions, {});
}
std::shared_ptr<const Configuration> Node::configuration() const {
  return Pimpl->Shared.Config;
}
bool Node::ready() const {
  return !Pimpl->Stopping && Pimpl->Shared.Config &&
         Pimpl->ControlTopic.fresh(MaxServedStateAge) &&
         Pimpl->OperatorTopic.fresh(MaxServedStateAge);
}
ConfigurationAge Node::configurationAge() const {
  const auto &Topic = Pimpl->OperatorTopic;
  const NodeSettings &S = Pimpl->Shared.Settings;
  if (!configuration() || !Topic.caughtUp() ||
      Topic.age() > S.ConfigurationNotice + S.ConfigurationExtension)
    return ConfigurationAge::Unknown;
  return Topic.age() > S.ConfigurationNotice ? ConfigurationAge::Late
                                             : ConfigurationAge::Recent;
}
std::size_t Node::drainedDataCentres() const {
  return Pimpl->Shared.Drained.size();
}
base::MonoTime Node::now() const { return Pimpl->Shared.mono(); }
base::MonoTime Node::waitsUntil(Millis CallerWaits) {
  return Pimpl->modify([&] { return Pimpl->waitsUntil(CallerWaits); });
}
bool Node::inputMayHaveWaited() const {
  return Pimpl->Pauses.inputMayHaveWaited();
}
void Node::allInputRead() {
  Pimpl->modify([this] {
    Pimpl->notePause(Pimpl->Pauses.allInputRead(Pimpl->Shared.mono()));
  });
}
bool Node::isOwner() const { return Pimpl->ActiveOwner != nullptr; }
void Node::submit(workload::JobSpec Spec,
                  std::function<void(std::optional<Refusal>)> Done,
                  Millis CallerWaits, std::function<bool()> IsCallerConnected) {
  Pimpl->modify([&] {
    Pimpl->submit(std::move(Spec), std::move(Done), CallerWaits,
                  std::move(IsCallerConnected));
  });
}
std::optional<Refusal> Node::refusalForGood(const workload::JobSpec &Spec) {
  return Pimpl->modify([&] { return Pimpl->refusalForGood(Spec); });
}
StatusResult Node::status(std::string_view Job) const {
  return Pimpl->status(Job);
}
void Node::cancel(std::string_view Job, std::function<void(Lookup)> Done) {
  Pimpl->modify([&] { Pimpl->cancel(Job, std::move(Done)); });
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
  Pimpl->modify([&] { Pimpl->recordForwarded(Path, Peer, How, Took); });
}
void Node::beginStop() {
  Pimpl->modify([this] {
    Pimpl->Stopping = true;
    if (Pimpl->ActiveOwner)
      Pimpl->ActiveOwner->beginStop();
  });
}
bool Node::stopped() const {
  return !Pimpl->ActiveOwner || Pimpl->ActiveOwner->released();
}
void Node::recordControlDelay(base::Millis Waited) {
  Pimpl->modify([&] { Pimpl->recordControlDelay(Waited); });
}
void Node::recordTrafficDelay(base::Millis Waited) {
  Pimpl->modify([&] { Pimpl->recordTrafficDelay(Waited); });
}
const NodeStats &Node::stats() {
  Pimpl->updateGauges();
  return Pimpl->Shared.Stats;
}

} // namespace heathersaddle::cluster
