// One timer per worker fires at the model's next change or at the end of the
// earliest waiting sync. After every request and every expiry of the timer all
// waiters are checked once. Bounds: MaxWaiters waiting syncs, MaxHeldRequests
// held requests.

#include "WorkerService.h"
#include "Replies.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/standin/TaskKinds.h"
#include <algorithm>
#include <chrono>

namespace heathersaddle::standin {

namespace json = boost::json;
using base::Millis;

namespace {

constexpr std::size_t MaxWaiters = 64;
constexpr std::size_t MaxHeldRequests = 1'024;
constexpr std::int64_t MaxWaitMs = 120'000;
constexpr std::int64_t MaxClockOffsetMs = 1'000'000;
// Boot ids up to this value stay exact in JSON readers that use doubles.
constexpr std::uint64_t MaxBoot = 1ULL << 52;

std::string_view name(EndReason Reason) {
  switch (Reason) {
  case EndReason::Finished:
    return "finished";
  case EndReason::Failed:
    return "failed";
  case EndReason::Stopped:
    return "stopped";
  case EndReason::LeaseExpired:
    return "lapsed";
  case EndReason::Restarted:
    return "restarted";
  }
  return "unknown";
}

std::string ownerOf(const json::value &Body) {
  base::JsonReader R(Body, "worker");
  return R.string("owner", "", 128);
}

std::uint64_t epochOf(const json::value &Body) {
  base::JsonReader R(Body, "worker");
  return std::uint64_t(
      R.integerOr("epoch", 0, 0, std::numeric_limits<std::int64_t>::max()));
}

std::string cellOf(const json::value &Body) {
  base::JsonReader R(Body, "worker");
  return R.string("cell", "", 64);
}

} // namespace

Millis platformNow() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration_cast<Millis>(Clock::now() - Start);
}

WorkerService::WorkerService(boost::asio::io_context &Io, WorkerInfo P,
                             std::uint64_t Seed, EpochCallback OnEpoch)
    : Io(Io), Info(std::move(P)), Random(Seed),
      ClockOffset(std::uniform_int_distribution<std::int64_t>(
          1, MaxClockOffsetMs)(Random)),
      Model({.Slots = Info.Slots, .UsagePeriod = Info.UsagePeriod}, newBoot(),
            [this](const TaskRequest &R) { return behave(R); }),
      OnEpoch(std::move(OnEpoch)), Timer(Io) {}

WorkerService::~WorkerService() = default;

std::uint64_t WorkerService::newBoot() {
  return std::uniform_int_distribution<std::uint64_t>(1, MaxBoot)(Random);
}

Millis WorkerService::clock() const { return platformNow() + ClockOffset; }

TaskOutcome WorkerService::behave(const TaskRequest &Request) const {
  if (Failing)
    return {Millis(0), false, "the worker fails every task"};
  return standardBehaviour(Request);
}

base::Expected<void> WorkerService::listen() {
  Server = std::make_unique<net::HttpServer>(
      Io, net::ServerLimits{.MaxBodyBytes = 16UL * 1024 * 1024},
      [this](net::Request R, net::Respond Reply) {
        handle(std::move(R), std::move(Reply));
      });
  auto BoundPort = Server->listen("127.0.0.1", Port);
  if (!BoundPort)
    return tl::unexpected(BoundPort.error());
  Port = *BoundPort;
  return {};
}

void WorkerService::handle(net::Request R, net::Respond Reply) {
  bool Partitioned = false;
  if (!PartitionedOwner.empty())
    if (auto Body = base::parseJson(R.Body, "worker"))
      Partitioned = ownerOf(*Body) == PartitionedOwner;
  if (!Partitioned && !Model.paused())
    return serve(R, std::move(Reply));
  if (HeldRequests.size() >= MaxHeldRequests)
    HeldRequests.pop_front();
  HeldRequests.push_back({std::move(R), std::move(Reply)});
}

void WorkerService::serve(const net::Request &R, net::Respond Reply) {
  bool Commands = R.Path == "/v1/commands";
  if (R.Method != "POST" || (!Commands && R.Path != "/v1/sync"))
    return Reply(notFound());
  auto Body = base::parseJson(R.Body, "worker");
  if (!Body)
    return Reply(errorReply(Body.error()));
  if (Commands) {
    WorkerReply Result = Model.commands(*Body, clock());
    if (DuplicateDelivery)
      Result = Model.commands(*Body, clock());
    reportEpoch(*Body, Result);
    send(Result, std::move(Reply));
  } else {
    sync(*Body, std::move(Reply));
  }
  advanceAndReschedule();
}

void WorkerService::sync(const json::value &Body, net::Respond Reply) {
  WorkerReply Result = Model.sync(Body, clock());
  reportEpoch(Body, Result);
  if (Result.Status != 200 || !Model.shouldWait(Body))
    return send(withRepeatedEvents(std::move(Result)), std::move(Reply));
  base::JsonReader R(Body, "sync");
  Millis Wait(R.integerOr("wait_ms", 0, 0, MaxWaitMs));
  if (Waiters.size() >= MaxWaiters) {
    send(Model.syncReply(Waiters.front().Body, clock()),
         std::move(Waiters.front().Reply));
    Waiters.pop_front();
  }
  Waiters.push_back({Body, std::move(Reply), clock() + Wait});
}

void WorkerService::reportEpoch(const json::value &Body, const WorkerReply &R) {
  if (R.Status == 200)
    OnEpoch(cellOf(Body), epochOf(Body), ownerOf(Body));
}

/// With DuplicateDelivery, adds the events of the previous reply again.
WorkerReply WorkerService::withRepeatedEvents(WorkerReply R) {
  json::object *Body = R.Body.if_object();
  if (!Body || !Body->contains("events"))
    return R;
  json::array NewEvents = Body->at("events").as_array();
  if (DuplicateDelivery) {
    json::array OldAndNewEvents = LastEvents;
    OldAndNewEvents.insert(OldAndNewEvents.end(), NewEvents.begin(),
                           NewEvents.end());
    Body->at("events") = std::move(OldAndNewEvents);
  }
  LastEvents = std::move(NewEvents);
  return R;
}

/// Omits an empty list of events and its cursor: most syncs of a worker end
/// without events.
json::value WorkerService::withoutEmptyEvents(json::value Body) {
  json::object *Fields = Body.if_object();
  const json::value *Events = Fields ? Fields->if_contains("events") : nullptr;
  if (Events && Events->as_array().empty()) {
    Fields->erase("events");
    Fields->erase("cursor");
  }
  return Body;
}

void WorkerService::send(const WorkerReply &R, net::Respond Reply) {
  net::Response Response = jsonReply(R.Status, withoutEmptyEvents(R.Body));
  // An empty type omits the header, which saves bytes in every response.
  Response.ContentType.clear();
  if (ReplyDelay.count() == 0)
    return Reply(std::move(Response));
  auto Delay = std::make_shared<boost::asio::steady_timer>(Io, ReplyDelay);
  Delay->async_wait(
      [Delay, Reply = std::move(Reply), Response = std::move(Response)](
          const boost::system::error_code &) { Reply(Response); });
}

void WorkerService::advanceAndReschedule() {
  Timer.cancel();
  if (Model.paused() || !Server)
    return;
  Model.advance(clock());
  answerWaiters();
  auto Next = Model.nextChangeTime();
  for (const Waiter &W : Waiters)
    if (!Next || W.Until < *Next)
      Next = W.Until;
  if (!Next)
    return;
  Timer.expires_after(std::max(*Next - clock(), Millis(0)));
  Timer.async_wait([this](const boost::system::error_code &Ec) {
    if (!Ec)
      advanceAndReschedule();
  });
}

// A sync that waits under a superseded epoch is answered at once, so that its
// owner is told the higher epoch.
void WorkerService::answerWaiters() {
  std::deque<Waiter> Remaining;
  std::deque<Waiter> Due;
  for (Waiter &W : Waiters) {
    bool Complete = clock() >= W.Until || !Model.shouldWait(W.Body) ||
                    Model.syncReply(W.Body, clock()).Status != 200;
    (Complete ? Due : Remaining).push_back(std::move(W));
  }
  Waiters = std::move(Remaining);
  for (Waiter &W : Due)
    send(withRepeatedEvents(Model.syncReply(W.Body, clock())),
         std::move(W.Reply));
}

void WorkerService::dropRequests() {
  Waiters.clear();
  HeldRequests.clear();
  LastEvents.clear();
}

base::Expected<void> WorkerService::setDown(bool Down) {
  if (Down == !Server)
    return {};
  if (!Down)
    return listen();
  Server.reset();
  dropRequests();
  Model.restart(newBoot(), clock());
  advanceAndReschedule();
  return {};
}

void WorkerService::restart() {
  dropRequests();
  Model.restart(newBoot(), clock());
  advanceAndReschedule();
}

void WorkerService::setPaused(bool Paused) {
  if (Paused == Model.paused())
    return;
  if (Paused) {
    Model.pause(clock());
    return advanceAndReschedule();
  }
  Model.resume(clock());
  std::deque<HeldRequest> Pending = std::move(HeldRequests);
  HeldRequests.clear();
  for (HeldRequest &H : Pending)
    handle(std::move(H.Request), std::move(H.Reply));
  advanceAndReschedule();
}

void WorkerService::partitionFrom(std::string Owner) {
  PartitionedOwner = std::move(Owner);
  if (PartitionedOwner.empty()) {
    if (!Model.paused())
      HeldRequests.clear();
    return;
  }
  std::erase_if(Waiters, [this](const Waiter &W) {
    return ownerOf(W.Body) == PartitionedOwner;
  });
}

void WorkerService::addAudit(json::array &Runs) const {
  for (const AuditEntry &A : Model.audit()) {
    if (!A.Started)
      continue;
    json::object Run{{"worker", Info.Name},
                     {"data_centre", Info.DataCentre},
                     {"boot", A.Boot},
                     {"epoch", A.Epoch},
                     {"job", A.Job},
                     {"attempt", A.Attempt},
                     {"task", A.Task},
                     {"tasks", A.Tasks},
                     {"started_ms", (*A.Started - ClockOffset).count()}};
    Run["ended_ms"] = A.Ended ? (*A.Ended - ClockOffset).count() : 0;
    Run["ended"] = A.Ended ? name(A.Reason) : "running";
    Runs.push_back(std::move(Run));
  }
}

} // namespace heathersaddle::standin
