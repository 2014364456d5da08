#ifndef HEATHERSADDLE_DAEMON_DRIVER_H
#define HEATHERSADDLE_DAEMON_DRIVER_H

#include "Adapters.h"
#include "Metrics.h"
#include "Operations.h"
#include <atomic>
#include <mutex>

namespace heathersaddle::daemon {

/// Owns the node and its control thread. All calls to the node run on that
/// thread, one at a time; after each, the node is ticked and its actions are
/// executed.
class Driver {
public:
  Driver(const Settings &S, net::Executor &TrafficExecutor,
         Metrics &MetricsRegistry);
  /// The traffic threads must have been stopped before.
  ~Driver();
  Driver(const Driver &) = delete;
  Driver &operator=(const Driver &) = delete;

  void start();
  Operations operations();
  /// Answers all waiting fetches with the current status and later ones without
  /// a wait, so that a graceful stop does not last until long waits end.
  void finishWaits();
  /// Starts to release the cells; calls \p Stopped on the control thread when
  /// the node has stopped.
  void beginStop(std::function<void()> Stopped);
  /// Stops and joins the control thread, which cannot be restarted.
  void stopControlThread() { ControlThread.stop(); }

private:
  using Now = control::Node::Now;
  struct Waiter {
    std::string Job;
    std::string Account;
    Completion<control::JobAnswer> Finish;
  };

  static Now now();
  void postToNode(std::function<void(control::Node &, Now)> Work);
  void tickAndRunActions();
  void scheduleTick();
  void updateReadiness();
  void refreshAccountDirectory();
  void refreshMetrics();
  /// A completion that runs \p Next on a traffic thread.
  template <class T> Completion<T> onTrafficThread(Completion<T> Next);
  /// A completion that encodes the JobAnswer on a traffic thread and passes it
  /// to \p Next.
  Completion<control::JobAnswer> encodeOnTrafficThread(JsonCompletion Next);

  void submit(Submission Submitted, Completion<control::SubmitResult> Next);
  void fetch(const std::string &Job, const std::string &Account,
             base::Millis Wait, const Completion<control::JobAnswer> &Next);
  void publish(state::ListKind Kind, std::uint64_t Base,
               const boost::json::value &Text,
               const Completion<PublishReply> &Next);

  net::Executor &TrafficExecutor;
  Metrics &MetricsRegistry;
  net::Executor ControlThread{1};
  std::string DaemonName;
  control::Node Node;
  Adapters HttpAdapters;
  std::map<std::uint64_t, Waiter> Waiters;
  std::uint64_t NextWaiterId = 0;
  std::array<std::uint64_t, 2> DirectoryVersions{};
  bool WaitsDisabled = false;
  bool HandingOver = false; ///< Node::beginStop() was called.
  std::function<void()> OnStopped;
  std::atomic<bool> IsReady{false};
  std::atomic<bool> MayServe{false};
  std::mutex Mutex; ///< Guards Accounts.
  std::shared_ptr<const AccountDirectory> Accounts;
};

} // namespace heathersaddle::daemon

#endif
