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

/// Sends one call to one server. Error Unavailable: certainly not delivered.
/// Any other error: may have been delivered.
using Transport = std::function<base::Expected<HttpReply>(
    std::string_view Server, const HttpCall &Call)>;

struct RetryRules {
  unsigned Attempts = 8;        ///< Tries of one call over all servers.
  base::Millis FirstPause{100}; ///< Doubles with each round of servers.
  base::Millis LongestPause{5'000};
};

/// How a call ended after all its tries.
struct CallResult {
  /// The last server's final answer, or its 429 or 503 when tries ran out.
  std::optional<HttpReply> Reply;
  /// A try may have taken effect and no later answer confirmed it.
  bool MayHaveTakenEffect = false;
  unsigned Tries = 0;
  std::string Server;  ///< The last one tried.
  std::string Failure; ///< Why the last try gave no answer; may be empty.

  bool succeeded() const {
    return Reply && Reply->Status >= 200 && Reply->Status < 300;
  }
};

/// Sends calls to the first server that answers.
///
/// A refused connection, 429 and 503 lead to the next server, with a pause
/// before each further round. Every try carries the same headers, so a call
/// with an Idempotency-Key takes effect at most once.
class Caller {
public:
  Caller(std::vector<std::string> Servers, RetryRules Rules, Transport Send,
         std::function<void(base::Millis)> Pause, std::uint64_t Seed);

  CallResult call(const HttpCall &Call);

  /// Sends the call once to every server, in order and without retries. An
  /// address that is given twice is asked once.
  std::vector<CallResult> callEach(const HttpCall &Call);

private:
  void attempt(const HttpCall &Call, CallResult &Result);
  void pause(unsigned Try, const CallResult &Last);

  std::vector<std::string> Servers;
  RetryRules Rules;
  Transport Send;
  std::function<void(base::Millis)> Pause;
  std::mt19937_64 Random;
  std::size_t Current = 0; ///< Index of the server that answered last.
};

} // namespace heathersaddle::tool

#endif
