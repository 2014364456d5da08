#include "heathersaddle/cluster/CallLimits.h"
#include "heathersaddle/cluster/Node.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// Descriptors that are not for connections.
static constexpr std::size_t FileDescriptors = 200;
/// The share of a resource for these calls; the rest is for first syncs, idle
/// connections, callers and the store.
static constexpr double Share = 0.5;
/// Enough for a few workers on any host.
static constexpr unsigned MinInFlight = 32;
static constexpr double MinPerSecond = 50;
static constexpr double CpuSecondsPerCall = 100e-6;
/// Larger of the two directions, with the connection's own packets.
static constexpr double BytesPerCall = 1'500;

CallLimits callLimits(const NodeSettings &S) {
  std::size_t Connections =
      S.MaxDescriptors - std::min(S.MaxDescriptors, FileDescriptors);
  CallLimits L;
  L.InFlight =
      std::max(MinInFlight,
               static_cast<unsigned>(Share * static_cast<double>(Connections)));
  L.ToWorker = MaxCallsToWorker;
  L.PerSecond = std::max(
      MinPerSecond,
      Share *
          std::min(static_cast<double>(S.CpuMilli) / 1'000 / CpuSecondsPerCall,
                   static_cast<double>(S.LinkBytesPerSecond) / BytesPerCall));
  return L;
}

} // namespace heathersaddle::cluster
