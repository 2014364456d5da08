#ifndef HEATHERSADDLE_CLUSTER_RELAY_H
#define HEATHERSADDLE_CLUSTER_RELAY_H

#include <string_view>

namespace heathersaddle::cluster {

/// Outcome of a request that this daemon handled itself.
enum class LocalOutcome {
  Done,
  Refused,    ///< For reasons that hold at all daemons.
  NotHandled, ///< Nothing was done; another daemon may serve it.
  MayHaveRun  ///< The store did not answer; repeating the request is harmless.
};

/// Outcome of a request that was forwarded to another daemon.
enum class PeerAnswer {
  Served,
  Refused,    ///< As in LocalOutcome.
  NotHandled, ///< The peer did not receive it or could not handle it.
  Unknown     ///< No answer, or an inconclusive one.
};

/// The name in log events.
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

/// Which answer the caller receives.
enum class CallerReply {
  FromPeer,
  FromThisDaemon,
  Unresolved ///< Neither daemon knows whether it has run.
};

/// For a request that changes state: it was forwarded first, and is handled
/// here only if \p Peer is not conclusive. The caller is told that nothing has
/// run only if that holds for both daemons.
CallerReply replyToChange(PeerAnswer Peer, LocalOutcome Own);
inline bool isConclusive(PeerAnswer Peer) {
  return Peer == PeerAnswer::Served || Peer == PeerAnswer::Refused;
}

/// Whether this daemon handles a request for which the peer's answer is not
/// conclusive. While the store is slow, another append would only delay the
/// peer's.
inline bool shouldServeHere(PeerAnswer Peer, bool StoreIsSlow) {
  return Peer == PeerAnswer::NotHandled ||
         (Peer == PeerAnswer::Unknown && !StoreIsSlow);
}

/// For a query that this daemon could not answer and forwarded afterwards.
CallerReply replyToQuery(LocalOutcome Own, PeerAnswer Peer);

} // namespace heathersaddle::cluster

#endif
