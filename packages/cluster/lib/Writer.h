#ifndef HEATHERSADDLE_CLUSTER_WRITER_H
#define HEATHERSADDLE_CLUSTER_WRITER_H

#include "Intake.h"
#include <set>

namespace heathersaddle::cluster {

/// The owner's appends: one at a time, each a batch of all jobs that changed
/// and of what callers have handed in. StoredCallbacks run once the records
/// before them are stored.
class Writer {
public:
  Writer(Core &C, std::uint64_t Epoch, std::uint64_t Sequence)
      : Shared(C), Epoch(Epoch), Sequence(Sequence) {}
  ~Writer() { *Alive = false; }
  Writer(const Writer &) = delete;
  Writer &operator=(const Writer &) = delete;

  std::function<void(std::string_view Reason)> OnDeposed;
  /// Called before the caller is answered, with the offset of the record.
  std::function<void(const Submission &, std::uint64_t Offset)> OnStored;
  /// Fills in what the owner publishes.
  std::function<void(workload::Ownership &)> OnHeartbeat;

  void markChanged(std::string_view Job) { ChangedJobs.emplace(Job); }
  void remove(std::string_view Job) { RemovedJobs.emplace(Job); }
  /// Runs \p Callback once everything changed so far is stored.
  void afterStored(std::function<void()> Callback) {
    StoredCallbacks.push_back(std::move(Callback));
  }
  /// Stores a job that a caller has handed in.
  void add(Submission S) { PendingSubmissions.push_back(std::move(S)); }
  /// Answers all callers whose jobs are not stored yet.
  void failPendingSubmissions();
  /// Publishes that the owner gives up; nothing is appended afterwards.
  void release();
  bool released() const { return ReleaseStored; }
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
  std::vector<Submission> InFlightSubmissions; ///< In the append under way ...
  std::size_t FirstSubmissionIndex = 0;        ///< ... from this record on.
  std::vector<KeyValue> Records;
  bool InFlight = false;
  unsigned UnansweredCopies = 0; ///< Of the append, that are not answered yet.
  bool Releasing = false;
  bool ReleaseInFlight = false; ///< The append in flight gives up ownership.
  bool ReleaseStored = false;
  MonoTime SentAt{};     ///< The first copy.
  MonoTime LastSentAt{}; ///< The latest copy.
  MonoTime RetryAt{};
  MonoTime NextHeartbeatAt{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace heathersaddle::cluster

#endif
