// Load pattern: the store turns a third of the daemons away for seconds and
// serves the others. Callers of the first would be refused, several of them
// again and again, although the deployment can serve them.
//
// Such a request goes once more to the owner, whose address is in its records.
// Submissions and cancellations carry their job's id, so both daemons may act
// on one.
#include "heathersaddle/cluster/Relay.h"

namespace heathersaddle::cluster {

Tell settle(Served Own, PeerAnswer Peer, bool ChangesState) {
  if (Own == Served::Here)
    return Tell::Own;
  if (Peer == PeerAnswer::Served)
    return Tell::Peers;
  if (!ChangesState)
    return Tell::Own;
  if (Own == Served::MayHaveRun || Peer == PeerAnswer::Unknown)
    return Tell::Unresolved;
  return Peer == PeerAnswer::Refused ? Tell::Peers : Tell::Own;
}

} // namespace heathersaddle::cluster
