#include "heathersaddle/cluster/CallLimits.h"
#include "heathersaddle/cluster/Node.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// Descriptors that are not for connections.
static constexpr std::size_t FileDescriptors = 200;
/// The shares of the descriptors, the processor and the link for these calls.
/// The rest is for first syncs, idle connections, callers, the store and plans.
static constexpr double DescriptorShare = 0.5;
static constexpr double CpuShare = 0.75;
static constexpr double LinkShare = 0.5;
/// The share of the descriptors for connections to workers. It exceeds that of
/// the limited calls, since first syncs and probes are not among these.
static constexpr double WorkerConnectionsShare = 0.7;
/// Enough for a few callers and other daemons on any host.
static constexpr std::size_t MinClientConnections = 32;
/// Enough for a few workers on any host.
static constexpr unsigned MinInFlight = 32;
static constexpr double MinPerSecond = 50;
static constexpr double CpuSecondsPerCall = 100e-6;
/// Larger of the two directions, with the connection's own packets.
static constexpr double BytesPerCall = 700;

static double connectionDescriptors(std::size_t MaxDescriptors) {
  return static_cast<double>(MaxDescriptors -
                             std::min(MaxDescriptors, FileDescriptors));
}

CallLimits callLimits(const NodeSettings &S) {
  CallLimits L;
  L.InFlight =
      std::max(MinInFlight,
               static_cast<unsigned>(DescriptorShare *
                                     connectionDescriptors(S.MaxDescriptors)));
  L.ToWorker = MaxCallsToWorker;
  L.PerSecond =
      std::max(MinPerSecond,
               std::min(CpuShare * static_cast<double>(S.CpuMilli) / 1'000 /
                            CpuSecondsPerCall,
                        LinkShare * static_cast<double>(S.LinkBytesPerSecond) /
                            BytesPerCall));
  return L;
}

std::size_t maxWorkerConnections(std::size_t MaxDescriptors) {
  return static_cast<std::size_t>(WorkerConnectionsShare *
                                  connectionDescriptors(MaxDescriptors));
}

std::size_t maxClientConnections(std::size_t MaxDescriptors) {
  auto Left = static_cast<std::size_t>((1 - WorkerConnectionsShare) *
                                       connectionDescriptors(MaxDescriptors));
  return std::max(MinClientConnections,
                  Left -
                      std::min(Left, MaxStoreConnections + MaxPeerConnections));
}

} // namespace heathersaddle::cluster
