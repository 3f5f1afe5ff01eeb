/// @file
/// @brief Table of the settings, and reading and validation of the file.

#include <fuchsiagw/daemon/settings.hpp>

#include <sodium.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <set>

namespace fuchsiagw::daemon {

namespace {

/// Stores a value; returns the reason if the value is invalid, otherwise an empty text.
using setter = std::function<std::string(const std::string &, settings &)>;

struct entry
{
    setting_description description;
    setter store;
};

constexpr std::size_t keyHexDigits = 64;
constexpr std::size_t maxNameLength = 64;

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength
           && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
              });
}

template <typename id>
setter storeName(id settings::*field)
{
    return [field](const std::string &text, settings &into) -> std::string {
        if (!isName(text))
            return "must be 1 to 64 letters, digits, '-', '_' or '.'";
        (into.*field).value = text;
        return {};
    };
}

setter storeEndpoint(net::endpoint settings::*field)
{
    return [field](const std::string &text, settings &into) -> std::string {
        if (net::parseEndpoint(text, into.*field))
            return "must be an IP number and a port, such as 127.0.0.1:8080";
        return {};
    };
}

std::string parseNumber(const std::string &text, std::uint64_t minimum, std::uint64_t maximum,
                        std::uint64_t &value)
{
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value < minimum || value > maximum)
        return "must be a whole number from " + std::to_string(minimum) + " to "
               + std::to_string(maximum);
    return {};
}

setter storeMilliseconds(std::chrono::milliseconds settings::*field, std::uint64_t minimum,
                         std::uint64_t maximum)
{
    return [=](const std::string &text, settings &into) {
        std::uint64_t value = 0;
        std::string reason = parseNumber(text, minimum, maximum, value);
        into.*field = std::chrono::milliseconds(value);
        return reason;
    };
}

setter storeCount(std::uint32_t settings::*field, std::uint64_t minimum, std::uint64_t maximum)
{
    return [=](const std::string &text, settings &into) {
        std::uint64_t value = 0;
        std::string reason = parseNumber(text, minimum, maximum, value);
        into.*field = static_cast<std::uint32_t>(value);
        return reason;
    };
}

std::string storeClusterKey(const std::string &text, settings &into)
{
    std::size_t length = 0;
    const bool isComplete = text.size() == keyHexDigits
                            && sodium_hex2bin(into.clusterKey.data(), into.clusterKey.size(),
                                              text.data(), text.size(), nullptr, &length, nullptr)
                                       == 0
                            && length == into.clusterKey.size();
    return isComplete ? std::string() : std::string("must be 64 hexadecimal digits");
}

std::string storeSecretHash(const std::string &text, settings &into)
{
    const bool isValid = text.size() == keyHexDigits
                         && std::all_of(text.begin(), text.end(), [](unsigned char c) {
                                return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
                            });
    if (!isValid)
        return "must be 64 lower-case hexadecimal digits, the output of 'b2sum -l 256' for the "
               "secret";
    into.operatorSecretHash = text;
    return {};
}

std::string storeSeeds(const std::string &text, settings &into)
{
    into.seeds.clear();
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t comma = std::min(text.find(',', start), text.size());
        const std::string address = text.substr(start, comma - start);
        net::endpoint ignored;
        if (net::parseEndpoint(address, ignored))
            return "must be peer addresses divided by commas, such as "
                   "127.0.0.1:8082,127.0.0.1:8182";
        into.seeds.push_back(address);
        start = comma + 1;
    }
    return {};
}

std::string storeLogLevel(const std::string &text, settings &into)
{
    static const std::set<std::string> levels{ "debug", "info", "warn", "error" };
    if (levels.count(text) == 0)
        return "must be one of debug, info, warn, error";
    into.logLevel = text;
    return {};
}

std::string storeLogFile(const std::string &text, settings &into)
{
    into.logFile = text;
    return {};
}

const std::vector<entry> &entries()
{
    static const std::vector<entry> table{
        { { "instance", "name", "", "1 to 64 characters",
            "name of this instance, unique in the deployment" },
          storeName(&settings::instance) },
        { { "zone", "name", "", "1 to 64 characters", "availability zone of this instance" },
          storeName(&settings::zone) },
        { { "caller_address", "IP:port", "", "", "where callers connect" },
          storeEndpoint(&settings::callerAddress) },
        { { "admin_address", "IP:port", "", "", "where operators connect and metrics are read" },
          storeEndpoint(&settings::adminAddress) },
        { { "peer_address", "IP:port", "", "", "UDP and TCP address for other daemons" },
          storeEndpoint(&settings::peerAddress) },
        { { "platform_address", "IP:port", "", "",
            "the platform's table service, object store and instance list" },
          storeEndpoint(&settings::platformAddress) },
        { { "cluster_key", "hexadecimal", "", "64 digits",
            "secret that all daemons of the deployment share" },
          storeClusterKey },
        { { "operator_secret_hash", "hexadecimal", "", "64 digits",
            "BLAKE2b-256 hash of the operators' secret" },
          storeSecretHash },
        { { "seeds", "IP:port list", "-", "",
            "peer addresses that a new instance asks while the platform is away; '-' for none" },
          [](const std::string &text, settings &into) {
              return text == "-" ? std::string() : storeSeeds(text, into);
          } },
        { { "log.level", "name", "info", "debug, info, warn, error",
            "least severe event that is logged" },
          storeLogLevel },
        { { "log.file", "path", "-", "", "log file; '-' writes to standard error" }, storeLogFile },
        { { "keys.unproven_wait_ms", "milliseconds", "5000", "1000 to 60000",
            "how long keys are accepted without proof that none was withdrawn" },
          storeMilliseconds(&settings::proofLifetime, 1000, 60000) },
        { { "drain.limit_ms", "milliseconds", "30000", "1000 to 600000",
            "how long a planned stop waits for accepted requests and open transactions" },
          storeMilliseconds(&settings::drainLimit, 1000, 600000) },
        { { "statement.default_deadline_ms", "milliseconds", "5000", "1 to 60000",
            "deadline of a statement that names none" },
          storeMilliseconds(&settings::defaultDeadline, 1, 60000) },
        { { "upstream.answer_limit_ms", "milliseconds", "2000", "10 to 60000",
            "how long a connection may stay silent before it is closed" },
          storeMilliseconds(&settings::answerLimit, 10, 60000) },
        { { "upstream.connect_limit_ms", "milliseconds", "1000", "10 to 60000",
            "how long opening a connection may take" },
          storeMilliseconds(&settings::connectLimit, 10, 60000) },
        { { "queue.capacity", "statements", "4096", "1 to 1000000",
            "statements that may wait for one group" },
          storeCount(&settings::queueCapacity, 1, 1000000) },
        { { "caller.connections", "connections", "8192", "1 to 1000000",
            "caller connections that are open at once" },
          storeCount(&settings::callerConnections, 1, 1000000) },
    };
    return table;
}

struct parse_state
{
    const std::string &file;
    settings &into;
    std::vector<settings_problem> problems;
    std::set<std::string_view> seen;
};

void addProblem(parse_state &state, const YAML::Mark &mark, std::string reason)
{
    const int line = mark.line < 0 ? 0 : mark.line + 1;
    state.problems.push_back({ state.file, line, std::move(reason) });
}

bool isSection(const std::string &path)
{
    const std::string prefix = path + ".";
    return std::any_of(entries().begin(), entries().end(), [&prefix](const entry &each) {
        return each.description.path.substr(0, prefix.size()) == prefix;
    });
}

void readScalar(parse_state &state, const std::string &path, const YAML::Node &node)
{
    const auto row = std::find_if(entries().begin(), entries().end(), [&path](const entry &each) {
        return each.description.path == path;
    });
    if (row == entries().end()) {
        addProblem(state, node.Mark(), "unknown entry '" + path + "'; see docs/settings.md");
        return;
    }
    if (!node.IsScalar()) {
        addProblem(state, node.Mark(), "'" + path + "' must be a single value");
        return;
    }
    if (!state.seen.insert(row->description.path).second) {
        addProblem(state, node.Mark(), "'" + path + "' is given twice");
        return;
    }
    const std::string reason = row->store(node.Scalar(), state.into);
    if (!reason.empty())
        addProblem(state, node.Mark(), "'" + path + "' " + reason);
}

void readMap(parse_state &state, const std::string &prefix, const YAML::Node &map)
{
    for (const auto &pair : map) {
        const std::string path =
                prefix + (pair.first.IsScalar() ? pair.first.Scalar() : std::string("?"));
        if (isSection(path) && pair.second.IsMap())
            readMap(state, path + ".", pair.second);
        else if (isSection(path))
            addProblem(state, pair.second.Mark(), "'" + path + "' must be a section with entries");
        else
            readScalar(state, path, pair.second);
    }
}

void applyDefaults(parse_state &state)
{
    for (const entry &each : entries()) {
        if (state.seen.count(each.description.path) != 0)
            continue;
        const std::string path(each.description.path);
        if (each.description.defaultText.empty())
            state.problems.push_back({ state.file, 0, "'" + path + "' is missing; add it" });
        else
            each.store(std::string(each.description.defaultText), state.into);
    }
}

} // namespace

std::vector<setting_description> describeSettings()
{
    std::vector<setting_description> result;
    std::transform(entries().begin(), entries().end(), std::back_inserter(result),
                   [](const entry &each) { return each.description; });
    return result;
}

std::string toString(const settings_problem &problem)
{
    const std::string location =
            problem.line > 0 ? ":" + std::to_string(problem.line) : std::string();
    return problem.file + location + ": " + problem.reason;
}

std::vector<settings_problem> readSettings(const std::string &file, settings &result)
{
    parse_state state{ file, result, {}, {} };
    try {
        const YAML::Node root = YAML::LoadFile(file);
        if (!root.IsMap()) {
            addProblem(state, root.Mark(), "the file must be a map of entries");
            return state.problems;
        }
        readMap(state, "", root);
        applyDefaults(state);
    } catch (const YAML::BadFile &) {
        state.problems.push_back(
                { file, 0, "the file can't be read; check its name and permissions" });
    } catch (const YAML::Exception &error) {
        addProblem(state, error.mark, "not valid YAML: " + error.msg);
    }
    return state.problems;
}

} // namespace fuchsiagw::daemon
