// The error type of both configuration files.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>

namespace hareshore {

// A configuration file that cannot be used. The program prints what() and does not start.
class ConfigError : public std::runtime_error {
  public:
    enum class Kind : uint8_t {
        kUnreadableFile,
        kSyntax,        // the file is not valid TOML or S-expressions
        kUnknownName,   // a setting that does not exist
        kInvalidValue,  // a field is missing, of another type or out of range
    };

    // `text` is a single line that names the line or field of the file.
    ConfigError(Kind kind, const std::string& text) : std::runtime_error(text), kind_(kind) {}

    [[nodiscard]] Kind kind() const { return kind_; }

  private:
    Kind kind_;
};

}  // namespace hareshore
