// Every call gets exactly one result: its answer, or a timeout if the time
// limit passes first. The delivery of requests and of answers is drawn
// separately, so a request may take effect although its caller sees a timeout.
#include "DaemonHost.h"
#include <algorithm>
#include <boost/json.hpp>
#include <functional>

namespace heathersaddle::fuzz {

namespace json = boost::json;
using base::ErrorCode;
using base::makeError;

static constexpr Millis TickPeriod{50};
static constexpr base::WallMs WallAtStart = 1'700'000'000'000;

DaemonHost::Now DaemonHost::now() const {
  Millis T = Env.Sim.now();
  return {T - StartedAt + Millis{1'000},
          WallAtStart + T.count() + WallSkew.count()};
}

void DaemonHost::start() {
  if (Node)
    return;
  ++Generation;
  StartedAt = Env.Sim.now();
  PausedUntil = Millis{};
  Stopping = false;
  InProgress = 0;
  OpenCalls.clear();
  Backlog.clear();
  LeavingSince.clear();
  Settings.Incarnation = Env.Rng.next() >> 1;
  Settings.Seed = Env.Rng.next();
  Node = std::make_unique<control::Node>(Settings);
  Env.trace(name(), "starts, writer " + std::to_string(Settings.Incarnation));
  run([](control::Node &N, Now T) { N.start(T); });
  tick(Generation);
}

void DaemonHost::crash(Millis Duration) {
  Env.trace(name(), "ends");
  Node.reset();
  Env.Sim.after(Duration, [this, ForGeneration = Generation] {
    if (ForGeneration == Generation)
      start();
  });
}

void DaemonHost::pause(Millis Duration) {
  PausedUntil = std::max(PausedUntil, Env.Sim.now() + Duration);
  Env.Sim.after(Duration, [this] {
    if (!paused())
      resume();
  });
}

void DaemonHost::resume() {
  auto Late = std::exchange(Backlog, {});
  for (auto &[ForGeneration, Run] : Late)
    postTo(ForGeneration, std::move(Run));
}

void DaemonHost::stopGracefully(Millis Duration) {
  if (!Node || Stopping)
    return;
  Stopping = true;
  RestartDelay = Duration;
  post([](control::Node &N, Now T) { N.beginStop(T); });
}

void DaemonHost::finishStop() {
  if (InProgress != 0)
    Env.Report("graceful-stop", name() +
                                    " stopped with requests in progress: " +
                                    std::to_string(InProgress));
  crash(RestartDelay);
}

void DaemonHost::heal() {
  WallSkew = Millis{};
  PausedUntil = std::min(PausedUntil, Env.Sim.now());
  resume();
  if (!Node)
    start();
}

Millis DaemonHost::lastFaultEnd() const {
  return std::max({Env.Net.lastFaultEnd(Index, {Endpoint::Kind::Log, 0}),
                   Env.Log.lastFaultEnd(), PausedUntil, StartedAt});
}

void DaemonHost::post(NodeTask Run) { postTo(Generation, std::move(Run)); }

void DaemonHost::postTo(unsigned ForGeneration, NodeTask Run) {
  if (!Node || ForGeneration != Generation)
    return;
  if (paused())
    Backlog.emplace_back(ForGeneration, std::move(Run));
  else
    run(Run);
}

void DaemonHost::run(const NodeTask &Run) {
  Run(*Node, now());
  Node->tick(now());
  for (control::Action &A : Node->takeActions())
    std::visit([this](const auto &Act) { carryOut(Act); }, A);
}

void DaemonHost::tick(unsigned ForGeneration) {
  if (!Node || ForGeneration != Generation)
    return;
  if (!paused())
    run([](control::Node &, Now) {});
  if (Stopping && !paused() && Node->stopped())
    return finishStop();
  Env.Sim.after(TickPeriod, [this, ForGeneration] { tick(ForGeneration); });
}

template <class T>
void DaemonHost::finishCall(unsigned ForGeneration, std::uint64_t Call,
                            Handler<T> OnResult, base::Expected<T> Result) {
  postTo(ForGeneration,
         [=, this, R = std::move(Result)](control::Node &N, Now At) {
           if (OpenCalls.erase(Call))
             OnResult(N, Call, R, At);
         });
}

template <class T>
void DaemonHost::call(std::uint64_t Call, Endpoint To, Millis TimeLimit,
                      Handler<T> OnResult,
                      std::function<void(Reply<T>)> Serve) {
  if (!OpenCalls.insert(Call).second)
    Env.Report("protocol", "call number used twice: " + name());
  unsigned ForGeneration = Generation;
  Env.Sim.after(TimeLimit, [=, this] {
    finishCall<T>(ForGeneration, Call, OnResult,
                  makeError(ErrorCode::Timeout, "call",
                            "no answer within the time limit"));
  });
  Delivery Out = Env.Net.drawDelivery(Index, To);
  if (Out.Lost)
    return;
  Reply<T> Answer = [=, this](base::Expected<T> R) {
    Delivery Back = Env.Net.drawDelivery(Index, To);
    if (!Back.Lost)
      Env.Sim.after(Back.Delay, [=, this] {
        finishCall<T>(ForGeneration, Call, OnResult, R);
      });
  };
  Env.Sim.after(Out.Delay, [=] { Serve(Answer); });
  if (Out.RepeatAfter.count())
    Env.Sim.after(Out.Delay + Out.RepeatAfter,
                  [=] { Serve([](const base::Expected<T> &) {}); });
}

void DaemonHost::carryOut(const control::AppendAction &A) {
  call<std::uint64_t>(
      A.Call, {Endpoint::Kind::Log, 0}, A.TimeLimit,
      std::mem_fn(&control::Node::onAppended),
      [this, A](const Reply<std::uint64_t> &Done) { Env.Log.append(A, Done); });
}

void DaemonHost::carryOut(const control::ReadAction &A) {
  call<control::ReadResult>(A.Call, {Endpoint::Kind::Log, 0}, A.TimeLimit,
                            std::mem_fn(&control::Node::onRead),
                            [this, A](const Reply<control::ReadResult> &Done) {
                              Env.Log.read(A, Done);
                            });
}

void DaemonHost::carryOut(const control::WorkerAction &A) {
  auto It = std::find_if(Env.Workers.begin(), Env.Workers.end(),
                         [&](const auto &W) { return W->name() == A.Worker; });
  if (It == Env.Workers.end())
    return Env.Report("protocol", "request to unknown worker " + A.Worker);
  WorkerHost &W = **It;
  auto WorkerIndex = unsigned(It - Env.Workers.begin());
  bool Allowed = mayGiveWork(A.Worker);
  call<json::value>(
      A.Call, {Endpoint::Kind::Worker, WorkerIndex}, A.TimeLimit,
      std::mem_fn(&control::Node::onWorkerReply),
      [=, this, &W, Boot = W.boot()](const Reply<json::value> &Done) {
        std::size_t Before = W.audit().size();
        if (Env.TraceSink)
          Env.trace(name(),
                    W.name() + " " + A.Path + " " + json::serialize(A.Body));
        W.serve(A.Path, A.Body, Boot, Done);
        if (!Allowed && W.audit().size() > Before)
          Env.Report("leaving",
                     name() + " gave new work to " + W.name() +
                         " over 5 s after it read that the worker leaves");
      });
}

void DaemonHost::carryOut(const control::PeerAction &A) {
  auto It = std::find_if(Env.Daemons.begin(), Env.Daemons.end(),
                         [&](const auto &D) { return D->name() == A.Daemon; });
  if (It == Env.Daemons.end())
    return Env.Report("protocol", "request to unknown daemon " + A.Daemon);
  DaemonHost &Peer = **It;
  auto PeerIndex = unsigned(It - Env.Daemons.begin());
  call<json::value>(A.Call, {Endpoint::Kind::Daemon, PeerIndex}, A.TimeLimit,
                    std::mem_fn(&control::Node::onPeerReply),
                    [=, &Peer](const Reply<json::value> &Done) {
                      if (!Peer.node())
                        return Done(makeError(ErrorCode::Unavailable, "connect",
                                              "the connection was refused",
                                              A.Daemon));
                      Peer.post([=](control::Node &N, Now T) {
                        Done(N.onPeerRequest(A.Path, A.Body, T));
                      });
                    });
}

void DaemonHost::carryOut(const control::HostsAction &A) {
  using Hosts = std::vector<control::HostEntry>;
  Handler<Hosts> OnResult = [this](control::Node &N, std::uint64_t Call,
                                   const base::Expected<Hosts> &R, Now T) {
    if (R)
      recordLeaving(*R);
    N.onHosts(Call, R, T);
  };
  call<Hosts>(A.Call, {Endpoint::Kind::Hosts, 0}, A.TimeLimit, OnResult,
              [this](const Reply<Hosts> &Done) {
                Hosts List;
                for (const auto &W : Env.Workers)
                  List.push_back(W->entry());
                // The platform's host list lags.
                Env.Sim.after(Millis(Env.Rng.within(0, 500)),
                              [=] { Done(List); });
              });
}

void DaemonHost::recordLeaving(const std::vector<control::HostEntry> &Hosts) {
  for (const control::HostEntry &H : Hosts) {
    if (!H.Leaving)
      LeavingSince.erase(H.Name);
    else
      LeavingSince.emplace(H.Name, Env.Sim.now());
  }
}

bool DaemonHost::mayGiveWork(const std::string &Worker) const {
  auto It = LeavingSince.find(Worker);
  return It == LeavingSince.end() || Env.Sim.now() <= It->second + LeavingGrace;
}

} // namespace heathersaddle::fuzz
