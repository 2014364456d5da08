#include "RequestParser.h"
#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cctype>

namespace heathersaddle::net {

namespace http = boost::beast::http;

/// Memory of one header field besides its text: a node of the map.
static constexpr std::size_t FieldOverhead = 112;
/// The shortest header of a chunk: a digit and two line ends.
static constexpr std::size_t MinChunkHeaderBytes = 5;

RequestParser::RequestParser(const ServerLimits &Limits)
    : MaxBodyBytes(Limits.MaxBodyBytes), MaxFields(Limits.MaxHeaderFields) {
  body_limit(Limits.MaxBodyBytes);
  header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
}

void RequestParser::on_request_impl(http::verb /*Method*/, Text MethodText,
                                    Text TargetText, int /*Version*/,
                                    ErrorCode & /*Ec*/) {
  Parsed.Method.assign(MethodText.data(), MethodText.size());
  Target.assign(TargetText.data(), TargetText.size());
  HeaderMemory += Parsed.Method.capacity() + Target.capacity();
}

void RequestParser::on_response_impl(int /*Status*/, Text /*Reason*/,
                                     int /*Version*/, ErrorCode & /*Ec*/) {}

void RequestParser::on_field_impl(http::field /*Field*/, Text Name, Text Value,
                                  ErrorCode &Ec) {
  if (++Fields > MaxFields) {
    Ec = http::error::header_limit;
    return;
  }
  // The trailers of a chunked body arrive after the header was checked.
  if (is_header_done())
    return;
  std::string LowerName(Name.data(), Name.size());
  for (char &C : LowerName)
    C = static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  HeaderMemory += FieldOverhead + Name.size() + Value.size();
  Parsed.Headers[std::move(LowerName)].assign(Value.data(), Value.size());
}

void RequestParser::on_header_impl(ErrorCode & /*Ec*/) {}

void RequestParser::on_body_init_impl(
    const boost::optional<std::uint64_t> &ContentLength, ErrorCode & /*Ec*/) {
  BodyBytesExpected =
      ContentLength ? static_cast<std::size_t>(
                          std::min<std::uint64_t>(*ContentLength, MaxBodyBytes))
                    : MaxBodyBytes;
}

std::size_t RequestParser::on_body_impl(Text Part, ErrorCode & /*Ec*/) {
  if (!StoreBody)
    return Part.size();
  std::string &Body = Parsed.Body;
  std::size_t Needed = Body.size() + Part.size();
  if (Needed > Body.capacity())
    Body.reserve(
        std::max(Needed, std::min(2 * Body.capacity(), BodyBytesExpected)));
  Body.append(Part.data(), Part.size());
  return Part.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*Size*/,
                                         Text Extensions, ErrorCode &Ec) {
  // Many chunks of a few bytes, or with long extensions, would cost far more
  // traffic and processor time than the body limit allows for.
  ChunkOverhead += MinChunkHeaderBytes + Extensions.size();
  if (ChunkOverhead > MaxBodyBytes)
    Ec = http::error::body_limit;
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*Remaining*/,
                                              Text Part, ErrorCode &Ec) {
  return on_body_impl(Part, Ec);
}

void RequestParser::on_finish_impl(ErrorCode & /*Ec*/) {}

} // namespace heathersaddle::net
