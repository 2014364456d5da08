#ifndef HEATHERSADDLE_STANDIN_STANDIN_H
#define HEATHERSADDLE_STANDIN_STANDIN_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/base/Time.h"
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace heathersaddle::standin {

struct StandinSettings {
  unsigned DataCentres = 3;
  unsigned Racks = 2; ///< Per data centre.
  unsigned WorkersPerRack = 8;
  unsigned Slots = 8;
  unsigned Accelerators = 8;
  unsigned Cores = 64;
  std::uint64_t MemoryMb = 256 * 1024;
  unsigned Connections = 64;
  std::uint16_t Port = 0; ///< Of the log and the host list; 0: any free port.
  std::uint64_t Seed = 1; ///< Of the workers' boot ids and clocks.
  base::Millis HostListLag{0};
  base::Millis UsagePeriod{30'000};
};

/// Simulates the platform on loopback: the log, the host list and the workers,
/// each worker on a port of its own. Data centres, racks and workers are
/// counted from 1: the worker "dc-1-r2-w3" is the third one in the rack
/// "dc-1-r2", which is the second one of the data centre "dc-1".
///
/// Not thread-safe: run the io_context on one thread only.
///
/// \code
///   boost::asio::io_context Io(1);
///   Standin Platform(Io, {.DataCentres = 1});
///   auto Port = Platform.start();
///   Io.run();
/// \endcode
///
/// Besides the platform's own API (docs/design.md, section 6) the port serves
/// POST /v1/faults and GET /v1/audit; both are described in docs/platform.md.
class Standin {
public:
  Standin(boost::asio::io_context &Io, StandinSettings Settings);
  ~Standin();
  Standin(const Standin &) = delete;
  Standin &operator=(const Standin &) = delete;

  /// Listens on all ports; returns the port of the log and the host list.
  base::Expected<std::uint16_t> start();
  std::size_t workerCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace heathersaddle::standin

#endif
