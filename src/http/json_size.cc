#include "http/json_size.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>

#include "http/msgpack.h"

namespace hareshore {

namespace {

constexpr size_t kEscape = 6;          // "\u001f"
constexpr size_t kSurrogatePair = 12;  // two escapes, for a code point above U+FFFF
constexpr size_t kEntrySeparator = 2;  // ", "
constexpr size_t kKeySeparator = 2;    // ": "
constexpr size_t kBrackets = 2;
constexpr size_t kQuotes = 2;

size_t object_json_size(const msgpack::object& value) {
    switch (value.type) {
        case msgpack::type::NIL:
            return std::string_view("null").size();
        case msgpack::type::BOOLEAN:
            return std::string_view(value.via.boolean ? "true" : "false").size();
        case msgpack::type::POSITIVE_INTEGER:
            return std::to_string(value.via.u64).size();
        case msgpack::type::NEGATIVE_INTEGER:
            return std::to_string(value.via.i64).size();
        case msgpack::type::FLOAT32:
        case msgpack::type::FLOAT64:
            return json_number_size(value.via.f64);
        case msgpack::type::STR:
            return json_text_size({value.via.str.ptr, value.via.str.size});
        case msgpack::type::ARRAY: {
            const msgpack::object_array& array = value.via.array;
            size_t size = kBrackets + kEntrySeparator * static_cast<size_t>(array.size);
            for (uint32_t i = 0; i < array.size; ++i) size += object_json_size(array.ptr[i]);
            return size;
        }
        case msgpack::type::MAP: {
            const msgpack::object_map& map = value.via.map;
            size_t size = kBrackets + (kEntrySeparator + kKeySeparator) * static_cast<size_t>(map.size);
            for (uint32_t i = 0; i < map.size; ++i)
                size += object_json_size(map.ptr[i].key) + object_json_size(map.ptr[i].val);
            return size;
        }
        default:
            return kUnboundedJsonSize;  // binary and extension types
    }
}

}  // namespace

size_t json_size(std::string_view packed) {
    std::optional<MsgpackDocument> document = MsgpackDocument::parse(packed);
    return document ? object_json_size(*document->root().raw()) : kUnboundedJsonSize;
}

size_t json_text_size(std::string_view text) {
    size_t size = kQuotes;
    for (char byte : text) {
        auto code = static_cast<unsigned char>(byte);
        // One branch per class of bytes in ascending order; two of them add the same size.
        if (code == '"' || code == '\\') {
            size += 2;
        } else if (code < 0x20 || code == 0x7f) {  // NOLINT(bugprone-branch-clone): see above
            size += kEscape;
        } else if (code < 0x80) {
            size += 1;
        } else if (code >= 0xf0) {
            size += kSurrogatePair;  // the lead byte of a UTF-8 sequence accounts for the whole sequence
        } else if (code >= 0xc0) {
            size += kEscape;
        }
    }
    return size;
}

size_t json_number_size(double number) {
    // The longer of scientific and fixed notation. Fixed notation is not used for larger numbers.
    constexpr double kLargestFixed = 1e17;
    char text[400];
    auto scientific = std::to_chars(text, text + sizeof text, number, std::chars_format::scientific);
    auto size = static_cast<size_t>(scientific.ptr - text);
    if (std::abs(number) < kLargestFixed) {
        auto fixed = std::to_chars(text, text + sizeof text, number, std::chars_format::fixed);
        size = std::max(size, static_cast<size_t>(fixed.ptr - text));
    }
    return size + std::string_view(".0").size();
}

}  // namespace hareshore
