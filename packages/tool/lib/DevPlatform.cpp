#include "heathersaddle/standin/Standin.h"
#include "heathersaddle/tool/Program.h"
#include "heathersaddle/tool/Render.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace heathersaddle::tool {

namespace {

standin::StandinSettings settings(const PlatformArguments &P) {
  standin::StandinSettings S;
  S.DataCentres = P.DataCentres;
  S.Racks = P.Racks;
  S.WorkersPerRack = P.Workers;
  S.Slots = P.Slots;
  S.Accelerators = P.Accelerators;
  S.Port = static_cast<std::uint16_t>(P.Port);
  S.Seed = P.Seed;
  S.HostListLag = base::Millis(P.HostListLagMs);
  return S;
}

} // namespace

int servePlatform(const Invocation &I) {
  boost::asio::io_context Io(1);
  standin::Standin Server(Io, settings(I.Platform));
  auto Port = Server.start();
  if (!Port) {
    std::cerr << Port.error().toString() << "\n";
    return static_cast<int>(ExitCode::Unavailable);
  }
  boost::json::object Line{{"platform", "127.0.0.1:" + std::to_string(*Port)},
                           {"workers", Server.workerCount()},
                           {"seed", I.Platform.Seed}};
  std::cout << (I.Format == Output::Json ? renderJson(Line) : renderText(Line))
            << std::flush;
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([&](const boost::system::error_code &Ec, int) {
    if (!Ec)
      Io.stop();
  });
  Io.run();
  return 0;
}

} // namespace heathersaddle::tool
