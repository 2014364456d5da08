#ifndef HEATHERSADDLE_CLUSTER_DRAINEDDATACENTRES_H
#define HEATHERSADDLE_CLUSTER_DRAINEDDATACENTRES_H

#include "heathersaddle/cluster/Ports.h"
#include <set>

namespace heathersaddle::cluster {

/// The data centres that the operator wants drained, as read from the
/// operator's topic.
class DrainedDataCentres {
public:
  /// The pages of the newest records are read (again). Requests known before
  /// stay in force until endPages().
  void beginPages();
  /// Returns whether the set has changed.
  bool apply(const DrainChange &Change);
  /// All pages have been read. Removes the requests that they did not list, and
  /// returns these.
  std::vector<std::string> endPages();

  bool contains(std::string_view DataCentre) const {
    return Requested.contains(DataCentre);
  }
  bool empty() const { return Requested.empty(); }
  std::size_t size() const { return Requested.size(); }
  /// Whether a request has been read since the process started.
  bool everRequested() const { return EverRequested; }

private:
  std::set<std::string, std::less<>> Requested;
  std::set<std::string, std::less<>> Listed; ///< By the pages read so far.
  bool ReadingPages = false;
  bool EverRequested = false;
};

} // namespace heathersaddle::cluster

#endif
