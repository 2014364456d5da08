#define BOOST_TEST_MODULE base
#include "heathersaddle/base/Json.h"
#include <boost/test/unit_test.hpp>
#include <utility>

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

// Guards against numbers that are cast out of their range.
BOOST_AUTO_TEST_CASE(TakesTheNearestNumberInRange) {
  const std::pair<const char *, std::int64_t> Cases[] = {
      {"-9223372036854775808", 1},
      {"-1", 1},
      {"-0.5", 1},
      {"1", 1},
      {"2.9", 2},
      {"64", 64},
      {"64.5", 64},
      {"4294967296", 64},
      {"9223372036854775807", 64},
      {"18446744073709551615", 64},
      {"1e300", 64},
      {"-1e300", 1}};
  for (const auto &[Text, Number] : Cases) {
    auto Value = parseJson(std::string("{\"n\":") + Text + "}", "submit");
    BOOST_REQUIRE(Value);
    JsonReader R(*Value, "submit");
    BOOST_TEST(R.clampedOr("n", 5, 1, 64) == Number, Text);
    BOOST_TEST(R.clampedOr("absent", 5, 1, 64) == 5);
    BOOST_TEST(!R.error());
  }
  auto Value = parseJson(R"({"n":"7"})", "submit");
  JsonReader R(*Value, "submit");
  R.clampedOr("n", 5, 1, 64);
  BOOST_REQUIRE(R.error());
  BOOST_TEST(R.error()->Field == "n");
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
