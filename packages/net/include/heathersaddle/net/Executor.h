#ifndef HEATHERSADDLE_NET_EXECUTOR_H
#define HEATHERSADDLE_NET_EXECUTOR_H

#include <chrono>
#include <functional>
#include <initializer_list>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace heathersaddle::net {

/// An io_context with its own threads, for code that does not use Asio itself.
/// With one thread, posted functions run in order and never concurrently.
class Executor {
public:
  explicit Executor(unsigned Threads);
  /// Calls stop().
  ~Executor();
  Executor(const Executor &) = delete;
  Executor &operator=(const Executor &) = delete;

  boost::asio::io_context &context();
  void post(std::function<void()> Work);
  void after(std::chrono::milliseconds Delay, std::function<void()> Work);
  /// Calls \p Work with the number of the first of \p Signals that arrives.
  void onSignal(std::initializer_list<int> Signals,
                std::function<void(int)> Work);
  /// Discards functions that have not started and joins the threads. Must not
  /// be called from one of them.
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace heathersaddle::net

#endif
