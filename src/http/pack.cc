#include "http/pack.h"

#include <algorithm>
#include <charconv>

#include "base/constants.h"

namespace hareshore {

using msgpack::type::object_type;

Node Node::operator[](std::string_view key) const {
    if (!is_map()) return {};
    const auto& m = o_->via.map;
    for (uint32_t i = 0; i < m.size; ++i) {
        const auto& k = m.ptr[i].key;
        if (k.type == msgpack::type::STR && std::string_view(k.via.str.ptr, k.via.str.size) == key)
            return Node(m.ptr[i].val);
    }
    return {};
}

std::optional<std::string> Node::text() const {
    if (!o_ || o_->type != msgpack::type::STR) return std::nullopt;
    return std::string(o_->via.str.ptr, o_->via.str.size);
}

std::optional<double> Node::number() const {
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

std::optional<uint64_t> Node::count() const {
    if (!o_) return std::nullopt;
    if (o_->type == msgpack::type::POSITIVE_INTEGER) return o_->via.u64;
    auto d = number();
    if (!d || *d < 0 || *d > static_cast<double>(constants::kMaxCount) || *d != std::floor(*d))
        return std::nullopt;
    return static_cast<uint64_t>(*d);
}

std::optional<bool> Node::flag() const {
    if (!o_ || o_->type != msgpack::type::BOOLEAN) return std::nullopt;
    return o_->via.boolean;
}

std::optional<Message> Message::parse(std::string_view bytes) {
    // The limits keep a short message from asking for much memory.
    size_t n = bytes.size();
    msgpack::unpack_limit limit(n, n, n, n, n, constants::kNesting);
    try {
        Message m;
        size_t used = 0;
        m.handle_ = msgpack::unpack(bytes.data(), n, used, nullptr, nullptr, limit);
        if (used != n) return std::nullopt;
        return m;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

size_t json_text_size(std::string_view text) {
    size_t n = 2;
    for (char byte : text) {
        auto c = static_cast<unsigned char>(byte);
        // One branch for each class of bytes, in order: hence two that add the same.
        if (c == '"' || c == '\\') {
            n += 2;
        } else if (c < 0x20 || c == 0x7f) {  // NOLINT(bugprone-branch-clone): see above
            n += 6;
        } else if (c < 0x80) {
            n += 1;
        } else if (c >= 0xf0) {
            n += 12;  // the first of a code point's bytes counts for all: a pair of \u escapes
        } else if (c >= 0xc0) {
            n += 6;
        }
    }
    return n;
}

size_t json_number_size(double d) {
    // The longer of the usual ways to write it.
    char text[400];
    auto shortest = std::to_chars(text, text + sizeof text, d, std::chars_format::scientific);
    auto n = static_cast<size_t>(shortest.ptr - text);
    if (std::abs(d) < 1e17) {
        auto fixed = std::to_chars(text, text + sizeof text, d, std::chars_format::fixed);
        n = std::max(n, static_cast<size_t>(fixed.ptr - text));
    }
    return n + 2;  // ".0"
}

namespace {

size_t json_size(const msgpack::object& o) {
    switch (o.type) {
        case msgpack::type::NIL:
            return 4;
        case msgpack::type::BOOLEAN:
            return o.via.boolean ? 4 : 5;
        case msgpack::type::POSITIVE_INTEGER:
            return std::to_string(o.via.u64).size();
        case msgpack::type::NEGATIVE_INTEGER:
            return std::to_string(o.via.i64).size();
        case msgpack::type::FLOAT32:
        case msgpack::type::FLOAT64:
            return json_number_size(o.via.f64);
        case msgpack::type::STR:
            return json_text_size({o.via.str.ptr, o.via.str.size});
        case msgpack::type::ARRAY: {
            size_t n = 2 + 2 * static_cast<size_t>(o.via.array.size);
            for (uint32_t i = 0; i < o.via.array.size; ++i) n += json_size(o.via.array.ptr[i]);
            return n;
        }
        case msgpack::type::MAP: {
            size_t n = 2 + 4 * static_cast<size_t>(o.via.map.size);
            for (uint32_t i = 0; i < o.via.map.size; ++i)
                n += json_size(o.via.map.ptr[i].key) + json_size(o.via.map.ptr[i].val);
            return n;
        }
        default:
            return SIZE_MAX / 4;  // nothing that we write
    }
}

}  // namespace

size_t json_size(std::string_view packed) {
    auto m = Message::parse(packed);
    return m ? json_size(*m->root().raw()) : SIZE_MAX / 4;
}

Packer& Packer::map(size_t n) {
    packer_.pack_map(static_cast<uint32_t>(n));
    return *this;
}
Packer& Packer::list(size_t n) {
    packer_.pack_array(static_cast<uint32_t>(n));
    return *this;
}
Packer& Packer::text(std::string_view s) {
    packer_.pack_str(static_cast<uint32_t>(s.size()));
    packer_.pack_str_body(s.data(), static_cast<uint32_t>(s.size()));
    return *this;
}
Packer& Packer::count(uint64_t n) {
    packer_.pack_uint64(n);
    return *this;
}
Packer& Packer::number(double d) {
    packer_.pack_double(d);
    return *this;
}
Packer& Packer::flag(bool b) {
    b ? packer_.pack_true() : packer_.pack_false();
    return *this;
}
Packer& Packer::null() {
    packer_.pack_nil();
    return *this;
}
Packer& Packer::raw(std::string_view packed) {
    buffer_.write(packed.data(), packed.size());
    return *this;
}
std::string Packer::take() {
    std::string s(buffer_.data(), buffer_.size());
    buffer_.clear();
    return s;
}

}  // namespace hareshore
