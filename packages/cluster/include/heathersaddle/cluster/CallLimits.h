#ifndef HEATHERSADDLE_CLUSTER_CALLLIMITS_H
#define HEATHERSADDLE_CLUSTER_CALLLIMITS_H

#include <cstddef>

namespace heathersaddle::cluster {

struct NodeSettings;

/// Workers of the platform accept 64 connections, and a former owner may hold
/// as many as the current one.
inline constexpr unsigned MaxCallsToWorker = 24;

/// Limits of an owner's calls to workers: starts, stops and copies of syncs.
/// The first copy of a sync is not limited; each worker has about one in
/// flight.
struct CallLimits {
  unsigned InFlight = 0; ///< To all workers.
  unsigned ToWorker = 0; ///< In flight to one worker.
  double PerSecond = 0;  ///< To all workers, on average.
};

/// The limits that the daemon's host can bear.
CallLimits callLimits(const NodeSettings &S);

/// The connections to all workers, idle ones included, that leave enough
/// descriptors of the daemon's host to callers, peers and the store.
std::size_t maxWorkerConnections(std::size_t MaxDescriptors);

/// The connections to the store, and those to other daemons.
inline constexpr std::size_t MaxStoreConnections = 16;
inline constexpr std::size_t MaxPeerConnections = 16;

/// The connections that callers, other daemons and operators may open: what the
/// above leave.
std::size_t maxClientConnections(std::size_t MaxDescriptors);

} // namespace heathersaddle::cluster

#endif
