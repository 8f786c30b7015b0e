#include "version/TextMutator.h"

#include <iterator>
#include <string_view>

namespace tarragontray {

namespace {

/// Tokens and malformed fragments that JSON decoders treat specially.
constexpr std::string_view kTokens[] = {
  "{",
  "}",
  "[",
  "]",
  ",",
  ":",
  "\"",
  "\\u0000",
  "null",
  "true",
  "-1",
  "0.5",
  "1e400",
  "//",
  "/*",
  "\xff",
  "[[[[[",
  "{\"",
  "\\ud800",
  "",
  "999999999999999999999",
  "\"parameter\"",
};

} // namespace

std::string
TextMutator::Mutate(std::string aText)
{
  const std::uint64_t mutations = 1 + m_random.Below(8);
  for (std::uint64_t i = 0; i < mutations; ++i) {
    MutateOnce(aText);
  }
  return aText;
}

void
TextMutator::MutateOnce(std::string& aText)
{
  const std::size_t position = m_random.Below(aText.size() + 1);
  const std::size_t length = m_random.Below(12);
  const auto& token = kTokens[m_random.Below(std::size(kTokens))];
  switch (m_random.Below(5)) {
    case 0:
      aText.erase(position, length);
      break;
    case 1:
      aText.insert(position, token);
      break;
    case 2:
      aText.replace(position, length, token);
      break;
    case 3:
      aText.insert(position,
                   aText.substr(m_random.Below(aText.size() + 1), 40));
      break;
    default:
      aText.resize(m_random.Below(50) == 0 ? position : aText.size());
      if (position < aText.size()) {
        aText[position] = static_cast<char>(m_random.Next());
      }
  }
}

} // namespace tarragontray
