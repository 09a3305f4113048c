#include "config/text_file.h"

#include <fstream>
#include <sstream>

#include "config/config_error.h"

namespace hareshore {

std::string read_text_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw ConfigError(ConfigError::Kind::kUnreadableFile, "cannot read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}  // namespace hareshore
