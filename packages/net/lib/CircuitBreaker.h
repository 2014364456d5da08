#ifndef HEATHERSADDLE_NET_CIRCUITBREAKER_H
#define HEATHERSADDLE_NET_CIRCUITBREAKER_H

#include "heathersaddle/net/Message.h"
#include <random>

namespace heathersaddle::net {

/// Rejects requests to an address that keeps failing. The breaker is closed
/// until BreakerFailures consecutive failures, then open for some time. After
/// that it admits one trial request: success closes the breaker, failure keeps
/// it open for twice as long.
class CircuitBreaker {
public:
  using Time = std::chrono::steady_clock::time_point;

  /// Whether a request may be sent now. A request admitted while the breaker is
  /// open is the trial and must be followed by succeeded(), failed() or
  /// abandoned().
  bool allow(Time Now) {
    if (!Open)
      return true;
    if (TrialInProgress || Now < OpenUntil)
      return false;
    TrialInProgress = true;
    return true;
  }
  void succeeded() {
    Failures = 0;
    Open = TrialInProgress = false;
    OpenTime = {};
  }
  /// The trial ended without a result that says whether the address works.
  void abandoned() { TrialInProgress = false; }
  void failed(Time Now, const ClientLimits &Limits, std::minstd_rand &Random) {
    TrialInProgress = false;
    if (!Open && ++Failures < Limits.BreakerFailures)
      return;
    if (Open && Now < OpenUntil)
      return;
    OpenTime = OpenTime.count()
                   ? std::min(OpenTime * 2, Limits.BreakerMaxOpenTime)
                   : Limits.BreakerInitialOpenTime;
    auto Jitter = std::uniform_int_distribution<std::int64_t>(
        0, OpenTime.count() / 2)(Random);
    Open = true;
    OpenUntil = Now + OpenTime - std::chrono::milliseconds(Jitter);
  }
  bool isOpen() const { return Open; }
  bool isFresh() const { return !Open && Failures == 0; }

private:
  unsigned Failures = 0;
  bool Open = false;
  bool TrialInProgress = false;
  std::chrono::milliseconds OpenTime{};
  Time OpenUntil{};
};

} // namespace heathersaddle::net

#endif
