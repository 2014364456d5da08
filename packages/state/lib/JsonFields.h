#ifndef HEATHERSADDLE_STATE_LIB_JSONFIELDS_H
#define HEATHERSADDLE_STATE_LIB_JSONFIELDS_H

// JSON forms of the values that occur in both records and snapshots.

#include "heathersaddle/base/Json.h"
#include "heathersaddle/state/State.h"
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::state {

/// Maximum lengths of names and reasons in records and snapshots.
inline constexpr std::size_t MaxStoredNameBytes = 128;
inline constexpr std::size_t MaxStoredReasonBytes = 1024;

boost::json::value toJson(const JobSpec &S);
JobSpec specFrom(const boost::json::value &Value, base::JsonReader &Parent);

boost::json::value toJson(const std::vector<pool::Placement> &Tasks);
std::vector<pool::Placement> placementsFrom(base::JsonReader &R,
                                            std::string_view Field);

boost::json::value toJson(const std::vector<pool::Home> &Homes);
std::vector<pool::Home> homesFrom(base::JsonReader &R, std::string_view Field);

boost::json::value toJson(const std::vector<std::string> &Texts);
std::vector<std::string>
stringsFrom(base::JsonReader &R, std::string_view Field, std::size_t MaxItems);

std::string_view name(AttemptEnd Why);
std::string_view name(pool::WorkerStatus Status);
std::string_view name(pool::Adjacency Within);

/// Reads an enumerator by its name; an unknown name makes \p R fail with the
/// allowed names.
Outcome outcomeFrom(base::JsonReader &R, std::string_view Field);
JobStatus jobStatusFrom(base::JsonReader &R, std::string_view Field);
AttemptEnd attemptEndFrom(base::JsonReader &R, std::string_view Field);
pool::WorkerStatus workerStatusFrom(base::JsonReader &R,
                                    std::string_view Field);
pool::Adjacency adjacencyFrom(base::JsonReader &R, std::string_view Field);

} // namespace heathersaddle::state

#endif
