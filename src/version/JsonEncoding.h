/// \file
/// Encodes individual configuration values as JSON, for the encoders in this
/// folder.
///
///     object["timeout_ms"] = EncodeField(route.m_timeout);
///
/// Include this header only in .cpp files, because it includes Boost.JSON.
///
/// Thread safety: pure functions.
#pragma once

#include <string>
#include <variant>

#include <boost/json.hpp>

#include "version/Template.h"

namespace tarragontray {

inline boost::json::value
EncodeScalar(const ParameterValue& aValue)
{
  return std::visit(
    [](const auto& aInner) { return boost::json::value(aInner); }, aValue);
}

/// Encodes text, numbers and booleans.
template<typename Plain>
boost::json::value
EncodeLiteral(const Plain& aPlain)
{
  return boost::json::value(aPlain);
}

/// Encodes a share as a fraction from 0 to 1.
inline boost::json::value
EncodeLiteral(const Share& aShare)
{
  return aShare.Fraction();
}

/// Encodes a duration in whole milliseconds, rounded towards zero.
inline boost::json::value
EncodeLiteral(const Duration& aDuration)
{
  using std::chrono::milliseconds;
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

template<typename Tag>
boost::json::value
EncodeLiteral(const StringId<Tag>& aId)
{
  return boost::json::value(aId.Value());
}

/// Encodes a literal, or {"parameter": NAME} for a parameter.
template<typename T>
boost::json::value
EncodeField(const Field<T>& aField)
{
  if (const auto* name = std::get_if<ParameterName>(&aField)) {
    return boost::json::object{ { "parameter", name->Value() } };
  }
  return EncodeLiteral(std::get<T>(aField));
}

} // namespace tarragontray
