/// \file
/// Interfaces for the HTTP conventions of callers and upstreams: header names
/// and the meaning of statuses. Decision code depends on neither.
///
///     Result<CallerRequest> request = callers.Read(http);
///     ... run the call ...
///     HttpAnswerParts answer = callers.Write(std::move(ended));
///
/// NativeDialect (request/NativeDialect.h) implements the conventions of
/// docs/PROTOCOLS.md.
///
/// Thread safety: dialects are immutable; any thread may use them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/ApiKey.h"
#include "base/Ids.h"
#include "base/NetworkAddress.h"
#include "base/Result.h"
#include "base/Units.h"
#include "request/Call.h"

namespace tarragontray {

/// How a caller identifies itself.
struct CallerCredential
{
  enum class Kind : std::uint8_t
  {
    Absent,
    /// Several credentials, another scheme, or one that is too long.
    Unusable,
    ApiKey,
  };

  Kind m_kind = Kind::Absent;
  /// With ApiKey.
  ApiKeyDigest m_key{};
};

/// Routing and delivery fields read from a caller's request.
struct CallerRequest
{
  /// The account whose configuration routes the call; empty when the request
  /// names none.
  ClientAccountId m_account;
  /// Selects among routes that are bound to a host.
  std::string m_host;
  /// When empty, the node generates an id.
  OperationId m_operation;
  /// m_operation is the caller's idempotency key; the caller may repeat it.
  bool m_isCallerKey = false;
  /// How long the caller will wait; when not set, the route's timeout applies.
  std::optional<Duration> m_timeRemaining;
  CallerCredential m_credential;
};

/// Reads the requests of callers and writes their answers.
class CallerDialect
{
public:
  virtual ~CallerDialect() = default;
  /// Precondition: header names of aRequest are in lower case.
  /// Errors: InvalidArgument for a request that must not be run.
  virtual Result<CallerRequest> Read(
    const HttpRequestParts& aRequest) const = 0;
  /// Replaces the caller's credential in a request by the name of its account,
  /// for the upstream. Called when the configuration identifies its callers.
  /// \param aAccount empty for an anonymous call.
  virtual void Identify(const ClientAccountId& /*aAccount*/,
                        HttpRequestParts& /*aRequest*/) const
  {
  }
  /// The answer to a request that Read rejected.
  virtual HttpAnswerParts Reject(const Error& aError) const = 0;
  /// The answer to a completed call.
  virtual HttpAnswerParts Write(Answer aAnswer) const = 0;
};

/// How a complete answer of an upstream relates to the call.
enum class UpstreamVerdict : std::uint8_t
{
  /// The upstream ran the call and this is its answer.
  Ran,
  /// The upstream states that it did not run the call, for lack of capacity or
  /// time.
  Shed,
  /// A different upstream listens at the address; it did not run the call.
  OtherUpstream,
  /// Not an answer to this call, for example a late answer to an earlier one.
  Unrelated,
};

/// The upstream that a call is sent to.
struct UpstreamEndpoint
{
  NetworkAddress m_address;
  /// Empty when the upstream announced no instance id.
  UpstreamInstanceId m_instance;

  bool operator==(const UpstreamEndpoint&) const = default;
};

/// Writes the requests to an upstream and reads its answers.
class UpstreamDialect
{
public:
  virtual ~UpstreamDialect() = default;
  /// The request for the upstream. aCall.m_timeRemaining is the time left now.
  virtual HttpRequestParts Write(const Call& aCall,
                                 const UpstreamEndpoint& aEndpoint) const = 0;
  /// Adds the VM and version that answered. Removes headers of these names that
  /// the upstream set.
  virtual void AddOrigin(const VmId& aVm,
                         const UpstreamVersion& aVersion,
                         HttpAnswerParts& aAnswer) const = 0;
  /// Classifies a complete answer.
  virtual UpstreamVerdict Judge(const Call& aCall,
                                const HttpAnswerParts& aAnswer) const = 0;
  /// Reads what the upstream states about itself in a complete answer of its
  /// own. A value that can't be read counts as absent.
  virtual UpstreamNotice ReadNotice(const HttpAnswerParts& /*aAnswer*/) const
  {
    return {};
  }
};

/// The value of a header, or null when it is absent. Precondition: header names
/// are in lower case.
const std::string*
FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

/// The value of a header in milliseconds. Not set when the header is absent or
/// doesn't start with an unsigned number.
std::optional<Duration>
FindMilliseconds(const std::vector<HttpHeader>& aHeaders,
                 std::string_view aName);

/// \name Modify headers; header names are in lower case
/// \{
void
RemoveHeader(std::vector<HttpHeader>& aHeaders, std::string_view aName);
/// Replaces all headers of that name.
void
SetHeader(std::vector<HttpHeader>& aHeaders,
          std::string_view aName,
          std::string aValue);
/// \}

/// An answer with a text body and a content type.
HttpAnswerParts
TextAnswer(std::uint16_t aStatus,
           std::string aBody,
           std::string aContentType = "text/plain; charset=utf-8");

} // namespace tarragontray
