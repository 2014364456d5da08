// Takes constant memory: keeps the count, mean, maximum and an estimated
// quantile.

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
  using Accumulators = acc::accumulator_set<
      double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                         acc::tag::p_square_quantile>>;
  Accumulators Times{acc::quantile_probability = 0.99};
  std::uint64_t ServerErrors = 0;
};

RequestStats::RequestStats() : Pimpl(std::make_unique<Impl>()) {}
RequestStats::~RequestStats() = default;

void RequestStats::record(double Milliseconds, unsigned HttpStatus) {
  Pimpl->Times(Milliseconds);
  Pimpl->ServerErrors += HttpStatus >= 500 ? 1 : 0;
}

RequestFigures RequestStats::figures() const {
  RequestFigures F;
  F.Requests = acc::count(Pimpl->Times);
  F.ServerErrors = Pimpl->ServerErrors;
  if (F.Requests == 0)
    return F;
  F.MeanMs = acc::mean(Pimpl->Times);
  F.MaxMs = acc::max(Pimpl->Times);
  // The estimate of the quantile is meaningless below five samples.
  F.P99Ms = F.Requests < 5 ? F.MaxMs : acc::p_square_quantile(Pimpl->Times);
  return F;
}

} // namespace heathersaddle::report
