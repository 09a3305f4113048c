#include "config/config.h"

#include <algorithm>

#include "base/constants.h"
#include "config/text_file.h"

namespace hareshore {

namespace {

// The first record format that is written only by versions that obey the announced limits.
constexpr uint64_t kFirstFormatWithinNextLimit = 2;

}  // namespace

const Team* Config::team(const std::string& name) const {
    auto found =
        std::find_if(teams.begin(), teams.end(), [&](const Team& team) { return team.name == name; });
    return found == teams.end() ? nullptr : &*found;
}

size_t Config::value_limit(uint64_t record_format) const {
    // A record must also fit into one transaction.
    size_t limit = std::min(value_bytes, constants::kTransactionBytes);
    return record_format < kFirstFormatWithinNextLimit ? limit : std::min(limit, next_value_bytes);
}

Seconds Config::certain_lease_expiry_s() const {
    return lease_s * (1 + constants::kClockDriftRate) + constants::kLeaseExpiryMargin_s;
}

Config Config::load(const std::string& path) {
    return parse(read_text_file(path));
}

}  // namespace hareshore
