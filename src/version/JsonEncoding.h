/// \file
/// Encodes single values of a configuration as JSON; for the encoders of this
/// folder.
///
///     object["timeout_ms"] = EncodeField(route.m_timeout);
///
/// Include it in .cpp files only: it brings Boost.JSON in.
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

/// Text, numbers and booleans.
template<typename Plain>
boost::json::value
EncodeLiteral(const Plain& aPlain)
{
  return boost::json::value(aPlain);
}

inline boost::json::value
EncodeLiteral(const Share& aShare)
{
  return aShare.Fraction();
}

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
