/// \file
/// Strong types for ids and units.
///
/// A StringId or an Amount with its own tag does not convert to another one,
/// so a VmId can never be passed where a ServiceName is meant.
///
///     struct VmIdTag;
///     using VmId = StringId<VmIdTag>;
///     VmId vm{ "dc1-box-office-3" };
///
/// Thread safety: values; concurrent reads are safe.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace tarragontray {

/// An identifier held as text. Ordered and hashable.
template<typename Tag>
class StringId
{
public:
  StringId() = default;
  explicit StringId(std::string aValue)
    : m_value(std::move(aValue))
  {
  }

  const std::string& Value() const { return m_value; }
  bool IsEmpty() const { return m_value.empty(); }

  auto operator<=>(const StringId&) const = default;

private:
  std::string m_value;
};

/// A whole number with a unit or a meaning of its own. Ordered and hashable.
template<typename Tag, typename Rep = std::uint64_t>
class Amount
{
public:
  constexpr Amount() = default;
  constexpr explicit Amount(Rep aValue)
    : m_value(aValue)
  {
  }

  constexpr Rep Value() const { return m_value; }

  constexpr auto operator<=>(const Amount&) const = default;
  constexpr Amount& operator+=(Amount aOther)
  {
    m_value += aOther.m_value;
    return *this;
  }
  constexpr Amount& operator-=(Amount aOther)
  {
    m_value -= aOther.m_value;
    return *this;
  }
  friend constexpr Amount operator+(Amount aLeft, Amount aRight)
  {
    return Amount(aLeft.m_value + aRight.m_value);
  }
  friend constexpr Amount operator-(Amount aLeft, Amount aRight)
  {
    return Amount(aLeft.m_value - aRight.m_value);
  }

private:
  Rep m_value{};
};

} // namespace tarragontray

template<typename Tag>
struct std::hash<tarragontray::StringId<Tag>>
{
  std::size_t operator()(const tarragontray::StringId<Tag>& aId) const
  {
    return std::hash<std::string>{}(aId.Value());
  }
};

template<typename Tag, typename Rep>
struct std::hash<tarragontray::Amount<Tag, Rep>>
{
  std::size_t operator()(const tarragontray::Amount<Tag, Rep>& aAmount) const
  {
    return std::hash<Rep>{}(aAmount.Value());
  }
};
