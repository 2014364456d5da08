#ifndef HEATHERSADDLE_FUZZ_SIMULATION_H
#define HEATHERSADDLE_FUZZ_SIMULATION_H

#include "heathersaddle/base/Time.h"
#include "heathersaddle/fuzz/Step.h"
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace heathersaddle::fuzz {

using base::Millis;

/// Virtual time and the queue of scheduled events.
class Simulation {
public:
  using Task = std::function<void()>;

  Millis now() const { return Now; }
  void after(Millis Delay, Task Run);
  /// Runs all events up to \p Until, in order of time, then of insertion.
  /// Returns early once stop() was called.
  void runUntil(Millis Until);
  void stop() { Stopped = true; }

private:
  struct Entry {
    Millis At;
    std::uint64_t Order;
    Task Run;
    bool operator<(const Entry &O) const {
      return std::pair(At, Order) > std::pair(O.At, O.Order);
    }
  };
  Millis Now{};
  std::uint64_t InsertedCount = 0;
  bool Stopped = false;
  std::priority_queue<Entry> Queue;
};

/// The destination of a daemon's call.
struct Endpoint {
  enum class Kind { Log, Hosts, Worker, Daemon };
  Kind Type = Kind::Log;
  unsigned Index = 0;
  bool operator<(const Endpoint &O) const {
    return std::pair(Type, Index) < std::pair(O.Type, O.Index);
  }
};

/// How the network delivers one message.
struct Delivery {
  bool Lost = false;
  Millis Delay{};
  Millis RepeatAfter{}; ///< 0: delivered once.
};

/// The links between daemons and their endpoints. Faults end by themselves
/// after their duration.
class Network {
public:
  Network(Simulation &Sim, Random &Rng) : Sim(Sim), Rng(Rng) {}

  void cut(unsigned Daemon, Endpoint To, Millis Duration);
  void chaos(Millis Duration) { extend(ChaosUntil, Duration); }
  bool isCut(unsigned Daemon, Endpoint To) const;
  /// Draws the delivery of a message on the link, in either direction.
  Delivery drawDelivery(unsigned Daemon, Endpoint To);
  /// When the last fault on the link ends or ended.
  Millis lastFaultEnd(unsigned Daemon, Endpoint To) const;
  void heal();
  std::uint64_t faults() const { return FaultCount; }

private:
  void extend(Millis &Until, Millis Duration) const;

  Simulation &Sim;
  Random &Rng;
  std::map<std::pair<unsigned, Endpoint>, Millis> CutUntil;
  Millis ChaosUntil{};
  std::uint64_t FaultCount = 0;
};

} // namespace heathersaddle::fuzz

#endif
