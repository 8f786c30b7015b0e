#include "connection/PlatformSession.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "connection/EraHeader.h"
#include "connection/HttpClient.h"
#include "connection/PlatformMessages.h"
#include "connection/WatchClients.h"

namespace tarragontray {

namespace {

/// No key has this prefix; a list of it holds only the platform's revision.
constexpr std::string_view kUnusedPrefix = "revision/";

/// Step and peer of a call, for errors.
struct CallContext
{
  std::string m_step;
  std::string m_peer;
};

/// Converts a status other than 200 into an error.
Error
StatusError(const CallContext& aContext, const HttpAnswerParts& aAnswer)
{
  ErrorCode code = ErrorCode::Unavailable;
  switch (aAnswer.m_status) {
    case 400:
      code = ErrorCode::InvalidArgument;
      break;
    case 404:
      code = ErrorCode::NotFound;
      break;
    case 409:
      code = ErrorCode::Conflict;
      break;
    case 410:
      code = ErrorCode::HistoryGone;
      break;
    case 413:
      code = ErrorCode::TooLarge;
      break;
    default:
      break;
  }
  return { code,
           aContext.m_step,
           aContext.m_peer,
           "status " + std::to_string(aAnswer.m_status) };
}

Error
MalformedError(const CallContext& aContext)
{
  return { ErrorCode::Malformed,
           aContext.m_step + ".decode",
           aContext.m_peer,
           "the answer does not have the format of the object API" };
}

/// Returns std::nullopt also when the text holds an object with another key.
std::optional<PlatformObject>
DecodeObjectOf(const ObjectKey& aKey, std::string_view aText)
{
  auto object = DecodeObject(aText);
  return object && object->m_document.m_key == aKey ? std::move(object)
                                                    : std::nullopt;
}

/// Returns std::nullopt also when the text holds an object outside aPrefix.
std::optional<PlatformListing>
DecodeListingOf(const std::string& aPrefix, std::string_view aText)
{
  auto listing = DecodeListing(aText);
  if (!listing) {
    return std::nullopt;
  }
  for (const PlatformObject& object : listing->m_objects) {
    if (!object.m_document.m_key.Value().starts_with(aPrefix)) {
      return std::nullopt;
    }
  }
  return listing;
}

/// Puts a decoded revision into the platform's era; false when it does not fit.
bool
SetEra(Revision& aRevision, PlatformEra aEra)
{
  const auto revision = RevisionIn(aEra, aRevision.Value());
  aRevision = revision.value_or(aRevision);
  return revision.has_value();
}

bool
SetEra(PlatformObject& aObject, PlatformEra aEra)
{
  return SetEra(aObject.m_document.m_revision, aEra);
}

bool
SetEra(PlatformListing& aListing, PlatformEra aEra)
{
  return SetEra(aListing.m_revision, aEra) &&
         std::all_of(
           aListing.m_objects.begin(),
           aListing.m_objects.end(),
           [aEra](PlatformObject& aObject) { return SetEra(aObject, aEra); });
}

class Session final : public Platform
{
public:
  Session(boost::asio::io_context& aContext, PlatformSettings aSettings)
    : m_context(aContext)
    , m_settings(std::move(aSettings))
    , m_counters(m_settings.m_counters ? m_settings.m_counters
                                       : std::make_shared<PlatformCounters>())
    , m_calls(
        HttpClient::Create(aContext, ClientSettingsOf(m_settings, m_counters)))
    , m_watches(aContext,
                ClientSettingsOf(m_settings, m_counters),
                m_settings.m_maxWatches)
  {
  }

  void Read(ObjectKey aKey, Callback<PlatformObject> aDone) override
  {
    ++m_counters->m_reads;
    Call(
      *m_calls,
      ReadRequest(aKey),
      "platform.read",
      m_settings.m_timeout,
      [key = aKey](std::string_view aText) {
        return DecodeObjectOf(key, aText);
      },
      std::move(aDone));
  }

  void List(std::string aPrefix, Callback<PlatformListing> aDone) override
  {
    ++m_counters->m_lists;
    Call(
      *m_calls,
      ListRequest(aPrefix),
      "platform.list",
      m_settings.m_timeout,
      [prefix = aPrefix](std::string_view aText) {
        return DecodeListingOf(prefix, aText);
      },
      std::move(aDone));
  }

  void Write(PlatformWrite aWrite, Callback<Revision> aDone) override
  {
    ++m_counters->m_writes;
    if (aWrite.m_body.size() > kMaxObjectBody.Value()) {
      Refuse<Revision>({ ErrorCode::TooLarge,
                         "platform.write",
                         m_settings.m_address.ToString(),
                         "body of " + std::to_string(aWrite.m_body.size()) +
                           " bytes, maximum " +
                           std::to_string(kMaxObjectBody.Value()) },
                       std::move(aDone));
      return;
    }
    const bool isConditional =
      aWrite.m_expected.value_or(Revision(0)) > Revision(0);
    if (isConditional && EraOf(*aWrite.m_expected) < m_era) {
      Refuse<Revision>({ ErrorCode::Conflict,
                         "platform.write",
                         m_settings.m_address.ToString(),
                         "expects a revision of an earlier era" },
                       std::move(aDone));
      return;
    }
    Call(*m_calls,
         WriteRequest(aWrite),
         "platform.write",
         m_settings.m_timeout,
         DecodeRevision,
         std::move(aDone));
  }

  void Watch(std::string aPrefix,
             Revision aAfter,
             Duration aMaxWait,
             Callback<PlatformListing> aDone) override
  {
    ++m_counters->m_watches;
    HttpClient* client = m_watches.Idle();
    if (client == nullptr) {
      Refuse<PlatformListing>({ ErrorCode::Unavailable,
                                "platform.watch",
                                m_settings.m_address.ToString(),
                                "all " +
                                  std::to_string(m_settings.m_maxWatches) +
                                  " watches are waiting" },
                              std::move(aDone));
      return;
    }
    Call<PlatformListing>(
      *client,
      WatchRequest(aPrefix, aAfter, aMaxWait),
      "platform.watch",
      aMaxWait + m_settings.m_watchMargin,
      [prefix = aPrefix](std::string_view aText) {
        return DecodeListingOf(prefix, aText);
      },
      [this, aAfter, done = std::move(aDone)](
        const Result<PlatformListing>& aListing) {
        // The platform may hold a watch whose number it has given out again.
        if (aListing && EraOf(aListing.value().m_revision) != EraOf(aAfter)) {
          done(Error(ErrorCode::HistoryGone,
                     "platform.watch",
                     m_settings.m_address.ToString(),
                     "the platform was restored"));
        } else {
          done(aListing);
        }
      });
  }

  void ReadRevision(Callback<Revision> aDone) override
  {
    List(std::string(kUnusedPrefix),
         [done = std::move(aDone)](const Result<PlatformListing>& aListing) {
           done(aListing ? Result<Revision>(aListing.value().m_revision)
                         : Result<Revision>(aListing.error()));
         });
  }

  void DropWatches() override
  {
    m_watches.Drop();
    m_calls->DropIdleConnection();
  }
  ByteCount WatchedBytes() const override { return m_watches.BytesReceived(); }

private:
  template<typename T>
  using Decoder = std::function<std::optional<T>(std::string_view)>;

  template<typename T>
  void Refuse(Error aError, Callback<T> aDone)
  {
    m_counters->m_failures += aError.Code() == ErrorCode::Conflict ? 0 : 1;
    boost::asio::post(
      m_context,
      [error = std::move(aError), done = std::move(aDone)]() { done(error); });
  }

  template<typename T>
  void Call(HttpClient& aClient,
            HttpRequestParts aRequest,
            std::string aStep,
            Duration aTimeout,
            std::type_identity_t<Decoder<T>> aDecode,
            Callback<T> aDone)
  {
    CallContext context{ aStep, m_settings.m_address.ToString() };
    aClient.Send(
      { std::move(aRequest), std::move(aStep), aTimeout },
      [this,
       counters = m_counters,
       context = std::move(context),
       decode = std::move(aDecode),
       done = std::move(aDone)](Result<HttpAnswerParts> aAnswer) {
        if (aAnswer) {
          m_era = std::max(m_era, EraIn(aAnswer.value().m_headers, kEraHeader));
        }
        Result<T> result = Interpret<T>(context, aAnswer, decode);
        const bool isFailure = !result &&
                               result.error().Code() != ErrorCode::NotFound &&
                               result.error().Code() != ErrorCode::Conflict;
        counters->m_failures += isFailure ? 1 : 0;
        done(std::move(result));
      });
  }

  template<typename T>
  static Result<T> Interpret(const CallContext& aContext,
                             const Result<HttpAnswerParts>& aAnswer,
                             const Decoder<T>& aDecode)
  {
    if (!aAnswer) {
      return aAnswer.error();
    }
    if (aAnswer.value().m_status != 200) {
      return StatusError(aContext, aAnswer.value());
    }
    std::optional<T> value = aDecode(aAnswer.value().m_body);
    const PlatformEra era = EraIn(aAnswer.value().m_headers, kEraHeader);
    if (!value || !SetEra(*value, era)) {
      return MalformedError(aContext);
    }
    return std::move(*value);
  }

  boost::asio::io_context& m_context;
  const PlatformSettings m_settings;
  const std::shared_ptr<PlatformCounters> m_counters;
  const std::unique_ptr<HttpClient> m_calls;
  WatchClients m_watches;
  /// The latest era in any answer.
  PlatformEra m_era;
};

} // namespace

Result<std::unique_ptr<Platform>>
PlatformSession::Create(boost::asio::io_context& aContext,
                        PlatformSettings aSettings)
{
  const bool isValid = aSettings.m_address.IsSet() &&
                       aSettings.m_timeout > Duration::zero() &&
                       aSettings.m_watchMargin > Duration::zero();
  if (!isValid) {
    return Error(ErrorCode::InvalidArgument,
                 "platform.create",
                 aSettings.m_address.ToString(),
                 "the address must be set and both timeouts must be positive");
  }
  std::unique_ptr<Platform> session =
    std::make_unique<Session>(aContext, std::move(aSettings));
  return session;
}

} // namespace tarragontray
