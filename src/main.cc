// The program `hareshore`: reads its settings and runs one controller until the process is terminated.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "base/clock.h"
#include "base/log.h"
#include "config/config.h"
#include "controller/controller.h"
#include "loop/loop.h"

namespace {

using namespace hareshore;

struct Options {
    std::string config_path;    // the platform's settings
    std::string settings_path;  // the operators' settings; all defaults if empty
    bool check_only = false;    // validate both and exit
};

// Declares the program's options; parsing stores them in `options`.
void declare_options(CLI::App& app, Options& options) {
    app.set_version_flag("--version", "hareshore " HARESHORE_VERSION);
    app.add_option("--config", options.config_path, "the platform's settings (TOML)")
        ->required()
        ->type_name("FILE");
    app.add_option("--settings", options.settings_path, "the operators' settings (S-expressions)")
        ->type_name("FILE");
    app.add_flag("--check", options.check_only, "validate the settings and exit");
    app.footer(
        "The environment variable LOG_LEVEL sets the log level of standard error: error, info (default) or "
        "debug.");
}

void run_controller(const Config& config, const Settings& settings) {
    const char* level = std::getenv("LOG_LEVEL");
    if (!setup_log(level, config.label)) log::warn("log_level_unknown", {{"level", level}, {"used", "info"}});
    SystemClock clock;
    Loop loop(clock);
    Controller controller(loop, config, settings);
    log::info("started",
              {{"version", HARESHORE_VERSION}, {"zone", config.zone}, {"peers", config.peers.size()}});
    loop.run();
}

// Returns the exit status. Throws ConfigError if the settings are invalid.
int run(int argc, char** argv) {
    CLI::App app{"hareshore, a cluster scheduler: one controller"};
    Options options;
    declare_options(app, options);
    CLI11_PARSE(app, argc, argv);

    const Config config = Config::load(options.config_path);
    const Settings settings =
        options.settings_path.empty() ? Settings{} : Settings::load(options.settings_path);
    if (options.check_only) {
        std::cout << "settings of " << config.label << " are in order\n";
        return 0;
    }
    run_controller(config, settings);
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "hareshore: " << error.what() << '\n';
        return 1;
    }
}
