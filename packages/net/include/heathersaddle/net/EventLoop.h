#ifndef HEATHERSADDLE_NET_EVENTLOOP_H
#define HEATHERSADDLE_NET_EVENTLOOP_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>

namespace heathersaddle::net {

/// An event loop for one thread that handles control events before traffic,
/// however much traffic is ready. Input and output of both classes go on
/// between two events, so a control event waits for one event of traffic and a
/// few milliseconds at most.
///
/// \code
///   EventLoop Loop;
///   HttpClient Store(Loop.executor(EventLoop::Class::Control), Limits);
///   HttpServer Callers(Loop.executor(EventLoop::Class::Traffic), ...);
///   while (!Loop.stopped())
///     Loop.runOne();
/// \endcode
///
/// Events of one class are handled in the order in which they occurred.
class EventLoop {
public:
  enum class Class { Control, Traffic };

  /// For timers, sockets and functions whose handlers are of the class.
  boost::asio::any_io_executor executor(Class C);
  /// Handles one event that is ready; returns whether there was one.
  bool pollOne();
  /// Handles one event, and waits for it if none is ready. Returns without one
  /// if the loop is stopped.
  void runOne();
  /// May be called by a handler.
  void stop() { Stopped = true; }
  bool stopped() const { return Stopped; }

private:
  using Clock = std::chrono::steady_clock;
  class ClassExecutor;

  /// Handlers that are ready to run, in order.
  struct Queue {
    boost::asio::io_context Handlers{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        KeepOpen{Handlers.get_executor()};
  };
  /// Handles one control event that is ready; returns whether there was one.
  bool runControl();
  /// Does input and output, and adds what is complete to the queues.
  void doInputAndOutput();

  Queue Reactor; ///< Has all timers and sockets; its handlers only queue.
  Queue Control;
  Queue Traffic;
  Clock::time_point InputReadAt{};
  bool Stopped = false;
};

} // namespace heathersaddle::net

#endif
