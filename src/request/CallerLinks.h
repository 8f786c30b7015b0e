/// \file
/// Maps the waiting calls of each link to the tickets of a guard.
///
///     links.Add({ link, callId }, ticket);
///     std::optional<Ticket> ticket = links.Find({ link, callId });
///     links.Remove({ link, callId });
///
/// Thread safety: one thread.
#pragma once

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/Ids.h"
#include "request/AdmissionPolicy.h"

namespace tarragontray {

/// Identifies the link that a call arrived on. Assigned by the driver and never
/// reused.
using CallerLink = Amount<struct CallerLinkTag>;

/// A call that is waiting for its answer on a link.
struct Waiter
{
  CallerLink m_link;
  CallId m_call;

  bool operator==(const Waiter&) const = default;
};

class CallerLinks
{
public:
  void Add(const Waiter& aWaiter, Ticket aTicket)
  {
    m_links[aWaiter.m_link][aWaiter.m_call] = aTicket;
  }
  std::optional<Ticket> Find(const Waiter& aWaiter) const
  {
    const auto link = m_links.find(aWaiter.m_link);
    if (link == m_links.end()) {
      return std::nullopt;
    }
    const auto call = link->second.find(aWaiter.m_call);
    return call == link->second.end() ? std::nullopt
                                      : std::optional<Ticket>(call->second);
  }
  void Remove(const Waiter& aWaiter)
  {
    const auto link = m_links.find(aWaiter.m_link);
    if (link == m_links.end()) {
      return;
    }
    link->second.erase(aWaiter.m_call);
    if (link->second.empty()) {
      m_links.erase(link);
    }
  }
  /// All waiting calls of a link.
  std::vector<std::pair<Waiter, Ticket>> Of(CallerLink aLink) const
  {
    std::vector<std::pair<Waiter, Ticket>> waiters;
    const auto link = m_links.find(aLink);
    if (link != m_links.end()) {
      for (const auto& [call, ticket] : link->second) {
        waiters.emplace_back(Waiter{ aLink, call }, ticket);
      }
    }
    return waiters;
  }

private:
  std::unordered_map<CallerLink, std::unordered_map<CallId, Ticket>> m_links;
};

} // namespace tarragontray
