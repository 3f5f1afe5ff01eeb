/// @file
/// @brief Choice of the next primary from the reports of the members.

#include <fuchsiagw/proxy/promotion.hpp>

namespace fuchsiagw::proxy {

promotion_choice chooseNext(const promotion_state &state, const std::set<std::string> &electable,
                            const std::set<std::string> &witnesses)
{
    promotion_choice result;
    core::log_position longest;
    for (const std::string &each : electable) {
        const auto report = state.reports.find(each);
        if (report == state.reports.end())
            continue;
        if (result.member.empty() || report->second.received > longest) {
            result.member = each;
            longest = report->second.received;
        }
    }
    if (result.member.empty())
        return {};
    const auto old = state.reports.find(state.oldPrimary);
    if (old != state.reports.end() && !old->second.leads) {
        // A primary that stepped down acknowledges nothing more, and its log holds everything.
        result.waitsForCatchUp = longest < old->second.received;
        return result;
    }
    for (const std::string &each : witnesses) {
        const auto report = state.reports.find(each);
        if (report == state.reports.end())
            return {};
        if (report->second.received > longest) {
            // A leaving member holds more than every member that may lead.
            result.waitsForCatchUp = true;
            return result;
        }
    }
    return result;
}

} // namespace fuchsiagw::proxy
