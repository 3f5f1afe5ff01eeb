/// @file
/// @brief Stand-in for a database group: all members and a fault port in one process.
///
/// The fault port answers `POST /fault`, `GET /history?after=N`, `GET /members` and
/// `GET /counters`; the bodies are in standin_json.hpp.

#pragma once

#include <fuchsiagw/core/random.hpp>
#include <fuchsiagw/testing/fault_server.hpp>
#include <fuchsiagw/testing/group_settings.hpp>
#include <fuchsiagw/testing/standin_json.hpp>
#include <fuchsiagw/testing/standin_member.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <system_error>
#include <vector>

namespace fuchsiagw::testing {

/// Used on the thread of one context only; must outlive the context's last run. The group starts in
/// term 1 with the first member as primary.
class group_standin
{
public:
    group_standin(boost::asio::io_context &context, group_standin_settings settings);
    group_standin(const group_standin &) = delete;
    group_standin &operator=(const group_standin &) = delete;

    /// @brief Binds the ports of all members and the fault port.
    [[nodiscard]] std::error_code start();

    [[nodiscard]] net::endpoint faultAddress() const { return faultServer_.address(); }
    [[nodiscard]] group_description describe() const;

    /// @return InvalidValue for an unknown member or a missing value
    [[nodiscard]] std::error_code setFault(const member_fault_request &request);

    /// @return the retained statements with a number above @p after
    [[nodiscard]] statement_history history(std::uint64_t after) const;

    [[nodiscard]] const group_counters &counters() const { return counters_; }

private:
    /// State of the replication to one member.
    struct replication
    {
        explicit replication(boost::asio::io_context &context)
            : timer(context)
        { }

        boost::asio::steady_timer timer;
        core::duration lag{ 0 }; ///< drawn at random again after each copy
    };

    member_hooks makeHooks();
    void replicateAll();
    void replicate(std::size_t index);
    void drawReplicationLag(std::size_t index);
    [[nodiscard]] const standin_member *replicationSourceOf(const standin_member &replica) const;
    [[nodiscard]] net::http_response respond(const net::http_request &request);

    boost::asio::io_context &context_;
    const group_standin_settings settings_;
    core::random_engine random_;
    std::vector<std::unique_ptr<standin_member>> members_;
    std::vector<replication> replications_; ///< one for each member
    std::deque<executed_statement> history_; ///< at most settings_.historyLimit
    std::uint64_t newestStatement_ = 0;
    group_counters counters_;
    fault_server faultServer_;
};

} // namespace fuchsiagw::testing
