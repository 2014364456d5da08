#ifndef HEATHERSADDLE_BASE_HASH_H
#define HEATHERSADDLE_BASE_HASH_H

#include <string>
#include <string_view>

namespace heathersaddle::base {

/// SHA-256 of \p Data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Data);

/// Compares two strings in a time that depends only on their lengths.
bool equalConstantTime(std::string_view A, std::string_view B);

} // namespace heathersaddle::base

#endif
