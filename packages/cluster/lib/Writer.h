#ifndef HEATHERSADDLE_CLUSTER_WRITER_H
#define HEATHERSADDLE_CLUSTER_WRITER_H

#include "Intake.h"
#include <optional>
#include <set>

namespace heathersaddle::cluster {

/// The owner's appends: one at a time, each a batch of the records of changed
/// jobs and of callers' submissions. Callbacks run once the records of their
/// jobs are stored.
///
/// A record that the store does not take is withheld, so that it does not hold
/// up the others: its job goes on without being recorded, no callback that
/// waits for it runs, and it is tried again from time to time.
class Writer {
public:
  /// The claim was first sent at \p ClaimedAt.
  Writer(Core &C, std::uint64_t Epoch, std::uint64_t Sequence,
         MonoTime ClaimedAt);
  ~Writer() { *Alive = false; }
  Writer(const Writer &) = delete;
  Writer &operator=(const Writer &) = delete;

  std::function<void(std::string_view Reason)> OnDeposed;
  /// Called for each stored submission, with the offset of its record, before
  /// its caller is answered.
  std::function<void(const Submission &, std::uint64_t Offset)> OnStored;
  /// Fills in the state that the owner publishes with each heartbeat.
  std::function<void(workload::Ownership &)> FillHeartbeat;

  void markChanged(std::string_view Job) {
    if (!WithheldJobs.contains(Job))
      ChangedJobs.emplace(Job);
  }
  void remove(std::string_view Job) { RemovedJobs.emplace(Job); }
  /// Runs \p Callback once all changes made so far to \p Jobs are stored.
  void afterStored(std::vector<std::string> Jobs,
                   std::function<void()> Callback) {
    StoredCallbacks.push_back({std::move(Jobs), std::move(Callback)});
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
  /// The number of jobs whose records the store does not take.
  std::size_t withheldJobs() const { return WithheldJobs.size(); }
  void tick();

private:
  struct StoredCallback {
    std::vector<std::string> Jobs;
    std::function<void()> Run;
  };
  /// What an append can do without.
  struct BatchItem {
    enum Kind { Job, Removal, Submission };
    Kind What = Job;
    std::string JobId;
  };
  struct WithheldJob {
    MonoTime RetryAt{};
    Millis RetryDelay{};
  };

  bool hasWork() const;
  bool isWaiting(const StoredCallback &C) const;
  void composeAppend();
  void addItems();
  /// Adds the record if it fits into the append.
  bool addRecord(KeyValue R);
  void addJob(const std::string &Job);
  void addOwnerRecord();
  /// The record of the job's progress. If it is too large for the store, parts
  /// that the job can do without are dropped; none if that is not enough.
  std::optional<KeyValue> progressRecord(workload::Job &J);
  void withhold(const std::string &Job, Millis RetryDelay,
                std::string_view Reason);
  /// A withheld job whose record is to be tried again now; empty if there is
  /// none.
  std::string nextWithheldJob();
  void onStored(std::uint64_t FirstOffset);
  /// The store has answered all copies of the append, and rejects its content.
  void onRejected();
  /// Makes what was in the append wait for the next one.
  void takeBack();
  /// The store takes appends, but not this record.
  void onItemRejected(const BatchItem &Item);
  void send();
  void onResult(std::uint64_t AppendSequence, const AppendResult &R);
  void expireSubmissions();

  Core &Shared;
  std::uint64_t Epoch;
  std::uint64_t Sequence;
  std::uint64_t Heartbeats = 0;
  std::set<std::string, std::less<>> ChangedJobs;
  std::set<std::string, std::less<>> RemovedJobs;
  std::vector<StoredCallback> StoredCallbacks;
  std::vector<StoredCallback> InFlightCallbacks;
  std::vector<Submission> PendingSubmissions;  ///< Not sent yet.
  std::vector<Submission> InFlightSubmissions; ///< In the append in flight ...
  std::size_t FirstSubmissionIndex = 0; ///< ... from this record onwards.
  std::vector<std::string> InFlightJobs;
  std::vector<std::string> InFlightRemovals;
  std::vector<KeyValue> Records;
  std::size_t BytesLeft = 0; ///< In the append that is being composed.
  std::map<std::string, WithheldJob, std::less<>> WithheldJobs;
  /// Of the jobs whose records were withheld when they were last tried.
  std::map<std::string, Millis> RetryDelays;
  /// Most items of the next append; below its usual value after a rejection.
  std::size_t MaxItems;
  /// The next append has only the owner's record: if the store rejects that as
  /// well, its rejections say nothing about the content.
  bool Probing = false;
  std::optional<BatchItem> Suspect; ///< The only item of a rejected append.
  bool CopyRejected = false;        ///< Of the append in flight, and ...
  bool CopyUnresolved = false;      ///< ... one that may still be carried out.
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
