#include "base/Error.h"

namespace tarragontray {

std::string_view
Name(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidArgument:
      return "invalid-argument";
    case ErrorCode::Malformed:
      return "malformed";
    case ErrorCode::TooLarge:
      return "too-large";
    case ErrorCode::Timeout:
      return "timeout";
    case ErrorCode::Unreachable:
      return "unreachable";
    case ErrorCode::Closed:
      return "closed";
    case ErrorCode::Conflict:
      return "conflict";
    case ErrorCode::NotFound:
      return "not-found";
    case ErrorCode::Unavailable:
      return "unavailable";
    case ErrorCode::Refused:
      return "refused";
    case ErrorCode::HistoryGone:
      return "history-gone";
    case ErrorCode::Internal:
      return "internal";
  }
  return "unknown";
}

std::string
Error::Message() const
{
  std::string message = "error=";
  message += Name(m_code);
  message += " step=" + m_step;
  if (!m_peer.empty()) {
    message += " peer=" + m_peer;
  }
  if (!m_detail.empty()) {
    message += " detail=\"" + m_detail + "\"";
  }
  return message;
}

} // namespace tarragontray
