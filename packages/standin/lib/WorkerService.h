#ifndef HEATHERSADDLE_STANDIN_WORKERSERVICE_H
#define HEATHERSADDLE_STANDIN_WORKERSERVICE_H

#include "heathersaddle/net/HttpServer.h"
#include "heathersaddle/standin/WorkerModel.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <deque>
#include <memory>
#include <random>

namespace heathersaddle::standin {

/// What a worker is and where it stands.
struct WorkerPlace {
  std::string Name;
  std::string DataCentre;
  std::string Rack;
  unsigned Slots = 0;
  base::Millis UsagePeriod{};
};

/// Called when a worker has carried out a request of \p Owner under \p Epoch.
using EpochSeen = std::function<void(std::string_view Cell, std::uint64_t Epoch,
                                     std::string_view Owner)>;

/// Serves one WorkerModel on a port of its own.
///
/// The worker's clock differs from every other worker's by a random offset,
/// so that a mix-up of clocks shows.
class WorkerService {
public:
  WorkerService(boost::asio::io_context &Io, WorkerPlace Place,
                std::uint64_t Seed, EpochSeen Seen);
  ~WorkerService();

  base::Expected<void> listen();

  const WorkerPlace &place() const { return Place; }
  std::uint16_t port() const { return Port; }

  /// The host loses power, or starts again on the same port.
  base::Expected<void> setDown(bool Down);
  void restart();
  void setPaused(bool Paused);
  /// Every task fails.
  void setFailing(bool Value) { Failing = Value; }
  /// Replies leave this much later.
  void setLate(base::Millis Delay) { Late = Delay; }
  /// Every request is carried out twice, and every event delivered twice.
  void setTwice(bool Value) { Twice = Value; }
  /// Requests of this daemon never arrive; empty: all arrive.
  void cutFrom(std::string Owner);

  /// Appends what ran here; times are on the clock of platformNow().
  void addAudit(boost::json::array &Runs) const;

private:
  struct Waiter {
    boost::json::value Body;
    net::Respond Reply;
    base::Millis Until{}; ///< On the worker's clock.
  };
  struct Held {
    net::Request R;
    net::Respond Reply;
  };

  base::Millis clock() const;
  std::uint64_t newBoot();
  TaskOutcome behave(const TaskRequest &Request) const;
  void handle(net::Request R, net::Respond Reply);
  void serve(const net::Request &R, net::Respond Reply);
  void sync(const boost::json::value &Body, net::Respond Reply);
  static boost::json::value shortened(boost::json::value Body);
  void send(const WorkerReply &R, net::Respond Reply);
  WorkerReply repeated(WorkerReply R);
  void note(const boost::json::value &Body, const WorkerReply &R);
  /// Lets time pass, answers waiters and sets the timer.
  void progress();
  void answerWaiters();
  void dropRequests();

  boost::asio::io_context &Io;
  WorkerPlace Place;
  std::mt19937_64 Random;
  base::Millis ClockOffset;
  WorkerModel Model;
  EpochSeen Seen;
  std::unique_ptr<net::HttpServer> Server;
  std::uint16_t Port = 0;
  boost::asio::steady_timer Timer;
  std::deque<Waiter> Waiters;
  std::deque<Held> HeldRequests; ///< While paused or cut.
  boost::json::array LastEvents; ///< To deliver twice.
  bool Failing = false;
  bool Twice = false;
  base::Millis Late{0};
  std::string CutOwner;
};

/// The clock of the audit: milliseconds since the first call.
base::Millis platformNow();

} // namespace heathersaddle::standin

#endif
