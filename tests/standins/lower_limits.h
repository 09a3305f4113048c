// Lowers the limits of the key-value store at run time.
#pragma once
#include <string>

#include "standins/deployment.h"

namespace hareshore::test {

struct LowerLimits {
    size_t value_bytes = 2048;
    size_t txn_ops = 4;
    double write_rps = 15;
};

// Announces the limits in the controllers' settings while the store still enforces the previous ones.
void announce_limits(Deployment& deployment, const LowerLimits& limits = {});
// Makes the store enforce the limits on value and transaction sizes, but not the write rate.
void enforce_limits(Deployment& deployment, const LowerLimits& limits = {});
// Announces and enforces the limits.
void lower_limits(Deployment& deployment, const LowerLimits& limits);

// Returns whether a packed transaction writes this key.
[[nodiscard]] bool writes_key(const std::string& transaction, const std::string& key);

}  // namespace hareshore::test
