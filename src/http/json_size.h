// Upper bounds for the length of a value's JSON text. The key-value store measures the size of a value as
// JSON, while values are encoded as MessagePack. It may put a space after each separator and escape all
// non-ASCII characters, so both are counted.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hareshore {

// The size of a value without a JSON text: above every limit, but sums of a few of them do not overflow.
inline constexpr size_t kUnboundedJsonSize = SIZE_MAX / 4;

// Maximum bytes of the JSON text of a MessagePack value. kUnboundedJsonSize or more if `packed` is not
// exactly one value within the limits of MsgpackDocument, or contains a type that JSON lacks.
[[nodiscard]] size_t json_size(std::string_view packed);
// Maximum bytes of the JSON text of a UTF-8 string, including its quotes.
[[nodiscard]] size_t json_text_size(std::string_view text);
// Maximum bytes of the JSON text of a decimal number.
[[nodiscard]] size_t json_number_size(double number);

}  // namespace hareshore
