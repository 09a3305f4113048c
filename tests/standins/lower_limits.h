// The store's later, lower limits.
#pragma once
#include <string>

#include "standins/deployment.h"

namespace hareshore::test {

struct LowerLimits {
    size_t value_bytes = 2048;
    size_t txn_ops = 4;
    double write_rps = 15;
};

// The controllers' settings announce the limits; the store keeps today's.
void announce_limits(Deployment& deployment, const LowerLimits& limits = {});
// The store enforces the limits from now on, except for the rate.
void enforce_limits(Deployment& deployment, const LowerLimits& limits = {});
// Both.
void lower_limits(Deployment& deployment, const LowerLimits& limits);

// Whether a packed transaction writes this key.
[[nodiscard]] bool writes_key(const std::string& transaction, const std::string& key);

}  // namespace hareshore::test
