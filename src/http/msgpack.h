// MessagePack: a type-checked reader and a writer, independent of the fields of any protocol.
#pragma once
#include <cmath>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hareshore {

// A view of a value in a decoded message, or an absent value. Valid as long as its MsgpackDocument. Every
// accessor checks the type; numbers may be encoded as integers or floating-point numbers.
class MsgpackValue {
  public:
    MsgpackValue() = default;  // absent
    explicit MsgpackValue(const msgpack::object& object) : object_(&object) {}

    [[nodiscard]] bool present() const { return object_ != nullptr; }
    // The decoded object; null if absent.
    [[nodiscard]] const msgpack::object* raw() const { return object_; }
    // Whether the value is nil or absent: the protocols allow a nil field to be omitted.
    [[nodiscard]] bool null() const { return !object_ || object_->type == msgpack::type::NIL; }
    [[nodiscard]] bool is_map() const { return object_ && object_->type == msgpack::type::MAP; }
    [[nodiscard]] bool is_list() const { return object_ && object_->type == msgpack::type::ARRAY; }

    // The field of a map; absent if this is not a map or has no such field. Linear in the number of fields.
    MsgpackValue operator[](std::string_view key) const;
    // The number of entries of a list; 0 if this is not a list.
    [[nodiscard]] size_t size() const { return is_list() ? object_->via.array.size : 0; }
    // An entry of a list. `index` must be below size().
    [[nodiscard]] MsgpackValue at(size_t index) const { return MsgpackValue(object_->via.array.ptr[index]); }

    // The value as the given type; empty if it has another type or is absent.
    [[nodiscard]] std::optional<std::string> text() const;
    [[nodiscard]] std::optional<double> number() const;   // finite
    [[nodiscard]] std::optional<uint64_t> count() const;  // an integer of at least 0; 4.0 counts as 4
    [[nodiscard]] std::optional<bool> flag() const;

    // The same, with a default for an empty result.
    [[nodiscard]] std::string text_or(std::string fallback) const {
        return text().value_or(std::move(fallback));
    }
    [[nodiscard]] double number_or(double fallback) const { return number().value_or(fallback); }
    [[nodiscard]] uint64_t count_or(uint64_t fallback) const { return count().value_or(fallback); }
    [[nodiscard]] bool flag_or(bool fallback) const { return flag().value_or(fallback); }

  private:
    const msgpack::object* object_ = nullptr;
};

// Owns a decoded message.
class MsgpackDocument {
  public:
    // Empty if `bytes` are not exactly one MessagePack value within constants::kMessagePackNestingLimit. The
    // document copies the bytes that its values refer to.
    [[nodiscard]] static std::optional<MsgpackDocument> parse(std::string_view bytes);
    [[nodiscard]] MsgpackValue root() const { return MsgpackValue(handle_.get()); }

  private:
    msgpack::object_handle handle_;
};

// Writes a message value by value. map(n) and list(n) must be followed by n entries; an entry of a map is a
// key and a value. This is not checked.
class MsgpackWriter {
  public:
    MsgpackWriter& map(size_t entries);
    MsgpackWriter& list(size_t entries);
    MsgpackWriter& key(std::string_view key) { return text(key); }
    MsgpackWriter& text(std::string_view value);
    MsgpackWriter& count(uint64_t value);
    MsgpackWriter& number(double value);
    MsgpackWriter& flag(bool value);
    MsgpackWriter& null();
    MsgpackWriter& raw(std::string_view packed);  // an already encoded value
    // Returns the encoded bytes and clears the writer.
    std::string take();

  private:
    static constexpr size_t kInitialBuffer = 256;  // bytes; enough for most messages

    msgpack::sbuffer buffer_{kInitialBuffer};
    msgpack::packer<msgpack::sbuffer> packer_{buffer_};
};

}  // namespace hareshore
