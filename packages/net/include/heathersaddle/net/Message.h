#ifndef HEATHERSADDLE_NET_MESSAGE_H
#define HEATHERSADDLE_NET_MESSAGE_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace heathersaddle::net {

/// A request as a server's handler sees it.
struct Request {
  std::string Method;
  std::string Path;                           ///< Percent-decoded.
  std::map<std::string, std::string> Query;   ///< Percent-decoded.
  std::map<std::string, std::string> Headers; ///< Lower-case names.
  std::string Body;
  std::string RemoteAddress; ///< The caller's "ADDRESS:PORT".
  std::size_t WireBytes = 0; ///< Length with all headers.
};

struct Response {
  unsigned Status = 200;
  std::string ContentType = "application/json"; ///< Empty: no such header.
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Sends the response; may be called later and from any thread, once. Dropping
/// it without a call answers 500.
using Respond = std::function<void(Response)>;
/// Runs on a thread of the server's io_context.
using Handler = std::function<void(Request, Respond)>;

struct ServerLimits {
  std::size_t MaxBodyBytes = 256UL * 1024;
  std::size_t MaxHeaderBytes = 16UL * 1024;
  std::size_t MaxConnections = 2048;
  /// For one whole request, from its first byte; against slow senders.
  std::chrono::milliseconds ReadTimeLimit{10'000};
  /// Between two requests, and for writing one response.
  std::chrono::milliseconds IdleTimeLimit{120'000};
};

struct ClientRequest {
  std::string Method = "GET";
  std::string Target; ///< Path and query, already encoded.
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// For everything: queueing, connecting and the exchange.
  std::chrono::milliseconds TimeLimit{3'000};
  /// Of the body; empty: no such header, which saves 32 bytes per request.
  std::string ContentType = "application/json";
};

struct ClientResponse {
  unsigned Status = 0;
  std::map<std::string, std::string> Headers; ///< Lower-case names.
  std::string Body;
};

/// Limits of a client; those per address apply to each address by itself.
struct ClientLimits {
  std::size_t MaxConnections = 8; ///< Per address.
  std::size_t MaxQueuedRequests =
      256; ///< Per address, waiting for a connection.
  std::size_t MaxResponseBytes = 8UL * 1024 * 1024;
  std::chrono::milliseconds ConnectTimeLimit{1'000};
  /// An unused connection is closed after this time; shorter than a server's
  /// IdleTimeLimit, so that a request rarely meets a closing connection.
  std::chrono::milliseconds IdleTimeLimit{60'000};
  /// Failures in a row that open the circuit breaker of an address.
  unsigned BreakerFailures = 5;
  /// How long it stays open at first; doubles up to BreakerMost, each time
  /// shortened by a random part of up to a half.
  std::chrono::milliseconds BreakerInitialOpenTime{250};
  std::chrono::milliseconds BreakerMaxOpenTime{2'000};
  /// Notices a vanished host on an open connection in about 20 s.
  bool TcpKeepAlive = true;
  /// The breaker's clock; the steady clock when empty.
  std::function<std::chrono::steady_clock::time_point()> Clock;
};

} // namespace heathersaddle::net

#endif
