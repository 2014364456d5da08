// Load pattern: thousands of connections of callers and workers are ready at
// the same time. An io_context takes the ready ones up in rounds and handles
// each round before the next, so a response that arrives in many pieces on one
// more connection takes as many rounds, and times out however fast its server
// is.
//
// Sockets and timers belong to one io_context, whose handlers do nothing but
// queue the real ones by class. A second and a third serve as the queues.
#include "heathersaddle/net/EventLoop.h"
#include <boost/asio/post.hpp>

namespace heathersaddle::net {

namespace asio = boost::asio;

/// How long traffic is handled before input and output go on. Short against
/// the time limits of calls, long against the cost of a system call.
static constexpr std::chrono::milliseconds MaxTrafficTime{2};

/// Its context is the reactor, its functions run from a queue.
class EventLoop::ClassExecutor {
public:
  ClassExecutor(asio::io_context &Reactor, asio::io_context &Handlers)
      : Reactor(&Reactor), Handlers(&Handlers) {}

  asio::execution_context &query(asio::execution::context_t) const noexcept {
    return *Reactor;
  }
  static constexpr asio::execution::blocking_t
  query(asio::execution::blocking_t) noexcept {
    return asio::execution::blocking.never;
  }
  ClassExecutor require(asio::execution::blocking_t::never_t) const noexcept {
    return *this;
  }
  template <class Function> void execute(Function &&F) const {
    asio::post(*Handlers, std::forward<Function>(F));
  }
  bool operator==(const ClassExecutor &) const noexcept = default;

private:
  asio::io_context *Reactor;
  asio::io_context *Handlers;
};

asio::any_io_executor EventLoop::executor(Class C) {
  Queue &Q = C == Class::Control ? Control : Traffic;
  return ClassExecutor(Reactor.Handlers, Q.Handlers);
}

void EventLoop::doInputAndOutput() {
  Reactor.Handlers.poll();
  InputReadAt = Clock::now();
}

bool EventLoop::runControl() {
  if (!Control.Handlers.poll_one())
    return false;
  // What it has read or written may have been part of a longer message.
  InputReadAt = {};
  return true;
}

bool EventLoop::pollOne() {
  if (runControl())
    return true;
  if (Clock::now() - InputReadAt >= MaxTrafficTime) {
    doInputAndOutput();
    if (runControl())
      return true;
  }
  if (Traffic.Handlers.poll_one())
    return true;
  doInputAndOutput();
  return runControl() || Traffic.Handlers.poll_one();
}

void EventLoop::runOne() {
  while (!Stopped && !pollOne())
    Reactor.Handlers.run_one();
}

} // namespace heathersaddle::net
