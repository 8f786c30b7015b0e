// The one source that compiles Boost.JSON; every other one links tt_json.
#include <boost/json/src.hpp>
