// MessagePack: a checked reader over maps and lists, and a writer. Nothing here knows a protocol.
#pragma once
#include <cmath>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hareshore {

// A decoded message. Numbers may be written as integers or decimals; every accessor checks the type.
class MsgpackValue {
  public:
    MsgpackValue() = default;
    explicit MsgpackValue(const msgpack::object& o) : o_(&o) {}

    bool present() const { return o_ != nullptr; }
    const msgpack::object* raw() const { return o_; }
    bool null() const { return !o_ || o_->type == msgpack::type::NIL; }  // null may also be left out
    bool is_map() const { return o_ && o_->type == msgpack::type::MAP; }
    bool is_list() const { return o_ && o_->type == msgpack::type::ARRAY; }
    MsgpackValue operator[](std::string_view key) const;  // field of a map
    size_t size() const { return is_list() ? o_->via.array.size : 0; }
    MsgpackValue at(size_t i) const { return MsgpackValue(o_->via.array.ptr[i]); }

    std::optional<std::string> text() const;
    std::optional<double> number() const;   // finite
    std::optional<uint64_t> count() const;  // an integer >= 0; 4.0 counts as 4
    std::optional<bool> flag() const;

    std::string text_or(std::string other) const { return text().value_or(std::move(other)); }
    double number_or(double other) const { return number().value_or(other); }
    uint64_t count_or(uint64_t other) const { return count().value_or(other); }
    bool flag_or(bool other) const { return flag().value_or(other); }

  private:
    const msgpack::object* o_ = nullptr;
};

// Owns a decoded message.
class MsgpackDocument {
  public:
    // Nothing if the bytes are not exactly one MessagePack value within the limits.
    static std::optional<MsgpackDocument> parse(std::string_view bytes);
    MsgpackValue root() const { return MsgpackValue(handle_.get()); }

  private:
    msgpack::object_handle handle_;
};

// Writes a message. map(n) and list(n) announce n entries, as MessagePack wants it.
class MsgpackWriter {
  public:
    MsgpackWriter& map(size_t n);
    MsgpackWriter& list(size_t n);
    MsgpackWriter& key(std::string_view k) { return text(k); }
    MsgpackWriter& text(std::string_view s);
    MsgpackWriter& count(uint64_t n);
    MsgpackWriter& number(double d);
    MsgpackWriter& flag(bool b);
    MsgpackWriter& null();
    MsgpackWriter& raw(std::string_view packed);  // a value that is packed already
    std::string take();

  private:
    msgpack::sbuffer buffer_{256};
    msgpack::packer<msgpack::sbuffer> packer_{buffer_};
};

}  // namespace hareshore
