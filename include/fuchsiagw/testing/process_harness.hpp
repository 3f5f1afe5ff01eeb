/// @file
/// @brief Starts real daemons and stand-ins on loopback and speaks with them.

#pragma once

#include <fuchsiagw/net/http_client.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace fuchsiagw::testing {

/// A process that the harness has started. It is killed when this object ends.
class child_process
{
public:
    child_process() = default;
    /// @param log file for its standard output and error
    child_process(const std::vector<std::string> &command, const std::string &log);
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;

    void signal(int number) const;

    /// @brief Waits for its end.
    /// @return the exit code; -1 if it was killed or does not end before the limit
    int wait(std::chrono::milliseconds limit);

    /// @return false once it has ended by itself; its end is then taken note of
    [[nodiscard]] bool isRunning();

    [[nodiscard]] pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
};

/// What a deployment consists of.
struct deployment_plan
{
    std::vector<std::string> zones;
    std::uint32_t daemons = 9;
    std::uint32_t groups = 3;
    std::uint32_t connections = 16; ///< per group
    std::uint32_t slots = 2;
    double lagMs = 20;
    double connectMs = 12;
    double rate = 2000; ///< of the workspace
};

/// One caller's view of an answer.
struct call_result
{
    int status = 0; ///< 0: no answer
    std::string error;
    std::string outcome;
    std::string session;
    std::string transaction;
    std::string value; ///< first column of the first row
    std::string member;
    bool fromReplica = false;
};

/// One workspace, its groups g1, g2 ..., each with members <group>-1 to <group>-3.
class deployment
{
public:
    explicit deployment(const deployment_plan &plan);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    void startDaemon(std::size_t index);

    /// @brief Sends a request as a caller.
    call_result call(std::size_t daemon, const std::string &path, const std::string &body,
                     const std::string &session = {}) const;
    call_result write(std::size_t daemon, const std::string &group, const std::string &statement,
                      const std::string &value, const std::string &session = {}) const;
    call_result read(std::size_t daemon, const std::string &group, const std::string &statement,
                     bool mayLag, const std::string &session = {}) const;

    /// @brief Sets a fault at a group's members or at the platform.
    void fault(const std::string &group, const std::string &body) const;
    void platformFault(const std::string &body) const;

    /// @return the primary's name as the members say, the one of the highest term
    [[nodiscard]] std::string primaryOf(const std::string &group) const;

    /// @return everything that the members of a group have received, as JSON text
    [[nodiscard]] std::string historyOf(const std::string &group) const;

    /// @brief Waits until a condition holds; polls every 20 ms.
    [[nodiscard]] static bool waitFor(const std::function<bool()> &condition,
                                      std::chrono::milliseconds limit);

    std::vector<child_process> daemons;
    std::string key;

private:
    net::http_response ask(std::uint16_t port, const net::http_request &request,
                           std::chrono::milliseconds limit = std::chrono::seconds(8)) const;
    void startPlatform();
    void startGroup(std::uint32_t number);
    void seedConfiguration();
    void registerDaemon(std::size_t index);
    [[nodiscard]] std::uint16_t nextPort();

    struct group_ports
    {
        std::vector<std::uint16_t> members;
        std::uint16_t fault = 0;
    };

    deployment_plan plan_;
    std::string folder_;
    std::uint16_t platformPort_ = 0;
    std::uint16_t platformFaultPort_ = 0;
    std::map<std::string, group_ports> groups_;
    std::vector<std::uint16_t> callerPorts_;
    std::vector<child_process> standins_;
};

} // namespace fuchsiagw::testing
