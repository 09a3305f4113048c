// MessagePack: a checked reader over maps and lists, and a writer. Independent of any protocol's fields.
#pragma once
#include <cmath>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace hareshore {

// A value of a decoded message, or an absent one. A view: valid as long as its MsgpackDocument. Every
// accessor checks the type; numbers may be written as integers or decimals.
class MsgpackValue {
  public:
    MsgpackValue() = default;  // absent
    explicit MsgpackValue(const msgpack::object& object) : object_(&object) {}

    [[nodiscard]] bool present() const { return object_ != nullptr; }
    // The decoded object; null if absent.
    [[nodiscard]] const msgpack::object* raw() const { return object_; }
    // Whether the value is nil or absent: the protocols let nil be left out.
    [[nodiscard]] bool null() const { return !object_ || object_->type == msgpack::type::NIL; }
    [[nodiscard]] bool is_map() const { return object_ && object_->type == msgpack::type::MAP; }
    [[nodiscard]] bool is_list() const { return object_ && object_->type == msgpack::type::ARRAY; }

    // The field of a map; absent if this is no map or has no such field. Linear in the number of fields.
    MsgpackValue operator[](std::string_view key) const;
    // The number of entries of a list; 0 if this is none.
    [[nodiscard]] size_t size() const { return is_list() ? object_->via.array.size : 0; }
    // An entry of a list. `index` must be below size().
    [[nodiscard]] MsgpackValue at(size_t index) const { return MsgpackValue(object_->via.array.ptr[index]); }

    // The value of that type; empty if it has another or is absent.
    [[nodiscard]] std::optional<std::string> text() const;
    [[nodiscard]] std::optional<double> number() const;   // finite
    [[nodiscard]] std::optional<uint64_t> count() const;  // an integer of at least 0; 4.0 counts as 4
    [[nodiscard]] std::optional<bool> flag() const;

    // The same, or `otherwise`.
    [[nodiscard]] std::string text_or(std::string otherwise) const {
        return text().value_or(std::move(otherwise));
    }
    [[nodiscard]] double number_or(double otherwise) const { return number().value_or(otherwise); }
    [[nodiscard]] uint64_t count_or(uint64_t otherwise) const { return count().value_or(otherwise); }
    [[nodiscard]] bool flag_or(bool otherwise) const { return flag().value_or(otherwise); }

  private:
    const msgpack::object* object_ = nullptr;
};

// Owns a decoded message.
class MsgpackDocument {
  public:
    // Empty if `bytes` are not exactly one MessagePack value within constants::kMessagePackNestingLimit. The
    // bytes are copied as far as the message refers to them.
    [[nodiscard]] static std::optional<MsgpackDocument> parse(std::string_view bytes);
    [[nodiscard]] MsgpackValue root() const { return MsgpackValue(handle_.get()); }

  private:
    msgpack::object_handle handle_;
};

// Writes a message value by value. map(n) and list(n) announce n entries, which must follow; a map's entry is
// a key and a value. Nothing checks that.
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
    MsgpackWriter& raw(std::string_view packed);  // a value that is packed already
    // The packed bytes. The writer is empty afterwards.
    std::string take();

  private:
    static constexpr size_t kInitialBuffer = 256;  // bytes: most messages need no other

    msgpack::sbuffer buffer_{kInitialBuffer};
    msgpack::packer<msgpack::sbuffer> packer_{buffer_};
};

}  // namespace hareshore
