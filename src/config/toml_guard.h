// A check that protects the TOML parser from texts that it does not handle.
#pragma once
#include <string>

namespace hareshore {

// Throws ConfigError if `text` has a table header without a name, or a letter outside ASCII where no string
// or comment is. toml++ takes for granted that neither occurs: an assertion in debug builds, undefined in
// others.
void check_toml(const std::string& text);

}  // namespace hareshore
