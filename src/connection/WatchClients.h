/// \file
/// The connections of watches: one for each waiting watch, reused by later
/// watches. A watch is never sent twice.
///
///     HttpClient* client = watches.Idle();
///     if (client == nullptr) { ... the maximum of watches is waiting ... }
///
/// Thread safety: one thread, the one that runs the io_context.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

#include "connection/HttpClient.h"
#include "connection/PlatformSession.h"

namespace tarragontray {

/// Settings of the clients that call the platform's service; they count
/// requests that are sent again.
/// Precondition: aCounters is not null.
inline HttpClientSettings
ClientSettingsOf(const PlatformSettings& aSettings,
                 std::shared_ptr<PlatformCounters> aCounters)
{
  HttpClientSettings settings;
  settings.m_peer = aSettings.m_address;
  settings.m_maxBody = kMaxListing;
  settings.m_onResend = [counters = std::move(aCounters)] {
    ++counters->m_resent;
  };
  return settings;
}

/// See the file comment.
class WatchClients
{
public:
  /// \param aMaxWatches maximum number of watches that wait at the same time.
  WatchClients(boost::asio::io_context& aContext,
               const HttpClientSettings& aSettings,
               std::size_t aMaxWatches)
    : m_context(aContext)
    , m_settings(WithoutResends(aSettings))
    , m_maxWatches(aMaxWatches)
  {
  }

  /// A client on which no watch waits, or null at the maximum of watches.
  HttpClient* Idle()
  {
    for (const auto& client : m_clients) {
      if (client->IsIdle()) {
        return client.get();
      }
    }
    if (m_clients.size() >= m_maxWatches) {
      return nullptr;
    }
    return m_clients.emplace_back(HttpClient::Create(m_context, m_settings))
      .get();
  }

  /// Received bytes of the watches that have not been dropped, including the
  /// arrived part of an incomplete answer.
  ByteCount BytesReceived() const
  {
    ByteCount received;
    for (const auto& client : m_clients) {
      received += client->BytesReceived();
    }
    return received;
  }

  /// Cancels all watches without calling their callbacks.
  void Drop() { m_clients.clear(); }

private:
  /// A watch whose connection is closed may have missed changes, so its caller
  /// has to know of the failure.
  static HttpClientSettings WithoutResends(HttpClientSettings aSettings)
  {
    aSettings.m_resendsGet = false;
    return aSettings;
  }

  boost::asio::io_context& m_context;
  const HttpClientSettings m_settings;
  const std::size_t m_maxWatches;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
};

} // namespace tarragontray
