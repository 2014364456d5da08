#ifndef HEATHERSADDLE_STANDIN_LOGSERVICE_H
#define HEATHERSADDLE_STANDIN_LOGSERVICE_H

#include "heathersaddle/net/Message.h"
#include "heathersaddle/standin/LogModel.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <list>

namespace heathersaddle::standin {

/// Serves a LogModel over HTTP, with waiting reads and with injected delays and
/// losses of answers.
class LogService {
public:
  explicit LogService(boost::asio::io_context &Io) : Io(Io) {}

  /// \p Rest is the path after "/v1/streams/".
  void handle(std::string_view Rest, const net::Request &R, net::Respond Reply);

  void setDown(bool Down);
  void setAnswerDelay(base::Millis Delay) { Log.faults().AnswerDelay = Delay; }
  /// The next \p Count appends take effect and are answered with 503.
  void loseAnswers(unsigned Count) { AnswersToLose = Count; }
  void trim(std::string_view Stream, std::uint64_t Before);

  boost::json::object statistics() const;

private:
  struct Waiter {
    std::string Stream;
    std::uint64_t From = 0;
    std::size_t Max = 0;
    net::Respond Reply;
    boost::asio::steady_timer Timer;
  };
  using WaiterList = std::list<Waiter>;

  void append(std::string_view Stream, const net::Request &R,
              net::Respond Reply);
  void read(std::string_view Stream, const net::Request &R, net::Respond Reply);
  void addWaiter(Waiter W, base::Millis Wait);
  /// Answers the waiters whose read returns records or an error, or all.
  void answerWaiters(bool All);
  void answer(net::Respond Reply, net::Response Response);
  net::Response readPage(const Waiter &W, bool &Empty) const;

  boost::asio::io_context &Io;
  LogModel Log;
  WaiterList Waiters;
  unsigned AnswersToLose = 0;
  std::uint64_t Appends = 0;
  std::uint64_t Records = 0;
  std::uint64_t Bytes = 0;
};

} // namespace heathersaddle::standin

#endif
