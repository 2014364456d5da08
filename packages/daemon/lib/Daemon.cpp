// Start: listen, then start the node. Stop: report not ready, wait DrainDelay
// for the load balancer to notice, answer the waiting requests, drain the
// server, release the cells, exit.
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
      : Config(std::move(Given)), TrafficExecutor(Config.TrafficThreads) {}

  std::uint16_t listen(std::uint16_t Port);
  void refreshMetrics();
  void drain();
  void finish(int Code, unsigned Event, std::string_view Text);

  Settings Config;
  Metrics MetricsRegistry;
  net::Executor TrafficExecutor;
  std::optional<Driver> NodeDriver;
  std::shared_ptr<Api> CallerApi;
  std::optional<net::HttpServer> Server;
  std::atomic<bool> Stopping{false};
  std::atomic<bool> ExitCodeSet{false};
  std::promise<int> ExitCode;
};

static base::MonoTime monotonicNow() {
  return std::chrono::duration_cast<base::MonoTime>(
      std::chrono::steady_clock::now().time_since_epoch());
}

static std::uint64_t randomNumber() {
  std::random_device Source;
  return (std::uint64_t{Source()} << 32) | Source();
}

Daemon::Daemon(Settings S) : Pimpl(std::make_unique<Impl>(std::move(S))) {
  if (!Pimpl->Config.Node.Incarnation)
    Pimpl->Config.Node.Incarnation = randomNumber();
  if (!Pimpl->Config.Node.Seed)
    Pimpl->Config.Node.Seed = randomNumber();
}

Daemon::~Daemon() {
  if (Pimpl->NodeDriver)
    Pimpl->NodeDriver->stopControlThread();
  Pimpl->TrafficExecutor.stop();
}

base::Expected<std::uint16_t> Daemon::start() {
  net::ServerLimits Limits;
  Limits.MaxConnections = Pimpl->Config.MaxConnections;
  Pimpl->Server.emplace(
      Pimpl->TrafficExecutor.context(), Limits,
      [Pimpl = Pimpl.get()](net::Request R, net::Respond Reply) {
        Pimpl->CallerApi->handle(std::move(R), std::move(Reply));
      });
  // The node's address includes the port, and the API has to exist before the
  // first request is accepted. So the socket is bound first and accepts last.
  auto Port = Pimpl->Server->bind(Pimpl->Config.ListenAddress,
                                  Pimpl->Config.ListenPort);
  if (!Port)
    return Port;
  std::string Host = Pimpl->Config.ListenAddress;
  if (Host.find(':') != std::string::npos)
    Host = "[" + Host + "]";
  std::string Bound = Host + ":" + std::to_string(*Port);
  Pimpl->Config.Node.Address =
      Pimpl->Config.Advertise.empty() ? Bound : Pimpl->Config.Advertise;
  Pimpl->NodeDriver.emplace(Pimpl->Config, Pimpl->TrafficExecutor,
                            Pimpl->MetricsRegistry);
  Operations Ops = Pimpl->NodeDriver->operations();
  Ops.RefreshMetrics = [Pimpl = Pimpl.get(), Node = Ops.RefreshMetrics](
                           const std::function<void()> &Next) {
    Pimpl->refreshMetrics();
    Node(Next);
  };
  Pimpl->CallerApi = std::make_shared<Api>(
      ApiSettings{Pimpl->Config.OperatorTokenSha256, Pimpl->Config.PeerKey,
                  Pimpl->Config.MaxWait, monotonicNow},
      std::move(Ops), Pimpl->MetricsRegistry);
  Pimpl->Server->accept();
  base::logEvent(event::Listening, Bound);
  Pimpl->NodeDriver->start();
  return Port;
}

void Daemon::Impl::refreshMetrics() {
  auto SetByteCounts = [this](std::string_view Direction, std::uint64_t Total,
                              std::uint64_t PeerBytes) {
    std::string Label = label("direction", Direction);
    MetricsRegistry.set(
        "heathersaddle_caller_bytes_total", Label,
        static_cast<double>(Total - std::min(Total, PeerBytes)));
    MetricsRegistry.set("heathersaddle_control_bytes_total",
                        label("kind", "peer_server") + "," + Label,
                        static_cast<double>(PeerBytes));
  };
  SetByteCounts("in", Server->bytesIn(), CallerApi->peerBytesIn());
  SetByteCounts("out", Server->bytesOut(), CallerApi->peerBytesOut());
  MetricsRegistry.set("heathersaddle_connections", "",
                      static_cast<double>(Server->connections()));
}

void Daemon::stopOnSignals() {
  Pimpl->TrafficExecutor.onSignal({SIGTERM, SIGINT},
                                  [this](int) { requestStop(); });
}

void Daemon::requestStop() {
  if (Pimpl->Stopping.exchange(true))
    return;
  base::logEvent(event::StopRequested, Pimpl->Config.Node.Name);
  Pimpl->CallerApi->setStopping();
  Pimpl->TrafficExecutor.after(Pimpl->Config.DrainDelay,
                               [Pimpl = Pimpl.get()] { Pimpl->drain(); });
  Pimpl->TrafficExecutor.after(Pimpl->Config.StopLimit, [Pimpl = Pimpl.get()] {
    Pimpl->finish(1, event::StopOverdue, "the stop took longer than the limit");
  });
}

void Daemon::Impl::drain() {
  NodeDriver->finishWaits();
  Server->drain([this] {
    base::logEvent(event::Drained, "no request is in progress");
    NodeDriver->beginStop(
        [this] { finish(0, event::Stopped, "the stop is complete"); });
  });
}

void Daemon::Impl::finish(int Code, unsigned Event, std::string_view Text) {
  if (ExitCodeSet.exchange(true))
    return;
  base::logEvent(Event, Text);
  ExitCode.set_value(Code);
}

int Daemon::wait() { return Pimpl->ExitCode.get_future().get(); }

int runProgram(std::span<const std::string> Arguments, const Environment &Env) {
  ParsedSettings P = parseSettings(Arguments, Env);
  if (P.HelpRequested) {
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
