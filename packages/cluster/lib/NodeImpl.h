#ifndef HEATHERSADDLE_CLUSTER_NODEIMPL_H
#define HEATHERSADDLE_CLUSTER_NODEIMPL_H

#include "Intake.h"
#include "Owner.h"
#include "PauseDetector.h"
#include "heathersaddle/cluster/Admission.h"

namespace heathersaddle::cluster {

struct Node::Impl {
  Impl(NodeSettings Settings, std::function<ClockReading()> Clock,
       base::StructuredLog &Log);
  ~Impl() { *Alive = false; }

  /// Runs \p Change, which modifies the state, or callbacks of callers that
  /// depend on it.
  template <class F> auto modify(F &&Change) {
    ++OpenChanges;
    if constexpr (std::is_void_v<decltype(Change())>) {
      Change();
      --OpenChanges;
    } else {
      auto Result = Change();
      --OpenChanges;
      return Result;
    }
  }
  void tick();
  void onControlRecord(KeyValue &&Record);
  void onOperatorChange(OperatorChange &&Change);
  /// The set of drained data centres has changed.
  void onDrainChanged(const DrainChange &Change);
  void updateStoreState();
  void recordControlDelay(Millis Waited);
  void recordTrafficDelay(Millis Waited);
  void updateGauges();
  /// Counts and logs a pause of the process, if there was one.
  void notePause(std::optional<Millis> Pause);

  // Election.cpp: election of the owner.
  void elect();
  void claim();
  void onClaimed(const AppendResult &R);
  /// How long the owner may record nothing before it is replaced.
  Millis ownerTimeout() const;
  void becomeOwner();
  void stepDown(std::string_view Reason);
  /// Steps down after the owner has released because most workers do not
  /// answer.
  void stepDownUnreachable();

  // Requests.cpp: callers' requests.
  MonoTime waitsUntil(Millis CallerWaits);
  /// Why no daemon can ever accept the job, counted and logged; none if one
  /// may.
  std::optional<Refusal> refusalForGood(const workload::JobSpec &Spec);
  void submit(workload::JobSpec Spec,
              std::function<void(std::optional<Refusal>)> Done,
              Millis CallerWaits, std::function<bool()> IsCallerConnected);
  /// Returns \p Done, which also keeps account of whether the submission is
  /// answered, for mayBeStored().
  std::function<void(std::optional<Refusal>)>
  trackSubmission(const std::string &Id,
                  std::function<void(std::optional<Refusal>)> Done);
  /// Whether an earlier copy of the submission was handed to the store here and
  /// may still be stored.
  bool mayBeStored(std::string_view Id) const;
  /// The load ahead of a new job of the priority.
  Load loadAhead(unsigned Priority);
  void updateAllDrained();
  /// The appends of this daemon that store new jobs.
  AppendState appendState() const;
  /// Applies a record that is stored, before it is read from the topic.
  void applyRecord(const KeyValue &Record);
  void onSubmissionStored(const Submission &S, std::uint64_t Offset);
  StatusResult status(std::string_view Job) const;
  void cancel(std::string_view Job, std::function<void(Lookup)> Done);
  /// Resolves cancellations of jobs that were unknown when they were requested.
  void resolveCancels();
  struct UnknownCancel {
    std::string Job;
    MonoTime Since{};
    std::function<void(Lookup)> Done;
  };
  /// Whether another unknown job may be cancelled now; counts it if so.
  bool mayCancelUnknown();
  /// Stores a cancellation of a job that is in no record, then answers.
  void cancelUnknown(UnknownCancel U);
  std::string forwardTarget() const;
  void recordForwarded(std::string_view Path, std::string_view Peer,
                       PeerAnswer How, Millis Took);
  /// The current duration of an append as published by the owner, limited.
  Millis ownerAppendTime() const;
  std::optional<std::size_t> waiting(std::string_view Queue) const;

  Core Shared;
  Tail<KeyValue> ControlTopic;
  Intake Incoming; ///< Submissions that this daemon stores by itself.
  Tail<OperatorChange> OperatorTopic;
  PauseDetector Pauses;
  /// Changes that have begun and not ended, or ended by an exception.
  unsigned OpenChanges = 0;
  std::unique_ptr<Owner> ActiveOwner;
  bool StoreUp = false;
  bool Stopping = false;
  Millis TrafficDelay{};        ///< The latest.
  Millis LongestControlDelay{}; ///< Since the latest event about it.
  Millis LongestTrafficDelay{}; ///< Likewise.
  MonoTime DelaysReportedAt{};
  std::string DeposedReason;
  /// Jobs accepted here that the backlog published by the owner does not
  /// include yet.
  struct RecentSubmission {
    MonoTime At{};
    unsigned Priority = 0;
    std::int64_t WorkMs = 0;
  };
  std::vector<RecentSubmission> RecentSubmissions;
  /// Since when the operator has all data centres drained; 0: not so.
  MonoTime AllDrainedSince{};
  struct OpenSubmission {
    unsigned Unanswered = 0; ///< Copies.
    MonoTime MayBeStoredUntil{};
  };
  std::map<std::string, OpenSubmission, std::less<>> OpenSubmissions;
  std::vector<UnknownCancel> UnknownCancels;
  /// How many unknown jobs may be cancelled, at which time.
  double CancelTokens = 0;
  MonoTime CancelTokensAt{};

  // Election.
  EarlierLeases FormerLeases;
  std::uint64_t OwnerRecordsRead = 0;
  MonoTime OwnerRecordReadAt{}; ///< When its latest record was read.
  /// When the owner first could not handle a forwarded request after its latest
  /// record was read here; before that if it has not happened since.
  MonoTime OwnerNotHandledAt{};
  MonoTime OwnerSilentSince{};  ///< As above, but reset while the topic cannot
                                ///< be read.
  MonoTime ClaimAt{};           ///< 0 if no claim is planned.
  std::uint64_t OwnerEpoch = 0; ///< As last seen, and since when.
  MonoTime EpochSeenAt{};
  bool Claiming = false;
  bool ClaimInFlight = false;
  std::uint64_t ClaimEpoch = 0;
  std::uint64_t ClaimSequence = 0;
  MonoTime ClaimedAt{};                     ///< When the claim was first sent.
  std::optional<std::uint64_t> ClaimOffset; ///< Offset of this daemon's claim.
  MonoTime ClaimRetryAt{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace heathersaddle::cluster

#endif
