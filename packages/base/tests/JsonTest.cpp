#define BOOST_TEST_MODULE base
#include "heathersaddle/base/Json.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle::base;

BOOST_AUTO_TEST_SUITE(ReadingJson)

// Guards against an error from which the caller cannot tell the invalid field.
BOOST_AUTO_TEST_CASE(NamesTheFirstInvalidField) {
  auto Value = parseJson(R"({"tasks": 65, "kind": 3})", "submit");
  BOOST_REQUIRE(Value);
  JsonReader R(*Value, "submit", "shape.");
  R.integer("tasks", 1, 64);
  R.string("kind", 10);
  BOOST_REQUIRE(R.error());
  BOOST_TEST(R.error()->Field == "shape.tasks");
}

// Guards against ignoring a misspelt field silently.
BOOST_AUTO_TEST_CASE(RejectsUnknownFields) {
  auto Value = parseJson(R"({"taks": 1})", "submit");
  JsonReader R(*Value, "submit");
  R.allowOnly({"tasks"});
  BOOST_REQUIRE(R.error());
  BOOST_TEST(R.error()->Field == "taks");
}

// Guards against stack exhaustion by deeply nested input.
BOOST_AUTO_TEST_CASE(RejectsDeepNesting) {
  BOOST_TEST(!parseJson(std::string(10000, '['), "submit"));
}

BOOST_AUTO_TEST_SUITE_END()
