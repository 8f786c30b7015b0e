/// \file
/// What the HTTP of callers and of upstreams says about a call: names of
/// headers, meanings of statuses. The decisions know neither.
///
///     Result<CallerRequest> request = callers.Read(http);
///     ... run the call ...
///     HttpAnswerParts answer = callers.Write(std::move(ended));
///
/// NativeDialect (request/NativeDialect.h) is the one of docs/PROTOCOLS.md.
///
/// Thread safety: dialects are immutable and used by any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"
#include "request/Call.h"

namespace tarragontray {

/// What a caller's request says beside its HTTP parts.
struct CallerRequest
{
  /// Whose configuration routes it; empty when the caller named none.
  ClientAccountId m_account;
  /// For routes that are bound to a host.
  std::string m_host;
  /// Empty: the node makes one.
  OperationId m_operation;
  /// The caller gave m_operation and may repeat it.
  bool m_isCallerKey = false;
  /// How long the caller still waits; not set: as long as the route allows.
  std::optional<Duration> m_timeRemaining;
};

/// How callers are read and answered.
class CallerDialect
{
public:
  virtual ~CallerDialect() = default;
  /// Header names of aRequest are in lower case. Errors: InvalidArgument for
  /// a request that must not be run.
  virtual Result<CallerRequest> Read(
    const HttpRequestParts& aRequest) const = 0;
  /// The answer to a request that Read refused.
  virtual HttpAnswerParts Reject(const Error& aError) const = 0;
  /// The answer to a call that ended.
  virtual HttpAnswerParts Write(Answer aAnswer) const = 0;
};

/// What an upstream's whole answer says of the call.
enum class UpstreamVerdict : std::uint8_t
{
  /// The answer to this call.
  Ran,
  /// The upstream says that it did not run the call, for want of room or time.
  Shed,
  /// Another upstream has the address; it did not run the call.
  OtherUpstream,
  /// No answer to this call, for example a late one to an earlier call.
  Unrelated,
};

/// Where a call is sent.
struct UpstreamEndpoint
{
  NetworkAddress m_address;
  /// Empty when the upstream did not name itself.
  UpstreamInstanceId m_instance;
};

/// How calls are put to an upstream and its answers are read.
class UpstreamDialect
{
public:
  virtual ~UpstreamDialect() = default;
  /// The request for the upstream. aCall.m_timeRemaining is what is left.
  virtual HttpRequestParts Write(const Call& aCall,
                                 const UpstreamEndpoint& aPlace) const = 0;
  /// Names who answered, in place of what the upstream may say of that.
  virtual void AddOrigin(const VmId& aVm,
                         const UpstreamVersion& aVersion,
                         HttpAnswerParts& aAnswer) const = 0;
  /// Judges a whole answer.
  virtual UpstreamVerdict Judge(const Call& aCall,
                                const HttpAnswerParts& aAnswer) const = 0;
};

/// The value of a header, or null. Precondition: names are in lower case.
const std::string*
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

/// The time that a header states in milliseconds. Anything but a whole number
/// counts as not given.
std::optional<Duration>
FindMilliseconds(const std::vector<HttpHeader>& aHeaders,
                 std::string_view aName);

/// \name Change headers; names are in lower case
/// \{
void
RemoveHeader(std::vector<HttpHeader>& aHeaders, std::string_view aName);
/// In place of all of that name.
void
SetHeader(std::vector<HttpHeader>& aHeaders,
          std::string_view aName,
          std::string aValue);
/// \}

/// An answer of text with a content type.
HttpAnswerParts
TextAnswer(std::uint16_t aStatus,
           std::string aBody,
           std::string aContentType = "text/plain; charset=utf-8");

} // namespace tarragontray
