/// @file
/// @brief Deletes the rows of lost instances from the platform's store.

#include <fuchsiagw/ctl/commands.hpp>
#include <fuchsiagw/ctl/flags.hpp>
#include <fuchsiagw/ctl/store_call.hpp>
#include <fuchsiagw/wire/instance_row.hpp>

#include <platform/store_codec.hpp>

#include <absl/flags/flag.h>

#include <ostream>

namespace fuchsiagw::ctl {

exit_code runInstanceForget(const command_context &context,
                            const std::vector<std::string> &parameters)
{
    const std::string &name = parameters.front();
    if (absl::GetFlag(FLAGS_store).empty())
        return reportUsageError(context, "'instance forget' needs --store, the store's IP:port");
    const net::http_exchange found =
            callStore(context, adapter::readRow(wire::instanceTable, name));
    if (found.error)
        return reportError(context, exit_code::Unreachable, "the store does not answer");
    const auto rows = found.response.status == storeStatusOk
                              ? adapter::decodeRows(found.response.body)
                              : std::nullopt;
    if (!rows)
        return reportError(context, exit_code::Refused, "the store rejected the read");
    if (rows->rows.empty() || rows->rows.front().key != name)
        return reportError(context, exit_code::Refused, "the store has no instance '" + name + "'");
    adapter::row_change removal;
    removal.table = wire::instanceTable;
    removal.key = name;
    // The version check fails if the daemon has restarted and rewritten its row since the read.
    removal.expectedVersion = rows->rows.front().version;
    const net::http_exchange removed = callStore(context, adapter::changeRows({ removal }));
    if (removed.error)
        return reportError(context, exit_code::Unknown,
                           "the store's answer was lost; the row may be removed: try again");
    if (removed.response.status != storeStatusOk)
        return reportError(context, exit_code::Refused,
                           "the row has changed or the store refused; nothing was removed (status "
                                   + std::to_string(removed.response.status) + ")");
    context.out << "instance " << name << " is forgotten\n";
    return exit_code::Done;
}

} // namespace fuchsiagw::ctl
