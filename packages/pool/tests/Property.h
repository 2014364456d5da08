#ifndef HEATHERSADDLE_POOL_TESTS_PROPERTY_H
#define HEATHERSADDLE_POOL_TESTS_PROPERTY_H

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <rapidcheck.h>
#include <sstream>

namespace heathersaddle::tests {

/// Runs \p Check on \p Cases random inputs from a fixed, printed seed.
template <class Callable>
void property(const char *Name, std::uint64_t Seed, int Cases,
              Callable &&Check) {
  std::cout << "property " << Name << " seed " << Seed << " cases " << Cases
            << std::endl;
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Cases;
  auto Result =
      rc::detail::checkTestable(std::forward<Callable>(Check),
                                rc::detail::TestMetadata{Name, Name}, Params);
  std::ostringstream Text;
  rc::detail::printResultMessage(Result, Text);
  BOOST_CHECK_MESSAGE(Result.template is<rc::detail::SuccessResult>(),
                      Text.str());
}

inline unsigned pick(unsigned Low, unsigned High) {
  return *rc::gen::noShrink(rc::gen::inRange(Low, High + 1));
}

} // namespace heathersaddle::tests

#endif
