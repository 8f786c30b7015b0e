// Compiles Boost.JSON for the whole program; other targets link tt_json.
#include <boost/json/src.hpp>
