// The load that this handles: many clients that fill buffers or keep
// connections and do not finish. While there is room, nobody is limited. When
// there is none, connections that wait for their client give way first; those
// whose request is being handled never do, as it may have been stored. Clients
// that progress at a usual speed are not closed for others of the same address:
// if they were, none would finish under a load that exceeds the budget.
// Newcomers are refused instead.
//
// Each class has a reserved part and a maximum. What nobody has reserved goes
// to those who ask first. So a flood at one server leaves the others their
// part.
#include "heathersaddle/net/ClientBudget.h"
#include <algorithm>
#include <tuple>
#include <vector>

namespace heathersaddle::net {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct ClassShare {
  double Reserved;
  double Max;
  /// A request that makes no progress for this time is slow. Readiness calls
  /// and reads of metrics are one packet each.
  milliseconds StallTime;
};

} // namespace

/// The rest of 0.15 is for callers and peers in the order of arrival. Idle
/// connections of other daemons are numerous, but hold nothing.
static constexpr std::array<ClassShare, ClientClassCount> Shares{{
    {0.05, 0.05, milliseconds(100)},
    {0.50, 0.70, milliseconds(1'000)},
    {0.25, 0.50, milliseconds(1'000)},
    {0.05, 0.05, milliseconds(100)},
}};
/// Even on a host with few descriptors an operator and a balancer can connect.
static constexpr std::size_t MinConnectionsOfClass = 4;
/// Connections that were opened, or answered, more recently are not closed as
/// idle: the client's next bytes may have arrived but not been read.
static constexpr milliseconds FreshTime{100};
/// Clients below this rate are slow; a usual request of 4 KB then takes 0.5 s.
static constexpr std::size_t SlowBytesPerSecond = 8'192;
/// A connection that holds more is large. The last quarter of its class is only
/// for others, so that bodies of the largest size leave room for usual
/// requests.
static constexpr std::size_t LargeBytes = 96UL * 1024;
static constexpr double LargeShare = 0.75;
/// An address above this share of its class gives way to other addresses.
static constexpr double AddressShare = 0.5;
/// Trimming costs milliseconds, so it must free much and be rare.
static constexpr std::size_t TrimFraction = 8;
static constexpr seconds TrimInterval{1};

static std::size_t limitOf(const BudgetLimits &L, std::size_t ClassIndex,
                           std::size_t ClientBudget::Usage::*Kind,
                           double ClassShare::*Part) {
  bool Connections = Kind == &ClientBudget::Usage::Connections;
  std::size_t Total = Connections ? L.Connections : L.Bytes;
  auto Limit = static_cast<std::size_t>(Shares[ClassIndex].*Part *
                                        static_cast<double>(Total));
  return Connections ? std::max(Limit, MinConnectionsOfClass) : Limit;
}

ClientBudget::ClientBudget(BudgetLimits Limits, std::size_t FixedBytes,
                           ClockFunction Clock)
    : Limits(Limits), FixedBytes(FixedBytes), Clock(std::move(Clock)),
      LastTrim(this->Clock()) {}

ClientBudget::Usage ClientBudget::used() const {
  Usage Sum;
  for (const Counts &C : ByClass) {
    Sum.Bytes += C.Used.Bytes;
    Sum.Connections += C.Used.Connections;
  }
  return Sum;
}

void ClientBudget::add(ClientClass Class, const std::string &Address,
                       Usage Amount) {
  for (Usage *U : {&ByClass[static_cast<std::size_t>(Class)].Used,
                   &ByAddress[{Class, Address}]}) {
    U->Bytes += Amount.Bytes;
    U->Connections += Amount.Connections;
  }
  PeakBytes = std::max(PeakBytes, used().Bytes);
}

void ClientBudget::remove(ClientClass Class, const std::string &Address,
                          Usage Amount) {
  auto OfAddress = ByAddress.find({Class, Address});
  for (Usage *U :
       {&ByClass[static_cast<std::size_t>(Class)].Used, &OfAddress->second}) {
    U->Bytes -= Amount.Bytes;
    U->Connections -= Amount.Connections;
  }
  if (!OfAddress->second.Connections)
    ByAddress.erase(OfAddress);
}

std::size_t ClientBudget::room(const Claim &C) const {
  auto Own = static_cast<std::size_t>(C.Class);
  std::size_t Total =
      C.Kind == &Usage::Connections ? Limits.Connections : Limits.Bytes;
  std::size_t Taken = 0;
  for (std::size_t N = 0; N < ClientClassCount; ++N) {
    std::size_t Used = ByClass[N].Used.*C.Kind;
    Taken +=
        N == Own
            ? Used
            : std::max(Used, limitOf(Limits, N, C.Kind, &ClassShare::Reserved));
  }
  std::size_t Max = limitOf(Limits, Own, C.Kind, &ClassShare::Max);
  if (C.Large)
    Max = static_cast<std::size_t>(LargeShare * static_cast<double>(Max));
  std::size_t Used = ByClass[Own].Used.*C.Kind;
  return std::min(Max - std::min(Max, Used), Total - std::min(Total, Taken));
}

bool ClientBudget::exceedsShare(ClientClass Class, std::string_view Address,
                                Resource Kind) const {
  auto It = ByAddress.find({Class, std::string(Address)});
  auto Max = static_cast<double>(
      limitOf(Limits, static_cast<std::size_t>(Class), Kind, &ClassShare::Max));
  return It != ByAddress.end() &&
         static_cast<double>(It->second.*Kind) > AddressShare * Max;
}

bool ClientBudget::isSlow(const Entry &E, TimePoint Now) {
  milliseconds StallTime = Shares[static_cast<std::size_t>(E.Class)].StallTime;
  auto Age = std::chrono::duration_cast<milliseconds>(Now - E.PhaseStart);
  switch (E.CurrentPhase) {
  case Phase::Handling:
    return false;
  case Phase::Discarding:
    return true;
  case Phase::Idle:
    return Age >= FreshTime;
  case Phase::Receiving:
  case Phase::Sending:
    break;
  }
  return Age >= StallTime &&
         (Now - E.LastProgress >= StallTime ||
          E.PhaseBytes * 1'000 <
              SlowBytesPerSecond * static_cast<std::size_t>(Age.count()));
}

/// Whether closing \p E makes the claim more likely to fit.
bool ClientBudget::freesRoom(const Entry &E, const Claim &C) const {
  if (E.Class == C.Class)
    return true;
  // Closing others does not help a class that has reached its own maximum.
  auto Own = static_cast<std::size_t>(C.Class);
  auto Other = static_cast<std::size_t>(E.Class);
  return Other < Own &&
         ByClass[Own].Used.*C.Kind + C.Amount <=
             limitOf(Limits, Own, C.Kind, &ClassShare::Max) &&
         ByClass[Other].Used.*C.Kind >
             limitOf(Limits, Other, C.Kind, &ClassShare::Reserved);
}

ClientBudget::Entries::iterator ClientBudget::victim(const Claim &C) {
  TimePoint Now = Clock();
  bool RequesterExceeds = exceedsShare(C.Class, C.Address, C.Kind);
  // Lower classes first, then those that have got their last response, those
  // whose address holds much, unknown ones, and last those that hold most, or
  // for a connection those that have waited longest.
  using Rank = std::tuple<int, bool, bool, bool, std::int64_t>;
  std::optional<Rank> Highest;
  auto Found = Open.end();
  // An attacker has few addresses or as many as connections; in both cases the
  // share of each is looked up once.
  std::map<std::pair<ClientClass, std::string_view>, bool> Exceeding;
  for (auto It = Open.begin(); It != Open.end(); ++It) {
    const Entry &E = It->second;
    if (It->first == C.Self || E.CurrentPhase == Phase::Handling ||
        !freesRoom(E, C))
      continue;
    auto [Cached, New] = Exceeding.try_emplace({E.Class, E.Address});
    if (New)
      Cached->second = exceedsShare(E.Class, E.Address, C.Kind);
    bool YieldsToOthers = Cached->second && !RequesterExceeds &&
                          E.CurrentPhase != Phase::Sending &&
                          (E.Class != C.Class || E.Address != C.Address);
    if (!YieldsToOthers && !isSlow(E, Now))
      continue;
    std::int64_t Last = C.Kind == &Usage::Bytes
                            ? static_cast<std::int64_t>(E.Held)
                            : (Now - E.LastProgress).count();
    Rank R{-static_cast<int>(E.Class), E.CurrentPhase == Phase::Discarding,
           Cached->second, !E.Known, Last};
    if (!Highest || R > *Highest) {
      Highest = R;
      Found = It;
    }
  }
  return Found;
}

bool ClientBudget::makeRoom(const Claim &C) {
  while (room(C) < C.Amount) {
    auto It = victim(C);
    if (It == Open.end())
      return false;
    close(It);
  }
  return true;
}

void ClientBudget::close(Entries::iterator It) {
  ++ByClass[static_cast<std::size_t>(It->second.Class)].ConnectionsClosed;
  auto Close = std::move(It->second.Close);
  release(It->first);
  Close();
}

void ClientBudget::closeOne(ClientClass Class) {
  auto It = victim({Class, {}, &Usage::Connections, 1, false, 0});
  if (It != Open.end())
    close(It);
}

std::optional<ClientBudget::Id>
ClientBudget::open(ClientClass Class, std::string_view Address,
                   std::function<void()> Close) {
  if (!makeRoom({Class, Address, &Usage::Connections, 1, false, 0}) ||
      !makeRoom({Class, Address, &Usage::Bytes, FixedBytes, false, 0})) {
    ++ByClass[static_cast<std::size_t>(Class)].ConnectionsRefused;
    return std::nullopt;
  }
  TimePoint Now = Clock();
  Entry E;
  E.Class = Class;
  E.Address = Address;
  E.Close = std::move(Close);
  E.PhaseStart = E.LastProgress = Now;
  add(Class, E.Address, {FixedBytes, 1});
  Open.emplace(++LastId, std::move(E));
  return LastId;
}

void ClientBudget::release(Id Connection) {
  auto It = Open.find(Connection);
  if (It == Open.end())
    return;
  remove(It->second.Class, It->second.Address,
         {FixedBytes + It->second.Held, 1});
  Open.erase(It);
}

bool ClientBudget::hold(Id Connection, std::size_t Bytes) {
  auto It = Open.find(Connection);
  if (It == Open.end())
    return false;
  Entry &E = It->second;
  if (Bytes > E.Held &&
      !makeRoom({E.Class, E.Address, &Usage::Bytes, Bytes - E.Held,
                 Bytes > LargeBytes, Connection})) {
    ++ByClass[static_cast<std::size_t>(E.Class)].RequestsRefused;
    return false;
  }
  holdRequired(Connection, Bytes);
  return true;
}

void ClientBudget::holdRequired(Id Connection, std::size_t Bytes) {
  auto It = Open.find(Connection);
  if (It == Open.end())
    return;
  Entry &E = It->second;
  if (Bytes > E.Held)
    add(E.Class, E.Address, {Bytes - E.Held, 0});
  else
    remove(E.Class, E.Address, {E.Held - Bytes, 0});
  E.Held = Bytes;
}

bool ClientBudget::enter(Id Connection, Phase NewPhase) {
  auto It = Open.find(Connection);
  if (It == Open.end())
    return false;
  Entry &E = It->second;
  E.CurrentPhase = NewPhase;
  E.PhaseStart = E.LastProgress = Clock();
  E.PhaseBytes = 0;
  return true;
}

void ClientBudget::progress(Id Connection, std::size_t Bytes) {
  auto It = Open.find(Connection);
  if (It == Open.end() || !Bytes)
    return;
  It->second.LastProgress = Clock();
  It->second.PhaseBytes += Bytes;
}

void ClientBudget::markKnown(Id Connection) {
  if (auto It = Open.find(Connection); It != Open.end())
    It->second.Known = true;
}

bool ClientBudget::shouldTrim() {
  std::size_t Now = used().Bytes;
  if (PeakBytes - Now < Limits.Bytes / TrimFraction ||
      Clock() - LastTrim < TrimInterval)
    return false;
  PeakBytes = Now;
  LastTrim = Clock();
  return true;
}

} // namespace heathersaddle::net
