// Constant memory per process: count, mean, maximum and an estimated quantile.

#include "heathersaddle/report/RequestStats.h"
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace heathersaddle::report {

namespace acc = boost::accumulators;

struct RequestStats::Impl {
  using Set = acc::accumulator_set<
      double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                         acc::tag::p_square_quantile>>;
  Set Times{acc::quantile_probability = 0.99};
  std::uint64_t ServerErrors = 0;
};

RequestStats::RequestStats() : I(std::make_unique<Impl>()) {}
RequestStats::~RequestStats() = default;

void RequestStats::record(double Milliseconds, unsigned HttpStatus) {
  I->Times(Milliseconds);
  I->ServerErrors += HttpStatus >= 500 ? 1 : 0;
}

RequestFigures RequestStats::figures() const {
  RequestFigures F;
  F.Requests = acc::count(I->Times);
  F.ServerErrors = I->ServerErrors;
  if (F.Requests == 0)
    return F;
  F.MeanMs = acc::mean(I->Times);
  F.MaxMs = acc::max(I->Times);
  // The estimator needs five samples before it means anything.
  F.P99Ms = F.Requests < 5 ? F.MaxMs : acc::p_square_quantile(I->Times);
  return F;
}

} // namespace heathersaddle::report
