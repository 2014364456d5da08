// The severity is filtered here and not by Boost.Log, so that a suppressed
// event costs one comparison. The sink writes synchronously, so that the last
// lines before a crash, which matter most, are written.
#include "heathersaddle/base/Log.h"
#include <algorithm>
#include <atomic>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <string>

namespace heathersaddle::base {

namespace logging = boost::log;

static std::atomic<Severity> MinSeverity{Severity::Info};

void startLogging(Severity Min) {
  MinSeverity = Min;
  logging::core::get()->add_global_attribute("TimeStamp",
                                             logging::attributes::utc_clock());
  logging::add_console_log(
      std::cerr, logging::keywords::auto_flush = true,
      logging::keywords::format =
          (logging::expressions::stream
           << logging::expressions::format_date_time<boost::posix_time::ptime>(
                  "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
           << ' ' << logging::expressions::smessage));
}

void logEvent(unsigned Number, std::string_view Text) {
  const Event *E = findEvent(Number);
  Severity Level = E ? E->Level : Severity::Warning;
  if (Level < MinSeverity)
    return;
  std::string Line(Text);
  std::replace_if(
      Line.begin(), Line.end(),
      [](unsigned char C) { return C < 0x20 || C == 0x7f; }, ' ');
  thread_local logging::sources::logger Logger;
  BOOST_LOG(Logger) << name(Level) << ' ' << Number << ' '
                    << (E ? E->Name : "unlisted") << ' ' << Line;
}

} // namespace heathersaddle::base
