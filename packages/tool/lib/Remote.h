#ifndef HEATHERSADDLE_TOOL_REMOTE_H
#define HEATHERSADDLE_TOOL_REMOTE_H

#include "heathersaddle/tool/Commands.h"
#include <boost/json/value.hpp>

namespace heathersaddle::tool {

/// \p Value in the format that was asked for.
std::string show(const Invocation &I, const boost::json::value &Value);

HttpCall makeCall(const Invocation &I, std::string Method, std::string Target);

/// The body as JSON; `{"body":TEXT}` when it is none.
boost::json::value bodyOf(const HttpReply &Reply);

/// The text at \p Name, or empty.
std::string textField(const boost::json::value &Body, std::string_view Name);

boost::json::object errorBody(std::string_view Code, std::string_view Message,
                              const CallResult &R);

CommandResult failure(const Invocation &I, ExitCode Code,
                      const boost::json::value &Body);

/// The result of a call that did not succeed. \p Key is the call's idempotency
/// key, or empty.
CommandResult unsettled(const Invocation &I, const CallResult &R, bool Reads,
                        const std::string &Key);

CommandResult publish(const Invocation &I, const CommandContext &C);
CommandResult reportBurn(const Invocation &I, const CommandContext &C);

} // namespace heathersaddle::tool

#endif
