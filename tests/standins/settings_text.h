// A controller's settings file, as small as the program accepts.
#pragma once
#include <string>

namespace hareshore::test {

extern const char* const kSettingsText;

// With more in its table [facts.state].
[[nodiscard]] std::string settings_with_store_limits(const std::string& more);

}  // namespace hareshore::test
