// The model decides the results; this class adds virtual time, long polls,
// pauses and late answers. A request fails if the worker has restarted since it
// was sent, because the restart closed its connection.
#include "WorkerHost.h"
#include <algorithm>
#include <boost/json.hpp>

namespace heathersaddle::fuzz {

namespace json = boost::json;
using base::ErrorCode;
using base::makeError;

std::string expectedAnswer(std::string_view Input, unsigned Task,
                           unsigned Tasks) {
  return "answer/" + std::string(Input) + "/" + std::to_string(Task) + "/" +
         std::to_string(Tasks);
}

standin::TaskOutcome healthyOutcome(const standin::TaskRequest &R) {
  Random Draw(std::hash<std::string>{}(R.Input) + R.Task);
  Millis Time = R.Kind == "slow" ? Millis(Draw.within(3'000, 20'000))
                                 : Millis(Draw.within(100, 1'500));
  return {Time, R.Kind != "bad", expectedAnswer(R.Input, R.Task, R.Tasks)};
}

WorkerHost::WorkerHost(Simulation &Sim, Random &Rng, control::HostEntry Entry,
                       bool RefuseStoppedAttempts,
                       ProtocolErrorHandler OnProtocolError)
    : Sim(Sim), Rng(Rng), Host(std::move(Entry)),
      OnProtocolError(std::move(OnProtocolError)),
      ClockSkew(Rng.within(1, 1'000'000)),
      Model({WorkerSlots, Millis{5'000}, RefuseStoppedAttempts},
            Rng.next() >> 2, [this](const standin::TaskRequest &R) {
              auto Outcome = healthyOutcome(R);
              Outcome.Success =
                  Outcome.Success && this->Sim.now() >= FailsTasksUntil;
              return Outcome;
            }) {}

void WorkerHost::serve(const std::string &Path, const json::value &Body,
                       std::uint64_t Boot, const Reply<json::value> &Done) {
  if (isOff())
    return Done(makeError(ErrorCode::Unavailable, "connect",
                          "the connection was refused", Host.Name));
  if (Boot != Model.boot())
    return Done(makeError(ErrorCode::Unresolved, "read",
                          "the connection was reset", Host.Name));
  if (Model.paused()) {
    Backlog.push_back([=, this] { handle(Path, Body, Done); });
    return;
  }
  handle(Path, Body, Done);
}

void WorkerHost::handle(const std::string &Path, const json::value &Body,
                        const Reply<json::value> &Done) {
  if (Path == "/v1/commands" && Sim.now() < HoldsCommandsUntil &&
      Rng.chance(50))
    carryOutLate(Body, Done);
  else if (Path == "/v1/commands")
    answer(Done, Model.commands(Body, clock()));
  else if (Path == "/v1/sync") {
    standin::WorkerReply R = Model.sync(Body, clock());
    if (R.Status == 200 && Model.shouldWait(Body))
      holdSync(Body, Done);
    else
      answer(Done, std::move(R));
  } else
    OnProtocolError("unknown path " + Path);
  answerDueSyncs();
  scheduleChange();
}

void WorkerHost::carryOutLate(const json::value &Body,
                              const Reply<json::value> &Done) {
  Sim.after(Millis(1'000), [Done, this] {
    Done(makeError(ErrorCode::Unresolved, "read", "no answer was received",
                   Host.Name));
  });
  Sim.after(Millis(Rng.within(1'500, 9'000)),
            [this, Body, Boot = Model.boot()] {
              if (isOff() || Model.paused() || Boot != Model.boot())
                return;
              (void)Model.commands(Body, clock());
              answerDueSyncs();
              scheduleChange();
            });
}

void WorkerHost::holdSync(const json::value &Body,
                          const Reply<json::value> &Done) {
  std::uint64_t Id = NextSyncId++;
  HeldSyncs.push_back({Id, Body, Done});
  Millis Wait(Body.at("wait_ms").to_number<std::int64_t>());
  Sim.after(Wait, [this, Id] { expireSync(Id); });
}

void WorkerHost::expireSync(std::uint64_t Id) {
  auto It = std::find_if(HeldSyncs.begin(), HeldSyncs.end(),
                         [&](const HeldSync &H) { return H.Id == Id; });
  if (It == HeldSyncs.end())
    return;
  if (Model.paused()) {
    Backlog.push_back([this, Id] { expireSync(Id); });
    return;
  }
  HeldSync H = std::move(*It);
  HeldSyncs.erase(It);
  answer(H.Done, Model.syncReply(H.Body, clock()));
}

void WorkerHost::answerDueSyncs() {
  for (auto It = HeldSyncs.begin(); It != HeldSyncs.end();) {
    if (Model.shouldWait(It->Body)) {
      ++It;
      continue;
    }
    HeldSync H = std::move(*It);
    It = HeldSyncs.erase(It);
    answer(H.Done, Model.syncReply(H.Body, clock()));
  }
}

void WorkerHost::scheduleChange() {
  auto At = Model.nextChangeTime();
  if (!At)
    return;
  std::uint64_t ChangeId = ++LatestChangeId;
  Sim.after(std::max(Millis{}, *At - clock()), [this, ChangeId] {
    if (ChangeId != LatestChangeId || Model.paused() || isOff())
      return;
    Model.advance(clock());
    answerDueSyncs();
    scheduleChange();
  });
}

void WorkerHost::answer(const Reply<json::value> &Done,
                        standin::WorkerReply R) {
  base::Expected<json::value> Result(std::move(R.Body));
  if (R.Status == 400)
    OnProtocolError("invalid request: " + json::serialize(*Result));
  if (R.Status != 200)
    Result = makeError(R.Status == 409 ? ErrorCode::Conflict
                                       : ErrorCode::InvalidArgument,
                       "worker", json::serialize(*Result), Host.Name);
  if (Sim.now() >= DelaysAnswersUntil)
    return Done(std::move(Result));
  Sim.after(Millis(Rng.within(200, 6'000)), [Done, Result] { Done(Result); });
}

void WorkerHost::restart() {
  Backlog.clear();
  HeldSyncs.clear();
  if (Model.paused())
    Pauses.back().To = Sim.now();
  Model.restart(Rng.next() >> 2, clock());
}

void WorkerHost::pause(Millis Duration) {
  extend(PausedUntil, Duration);
  if (!Model.paused())
    Pauses.push_back({Sim.now(), PausedUntil});
  Model.pause(clock());
  Pauses.back().To = PausedUntil;
  Sim.after(Duration, [this] {
    if (Sim.now() >= PausedUntil)
      resume();
  });
}

void WorkerHost::resume() {
  if (!Model.paused())
    return;
  Pauses.back().To = Sim.now();
  Model.resume(clock());
  auto Late = std::exchange(Backlog, {});
  for (auto &Arrived : Late)
    Arrived();
  answerDueSyncs();
  scheduleChange();
}

void WorkerHost::leave(Millis Duration) { extend(LeavingUntil, Duration); }

void WorkerHost::turnOff(Millis Duration) {
  restart();
  extend(OffUntil, Duration);
}

void WorkerHost::heal() {
  DelaysAnswersUntil = FailsTasksUntil = LeavingUntil = OffUntil = PausedUntil =
      Millis{};
  HoldsCommandsUntil = Millis{};
  resume();
}

control::HostEntry WorkerHost::entry() const {
  control::HostEntry E = Host;
  E.Leaving = Sim.now() < LeavingUntil;
  return E;
}

} // namespace heathersaddle::fuzz
