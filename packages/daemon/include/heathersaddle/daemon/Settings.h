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

/// Everything an operator sets for one daemon; docs/settings.md has the table.
struct Settings {
  std::string ListenAddress = "127.0.0.1";
  std::uint16_t ListenPort = 8480; ///< 0: a free port.
  std::string Advertise;           ///< Empty: the listening address.
  std::string LogAddress;
  std::string HostsAddress; ///< Empty: the log's address.
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

/// One setting as documented.
struct SettingInfo {
  std::string_view Flag; ///< Without dashes; empty: environment only.
  std::string Variable;
  std::string_view Default; ///< Empty: none.
  std::string_view Allowed;
  std::string_view Help;
  bool Required = false;
};

struct ParsedSettings {
  Settings Values;
  bool CheckOnly = false;
  bool HelpRequested = false;
  /// One sentence for each fault: the setting, the value, what is allowed.
  std::vector<std::string> Faults;
};

/// Looks up an environment variable.
using Environment =
    std::function<std::optional<std::string>(std::string_view Name)>;

/// Reads flags and variables, a flag before its variable, and checks all of
/// them, so that one run shows every fault.
ParsedSettings parseSettings(std::span<const std::string> Arguments,
                             const Environment &Env);
std::vector<SettingInfo> settingsTable();
std::string helpText();

} // namespace heathersaddle::daemon

#endif
