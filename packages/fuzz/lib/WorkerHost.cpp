// Approach: the model decides; this adds virtual time, long polls, pauses and
// late answers. A request is lost when the worker has restarted since it was
// sent, because its connection is gone then.
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

standin::TaskOutcome soundOutcome(const standin::TaskRequest &R) {
  Random Draw(std::hash<std::string>{}(R.Input) + R.Task);
  Millis Time = R.Kind == "slow" ? Millis(Draw.within(3'000, 20'000))
                                 : Millis(Draw.within(100, 1'500));
  return {Time, R.Kind != "bad", expectedAnswer(R.Input, R.Task, R.Tasks)};
}

WorkerHost::WorkerHost(Simulation &Sim, Random &Rng, control::HostEntry Entry,
                       bool RememberStopped, Complaint Complain)
    : Sim(Sim), Rng(Rng), Host(std::move(Entry)), Complain(std::move(Complain)),
      Skew(Rng.within(1, 1'000'000)),
      Model({WorkerSlots, Millis{5'000}, RememberStopped}, Rng.next() >> 2,
            [this](const standin::TaskRequest &R) {
              auto Outcome = soundOutcome(R);
              Outcome.Success =
                  Outcome.Success && this->Sim.now() >= FailingUntil;
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
  if (Path == "/v1/commands" && Sim.now() < HoldingUntil && Rng.chance(50))
    carryOutLate(Body, Done);
  else if (Path == "/v1/commands")
    answer(Done, Model.commands(Body, clock()));
  else if (Path == "/v1/sync") {
    standin::WorkerReply R = Model.sync(Body, clock());
    if (R.Status == 200 && Model.shouldWait(Body))
      hold(Body, Done);
    else
      answer(Done, std::move(R));
  } else
    Complain("unknown path " + Path);
  serveHeld();
  scheduleChange();
}

void WorkerHost::carryOutLate(const json::value &Body,
                              const Reply<json::value> &Done) {
  Sim.after(Millis(1'000), [Done, this] {
    Done(makeError(ErrorCode::Unresolved, "read", "no answer came", Host.Name));
  });
  Sim.after(Millis(Rng.within(1'500, 9'000)),
            [this, Body, Boot = Model.boot()] {
              if (isOff() || Model.paused() || Boot != Model.boot())
                return;
              (void)Model.commands(Body, clock());
              serveHeld();
              scheduleChange();
            });
}

void WorkerHost::hold(const json::value &Body, const Reply<json::value> &Done) {
  std::uint64_t Id = NextHeld++;
  Waiting.push_back({Id, Body, Done});
  Millis Wait(Body.at("wait_ms").to_number<std::int64_t>());
  Sim.after(Wait, [this, Id] { expire(Id); });
}

void WorkerHost::expire(std::uint64_t Id) {
  auto It = std::find_if(Waiting.begin(), Waiting.end(),
                         [&](const Held &H) { return H.Id == Id; });
  if (It == Waiting.end())
    return;
  if (Model.paused()) {
    Backlog.push_back([this, Id] { expire(Id); });
    return;
  }
  Held H = std::move(*It);
  Waiting.erase(It);
  answer(H.Done, Model.syncReply(H.Body, clock()));
}

void WorkerHost::serveHeld() {
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    if (Model.shouldWait(It->Body)) {
      ++It;
      continue;
    }
    Held H = std::move(*It);
    It = Waiting.erase(It);
    answer(H.Done, Model.syncReply(H.Body, clock()));
  }
}

void WorkerHost::scheduleChange() {
  auto At = Model.nextChangeTime();
  if (!At)
    return;
  std::uint64_t Mark = ++Wakeup;
  Sim.after(std::max(Millis{}, *At - clock()), [this, Mark] {
    if (Mark != Wakeup || Model.paused() || isOff())
      return;
    Model.advance(clock());
    serveHeld();
    scheduleChange();
  });
}

void WorkerHost::answer(const Reply<json::value> &Done,
                        standin::WorkerReply R) {
  base::Expected<json::value> Result(std::move(R.Body));
  if (R.Status == 400)
    Complain("invalid request: " + json::serialize(*Result));
  if (R.Status != 200)
    Result = makeError(R.Status == 409 ? ErrorCode::Conflict
                                       : ErrorCode::InvalidArgument,
                       "worker", json::serialize(*Result), Host.Name);
  if (Sim.now() >= LateUntil)
    return Done(std::move(Result));
  Sim.after(Millis(Rng.within(200, 6'000)), [Done, Result] { Done(Result); });
}

void WorkerHost::restart() {
  Backlog.clear();
  Waiting.clear();
  if (Model.paused())
    Pauses.back().To = Sim.now();
  Model.restart(Rng.next() >> 2, clock());
}

void WorkerHost::pause(Millis Lasts) {
  extend(PausedUntil, Lasts);
  if (!Model.paused())
    Pauses.push_back({Sim.now(), PausedUntil});
  Model.pause(clock());
  Pauses.back().To = PausedUntil;
  Sim.after(Lasts, [this] {
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
  serveHeld();
  scheduleChange();
}

void WorkerHost::leave(Millis Lasts) { extend(LeavingUntil, Lasts); }

void WorkerHost::off(Millis Lasts) {
  restart();
  extend(OffUntil, Lasts);
}

void WorkerHost::heal() {
  LateUntil = FailingUntil = LeavingUntil = OffUntil = PausedUntil = Millis{};
  HoldingUntil = Millis{};
  resume();
}

control::HostEntry WorkerHost::entry() const {
  control::HostEntry E = Host;
  E.Leaving = Sim.now() < LeavingUntil;
  return E;
}

} // namespace heathersaddle::fuzz
