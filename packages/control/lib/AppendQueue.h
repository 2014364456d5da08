#ifndef HEATHERSADDLE_CONTROL_APPENDQUEUE_H
#define HEATHERSADDLE_CONTROL_APPENDQUEUE_H

#include "Core.h"
#include <deque>

namespace heathersaddle::control {

/// The result of appending a record.
enum class AppendStatus {
  Applied,   ///< Read back from the log and applied to the state.
  Voided,    ///< Read back from the log, but rejected by the state.
  Dropped,   ///< Certainly without effect, now and later.
  Unresolved ///< May still take effect, or has without a known verdict.
};

struct AppendResult {
  AppendStatus Status = AppendStatus::Unresolved;
  std::uint64_t Offset = 0;
  state::Verdict Verdict;
};
using AppendHandler = std::function<void(const AppendResult &)>;

/// The node's writer to the log: numbers records, appends them in batches and
/// reports the result of each once it has been read back.
class AppendQueue {
public:
  explicit AppendQueue(Core &C) : NodeCore(C) {}

  /// Queues a record; false when the queue is full. With a \p Limit the result
  /// is reported after that time at the latest.
  bool push(state::Body Body, AppendHandler Done, base::Millis Limit = {});
  /// Sends the next batch, or repeats one whose retry is due.
  void sendIfDue();
  /// Reports entries whose limit is over.
  void expire();
  void onAppended(std::uint64_t Call, const base::Expected<std::uint64_t> &R);
  void onApplied(const state::Record &R, std::uint64_t Offset,
                 const state::Verdict &V);
  /// The state was replaced by a snapshot: the verdicts of records that it
  /// covers are not known, so these are reported as unresolved.
  void onRestored();
  /// Reports all entries without a result; ends a stop during a log outage.
  void abandon();

  bool idle() const { return Waiting.empty() && Sent.empty(); }
  /// Whether the last two or more appends failed. One lost response alone does
  /// not count as an outage.
  bool failing() const { return Failures >= 2; }
  /// Whether an append failed since the last call, so that the log should be
  /// read at once.
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
  std::deque<Entry> Waiting; ///< Not sent yet; without a sequence number.
  std::deque<Entry> Sent;    ///< Without a verdict yet; by sequence number.
  std::vector<std::string> Batch;
  std::uint64_t BatchFirstSequence = 0;
  std::uint64_t LastSequence = 0;
  std::uint64_t Call = 0; ///< Of the last append.
  Phase CurrentPhase = Phase::Idle;
  base::MonoTime RetryAt{};
  unsigned Failures = 0; ///< In a row.
  bool ReadRequested = false;
};

} // namespace heathersaddle::control

#endif
