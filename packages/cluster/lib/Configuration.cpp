#include "heathersaddle/cluster/Ports.h"
#include <algorithm>

namespace heathersaddle::cluster {

const Queue *Configuration::route(std::string_view Host,
                                  std::string_view Path) const {
  const Queue *Best = nullptr;
  for (const Queue &Q : Queues)
    if (Q.Host == Host && Path.starts_with(Q.PathPrefix) &&
        (!Best || Q.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Q;
  return Best;
}

const Account *Configuration::accountOfKey(std::string_view Key) const {
  for (const Account &A : Accounts)
    if (std::find(A.Keys.begin(), A.Keys.end(), Key) != A.Keys.end())
      return &A;
  return nullptr;
}

const Account *Configuration::account(std::string_view Name) const {
  for (const Account &A : Accounts)
    if (A.Name == Name)
      return &A;
  return nullptr;
}

} // namespace heathersaddle::cluster
