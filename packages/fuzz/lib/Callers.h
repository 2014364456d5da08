#ifndef HEATHERSADDLE_FUZZ_CALLERS_H
#define HEATHERSADDLE_FUZZ_CALLERS_H

#include "DaemonHost.h"
#include <optional>

namespace heathersaddle::fuzz {

/// A request as its caller intends it: one account, key and body. Its input is
/// unique and so identifies the tasks on workers that belong to the request.
struct CallerRequest {
  state::JobSpec Spec;
  std::string Key; ///< Idempotency key; empty: none.
  std::set<std::string> Jobs;
  unsigned Unanswered = 0; ///< Calls without an answer, also those lost.
  unsigned Unresolved = 0; ///< Answers that leave the outcome open.
  unsigned Refused = 0;    ///< Answers that say that nothing ran.
  bool CancelSent = false;
  std::optional<control::JobAnswer> FinalAnswer; ///< First one received.
};

/// A list version whose acceptance was confirmed to its publisher.
struct PublishedList {
  state::ListVerdict Verdict;
  Millis ConfirmedAt{};
};

/// All callers and operators: their requests and the answers they received.
class Callers {
public:
  Callers(Environment &Env) : Env(Env) {}

  void submitNew(DaemonHost &D, Random Draw);
  void repeat(DaemonHost &D, std::size_t Index);
  void submitConflicting(DaemonHost &D, std::size_t Index);
  void wait(DaemonHost &D, std::size_t Index, Millis MaxWait);
  void cancel(DaemonHost &D, std::size_t Index);
  void publish(DaemonHost &D, Random Draw);
  /// Publishes \p Change and records the verdict.
  void publish(DaemonHost &D, const state::ListChange &Change);
  /// Repeats all requests that have a key, no job ID yet, and at least one call
  /// that is unanswered or whose outcome is unresolved.
  void repeatUnresolved(DaemonHost &D);
  /// Publishes the initial plans again, so that slots are left for the accounts
  /// without a guarantee.
  void restorePlans(DaemonHost &D);

  const std::vector<CallerRequest> &requests() const { return Requests; }
  /// The reason for the last refusal of a list version.
  const std::string &lastRefusal() const { return LastRefusal; }
  const std::vector<PublishedList> &published() const { return Published; }
  /// Checks an answer about request \p Index that a caller or the final check
  /// received.
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

/// The plans and customers with which every run begins.
state::ListChange initialPlans();
state::ListChange initialCustomers();

} // namespace heathersaddle::fuzz

#endif
