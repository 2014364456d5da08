#include "heathersaddle/net/Executor.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <vector>

namespace heathersaddle::net {

namespace asio = boost::asio;

struct Executor::Impl {
  explicit Impl(unsigned Count)
      : Context(static_cast<int>(Count)), Guard(Context.get_executor()) {}

  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Guard;
  std::vector<std::thread> Threads;
};

Executor::Executor(unsigned Threads) : Pimpl(std::make_unique<Impl>(Threads)) {
  for (unsigned N = 0; N < Threads; ++N)
    Pimpl->Threads.emplace_back([this] { Pimpl->Context.run(); });
}

Executor::~Executor() { stop(); }

asio::io_context &Executor::context() { return Pimpl->Context; }

void Executor::post(std::function<void()> Work) {
  asio::post(Pimpl->Context, std::move(Work));
}

void Executor::after(std::chrono::milliseconds Delay,
                     std::function<void()> Work) {
  auto Timer = std::make_shared<asio::steady_timer>(Pimpl->Context, Delay);
  Timer->async_wait([Timer, Work = std::move(Work)](auto Ec) {
    if (!Ec)
      Work();
  });
}

void Executor::onSignal(std::initializer_list<int> Signals,
                        std::function<void(int)> Work) {
  auto Set = std::make_shared<asio::signal_set>(Pimpl->Context);
  for (int Signal : Signals)
    Set->add(Signal);
  Set->async_wait([Set, Work = std::move(Work)](auto Ec, int Signal) {
    if (!Ec)
      Work(Signal);
  });
}

void Executor::stop() {
  Pimpl->Guard.reset();
  Pimpl->Context.stop();
  for (std::thread &Thread : Pimpl->Threads)
    Thread.join();
  Pimpl->Threads.clear();
}

} // namespace heathersaddle::net
