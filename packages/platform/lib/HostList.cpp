#include "HostList.h"

namespace heathersaddle::platform {

void HostList::add(boost::json::object Host) {
  Entries.push_back({std::move(Host), {}});
}

void HostList::setState(std::string_view Name, std::string_view State,
                        base::Millis Now) {
  for (Entry &E : Entries)
    if (E.Host.at("name").as_string() == Name)
      E.Changes.push_back({Now + Lag, std::string(State)});
}

boost::json::array HostList::visible(base::Millis Now) const {
  boost::json::array Hosts;
  for (const Entry &E : Entries) {
    std::string_view State = "live";
    for (const Change &C : E.Changes)
      if (C.VisibleAt <= Now)
        State = C.State;
    if (State == "gone")
      continue;
    boost::json::object Host = E.Host;
    Host["state"] = State;
    Hosts.push_back(std::move(Host));
  }
  return Hosts;
}

} // namespace heathersaddle::platform
