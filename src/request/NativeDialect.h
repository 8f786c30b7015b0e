/// \file
/// The project's own headers and statuses (docs/PROTOCOLS.md).
///
/// Thread safety: immutable; any thread.
#pragma once

#include "request/HttpDialect.h"

namespace tarragontray {

/// x-client-account, idempotency-key, x-time-remaining-ms; x-outcome, x-reason.
class NativeCallerDialect final : public CallerDialect
{
public:
  Result<CallerRequest> Read(const HttpRequestParts& aRequest) const override;
  HttpAnswerParts Reject(const Error& aError) const override;
  HttpAnswerParts Write(Answer aAnswer) const override;
};

/// x-operation-id, x-client-account, x-time-remaining-ms, x-attempt; x-not-run.
class NativeUpstreamDialect final : public UpstreamDialect
{
public:
  HttpRequestParts Write(const Call& aCall,
                         const UpstreamEndpoint& aPlace) const override;
  void AddOrigin(const VmId& aVm,
                 const UpstreamVersion& aVersion,
                 HttpAnswerParts& aAnswer) const override;
  UpstreamVerdict Judge(const Call& aCall,
                        const HttpAnswerParts& aAnswer) const override;
};

} // namespace tarragontray
