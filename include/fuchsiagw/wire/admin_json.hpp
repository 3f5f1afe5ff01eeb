/// @file
/// @brief The operators' API on the admin port: routes, and requests and answers as JSON.
///
/// The functions have no side effects. The daemon calls the one of the matched route and sends its
/// answer.
/// docs/OPERATIONS.md lists the routes.

#pragma once

#include <fuchsiagw/core/config_spread.hpp>
#include <fuchsiagw/core/config_store.hpp>
#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/member_protocol.hpp>
#include <fuchsiagw/core/platform_protocol.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fuchsiagw::wire {

enum class admin_route : std::uint8_t {
    Configuration, ///< GET /v1/admin/configuration
    SubmitNote, ///< POST /v1/admin/notes
    CheckNote, ///< POST /v1/admin/notes/check
    NoteStatus, ///< GET /v1/admin/notes/{id}
    Groups, ///< GET /v1/admin/groups
    Promote, ///< POST /v1/admin/groups/{id}/promote
    Instances, ///< GET /v1/admin/instances
    Challenge, ///< POST /v1/admin/vouch/challenge
    Vouch, ///< POST /v1/admin/vouch
    Status, ///< GET /v1/admin/status
};

/// Result of the routing. Invariant: `error` is empty if and only if `route` and `argument` are
/// valid.
struct admin_route_match
{
    std::optional<core::error_kind> error; ///< UnknownRoute or MethodNotAllowed
    admin_route route = admin_route::Status;
    std::string argument; ///< note or group id, empty if the route has none
};

struct admin_answer
{
    int status = 200;
    std::string body; ///< JSON
};

/// State of a database group, as its owners report it.
struct group_report
{
    struct member
    {
        core::member_id member;
        core::zone_name zone;
        std::string address;
        core::member_role role = core::member_role::Replica;
        core::log_position applied;
        std::string state; ///< live, leaving, silent, behind or unknown
    };
    core::group_id group;
    core::member_id primary; ///< empty: not known
    core::term_number term = 0;
    std::vector<member> members;
};

/// State of one instance, as it reports it.
struct status_report
{
    core::tree_node self;
    std::string state; ///< starting, serving or draining
    core::configuration_version version = 0;
    /// Every listed instance has this version or a newer one in force; 0: not known.
    core::configuration_version everywhere = 0;
    core::proof_source proof = core::proof_source::None;
    std::optional<std::int64_t> proofAgeMs; ///< empty: no proof
    bool isProven = false;
    bool isPlatformReachable = false;
    core::instance_id parent; ///< empty: the instance is the root of its tree
    std::size_t children = 0;
    std::size_t listed = 0; ///< entry instances on the copy of the platform's list
};

/// @return the route of a request; the query of @p target is ignored
/// @complexity linear in the size of @p target
[[nodiscard]] admin_route_match matchAdminRoute(std::string_view method, std::string_view target);

/// @brief Tells whether `Authorization: Bearer <secret>` has the operators' secret. The hashes are
/// compared in constant time.
/// @param header value of the Authorization header
/// @param secretHash BLAKE2b-256 of the operators' secret in hexadecimal
[[nodiscard]] bool isOperatorAuthorized(std::string_view header, std::string_view secretHash);

/// @return the error body that docs/errors.md describes
/// @param problem replaces the general sentence if it is not empty
[[nodiscard]] admin_answer answerError(core::error_kind kind, const std::string &problem = {});

/// @return the newest configuration that the instance holds, in canonical form
[[nodiscard]] admin_answer answerConfiguration(const core::config_store &store);

/// @brief Validates a note against the configuration in force without submitting it.
[[nodiscard]] admin_answer answerCheck(const core::config_store &store, std::string_view body);

/// @brief Answers a submit that has ended. Call it after the result's `newest` is installed in
/// @p store.
[[nodiscard]] admin_answer answerSubmit(const core::config_store &store,
                                        const core::release_note &note,
                                        const core::submit_result &result);

/// @brief Answers whether a note was applied.
/// @param version the version that the note created; empty if the platform has no row for the note
/// @param everywhere version that every listed instance has in force, or a newer one; see
/// core::spread_state::everywhere
[[nodiscard]] admin_answer answerNoteStatus(const std::string &id,
                                            std::optional<core::configuration_version> version,
                                            const core::config_store &store,
                                            core::configuration_version everywhere);

[[nodiscard]] admin_answer answerGroups(const std::vector<group_report> &groups);

/// @brief Reads the body of a promotion: `{}` or `{"member": "m2"}`.
[[nodiscard]] std::error_code readPromotion(std::string_view body, core::member_id &member,
                                            std::string &problem);
[[nodiscard]] admin_answer answerPromotion(const core::group_id &group,
                                           const core::member_id &member, core::term_number term);

[[nodiscard]] admin_answer answerInstances(const core::instance_list &list);

[[nodiscard]] admin_answer answerStatus(const status_report &report);

} // namespace fuchsiagw::wire
