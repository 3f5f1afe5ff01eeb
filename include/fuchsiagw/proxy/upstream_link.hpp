/// @file
/// @brief State of one connection to a member.

#pragma once

#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/reply.hpp>
#include <fuchsiagw/proxy/session.hpp>
#include <fuchsiagw/proxy/upstream_command.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace fuchsiagw::proxy {

enum class link_state : std::uint8_t {
    Connecting, ///< waits for the connection or for the answer to Startup
    Idle,
    Busy, ///< has outstanding answers or is pinned to a transaction
};

/// The kind of command to which an outstanding answer belongs.
enum class answer_role : std::uint8_t {
    Startup,
    Preparation, ///< sets values or prepared statements of the session
    Begin,
    Confirmation, ///< command behind a begin or a command of the proxy itself
    Statement,
    Cleanup, ///< rollback that the proxy sends
    Control, ///< command of the proxy itself: status, pause, resume or step down
    Report, ///< status without a confirmation, whose position only bounds the log from below
};

struct expected_answer
{
    answer_role role = answer_role::Statement;
    session_id session = 0;
    std::uint64_t serial =
            0; ///< request::serial; of a control command: member_state::evidenceSerial
    /// When the command was sent. What the answer proves holds from then on, whatever was sent on
    /// the link since.
    core::time_point sentAt{};
};

/// Invariants: while a transaction is open on the link, only statements of its session are sent.
/// `values` and `prepared` mirror the state of the connection at the member. After a failed
/// preparation that state is unknown: `tainted` is set and the link is closed.
struct upstream_link
{
    link_id id = 0;
    std::string member;
    std::string workspace; ///< workspace for which the connection was opened
    std::string relay; ///< relay that lends the connection; empty: direct connection
    bool control = false; ///< carries only commands of the proxy itself
    link_state state = link_state::Connecting;
    std::deque<expected_answer> expected;
    session_values values;
    std::map<prepared_shape, std::string> prepared; ///< names at the member, by shape
    session_id pinnedTo = 0; ///< session whose transaction runs on this link; 0: none
    bool beginProvesLeader = false; ///< latest begin was read-write; only a leader accepts it
    /// From the answers to the latest begin and its confirmation.
    std::optional<core::log_position> beginPosition;
    core::time_point beginSentAt{}; ///< when the begin of `beginPosition` was sent
    /// Answer to a command of the proxy itself, until its confirmation is answered.
    std::optional<reply> controlAnswer;
    bool awaitsBegin = false; ///< its transaction's first statement counts as outstanding, unsent
    bool beginFailed = false; ///< the begin in the current batch was refused
    reply_code beginCode = reply_code::Success; ///< answer to the refused begin
    core::duration retryAfter{ 0 }; ///< from a relay that refused; 0: unknown
    bool refused = false; ///< Startup and the commands sent after it were refused
    bool recalled =
            false; ///< closed by the relay; no command without an answer has reached a member
    bool tainted = false; ///< the connection can't be reused
    /// The member has answered a statement with an error, which may come a second time: no further
    /// operation starts on the link.
    bool hasSeenError = false;
    core::time_point lastSent{}; ///< start of the silence of the member; proves no position
    core::time_point idleSince{};
    core::time_point openedAt{};
    core::time_point answerDeadline =
            core::noDeadline; ///< closed then if an answer is still outstanding
};

} // namespace fuchsiagw::proxy
