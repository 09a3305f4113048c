#include "http/msgpack.h"

#include <algorithm>
#include <charconv>

#include "base/constants.h"

namespace hareshore {

using msgpack::type::object_type;

MsgpackValue MsgpackValue::operator[](std::string_view key) const {
    if (!is_map()) return {};
    const auto& m = o_->via.map;
    for (uint32_t i = 0; i < m.size; ++i) {
        const auto& k = m.ptr[i].key;
        if (k.type == msgpack::type::STR && std::string_view(k.via.str.ptr, k.via.str.size) == key)
            return MsgpackValue(m.ptr[i].val);
    }
    return {};
}

std::optional<std::string> MsgpackValue::text() const {
    if (!o_ || o_->type != msgpack::type::STR) return std::nullopt;
    return std::string(o_->via.str.ptr, o_->via.str.size);
}

std::optional<double> MsgpackValue::number() const {
    if (!o_) return std::nullopt;
    switch (o_->type) {
        case msgpack::type::POSITIVE_INTEGER:
            return static_cast<double>(o_->via.u64);
        case msgpack::type::NEGATIVE_INTEGER:
            return static_cast<double>(o_->via.i64);
        case msgpack::type::FLOAT32:
        case msgpack::type::FLOAT64:
            if (!std::isfinite(o_->via.f64)) return std::nullopt;
            return o_->via.f64;
        default:
            return std::nullopt;
    }
}

std::optional<uint64_t> MsgpackValue::count() const {
    if (!o_) return std::nullopt;
    if (o_->type == msgpack::type::POSITIVE_INTEGER) return o_->via.u64;
    auto d = number();
    if (!d || *d < 0 || *d > static_cast<double>(constants::kMaxExactInteger) || *d != std::floor(*d))
        return std::nullopt;
    return static_cast<uint64_t>(*d);
}

std::optional<bool> MsgpackValue::flag() const {
    if (!o_ || o_->type != msgpack::type::BOOLEAN) return std::nullopt;
    return o_->via.boolean;
}

std::optional<MsgpackDocument> MsgpackDocument::parse(std::string_view bytes) {
    // The limits keep a short message from asking for much memory.
    size_t n = bytes.size();
    msgpack::unpack_limit limit(n, n, n, n, n, constants::kMessagePackNestingLimit);
    try {
        MsgpackDocument m;
        size_t used = 0;
        m.handle_ = msgpack::unpack(bytes.data(), n, used, nullptr, nullptr, limit);
        if (used != n) return std::nullopt;
        return m;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

MsgpackWriter& MsgpackWriter::map(size_t n) {
    packer_.pack_map(static_cast<uint32_t>(n));
    return *this;
}
MsgpackWriter& MsgpackWriter::list(size_t n) {
    packer_.pack_array(static_cast<uint32_t>(n));
    return *this;
}
MsgpackWriter& MsgpackWriter::text(std::string_view s) {
    packer_.pack_str(static_cast<uint32_t>(s.size()));
    packer_.pack_str_body(s.data(), static_cast<uint32_t>(s.size()));
    return *this;
}
MsgpackWriter& MsgpackWriter::count(uint64_t n) {
    packer_.pack_uint64(n);
    return *this;
}
MsgpackWriter& MsgpackWriter::number(double d) {
    packer_.pack_double(d);
    return *this;
}
MsgpackWriter& MsgpackWriter::flag(bool b) {
    b ? packer_.pack_true() : packer_.pack_false();
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
    std::string s(buffer_.data(), buffer_.size());
    buffer_.clear();
    return s;
}

}  // namespace hareshore
