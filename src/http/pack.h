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
class Node {
  public:
    Node() = default;
    explicit Node(const msgpack::object& o) : o_(&o) {}

    bool present() const { return o_ != nullptr; }
    const msgpack::object* raw() const { return o_; }
    bool null() const { return !o_ || o_->type == msgpack::type::NIL; }  // null may also be left out
    bool is_map() const { return o_ && o_->type == msgpack::type::MAP; }
    bool is_list() const { return o_ && o_->type == msgpack::type::ARRAY; }
    Node operator[](std::string_view key) const;  // field of a map
    size_t size() const { return is_list() ? o_->via.array.size : 0; }
    Node at(size_t i) const { return Node(o_->via.array.ptr[i]); }

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
class Message {
  public:
    // Nothing if the bytes are not exactly one MessagePack value within the limits.
    static std::optional<Message> parse(std::string_view bytes);
    Node root() const { return Node(handle_.get()); }

  private:
    msgpack::object_handle handle_;
};

// How long the JSON text of a packed value is at most: the protocol counts the limits of values in that
// format. Whoever counts may put a space behind each separator and escape all that is not ASCII, so both are
// counted.
size_t json_size(std::string_view packed);
// The same for a text and for a decimal number by themselves.
size_t json_text_size(std::string_view text);
size_t json_number_size(double d);

// Writes a message. map(n) and list(n) announce n entries, as MessagePack wants it.
class Packer {
  public:
    Packer& map(size_t n);
    Packer& list(size_t n);
    Packer& key(std::string_view k) { return text(k); }
    Packer& text(std::string_view s);
    Packer& count(uint64_t n);
    Packer& number(double d);
    Packer& flag(bool b);
    Packer& null();
    Packer& raw(std::string_view packed);  // a value that is packed already
    std::string take();

  private:
    msgpack::sbuffer buffer_{256};
    msgpack::packer<msgpack::sbuffer> packer_{buffer_};
};

}  // namespace hareshore
