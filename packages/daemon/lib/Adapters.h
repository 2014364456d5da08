#ifndef HEATHERSADDLE_DAEMON_ADAPTERS_H
#define HEATHERSADDLE_DAEMON_ADAPTERS_H

#include "heathersaddle/control/Node.h"
#include "heathersaddle/daemon/Settings.h"
#include "heathersaddle/net/Executor.h"
#include "heathersaddle/net/HttpClient.h"
#include <map>
#include <mutex>

namespace heathersaddle::daemon {

/// Executes the node's actions over HTTP on the traffic threads: requests to
/// the log, the host list, workers and peers (docs/design.md, section 6).
class Adapters {
public:
  using Now = control::Node::Now;
  /// Posts a function to the control thread, where it is called with the node.
  using NodePoster =
      std::function<void(std::function<void(control::Node &, Now)>)>;

  Adapters(const Settings &S, net::Executor &TrafficExecutor,
           NodePoster PostToNode);
  /// Called on the control thread; returns at once.
  void execute(control::Action A);

  struct ByteCounts {
    std::string_view Kind; ///< "log", "hosts", "worker" or "peer".
    std::uint64_t In = 0;
    std::uint64_t Out = 0;
  };
  std::vector<ByteCounts> byteCounts() const;

private:
  using Json = base::Expected<boost::json::value>;

  void run(const control::AppendAction &A);
  void run(const control::ReadAction &A);
  void run(const control::WorkerAction &A);
  void run(const control::PeerAction &A);
  void run(const control::HostsAction &A);
  void run(const control::LogAction &A);

  void read(const control::ReadAction &A);
  /// How many records the next read of the stream requests.
  std::uint32_t maxRecordsPerRead(const control::ReadAction &A);
  void setMaxRecordsPerRead(const std::string &Stream, std::uint32_t Max);

  std::string LogAddress;
  std::string HostsAddress;
  std::string PeerKey;
  net::Executor &TrafficExecutor;
  NodePoster PostToNode;
  std::string hostsVersion();
  void setHostsVersion(std::string Version);

  std::mutex Mutex; ///< Guards HostsVersion and MaxRecordsPerRead.
  std::string HostsVersion;
  std::map<std::string, std::uint32_t> MaxRecordsPerRead;
  net::HttpClient LogClient;
  net::HttpClient HostsClient;
  /// For commands, and for syncs without a wait, which a worker answers at
  /// once.
  net::HttpClient CommandClient;
  /// For long polls, which use separate connections so that a command never
  /// queues behind one.
  net::HttpClient LongPollClient;
  net::HttpClient PeerClient;
};

} // namespace heathersaddle::daemon

#endif
