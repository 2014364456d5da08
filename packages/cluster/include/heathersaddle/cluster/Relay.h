#ifndef HEATHERSADDLE_CLUSTER_RELAY_H
#define HEATHERSADDLE_CLUSTER_RELAY_H

namespace heathersaddle::cluster {

/// What this daemon could do for a request.
enum class Served {
  Here,      ///< It is answered.
  NotHere,   ///< Nothing was done; another daemon may serve it.
  MayHaveRun ///< The store did not answer; asking again does no harm.
};

/// What became of a request that was passed on to another daemon.
enum class PeerAnswer {
  Served,
  Refused,      ///< The peer has certainly done nothing.
  NotDelivered, ///< Likewise, as it has not got the request.
  Unknown       ///< No answer, or one that settles nothing.
};

/// Whose answer the caller gets.
enum class Tell {
  Peers,
  Own,
  Unresolved ///< Neither can tell whether it has run.
};

/// A caller is told that nothing has run only if that holds at both daemons.
Tell settle(Served Own, PeerAnswer Peer, bool ChangesState);

} // namespace heathersaddle::cluster

#endif
