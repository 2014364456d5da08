#ifndef HEATHERSADDLE_FUZZ_DAEMONHOST_H
#define HEATHERSADDLE_FUZZ_DAEMONHOST_H

#include "WorkerHost.h"
#include "heathersaddle/control/Node.h"
#include <memory>
#include <set>

namespace heathersaddle::fuzz {

class DaemonHost;

/// How long a daemon may still give new work to a worker after the daemon has
/// read that the worker is leaving (requirement 6).
inline constexpr Millis LeavingGrace{5'000};

/// The simulated system around a daemon; owned by World.
struct Environment {
  Simulation &Sim;
  Random &Rng;
  Network &Net;
  LogHost &Log;
  std::vector<std::unique_ptr<WorkerHost>> &Workers;
  std::vector<std::unique_ptr<DaemonHost>> &Daemons;
  /// Reports the violation of a rule.
  std::function<void(std::string Rule, std::string Detail)> Report;
  std::function<void(const std::string &Line)> TraceSink; ///< May be empty.

  void trace(const std::string &Who, const std::string &Text) const {
    if (TraceSink)
      TraceSink(std::to_string(Sim.now().count()) + " " + Who + " " + Text);
  }
};

/// One daemon process in virtual time: carries out the actions of its Node.
/// A crash destroys the node; messages that still arrive for it are dropped.
class DaemonHost {
public:
  using Now = control::Node::Now;
  using NodeTask = std::function<void(control::Node &, Now)>;

  DaemonHost(Environment &Env, unsigned Index, control::NodeSettings Settings)
      : Env(Env), Index(Index), Settings(std::move(Settings)) {}

  void start();
  void crash(Millis Duration);
  void pause(Millis Duration);
  /// Stops as planned, and starts again \p Duration after it has stopped.
  void stopGracefully(Millis Duration);
  void jumpClock(Millis By) { WallSkew += By; }
  void heal();

  /// Runs \p Run on the node: at once, or on resuming if the daemon is paused,
  /// or never if it isn't running or crashes first. Keeps the order of arrival.
  void post(NodeTask Run);
  /// The same, but drops \p Run if generation \p ForGeneration has ended.
  void postTo(unsigned ForGeneration, NodeTask Run);

  /// The running node, or null if there is none.
  const control::Node *node() const { return Node.get(); }
  bool paused() const { return Env.Sim.now() < PausedUntil; }
  bool stopping() const { return Stopping; }
  unsigned generation() const { return Generation; }
  Millis startedAt() const { return StartedAt; }
  /// When the last fault that keeps the daemon from the log ends or ended.
  Millis lastFaultEnd() const;
  const std::string &name() const { return Settings.Name; }
  Now now() const;

  /// Count the callers' requests that are in progress in this process.
  void requestBegan() { ++InProgress; }
  void requestEnded() { --InProgress; }

private:
  template <class T>
  using Handler = std::function<void(control::Node &, std::uint64_t,
                                     base::Expected<T>, Now)>;
  template <class T>
  void call(std::uint64_t Call, Endpoint To, Millis TimeLimit,
            Handler<T> OnResult, std::function<void(Reply<T>)> Serve);
  template <class T>
  void finishCall(unsigned ForGeneration, std::uint64_t Call,
                  Handler<T> OnResult, base::Expected<T> Result);

  void carryOut(const control::AppendAction &A);
  void carryOut(const control::ReadAction &A);
  void carryOut(const control::WorkerAction &A);
  void carryOut(const control::PeerAction &A);
  void carryOut(const control::HostsAction &A);
  void carryOut(const control::LogAction &A) { Env.trace(name(), A.Text); }
  void recordLeaving(const std::vector<control::HostEntry> &Hosts);
  bool mayGiveWork(const std::string &Worker) const;

  void run(const NodeTask &Run);
  void resume();
  void tick(unsigned ForGeneration);
  void finishStop();

  Environment &Env;
  unsigned Index;
  control::NodeSettings Settings;
  std::unique_ptr<control::Node> Node;
  unsigned Generation = 0;
  std::set<std::uint64_t> OpenCalls;
  std::vector<std::pair<unsigned, NodeTask>> Backlog;
  /// By worker: when this process first read a host list in which the worker
  /// is leaving.
  std::map<std::string, Millis> LeavingSince;
  Millis PausedUntil{}, StartedAt{}, WallSkew{}, RestartDelay{};
  bool Stopping = false;
  int InProgress = 0;
};

} // namespace heathersaddle::fuzz

#endif
