// Maps errors to HTTP responses; docs/api.md lists the codes.
#include "Api.h"
#include <boost/json/serialize.hpp>

namespace heathersaddle::daemon {

using base::ErrorCode;

static unsigned statusOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
    return 400;
  case ErrorCode::Unauthenticated:
    return 401;
  case ErrorCode::PermissionDenied:
    return 403;
  case ErrorCode::NotFound:
    return 404;
  case ErrorCode::Conflict:
    return 409;
  case ErrorCode::TooLarge:
    return 413;
  case ErrorCode::ResourceExhausted:
    return 429;
  case ErrorCode::Unavailable:
  case ErrorCode::Unresolved:
    return 503;
  case ErrorCode::Timeout:
    return 504;
  case ErrorCode::Internal:
    return 500;
  }
  return 500;
}

/// Whether the request may have taken effect despite the error.
static bool mayHaveRun(ErrorCode Code) {
  return Code == ErrorCode::Unresolved || Code == ErrorCode::Timeout ||
         Code == ErrorCode::Internal;
}

net::Response errorResponse(const base::Error &E, bool IsSubmission) {
  boost::json::object Inner{{"code", base::name(E.Code)},
                            {"field", E.Field},
                            {"message", E.Message},
                            {"step", E.Step},
                            {"peer", E.Peer}};
  if (IsSubmission)
    Inner["run"] = mayHaveRun(E.Code) ? "unresolved" : "not_run";
  net::Response R;
  R.Status = statusOf(E.Code);
  if (R.Status == 401)
    R.Headers["WWW-Authenticate"] = "Bearer";
  if (R.Status == 503)
    R.Headers["Retry-After"] = std::to_string(DefaultRetryAfterSeconds);
  if (R.Status == 429)
    R.Headers["Retry-After"] = std::to_string(QuotaRetryAfterSeconds);
  R.Body = boost::json::serialize(boost::json::object{{"error", Inner}});
  return R;
}

} // namespace heathersaddle::daemon
