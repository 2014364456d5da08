#include "heathersaddle/cluster/CallLimits.h"
#include "heathersaddle/cluster/Node.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// Descriptors that are not for connections.
static constexpr std::size_t FileDescriptors = 200;
/// The share of a resource for these calls; the rest is for first syncs, idle
/// connections, callers and the store.
static constexpr double Share = 0.5;
/// The share of the descriptors for connections to workers. It exceeds that of
/// the limited calls, since first syncs and probes are not among these.
static constexpr double WorkerConnectionsShare = 0.7;
static constexpr double CpuSecondsPerCall = 100e-6;
/// Larger of the two directions, with the connection's own packets.
static constexpr double BytesPerCall = 1'500;

static double connectionDescriptors(std::size_t MaxDescriptors) {
  return static_cast<double>(MaxDescriptors -
                             std::min(MaxDescriptors, FileDescriptors));
}

CallLimits callLimits(const NodeSettings &S) {
  CallLimits L;
  L.InFlight =
      static_cast<unsigned>(Share * connectionDescriptors(S.MaxDescriptors));
  L.ToWorker = MaxCallsToWorker;
  L.PerSecond =
      Share *
      std::min(static_cast<double>(S.CpuMilli) / 1'000 / CpuSecondsPerCall,
               static_cast<double>(S.LinkBytesPerSecond) / BytesPerCall);
  return L;
}

std::size_t maxWorkerConnections(std::size_t MaxDescriptors) {
  return static_cast<std::size_t>(WorkerConnectionsShare *
                                  connectionDescriptors(MaxDescriptors));
}

} // namespace heathersaddle::cluster
