#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "base/log.h"
#include "config/config.h"
#include "controller/controller.h"

namespace {

int run(int argc, char** argv) {
    using namespace hareshore;
    CLI::App app{"hareshore, a cluster scheduler: one controller"};
    app.set_version_flag("--version", "hareshore " HARESHORE_VERSION);
    std::string config_path, settings_path;
    bool check = false;
    app.add_option("--config", config_path, "the platform's settings (TOML)")->required()->type_name("FILE");
    app.add_option("--settings", settings_path, "the operators' settings (S-expressions)")->type_name("FILE");
    app.add_flag("--check", check, "read the settings, say whether they are in order, and end");
    app.footer("LOG_LEVEL sets how much is logged to standard error: error, info (as if unset) or debug.");
    CLI11_PARSE(app, argc, argv);

    Config config = Config::load(config_path);
    Settings settings = settings_path.empty() ? Settings{} : Settings::load(settings_path);
    if (check) {
        std::cout << "settings of " << config.label << " are in order\n";
        return 0;
    }
    const char* level = std::getenv("LOG_LEVEL");
    if (!setup_log(level, config.label)) log::warn("log_level_unknown", {{"level", level}, {"used", "info"}});
    SystemClock clock;
    Loop loop(clock);
    Controller controller(loop, config, settings);
    log::info("started",
              {{"version", HARESHORE_VERSION}, {"zone", config.zone}, {"peers", config.peers.size()}});
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& e) {
        std::cerr << "hareshore: " << e.what() << '\n';
        return 1;
    }
}
