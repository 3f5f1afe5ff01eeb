/// @file
/// @brief Starts daemons and stand-ins as processes on loopback and sends requests to them.

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

/// A process that the harness started; killed when this object is destroyed.
class child_process
{
public:
    child_process() = default;
    /// @param command program and arguments
    /// @param log file to which standard output and error are appended
    child_process(const std::vector<std::string> &command, const std::string &log);
    ~child_process();
    child_process(child_process &&other) noexcept;
    child_process &operator=(child_process &&other) noexcept;

    void signal(int number) const;

    /// @brief Waits for the process to end.
    /// @return the exit code; -1 if a signal ended the process or it still runs after the timeout
    int wait(std::chrono::milliseconds timeout);

    /// @return false if the process has ended; it is then reaped
    [[nodiscard]] bool isRunning();

    [[nodiscard]] pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
};

/// Size and settings of a deployment.
struct deployment_plan
{
    std::vector<std::string> zones;
    std::uint32_t daemons = 9;
    std::uint32_t groups = 3;
    std::uint32_t connections = 16; ///< limit on the data connections to each group
    std::uint32_t slots = 2;
    double replicationLagMs = 20;
    double connectDelayMs = 12;
    double rate = 2000; ///< rate limit and burst of the workspace, in operations per second
};

/// An answer as the caller receives it.
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

/// Daemons, a platform and one workspace with groups g1, g2 ...; each group has the members
/// <group>-1 to <group>-3.
class deployment
{
public:
    explicit deployment(const deployment_plan &plan);
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    void startDaemon(std::size_t index);

    /// @return the port of a daemon's HTTP interface for callers
    [[nodiscard]] std::uint16_t callerPort(std::size_t daemon) const
    {
        return callerPorts_[daemon];
    }

    /// @brief Sends a caller's request with the workspace's key.
    call_result call(std::size_t daemon, const std::string &path, const std::string &body,
                     const std::string &session = {}) const;
    call_result write(std::size_t daemon, const std::string &group, const std::string &statement,
                      const std::string &value, const std::string &session = {}) const;
    call_result read(std::size_t daemon, const std::string &group, const std::string &statement,
                     bool allowStale, const std::string &session = {}) const;

    /// @brief Sets a fault at a group's member or at the platform.
    /// @param body JSON body of `POST /fault`
    /// @throw std::runtime_error if the stand-in refuses the fault
    void fault(const std::string &group, const std::string &body) const;
    void platformFault(const std::string &body) const;

    /// @return the member that reports itself as primary in the highest term; empty: none
    [[nodiscard]] std::string primaryOf(const std::string &group) const;

    /// @return the statements that the members of a group received, as JSON text
    [[nodiscard]] std::string historyOf(const std::string &group) const;

    /// @brief Polls a condition every 20 ms.
    /// @return false if the condition does not hold before the timeout
    [[nodiscard]] static bool waitFor(const std::function<bool()> &condition,
                                      std::chrono::milliseconds timeout);

    std::vector<child_process> daemons;
    std::string key;

private:
    net::http_response
    sendHttpRequest(std::uint16_t port, const net::http_request &request,
                    std::chrono::milliseconds timeout = std::chrono::seconds(8)) const;
    void startPlatform();
    void startGroup(std::uint32_t number);
    void seedConfiguration();
    void registerDaemon(std::size_t index);
    [[nodiscard]] std::uint16_t findFreePort();

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
