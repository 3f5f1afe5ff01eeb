/// @file
/// @brief Processes, ports and requests of the process harness.

#include <utility>

#include <fuchsiagw/testing/process_harness.hpp>

#include <fuchsiagw/core/config_store.hpp>
#include <fuchsiagw/core/platform_protocol.hpp>
#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/wire/configuration_json.hpp>
#include <fuchsiagw/wire/key_hash.hpp>
#include <fuchsiagw/wire/platform_json.hpp>

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ; // NOLINT

namespace fuchsiagw::testing {

namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto pollInterval = 20ms;

std::string addressOf(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string textOf(const json &body, const char *field)
{
    const auto found = body.find(field);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

child_process::child_process(const std::vector<std::string> &command, const std::string &log)
{
    std::vector<char *> arguments;
    for (const std::string &each : command)
        arguments.push_back(const_cast<char *>(each.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    // If the child inherited a socket of the test, closing it in the test would neither end the
    // connection nor free the port.
    posix_spawn_file_actions_addclosefrom_np(&files, 3);
    if (posix_spawn(&pid_, arguments[0], &files, nullptr, arguments.data(), environ) != 0)
        pid_ = -1;
    posix_spawn_file_actions_destroy(&files);
}

child_process::~child_process()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

child_process::child_process(child_process &&other) noexcept
    : pid_(std::exchange(other.pid_, -1))
{ }

child_process &child_process::operator=(child_process &&other) noexcept
{
    std::swap(pid_, other.pid_);
    return *this;
}

void child_process::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

bool child_process::isRunning()
{
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
        pid_ = -1;
    return pid_ > 0;
}

int child_process::wait(std::chrono::milliseconds timeout)
{
    int status = 0;
    const bool ended = pid_ > 0
                       && deployment::waitFor(
                               [&] { return ::waitpid(pid_, &status, WNOHANG) == pid_; }, timeout);
    if (!ended)
        return -1;
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

deployment::deployment(const deployment_plan &plan)
    : key(wire::createKey())
    , plan_(plan)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "fuchsiagw-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary directory for the test");
    folder_ = pattern;
    startPlatform();
    for (std::uint32_t number = 1; number <= plan_.groups; ++number)
        startGroup(number);
    seedConfiguration();
    daemons.resize(plan_.daemons);
    callerPorts_.resize(plan_.daemons);
    for (std::size_t index = 0; index < plan_.daemons; ++index)
        startDaemon(index);
    for (std::size_t index = 0; index < plan_.daemons; ++index) {
        const bool isReady = waitFor(
                [&] {
                    return sendHttpRequest(callerPorts_[index], { "GET", "/readyz", {}, {} }).status
                           == 200;
                },
                20s);
        if (!isReady)
            throw std::runtime_error("a daemon did not become ready");
    }
}

deployment::~deployment()
{
    daemons.clear();
    standins_.clear();
    if (std::getenv("FUCHSIAGW_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder_);
}

std::uint16_t deployment::findFreePort()
{
    // The kernel does not assign the same ephemeral port twice in quick succession, so the port
    // stays free until the child binds it.
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    ::bind(socket, reinterpret_cast<sockaddr *>(&address), size);
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

void deployment::startPlatform()
{
    platformPort_ = findFreePort();
    platformFaultPort_ = findFreePort();
    standins_.emplace_back(
            std::vector<std::string>{ FUCHSIAGW_PLATFORM_STANDIN,
                                      "--port=" + std::to_string(platformPort_),
                                      "--fault_port=" + std::to_string(platformFaultPort_) },
            folder_ + "/platform.log");
    if (!waitFor(
                [&] {
                    return sendHttpRequest(platformPort_, { "GET", "/instances", {}, {} }).status
                           == 200;
                },
                10s))
        throw std::runtime_error("the platform's stand-in did not start");
}

void deployment::startGroup(std::uint32_t number)
{
    const std::string name = "g" + std::to_string(number);
    group_ports &ports = groups_[name];
    std::string list;
    std::string zones;
    for (int i = 0; i < 3; ++i) {
        ports.members.push_back(findFreePort());
        list += (i == 0 ? "" : ",") + std::to_string(ports.members.back());
        zones +=
                (i == 0 ? "" : ",") + plan_.zones[static_cast<std::size_t>(i) % plan_.zones.size()];
    }
    ports.fault = findFreePort();
    standins_.emplace_back(
            std::vector<std::string>{ FUCHSIAGW_UPSTREAM_STANDIN, "--group=" + name,
                                      "--ports=" + list, "--zones=" + zones,
                                      "--fault_port=" + std::to_string(ports.fault),
                                      "--slots=" + std::to_string(plan_.slots),
                                      "--connections=" + std::to_string(plan_.connections),
                                      "--lag_ms=" + std::to_string(plan_.replicationLagMs),
                                      "--connect_ms=" + std::to_string(plan_.connectDelayMs) },
            folder_ + "/" + name + ".log");
    if (!waitFor(
                [&] {
                    return sendHttpRequest(ports.members.back(), { "GET", "/status", {}, {} })
                                   .status
                           == 200;
                },
                10s))
        throw std::runtime_error("a group's stand-in did not start");
}

void deployment::seedConfiguration()
{
    core::configuration config;
    config.version = 1;
    core::workspace_settings &workspace = config.workspaces[{ "demo" }];
    workspace.rate = plan_.rate;
    workspace.burst = plan_.rate;
    workspace.readClasses["lookup"] = { 5s };
    workspace.keys[wire::hashKey(key)] = core::key_state::Valid;
    for (const auto &[name, ports] : groups_) {
        workspace.groups.push_back({ name });
        core::group_settings &group = config.groups[{ name }];
        group.slots = plan_.slots;
        group.connections = plan_.connections;
        for (std::size_t i = 0; i < ports.members.size(); ++i)
            group.members[{ name + "-" + std::to_string(i + 1) }] = {
                { plan_.zones[i % plan_.zones.size()] }, addressOf(ports.members[i])
            };
    }
    const std::string body = wire::writeConfiguration(config);
    const std::string objectName = core::objectNameOf(config.version, wire::contentHashOf(body));
    core::transact_request request;
    request.id = "seed";
    request.checks = { { std::string(core::configurationRowKey), 0 } };
    request.puts = { { std::string(core::configurationRowKey),
                       core::writeRow({ config.version, "seed", objectName }) } };
    sendHttpRequest(platformPort_, { "PUT", wire::objectTarget(objectName), {}, body });
    sendHttpRequest(platformPort_, { "POST", "/transact", {}, wire::toJson(request) });
}

void deployment::startDaemon(std::size_t index)
{
    const std::string name = "i" + std::to_string(index + 1);
    const std::string zone = plan_.zones[index % plan_.zones.size()];
    const std::uint16_t peerPort = findFreePort();
    callerPorts_[index] = findFreePort();
    const std::string file = folder_ + "/" + name + ".yaml";
    std::ofstream(file) << "instance: " << name << "\nzone: " << zone
                        << "\ncaller_address: " << addressOf(callerPorts_[index])
                        << "\nadmin_address: " << addressOf(findFreePort())
                        << "\npeer_address: " << addressOf(peerPort)
                        << "\nplatform_address: " << addressOf(platformPort_)
                        << "\ncluster_key: " << std::string(64, '7')
                        << "\noperator_secret_hash: " << std::string(64, 'a') << "\n";
    core::instance_entry entry;
    entry.instance = { name };
    entry.zone = { zone };
    entry.address = addressOf(peerPort);
    sendHttpRequest(platformPort_,
                    { "PUT", wire::instanceTarget(entry.instance), {}, wire::toJson(entry) });
    daemons[index] = child_process({ FUCHSIAGW_DAEMON, "--settings=" + file },
                                   folder_ + "/" + name + ".log");
}

net::http_response deployment::sendHttpRequest(std::uint16_t port, const net::http_request &request,
                                               std::chrono::milliseconds timeout) const
{
    net::endpoint target;
    if (net::parseEndpoint(addressOf(port), target))
        return {};
    net::http_exchange exchange = net::callAndWait(target, request, net::currentTime() + timeout);
    return exchange.error ? net::http_response{} : std::move(exchange.response);
}

call_result deployment::call(std::size_t daemon, const std::string &path, const std::string &body,
                             const std::string &session) const
{
    net::http_request request{ "POST", path, { { "Authorization", "Bearer " + key } }, body };
    if (!session.empty())
        request.headers.emplace_back("Fuchsiagw-Session", session);
    const net::http_response response = sendHttpRequest(callerPorts_[daemon], request);
    call_result result;
    result.status = response.status;
    result.session = net::findHeader(response.headers, "Fuchsiagw-Session");
    const json parsed = json::parse(response.body, nullptr, false);
    if (!parsed.is_object())
        return result;
    result.error = textOf(parsed, "error");
    result.outcome = textOf(parsed, "outcome");
    result.transaction = textOf(parsed, "transaction");
    result.member = textOf(parsed, "member");
    result.fromReplica = parsed.value("from_replica", false);
    const auto rows = parsed.find("rows");
    if (rows != parsed.end() && !rows->empty() && !rows->front().empty())
        result.value = rows->front().front().get<std::string>();
    return result;
}

call_result deployment::write(std::size_t daemon, const std::string &group,
                              const std::string &statement, const std::string &value,
                              const std::string &session) const
{
    const json body{ { "group", group },
                     { "kind", "write" },
                     { "statement", statement },
                     { "parameters", { value } } };
    return call(daemon, "/v1/statements", body.dump(), session);
}

call_result deployment::read(std::size_t daemon, const std::string &group,
                             const std::string &statement, bool allowStale,
                             const std::string &session) const
{
    json body{ { "group", group }, { "kind", "read" }, { "statement", statement } };
    if (allowStale)
        body["read_class"] = "lookup";
    return call(daemon, "/v1/statements", body.dump(), session);
}

void deployment::fault(const std::string &group, const std::string &body) const
{
    if (sendHttpRequest(groups_.at(group).fault, { "POST", "/fault", {}, body }).status != 200)
        throw std::runtime_error("the group's stand-in refused the fault " + body);
}

void deployment::platformFault(const std::string &body) const
{
    if (sendHttpRequest(platformFaultPort_, { "POST", "/fault", {}, body }).status != 200)
        throw std::runtime_error("the platform's stand-in refused the fault " + body);
}

std::string deployment::primaryOf(const std::string &group) const
{
    std::uint64_t highest = 0;
    std::string primary;
    for (const std::uint16_t port : groups_.at(group).members) {
        const json status = json::parse(
                sendHttpRequest(port, { "GET", "/status", {}, {} }, 1s).body, nullptr, false);
        if (!status.is_object() || textOf(status, "role") != "primary" || status["term"] < highest)
            continue;
        highest = status["term"].get<std::uint64_t>();
        primary = textOf(status, "member");
    }
    return primary;
}

std::string deployment::historyOf(const std::string &group) const
{
    return sendHttpRequest(groups_.at(group).fault, { "GET", "/history", {}, {} }).body;
}

bool deployment::waitFor(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace fuchsiagw::testing
