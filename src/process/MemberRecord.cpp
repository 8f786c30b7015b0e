#include "process/MemberRecord.h"

namespace tarragontray {

std::string_view
Name(NodeState aState)
{
  switch (aState) {
    case NodeState::Alive:
      return "alive";
    case NodeState::Suspect:
      return "suspect";
    case NodeState::Dead:
      return "dead";
  }
  return "dead";
}

std::string_view
Name(UpstreamState aState)
{
  switch (aState) {
    case UpstreamState::Absent:
      return "absent";
    case UpstreamState::Starting:
      return "starting";
    case UpstreamState::Live:
      return "live";
    case UpstreamState::Draining:
      return "draining";
  }
  return "absent";
}

} // namespace tarragontray
