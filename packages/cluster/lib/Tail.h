#ifndef HEATHERSADDLE_CLUSTER_TAIL_H
#define HEATHERSADDLE_CLUSTER_TAIL_H

#include "Core.h"
#include "heathersaddle/base/Error.h"

namespace heathersaddle::cluster {

/// Least time between two reads by those who need not act at once; each read is
/// a priced call.
inline constexpr Millis FollowerReadInterval{150};
/// How long the log may hold a read that has nothing to return. The control
/// topic's tells whether callers can be served, so a dead path has to be
/// noticed within about a second; while jobs come, its reads return earlier.
inline constexpr Millis MaxReadWait{1'000};
inline constexpr Millis MaxControlReadWait{400};
/// Beyond the wait; a read on a dead connection is given up after both. The
/// store's slowest known answers take about 300 ms.
inline constexpr Millis ReadTimeoutMargin{600};
/// For a page of the newest records, of which many may be large.
inline constexpr Millis PageTimeout{2'200};
/// A call after a failed one asks for an answer at once and is given up early,
/// so that the end of an outage is noticed soon.
inline constexpr Millis ProbeTimeout{800};
/// Data asked for in one read: usually, and after a failed one, which must fit
/// through a link of 2 Mbit/s within the limit of a probe.
inline constexpr std::uint32_t ReadKb{1'024};
inline constexpr std::uint32_t ProbeKb{128};
/// First and longest pause after a failed call.
inline constexpr Millis MinReadRetryDelay{60};
inline constexpr Millis MaxReadRetryDelay{250};

/// Follows one compacted topic: first pages of the newest record of each key,
/// then all records from the end that the first page named. Records between
/// pages are read twice, which is harmless as each holds its key's whole value.
template <class Entry> class Tail {
public:
  /// \p ReadInterval is the least time between two reads: fewer calls for more
  /// delay.
  Tail(Core &C, Millis ReadInterval, Millis ReadWait = MaxReadWait)
      : Shared(C), ReadInterval(ReadInterval), ReadWait(ReadWait) {}
  ~Tail() { *Alive = false; }
  Tail(const Tail &) = delete;
  Tail &operator=(const Tail &) = delete;

  std::function<void()> OnReset; ///< The pages start over.
  std::function<void(Entry &&)> OnEntry;
  std::function<void()> OnComplete; ///< All pages have been read.

  void setReadInterval(Millis G) { ReadInterval = G; }
  /// Starts over, e.g. after the state was changed without the log.
  void restart() {
    ++Generation;
    InFlight = false;
    Following = false;
    CaughtUp = false;
    AfterKey.clear();
    FirstPage = true;
    NextCallAt = {};
  }
  bool following() const { return Following; }
  /// Offset of the next record to be read.
  std::uint64_t next() const { return From; }
  /// Whether everything appended before \p Time has been read.
  bool covers(MonoTime Time) const { return CaughtUp && EndReadSentAt > Time; }
  /// Whether the topic was read to its end within \p Age.
  bool fresh(Millis Age) const {
    return CaughtUp && Shared.mono() - EndReadAt <= Age;
  }
  /// Whether the latest call had no good answer.
  bool failing() const { return RetryDelay.count() > 0; }
  /// How long ago the topic was read to its end.
  Millis sinceEndRead() const { return Shared.mono() - EndReadAt; }
  void tick() {
    if (InFlight || Shared.mono() < NextCallAt)
      return;
    InFlight = true;
    Following ? readBatch() : readPage();
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
  void readBatch() {
    // Behind the end there is nothing to wait for.
    SentAt = Shared.mono();
    bool Probing = failing();
    Millis Wait = CaughtUp && !Probing ? ReadWait : Millis(0);
    Shared.Actions.push_back(ReadAction<Entry>{
        From, MaxKb, Wait, Probing ? ProbeTimeout : Wait + ReadTimeoutMargin,
        guarded(&Tail::onBatch)});
  }
  void readPage() {
    Shared.Actions.push_back(
        ReadNewestAction<Entry>{AfterKey, PageTimeout, guarded(&Tail::onPage)});
  }
  void failed() {
    MaxKb = ProbeKb;
    RetryDelay = RetryDelay.count()
                     ? std::min(RetryDelay * 2, MaxReadRetryDelay)
                     : MinReadRetryDelay;
    NextCallAt = Shared.mono() + Shared.jitter(RetryDelay);
  }
  void onPage(base::Expected<Page<Entry>> P) {
    if (!P)
      return failed();
    RetryDelay = {};
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
    RetryDelay = {};
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
      EndReadAt = Shared.mono();
      EndReadSentAt = SentAt;
    }
    NextCallAt = AtEnd ? Shared.mono() + ReadInterval : MonoTime{};
    for (Entry &E : B->Entries)
      OnEntry(std::move(E));
  }

  Core &Shared;
  Millis ReadInterval;
  Millis ReadWait;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::uint64_t Generation = 0;
  bool InFlight = false;
  bool Following = false;
  bool CaughtUp = false; ///< Read to the end since the pages.
  bool FirstPage = true;
  std::string AfterKey;
  std::uint64_t From = 0;
  std::uint32_t MaxKb = ReadKb;
  MonoTime NextCallAt{};
  MonoTime SentAt{};
  MonoTime EndReadAt{};
  MonoTime EndReadSentAt{}; ///< When the latest read up to the end was sent.
  Millis RetryDelay{};
};

} // namespace heathersaddle::cluster

#endif
