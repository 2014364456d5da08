#ifndef HEATHERSADDLE_DAEMON_API_H
#define HEATHERSADDLE_DAEMON_API_H

#include "Metrics.h"
#include "Operations.h"
#include "RateLimiter.h"
#include "heathersaddle/net/Message.h"
#include "heathersaddle/report/RequestStats.h"
#include <atomic>
#include <functional>
#include <optional>

namespace heathersaddle::daemon {

inline constexpr std::size_t MaxIdempotencyKeyBytes = 128;
inline constexpr std::size_t MaxKindBytes = 64;
/// Longest declared run time and deadline: one year.
inline constexpr std::int64_t MaxDurationMs = 365LL * 24 * 3600 * 1000;
/// Retry-After of 503 responses, for which the time of recovery is not known.
inline constexpr unsigned DefaultRetryAfterSeconds = 1;
inline constexpr unsigned QuotaRetryAfterSeconds = 5;

struct ApiSettings {
  std::string OperatorTokenSha256; ///< Empty: no operator has access.
  std::string PeerKey;
  base::Millis MaxWait{60'000};
  /// For the rate limits and the request times.
  std::function<base::MonoTime()> Clock;
};

/// The HTTP API of a daemon: routes, authenticates, rate-limits and validates
/// requests, executes them through Operations and encodes the responses.
///
/// \code
///   Api A(Settings, Operations, Metrics);
///   net::HttpServer Server(Context, {}, [&A](net::Request R, net::Respond Re)
///   {
///     A.handle(std::move(R), std::move(Re));
///   });
/// \endcode
class Api : public std::enable_shared_from_this<Api> {
public:
  Api(ApiSettings Settings, Operations Ops, Metrics &MetricsRegistry);

  /// Called on traffic threads.
  void handle(net::Request Request, net::Respond Reply);
  /// Makes /readyz report 503 and lets new fetches return without waiting;
  /// other requests are served as before.
  void setStopping() { Stopping = true; }
  std::uint64_t peerBytesIn() const { return PeerBytesIn; }
  std::uint64_t peerBytesOut() const { return PeerBytesOut; }

  struct Call; ///< A request in progress.
  struct Route;

private:
  static const Route Routes[];

  void authenticate(const std::shared_ptr<Call> &C);
  void limitRate(const std::shared_ptr<Call> &C, const AccountEntry &Account);

  void submit(const std::shared_ptr<Call> &C);
  void fetch(const std::shared_ptr<Call> &C);
  void cancel(const std::shared_ptr<Call> &C);
  void explain(const std::shared_ptr<Call> &C);
  void pool(const std::shared_ptr<Call> &C);
  void burn(const std::shared_ptr<Call> &C);
  void readList(const std::shared_ptr<Call> &C);
  void publish(const std::shared_ptr<Call> &C);
  void history(const std::shared_ptr<Call> &C);
  void peer(const std::shared_ptr<Call> &C);
  void health(const std::shared_ptr<Call> &C);
  void readiness(const std::shared_ptr<Call> &C);
  void metrics(const std::shared_ptr<Call> &C);

  ApiSettings Settings;
  Operations Ops;
  Metrics &MetricsRegistry;
  RateLimiter AccountLimiter;
  std::mutex StatsMutex; ///< Guards Stats.
  report::RequestStats Stats;
  std::atomic<bool> Stopping{false};
  std::atomic<int> InProgress{0};
  std::atomic<std::uint64_t> PeerBytesIn{0};
  std::atomic<std::uint64_t> PeerBytesOut{0};
};

/// Parses the body and the idempotency key of a POST /v1/jobs of \p Account.
base::Expected<Submission> readSubmission(std::string_view Body,
                                          std::string_view Key,
                                          std::string_view Account);

/// The HTTP response for an error. If \p IsSubmission, the JSON body also has
/// "run": "not_run" if the job certainly has not run, else "unresolved".
net::Response errorResponse(const base::Error &E, bool IsSubmission = false);

} // namespace heathersaddle::daemon

#endif
