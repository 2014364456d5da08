// Load pattern: the store is seventy times slower than usual, so that one
// partition carries out three appends a second; or it rejects the calls of a
// third of the daemons and serves the others.
//
// Each daemon forwards submissions to the owner first, whose address is in its
// records. The owner stores the jobs of all daemons in one append, collecting
// them while another append is in flight. A daemon stores a job by itself if
// the owner cannot be reached. All records carry the job's id, so it is
// harmless if both store it.
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
