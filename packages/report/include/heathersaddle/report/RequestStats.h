#ifndef HEATHERSADDLE_REPORT_REQUESTSTATS_H
#define HEATHERSADDLE_REPORT_REQUESTSTATS_H

#include "heathersaddle/report/BurnReport.h"
#include <memory>

namespace heathersaddle::report {

/// Collects statistics of the requests that this process has answered. Not
/// thread-safe.
class RequestStats {
public:
  RequestStats();
  ~RequestStats();

  void record(double Milliseconds, unsigned HttpStatus);
  RequestFigures figures() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace heathersaddle::report

#endif
