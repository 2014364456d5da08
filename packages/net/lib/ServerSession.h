#ifndef HEATHERSADDLE_NET_SERVERSESSION_H
#define HEATHERSADDLE_NET_SERVERSESSION_H

#include "BudgetTicket.h"
#include "RequestParser.h"
#include "ServerCore.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace heathersaddle::net {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// The response to a request or connection for which there is no room.
Response noRoomResponse();

/// One connection.
class Session : public std::enable_shared_from_this<Session> {
public:
  using Phase = ClientBudget::Phase;

  Session(tcp::socket Socket, std::shared_ptr<ServerCore> Core,
          BudgetTicket Ticket);
  ~Session() { Core->removeSession(this); }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  void start();
  /// Closes the connection if no request is in progress on it.
  void closeIfIdle();
  void closeNow();
  /// Closes the connection to make room for another one. A request that is not
  /// complete is refused if that needs no waiting.
  void giveWay();
  void respond(Response R);
  /// The kernel does not tell whether a caller that has closed its sending side
  /// has also closed the other one.
  bool isCallerConnected();

private:
  using Clock = std::chrono::steady_clock;

  void awaitRequest();
  void beginRequest();
  /// Parses what has been received, then continues with the next step.
  void parse();
  bool canParse() const;
  void parseSome(error_code &Ec);
  void receive();
  void writeContinue();
  /// A field of the current request; empty if absent.
  std::string_view header(const std::string &Name) const;
  /// Completes the request without its body; false if it has been answered.
  bool checkHeader();
  void handle();

  void recordProgress(std::size_t Bytes);
  /// The end of the current phase: \p Limit after its start, and earlier if so
  /// little is transferred that the rate is too low.
  Clock::time_point deadline(std::chrono::milliseconds Limit) const;
  void closeAfterError(const error_code &Ec);
  void handleReadError(const error_code &Ec);
  /// Answers a request that did not reach the handler. The connection is closed
  /// unless the whole request has been received.
  void refuse(Response R);
  void write(Response R);
  void writeSome();
  /// Closes the connection such that the caller still receives the response.
  void finish();
  /// Reads until the client closes, or has sent MaxLingerBytes.
  void discard(std::size_t Discarded);
  void close();

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<RequestParser> Parser;
  std::optional<http::response<http::string_body>> Message;
  std::optional<http::response_serializer<http::string_body>> Serializer;
  std::string RemoteAddress;
  std::size_t RequestBytes = 0; ///< Received of the current request.
  Clock::time_point PhaseStart; ///< Of receiving a request, or sending.
  std::size_t PhaseBytes = 0;   ///< Transferred since PhaseStart.
  bool Idle = false;
  bool CloseAfter = false;
  bool Linger = false;
  std::shared_ptr<ServerCore> Core;
  BudgetTicket Ticket;
};

} // namespace heathersaddle::net

#endif
