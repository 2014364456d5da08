#ifndef HEATHERSADDLE_TOOL_HELP_H
#define HEATHERSADDLE_TOOL_HELP_H

#include "heathersaddle/tool/CommandLine.h"

namespace heathersaddle::tool {

std::string_view summary(Verb V);
/// The operands of the command, e.g. "JOB".
std::string_view operands(Verb V);
/// One command line that shows the command's use.
std::string_view example(Verb V);
/// The text of `heathersaddle --help`.
std::string overview();

} // namespace heathersaddle::tool

#endif
