#ifndef HEATHERSADDLE_FUZZ_CALLERS_H
#define HEATHERSADDLE_FUZZ_CALLERS_H

#include "DaemonHost.h"
#include <optional>

namespace heathersaddle::fuzz {

/// A request as its caller means it: one account, key and body. Its input is
/// unique, so what runs on a worker can be told to belong to it.
struct CallerRequest {
  state::JobSpec Spec;
  std::string Key; ///< Empty: none.
  std::set<std::string> Jobs;
  unsigned Open = 0;       ///< Calls without an answer yet, or broken off.
  unsigned Unresolved = 0; ///< Answers that leave the outcome open.
  unsigned Refused = 0;    ///< Answers that say that nothing ran.
  bool CancelSent = false;
  std::optional<control::JobAnswer> Final; ///< First final answer told.
};

/// A list version that its publisher was told is accepted.
struct PublishedList {
  state::ListVerdict Verdict;
  Millis At{};
};

/// All callers and operators: what they ask, and what they were told.
class Callers {
public:
  Callers(Surroundings &Around) : Around(Around) {}

  void submitNew(DaemonHost &D, Random Draw);
  void repeat(DaemonHost &D, std::size_t Which);
  void submitConflicting(DaemonHost &D, std::size_t Which);
  void wait(DaemonHost &D, std::size_t Which, Millis MaxWait);
  void cancel(DaemonHost &D, std::size_t Which);
  void publish(DaemonHost &D, Random Draw);
  /// Publishes \p Change and notes the verdict.
  void publish(DaemonHost &D, const state::ListChange &Change);
  /// Repeats all requests that have a key but no certain answer yet.
  void repeatOpen(DaemonHost &D);
  /// Publishes the first plans again, so that there are spare slots for the
  /// accounts without a guarantee.
  void restorePlans(DaemonHost &D);

  const std::vector<CallerRequest> &requests() const { return Requests; }
  /// Why the last list version was refused.
  const std::string &lastRefusal() const { return Refusal; }
  const std::vector<PublishedList> &published() const { return Published; }
  /// Checks an answer about \p Which that a caller or the end check got.
  void check(std::size_t Which, const control::JobAnswer &Answer);

private:
  void send(DaemonHost &D, std::size_t Which);
  void onSubmitted(std::size_t Which,
                   const base::Expected<control::SubmitResult> &Result);
  void onPublished(const base::Expected<state::ListVerdict> &Result);
  void checkFinal(std::size_t Which, const control::JobAnswer &Answer);
  state::JobSpec drawSpec(Random &Draw);

  Surroundings &Around;
  std::vector<CallerRequest> Requests;
  std::vector<PublishedList> Published;
  std::string Refusal;
  unsigned Changes = 0;
};

/// The plans and customers that every run begins with.
state::ListChange firstPlans();
state::ListChange firstCustomers();

} // namespace heathersaddle::fuzz

#endif
