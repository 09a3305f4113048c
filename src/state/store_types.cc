#include "state/store_types.h"

#include <utility>

namespace hareshore {

Transaction& Transaction::expect_revision(std::string key, Revision mod_revision) {
    conditions.push_back({std::move(key), mod_revision});
    return *this;
}

Transaction& Transaction::expect_absent(std::string key) {
    return expect_revision(std::move(key), kAbsentRevision);
}

Transaction& Transaction::put(std::string key, std::string data) {
    writes.push_back({std::move(key), std::move(data), std::nullopt});
    return *this;
}

Transaction& Transaction::put(std::string key, std::string data, LeaseId lease) {
    writes.push_back({std::move(key), std::move(data), lease});
    return *this;
}

Transaction& Transaction::delete_key(std::string key) {
    writes.push_back({std::move(key), std::nullopt, std::nullopt});
    return *this;
}

}  // namespace hareshore
