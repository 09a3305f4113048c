#include "jobs/record_format.h"

#include <algorithm>

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

std::string pack_record_format(uint64_t record_format) {
    MsgpackWriter p;
    p.map(1).key("v").count(record_format);
    return p.take();
}

uint64_t unpack_record_format(const std::string& packed) {
    auto m = MsgpackDocument::parse(packed);
    auto v = m ? m->root()["v"].count() : std::nullopt;
    return v && *v > 0 ? *v : UINT64_MAX;
}

Task<bool> learn_record_format(StoreClient& state, RecordFormat& record_format) {
    GetResult got = co_await state.get(kRecordFormatKey, constants::kStoreCallTimeout_s);
    if (got.status == StoreStatus::kNotFound) co_return true;
    if (got.status != StoreStatus::kOk) co_return false;
    uint64_t v = unpack_record_format(got.entry.data);
    if (v > record_format.kept) {
        record_format.kept = v;
        if (record_format.newer()) {
            log::error("record_format_unknown", {{"format", v}});
        } else {
            log::info("record_format", {{"format", v}});
        }
    }
    co_return true;
}

}  // namespace hareshore
