// Boost.JSON is built here, once.
#include <boost/json/src.hpp>
