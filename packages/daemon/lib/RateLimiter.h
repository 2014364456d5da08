#ifndef HEATHERSADDLE_DAEMON_RATELIMITER_H
#define HEATHERSADDLE_DAEMON_RATELIMITER_H

#include "heathersaddle/base/Time.h"
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace heathersaddle::daemon {

/// A token bucket per account. Thread-safe.
class RateLimiter {
public:
  /// Takes a token at \p Now, or returns the time until one is available. The
  /// bucket holds \p Burst tokens and gains \p PerSecond tokens per second.
  std::optional<base::Millis> take(const std::string &Account,
                                   unsigned PerSecond, unsigned Burst,
                                   base::MonoTime Now);

private:
  struct Bucket {
    double Tokens = 0;
    base::MonoTime LastRefill{};
  };
  std::mutex Mutex;
  std::map<std::string, Bucket> Buckets;
};

} // namespace heathersaddle::daemon

#endif
