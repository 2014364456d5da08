#ifndef HEATHERSADDLE_CONTROL_SNAPSHOTS_H
#define HEATHERSADDLE_CONTROL_SNAPSHOTS_H

#include "AppendQueue.h"
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::control {

/// Assembles snapshots from the chunks of the stream `snapshots`.
class SnapshotCollector {
public:
  void add(std::string_view ChunkText);
  /// The complete snapshot with the highest covered offset, or null.
  const std::string *newest() const {
    return Newest.empty() ? nullptr : &Newest;
  }
  void clear();

private:
  struct Partial {
    std::uint64_t Covered = 0;
    std::string Hash;
    std::vector<std::string> Parts;
    std::size_t Missing = 0;
    /// Order in which the first chunks were read; the lowest is dropped first.
    std::uint64_t Order = 0;
  };
  void complete(const Partial &P);

  std::map<std::string, Partial> Incomplete;
  std::uint64_t Order = 0;
  std::string Newest;
  std::uint64_t NewestCovered = 0;
};

/// Cuts a snapshot into the records to be appended.
std::vector<std::string> snapshotChunks(std::string_view Id,
                                        std::uint64_t Covered,
                                        std::string_view Text);

/// Writes a snapshot when one is due: the chunks one append at a time, then the
/// record snapshot_taken.
class SnapshotWriter {
public:
  SnapshotWriter(Core &C, AppendQueue &Queue) : NodeCore(C), Queue(Queue) {}
  void tick(bool Responsible);
  void onAppended(std::uint64_t Call, const base::Expected<std::uint64_t> &R);
  void onSnapshotTaken(std::uint64_t Covered);
  void onRestored(std::uint64_t Covered);

private:
  void begin();
  void sendNext();

  Core &NodeCore;
  AppendQueue &Queue;
  std::string Id;
  std::uint64_t Covered = 0;
  std::vector<std::string> Chunks;
  std::size_t NextChunk = 0;
  std::uint64_t Call = 0;
  std::uint64_t LastCovered = 0;
  base::MonoTime LastSnapshotAt{};
  base::MonoTime RetryAt{};
};

} // namespace heathersaddle::control

#endif
