/// \file
/// How old this node's knowledge of the configuration may be, for the strict
/// revocation of API keys.
///
/// A confirmation says that at a time on this node's boot clock the store held
/// no configuration newer than a revision. It counts while the node uses that
/// revision or a newer one.
///
///     auto lease = FreshnessLease::Create(settings);
///     lease.value().SetUsed(revision);
///     lease.value().Confirm({ askedAt - age, confirmed });
///     if (!lease.value().IsFresh(clock.BootNow())) { refuse the call }
///
/// Thread safety: one thread for each instance.
#pragma once

#include <optional>

#include "base/Ids.h"
#include "base/Result.h"
#include "base/Units.h"

namespace tarragontray {

/// The store held no configuration newer than m_revision at m_asOf. The time of
/// a confirmation from another node is that at which it was asked for, minus
/// the age that it stated: this node may have been suspended in between.
struct Confirmation
{
  BootTime m_asOf{};
  Revision m_revision;

  bool operator==(const Confirmation&) const = default;
};

struct FreshnessSettings
{
  /// A call with an API key must not be served later than this after the store
  /// has acknowledged the removal of the key. 0: ages are not checked.
  Duration m_limit{ 0 };
  /// Reserve for the time between the check and the end of the call's way.
  Duration m_margin = std::chrono::milliseconds(250);
  /// Age from which on the nodes that read the store's revision are asked. With
  /// the 300 ms between two requests, an age stays below 1.75 s, so that a node
  /// serves for 3 s after it has lost the store if the limit is 5 s.
  Duration m_askReadersAfter = std::chrono::milliseconds(1200);
  /// The same at a coordinator. Lower by the time between two requests, so that
  /// the nodes that ask the coordinator rarely have to ask the readers.
  Duration m_coordinatorAsksAfter = std::chrono::milliseconds(900);
  /// Age from which on this node reads the store's revision itself.
  Duration m_readAfter = std::chrono::seconds(2);
};

/// See the file comment.
class FreshnessLease
{
public:
  /// Errors: InvalidArgument when the limit is set and not above the margin.
  static Result<FreshnessLease> Create(const FreshnessSettings& aSettings);

  /// Whether ages are checked at all.
  bool IsStrict() const { return m_settings.m_limit > Duration::zero(); }
  /// Sets the revision of the configuration in use; 0 for none.
  void SetUsed(Revision aRevision) { m_used = aRevision; }
  /// Adopts a confirmation if it counts and is newer than the last one.
  void Confirm(const Confirmation& aConfirmation);
  /// The age of the last confirmation; not set when there is none.
  std::optional<Duration> Age(BootTime aNow) const;
  /// Whether a call with an API key may be served.
  bool IsFresh(BootTime aNow) const;
  bool NeedsReaders(BootTime aNow, bool aIsCoordinator) const
  {
    return IsOlder(aIsCoordinator ? m_settings.m_coordinatorAsksAfter
                                  : m_settings.m_askReadersAfter,
                   aNow);
  }
  bool NeedsOwnRead(BootTime aNow) const
  {
    return IsOlder(m_settings.m_readAfter, aNow);
  }
  /// The last confirmation that counted.
  const std::optional<Confirmation>& Last() const { return m_last; }

private:
  explicit FreshnessLease(const FreshnessSettings& aSettings)
    : m_settings(aSettings)
  {
  }
  bool IsOlder(Duration aAge, BootTime aNow) const;

  FreshnessSettings m_settings;
  Revision m_used;
  std::optional<Confirmation> m_last;
};

} // namespace tarragontray
