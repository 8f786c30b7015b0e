/// \file
/// The native HTTP conventions of the project (docs/PROTOCOLS.md).
///
/// Thread safety: immutable; any thread.
#pragma once

#include "request/HttpDialect.h"

namespace tarragontray {

/// Reads x-client-account, idempotency-key and x-time-remaining-ms; writes
/// x-outcome and x-reason.
class NativeCallerDialect : public CallerDialect
{
public:
  Result<CallerRequest> Read(const HttpRequestParts& aRequest) const override;
  HttpAnswerParts Reject(const Error& aError) const override;
  HttpAnswerParts Write(Answer aAnswer) const override;
};

/// Writes x-operation-id, x-client-account, x-time-remaining-ms and x-attempt;
/// reads x-not-run.
class NativeUpstreamDialect final : public UpstreamDialect
{
public:
  HttpRequestParts Write(const Call& aCall,
                         const UpstreamEndpoint& aEndpoint) const override;
  void AddOrigin(const VmId& aVm,
                 const UpstreamVersion& aVersion,
                 HttpAnswerParts& aAnswer) const override;
  UpstreamVerdict Judge(const Call& aCall,
                        const HttpAnswerParts& aAnswer) const override;
};

} // namespace tarragontray
