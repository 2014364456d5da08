// The newest record of a data centre tells whether it is to be drained. Records
// of a withdrawal may be missing from the pages, so that after a reread the
// requests that no page has listed are withdrawn. Until then they stay in
// force: a start in a drained data centre is worse than one that waits.
#include "DrainedDataCentres.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace heathersaddle::cluster {

void DrainedDataCentres::beginPages() {
  ReadingPages = true;
  Listed.clear();
}

bool DrainedDataCentres::apply(const DrainChange &Change) {
  EverRequested |= Change.Requested;
  if (Change.Requested) {
    if (ReadingPages)
      Listed.insert(Change.DataCentre);
    return Requested.insert(Change.DataCentre).second;
  }
  Listed.erase(Change.DataCentre);
  return Requested.erase(Change.DataCentre) > 0;
}

std::vector<std::string> DrainedDataCentres::endPages() {
  ReadingPages = false;
  std::vector<std::string> Unlisted;
  std::set_difference(Requested.begin(), Requested.end(), Listed.begin(),
                      Listed.end(), std::back_inserter(Unlisted));
  Requested = std::exchange(Listed, {});
  return Unlisted;
}

} // namespace heathersaddle::cluster
