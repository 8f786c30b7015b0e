// Boost.URL is built here, once.
#include <boost/url/src.hpp>
