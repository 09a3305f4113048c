#include "jobs/record_format.h"

#include "base/constants.h"
#include "base/log.h"

namespace hareshore {

std::string pack_record_format(uint64_t record_format) {
    MsgpackWriter packer;
    packer.map(1).key("v").count(record_format);
    return packer.take();
}

std::optional<uint64_t> unpack_record_format(const std::string& packed) {
    auto message = MsgpackDocument::parse(packed);
    auto format = message ? message->root()["v"].count() : std::nullopt;
    return format && *format > 0 ? format : std::nullopt;
}

bool reads_record_format(const std::string& packed) {
    auto format = unpack_record_format(packed);
    return format && *format <= kNewestRecordFormat;
}

Task<bool> refresh_record_format(StoreClient& store, RecordFormat& record_format) {
    GetResult read = co_await store.get(kRecordFormatKey, constants::kStoreCallTimeout_s);
    if (read.status == StoreStatus::kNotFound) co_return true;
    if (read.status != StoreStatus::kOk) co_return false;
    if (!record_format.stored) co_return true;  // once unreadable, it stays so in this process
    auto format = unpack_record_format(read.entry.data);
    if (format && *format <= *record_format.stored) co_return true;
    record_format.stored = format;
    if (!format) {
        log::error("record_format_unknown", {{"reason", "unreadable"}});
    } else if (record_format.unsupported()) {
        log::error("record_format_unknown", {{"format", *format}});
    } else {
        log::info("record_format", {{"format", *format}});
    }
    co_return true;
}

}  // namespace hareshore
