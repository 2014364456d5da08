#ifndef HEATHERSADDLE_DAEMON_CALL_H
#define HEATHERSADDLE_DAEMON_CALL_H

#include "Api.h"
#include <boost/json/serialize.hpp>
#include <string_view>

namespace heathersaddle::daemon {

enum class Access { Anyone, Account, AccountOrOperator, Operator, Peer };

/// An API route. "*" in Path matches exactly one segment.
struct Api::Route {
  std::string_view Method;
  std::string_view Path;
  Access RequiredAccess;
  void (Api::*Handler)(const std::shared_ptr<Call> &);
  bool NeedsState;   ///< Rejected with 503 while the state is not usable.
  bool IsSubmission; ///< Errors say whether the job may have run.
};

struct Api::Call {
  Call(std::shared_ptr<Api> Parent, net::Request Request, net::Respond Reply);
  ~Call();
  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;

  /// Send the response. Only the first of these calls has an effect.
  void send(net::Response R);
  void sendJson(unsigned Status, const boost::json::value &Body);
  void fail(const base::Error &E);
  void fail(base::ErrorCode Code, std::string_view Message,
            std::string_view Field = {});
  /// Counts a rejection under \p Reason and responds with the error.
  void reject(std::string_view Reason, const base::Error &E);

  std::shared_ptr<Api> ParentApi;
  net::Request Request;
  net::Respond Reply;
  const Route *MatchedRoute = nullptr;
  std::string PathArgument; ///< The segment that matched "*".
  std::string Account;      ///< Empty for operators.
  bool IsOperator = false;
  base::MonoTime StartTime;
  std::atomic<bool> Answered{false};
};

/// A completion that responds with 200 and the value, or with the error.
JsonCompletion respondWithJson(std::shared_ptr<Api::Call> C);

} // namespace heathersaddle::daemon

#endif
