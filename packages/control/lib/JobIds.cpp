// Approach: ids are prefixes of SHA-256 hashes, long enough (64 bits) that no
// two jobs of one day collide. The account is preceded by its length, so that
// different pairs of account and key never give the same input.
#include "JobIds.h"
#include "heathersaddle/base/Hash.h"

namespace heathersaddle::control {

std::string keyedJobId(std::string_view Account, std::string_view Key) {
  std::string Text = std::to_string(Account.size()) + ":";
  Text.append(Account).append("/").append(Key);
  return "j" + base::sha256Hex(Text).substr(0, 16);
}

std::string freshJobId(std::uint64_t Incarnation, std::uint64_t Counter) {
  return "j" + base::sha256Hex("fresh/" + std::to_string(Incarnation) + "/" +
                               std::to_string(Counter))
                   .substr(0, 16);
}

} // namespace heathersaddle::control
