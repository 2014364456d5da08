#ifndef HEATHERSADDLE_CONTROL_TAIL_H
#define HEATHERSADDLE_CONTROL_TAIL_H

#include "Core.h"
#include "Snapshots.h"

namespace heathersaddle::control {

/// Reads the log into the state: first recovery from a snapshot, then the
/// records that follow it.
class Tail {
public:
  using AppliedHandler = std::function<void(
      const state::Record &, std::uint64_t Offset, const state::Verdict &)>;

  explicit Tail(Core &C) : NodeCore(C) {}

  AppliedHandler OnApplied;
  std::function<void()> OnRestored; ///< The state was replaced.
  std::function<void()> OnLogUp;    ///< Reads work again after failures.

  void tick();
  void onRead(std::uint64_t Call, const base::Expected<ReadResult> &R);
  /// Reads the available records at once, concurrently with the long poll.
  void readNow();

  /// Whether the state has reached the end of the log since the last recovery
  /// began.
  bool caughtUp() const { return CaughtUp; }
  bool failing() const { return Failures >= 2; }
  /// Time of the last successful read of the control stream.
  base::MonoTime lastRead() const { return LastRead; }
  std::uint64_t lastSnapshot() const { return RestoredOffset; }

private:
  enum class Phase { Snapshots, Control };

  void read(std::uint64_t &Call, base::Millis Wait);
  void onFailure();
  void onSnapshots(const ReadResult &R);
  void onControl(std::uint64_t From, const ReadResult &R);
  void restoreSnapshot();
  void restartRecovery();
  void applyRecord(std::uint64_t Offset, std::string_view Text);

  Core &NodeCore;
  Phase CurrentPhase = Phase::Snapshots;
  SnapshotCollector Collector;
  std::uint64_t NextSnapshotOffset = 0;
  std::uint64_t RestoredOffset = 0;
  std::uint64_t LongPollCall = 0;
  std::uint64_t ShortReadCall = 0;
  std::uint64_t LongPollFrom = 0;
  std::uint64_t ShortReadFrom = 0;
  base::MonoTime RetryAt{};
  base::MonoTime LastRead{};
  unsigned Failures = 0;
  bool CaughtUp = false;
};

} // namespace heathersaddle::control

#endif
