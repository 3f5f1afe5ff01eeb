/// @file
/// @brief Entry point of fuchsiagwd: parses flags, reads settings and opens the log.

#include <utility>

#include <fuchsiagw/daemon/log_sink.hpp>
#include <fuchsiagw/daemon/process.hpp>
#include <fuchsiagw/daemon/session_process.hpp>
#include <fuchsiagw/daemon/settings.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <algorithm>
#include <exception>
#include <iostream>
#include <optional>
#include <sodium.h>

ABSL_FLAG(std::string, settings, "", "YAML file with the settings; see docs/settings.md");
ABSL_FLAG(std::string, interface, "statements",
          "what callers speak: statements (HTTP, see docs/api.md) or sessions (docs/platform.md)");
ABSL_FLAG(bool, check_settings, false, "check the settings file and stop");

namespace {

using namespace fuchsiagw;

daemon::log_settings logSettings(const daemon::settings &values)
{
    daemon::log_settings result;
    result.path = values.logFile == "-" ? std::string() : values.logFile;
    const auto &names = daemon::logLevelNames;
    const std::string_view levelName = values.logLevel == "warn" ? "warning" : values.logLevel;
    const auto *const found = std::find(names.begin(), names.end(), levelName);
    result.level = static_cast<daemon::log_level>(std::distance(names.begin(), found));
    return result;
}

/// @return the exit code if the settings are invalid or --check_settings was given, otherwise none
std::optional<int> exitCodeAfterReading(const std::string &file,
                                        const std::vector<daemon::settings_problem> &problems)
{
    for (const auto &each : problems)
        std::cerr << daemon::toString(each) << '\n';
    if (!problems.empty())
        return static_cast<int>(daemon::exit_code::SettingsInvalid);
    if (!absl::GetFlag(FLAGS_check_settings))
        return std::nullopt;
    std::cout << file << ": valid\n";
    return 0;
}

int runSessionInterface(const std::string &file)
{
    daemon::session_settings values;
    const auto problems = daemon::readSessionSettings(file, values);
    if (const auto code = exitCodeAfterReading(file, problems))
        return *code;
    daemon::log_settings logTarget;
    logTarget.standardOutput = true;
    daemon::log_sink log(logTarget);
    return static_cast<int>(daemon::runSessionDaemon(values, file, log));
}

int run()
{
    const std::string file = absl::GetFlag(FLAGS_settings);
    const std::string interface = absl::GetFlag(FLAGS_interface);
    if (interface == "sessions")
        return runSessionInterface(file);
    if (interface != "statements") {
        std::cerr << "fuchsiagwd: --interface must be statements or sessions\n";
        return static_cast<int>(daemon::exit_code::SettingsInvalid);
    }
    daemon::settings values;
    const auto problems = daemon::readSettings(file, values);
    if (const auto code = exitCodeAfterReading(file, problems))
        return *code;
    daemon::log_sink log(logSettings(values));
    const daemon::exit_code code = daemon::runDaemon(values, log);
    if (code == daemon::exit_code::Failed)
        std::cerr << "fuchsiagwd: can't bind an address from the settings, or a worker thread "
                     "failed; "
                     "see the log\n";
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
            "database proxy with session consistency\n\n"
            "  fuchsiagwd --settings=FILE                   run until SIGTERM\n"
            "  fuchsiagwd --settings=FILE --check_settings  check the settings and stop\n\n"
            "Exit codes: 0 stopped, 1 failed, 2 settings or flags are wrong, 3 the stop's deadline "
            "interrupted requests.");
    const std::vector<char *> rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() > 1 || absl::GetFlag(FLAGS_settings).empty()) {
        std::cerr << "fuchsiagwd: exactly one settings file is required: --settings=FILE; see "
                     "--help\n";
        return static_cast<int>(daemon::exit_code::SettingsInvalid);
    }
    if (sodium_init() < 0) {
        std::cerr << "fuchsiagwd: can't initialise libsodium\n";
        return static_cast<int>(daemon::exit_code::Failed);
    }
    try {
        return run();
    } catch (const std::exception &failure) {
        std::cerr << "fuchsiagwd: " << failure.what() << '\n';
        return static_cast<int>(daemon::exit_code::Failed);
    }
}
