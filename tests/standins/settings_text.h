// A minimal settings file that a controller accepts.
#pragma once
#include <string>

namespace hareshore::test {

extern const char* const kSettingsText;

// Returns the settings with additional lines in the table [facts.state].
[[nodiscard]] std::string settings_with_store_limits(const std::string& lines);

}  // namespace hareshore::test
