/// @file
/// @brief Reads and writes the promotion switch in the platform's store.

#include <fuchsiagw/ctl/store_switch.hpp>

#include <fuchsiagw/ctl/commands.hpp>
#include <fuchsiagw/ctl/store_call.hpp>
#include <fuchsiagw/wire/automation_json.hpp>

#include <platform/store_codec.hpp>

#include <optional>

namespace fuchsiagw::ctl {

namespace {

/// Stored state of the switch, or the exit code of a failed read.
struct switch_state
{
    exit_code code = exit_code::Unreachable;
    bool allowed = true;
    std::uint64_t version = 0; ///< 0: the switch was never set
};

switch_state readState(const command_context &context)
{
    const std::string key(wire::promotionSwitchKey);
    const net::http_exchange exchange =
            callStore(context, adapter::readRow(wire::automationTable, key));
    switch_state state;
    if (exchange.error)
        return state;
    state.code = exit_code::Refused;
    const auto rows = exchange.response.status == storeStatusOk
                              ? adapter::decodeRows(exchange.response.body)
                              : std::nullopt;
    if (!rows)
        return state;
    state.code = exit_code::Done;
    if (!rows->rows.empty() && rows->rows.front().key == key) {
        state.allowed = wire::readSwitch(rows->rows.front().value).allowed;
        state.version = rows->rows.front().version;
    }
    return state;
}

std::string describePromotion(bool allowed)
{
    return std::string("promotion is ") + (allowed ? "on" : "off");
}

} // namespace

exit_code setStoreSwitch(const command_context &context, const std::string &name, bool isOn)
{
    if (name != wire::promotionSwitchKey && name != "all")
        return reportUsageError(context,
                                "there is no switch '" + name
                                        + "' in the store; the switches are all and promotion");
    adapter::row_change change;
    change.table = wire::automationTable;
    change.key = wire::promotionSwitchKey;
    change.value = wire::toJson({ isOn });
    const net::http_exchange exchange = callStore(context, adapter::changeRows({ change }));
    if (exchange.error && !exchange.wasSent)
        return reportError(context, exit_code::Unreachable,
                           "the store does not answer; nothing was changed");
    if (!exchange.error && exchange.response.status != storeStatusOk)
        return reportError(context, exit_code::Refused,
                           "the store refused the change with status "
                                   + std::to_string(exchange.response.status)
                                   + "; nothing was changed");
    if (exchange.error && readState(context).code != exit_code::Done)
        return reportError(
                context, exit_code::Unknown,
                "the store's answer was lost; ask with 'fuchsiagwctl switch list --store'");
    const switch_state now = readState(context);
    if (now.code != exit_code::Done || now.allowed != isOn)
        return reportError(context, exit_code::Unknown,
                           "the change may still be carried out; ask with "
                           "'fuchsiagwctl switch list --store'");
    context.out << describePromotion(isOn) << '\n';
    if (!isOn)
        context.out << "a promotion that is already running ends within 3 s; no new one starts\n";
    return exit_code::Done;
}

exit_code listStoreSwitches(const command_context &context)
{
    const switch_state state = readState(context);
    if (state.code == exit_code::Unreachable)
        return reportError(context, state.code, "the store does not answer");
    if (state.code != exit_code::Done)
        return reportError(context, state.code, "the store rejected the read");
    context.out << describePromotion(state.allowed);
    if (state.version == 0)
        context.out << " (never set)\n";
    else
        context.out << " (version " << state.version << " of the store)\n";
    return exit_code::Done;
}

} // namespace fuchsiagw::ctl
