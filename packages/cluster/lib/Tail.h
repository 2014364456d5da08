#ifndef HEATHERSADDLE_CLUSTER_TAIL_H
#define HEATHERSADDLE_CLUSTER_TAIL_H

#include "Core.h"
#include "heathersaddle/base/Error.h"

namespace heathersaddle::cluster {

/// Shortest time between two reads by daemons that need not react at once; each
/// read is a billed call.
inline constexpr Millis FollowerReadInterval{150};
/// How long the store may delay the answer to a read if there are no records.
/// What a topic tells is as old as the read that reached its end, and a broken
/// path has to be detected within about a second; while records arrive, reads
/// return earlier.
inline constexpr Millis MaxReadWait{400};
/// Added to the wait of a read for its timeout. The slowest known answers of
/// the store take about 300 ms.
inline constexpr Millis ReadTimeoutMargin{600};
/// Timeout of a page of the newest records, many of which may be large.
inline constexpr Millis PageTimeout{2'200};
/// A call after a failed one requests an immediate answer and has this shorter
/// timeout, so that the end of an outage is detected soon.
inline constexpr Millis ProbeTimeout{800};
/// Data requested in one read, normally and after a failed one. The latter must
/// fit through a link of 2 Mbit/s within ProbeTimeout.
inline constexpr std::uint32_t ReadKb{1'024};
inline constexpr std::uint32_t ProbeKb{128};
/// First and longest delay after a failed call.
inline constexpr Millis MinReadRetryDelay{60};
inline constexpr Millis MaxReadRetryDelay{250};

/// Follows a compacted topic: reads pages of the newest record of each key,
/// then all records from the end that the first page reported. Records appended
/// between pages are read twice, which is harmless because each holds the whole
/// value of its key.
template <class Entry> class Tail {
public:
  /// \p Name is that of the topic in logs and metrics. \p ReadInterval is the
  /// shortest time between two reads: a longer one saves calls and adds delay.
  /// A topic older than \p MaxAge is logged; decisions wait for it.
  Tail(Core &C, std::string_view Name, Millis ReadInterval, Millis MaxAge)
      : Shared(C), Name(Name), ReadInterval(ReadInterval), MaxAge(MaxAge) {}
  ~Tail() { *Alive = false; }
  Tail(const Tail &) = delete;
  Tail &operator=(const Tail &) = delete;

  std::function<void()> OnReset; ///< Reading restarts with the first page.
  std::function<void(Entry &&)> OnEntry;
  std::function<void()> OnComplete; ///< All pages have been read.

  void setReadInterval(Millis G) { ReadInterval = G; }
  /// Rereads the topic, for example because the state is ahead of the stored
  /// records.
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
  /// Whether the topic was read to its end after the pages.
  bool caughtUp() const { return CaughtUp; }
  /// All records that were stored this long ago have been read; meaningful once
  /// caught up.
  Millis age() const { return Shared.mono() - EndReadSentAt; }
  /// Whether the topic was read to its end within \p Age.
  bool fresh(Millis Age) const {
    return CaughtUp && Shared.mono() - EndReadAt <= Age;
  }
  /// Whether the latest call failed.
  bool failing() const { return RetryDelay.count() > 0; }
  /// Time since the topic was read to its end.
  Millis sinceEndRead() const { return Shared.mono() - EndReadAt; }
  void tick() {
    reportAge();
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
  /// Logs when the topic becomes late, and when it is current again.
  void reportAge() {
    if (!CaughtUp || Late == (age() > MaxAge))
      return;
    Late = !Late;
    if (Late) {
      Shared.count(Name + "_topic_late");
      LateSince = Shared.mono();
      Shared.log(461, {{"topic", Name},
                       {"age_ms", age().count()},
                       {"next", From},
                       {"failed_reads", FailedReads},
                       {"reason", LatestFault},
                       {"control_delay_ms", Shared.ControlDelay.count()}});
    } else {
      Shared.log(462, {{"topic", Name},
                       {"next", From},
                       {"late_ms", (Shared.mono() - LateSince).count()}});
    }
  }
  void readBatch() {
    // Until the end has been reached there are records, and no need to wait.
    SentAt = Shared.mono();
    bool Probing = failing();
    Millis Wait = CaughtUp && !Probing ? MaxReadWait : Millis(0);
    Shared.Actions.push_back(ReadAction<Entry>{
        From, MaxKb, Wait, Probing ? ProbeTimeout : Wait + ReadTimeoutMargin,
        guarded(&Tail::onBatch)});
  }
  void readPage() {
    Shared.Actions.push_back(
        ReadNewestAction<Entry>{AfterKey, PageTimeout, guarded(&Tail::onPage)});
  }
  void failed(const base::Error &E) {
    Shared.count(Name + "_reads_failed");
    ++FailedReads;
    LatestFault = E.toString();
    MaxKb = ProbeKb;
    RetryDelay = RetryDelay.count()
                     ? std::min(RetryDelay * 2, MaxReadRetryDelay)
                     : MinReadRetryDelay;
    NextCallAt = Shared.mono() + Shared.jitter(RetryDelay);
  }
  void onPage(base::Expected<Page<Entry>> P) {
    if (!P)
      return failed(P.error());
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
    // Records appended while the pages were read are still missing, so the
    // state is up to date only after the next read.
    Following = true;
    if (OnComplete)
      OnComplete();
  }
  void onBatch(base::Expected<Batch<Entry>> B) {
    if (!B)
      return failed(B.error());
    RetryDelay = {};
    if (B->Trimmed)
      return restart();
    bool AtEnd = B->Next >= B->End;
    // A single record may be larger than the requested amount of data.
    if (AtEnd)
      MaxKb = ReadKb;
    else if (B->Next == From)
      MaxKb = std::min(MaxKb * 2, ReadKb);
    From = B->Next;
    if (AtEnd) {
      CaughtUp = true;
      EndReadAt = Shared.mono();
      EndReadSentAt = SentAt;
      FailedReads = 0;
    }
    NextCallAt = AtEnd ? Shared.mono() + ReadInterval : MonoTime{};
    for (Entry &E : B->Entries)
      OnEntry(std::move(E));
  }

  Core &Shared;
  std::string Name;
  Millis ReadInterval;
  Millis MaxAge;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  std::uint64_t Generation = 0;
  bool InFlight = false;
  bool Following = false;
  bool CaughtUp = false; ///< Read to the end after the pages.
  bool FirstPage = true;
  std::string AfterKey;
  std::uint64_t From = 0;
  std::uint32_t MaxKb = ReadKb;
  MonoTime NextCallAt{};
  MonoTime SentAt{};
  MonoTime EndReadAt{};
  MonoTime EndReadSentAt{}; ///< When the read that reached it was sent.
  Millis RetryDelay{};
  unsigned FailedReads = 0; ///< Since the topic was read to its end.
  std::string LatestFault;
  bool Late = false; ///< As of the latest event about it.
  MonoTime LateSince{};
};

} // namespace heathersaddle::cluster

#endif
