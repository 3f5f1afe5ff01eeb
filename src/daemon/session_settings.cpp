/// @file
/// @brief Reading and checking of the session interface's settings.

#include <fuchsiagw/daemon/session_settings.hpp>

#include <yaml-cpp/yaml.h>

#include <charconv>

namespace fuchsiagw::daemon {

namespace {

/// Reads the entries of one file and collects what is wrong with them.
struct reader
{
    std::string file;
    YAML::Node root;
    std::vector<settings_problem> problems;

    void complain(const std::string &name, const std::string &reason)
    {
        const YAML::Node entry = root[name];
        const int line = entry.IsDefined() ? entry.Mark().line + 1 : 0;
        problems.push_back({ file, line, name + ": " + reason });
    }

    std::string scalar(const std::string &name)
    {
        const YAML::Node entry = root[name];
        if (!entry.IsDefined() || !entry.IsScalar() || entry.Scalar().empty()) {
            complain(name, "is missing or not a single value");
            return {};
        }
        return entry.Scalar();
    }

    net::endpoint address(const std::string &name)
    {
        net::endpoint result;
        const std::string value = scalar(name);
        if (!value.empty() && net::parseEndpoint(value, result))
            complain(name, "must be an IP number and a port, such as 127.0.0.1:8080");
        return result;
    }

    std::uint32_t count(const std::string &name, std::uint32_t least, std::uint32_t greatest)
    {
        const std::string value = scalar(name);
        std::uint32_t result = 0;
        const char *end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, result);
        const bool whole = parsed.ec == std::errc{} && parsed.ptr == end;
        if (!value.empty() && (!whole || result < least || result > greatest))
            complain(name, "must be a whole number from " + std::to_string(least) + " to "
                                   + std::to_string(greatest));
        return result;
    }
};

constexpr std::uint32_t highestPort = 65'535;
constexpr std::uint32_t mostFiles = 10'000'000;
constexpr std::uint32_t mostMegabytes = 10'000'000;
constexpr std::uint32_t longestSeconds = 3'600;
constexpr std::uint32_t longestMilliseconds = 3'600'000;

} // namespace

std::vector<settings_problem> readSessionSettings(const std::string &file, session_settings &result)
{
    reader from;
    from.file = file;
    try {
        from.root = YAML::LoadFile(file);
    } catch (const YAML::Exception &failure) {
        return { { file, failure.mark.line + 1, failure.msg } };
    }
    if (!from.root.IsMap())
        return { { file, 0, "must be a table of settings" } };
    result.instance = from.scalar("instance");
    result.zone = from.scalar("zone");
    result.address = from.scalar("address");
    result.callerAddress = from.address("caller_address");
    result.readyAddress = from.address("ready_address");
    result.peerPort = static_cast<std::uint16_t>(from.count("peer_port", 1, highestPort));
    result.metricsPort = static_cast<std::uint16_t>(from.count("metrics_port", 1, highestPort));
    result.storeAddress = from.address("store_address");
    result.promotionAddress = from.address("promotion_address");
    result.openFiles = from.count("open_files", 64, mostFiles);
    result.memoryMegabytes = from.count("memory_mb", 16, mostMegabytes);
    result.gracePeriod = std::chrono::seconds(from.count("grace_period_s", 1, longestSeconds));
    result.drainLimit =
            std::chrono::milliseconds(from.count("drain_limit_ms", 1, longestMilliseconds));
    result.configurationLimit =
            std::chrono::milliseconds(from.count("configuration_limit_ms", 1, longestMilliseconds));
    return from.problems;
}

} // namespace fuchsiagw::daemon
