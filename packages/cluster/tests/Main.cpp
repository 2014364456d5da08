#define BOOST_TEST_MODULE cluster
#include <boost/test/unit_test.hpp>
