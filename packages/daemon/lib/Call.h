#ifndef HEATHERSADDLE_DAEMON_CALL_H
#define HEATHERSADDLE_DAEMON_CALL_H

#include "Api.h"
#include <boost/json/serialize.hpp>
#include <string_view>

namespace heathersaddle::daemon {

enum class Access { Anyone, Account, AccountOrOperator, Operator, Peer };

/// A route: the path's segments, where "*" takes any one segment.
struct Api::Route {
  std::string_view Method;
  std::string_view Path;
  Access RequiredAccess;
  void (Api::*Handler)(const std::shared_ptr<Call> &);
  bool NeedsState;
  bool IsSubmission; ///< Errors say whether something ran.
};

struct Api::Call {
  Call(std::shared_ptr<Api> Parent, net::Request Request, net::Respond Reply);
  ~Call();
  Call(const Call &) = delete;
  Call &operator=(const Call &) = delete;

  /// Answer once; what follows the first answer is ignored.
  void send(net::Response R);
  void sendJson(unsigned Status, const boost::json::value &Body);
  void fail(const base::Error &E);
  void fail(base::ErrorCode Code, std::string_view Message,
            std::string_view Field = {});
  /// Counts a rejection under \p Reason and fails.
  void reject(std::string_view Reason, const base::Error &E);

  std::shared_ptr<Api> ParentApi;
  net::Request Request;
  net::Respond Reply;
  const Route *MatchedRoute = nullptr;
  std::string PathArgument; ///< The segment that "*" took.
  std::string Account;      ///< Empty for operators.
  bool IsOperator = false;
  base::MonoTime StartTime;
  std::atomic<bool> Answered{false};
};

/// A completion that answers with 200 and the value, or with the error.
JsonCompletion respondWithJson(std::shared_ptr<Api::Call> C);

} // namespace heathersaddle::daemon

#endif
