#ifndef HEATHERSADDLE_CLUSTER_WRITER_H
#define HEATHERSADDLE_CLUSTER_WRITER_H

#include "Intake.h"
#include <set>

namespace heathersaddle::cluster {

/// The owner's appends: one at a time, each a batch of all jobs that changed
/// and of what callers have handed in. Effects run once the records before them
/// are stored.
class Writer {
public:
  Writer(Core &C, std::uint64_t Epoch, std::uint64_t Sequence)
      : C(C), Epoch(Epoch), Sequence(Sequence) {}
  ~Writer() { *Alive = false; }
  Writer(const Writer &) = delete;
  Writer &operator=(const Writer &) = delete;

  std::function<void(std::string_view Reason)> OnDeposed;
  /// Called before the caller is answered, with the offset of the record.
  std::function<void(const Submission &, std::uint64_t Offset)> OnStored;
  /// Fills in what the owner publishes.
  std::function<void(workload::Ownership &)> OnBeat;

  void changed(std::string_view Job) { Dirty.emplace(Job); }
  void remove(std::string_view Job) { Removed.emplace(Job); }
  /// Runs \p Effect once everything changed so far is stored.
  void then(std::function<void()> Effect) {
    Effects.push_back(std::move(Effect));
  }
  /// Stores a job that a caller has handed in.
  void add(Submission S) { Waiting.push_back(std::move(S)); }
  /// Answers all callers whose jobs are not stored yet.
  void abandonCallers();
  /// Publishes that the owner gives up; nothing is appended afterwards.
  void release();
  bool released() const { return ReleaseStored; }
  void tick();

private:
  void compose();
  void send();
  void onResult(std::uint64_t Of, const AppendResult &R);
  void giveUpCallers();

  Core &C;
  std::uint64_t Epoch;
  std::uint64_t Sequence;
  std::uint64_t Beat = 0;
  std::set<std::string, std::less<>> Dirty;
  std::set<std::string, std::less<>> Removed;
  std::vector<std::function<void()>> Effects;
  std::vector<std::function<void()>> InFlightEffects;
  std::vector<Submission> Waiting; ///< Not sent yet.
  std::vector<Submission> Storing; ///< In the append under way ...
  std::size_t StoringFrom = 0;     ///< ... from this record on.
  std::vector<KeyValue> Records;
  bool InFlight = false;
  unsigned Copies = 0; ///< Of the append, that are not answered yet.
  bool Releasing = false;
  bool FinalInFlight = false; ///< The append in flight gives up ownership.
  bool ReleaseStored = false;
  MonoTime SentAt{};     ///< The first copy.
  MonoTime LastSentAt{}; ///< The latest copy.
  MonoTime RetryAt{};
  MonoTime BeatAt{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace heathersaddle::cluster

#endif
