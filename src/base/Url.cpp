// Compiles Boost.URL for the whole program; other targets link tt_url.
#include <boost/url/src.hpp>
