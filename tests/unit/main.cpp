#define BOOST_TEST_MODULE marjorampath unit tests
#include <boost/test/unit_test.hpp>
