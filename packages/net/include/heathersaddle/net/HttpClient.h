#ifndef HEATHERSADDLE_NET_HTTPCLIENT_H
#define HEATHERSADDLE_NET_HTTPCLIENT_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/net/Message.h"
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

namespace heathersaddle::net {

/// An HTTP/1.1 client with keep-alive connections, a timeout per request and a
/// circuit breaker per address.
///
/// \code
///   HttpClient Client(Threads.context(), {});
///   Client.send("127.0.0.1:8080", {.Target = "/healthz"},
///               [](base::Expected<ClientResponse> R) { ... });
/// \endcode
///
/// The callback runs once, by the executor. Its error code says
/// whether the request may have been delivered:
/// - Unavailable: certainly not delivered (connection refused, breaker open, no
///   connection in time).
/// - Unresolved: possibly delivered (connection lost after sending, invalid
///   response).
/// - Timeout: possibly delivered.
/// - TooLarge: delivered, but the response exceeded MaxResponseBytes.
///
/// A GET that fails because the server had closed the reused connection is
/// retried once.
class HttpClient {
public:
  using Callback = std::function<void(base::Expected<ClientResponse>)>;

  HttpClient(const boost::asio::any_io_executor &Executor, ClientLimits Limits);
  HttpClient(boost::asio::io_context &Context, ClientLimits Limits)
      : HttpClient(Context.get_executor(), std::move(Limits)) {}
  /// Fails the requests in progress; their callbacks still run.
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// \p Address is "HOST:PORT". The returned function abandons the request,
  /// unless it is complete: it then fails as if its time limit had passed.
  std::function<void()> send(std::string_view Address, ClientRequest Request,
                             Callback Done);

  /// Bytes received and sent, headers included.
  std::uint64_t bytesIn() const;
  std::uint64_t bytesOut() const;
  ClientCounts counts() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Pimpl;
};

/// A synchronous client that sends one request at a time. Not thread-safe.
class BlockingClient {
public:
  explicit BlockingClient(ClientLimits Limits = {});
  ~BlockingClient();
  base::Expected<ClientResponse> send(std::string_view Address,
                                      ClientRequest Request);

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace heathersaddle::net

#endif
