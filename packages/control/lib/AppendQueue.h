#ifndef HEATHERSADDLE_CONTROL_APPENDQUEUE_H
#define HEATHERSADDLE_CONTROL_APPENDQUEUE_H

#include "Core.h"
#include <deque>

namespace heathersaddle::control {

/// What became of a record that this node wanted to append.
enum class FateKind {
  Applied,   ///< Seen in the tail and in force.
  Voided,    ///< Seen in the tail, without effect.
  Dropped,   ///< Certainly not in the log, now or later.
  Unresolved ///< May still take effect.
};

struct Fate {
  FateKind Kind = FateKind::Unresolved;
  std::uint64_t Offset = 0;
  state::Verdict Verdict;
};
using FateHandler = std::function<void(const Fate &)>;

/// The node's writer: numbers records, appends them in batches and reports the
/// fate of each from the tail.
class AppendQueue {
public:
  explicit AppendQueue(Core &C) : NodeCore(C) {}

  /// Queues a record; false when the queue is full. With a \p Limit the fate
  /// is reported when the limit is over, at the latest.
  bool push(state::Body What, FateHandler Done, base::Millis Limit = {});
  /// Sends the next batch or repeats one, when it is time.
  void pump();
  void expire();
  void onAppended(std::uint64_t Call, const base::Expected<std::uint64_t> &R);
  void onApplied(const state::Record &R, std::uint64_t Offset,
                 const state::Verdict &V);
  /// The state was replaced by a snapshot: verdicts of covered records are
  /// lost.
  void onRestored();
  /// Reports all open fates; for the end of a stop that met an outage.
  void abandon();

  bool idle() const { return Waiting.empty() && Sent.empty(); }
  /// Whether the last appends failed. One lost response alone is no outage.
  bool failing() const { return Failures >= 2; }
  /// Set when an append failed and the tail should be read at once.
  bool takeProbeWanted() { return std::exchange(ProbeWanted, false); }

private:
  struct Entry {
    state::Body What;
    std::string Text;
    std::uint64_t Sequence = 0;
    FateHandler Done;
    base::MonoTime Expires = base::MonoTime::max();
  };
  enum class Phase { Idle, InFlight, Unresolved };

  void sendBatch();
  void sendFence();
  void emit();
  bool batchHasExpired() const;
  bool batchSeen() const;
  static void report(Entry &E, const Fate &F);

  Core &NodeCore;
  std::deque<Entry> Waiting; ///< Not sent yet; no sequence number.
  std::deque<Entry> Sent;    ///< In order of sequence; no verdict yet.
  std::vector<std::string> Batch;
  std::uint64_t BatchFirst = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t Call = 0;
  Phase Now = Phase::Idle;
  base::MonoTime RetryAt{};
  unsigned Failures = 0;
  bool ProbeWanted = false;
};

} // namespace heathersaddle::control

#endif
