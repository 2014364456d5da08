#ifndef HEATHERSADDLE_CONTROL_REQUESTS_H
#define HEATHERSADDLE_CONTROL_REQUESTS_H

#include "AppendQueue.h"
#include <functional>
#include <list>
#include <optional>
#include <set>

namespace heathersaddle::control {

/// Serves callers: requests become records, answers come from the state.
class Requests {
public:
  Requests(Core &C, AppendQueue &Queue) : NodeCore(C), Queue(Queue) {}

  void submit(SubmitRequest Request, const Completion<SubmitResult> &Done);
  void wait(std::string_view Job, std::string_view Account,
            base::Millis MaxWait, Completion<JobAnswer> Done);
  base::Expected<JobAnswer> status(std::string_view Job,
                                   std::string_view Account) const;
  void cancel(std::string_view Job, std::string_view Account,
              const Completion<JobAnswer> &Done);
  void publish(state::ListChange Change,
               const Completion<state::ListVerdict> &Done);

  /// Answers waiters whose deadline has passed.
  void tick();
  void onJobChanged(std::string_view Job);
  /// Call when the state was replaced; answers all waiters whose jobs have
  /// ended.
  void onRestored();
  /// Answers all waiters with the current status of their jobs.
  void answerAllWaiters();
  bool idle() const { return OpenRequests == 0 && Waiters.empty(); }

  /// Sends an answer that this daemon cannot record now to all peers, which
  /// record it as soon as they can append to the log.
  void pushAnswer(const state::Job &J, const std::vector<std::string> &Parts);
  base::Expected<json::value> onPushedAnswer(const json::value &Body);
  /// The parts of a pushed answer to the current attempt of \p J, or null.
  const std::vector<std::string> *pushedAnswer(const state::Job &J) const;
  /// Whether the log is down for this daemon.
  std::function<bool()> LogDown;

private:
  struct Waiter {
    std::string Job;
    std::string Account;
    base::MonoTime Deadline{};
    Completion<JobAnswer> Done;
  };
  struct PushedAnswer {
    std::vector<std::string> Parts;
    unsigned Attempt = 0;
  };
  std::optional<base::Error> refusal(const state::JobSpec &Spec) const;
  void onAccepted(const state::JobSpec &Spec, const AppendResult &Result,
                  const Completion<SubmitResult> &Done) const;
  void complete(const std::vector<Waiter> &Ready);
  JobAnswer answer(const state::Job &J) const;
  bool ended(std::string_view Job) const;
  void relay(const state::Job &J, const PushedAnswer &A);

  Core &NodeCore;
  AppendQueue &Queue;
  std::list<Waiter> Waiters;
  std::multimap<std::string, std::list<Waiter>::iterator, std::less<>>
      WaitersByJob;
  std::map<std::string, PushedAnswer, std::less<>> PushedAnswers;
  /// Jobs whose pushed answer is in flight as a record of this daemon.
  std::set<std::string, std::less<>> RelaysInFlight;
  std::uint64_t JobCounter = 0;
  unsigned OpenRequests = 0; ///< Requests whose record has no result yet.
};

} // namespace heathersaddle::control

#endif
