#define BOOST_TEST_MODULE marjorampath process tests
#include <boost/test/unit_test.hpp>
