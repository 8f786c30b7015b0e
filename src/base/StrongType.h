/// \file
/// Strong types for ids and units.
///
/// StringIds and Amounts with different tags do not convert to each other, so
/// passing a VmId where a ServiceName is expected does not compile.
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

/// A textual identifier. Ordered and hashable.
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

/// An integer with a unit or a meaning that its tag identifies. Ordered and
/// hashable.
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
