#ifndef HEATHERSADDLE_STANDIN_REPLIES_H
#define HEATHERSADDLE_STANDIN_REPLIES_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/net/Message.h"
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace heathersaddle::standin {

inline net::Response jsonReply(unsigned Status,
                               const boost::json::value &Body) {
  net::Response R;
  R.Status = Status;
  R.Body = boost::json::serialize(Body);
  return R;
}

inline unsigned statusOf(base::ErrorCode Code) {
  switch (Code) {
  case base::ErrorCode::InvalidArgument:
    return 400;
  case base::ErrorCode::NotFound:
    return 404;
  case base::ErrorCode::TooLarge:
    return 413;
  case base::ErrorCode::ResourceExhausted:
    return 429;
  case base::ErrorCode::Unavailable:
  case base::ErrorCode::Unresolved:
    return 503;
  default:
    return 500;
  }
}

inline net::Response errorReply(const base::Error &E) {
  return jsonReply(statusOf(E.Code), {{"error",
                                       {{"code", base::name(E.Code)},
                                        {"field", E.Field},
                                        {"message", E.Message},
                                        {"step", E.Step}}}});
}

inline net::Response notFound() {
  return errorReply({base::ErrorCode::NotFound, "route", "",
                     "there is no such path or method", ""});
}

} // namespace heathersaddle::standin

#endif
