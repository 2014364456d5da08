#ifndef HEATHERSADDLE_BASE_ERROR_H
#define HEATHERSADDLE_BASE_ERROR_H

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace heathersaddle::base {

/// The kind of an error; adapters map it to an HTTP status.
enum class ErrorCode {
  InvalidArgument,   ///< 400: the input is invalid; Field names the field.
  Unauthenticated,   ///< 401
  PermissionDenied,  ///< 403
  NotFound,          ///< 404
  Conflict,          ///< 409: the key or the version is in use.
  TooLarge,          ///< 413
  ResourceExhausted, ///< 429: a quota or rate limit of the account.
  Unavailable,       ///< 503: nothing took effect; the caller may retry.
  Unresolved,        ///< 503: the request may have taken effect.
  Timeout,           ///< 504
  Internal           ///< 500
};

/// The lower-case name of \p Code, as it appears in JSON.
std::string_view name(ErrorCode Code);

/// An error as a value: what failed, in which step and with which peer.
struct Error {
  ErrorCode Code = ErrorCode::Internal;
  std::string Step;    ///< The operation that failed, e.g. "append".
  std::string Peer;    ///< The other side's name or address; may be empty.
  std::string Message; ///< One plain sentence.
  std::string Field;   ///< The invalid input field; may be empty.

  /// "STEP (PEER): MESSAGE [field FIELD]" for logs. The part of an empty peer
  /// or field is omitted.
  std::string toString() const;
};

template <class T> using Expected = tl::expected<T, Error>;

/// Makes an error that a function can return as its Expected<T>.
tl::unexpected<Error> makeError(ErrorCode Code, std::string_view Step,
                                std::string_view Message,
                                std::string_view Peer = {},
                                std::string_view Field = {});

} // namespace heathersaddle::base

#endif
