#ifndef HEATHERSADDLE_NET_TARGET_H
#define HEATHERSADDLE_NET_TARGET_H

#include "heathersaddle/net/Address.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace heathersaddle::net {

/// The parts of a request target, percent-decoded.
struct Target {
  std::string Path;
  std::map<std::string, std::string> Query;
};

/// Splits and percent-decodes \p Text. Empty if it is malformed, contains a
/// control character, a query parameter twice or more than 64 of them.
std::optional<Target> parseTarget(std::string_view Text);

} // namespace heathersaddle::net

#endif
