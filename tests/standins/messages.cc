#include "standins/messages.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string_view>

namespace hareshore::test {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;

std::string json_of(const msgpack::object& value);

std::string json_string(std::string_view text) {
    std::string json = "\"";
    for (char character : text) {
        if (static_cast<unsigned char>(character) < kFirstPrintable) {
            json += fmt::format("\\u{:04x}", character);
            continue;
        }
        if (character == '"' || character == '\\') json += '\\';
        json += character;
    }
    return json + '"';
}

std::string json_array(const msgpack::object_array& array) {
    std::string json = "[";
    for (uint32_t i = 0; i < array.size; ++i) {
        if (i > 0) json += ',';
        json += json_of(array.ptr[i]);
    }
    return json + ']';
}

std::string json_map(const msgpack::object_map& map) {
    std::string json = "{";
    for (uint32_t i = 0; i < map.size; ++i) {
        if (i > 0) json += ',';
        json += json_of(map.ptr[i].key);
        json += ':';
        json += json_of(map.ptr[i].val);
    }
    return json + '}';
}

std::string json_of(const msgpack::object& value) {
    switch (value.type) {
        case msgpack::type::NIL:
            return "null";
        case msgpack::type::BOOLEAN:
            return value.via.boolean ? "true" : "false";
        case msgpack::type::POSITIVE_INTEGER:
            return std::to_string(value.via.u64);
        case msgpack::type::NEGATIVE_INTEGER:
            return std::to_string(value.via.i64);
        case msgpack::type::FLOAT32:
        case msgpack::type::FLOAT64:
            return fmt::format("{}", value.via.f64);
        case msgpack::type::STR:
            return json_string({value.via.str.ptr, value.via.str.size});
        case msgpack::type::ARRAY:
            return json_array(value.via.array);
        case msgpack::type::MAP:
            return json_map(value.via.map);
        default:
            ADD_FAILURE() << "the MessagePack type has no JSON form";
            return "";
    }
}

}  // namespace

std::string json_text(const std::string& packed) {
    auto message = MsgpackDocument::parse(packed);
    return message ? json_of(*message->root().raw()) : "";
}

std::string repack(const MsgpackValue& node) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, *node.raw());
    return {buffer.data(), buffer.size()};
}

std::string packed_text(const std::string& text) {
    return MsgpackWriter().text(text).take();
}

std::string packed_number(double number) {
    return MsgpackWriter().number(number).take();
}

std::string packed_count(uint64_t count) {
    return MsgpackWriter().count(count).take();
}

std::string packed_flag(bool flag) {
    return MsgpackWriter().flag(flag).take();
}

std::string packed_null() {
    return MsgpackWriter().null().take();
}

std::string query_value(const Request& request, const std::string& name) {
    auto start = ("&" + request.query).find("&" + name + "=");
    if (start == std::string::npos) return "";
    std::string rest = request.query.substr(start + name.size() + 1);
    return rest.substr(0, rest.find('&'));
}

Response packed_response(int status, MsgpackWriter& body) {
    return {status, body.take(), 0, "application/msgpack"};
}

std::string phase_of(const CallResult& response) {
    auto message = MsgpackDocument::parse(response.body);
    return message ? message->root()["phase"].text_or("") : "";
}

JobState state_of(const CallResult& response) {
    auto message = MsgpackDocument::parse(response.body);
    if (!message) return {};
    MsgpackValue root = message->root();
    return {root["phase"].text_or(""), root["done"].count_or(0), root["running"].count_or(0)};
}

}  // namespace hareshore::test
