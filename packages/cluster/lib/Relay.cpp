// Load pattern: the store is seventy times as slow as usual, so that one
// partition takes three appends a second; or it turns a third of the daemons
// away and serves the others.
//
// What callers hand in at any daemon goes to the owner first, whose address is
// in its records: it stores the jobs of all daemons together, in one append,
// while another is under way. A daemon stores a job by itself when the owner
// cannot be reached. All records carry the job's id, so both may store it.
#include "heathersaddle/cluster/Relay.h"

namespace heathersaddle::cluster {

Tell settleChange(PeerAnswer Peer, Served Own) {
  if (settles(Peer))
    return Tell::Peers;
  if (Own == Served::Done)
    return Tell::Own;
  return Peer == PeerAnswer::Unknown || Own == Served::MayHaveRun
             ? Tell::Unresolved
             : Tell::Own;
}

Tell settleQuestion(Served Own, PeerAnswer Peer) {
  return Own == Served::NotHere && Peer == PeerAnswer::Served ? Tell::Peers
                                                              : Tell::Own;
}

} // namespace heathersaddle::cluster
