#ifndef HEATHERSADDLE_CLUSTER_CALLBUDGET_H
#define HEATHERSADDLE_CLUSTER_CALLBUDGET_H

#include "heathersaddle/base/Time.h"
#include "heathersaddle/cluster/CallLimits.h"
#include <tuple>

namespace heathersaddle::cluster {

/// Keeps count of an owner's calls to workers and decides whether another one
/// may be sent.
class CallBudget {
public:
  enum class Purpose {
    Renewal, ///< A sync that renews a lease before it ends.
    Order,   ///< A start or a stop.
    Report   ///< A sync whose lease lasts for a while.
  };

  explicit CallBudget(CallLimits Limits);

  const CallLimits &limits() const { return Limits; }
  unsigned inFlight() const { return InFlight; }
  /// Whether a call may be sent at \p Now beside \p ToWorker calls in flight to
  /// its worker.
  bool allows(Purpose P, unsigned ToWorker, base::MonoTime Now);
  void sent();
  /// A call that was sent has been answered or has timed out.
  void ended();

private:
  CallLimits Limits;
  unsigned InFlight = 0;
  double Allowance = 0; ///< Calls that may be sent now without exceeding the
                        ///< average.
  base::MonoTime UpdatedAt{};
};

/// The urgency of an order that is due, the most urgent first. It decides which
/// orders are sent if not all can be.
struct OrderUrgency {
  enum class Need {
    FreesRoom,     ///< A stop; the run holds its room until it has ended.
    CompletesUnit, ///< A start of a gang, which may time out, or of urgent
                   ///< work.
    Other
  };
  Need For = Need::Other;
  unsigned UnconfirmedMembers = 0; ///< Of the gang.
  base::MonoTime DueAt{};
  bool operator<(const OrderUrgency &O) const {
    return std::tie(For, UnconfirmedMembers, DueAt) <
           std::tie(O.For, O.UnconfirmedMembers, O.DueAt);
  }
};

} // namespace heathersaddle::cluster

#endif
