/// \file
/// Result<T>: a value or an Error. No exception crosses an interface.
///
///     Result<NetworkAddress> address = NetworkAddress::Parse(text);
///     if (!address) {
///       return address.error();
///     }
///     Use(address.value());
///
/// Reading value() of a failed Result ends the process.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

#include "base/Error.h"

namespace tarragontray {

template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
  basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// The success of a Result<void>.
inline auto
Success()
{
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace tarragontray
