#include "standins/lower_limits.h"

#include <algorithm>

namespace hareshore::test {

void announce_limits(Deployment& deployment, const LowerLimits& limits) {
    for (auto& config : deployment.configs) {
        config.next_value_bytes = limits.value_bytes;
        config.txn_ops = std::min(config.txn_ops, limits.txn_ops);
        config.write_rps = std::min(config.write_rps, limits.write_rps);
    }
    deployment.store.value_bytes = deployment.config(0).value_bytes;
}

void enforce_limits(Deployment& deployment, const LowerLimits& limits) {
    deployment.store.value_bytes = limits.value_bytes;
    deployment.store.txn_ops = limits.txn_ops;
}

void lower_limits(Deployment& deployment, const LowerLimits& limits) {
    announce_limits(deployment, limits);
    enforce_limits(deployment, limits);
}

bool writes_key(const std::string& transaction, const std::string& key) {
    auto message = MsgpackDocument::parse(transaction);
    MsgpackValue writes = message->root()["writes"];
    for (size_t i = 0; i < writes.size(); ++i)
        if (writes.at(i)["put"].text_or("") == key) return true;
    return false;
}

}  // namespace hareshore::test
