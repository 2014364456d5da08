#ifndef HEATHERSADDLE_TOOL_REMOTE_H
#define HEATHERSADDLE_TOOL_REMOTE_H

#include "heathersaddle/tool/Commands.h"
#include <boost/json/value.hpp>

namespace heathersaddle::tool {

/// \p Value in the requested output format.
std::string render(const Invocation &I, const boost::json::value &Value);

HttpCall makeCall(const Invocation &I, std::string Method, std::string Target);

/// The body as JSON, or `{"body":TEXT}` when it is not valid JSON.
boost::json::value bodyOf(const HttpReply &Reply);

/// The text at \p Name, or empty.
std::string textField(const boost::json::value &Body, std::string_view Name);

boost::json::object errorBody(std::string_view Code, std::string_view Message,
                              const CallResult &R);

CommandResult failure(const Invocation &I, ExitCode Code,
                      const boost::json::value &Body);

/// The result of a call that did not succeed. \p ReadOnly: the call has no
/// effect, so it is never unresolved. \p Key is the call's idempotency key, or
/// empty.
CommandResult failedCall(const Invocation &I, const CallResult &R,
                         bool ReadOnly, const std::string &Key);

CommandResult publish(const Invocation &I, const CommandContext &C);
CommandResult reportBurn(const Invocation &I, const CommandContext &C);

} // namespace heathersaddle::tool

#endif
