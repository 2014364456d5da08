#ifndef HEATHERSADDLE_CLUSTER_NODEIMPL_H
#define HEATHERSADDLE_CLUSTER_NODEIMPL_H

#include "Intake.h"
#include "Owner.h"

namespace heathersaddle::cluster {

struct Node::Impl {
  Impl(NodeSettings Settings, std::function<ClockReading()> Clock,
       base::StructuredLog &Log);
  ~Impl() { *Alive = false; }

  void tick();
  void onControl(KeyValue &&Record);
  void onOperator(OperatorChange &&Change);
  void updateStoreState();

  // Election.cpp: who is the owner.
  void elect();
  void claim();
  void onClaimed(const AppendResult &R);
  void becomeOwner();
  void stepDown(std::string_view Reason);
  /// After the owner has released because it reaches too few workers.
  void giveUp();

  // Requests.cpp: callers' requests.
  void submit(workload::JobSpec Spec,
              std::function<void(std::optional<Refusal>)> Done);
  void stored(const Submission &S, std::uint64_t Offset);
  StatusResult status(std::string_view Job) const;
  void cancel(std::string_view Job, std::function<void(Lookup)> Done);
  /// Carries on with cancellations of jobs that were not known yet.
  void resolveCancels();
  std::string forwardTarget() const;
  /// How long an append takes now, as the owner has published.
  Millis ownerAppendTime() const;
  std::optional<std::size_t> waiting(std::string_view Queue) const;

  Core Shared;
  Tail<KeyValue> Control;
  Intake Incoming; ///< Jobs that this daemon stores by itself.
  Tail<OperatorChange> Operator;
  std::unique_ptr<Owner> ActiveOwner;
  bool StoreUp = false;
  bool Stopping = false;
  std::string DeposedReason;
  /// Jobs accepted here that the owner's published backlog lacks yet.
  struct RecentSubmission {
    MonoTime At{};
    unsigned Priority = 0;
    std::int64_t WorkMs = 0;
  };
  std::vector<RecentSubmission> RecentSubmissions;
  struct UnknownCancel {
    std::string Job;
    MonoTime Since{};
    std::function<void(Lookup)> Done;
  };
  std::vector<UnknownCancel> UnknownCancels;

  // Election.
  std::uint64_t OwnerRecordsRead = 0;
  MonoTime OwnerRecordReadAt{}; ///< Its latest record was read.
  MonoTime OwnerSilentSince{};  ///< Later, if the topic could not be read.
  MonoTime ClaimAt{};           ///< 0: no claim planned.
  std::uint64_t OwnerEpoch = 0; ///< As last seen, and since when.
  MonoTime EpochSeenAt{};
  bool Claiming = false;
  bool ClaimInFlight = false;
  std::uint64_t ClaimEpoch = 0;
  std::uint64_t ClaimSequence = 0;
  std::optional<std::uint64_t> ClaimOffset; ///< Offset of our claim.
  MonoTime ClaimRetryAt{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace heathersaddle::cluster

#endif
