#ifndef HEATHERSADDLE_CLUSTER_TAIL_H
#define HEATHERSADDLE_CLUSTER_TAIL_H

#include "Core.h"
#include "heathersaddle/base/Error.h"

namespace heathersaddle::cluster {

/// Least time between two reads by those who need not act at once; each read is
/// a priced call.
inline constexpr Millis FollowerGap{150};
/// How long the log may hold a read that has nothing to return. The control
/// topic's tells whether callers can be served, so a dead path has to be
/// noticed within about a second; while jobs come, its reads return earlier.
inline constexpr Millis TailWait{1'000};
inline constexpr Millis ControlWait{400};
/// Beyond the wait; a read on a dead connection is given up after both. The
/// store's slowest known answers take about 300 ms.
inline constexpr Millis TailSlack{600};
/// For a page of the newest records, of which many may be large.
inline constexpr Millis PageLimit{2'200};
/// A call after a failed one asks for an answer at once and is given up early,
/// so that the end of an outage is noticed soon.
inline constexpr Millis ProbeLimit{800};
/// Data asked for in one read: usually, and after a failed one, which must fit
/// through a link of 2 Mbit/s within the limit of a probe.
inline constexpr std::uint32_t ReadKb{1'024};
inline constexpr std::uint32_t ProbeKb{128};
/// First and longest pause after a failed call.
inline constexpr Millis TailRetryFirst{60};
inline constexpr Millis TailRetryMost{250};

/// Follows one compacted topic: first pages of the newest record of each key,
/// then all records from the end that the first page named. Records between
/// pages are read twice, which is harmless as each holds its key's whole value.
template <class Entry> class Tail {
public:
  /// \p Gap is the least time between two reads: fewer calls for more delay.
  Tail(Core &C, Millis Gap, Millis LongestWait = TailWait)
      : C(C), Gap(Gap), LongestWait(LongestWait) {}
  ~Tail() { *Alive = false; }
  Tail(const Tail &) = delete;
  Tail &operator=(const Tail &) = delete;

  std::function<void()> OnReset; ///< The pages start over.
  std::function<void(Entry &&)> OnEntry;
  std::function<void()> OnComplete; ///< All pages have been read.

  void setGap(Millis G) { Gap = G; }
  /// Starts over, e.g. after the state was changed without the log.
  void restart() {
    ++Generation;
    InFlight = false;
    Following = false;
    CaughtUp = false;
    AfterKey.clear();
    FirstPage = true;
    NextAt = {};
  }
  bool following() const { return Following; }
  /// Offset of the next record to be read.
  std::uint64_t next() const { return From; }
  /// Whether everything appended before \p Time has been read.
  bool covers(MonoTime Time) const { return CaughtUp && EndReadFrom > Time; }
  /// Whether the topic was read to its end within \p Age.
  bool fresh(Millis Age) const {
    return CaughtUp && C.mono() - LastRead <= Age;
  }
  /// Whether the latest call had no good answer.
  bool failing() const { return Retry.count() > 0; }
  /// How long ago the topic was read to its end.
  Millis silentFor() const { return C.mono() - LastRead; }
  void tick() {
    if (InFlight || C.mono() < NextAt)
      return;
    InFlight = true;
    Following ? read() : page();
  }

private:
  template <class Result>
  auto guarded(void (Tail::*Handle)(base::Expected<Result>)) {
    return [this, Alive = Alive, G = Generation,
            Handle](base::Expected<Result> R) {
      if (!*Alive || G != Generation)
        return;
      InFlight = false;
      (this->*Handle)(std::move(R));
    };
  }
  void read() {
    // Behind the end there is nothing to wait for.
    SentAt = C.mono();
    bool Probing = failing();
    Millis Wait = CaughtUp && !Probing ? LongestWait : Millis(0);
    C.Actions.push_back(ReadAction<Entry>{
        From, MaxKb, Wait, Probing ? ProbeLimit : Wait + TailSlack,
        guarded(&Tail::onBatch)});
  }
  void page() {
    C.Actions.push_back(
        ReadNewestAction<Entry>{AfterKey, PageLimit, guarded(&Tail::onPage)});
  }
  void failed() {
    MaxKb = ProbeKb;
    Retry = Retry.count() ? std::min(Retry * 2, TailRetryMost) : TailRetryFirst;
    NextAt = C.mono() + C.jitter(Retry);
  }
  void onPage(base::Expected<Page<Entry>> P) {
    if (!P)
      return failed();
    Retry = {};
    if (FirstPage) {
      FirstPage = false;
      From = P->End;
      if (OnReset)
        OnReset();
    }
    for (Entry &E : P->Entries)
      OnEntry(std::move(E));
    AfterKey = P->LastKey;
    if (P->More)
      return;
    // What came while the pages were read is still missing, so the state is
    // recent only after the next read.
    Following = true;
    if (OnComplete)
      OnComplete();
  }
  void onBatch(base::Expected<Batch<Entry>> B) {
    if (!B)
      return failed();
    Retry = {};
    if (B->Trimmed)
      return restart();
    bool AtEnd = B->Next >= B->End;
    // A single record may be larger than what was asked for.
    if (AtEnd)
      MaxKb = ReadKb;
    else if (B->Next == From)
      MaxKb = std::min(MaxKb * 2, ReadKb);
    From = B->Next;
    if (AtEnd) {
      CaughtUp = true;
      LastRead = C.mono();
      EndReadFrom = SentAt;
    }
    NextAt = AtEnd ? C.mono() + Gap : MonoTime{};
    for (Entry &E : B->Entries)
      OnEntry(std::move(E));
  }

  Core &C;
  Millis Gap;
  Millis LongestWait;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::uint64_t Generation = 0;
  bool InFlight = false;
  bool Following = false;
  bool CaughtUp = false; ///< Read to the end since the pages.
  bool FirstPage = true;
  std::string AfterKey;
  std::uint64_t From = 0;
  std::uint32_t MaxKb = ReadKb;
  MonoTime NextAt{};
  MonoTime SentAt{};
  MonoTime LastRead{};
  MonoTime EndReadFrom{}; ///< When the latest read up to the end was sent.
  Millis Retry{};
};

} // namespace heathersaddle::cluster

#endif
