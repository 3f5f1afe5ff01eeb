/// @file
/// @brief Stand-in for the platform: table service, object store and instance list on one port, and
/// a fault port.
///
/// Both ports answer `GET /counters`, and `PUT /instances/{instance}` and `DELETE
/// /instances/{instance}` for the registration of instances by tests. The fault port also answers
/// `POST /fault`; the bodies are in standin_json.hpp.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/testing/fault_server.hpp>
#include <fuchsiagw/testing/fault_state.hpp>
#include <fuchsiagw/testing/platform_model.hpp>
#include <fuchsiagw/testing/standin_json.hpp>

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <system_error>

namespace fuchsiagw::testing {

/// Used on the thread of one context only; must outlive the context's last run.
class platform_standin
{
public:
    /// @param port port of the platform; 0: chosen by the kernel
    /// @param faultPort port for faults; 0: chosen by the kernel
    platform_standin(boost::asio::io_context &context, std::uint16_t port, std::uint16_t faultPort);
    platform_standin(const platform_standin &) = delete;
    platform_standin &operator=(const platform_standin &) = delete;

    /// @brief Binds both ports.
    [[nodiscard]] std::error_code start();

    [[nodiscard]] net::endpoint address() const { return server_.address(); }
    [[nodiscard]] net::endpoint faultAddress() const { return faultServer_.address(); }

    /// @return InvalidValue for an unknown or missing instance or a missing value
    [[nodiscard]] std::error_code setFault(const platform_fault_request &request);

    /// @brief Registers or changes an instance; the fault ListLag delays when readers see it.
    void setInstance(const core::instance_entry &entry);

    [[nodiscard]] const platform_counters &counters() const { return counters_; }
    [[nodiscard]] const platform_model &model() const { return model_; }

private:
    void onRequest(net::http_request &&request, connection_number connection);
    void onFaultRequest(const net::http_request &request, connection_number connection);
    void handle(const net::http_request &request, connection_number connection,
                core::duration delay);
    [[nodiscard]] net::http_response respond(const net::http_request &request);
    [[nodiscard]] net::http_response respondTable(const net::http_request &request);
    [[nodiscard]] net::http_response respondScan(const net::http_request &request);
    [[nodiscard]] net::http_response respondTransact(const net::http_request &request);
    [[nodiscard]] net::http_response respondObject(const net::http_request &request);
    [[nodiscard]] net::http_response respondInstances(const net::http_request &request);
    void runAfter(core::duration delay, std::function<void()> action);
    [[nodiscard]] fault_state &fault(platform_fault kind)
    {
        return faults_.at(static_cast<std::size_t>(kind));
    }

    boost::asio::io_context &context_;
    platform_model model_;
    platform_counters counters_;
    std::array<fault_state, platformFaultNames.size()> faults_;
    fault_server server_;
    fault_server faultServer_;
};

} // namespace fuchsiagw::testing
