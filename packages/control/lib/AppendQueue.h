#ifndef HEATHERSADDLE_CONTROL_APPENDQUEUE_H
#define HEATHERSADDLE_CONTROL_APPENDQUEUE_H

#include "Core.h"
#include <deque>

namespace heathersaddle::control {

/// Body became of a record that this node wanted to append.
enum class AppendStatus {
  Applied,   ///< Seen in the tail and in force.
  Voided,    ///< Seen in the tail, without effect.
  Dropped,   ///< Certainly not in the log, now or later.
  Unresolved ///< May still take effect.
};

struct AppendResult {
  AppendStatus Status = AppendStatus::Unresolved;
  std::uint64_t Offset = 0;
  state::Verdict Verdict;
};
using AppendHandler = std::function<void(const AppendResult &)>;

/// The node's writer: numbers records, appends them in batches and reports the
/// fate of each from the tail.
class AppendQueue {
public:
  explicit AppendQueue(Core &C) : NodeCore(C) {}

  /// Queues a record; false when the queue is full. With a \p Limit the fate
  /// is reported when the limit is over, at the latest.
  bool push(state::Body Body, AppendHandler Done, base::Millis Limit = {});
  /// Sends the next batch or repeats one, when it is time.
  void sendIfDue();
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
  bool takeReadRequested() { return std::exchange(ReadRequested, false); }

private:
  struct Entry {
    state::Body Body;
    std::string Text;
    std::uint64_t Sequence = 0;
    AppendHandler Done;
    base::MonoTime Expires = base::MonoTime::max();
  };
  enum class Phase { Idle, InFlight, Unresolved };

  void sendBatch();
  void sendFence();
  void sendAppend();
  bool batchHasExpiredEntry() const;
  bool batchResolved() const;
  static void report(Entry &E, const AppendResult &Result);

  Core &NodeCore;
  std::deque<Entry> Waiting; ///< Not sent yet; no sequence number.
  std::deque<Entry> Sent;    ///< In order of sequence; no verdict yet.
  std::vector<std::string> Batch;
  std::uint64_t BatchFirstSequence = 0;
  std::uint64_t LastSequence = 0;
  std::uint64_t Call = 0;
  Phase CurrentPhase = Phase::Idle;
  base::MonoTime RetryAt{};
  unsigned Failures = 0;
  bool ReadRequested = false;
};

} // namespace heathersaddle::control

#endif
