// Upper bounds for the length of a value's JSON text. The key-value store counts its limits of value sizes in
// JSON, while values are packed as MessagePack. It may put a space behind each separator and escape all that
// is not ASCII, so both are counted.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hareshore {

// The size of what has no JSON text: above every limit, yet sums of a few of them do not overflow.
inline constexpr size_t kUnboundedJsonSize = SIZE_MAX / 4;

// Bytes of the JSON text of a packed value at most; kUnboundedJsonSize or more if `packed` is not exactly one
// MessagePack value within the limits of MsgpackDocument, or contains a type that JSON lacks.
[[nodiscard]] size_t json_size(std::string_view packed);
// Bytes of the JSON text of a UTF-8 string at most, with its quotes.
[[nodiscard]] size_t json_text_size(std::string_view text);
// Bytes of the JSON text of a decimal number at most.
[[nodiscard]] size_t json_number_size(double number);

}  // namespace hareshore
