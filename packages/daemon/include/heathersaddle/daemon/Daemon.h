#ifndef HEATHERSADDLE_DAEMON_DAEMON_H
#define HEATHERSADDLE_DAEMON_DAEMON_H

#include "heathersaddle/daemon/Settings.h"
#include <cstdint>
#include <memory>

namespace heathersaddle::daemon {

/// A whole daemon: the callers' API, the node and its connections.
///
/// \code
///   Daemon D(Settings);
///   if (auto Port = D.start()) {
///     D.stopOnSignals();
///     return D.wait();
///   }
/// \endcode
class Daemon {
public:
  explicit Daemon(Settings S);
  /// Ends at once when it was not stopped before.
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Listens and joins the deployment; returns the port.
  base::Expected<std::uint16_t> start();
  /// Stops on SIGTERM or SIGINT.
  void stopOnSignals();
  /// Begins a graceful stop: not ready, requests in progress finished, cells
  /// released. May be called from any thread, also more than once.
  void requestStop();
  /// Waits for the end of the stop: 0 when it was complete, 1 when it took
  /// longer than the limit.
  int wait();

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

/// The program: reads the settings, runs a daemon, returns the exit code: 0
/// after a graceful stop, 1 after a failure, 2 for invalid settings.
int runProgram(std::span<const std::string> Arguments, const Environment &Env);

} // namespace heathersaddle::daemon

#endif
