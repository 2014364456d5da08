// Approach: polls the platform's host list; the last list received stays in use
// while the platform does not answer. A daemon without a cell polls less often
// because it needs the list only to find cells without an owner.
// Bounds: one call at a time.
#include "HostList.h"

namespace heathersaddle::control {

namespace {
constexpr int IdlePeriodFactor = 5;
} // namespace

void HostList::tick(bool Owner) {
  if (Call != 0 || NodeCore.now() < NextAt)
    return;
  Call = ++NodeCore.LastCall;
  NextAt = NodeCore.now() + NodeCore.Settings.HostListPeriod *
                                (Owner || !Known ? 1 : IdlePeriodFactor);
  NodeCore.Actions.emplace_back(
      HostsAction{Call, NodeCore.Settings.CallTimeout});
}

void HostList::onChanges(std::uint64_t ResultCall,
                         base::Expected<HostChanges> Result) {
  if (ResultCall == 0 || ResultCall != Call)
    return;
  Call = 0;
  if (!Result || (!Result->IsFullList && !Known))
    return;
  if (Result->IsFullList)
    Hosts.clear();
  else if (Result->Hosts.empty() && Result->Removed.empty())
    return;
  for (const std::string &Name : Result->Removed)
    Hosts.erase(Name);
  for (HostEntry &H : Result->Hosts)
    Hosts.insert_or_assign(H.Name, std::move(H));
  Known = true;
  ++Generation;
}

const HostEntry *HostList::host(std::string_view Name) const {
  auto It = Hosts.find(Name);
  return It == Hosts.end() ? nullptr : &It->second;
}

} // namespace heathersaddle::control
