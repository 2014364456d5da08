#ifndef HEATHERSADDLE_NET_SERVERCORE_H
#define HEATHERSADDLE_NET_SERVERCORE_H

#include "heathersaddle/net/Message.h"
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <set>
#include <vector>

namespace heathersaddle::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class Session;

/// What a server and its sessions share.
struct ServerCore : std::enable_shared_from_this<ServerCore> {
  ServerCore(const asio::any_io_executor &Executor, ServerLimits Limits,
             Handler OnRequest, ServerProtection Protection)
      : Executor(Executor), Acceptor(asio::make_strand(Executor)),
        AcceptTimer(Acceptor.get_executor()), Limits(Limits),
        OnRequest(std::move(OnRequest)), Protection(std::move(Protection)) {}

  void accept();
  void admit(tcp::socket Socket);
  void removeSession(Session *S);
  void finishDrain();
  std::string noRoomText() const;
  /// The sessions that still have owners. The caller must release them without
  /// holding Mutex, since the destructor of a session locks it.
  std::vector<std::shared_ptr<Session>> sessions();

  asio::any_io_executor Executor;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  ServerLimits Limits;
  Handler OnRequest;
  ServerProtection Protection;
  /// For connections that get no room; composed once, as it is sent often.
  std::string NoRoomText = noRoomText();
  std::atomic<std::uint64_t> BytesReceived{0};
  std::atomic<std::uint64_t> BytesSent{0};
  std::atomic<std::uint64_t> RejectedConnections{0};
  std::atomic<std::uint64_t> AcceptFailures{0};
  std::atomic<std::uint64_t> SlowConnections{0};
  std::atomic<std::uint64_t> OversizedRequests{0};
  std::atomic<std::uint64_t> AnsweredByHeaders{0};
  std::atomic<bool> Draining{false};

  std::mutex Mutex; ///< Guards the members below.
  std::set<Session *> Sessions;
  std::function<void()> OnDrained;
};

} // namespace heathersaddle::net

#endif
