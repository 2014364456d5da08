#ifndef HEATHERSADDLE_NET_REQUESTPARSER_H
#define HEATHERSADDLE_NET_REQUESTPARSER_H

#include "heathersaddle/net/Message.h"
#include <boost/beast/http/basic_parser.hpp>

namespace heathersaddle::net {

/// Parses a request into net::Request without a copy in Beast's containers.
/// The number of header fields is limited, and the body's buffer grows with
/// what has been received, whatever length the header announces.
class RequestParser : public boost::beast::http::basic_parser<true> {
public:
  explicit RequestParser(const ServerLimits &Limits);

  /// Bytes of memory that the parsed request uses, approximately.
  std::size_t memory() const { return HeaderMemory + Parsed.Body.capacity(); }
  /// The percent-encoded target.
  const std::string &target() const { return Target; }
  /// The body is received up to its limit, but not stored.
  void dropBody() { StoreBody = false; }

  Request Parsed; ///< Without path, query and address.

private:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb Method, Text MethodText,
                       Text TargetText, int Version, ErrorCode &Ec) override;
  void on_response_impl(int Status, Text Reason, int Version,
                        ErrorCode &Ec) override;
  void on_field_impl(boost::beast::http::field Field, Text Name, Text Value,
                     ErrorCode &Ec) override;
  void on_header_impl(ErrorCode &Ec) override;
  void on_body_init_impl(const boost::optional<std::uint64_t> &ContentLength,
                         ErrorCode &Ec) override;
  std::size_t on_body_impl(Text Part, ErrorCode &Ec) override;
  void on_chunk_header_impl(std::uint64_t Size, Text Extensions,
                            ErrorCode &Ec) override;
  std::size_t on_chunk_body_impl(std::uint64_t Remaining, Text Part,
                                 ErrorCode &Ec) override;
  void on_finish_impl(ErrorCode &Ec) override;

  std::size_t MaxBodyBytes;
  std::size_t MaxFields;
  std::string Target;
  std::size_t HeaderMemory = 0;
  std::size_t Fields = 0;
  std::size_t BodyBytesExpected = 0;
  std::size_t ChunkOverhead = 0; ///< Bytes of chunk headers.
  bool StoreBody = true;
};

} // namespace heathersaddle::net

#endif
