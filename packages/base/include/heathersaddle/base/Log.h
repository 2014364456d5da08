#ifndef HEATHERSADDLE_BASE_LOG_H
#define HEATHERSADDLE_BASE_LOG_H

#include "heathersaddle/base/Event.h"
#include <string_view>

namespace heathersaddle::base {

/// Writes events of at least severity \p Min to standard error, one per line:
/// "2026-01-31T10:00:00.123456 warning 103 not_ready the log is trimmed".
/// Call once, before the first logEvent().
void startLogging(Severity Min);

/// Writes one event; control characters in \p Text become spaces. An unknown
/// number is written as a warning. Thread-safe.
void logEvent(unsigned Number, std::string_view Text);

} // namespace heathersaddle::base

#endif
