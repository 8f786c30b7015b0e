#include "request/HttpDialect.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace tarragontray {

const std::string*
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  const auto found = std::find_if(
    aHeaders.begin(), aHeaders.end(), [&](const HttpHeader& aHeader) {
      return aHeader.m_name == aName;
    });
  return found == aHeaders.end() ? nullptr : &found->m_value;
}

std::optional<Duration>
FindMilliseconds(const std::vector<HttpHeader>& aHeaders,
                 std::string_view aName)
{
  const std::string* text = FindHeader(aHeaders, aName);
  std::uint32_t milliseconds = 0;
  if (text == nullptr ||
      std::from_chars(text->data(), text->data() + text->size(), milliseconds)
          .ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

void
RemoveHeader(std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  std::erase_if(aHeaders, [&](const HttpHeader& aHeader) {
    return aHeader.m_name == aName;
  });
}

void
SetHeader(std::vector<HttpHeader>& aHeaders,
          std::string_view aName,
          std::string aValue)
{
  RemoveHeader(aHeaders, aName);
  aHeaders.push_back({ std::string(aName), std::move(aValue) });
}

HttpAnswerParts
TextAnswer(std::uint16_t aStatus, std::string aBody, std::string aContentType)
{
  HttpAnswerParts answer;
  answer.m_status = aStatus;
  answer.m_headers.push_back({ "content-type", std::move(aContentType) });
  answer.m_body = std::move(aBody);
  return answer;
}

} // namespace tarragontray
