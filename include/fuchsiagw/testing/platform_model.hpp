/// @file
/// @brief Model of the platform, without I/O, as section 13 of the design specifies.

#pragma once

#include <fuchsiagw/core/platform_protocol.hpp>
#include <fuchsiagw/core/time.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fuchsiagw::testing {

/// A change of the instance list that is not visible to readers yet.
struct instance_change
{
    core::time_point visibleAt;
    core::instance_id instance;
    std::optional<core::instance_entry> entry; ///< empty: the instance is removed
};

/// Invariant: `pending` is ordered by `visibleAt`, so readers never see an older state of the list
/// after a newer one.
struct platform_model
{
    std::map<std::string, core::table_row> rows;
    std::map<std::string, core::transact_answer> answers; ///< by transaction id
    std::deque<std::pair<core::time_point, std::string>> answersByAge; ///< oldest first
    std::map<std::string, std::string> objects;
    std::map<core::instance_id, core::instance_entry> instances; ///< visible to readers
    std::deque<instance_change> pending;
};

/// @return the row, or nullptr
[[nodiscard]] const core::table_row *findRow(const platform_model &model, const std::string &key);

/// @brief Finds the rows whose keys begin with @p prefix.
/// @complexity logarithmic in the number of rows and linear in those found
[[nodiscard]] core::scan_answer scan(const platform_model &model, std::string_view prefix);

/// @brief Applies a transaction; a repeated transaction id gets the first answer.
/// @return the answer; nothing if the request is invalid (an empty id, a key that is not a platform
/// name, or a key that is put or deleted twice), and then its id may be used again
[[nodiscard]] std::optional<core::transact_answer>
transact(platform_model &model, const core::transact_request &request, core::time_point now);

/// @brief Stores an object unless it exists.
/// @return false if the object exists with different content
[[nodiscard]] bool putObject(platform_model &model, const std::string &name,
                             const std::string &content);

/// @brief Adds, changes or removes an instance; readers see it after @p lag.
void setInstance(platform_model &model, const core::instance_id &instance,
                 std::optional<core::instance_entry> entry, core::time_point now,
                 core::duration lag);

/// @return the newest entry of an instance, whether or not it is visible to readers yet
[[nodiscard]] std::optional<core::instance_entry> newestEntry(const platform_model &model,
                                                              const core::instance_id &instance);

/// @return the list as readers see it at @p now
[[nodiscard]] core::instance_list listInstances(platform_model &model, core::time_point now);

} // namespace fuchsiagw::testing
