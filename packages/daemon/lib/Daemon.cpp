// Start: listen, then start the node. Stop: not ready, a pause for the balancer
// to notice, end long waits, drain the server, hand over the cells, done.
#include "heathersaddle/daemon/Daemon.h"
#include "Api.h"
#include "Driver.h"
#include "heathersaddle/base/Log.h"
#include "heathersaddle/net/HttpServer.h"
#include <csignal>
#include <future>
#include <iostream>
#include <optional>
#include <random>

namespace heathersaddle::daemon {

namespace event = base::event;

struct Daemon::Impl {
  explicit Impl(Settings Given)
      : S(std::move(Given)), Traffic(S.TrafficThreads) {}

  std::uint16_t listen(std::uint16_t Port);
  void refreshMetrics();
  void drain();
  void finish(int Code, unsigned Event, std::string_view Text);

  Settings S;
  Metrics Counters;
  net::Executor Traffic;
  std::optional<Driver> Control;
  std::shared_ptr<Api> Callers;
  std::optional<net::HttpServer> Server;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> Ended{false};
  std::promise<int> Exit;
};

static base::MonoTime monotonic() {
  return std::chrono::duration_cast<base::MonoTime>(
      std::chrono::steady_clock::now().time_since_epoch());
}

static std::uint64_t randomNumber() {
  std::random_device Source;
  return (std::uint64_t{Source()} << 32) | Source();
}

Daemon::Daemon(Settings S) : I(std::make_unique<Impl>(std::move(S))) {
  if (!I->S.Node.Incarnation)
    I->S.Node.Incarnation = randomNumber();
  if (!I->S.Node.Seed)
    I->S.Node.Seed = randomNumber();
}

Daemon::~Daemon() {
  if (I->Control)
    I->Control->halt();
  I->Traffic.stop();
}

base::Expected<std::uint16_t> Daemon::start() {
  net::ServerLimits Limits;
  Limits.MaxConnections = I->S.MaxConnections;
  I->Server.emplace(I->Traffic.context(), Limits,
                    [I = I.get()](net::Request R, net::Respond Reply) {
                      I->Callers->handle(std::move(R), std::move(Reply));
                    });
  // The port has to be known before the node is made, and the API has to exist
  // before the first request, so the listening socket is bound first.
  auto Port = I->Server->bind(I->S.ListenAddress, I->S.ListenPort);
  if (!Port)
    return Port;
  std::string Host = I->S.ListenAddress;
  if (Host.find(':') != std::string::npos)
    Host = "[" + Host + "]";
  std::string Bound = Host + ":" + std::to_string(*Port);
  I->S.Node.Address = I->S.Advertise.empty() ? Bound : I->S.Advertise;
  I->Control.emplace(I->S, I->Traffic, I->Counters);
  Operations Ops = I->Control->operations();
  Ops.RefreshMetrics = [I = I.get(), Node = Ops.RefreshMetrics](
                           const std::function<void()> &Next) {
    I->refreshMetrics();
    Node(Next);
  };
  I->Callers =
      std::make_shared<Api>(ApiSettings{I->S.OperatorTokenSha256, I->S.PeerKey,
                                        I->S.MaxWait, monotonic},
                            std::move(Ops), I->Counters);
  I->Server->accept();
  base::logEvent(event::Listening, Bound);
  I->Control->start();
  return Port;
}

void Daemon::Impl::refreshMetrics() {
  auto Set = [this](std::string_view Direction, std::uint64_t All,
                    std::uint64_t Peers) {
    std::string Label = label("direction", Direction);
    Counters.set("heathersaddle_caller_bytes_total", Label,
                 static_cast<double>(All - std::min(All, Peers)));
    Counters.set("heathersaddle_control_bytes_total",
                 label("kind", "peer_server") + "," + Label,
                 static_cast<double>(Peers));
  };
  Set("in", Server->bytesIn(), Callers->peerBytesIn());
  Set("out", Server->bytesOut(), Callers->peerBytesOut());
  Counters.set("heathersaddle_connections", "",
               static_cast<double>(Server->connections()));
}

void Daemon::stopOnSignals() {
  I->Traffic.onSignal({SIGTERM, SIGINT}, [this](int) { requestStop(); });
}

void Daemon::requestStop() {
  if (I->Stopping.exchange(true))
    return;
  base::logEvent(event::StopRequested, I->S.Node.Name);
  I->Callers->setStopping();
  I->Traffic.after(I->S.DrainDelay, [I = I.get()] { I->drain(); });
  I->Traffic.after(I->S.StopLimit, [I = I.get()] {
    I->finish(1, event::StopOverdue, "the stop took longer than the limit");
  });
}

void Daemon::Impl::drain() {
  Control->finishWaits();
  Server->drain([this] {
    base::logEvent(event::Drained, "no request is in progress");
    Control->beginStop(
        [this] { finish(0, event::Stopped, "the stop is complete"); });
  });
}

void Daemon::Impl::finish(int Code, unsigned Event, std::string_view Text) {
  if (Ended.exchange(true))
    return;
  base::logEvent(Event, Text);
  Exit.set_value(Code);
}

int Daemon::wait() { return I->Exit.get_future().get(); }

int runProgram(std::span<const std::string> Arguments, const Environment &Env) {
  ParsedSettings P = parseSettings(Arguments, Env);
  if (P.HelpWanted) {
    std::cout << helpText();
    return 0;
  }
  if (!P.Faults.empty()) {
    base::startLogging(base::Severity::Error);
    for (const std::string &Fault : P.Faults)
      base::logEvent(event::SettingsInvalid, Fault);
    return 2;
  }
  if (P.CheckOnly) {
    std::cout << "the settings are valid\n";
    return 0;
  }
  base::startLogging(P.Values.LogLevel);
  base::logEvent(event::Started,
                 P.Values.Node.Name + " in " + P.Values.Node.DataCentre);
  Daemon D(std::move(P.Values));
  auto Port = D.start();
  if (!Port) {
    base::logEvent(event::StartFailed, Port.error().toString());
    return 1;
  }
  D.stopOnSignals();
  return D.wait();
}

} // namespace heathersaddle::daemon
