#ifndef HEATHERSADDLE_DAEMON_OPERATIONS_H
#define HEATHERSADDLE_DAEMON_OPERATIONS_H

#include "heathersaddle/control/Node.h"
#include "heathersaddle/report/BurnReport.h"
#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace heathersaddle::daemon {

/// An account that may send requests.
struct AccountEntry {
  std::string Account;
  std::string TokenSha256;
  unsigned RequestsPerSecond = 50;
  unsigned Burst = 100;
};

/// All accounts by the SHA-256 of their tokens; not modified once shared.
using AccountDirectory = std::unordered_map<std::string, AccountEntry>;

/// A parsed submission. The Driver raises the slots per task to what Cores and
/// MemoryMb need, since it knows what a slot provides.
struct Submission {
  control::SubmitRequest Request;
  std::int64_t DeadlineAfterMs = 0; ///< 0: none.
  unsigned Cores = 0;               ///< Per task.
  std::uint64_t MemoryMb = 0;       ///< Per task.
};

/// The result of publishing a list.
struct PublishReply {
  bool Accepted = false;
  boost::json::value Body;
};

template <class T> using Completion = std::function<void(base::Expected<T>)>;
using JsonCompletion = Completion<boost::json::value>;

/// The operations that the Api calls. The Driver implements them; tests of the
/// Api provide their own. Functions return at once and may be called from any
/// thread; completions run on a traffic thread.
struct Operations {
  std::function<void(Submission, Completion<control::SubmitResult>)> Submit;
  std::function<void(std::string Job, std::string Account, base::Millis Wait,
                     JsonCompletion)>
      Fetch;
  std::function<void(std::string Job, std::string Account, JsonCompletion)>
      Cancel;
  std::function<void(std::string Job, std::string Account, JsonCompletion)>
      Explain;
  /// The pool as \p Account sees it, or as operators do when it is empty.
  std::function<void(std::string Account, JsonCompletion)> Pool;
  /// The service-level report over \p Account, or over all when it is empty.
  std::function<void(std::string Account, Completion<report::BurnReport>)> Burn;
  std::function<void(state::ListKind, JsonCompletion)> ReadList;
  std::function<void(state::ListKind, std::uint64_t Base,
                     boost::json::value List, Completion<PublishReply>)>
      Publish;
  std::function<void(JsonCompletion)> History;
  std::function<void(std::string Path, boost::json::value Body, JsonCompletion)>
      Peer;
  /// Null until the state has been complete for the first time.
  std::function<std::shared_ptr<const AccountDirectory>()> Accounts;
  /// Whether callers may be served from the state; stays true during a log
  /// outage.
  std::function<bool()> Serving;
  /// Updates the gauges, then calls the function.
  std::function<void(std::function<void()>)> RefreshMetrics;
  /// Whether the load balancer should send callers to this daemon.
  std::function<bool()> Ready;
};

} // namespace heathersaddle::daemon

#endif
