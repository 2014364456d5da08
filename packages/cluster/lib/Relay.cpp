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

CallerReply replyToChange(PeerAnswer Peer, LocalOutcome Own) {
  if (isConclusive(Peer))
    return CallerReply::FromPeer;
  if (Own == LocalOutcome::Done)
    return CallerReply::FromThisDaemon;
  return Peer == PeerAnswer::Unknown || Own == LocalOutcome::MayHaveRun
             ? CallerReply::Unresolved
             : CallerReply::FromThisDaemon;
}

CallerReply replyToQuery(LocalOutcome Own, PeerAnswer Peer) {
  return Own == LocalOutcome::NotHandled && Peer == PeerAnswer::Served
             ? CallerReply::FromPeer
             : CallerReply::FromThisDaemon;
}

} // namespace heathersaddle::cluster
