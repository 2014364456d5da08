#ifndef HEATHERSADDLE_CONTROL_HOSTLIST_H
#define HEATHERSADDLE_CONTROL_HOSTLIST_H

#include "Core.h"

namespace heathersaddle::control {

/// The platform's host list as last received.
class HostList {
public:
  explicit HostList(Core &C) : NodeCore(C) {}

  /// Requests the list when it is due; owners of cells do so more often.
  void tick(bool Owner);
  void onChanges(std::uint64_t Call, base::Expected<HostChanges> Result);

  bool known() const { return Known; }
  /// Increases with each full list and each change received.
  std::uint64_t generation() const { return Generation; }
  const HostEntry *host(std::string_view Name) const;
  const std::map<std::string, HostEntry, std::less<>> &hosts() const {
    return Hosts;
  }

private:
  Core &NodeCore;
  std::map<std::string, HostEntry, std::less<>> Hosts;
  std::uint64_t Call = 0;
  std::uint64_t Generation = 0;
  base::MonoTime NextAt{};
  bool Known = false;
};

} // namespace heathersaddle::control

#endif
