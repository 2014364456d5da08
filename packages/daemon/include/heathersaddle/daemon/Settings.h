#ifndef HEATHERSADDLE_DAEMON_SETTINGS_H
#define HEATHERSADDLE_DAEMON_SETTINGS_H

#include "heathersaddle/base/Event.h"
#include "heathersaddle/base/Time.h"
#include "heathersaddle/control/Node.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::daemon {

/// The settings of one daemon; docs/settings.md lists them.
struct Settings {
  std::string ListenAddress = "127.0.0.1";
  std::uint16_t ListenPort = 8480; ///< 0: a free port.
  std::string Advertise;           ///< Empty: the listening address.
  std::string LogAddress;
  std::string HostsAddress; ///< Empty: the same as LogAddress.
  std::string OperatorTokenSha256;
  std::string PeerKey;
  unsigned TrafficThreads = 2;
  std::size_t MaxConnections = 2048;
  base::Millis MaxWait{60'000};
  base::Millis DrainDelay{500};
  base::Millis StopLimit{30'000};
  base::Severity LogLevel = base::Severity::Info;
  control::NodeSettings Node;
};

/// The documentation of one setting.
struct SettingInfo {
  /// Without dashes; empty if there is only an environment variable.
  std::string_view Flag;
  std::string Variable;
  std::string_view Default; ///< Empty: no default.
  std::string_view Allowed;
  std::string_view Help;
  bool Required = false;
};

struct ParsedSettings {
  Settings Values;
  bool CheckOnly = false;
  bool HelpRequested = false;
  /// One message per invalid setting: its name, the value and what is allowed.
  std::vector<std::string> Faults;
};

/// Looks up an environment variable.
using Environment =
    std::function<std::optional<std::string>(std::string_view Name)>;

/// Reads flags and environment variables and checks them all, so that one run
/// reports every invalid setting. A flag takes precedence over its variable.
ParsedSettings parseSettings(std::span<const std::string> Arguments,
                             const Environment &Env);
std::vector<SettingInfo> settingsTable();
std::string helpText();

} // namespace heathersaddle::daemon

#endif
