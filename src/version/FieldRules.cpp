#include "version/FieldRules.h"

#include <algorithm>

#include "version/Template.h"

namespace tarragontray {

namespace {

bool
IsLetterOrDigit(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') ||
         (aCharacter >= '0' && aCharacter <= '9');
}

bool
IsNameCharacter(char aCharacter)
{
  return IsLetterOrDigit(aCharacter) || aCharacter == '.' ||
         aCharacter == '_' || aCharacter == '-';
}

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         IsLetterOrDigit(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

} // namespace

std::string
ElementPath(std::string_view aList, std::size_t aIndex)
{
  return std::string(aList) + "[" + std::to_string(aIndex) + "]";
}

void
FieldErrors::Add(std::string_view aPath, std::string_view aDetail)
{
  if (!m_first) {
    m_first.emplace(ErrorCode::InvalidArgument,
                    m_step,
                    "",
                    std::string(aPath) + ": " + std::string(aDetail));
  }
}

void
FieldErrors::Check(bool aCondition,
                   std::string_view aPath,
                   std::string_view aDetail)
{
  if (!aCondition) {
    Add(aPath, aDetail);
  }
}

void
FieldErrors::CheckName(std::string_view aPath, std::string_view aName)
{
  if (!IsName(aName)) {
    Add(aPath,
        "must have 1 to " + std::to_string(kMaxNameLength) +
          " characters of a-z, 0-9, '.', '_', '-' and start with a letter or "
          "digit");
  }
}

void
FieldErrors::CheckCount(std::string_view aPath,
                        std::size_t aCount,
                        std::size_t aMaximum)
{
  if (aCount > aMaximum) {
    Add(aPath,
        "has " + std::to_string(aCount) + " entries, above the limit of " +
          std::to_string(aMaximum));
  }
}

void
FieldErrors::CheckRange(std::string_view aPath,
                        std::int64_t aValue,
                        NumberRange aRange,
                        std::string_view aUnit)
{
  if (aValue < aRange.m_minimum || aValue > aRange.m_maximum) {
    Add(aPath,
        std::to_string(aValue) + " is outside the range " +
          std::to_string(aRange.m_minimum) + ".." +
          std::to_string(aRange.m_maximum) + std::string(aUnit));
  }
}

} // namespace tarragontray
