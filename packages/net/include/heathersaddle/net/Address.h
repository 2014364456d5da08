#ifndef HEATHERSADDLE_NET_ADDRESS_H
#define HEATHERSADDLE_NET_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heathersaddle::net {

struct HostPort {
  std::string Host; ///< Without brackets.
  std::uint16_t Port = 0;
};

/// Splits "HOST:PORT" or "[IPV6]:PORT"; the port is from 1 to 65,535.
std::optional<HostPort> parseHostPort(std::string_view Text);

} // namespace heathersaddle::net

#endif
