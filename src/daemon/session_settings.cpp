/// @file
/// @brief Parsing and validation of the session interface's settings.

#include <fuchsiagw/daemon/session_settings.hpp>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <string_view>

namespace fuchsiagw::daemon {

namespace {

/// Start and end of a placeholder of the template. A platform may leave one that it does not know.
constexpr std::string_view placeholderStart = "{{";
constexpr std::string_view placeholderEnd = "}}";

/// Reads the entries of one file and collects the problems found.
struct settings_reader
{
    std::string file;
    YAML::Node root;
    std::vector<settings_problem> problems;

    void addProblem(const std::string &name, const std::string &reason)
    {
        const YAML::Node entry = root[name];
        const int line = entry.IsDefined() ? entry.Mark().line + 1 : 0;
        problems.push_back({ file, line, name + ": " + reason });
    }

    std::string scalar(const std::string &name)
    {
        const YAML::Node entry = root[name];
        if (!entry.IsDefined() || !entry.IsScalar() || entry.Scalar().empty()) {
            addProblem(name, "is missing or not a single value");
            return {};
        }
        if (entry.Scalar().find(placeholderStart) != std::string::npos) {
            addProblem(name, "contains a placeholder that is not filled in");
            return {};
        }
        return entry.Scalar();
    }

    /// @return whether an optional entry has a value; a quoted placeholder alone is none
    [[nodiscard]] bool hasValue(const std::string &name) const
    {
        const YAML::Node entry = root[name];
        if (!entry.IsDefined() || entry.IsNull())
            return false;
        if (!entry.IsScalar())
            return true;
        const std::string &value = entry.Scalar();
        const bool isPlaceholder =
                value.starts_with(placeholderStart) && value.ends_with(placeholderEnd);
        return !value.empty() && !isPlaceholder;
    }

    double number(const std::string &name, double minValue, double maxValue)
    {
        const std::string value = scalar(name);
        double result = 0;
        const char *end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, result);
        const bool isNumber = parsed.ec == std::errc{} && parsed.ptr == end;
        if (!value.empty() && (!isNumber || !(result >= minValue) || !(result <= maxValue)))
            addProblem(name, fmt::format("must be a number from {} to {}", minValue, maxValue));
        return result;
    }

    net::endpoint address(const std::string &name)
    {
        net::endpoint result;
        const std::string value = scalar(name);
        if (!value.empty() && net::parseEndpoint(value, result))
            addProblem(name, "must be an IP number and a port, such as 127.0.0.1:8080");
        return result;
    }

    bool flag(const std::string &name)
    {
        const std::string value = scalar(name);
        if (!value.empty() && value != "true" && value != "false")
            addProblem(name, "must be true or false");
        return value == "true";
    }

    std::uint32_t count(const std::string &name, std::uint32_t minValue, std::uint32_t maxValue)
    {
        const std::string value = scalar(name);
        std::uint32_t result = 0;
        const char *end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, result);
        const bool isWholeNumber = parsed.ec == std::errc{} && parsed.ptr == end;
        if (!value.empty() && (!isWholeNumber || result < minValue || result > maxValue))
            addProblem(name, "must be a whole number from " + std::to_string(minValue) + " to "
                                     + std::to_string(maxValue));
        return result;
    }
};

constexpr std::uint32_t maxPort = 65'535;
constexpr std::uint32_t maxOpenFiles = 10'000'000;
constexpr std::uint32_t maxMemoryMegabytes = 10'000'000;
constexpr std::uint32_t maxGracePeriodSeconds = 3'600;
constexpr std::uint32_t maxTimeoutMilliseconds = 3'600'000;
constexpr std::uint32_t maxColdTolerance = 1'000'000;
constexpr double maxColdOverage = 1'000;
constexpr double maxCpuShare = 10'000;
constexpr double maxBandwidthMbps = 10'000'000;

void readOptionalEntries(settings_reader &reader, session_settings &result)
{
    if (reader.hasValue("evacuation_limit_ms"))
        result.evacuationLimit = std::chrono::milliseconds(
                reader.count("evacuation_limit_ms", 1, maxTimeoutMilliseconds));
    if (reader.hasValue("cold_tolerance"))
        result.coldTolerance = reader.count("cold_tolerance", 0, maxColdTolerance);
    if (reader.hasValue("cold_overage"))
        result.coldOverage = reader.number("cold_overage", 1, maxColdOverage);
    if (reader.hasValue("cpu_share"))
        result.cpuShare = reader.number("cpu_share", 0, maxCpuShare);
    if (reader.hasValue("bandwidth_mbps"))
        result.bandwidthMbps = reader.number("bandwidth_mbps", 0, maxBandwidthMbps);
    if (reader.hasValue("priority_admission"))
        result.priorityAdmission = reader.flag("priority_admission");
    if (reader.hasValue("member_limits"))
        result.memberLimits = reader.flag("member_limits");
}

} // namespace

std::vector<settings_problem> readSessionSettings(const std::string &file, session_settings &result)
{
    settings_reader reader;
    reader.file = file;
    try {
        reader.root = YAML::LoadFile(file);
    } catch (const YAML::Exception &failure) {
        return { { file, failure.mark.line + 1, failure.msg } };
    }
    if (!reader.root.IsMap())
        return { { file, 0, "must be a table of settings" } };
    result.instance = reader.scalar("instance");
    result.zone = reader.scalar("zone");
    result.address = reader.scalar("address");
    result.callerAddress = reader.address("caller_address");
    result.readyAddress = reader.address("ready_address");
    result.peerPort = static_cast<std::uint16_t>(reader.count("peer_port", 1, maxPort));
    result.metricsPort = static_cast<std::uint16_t>(reader.count("metrics_port", 1, maxPort));
    result.storeAddress = reader.address("store_address");
    result.promotionAddress = reader.address("promotion_address");
    result.openFiles = reader.count("open_files", 64, maxOpenFiles);
    result.memoryMegabytes = reader.count("memory_mb", 16, maxMemoryMegabytes);
    result.gracePeriod =
            std::chrono::seconds(reader.count("grace_period_s", 1, maxGracePeriodSeconds));
    result.drainLimit =
            std::chrono::milliseconds(reader.count("drain_limit_ms", 1, maxTimeoutMilliseconds));
    result.configurationLimit = std::chrono::milliseconds(
            reader.count("configuration_limit_ms", 1, maxTimeoutMilliseconds));
    result.promotionsAreFenced = reader.flag("fenced_promotions");
    readOptionalEntries(reader, result);
    return reader.problems;
}

} // namespace fuchsiagw::daemon
