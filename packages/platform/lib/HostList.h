#ifndef HEATHERSADDLE_PLATFORM_HOSTLIST_H
#define HEATHERSADDLE_PLATFORM_HOSTLIST_H

#include "heathersaddle/base/Time.h"
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::platform {

/// The platform's host list: each change shows after a lag.
class HostList {
public:
  explicit HostList(base::Millis Lag) : Lag(Lag) {}

  /// Adds a host that shows as live at once.
  void add(boost::json::object Host);
  /// \p State is "live", "leaving" or "gone"; a host that is gone is not
  /// listed. Unknown names are ignored.
  void setState(std::string_view Name, std::string_view State,
                base::Millis Now);
  boost::json::array visible(base::Millis Now) const;

private:
  struct Change {
    base::Millis VisibleAt{};
    std::string State;
  };
  struct Entry {
    boost::json::object Host;
    std::vector<Change> Changes;
  };

  base::Millis Lag;
  std::vector<Entry> Entries;
};

} // namespace heathersaddle::platform

#endif
