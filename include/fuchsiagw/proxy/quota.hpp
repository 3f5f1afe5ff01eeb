/// @file
/// @brief A workspace's rate and burst, divided over the instances as token buckets.
///
/// Each instance fills an equal part. Tokens move between instances in datagrams: the lender takes
/// them out of its bucket before it sends them, so a lost datagram only loses tokens and the sum of
/// all instances never exceeds the limit.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/core/token_bucket.hpp>
#include <fuchsiagw/proxy/manifest.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fuchsiagw::proxy {

/// Invariant: limited is false for a workspace without a rate; the bucket is then unused.
struct workspace_quota
{
    bool limited = false;
    double ratePerSecond = 0; ///< of the whole workspace
    double burst = 0; ///< of the whole workspace
    core::token_bucket bucket;
    double demandPerSecond = 0; ///< smoothed operations asked for here
    core::time_point demandSince{}; ///< start of the interval that is being counted
    std::uint32_t demandCount = 0; ///< operations in it
    core::time_point nextRequest{}; ///< no loan is asked for before it
};

struct quota_table
{
    std::map<std::string, workspace_quota, std::less<>> workspaces;
    std::uint32_t instances = 1; ///< among which the limit is divided
};

/// @brief Applies a manifest's limits or another number of instances.
/// A new bucket starts empty: the predecessor of this process may just have used its tokens.
void reshape(quota_table &table, const manifest &from, std::uint32_t instances,
             core::time_point now);

/// @brief Takes the token of one operation.
/// @return whether it may run
[[nodiscard]] bool admit(quota_table &table, const std::string &workspace, core::time_point now);

/// @brief Gives back the token of an operation that did not run.
void giveBack(quota_table &table, const std::string &workspace, core::time_point now);

/// @return when the next token is due here; noDeadline if never
[[nodiscard]] core::time_point nextTokenAt(const quota_table &table, const std::string &workspace);

/// @brief Tells how many tokens to ask other instances for.
/// @return none if the bucket holds enough or one was asked for a moment ago
[[nodiscard]] std::optional<core::token_amount> wanted(quota_table &table,
                                                       const std::string &workspace,
                                                       core::time_point now);

/// @brief Takes out what can be spared for another instance.
/// @return what the datagram may carry; 0 if nothing can be spared
[[nodiscard]] core::token_amount lend(quota_table &table, const std::string &workspace,
                                      core::token_amount amount, core::time_point now);

/// @brief Adds tokens that another instance lent.
void receive(quota_table &table, const std::string &workspace, core::token_amount amount,
             core::time_point now);

} // namespace fuchsiagw::proxy
