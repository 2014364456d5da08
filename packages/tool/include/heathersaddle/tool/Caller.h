#ifndef HEATHERSADDLE_TOOL_CALLER_H
#define HEATHERSADDLE_TOOL_CALLER_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/base/Time.h"
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::tool {

struct HttpCall {
  std::string Method = "GET";
  std::string Target;
  std::map<std::string, std::string> Headers;
  std::string Body;
  base::Millis TimeLimit{5'000};
};

struct HttpReply {
  unsigned Status = 0;
  std::map<std::string, std::string> Headers; ///< Lower-case names.
  std::string Body;
};

/// Sends one call to one server. Error Unavailable: the call was certainly not
/// delivered. Any other error: it may have been delivered.
using Transport = std::function<base::Expected<HttpReply>(
    std::string_view Server, const HttpCall &Call)>;

struct RetryPolicy {
  unsigned Attempts = 8;            ///< Tries of one call, over all servers.
  base::Millis InitialBackoff{100}; ///< Doubles with each round of servers.
  base::Millis MaxBackoff{5'000};
};

/// How a call ended after all its tries.
struct CallResult {
  /// The answer to the last try, which is a 429 or a 5xx when the tries are
  /// used up; empty when that try had no answer.
  std::optional<HttpReply> Reply;
  /// A try may have taken effect and no later answer confirmed it.
  bool MayHaveTakenEffect = false;
  unsigned Tries = 0;
  std::string Server;  ///< The last one tried.
  std::string Failure; ///< Why the last try had no answer; may be empty.

  bool succeeded() const {
    return Reply && Reply->Status >= 200 && Reply->Status < 300;
  }
};

/// Sends calls to the first server that answers.
///
/// After no answer, a 429 or a 5xx the next server is tried, with a backoff
/// before each further round and after a 429. Every try carries the same
/// headers, so a call with an Idempotency-Key takes effect at most once.
class Caller {
public:
  Caller(std::vector<std::string> Servers, RetryPolicy Policy, Transport Send,
         std::function<void(base::Millis)> Sleep, std::uint64_t Seed);

  CallResult call(const HttpCall &Call);

  /// Sends the call once to every server, in order and without retries. A
  /// server that is listed twice gets one call.
  std::vector<CallResult> callEach(const HttpCall &Call);

private:
  void attempt(const HttpCall &Call, CallResult &Result);
  void backOff(unsigned Try, const CallResult &Last);

  std::vector<std::string> Servers;
  RetryPolicy Policy;
  Transport Send;
  std::function<void(base::Millis)> Sleep;
  std::mt19937_64 Random;
  std::size_t Current = 0; ///< Index of the server tried last.
};

} // namespace heathersaddle::tool

#endif
