#include "request/HttpDialect.h"

#include <algorithm>
#include <utility>

namespace tarragontray {

const std::string*
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName)
{
  const auto found =
    std::find_if(aHeaders.begin(), aHeaders.end(), [&](const HttpHeader& aOne) {
      return aOne.m_name == aName;
    });
  return found == aHeaders.end() ? nullptr : &found->m_value;
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
