// Validation that protects the TOML parser from input that it does not handle.
#pragma once
#include <string>

namespace hareshore {

// Throws ConfigError if `text` has a table header without a name, or a non-ASCII character outside strings
// and comments. toml++ assumes that neither occurs: debug builds fail an assertion, others have undefined
// behavior.
void check_toml(const std::string& text);

}  // namespace hareshore
