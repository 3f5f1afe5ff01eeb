/// @file
/// @brief Reports of replicas about the commits that they have received.

#include <fuchsiagw/proxy/commit_receipts.hpp>

#include <algorithm>

namespace fuchsiagw::proxy {

void recordReceipt(commit_receipts &receipts, const std::string &replica,
                   core::log_position position)
{
    core::log_position &known = receipts.received[replica];
    known = std::max(known, position);
}

void forgetReceipts(commit_receipts &receipts, const std::string &replica)
{
    receipts.received.erase(replica);
}

bool hasReceipt(const commit_receipts &receipts, core::log_position position,
                const std::set<std::string> &replicas)
{
    return std::any_of(replicas.begin(), replicas.end(), [&](const std::string &each) {
        const auto found = receipts.received.find(each);
        return found != receipts.received.end() && found->second.term == position.term
               && found->second.index >= position.index;
    });
}

} // namespace fuchsiagw::proxy
