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

/// Name, location and size of a worker.
struct WorkerInfo {
  std::string Name;
  std::string DataCentre;
  std::string Rack;
  unsigned Slots = 0;
  base::Millis UsagePeriod{};
};

/// Called when a worker has carried out a request of \p Owner under \p Epoch.
using EpochCallback = std::function<void(
    std::string_view Cell, std::uint64_t Epoch, std::string_view Owner)>;

/// Serves one WorkerModel on a port of its own.
///
/// The worker's clock differs from every other worker's by a random offset,
/// so that code which mixes up two clocks fails visibly.
class WorkerService {
public:
  WorkerService(boost::asio::io_context &Io, WorkerInfo Info,
                std::uint64_t Seed, EpochCallback OnEpoch);
  ~WorkerService();

  base::Expected<void> listen();

  const WorkerInfo &info() const { return Info; }
  std::uint16_t port() const { return Port; }

  /// Simulates a power loss of the host, or starts it again on the same port.
  base::Expected<void> setDown(bool Down);
  void restart();
  void setPaused(bool Paused);
  /// Makes every new task fail.
  void setFailing(bool Value) { Failing = Value; }
  /// Sends every reply later by \p Delay.
  void setReplyDelay(base::Millis Delay) { ReplyDelay = Delay; }
  /// Carries out every command request twice and delivers every event twice.
  void setDuplicateDelivery(bool Value) { DuplicateDelivery = Value; }
  /// Simulates a partition: requests of the daemon \p Owner do not arrive. An
  /// empty name ends the partition.
  void partitionFrom(std::string Owner);

  /// Appends every task that ran here; times are on the clock of platformNow().
  void addAudit(boost::json::array &Runs) const;

private:
  struct Waiter {
    boost::json::value Body;
    net::Respond Reply;
    base::Millis Until{}; ///< On the worker's clock.
  };
  struct HeldRequest {
    net::Request Request;
    net::Respond Reply;
  };

  base::Millis clock() const;
  std::uint64_t newBoot();
  TaskOutcome behave(const TaskRequest &Request) const;
  void handle(net::Request R, net::Respond Reply);
  void serve(const net::Request &R, net::Respond Reply);
  void sync(const boost::json::value &Body, net::Respond Reply);
  static boost::json::value withoutEmptyEvents(boost::json::value Body);
  void send(const WorkerReply &R, net::Respond Reply);
  WorkerReply withRepeatedEvents(WorkerReply R);
  void reportEpoch(const boost::json::value &Body, const WorkerReply &R);
  /// Advances the model to the present, answers waiters and sets the timer.
  void advanceAndReschedule();
  void answerWaiters();
  void dropRequests();

  boost::asio::io_context &Io;
  WorkerInfo Info;
  std::mt19937_64 Random;
  base::Millis ClockOffset;
  WorkerModel Model;
  EpochCallback OnEpoch;
  std::unique_ptr<net::HttpServer> Server;
  std::uint16_t Port = 0;
  boost::asio::steady_timer Timer;
  std::deque<Waiter> Waiters;
  std::deque<HeldRequest> HeldRequests; ///< While paused or partitioned.
  boost::json::array LastEvents;        ///< To be delivered a second time.
  bool Failing = false;
  bool DuplicateDelivery = false;
  base::Millis ReplyDelay{0};
  std::string PartitionedOwner;
};

/// The clock of the audit: milliseconds since the first call.
base::Millis platformNow();

} // namespace heathersaddle::standin

#endif
