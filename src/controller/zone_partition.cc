#include "controller/zone_partition.h"

#include <iterator>

#include "base/constants.h"

namespace hareshore {

ZonePartitionDetector::FailureTimes& ZonePartitionDetector::failed_redirects_in(const std::string& zone) {
    if (zones_.size() > constants::kRedirectionsKept) zones_.clear();
    return zones_[zone];
}

void ZonePartitionDetector::record_failed_redirect(const std::string& zone, const std::string& machine,
                                                   Seconds now) {
    failed_redirects_in(zone)[machine] = now;
}

bool ZonePartitionDetector::is_partitioned(const std::string& zone, Seconds now) {
    auto& failed_redirects = failed_redirects_in(zone);
    // Stops as soon as enough recent ones are found: this runs for each heartbeat, and scanning all workers
    // of a large zone each time would be quadratic in their number.
    size_t recent = 0;
    for (auto entry = failed_redirects.begin();
         entry != failed_redirects.end() && recent < constants::kPartitionMinWorkers;) {
        const bool outdated = now - entry->second > constants::kRelayAfterRedirection_s;
        if (!outdated) ++recent;
        entry = outdated ? failed_redirects.erase(entry) : std::next(entry);
    }
    return recent >= constants::kPartitionMinWorkers;
}

}  // namespace hareshore
