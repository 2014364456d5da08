#ifndef HEATHERSADDLE_CLUSTER_LOSSESTIMATE_H
#define HEATHERSADDLE_CLUSTER_LOSSESTIMATE_H

namespace heathersaddle::cluster {

/// Estimates the share of calls that have no answer from the latest ones.
class LossEstimate {
public:
  /// Remembers about \p Memory calls.
  explicit LossEstimate(double Memory) : Weight(1 - 1 / Memory) {}

  void record(bool Lost) {
    Calls = Calls * Weight + 1;
    LostCalls = LostCalls * Weight + (Lost ? 1 : 0);
  }
  /// The share of lost calls, near \p Expected while few calls are known.
  double share(double Expected) const {
    return (LostCalls + ExpectedCalls * Expected) / (Calls + ExpectedCalls);
  }

private:
  static constexpr double ExpectedCalls = 4;
  double Weight;
  double Calls = 0;
  double LostCalls = 0;
};

} // namespace heathersaddle::cluster

#endif
