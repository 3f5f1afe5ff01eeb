/// @file
/// @brief Flags of fuchsiagwctl and its command-line parser.

#include <fuchsiagw/ctl/flags.hpp>

#include <fuchsiagw/ctl/command_line.hpp>

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <algorithm>
#include <array>
#include <string_view>

ABSL_FLAG(std::string, address, "127.0.0.1:8081", "admin address of a daemon, IP:port");
ABSL_FLAG(std::string, secret_file, "",
          "file with the operators' secret; default: the variable FUCHSIAGW_OPERATOR_SECRET");
ABSL_FLAG(bool, json, false, "print the daemon's JSON instead of a table");
ABSL_FLAG(bool, wait, false, "wait until the change is in force everywhere");
ABSL_FLAG(std::int64_t, timeout_ms, 15000, "time for the whole command");
ABSL_FLAG(std::string, note, "", "id of the release note; default: made from the time");
ABSL_FLAG(double, rate, 0, "statements per second over all instances");
ABSL_FLAG(double, burst, 0, "statements at once; default: the rate");
ABSL_FLAG(std::string, groups, "", "groups of a workspace, divided by commas");
ABSL_FLAG(std::int64_t, max_age_ms, 0, "greatest accepted age of the data");
ABSL_FLAG(std::uint64_t, version, 0, "version that the operator vouches for");
ABSL_FLAG(std::string, against, "", "admin address of an instance with a valid proof");
ABSL_FLAG(std::int64_t, for_s, 0, "seconds for which statements are renewed");
ABSL_FLAG(double, from_s, 0, "start of a report, in seconds from the first line of each log");
ABSL_FLAG(double, to_s, 0, "end of a report; default: the end of each log");
ABSL_FLAG(std::string, store, "",
          "address of the platform's store, IP:port; for switches of the session interface");

namespace fuchsiagw::ctl {

namespace {

constexpr std::array<std::string_view, 16> ownFlags{
    "address", "secret_file", "json",    "wait",    "timeout_ms", "note",  "rate",   "burst",
    "groups",  "max_age_ms",  "version", "against", "for_s",      "store", "from_s", "to_s"
};

/// Finds the flag for an argument name such as `name` or `noname`.
absl::CommandLineFlag *findFlag(std::string_view name, bool &isNegated)
{
    isNegated = false;
    const auto isOwnFlag = [](std::string_view each) {
        return std::find(ownFlags.begin(), ownFlags.end(), each) != ownFlags.end();
    };
    if (isOwnFlag(name))
        return absl::FindCommandLineFlag(std::string(name));
    if (!name.starts_with("no") || !isOwnFlag(name.substr(2)))
        return nullptr;
    absl::CommandLineFlag *flag = absl::FindCommandLineFlag(std::string(name.substr(2)));
    isNegated = flag != nullptr && flag->IsOfType<bool>();
    return isNegated ? flag : nullptr;
}

} // namespace

std::vector<std::string_view> ownFlagNames()
{
    return { ownFlags.begin(), ownFlags.end() };
}

command_line parseCommandLine(const std::vector<std::string> &arguments)
{
    command_line line;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string &argument = arguments[i];
        if (argument == "--help" || argument == "-h") {
            line.wantsHelp = true;
            continue;
        }
        if (argument.size() < 2 || argument.front() != '-') {
            line.words.push_back(argument);
            continue;
        }
        std::string name = argument.substr(argument.starts_with("--") ? 2 : 1);
        std::string value;
        const std::size_t equals = name.find('=');
        const bool hasValue = equals != std::string::npos;
        if (hasValue) {
            value = name.substr(equals + 1);
            name.resize(equals);
        }
        std::replace(name.begin(), name.end(), '-', '_');
        bool isNegated = false;
        absl::CommandLineFlag *flag = findFlag(name, isNegated);
        if (flag == nullptr || (isNegated && hasValue)) {
            line.problem = "there is no flag '" + argument + "'";
            return line;
        }
        if (flag->IsOfType<bool>() && !hasValue) {
            value = isNegated ? "false" : "true";
        } else if (!hasValue) {
            if (++i == arguments.size()) {
                line.problem = "the flag '" + argument + "' needs a value";
                return line;
            }
            value = arguments[i];
        }
        std::string parseError;
        if (!flag->ParseFrom(value, &parseError)) {
            line.problem.append("the flag '--")
                    .append(name)
                    .append("' has a wrong value: ")
                    .append(parseError);
            return line;
        }
    }
    return line;
}

} // namespace fuchsiagw::ctl
