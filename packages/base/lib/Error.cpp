#include "heathersaddle/base/Error.h"

namespace heathersaddle::base {

std::string_view name(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
    return "invalid_argument";
  case ErrorCode::Unauthenticated:
    return "unauthenticated";
  case ErrorCode::PermissionDenied:
    return "permission_denied";
  case ErrorCode::NotFound:
    return "not_found";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::TooLarge:
    return "too_large";
  case ErrorCode::ResourceExhausted:
    return "resource_exhausted";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::Unresolved:
    return "unresolved";
  case ErrorCode::Timeout:
    return "timeout";
  case ErrorCode::Internal:
    return "internal";
  }
  return "internal";
}

std::string Error::toString() const {
  std::string Text = Step;
  if (!Peer.empty())
    Text += " (" + Peer + ")";
  Text += ": " + Message;
  if (!Field.empty())
    Text += " [field " + Field + "]";
  return Text;
}

tl::unexpected<Error> makeError(ErrorCode Code, std::string_view Step,
                                std::string_view Message, std::string_view Peer,
                                std::string_view Field) {
  return tl::unexpected<Error>(Error{Code, std::string(Step), std::string(Peer),
                                     std::string(Message), std::string(Field)});
}

} // namespace heathersaddle::base
