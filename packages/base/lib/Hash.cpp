#include "heathersaddle/base/Hash.h"
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace heathersaddle::base {

std::string sha256Hex(std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  EVP_Digest(Data.data(), Data.size(), Digest.data(), &Length, EVP_sha256(),
             nullptr);
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Hex;
  Hex.reserve(2 * static_cast<std::size_t>(Length));
  for (unsigned I = 0; I < Length; ++I) {
    Hex.push_back(Digits[Digest[I] >> 4]);
    Hex.push_back(Digits[Digest[I] & 15]);
  }
  return Hex;
}

bool equalConstantTime(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace heathersaddle::base
