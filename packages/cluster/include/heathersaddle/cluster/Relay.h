#ifndef HEATHERSADDLE_CLUSTER_RELAY_H
#define HEATHERSADDLE_CLUSTER_RELAY_H

#include <string_view>

namespace heathersaddle::cluster {

/// What this daemon did about a request.
enum class LocalOutcome {
  Done,
  Refused,    ///< For good reasons that hold at all daemons.
  NotHandled, ///< Nothing was done; another daemon may serve it.
  MayHaveRun  ///< The store did not answer; asking again does no harm.
};

/// What became of a request that was passed on to another daemon.
enum class PeerAnswer {
  Served,
  Refused,    ///< As above.
  NotHandled, ///< The peer has not got it, or could do nothing about it.
  Unknown     ///< No answer, or one that settles nothing.
};

/// As the log names it.
constexpr std::string_view name(PeerAnswer A) {
  switch (A) {
  case PeerAnswer::Served:
    return "served";
  case PeerAnswer::Refused:
    return "refused";
  case PeerAnswer::NotHandled:
    return "nothing";
  case PeerAnswer::Unknown:
    break;
  }
  return "unknown";
}

/// Whose answer the caller gets.
enum class CallerReply {
  FromPeer,
  FromThisDaemon,
  Unresolved ///< Neither can tell whether it has run.
};

/// For a request that changes something, was passed on first and is served here
/// only if \p Peer does not settle it. A caller is told that nothing has run
/// only if that holds at both daemons.
CallerReply replyToChange(PeerAnswer Peer, LocalOutcome Own);
inline bool isConclusive(PeerAnswer Peer) {
  return Peer == PeerAnswer::Served || Peer == PeerAnswer::Refused;
}

/// Whether this daemon tries what the peer has not settled. While the store is
/// slow, another append would only hold up the peer's.
inline bool shouldServeHere(PeerAnswer Peer, bool StoreIsSlow) {
  return Peer == PeerAnswer::NotHandled ||
         (Peer == PeerAnswer::Unknown && !StoreIsSlow);
}

/// For a question that this daemon could not answer and then passed on.
CallerReply replyToQuery(LocalOutcome Own, PeerAnswer Peer);

} // namespace heathersaddle::cluster

#endif
