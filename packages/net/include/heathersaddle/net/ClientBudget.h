#ifndef HEATHERSADDLE_NET_CLIENTBUDGET_H
#define HEATHERSADDLE_NET_CLIENTBUDGET_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace heathersaddle::net {

/// Whom a server serves. Later classes take room from earlier ones.
enum class ClientClass : std::uint8_t { Metrics, Callers, Peers, Readiness };
inline constexpr std::size_t ClientClassCount = 4;

/// Limits of all connections that clients have opened to this process.
struct BudgetLimits {
  std::size_t Bytes = 0;
  std::size_t Connections = 0;
};

/// Divides memory and connections among the clients of all servers of a
/// process, and selects the connections that are closed when there is no room.
/// Not thread-safe: servers that share a budget run on one thread.
///
/// \code
///   auto Id = Budget.open(ClientClass::Callers, "10.0.0.1", CloseConnection);
///   if (!Id) return refuseConnection();
///   Budget.enter(*Id, ClientBudget::Phase::Receiving);
///   if (!Budget.hold(*Id, BufferedBytes)) return refuseRequest();
///   Budget.release(*Id);
/// \endcode
class ClientBudget {
public:
  using Id = std::uint64_t;
  using TimePoint = std::chrono::steady_clock::time_point;
  using ClockFunction = std::function<TimePoint()>;

  enum class Phase : std::uint8_t {
    Idle,       ///< Between requests, or before the first byte.
    Receiving,  ///< A part of a request has been received.
    Handling,   ///< The handler has the request; never closed for others.
    Sending,    ///< A response is being written.
    Discarding, ///< The last response is written; input is discarded.
  };

  struct Usage {
    std::size_t Bytes = 0;
    std::size_t Connections = 0;
  };
  struct Counts {
    Usage Used;
    std::uint64_t ConnectionsRefused = 0;
    std::uint64_t RequestsRefused = 0;
    /// To make room for another connection or request.
    std::uint64_t ConnectionsClosed = 0;
  };

  /// \p FixedBytes is what each open connection costs, in addition to what it
  /// holds: its objects and the kernel's buffers.
  explicit ClientBudget(BudgetLimits Limits, std::size_t FixedBytes = 0,
                        ClockFunction Clock = std::chrono::steady_clock::now);
  ClientBudget(const ClientBudget &) = delete;
  ClientBudget &operator=(const ClientBudget &) = delete;

  /// Admits a connection, if necessary in place of others; empty if there is no
  /// room. \p Close is called once if the connection must give way; it must not
  /// call the budget. After that the identifier is unknown.
  std::optional<Id> open(ClientClass Class, std::string_view Address,
                         std::function<void()> Close);
  void release(Id Connection);
  /// Sets what a connection holds to \p Bytes. False if there is no room or the
  /// connection had to give way; the request must then be refused.
  bool hold(Id Connection, std::size_t Bytes);
  /// Like hold(), but exceeds the limits: for responses that must be sent.
  void holdRequired(Id Connection, std::size_t Bytes);
  /// Closes the connection that gives way first to one of \p Class, if any: the
  /// process has fewer descriptors than the budget was given.
  void closeOne(ClientClass Class);
  /// False if the connection had to give way.
  bool enter(Id Connection, Phase NewPhase);
  /// Bytes were transferred in the current phase.
  void progress(Id Connection, std::size_t Bytes);
  /// A request on this connection had a known route and key.
  void markKnown(Id Connection);

  const Counts &counts(ClientClass Class) const {
    return ByClass[static_cast<std::size_t>(Class)];
  }
  Usage used() const;
  BudgetLimits limits() const { return Limits; }
  /// Whether so much has been released since the last call that returned true
  /// that the allocator should return free memory to the system.
  bool shouldTrim();

private:
  struct Entry {
    ClientClass Class = ClientClass::Callers;
    std::string Address;
    std::function<void()> Close;
    std::size_t Held = 0;
    Phase CurrentPhase = Phase::Idle;
    TimePoint PhaseStart;
    TimePoint LastProgress;
    std::size_t PhaseBytes = 0;
    bool Known = false;
  };
  using Entries = std::map<Id, Entry>;
  using Resource = std::size_t Usage::*;

  struct Claim {
    ClientClass Class;
    std::string_view Address;
    Resource Kind;
    std::size_t Amount;
    bool Large;
    Id Self; ///< 0: a new connection.
  };

  std::size_t room(const Claim &C) const;
  bool makeRoom(const Claim &C);
  bool freesRoom(const Entry &E, const Claim &C) const;
  bool exceedsShare(ClientClass Class, std::string_view Address,
                    Resource Kind) const;
  static bool isSlow(const Entry &E, TimePoint Now);
  Entries::iterator victim(const Claim &C);
  void close(Entries::iterator It);
  void add(ClientClass Class, const std::string &Address, Usage Amount);
  void remove(ClientClass Class, const std::string &Address, Usage Amount);
  std::size_t &usedOf(ClientClass Class, Resource Kind) {
    return ByClass[static_cast<std::size_t>(Class)].Used.*Kind;
  }

  BudgetLimits Limits;
  std::size_t FixedBytes;
  ClockFunction Clock;
  Entries Open;
  std::array<Counts, ClientClassCount> ByClass;
  std::map<std::pair<ClientClass, std::string>, Usage> ByAddress;
  Id LastId = 0;
  std::size_t PeakBytes = 0; ///< Since the last trim.
  TimePoint LastTrim;
};

} // namespace heathersaddle::net

#endif
