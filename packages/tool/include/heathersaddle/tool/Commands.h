#ifndef HEATHERSADDLE_TOOL_COMMANDS_H
#define HEATHERSADDLE_TOOL_COMMANDS_H

#include "heathersaddle/tool/Caller.h"
#include "heathersaddle/tool/CommandLine.h"
#include <functional>
#include <string>

namespace heathersaddle::tool {

/// Exit codes of the program; docs/tool.md.
enum class ExitCode : int {
  Done = 0,
  Refused = 1,     ///< A server answered with an error.
  Usage = 2,       ///< The command line is wrong; nothing was sent.
  Unavailable = 3, ///< No server gave an answer; no try was delivered
                   ///< or every server said that nothing took effect.
  Unresolved = 4,  ///< The call may have taken effect.
  Conflict = 5,    ///< 409: the key or the list's base version is already used.
  NotEnded = 6,    ///< The time limit has passed; the job has not ended.
  Incomplete = 7,  ///< The report is printed, but lacks some daemons.
  NotWritten = 8,  ///< The report is printed, but the file is not written.
  JobFailed = 10,
  JobCancelled = 11,
  JobNotRun = 12,
  JobUnknown = 13
};

/// What a command prints and how it exits.
struct CommandResult {
  ExitCode Code = ExitCode::Done;
  std::string Out; ///< For the standard output.
  std::string Err; ///< For the standard error.
};

/// Servers, clock, random keys and files of the commands; tests replace them.
struct CommandContext {
  Caller *ServerCaller = nullptr;
  std::function<base::Millis()> MonoNow;
  std::function<void(base::Millis)> Sleep;
  std::function<std::string()> NewKey; ///< An unused idempotency key.
  std::function<base::Expected<void>(const std::string &Path,
                                     const std::string &Text)>
      WriteFile;
};

/// Runs any command but Help and DevPlatform.
CommandResult run(const Invocation &I, const CommandContext &Context);

} // namespace heathersaddle::tool

#endif
