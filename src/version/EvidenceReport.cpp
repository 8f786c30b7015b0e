#include "version/EvidenceReport.h"

#include <algorithm>
#include <cmath>

namespace tarragontray {

namespace {

constexpr double kFirstLimitSeconds = 250e-6;

} // namespace

std::size_t
LatencyBucket(Duration aLatency)
{
  const double seconds = std::chrono::duration<double>(aLatency).count();
  if (seconds < kFirstLimitSeconds) {
    return 0;
  }
  const double steps = 2.0 * std::log2(seconds / kFirstLimitSeconds);
  return std::min(static_cast<std::size_t>(steps) + 1, kLatencyBuckets - 1);
}

Duration
LatencyBucketLimit(std::size_t aBucket)
{
  const double seconds =
    kFirstLimitSeconds * std::exp2(static_cast<double>(aBucket) / 2.0);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(seconds));
}

} // namespace tarragontray
