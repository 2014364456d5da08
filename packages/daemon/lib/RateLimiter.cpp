#include "RateLimiter.h"
#include <algorithm>
#include <cmath>

namespace heathersaddle::daemon {

/// Only authenticated accounts have buckets. Buckets of removed accounts
/// remain, so all buckets are cleared when this number is reached.
static constexpr std::size_t MaxBuckets = 8'192;

std::optional<base::Millis> RateLimiter::take(const std::string &Account,
                                              unsigned PerSecond,
                                              unsigned Burst,
                                              base::MonoTime Now) {
  double Rate = std::max(PerSecond, 1U);
  double Capacity = std::max(Burst, 1U);
  std::lock_guard Lock(Mutex);
  if (Buckets.size() >= MaxBuckets && !Buckets.contains(Account))
    Buckets.clear();
  auto [It, New] = Buckets.try_emplace(Account, Bucket{Capacity, Now});
  Bucket &B = It->second;
  double ElapsedSeconds =
      static_cast<double>((Now - B.LastRefill).count()) / 1000.0;
  B.Tokens =
      std::min(Capacity, B.Tokens + std::max(ElapsedSeconds, 0.0) * Rate);
  B.LastRefill = std::max(B.LastRefill, Now);
  if (B.Tokens >= 1.0) {
    B.Tokens -= 1.0;
    return std::nullopt;
  }
  return base::Millis(
      static_cast<std::int64_t>(std::ceil((1.0 - B.Tokens) / Rate * 1000.0)));
}

} // namespace heathersaddle::daemon
