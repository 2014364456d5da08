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
  unsigned Unanswered = 0; ///< Calls without an answer yet, or broken off.
  unsigned Unresolved = 0; ///< Answers that leave the outcome open.
  unsigned Refused = 0;    ///< Answers that say that nothing ran.
  bool CancelSent = false;
  std::optional<control::JobAnswer> FinalAnswer; ///< First final answer told.
};

/// A list version that its publisher was told is accepted.
struct PublishedList {
  state::ListVerdict Verdict;
  Millis ConfirmedAt{};
};

/// All callers and operators: what they ask, and what they were told.
class Callers {
public:
  Callers(Environment &Env) : Env(Env) {}

  void submitNew(DaemonHost &D, Random Draw);
  void repeat(DaemonHost &D, std::size_t Index);
  void submitConflicting(DaemonHost &D, std::size_t Index);
  void wait(DaemonHost &D, std::size_t Index, Millis MaxWait);
  void cancel(DaemonHost &D, std::size_t Index);
  void publish(DaemonHost &D, Random Draw);
  /// Publishes \p Change and notes the verdict.
  void publish(DaemonHost &D, const state::ListChange &Change);
  /// Repeats all requests that have a key but no certain answer yet.
  void repeatUnresolved(DaemonHost &D);
  /// Publishes the first plans again, so that there are spare slots for the
  /// accounts without a guarantee.
  void restorePlans(DaemonHost &D);

  const std::vector<CallerRequest> &requests() const { return Requests; }
  /// Why the last list version was refused.
  const std::string &lastRefusal() const { return LastRefusal; }
  const std::vector<PublishedList> &published() const { return Published; }
  /// Checks an answer about \p Which that a caller or the end check got.
  void checkAnswer(std::size_t Index, const control::JobAnswer &Answer);

private:
  void send(DaemonHost &D, std::size_t Index);
  void onSubmitted(std::size_t Index,
                   const base::Expected<control::SubmitResult> &Result);
  void onPublished(const base::Expected<state::ListVerdict> &Result);
  void checkFinalAnswer(std::size_t Index, const control::JobAnswer &Answer);
  state::JobSpec drawSpec(Random &Draw);

  Environment &Env;
  std::vector<CallerRequest> Requests;
  std::vector<PublishedList> Published;
  std::string LastRefusal;
  unsigned ChangeCount = 0;
};

/// The plans and customers that every run begins with.
state::ListChange initialPlans();
state::ListChange initialCustomers();

} // namespace heathersaddle::fuzz

#endif
