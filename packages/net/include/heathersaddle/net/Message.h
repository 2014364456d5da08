#ifndef HEATHERSADDLE_NET_MESSAGE_H
#define HEATHERSADDLE_NET_MESSAGE_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace heathersaddle::net {

/// A parsed request as passed to a server's handler.
struct Request {
  std::string Method;
  std::string Path;                           ///< Percent-decoded.
  std::map<std::string, std::string> Query;   ///< Percent-decoded.
  std::map<std::string, std::string> Headers; ///< Lower-case names.
  std::string Body;
  std::string RemoteAddress; ///< The caller's "ADDRESS:PORT".
  std::size_t WireBytes = 0; ///< Size with headers as received.
  /// Whether the caller has closed neither the connection nor its sending side;
  /// empty if the request did not come from a server. May be called in the
  /// handler, and later if a single thread runs the server's io_context.
  std::function<bool()> IsCallerConnected;
};

struct Response {
  unsigned Status = 200;
  std::string ContentType = "application/json"; ///< Empty: no header.
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// Sends the response. May be called later and from any thread; only the first
/// call has an effect. If it is destroyed without a call, the server responds
/// with 500.
using Respond = std::function<void(Response)>;
/// Runs on a thread of the server's io_context.
using Handler = std::function<void(Request, Respond)>;

/// What is decided about a request when its headers have been received.
struct HeaderVerdict {
  /// Sent at once; the handler is not called. If the body has not been received
  /// yet, the connection is closed.
  std::optional<Response> Answer;
  bool NeedsBody = true; ///< Otherwise the handler gets an empty body.
};
/// Called with a request that has no body yet.
using HeaderCheck = std::function<HeaderVerdict(const Request &)>;

struct ServerLimits {
  std::size_t MaxBodyBytes = 256UL * 1024;
  std::size_t MaxHeaderBytes = 16UL * 1024;
  std::size_t MaxHeaderFields = 100;
  std::size_t MaxConnections = 2048;
  /// For receiving one whole request, from its first byte. Limits how long a
  /// slow sender holds a connection.
  std::chrono::milliseconds ReadTimeLimit{10'000};
  /// For receiving the headers, from the first byte.
  std::chrono::milliseconds HeaderTimeLimit{5'000};
  /// For the idle time between two requests, and for writing one response.
  std::chrono::milliseconds IdleTimeLimit{120'000};
  /// A request must be received, and a response be read, at this rate after
  /// ProgressGrace.
  std::size_t MinBytesPerSecond = 4'096;
  std::chrono::milliseconds ProgressGrace{5'000};
};

class ClientBudget;
enum class ClientClass : std::uint8_t;

/// Protection of a server against clients that its operator doesn't control.
struct ServerProtection {
  /// Shared by servers that run on one thread; null: only ServerLimits apply.
  std::shared_ptr<ClientBudget> Budget;
  ClientClass Class{};
  HeaderCheck CheckHeaders; ///< May be empty.
  /// Fields of every response to a request that did not reach the handler.
  std::map<std::string, std::string> RefusalHeaders;
  /// Sizes of the kernel's receive and send buffer of each connection; 0: the
  /// system's defaults, which grow to megabytes. The kernel doubles the values.
  int SocketBufferBytes = 0;
  /// Connections that wait to be accepted; 0: the system's maximum.
  int Backlog = 0;
};

/// Requests and connections that a server ended because of its limits.
struct ServerCounts {
  /// Requests received, or responses read, too slowly.
  std::uint64_t SlowConnections = 0;
  /// Requests with too large a body, or too large or too many header fields.
  std::uint64_t OversizedRequests = 0;
  /// Requests that the header check answered.
  std::uint64_t AnsweredByHeaders = 0;
};

struct ClientRequest {
  std::string Method = "GET";
  std::string Target; ///< Path and query, percent-encoded.
  std::map<std::string, std::string> Headers;
  std::string Body;
  /// Total for queueing, connecting, sending and receiving.
  std::chrono::milliseconds TimeLimit{3'000};
  /// Of the body. If empty, the header is omitted, which saves 32 bytes per
  /// request.
  std::string ContentType = "application/json";
};

struct ClientResponse {
  unsigned Status = 0;
  std::map<std::string, std::string> Headers; ///< Lower-case names.
  std::string Body;
};

/// Limits of a client; those per address apply to each address separately.
struct ClientLimits {
  std::size_t MaxConnections = 8; ///< Per address.
  /// To all addresses. If they are open, those that have been idle longest are
  /// closed for a new one; if none is idle, the new one is opened nevertheless.
  std::size_t MaxTotalConnections = std::numeric_limits<std::size_t>::max();
  /// Per address, waiting for a connection.
  std::size_t MaxQueuedRequests = 256;
  std::size_t MaxResponseBytes = 8UL * 1024 * 1024;
  std::chrono::milliseconds ConnectTimeLimit{1'000};
  /// An idle connection is closed after this time. It is shorter than
  /// ServerLimits::IdleTimeLimit, so that a request is rarely sent on a
  /// connection that the server is closing.
  std::chrono::milliseconds IdleTimeLimit{60'000};
  /// Consecutive failures that open the circuit breaker of an address.
  unsigned BreakerFailures = 5;
  /// How long the breaker stays open the first time. The time doubles after
  /// each failed trial request up to BreakerMaxOpenTime; a random jitter of up
  /// to one half is subtracted.
  std::chrono::milliseconds BreakerInitialOpenTime{250};
  std::chrono::milliseconds BreakerMaxOpenTime{2'000};
  /// Detects an unreachable host on an open connection within about 20 s.
  bool TcpKeepAlive = true;
  /// The breaker's clock; std::chrono::steady_clock if empty.
  std::function<std::chrono::steady_clock::time_point()> Clock;
};

/// How often requests reached a limit of a client, since its construction.
struct ClientCounts {
  std::uint64_t RequestsQueued = 0; ///< All connections were in use.
  std::uint64_t QueueTimeouts = 0;  ///< No connection was free in time.
  std::uint64_t QueueFullRejections = 0;
  std::uint64_t BreakerRejections = 0;
  /// Closed to keep to MaxTotalConnections.
  std::uint64_t IdleConnectionsClosed = 0;
  /// Opened above MaxTotalConnections.
  std::uint64_t ConnectionsAboveLimit = 0;
  /// Requests that were sent and had no complete response in time.
  std::uint64_t ResponseTimeouts = 0;
  /// Of these, the ones for which bytes of a response had arrived.
  std::uint64_t UnreadResponses = 0;
};

} // namespace heathersaddle::net

#endif
