#ifndef HEATHERSADDLE_CLUSTER_WRITER_H
#define HEATHERSADDLE_CLUSTER_WRITER_H

#include "Intake.h"
#include <set>

namespace heathersaddle::cluster {

/// The owner's appends: one at a time, each a batch of the records of all
/// changed jobs and of callers' submissions. Callbacks run once the records
/// added before them are stored.
class Writer {
public:
  /// The claim was first sent at \p ClaimedAt.
  Writer(Core &C, std::uint64_t Epoch, std::uint64_t Sequence,
         MonoTime ClaimedAt)
      : Shared(C), Epoch(Epoch), Sequence(Sequence), ConfirmedAt(ClaimedAt) {}
  ~Writer() { *Alive = false; }
  Writer(const Writer &) = delete;
  Writer &operator=(const Writer &) = delete;

  std::function<void(std::string_view Reason)> OnDeposed;
  /// Called for each stored submission, with the offset of its record, before
  /// its caller is answered.
  std::function<void(const Submission &, std::uint64_t Offset)> OnStored;
  /// Fills in the state that the owner publishes with each heartbeat.
  std::function<void(workload::Ownership &)> FillHeartbeat;

  void markChanged(std::string_view Job) { ChangedJobs.emplace(Job); }
  void remove(std::string_view Job) { RemovedJobs.emplace(Job); }
  /// Runs \p Callback once all changes made so far are stored.
  void afterStored(std::function<void()> Callback) {
    StoredCallbacks.push_back(std::move(Callback));
  }
  /// Stores a submission with the owner's own records.
  void add(Submission S) { PendingSubmissions.push_back(std::move(S)); }
  AppendState appendState() const;
  /// Answers all callers whose submissions are not stored yet.
  void failPendingSubmissions();
  /// Publishes the owner's state with the next append.
  void publishSoon() { NextHeartbeatAt = {}; }
  /// Publishes that the owner releases ownership; nothing is appended
  /// afterwards.
  void release();
  bool released() const { return ReleaseStored; }
  /// Whether the release may have been stored.
  bool releaseSent() const { return ReleaseInFlight || ReleaseStored; }
  /// When the latest of the owner's records that are known to be stored was
  /// first sent. No later owner had claimed at that time.
  MonoTime confirmedAt() const { return ConfirmedAt; }
  void tick();

private:
  void composeAppend();
  void send();
  void onResult(std::uint64_t AppendSequence, const AppendResult &R);
  void expireSubmissions();

  Core &Shared;
  std::uint64_t Epoch;
  std::uint64_t Sequence;
  std::uint64_t Heartbeats = 0;
  std::set<std::string, std::less<>> ChangedJobs;
  std::set<std::string, std::less<>> RemovedJobs;
  std::vector<std::function<void()>> StoredCallbacks;
  std::vector<std::function<void()>> InFlightCallbacks;
  std::vector<Submission> PendingSubmissions;  ///< Not sent yet.
  std::vector<Submission> InFlightSubmissions; ///< In the append in flight ...
  std::size_t FirstSubmissionIndex = 0; ///< ... from this record onwards.
  std::vector<KeyValue> Records;
  bool InFlight = false;
  unsigned UnansweredCopies = 0; ///< Of the append in flight.
  bool Releasing = false;
  bool ReleaseInFlight = false; ///< The append in flight releases ownership.
  bool ReleaseStored = false;
  MonoTime ComposedAt{}; ///< Of the append in flight; before its first copy.
  bool OwnerRecordInFlight = false; ///< That append has the owner's record.
  MonoTime ConfirmedAt{};
  MonoTime SentAt{};     ///< When the first copy was sent.
  MonoTime LastSentAt{}; ///< When the latest copy was sent.
  MonoTime RetryAt{};
  MonoTime NextHeartbeatAt{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace heathersaddle::cluster

#endif
