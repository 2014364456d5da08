#ifndef HEATHERSADDLE_NET_TARGET_H
#define HEATHERSADDLE_NET_TARGET_H

#include <cstdint>
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
/// control character or has a query parameter twice.
std::optional<Target> parseTarget(std::string_view Text);

struct HostPort {
  std::string Host; ///< Without brackets.
  std::uint16_t Port = 0;
};

/// Splits "HOST:PORT" or "[IPV6]:PORT".
std::optional<HostPort> parseHostPort(std::string_view Text);

} // namespace heathersaddle::net

#endif
