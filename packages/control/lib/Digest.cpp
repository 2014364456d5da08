// Approach: ids are prefixes of SHA-256, long enough (64 bits) that two of a
// day's jobs do not collide. The account's length precedes it, so that no two
// pairs of account and key give the same input.
#include "Digest.h"
#include <array>
#include <openssl/evp.h>

namespace heathersaddle::control {

std::string sha256Hex(std::string_view Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Sum{};
  unsigned Size = 0;
  EVP_Digest(Text.data(), Text.size(), Sum.data(), &Size, EVP_sha256(),
             nullptr);
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Hex;
  for (unsigned I = 0; I < Size; ++I) {
    Hex += Digits[Sum[I] >> 4];
    Hex += Digits[Sum[I] & 15];
  }
  return Hex;
}

std::string keyedJobId(std::string_view Account, std::string_view Key) {
  std::string Text = std::to_string(Account.size()) + ":";
  Text.append(Account).append("/").append(Key);
  return "j" + sha256Hex(Text).substr(0, 16);
}

std::string freshJobId(std::uint64_t Incarnation, std::uint64_t Counter) {
  return "j" + sha256Hex("fresh/" + std::to_string(Incarnation) + "/" +
                         std::to_string(Counter))
                   .substr(0, 16);
}

} // namespace heathersaddle::control
