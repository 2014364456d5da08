// Approach: the owner of the first cell, and each daemon that needs to know
// which others are ready, pings every daemon periodically. Entry hosts may be
// replaced at any time by hosts with new names. Entries of daemons that no
// longer exist would delay every takeover through their rank, so the owner of
// the first cell removes them. A daemon that was removed by mistake joins again
// by itself.
// Bounds: one ping per daemon and PingPeriod.
#include "Members.h"

namespace heathersaddle::control {

namespace {
constexpr base::Millis PingPeriod{10'000};
/// For a daemon at whose address nothing listens: its process has exited.
constexpr base::Millis RefusedTimeout{60'000};
/// For a daemon that does not answer at all: it may be cut off by a network
/// partition.
constexpr base::Millis SilentTimeout{3'600'000};
constexpr base::Millis ReadyMaxAge{30'000};
} // namespace

void Members::tick(bool Responsible) {
  if (!Responsible && !ReadinessWanted)
    return;
  const auto &Daemons = NodeCore.State.daemons();
  std::erase_if(Peers,
                [&](const auto &P) { return !Daemons.contains(P.first); });
  for (const auto &[Name, D] : Daemons) {
    if (Name == NodeCore.Settings.Name)
      continue;
    Peer &P = Peers[Name];
    if (!P.Pinging && NodeCore.now() >= P.PingAt)
      ping(Name, D.Address);
    if (Responsible)
      removeIfGone(Name, P);
  }
}

void Members::ping(const std::string &Name, const std::string &Address) {
  Peer &P = Peers[Name];
  P.Pinging = true;
  P.PingAt = NodeCore.now() + PingPeriod;
  NodeCore.callPeer(
      Name, Address, "/v1/peer/ping", json::object(),
      [this, Name](const base::Expected<json::value> &R) { onReply(Name, R); });
}

void Members::onReply(const std::string &Name,
                      const base::Expected<json::value> &R) {
  auto It = Peers.find(Name);
  if (It == Peers.end())
    return;
  Peer &P = It->second;
  P.Pinging = false;
  P.Ready = false;
  P.RefusesConnections = !R && R.error().Code == base::ErrorCode::Unavailable;
  if (!R) {
    if (P.SilentSince == base::MonoTime{})
      P.SilentSince = NodeCore.now();
    return;
  }
  P.SilentSince = {};
  P.AnsweredAt = NodeCore.now();
  if (const json::object *O = R->if_object())
    if (const json::value *V = O->if_contains("ready"))
      P.Ready = V->is_bool() && V->as_bool();
}

void Members::removeIfGone(const std::string &Name, Peer &P) {
  base::Millis Limit = P.RefusesConnections ? RefusedTimeout : SilentTimeout;
  if (P.RemovalInFlight || P.SilentSince == base::MonoTime{} ||
      NodeCore.now() - P.SilentSince < Limit)
    return;
  // For owners Ownership decides, by the records of their cells.
  for (const auto &[Cell, View] : NodeCore.State.cells())
    if (View.Owner == Name)
      return;
  P.RemovalInFlight =
      Queue.push(state::DaemonLeft{Name}, [this, Name](const AppendResult &) {
        if (auto It = Peers.find(Name); It != Peers.end())
          It->second.RemovalInFlight = false;
      });
}

bool Members::ready(std::string_view Daemon) const {
  auto It = Peers.find(Daemon);
  return It != Peers.end() && It->second.Ready &&
         NodeCore.now() - It->second.AnsweredAt < ReadyMaxAge;
}

} // namespace heathersaddle::control
