#include "heathersaddle/base/Event.h"
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <string>

using namespace heathersaddle::base;

BOOST_AUTO_TEST_SUITE(LogEvents)

// Guards against a documented list of events that differs from the program.
BOOST_AUTO_TEST_CASE(AreDocumented) {
  std::ifstream In("docs/events.md");
  BOOST_REQUIRE(In);
  std::string Found;
  for (std::string Line; std::getline(In, Line);)
    if (Line.starts_with("| ") && Line[2] >= '0' && Line[2] <= '9')
      Found += Line.substr(0, Line.find('|', Line.find("` | ") + 4) + 1) + "\n";
  std::string Expected;
  for (const Event &E : events())
    Expected += "| " + std::to_string(E.Number) + " | `" + std::string(E.Name) +
                "` | " + std::string(name(E.Level)) + " |\n";
  BOOST_TEST(Found == Expected);
}

// Guards against two events with one number or one name.
BOOST_AUTO_TEST_CASE(AreUniqueAndInOrder) {
  std::set<std::string_view> Names;
  unsigned Last = 0;
  for (const Event &E : events()) {
    BOOST_TEST(E.Number > Last);
    BOOST_TEST(Names.insert(E.Name).second, E.Name);
    BOOST_TEST(findEvent(E.Number) == &E);
    Last = E.Number;
  }
  BOOST_TEST(!findEvent(Last + 1));
}

BOOST_AUTO_TEST_SUITE_END()
