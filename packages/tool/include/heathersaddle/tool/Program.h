#ifndef HEATHERSADDLE_TOOL_PROGRAM_H
#define HEATHERSADDLE_TOOL_PROGRAM_H

#include "heathersaddle/tool/CommandLine.h"
#include "heathersaddle/tool/Commands.h"

namespace heathersaddle::tool {

/// The process's environment and files.
Environment processEnvironment();

/// Sends calls over HTTP; blocks the calling thread.
Transport httpTransport();

/// Runs a remote command against real servers and clocks.
CommandResult runRemote(const Invocation &I);

/// Prints the stand-in's address, then serves it until SIGINT or SIGTERM.
int servePlatform(const Invocation &I);

} // namespace heathersaddle::tool

#endif
