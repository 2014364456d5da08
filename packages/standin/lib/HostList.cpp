// All changes have the same lag, so they become visible in the order of their
// numbers; a version is the number of the newest visible change.
#include "HostList.h"
#include <algorithm>
#include <charconv>
#include <random>

namespace heathersaddle::standin {

HostList::HostList(base::Millis Lag)
    : Lag(Lag), InstanceId(std::to_string(std::random_device{}())) {}

void HostList::add(boost::json::object Host) {
  Entries.push_back({std::move(Host), {}});
}

void HostList::setState(std::string_view Name, std::string_view State,
                        base::Millis Now) {
  for (Entry &E : Entries)
    if (E.Host.at("name").as_string() == Name)
      E.Changes.push_back({++LastChangeNumber, Now + Lag, std::string(State)});
}

const HostList::Change *HostList::lastVisibleChange(const Entry &E,
                                                    base::Millis Now) {
  const Change *Last = nullptr;
  for (const Change &C : E.Changes)
    if (C.VisibleAt <= Now)
      Last = &C;
  return Last;
}

boost::json::array HostList::visibleHosts(base::Millis Now) const {
  boost::json::array Hosts;
  for (const Entry &E : Entries) {
    const Change *Last = lastVisibleChange(E, Now);
    if (!Last || Last->State != "gone")
      Hosts.push_back(describe(E, Last));
  }
  return Hosts;
}

boost::json::object HostList::describe(const Entry &E, const Change *Last) {
  boost::json::object Host = E.Host;
  Host["state"] = Last ? std::string_view(Last->State) : "live";
  return Host;
}

std::uint64_t HostList::newestVisibleChange(base::Millis Now) const {
  std::uint64_t Newest = 0;
  for (const Entry &E : Entries)
    if (const Change *Last = lastVisibleChange(E, Now))
      Newest = std::max(Newest, Last->Number);
  return Newest;
}

boost::json::object HostList::reply(std::string_view Since,
                                    base::Millis Now) const {
  const std::string Prefix = InstanceId + "-";
  const std::uint64_t Newest = newestVisibleChange(Now);
  boost::json::object Reply{{"version", Prefix + std::to_string(Newest)}};
  std::uint64_t From = 0;
  std::string_view Number = Since.substr(std::min(Since.size(), Prefix.size()));
  auto Parsed =
      std::from_chars(Number.data(), Number.data() + Number.size(), From);
  if (!Since.starts_with(Prefix) || Parsed.ec != std::errc() || From > Newest) {
    Reply["hosts"] = visibleHosts(Now);
    return Reply;
  }
  boost::json::array Hosts;
  boost::json::array Gone;
  for (const Entry &E : Entries) {
    const Change *Last = lastVisibleChange(E, Now);
    if (!Last || Last->Number <= From)
      continue;
    if (Last->State == "gone")
      Gone.push_back(E.Host.at("name"));
    else
      Hosts.push_back(describe(E, Last));
  }
  Reply["hosts"] = std::move(Hosts);
  Reply["gone"] = std::move(Gone);
  return Reply;
}

} // namespace heathersaddle::standin
