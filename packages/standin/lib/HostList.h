#ifndef HEATHERSADDLE_STANDIN_HOSTLIST_H
#define HEATHERSADDLE_STANDIN_HOSTLIST_H

#include "heathersaddle/base/Time.h"
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::standin {

/// The platform's host list; each change becomes visible after a fixed lag.
class HostList {
public:
  explicit HostList(base::Millis Lag);

  /// Adds a host that is listed as live at once.
  void add(boost::json::object Host);
  /// \p State is "live", "leaving" or "gone"; a host that is gone is not
  /// listed. Unknown names are ignored.
  void setState(std::string_view Name, std::string_view State,
                base::Millis Now);
  boost::json::array visibleHosts(base::Millis Now) const;
  /// The reply to GET /v1/hosts: the changes after version \p Since when this
  /// list issued that version, otherwise the whole list.
  boost::json::object reply(std::string_view Since, base::Millis Now) const;

private:
  struct Change {
    std::uint64_t Number = 0;
    base::Millis VisibleAt{};
    std::string State;
  };
  struct Entry {
    boost::json::object Host;
    std::vector<Change> Changes;
  };

  /// The newest visible change of a host; null when there is none.
  static const Change *lastVisibleChange(const Entry &E, base::Millis Now);
  static boost::json::object describe(const Entry &E, const Change *Last);
  std::uint64_t newestVisibleChange(base::Millis Now) const;

  base::Millis Lag;
  std::uint64_t LastChangeNumber = 0;
  std::string InstanceId; ///< Distinguishes versions of an earlier process.
  std::vector<Entry> Entries;
};

} // namespace heathersaddle::standin

#endif
