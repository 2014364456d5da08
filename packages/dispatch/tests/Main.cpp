#define BOOST_TEST_MODULE dispatch
#include <boost/test/unit_test.hpp>
