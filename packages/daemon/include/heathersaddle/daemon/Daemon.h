#ifndef HEATHERSADDLE_DAEMON_DAEMON_H
#define HEATHERSADDLE_DAEMON_DAEMON_H

#include "heathersaddle/daemon/Settings.h"
#include <cstdint>
#include <memory>

namespace heathersaddle::daemon {

/// One scheduler daemon: the HTTP API for callers and peers, the control node,
/// and the node's HTTP connections to the log, the host list, workers and
/// peers.
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
  /// Stops all threads at once; see requestStop() for a graceful stop.
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Binds the listening port, starts the node and returns the port.
  base::Expected<std::uint16_t> start();
  /// Stops on SIGTERM or SIGINT.
  void stopOnSignals();
  /// Begins a graceful stop: reports not ready, finishes the requests in
  /// progress, then releases the cells. May be called from any thread and more
  /// than once.
  void requestStop();
  /// Blocks until the stop has ended. Returns 0 if it was complete and 1 if it
  /// took longer than StopLimit.
  int wait();

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

/// The main function: reads the settings, runs a daemon and returns the exit
/// code: 0 after a graceful stop, 1 after a failure, 2 for invalid settings.
int runProgram(std::span<const std::string> Arguments, const Environment &Env);

} // namespace heathersaddle::daemon

#endif
