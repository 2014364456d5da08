#ifndef HEATHERSADDLE_CONTROL_MEMBERS_H
#define HEATHERSADDLE_CONTROL_MEMBERS_H

#include "AppendQueue.h"

namespace heathersaddle::control {

/// Watches the other daemons: removes those that no longer exist, and finds out
/// which are ready to take over a cell.
class Members {
public:
  Members(Core &C, AppendQueue &Queue) : NodeCore(C), Queue(Queue) {}

  /// \p Responsible: this daemon removes daemons that no longer exist.
  void tick(bool Responsible);
  /// Whether \p Daemon recently reported that it is ready.
  bool ready(std::string_view Daemon) const;
  /// Sets whether this daemon needs ready(); if not, only a responsible daemon
  /// sends pings.
  void setReadinessWanted(bool On) { ReadinessWanted = On; }

private:
  struct Peer {
    base::MonoTime PingAt{};
    base::MonoTime AnsweredAt{};
    base::MonoTime SilentSince{}; ///< Zero: it answered the last ping.
    bool RefusesConnections = false;
    bool Ready = false;
    bool Pinging = false;
    bool RemovalInFlight = false; ///< Its daemon_left record is in flight.
  };
  void ping(const std::string &Name, const std::string &Address);
  void onReply(const std::string &Name, const base::Expected<json::value> &R);
  void removeIfGone(const std::string &Name, Peer &P);

  Core &NodeCore;
  AppendQueue &Queue;
  std::map<std::string, Peer, std::less<>> Peers;
  bool ReadinessWanted = false;
};

} // namespace heathersaddle::control

#endif
