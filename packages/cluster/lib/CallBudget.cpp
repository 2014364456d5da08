// Load pattern: many orders to hundreds of workers have no answer, so that more
// calls are due than the host can make.
//
// First copies of orders count, too, so that work that begins cannot
// take the copies from work that runs. A part of both limits is for renewals
// only: a lease that ends loses the work of seconds, while an order that waits
// costs its wait. Another part is for renewals and orders: a report that waits
// is made by the next sync.
#include "CallBudget.h"
#include <algorithm>

namespace heathersaddle::cluster {

using base::MonoTime;

/// The shares of the limits that calls of each purpose leave to the others.
static constexpr double KeptByOrders = 0.25;
static constexpr double KeptByReports = 0.5;
/// A burst may use the allowance of this time at once.
static constexpr double BurstSeconds = 1;

CallBudget::CallBudget(CallLimits Limits)
    : Limits(Limits), Allowance(Limits.PerSecond * BurstSeconds) {}

bool CallBudget::allows(Purpose P, unsigned ToWorker, MonoTime Now) {
  double Burst = Limits.PerSecond * BurstSeconds;
  Allowance = std::min(
      Burst, Allowance + Limits.PerSecond *
                             static_cast<double>((Now - UpdatedAt).count()) /
                             1'000);
  UpdatedAt = Now;
  double Kept = P == Purpose::Renewal ? 0
                : P == Purpose::Order ? KeptByOrders
                                      : KeptByReports;
  return ToWorker < Limits.ToWorker &&
         InFlight < (1 - Kept) * Limits.InFlight &&
         Allowance >= 1 + Kept * Burst;
}

void CallBudget::sent() {
  ++InFlight;
  --Allowance;
}

void CallBudget::ended() { --InFlight; }

} // namespace heathersaddle::cluster
