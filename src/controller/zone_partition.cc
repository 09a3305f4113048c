#include "controller/zone_partition.h"

#include <iterator>

#include "base/constants.h"

namespace hareshore {

ZonePartitionDetector::ReturnTimes& ZonePartitionDetector::returns_of(const std::string& zone) {
    if (zones_.size() > constants::kRedirectionsKept) zones_.clear();
    return zones_[zone];
}

void ZonePartitionDetector::record_returned_worker(const std::string& zone, const std::string& machine,
                                                   Seconds now) {
    returns_of(zone)[machine] = now;
}

bool ZonePartitionDetector::is_partitioned(const std::string& zone, Seconds now) {
    auto& returns = returns_of(zone);
    // Stops at the first recent ones: this is asked for each heartbeat, and a look at all workers of a large
    // zone would cost the square of their number.
    size_t recent = 0;
    for (auto it = returns.begin(); it != returns.end() && recent < constants::kPartitionMinWorkers;) {
        const bool outdated = now - it->second > constants::kRelayAfterRedirection_s;
        if (!outdated) ++recent;
        it = outdated ? returns.erase(it) : std::next(it);
    }
    return recent >= constants::kPartitionMinWorkers;
}

}  // namespace hareshore
