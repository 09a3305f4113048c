#include "http/msgpack.h"

#include "base/constants.h"

namespace hareshore {

MsgpackValue MsgpackValue::operator[](std::string_view key) const {
    if (!is_map()) return {};
    const msgpack::object_map& map = object_->via.map;
    for (uint32_t index = 0; index < map.size; ++index) {
        const msgpack::object& candidate = map.ptr[index].key;
        if (candidate.type == msgpack::type::STR &&
            std::string_view(candidate.via.str.ptr, candidate.via.str.size) == key)
            return MsgpackValue(map.ptr[index].val);
    }
    return {};
}

std::optional<std::string> MsgpackValue::text() const {
    if (!object_ || object_->type != msgpack::type::STR) return std::nullopt;
    return std::string(object_->via.str.ptr, object_->via.str.size);
}

std::optional<double> MsgpackValue::number() const {
    if (!object_) return std::nullopt;
    switch (object_->type) {
        case msgpack::type::POSITIVE_INTEGER:
            return static_cast<double>(object_->via.u64);
        case msgpack::type::NEGATIVE_INTEGER:
            return static_cast<double>(object_->via.i64);
        case msgpack::type::FLOAT32:
        case msgpack::type::FLOAT64:
            if (!std::isfinite(object_->via.f64)) return std::nullopt;
            return object_->via.f64;
        default:
            return std::nullopt;
    }
}

std::optional<uint64_t> MsgpackValue::count() const {
    if (!object_) return std::nullopt;
    if (object_->type == msgpack::type::POSITIVE_INTEGER) return object_->via.u64;
    std::optional<double> decimal = number();
    if (!decimal || *decimal < 0) return std::nullopt;
    if (*decimal > static_cast<double>(constants::kMaxExactInteger)) return std::nullopt;
    if (*decimal != std::floor(*decimal)) return std::nullopt;
    return static_cast<uint64_t>(*decimal);
}

std::optional<bool> MsgpackValue::flag() const {
    if (!object_ || object_->type != msgpack::type::BOOLEAN) return std::nullopt;
    return object_->via.boolean;
}

std::optional<MsgpackDocument> MsgpackDocument::parse(std::string_view bytes) {
    // No list, map, string or extension can have more entries than the message has bytes, so a short message
    // cannot cause a large allocation.
    size_t size = bytes.size();
    msgpack::unpack_limit limit(size, size, size, size, size, constants::kMessagePackNestingLimit);
    try {
        MsgpackDocument document;
        size_t used = 0;
        document.handle_ = msgpack::unpack(bytes.data(), size, used, nullptr, nullptr, limit);
        if (used != size) return std::nullopt;
        return document;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

MsgpackWriter& MsgpackWriter::map(size_t entries) {
    packer_.pack_map(static_cast<uint32_t>(entries));
    return *this;
}

MsgpackWriter& MsgpackWriter::list(size_t entries) {
    packer_.pack_array(static_cast<uint32_t>(entries));
    return *this;
}

MsgpackWriter& MsgpackWriter::text(std::string_view value) {
    packer_.pack_str(static_cast<uint32_t>(value.size()));
    packer_.pack_str_body(value.data(), static_cast<uint32_t>(value.size()));
    return *this;
}

MsgpackWriter& MsgpackWriter::count(uint64_t value) {
    packer_.pack_uint64(value);
    return *this;
}

MsgpackWriter& MsgpackWriter::number(double value) {
    packer_.pack_double(value);
    return *this;
}

MsgpackWriter& MsgpackWriter::flag(bool value) {
    value ? packer_.pack_true() : packer_.pack_false();
    return *this;
}

MsgpackWriter& MsgpackWriter::null() {
    packer_.pack_nil();
    return *this;
}

MsgpackWriter& MsgpackWriter::raw(std::string_view packed) {
    buffer_.write(packed.data(), packed.size());
    return *this;
}

std::string MsgpackWriter::take() {
    std::string packed(buffer_.data(), buffer_.size());
    buffer_.clear();
    return packed;
}

}  // namespace hareshore
