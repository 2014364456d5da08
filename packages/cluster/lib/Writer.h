#ifndef HEATHERSADDLE_CLUSTER_WRITER_H
#define HEATHERSADDLE_CLUSTER_WRITER_H

#include "Core.h"
#include <set>

namespace heathersaddle::cluster {

/// The owner's appends: one in flight, each a batch of all jobs that changed.
/// Effects run once the records before them are stored.
class Writer {
public:
  Writer(Core &C, std::uint64_t Epoch, std::uint64_t Sequence)
      : C(C), Epoch(Epoch), Sequence(Sequence) {}
  ~Writer() { *Alive = false; }
  Writer(const Writer &) = delete;
  Writer &operator=(const Writer &) = delete;

  std::function<void(std::string_view Reason)> OnDeposed;
  /// Fills in what the owner publishes.
  std::function<void(workload::Ownership &)> OnBeat;

  void changed(std::string_view Job) { Dirty.emplace(Job); }
  void remove(std::string_view Job) { Removed.emplace(Job); }
  /// Runs \p Effect once everything changed so far is stored.
  void then(std::function<void()> Effect) {
    Effects.push_back(std::move(Effect));
  }
  /// Publishes that the owner gives up; nothing is appended afterwards.
  void release();
  bool released() const { return ReleaseStored; }
  bool idle() const { return !InFlight && Dirty.empty() && Effects.empty(); }
  void tick();

private:
  void compose();
  void send();
  void onResult(const AppendResult &R);

  Core &C;
  std::uint64_t Epoch;
  std::uint64_t Sequence;
  std::uint64_t Beat = 0;
  std::set<std::string, std::less<>> Dirty;
  std::set<std::string, std::less<>> Removed;
  std::vector<std::function<void()>> Effects;
  std::vector<std::function<void()>> InFlightEffects;
  std::vector<KeyValue> Records;
  bool InFlight = false;
  bool Sending = false;
  bool Releasing = false;
  bool FinalInFlight = false; ///< The append in flight gives up ownership.
  bool ReleaseStored = false;
  MonoTime SentAt{};
  MonoTime RetryAt{};
  MonoTime BeatAt{};
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace heathersaddle::cluster

#endif
