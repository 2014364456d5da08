#ifndef HEATHERSADDLE_FUZZ_ORACLE_H
#define HEATHERSADDLE_FUZZ_ORACLE_H

#include "Callers.h"

namespace heathersaddle::fuzz {

/// After a member of a gang was lost: two leases, since the loss may itself
/// be found only by a lapsed lease, and time to record the stop.
inline constexpr Millis GangStopSlack{10'000};
/// Bound of requirement 8.
inline constexpr Millis ListBound{8'000};

/// Checks the requirements from outside: from what callers were told, what the
/// workers' audit trails show, and what the log holds.
class Oracle {
public:
  Oracle(Surroundings &Around, Callers &Told, Millis Lease)
      : Around(Around), Told(Told), Lease(Lease) {}

  /// A record of `control`, seen when it is appended.
  void onRecord(std::uint64_t Offset, const std::string &Text);
  /// Checks everything that must hold at any time.
  void checkNow();
  /// Checks the lists only; cheap, for short intervals.
  void checkLists();
  /// Whether every accepted job has ended at every daemon.
  bool allEnded() const;
  /// Checks what must hold after all faults are healed and time has passed.
  void checkEnd();
  /// Checks that nothing runs any more.
  void checkNothingRuns();

  const state::State &log() const { return Reference; }

private:
  struct Member {
    const standin::AuditEntry *Entry;
    const WorkerHost *Worker;
    Millis Reserved, Started, Ended; ///< Virtual time.
    bool Open; ///< Not ended yet; Ended is the present time.
  };
  using Attempt = std::pair<std::string, unsigned>;

  std::map<Attempt, std::vector<Member>> attempts() const;
  void checkStarts(const std::map<Attempt, std::vector<Member>> &Attempts);
  void checkGang(const Attempt &Which, const std::vector<Member> &Members);
  void checkLostMember(const Attempt &Which, const Member &Lost,
                       const std::vector<Member> &Members);
  void checkAnswers(const std::map<Attempt, std::vector<Member>> &Attempts);
  void checkSlots();
  std::string explanation(const state::Job &J) const;
  void checkDigests();
  void checkStop(const state::StopRequested &Stop, bool Guaranteed);

  Surroundings &Around;
  Callers &Told;
  Millis Lease;
  state::State Reference; ///< The log's own meaning.
  std::map<std::string, unsigned> EndRecords;
  std::map<std::uint64_t, std::string> Digests; ///< By offset.
  struct Seen {
    unsigned Generation = 0;
    bool Ready = false;
    std::uint64_t Versions[2] = {0, 0};
  };
  std::map<std::string, Seen> SeenLists; ///< By daemon.
};

} // namespace heathersaddle::fuzz

#endif
