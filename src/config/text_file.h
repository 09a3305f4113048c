// Reading configuration files.
#pragma once
#include <string>

namespace hareshore {

// Returns the content of a file. Throws ConfigError if it cannot be read.
[[nodiscard]] std::string read_text_file(const std::string& path);

}  // namespace hareshore
