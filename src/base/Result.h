/// \file
/// Result<T>: a value or an Error. Interfaces report errors by Result, not by
/// exceptions.
///
///     Result<NetworkAddress> address = NetworkAddress::Parse(text);
///     if (!address) {
///       return address.error();
///     }
///     Use(address.value());
///
/// Calling value() on a failed Result terminates the process.
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

/// The value of a successful Result<void>.
inline auto
Success()
{
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace tarragontray
