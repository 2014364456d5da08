#ifndef HEATHERSADDLE_NET_PARSERINPUT_H
#define HEATHERSADDLE_NET_PARSERINPUT_H

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <concepts>
#include <cstddef>

/// Passes input to a parser of Boost.Beast as it arrives, in pieces of any
/// size. Both sides of HTTP use it.
namespace heathersaddle::net {

/// Boost.Beast 1.81 requires in an assertion that the parser gets no fewer
/// bytes of the last chunk once it has seen its first line. A chunked body that
/// is not complete lacks at least as many: "0", and two line ends.
inline constexpr std::size_t MinChunkInputBytes = 5;

template <class T>
concept MessageParser = requires(T &P, boost::beast::flat_buffer &B,
                                 boost::beast::error_code &Ec) {
  { P.is_done() } -> std::convertible_to<bool>;
  { P.is_header_done() } -> std::convertible_to<bool>;
  { P.chunked() } -> std::convertible_to<bool>;
  { P.put(B.data(), Ec) } -> std::convertible_to<std::size_t>;
};

/// Whether the parser can be given what is in the buffer.
template <MessageParser Parser>
bool canParse(const Parser &P, const boost::beast::flat_buffer &Buffer) {
  bool InChunks = P.is_header_done() && P.chunked();
  return !P.is_done() && Buffer.size() >= (InChunks ? MinChunkInputBytes : 1);
}

/// Gives the parser what is in the buffer once and removes what it has used.
/// Returns the number of bytes used; \p Ec is need_more if the rest is too
/// short to be parsed.
template <MessageParser Parser>
std::size_t parseSome(Parser &P, boost::beast::flat_buffer &Buffer,
                      boost::beast::error_code &Ec) {
  std::size_t Used = P.put(Buffer.data(), Ec);
  Buffer.consume(Used);
  return Used;
}

/// Parses as much of the buffer as is possible now.
template <MessageParser Parser>
void parseAvailable(Parser &P, boost::beast::flat_buffer &Buffer,
                    boost::beast::error_code &Ec) {
  Ec = {};
  while (!Ec && canParse(P, Buffer))
    parseSome(P, Buffer, Ec);
  if (Ec == boost::beast::http::error::need_more)
    Ec = {};
}

} // namespace heathersaddle::net

#endif
