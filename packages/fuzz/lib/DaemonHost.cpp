// Approach: every call gets exactly one result: the first of its answer and
// its time limit. Requests and answers draw their fates separately, so a
// request may take effect although its caller sees a time-out.
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
  Millis T = Around.Sim.now();
  return {T - StartedAt + Millis{1'000},
          WallAtStart + T.count() + WallSkew.count()};
}

void DaemonHost::start() {
  if (Node)
    return;
  ++Generation;
  StartedAt = Around.Sim.now();
  PausedUntil = Millis{};
  Stopping = false;
  InProgress = 0;
  OpenCalls.clear();
  Backlog.clear();
  LeavingSince.clear();
  Settings.Incarnation = Around.Rng.next() >> 1;
  Settings.Seed = Around.Rng.next();
  Node = std::make_unique<control::Node>(Settings);
  Around.trace(name(),
               "starts, writer " + std::to_string(Settings.Incarnation));
  run([](control::Node &N, Now T) { N.start(T); });
  tick(Generation);
}

void DaemonHost::crash(Millis Lasts) {
  Around.trace(name(), "ends");
  Node.reset();
  Around.Sim.after(Lasts, [this, For = Generation] {
    if (For == Generation)
      start();
  });
}

void DaemonHost::pause(Millis Lasts) {
  PausedUntil = std::max(PausedUntil, Around.Sim.now() + Lasts);
  Around.Sim.after(Lasts, [this] {
    if (!paused())
      resume();
  });
}

void DaemonHost::resume() {
  auto Late = std::exchange(Backlog, {});
  for (auto &[For, Run] : Late)
    postTo(For, std::move(Run));
}

void DaemonHost::stopGracefully(Millis Lasts) {
  if (!Node || Stopping)
    return;
  Stopping = true;
  StopLasts = Lasts;
  post([](control::Node &N, Now T) { N.beginStop(T); });
}

void DaemonHost::finishStop() {
  if (InProgress != 0)
    Around.Report("graceful-stop", name() +
                                       " stopped with requests in progress: " +
                                       std::to_string(InProgress));
  crash(StopLasts);
}

void DaemonHost::heal() {
  WallSkew = Millis{};
  PausedUntil = std::min(PausedUntil, Around.Sim.now());
  resume();
  if (!Node)
    start();
}

Millis DaemonHost::disturbedUntil() const {
  return std::max({Around.Net.disturbedUntil(Index, {Endpoint::Kind::Log, 0}),
                   Around.Log.disturbedUntil(), PausedUntil, StartedAt});
}

void DaemonHost::post(Use Run) { postTo(Generation, std::move(Run)); }

void DaemonHost::postTo(unsigned For, Use Run) {
  if (!Node || For != Generation)
    return;
  if (paused())
    Backlog.emplace_back(For, std::move(Run));
  else
    run(Run);
}

void DaemonHost::run(const Use &Run) {
  Run(*Node, now());
  Node->tick(now());
  for (control::Action &A : Node->takeActions())
    std::visit([this](const auto &Act) { carryOut(Act); }, A);
}

void DaemonHost::tick(unsigned For) {
  if (!Node || For != Generation)
    return;
  if (!paused())
    run([](control::Node &, Now) {});
  if (Stopping && !paused() && Node->stopped())
    return finishStop();
  Around.Sim.after(TickPeriod, [this, For] { tick(For); });
}

template <class T>
void DaemonHost::finish(unsigned For, std::uint64_t Call, Handler<T> On,
                        base::Expected<T> Result) {
  postTo(For, [=, this, R = std::move(Result)](control::Node &N, Now At) {
    if (OpenCalls.erase(Call))
      On(N, Call, R, At);
  });
}

template <class T>
void DaemonHost::call(std::uint64_t Call, Endpoint To, Millis TimeLimit,
                      Handler<T> On, std::function<void(Reply<T>)> Serve) {
  if (!OpenCalls.insert(Call).second)
    Around.Report("protocol", "call number used twice: " + name());
  unsigned For = Generation;
  Around.Sim.after(TimeLimit, [=, this] {
    finish<T>(For, Call, On,
              makeError(ErrorCode::Timeout, "call", "nothing was heard"));
  });
  Fate Out = Around.Net.draw(Index, To);
  if (Out.Lost)
    return;
  Reply<T> Answer = [=, this](base::Expected<T> R) {
    Fate Back = Around.Net.draw(Index, To);
    if (!Back.Lost)
      Around.Sim.after(Back.Delay, [=, this] { finish<T>(For, Call, On, R); });
  };
  Around.Sim.after(Out.Delay, [=] { Serve(Answer); });
  if (Out.RepeatAfter.count())
    Around.Sim.after(Out.Delay + Out.RepeatAfter,
                     [=] { Serve([](const base::Expected<T> &) {}); });
}

void DaemonHost::carryOut(const control::AppendAction &A) {
  call<std::uint64_t>(A.Call, {Endpoint::Kind::Log, 0}, A.TimeLimit,
                      std::mem_fn(&control::Node::onAppended),
                      [this, A](const Reply<std::uint64_t> &Done) {
                        Around.Log.append(A, Done);
                      });
}

void DaemonHost::carryOut(const control::ReadAction &A) {
  call<control::ReadResult>(A.Call, {Endpoint::Kind::Log, 0}, A.TimeLimit,
                            std::mem_fn(&control::Node::onRead),
                            [this, A](const Reply<control::ReadResult> &Done) {
                              Around.Log.read(A, Done);
                            });
}

void DaemonHost::carryOut(const control::WorkerAction &A) {
  auto It = std::find_if(Around.Workers.begin(), Around.Workers.end(),
                         [&](const auto &W) { return W->name() == A.Worker; });
  if (It == Around.Workers.end())
    return Around.Report("protocol", "request to unknown worker " + A.Worker);
  WorkerHost &W = **It;
  auto Which = unsigned(It - Around.Workers.begin());
  bool Allowed = mayGiveWork(A.Worker);
  call<json::value>(
      A.Call, {Endpoint::Kind::Worker, Which}, A.TimeLimit,
      std::mem_fn(&control::Node::onWorkerReply),
      [=, this, &W, Boot = W.boot()](const Reply<json::value> &Done) {
        std::size_t Before = W.audit().size();
        if (Around.Sink)
          Around.trace(name(),
                       W.name() + " " + A.Path + " " + json::serialize(A.Body));
        W.serve(A.Path, A.Body, Boot, Done);
        if (!Allowed && W.audit().size() > Before)
          Around.Report("leaving", name() + " gave new work to " + W.name() +
                                       " over 5 s after it saw it leave");
      });
}

void DaemonHost::carryOut(const control::PeerAction &A) {
  auto It = std::find_if(Around.Daemons.begin(), Around.Daemons.end(),
                         [&](const auto &D) { return D->name() == A.Daemon; });
  if (It == Around.Daemons.end())
    return Around.Report("protocol", "request to unknown daemon " + A.Daemon);
  DaemonHost &Peer = **It;
  auto Which = unsigned(It - Around.Daemons.begin());
  call<json::value>(A.Call, {Endpoint::Kind::Daemon, Which}, A.TimeLimit,
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
  Handler<Hosts> On = [this](control::Node &N, std::uint64_t Call,
                             const base::Expected<Hosts> &R, Now T) {
    if (R)
      noteLeaving(*R);
    N.onHosts(Call, R, T);
  };
  call<Hosts>(A.Call, {Endpoint::Kind::Hosts, 0}, A.TimeLimit, On,
              [this](const Reply<Hosts> &Done) {
                Hosts List;
                for (const auto &W : Around.Workers)
                  List.push_back(W->entry());
                // The platform's list lags.
                Around.Sim.after(Millis(Around.Rng.within(0, 500)),
                                 [=] { Done(List); });
              });
}

void DaemonHost::noteLeaving(const std::vector<control::HostEntry> &Hosts) {
  for (const control::HostEntry &H : Hosts) {
    if (!H.Leaving)
      LeavingSince.erase(H.Name);
    else
      LeavingSince.emplace(H.Name, Around.Sim.now());
  }
}

bool DaemonHost::mayGiveWork(const std::string &Worker) const {
  auto It = LeavingSince.find(Worker);
  return It == LeavingSince.end() ||
         Around.Sim.now() <= It->second + LeavingBound;
}

} // namespace heathersaddle::fuzz
