#ifndef HEATHERSADDLE_NET_HTTPSERVER_H
#define HEATHERSADDLE_NET_HTTPSERVER_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/net/Message.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

namespace heathersaddle::net {

struct ServerCore;

/// An HTTP/1.1 server that limits the size, duration and number of requests and
/// connections.
///
/// \code
///   Executor Threads(2);
///   HttpServer Server(Threads.context(), {}, [](Request R, Respond Reply) {
///     Reply({.Body = "{}"});
///   });
///   auto Port = Server.listen("127.0.0.1", 0);
/// \endcode
///
/// Malformed or oversized requests get 400, 413 or 431 with a JSON error of the
/// API's form; connections above the limit get 503 without a body. The handler
/// is not called for either. The io_context may run on several threads.
///
/// With a budget, requests and connections for which there is no room get 503
/// with Retry-After and a JSON error, and connections may be closed for others.
class HttpServer {
public:
  HttpServer(const boost::asio::any_io_executor &Executor, ServerLimits Limits,
             Handler OnRequest, ServerProtection Protection = {});
  HttpServer(boost::asio::io_context &Context, ServerLimits Limits,
             Handler OnRequest, ServerProtection Protection = {})
      : HttpServer(Context.get_executor(), Limits, std::move(OnRequest),
                   std::move(Protection)) {}
  /// Closes all connections at once; see drain() for a graceful stop.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Calls bind() and accept().
  base::Expected<std::uint16_t> listen(std::string_view Address,
                                       std::uint16_t Port);
  /// Binds and listens: connections are queued but not served until accept().
  /// Port 0 selects a free port. Returns the port.
  base::Expected<std::uint16_t> bind(std::string_view Address,
                                     std::uint16_t Port);
  /// Starts to accept connections. Call it once, after bind().
  void accept();
  /// Stops accepting, closes idle connections, finishes the requests in
  /// progress, then calls \p Done once on a thread of the io_context.
  void drain(std::function<void()> Done);

  /// Bytes received and sent, headers included.
  std::uint64_t bytesIn() const;
  std::uint64_t bytesOut() const;
  std::size_t connections() const;
  /// Connections that got 503 since MaxConnections were open.
  std::uint64_t rejectedConnections() const;
  /// Attempts to accept a connection that failed, as the process had no free
  /// descriptor or the connection was reset.
  std::uint64_t acceptFailures() const;
  ServerCounts counts() const;

private:
  std::shared_ptr<ServerCore> Core;
};

} // namespace heathersaddle::net

#endif
