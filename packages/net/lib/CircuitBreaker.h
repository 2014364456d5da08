#ifndef HEATHERSADDLE_NET_CIRCUITBREAKER_H
#define HEATHERSADDLE_NET_CIRCUITBREAKER_H

#include "heathersaddle/net/Message.h"
#include <random>

namespace heathersaddle::net {

/// Rejects requests to an address that keeps failing: closed until
/// BreakerFailures in a row, then open for a time, then one trial request
/// decides whether it closes or stays open for twice as long.
class CircuitBreaker {
public:
  using Time = std::chrono::steady_clock::time_point;

  /// Whether a request may go now; a request let through while the breaker is
  /// open is the trial and must be followed by succeeded() or failed().
  bool allow(Time Now) {
    if (!Open)
      return true;
    if (Trial || Now < Until)
      return false;
    Trial = true;
    return true;
  }
  void succeeded() {
    Failures = 0;
    Open = Trial = false;
    Pause = {};
  }
  /// The trial ended without saying anything about the address.
  void abandoned() { Trial = false; }
  void failed(Time Now, const ClientLimits &L, std::minstd_rand &Random) {
    Trial = false;
    if (!Open && ++Failures < L.BreakerFailures)
      return;
    if (Open && Now < Until)
      return;
    Pause = Pause.count() ? std::min(Pause * 2, L.BreakerMost) : L.BreakerFirst;
    auto Part = std::uniform_int_distribution<std::int64_t>(0, Pause.count() /
                                                                   2)(Random);
    Open = true;
    Until = Now + Pause - std::chrono::milliseconds(Part);
  }
  bool isOpen() const { return Open; }
  bool isFresh() const { return !Open && Failures == 0; }

private:
  unsigned Failures = 0;
  bool Open = false;
  bool Trial = false;
  std::chrono::milliseconds Pause{};
  Time Until{};
};

} // namespace heathersaddle::net

#endif
