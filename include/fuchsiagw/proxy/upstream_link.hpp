/// @file
/// @brief One connection to a member and what it is used for.

#pragma once

#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/proxy/session.hpp>
#include <fuchsiagw/proxy/upstream_command.hpp>

#include <cstdint>
#include <deque>
#include <set>
#include <string>

namespace fuchsiagw::proxy {

enum class link_state : std::uint8_t {
    Connecting, ///< the connection or its first answer is outstanding
    Idle,
    Busy, ///< owes answers, or is kept for a transaction
};

/// What an answer that is outstanding on a link belongs to.
enum class answer_role : std::uint8_t {
    Startup,
    Preparation, ///< values and prepared statements of the session
    Begin,
    Statement,
    Cleanup, ///< rollback by the proxy
    Control, ///< status, pause, step down
};

struct expected_answer
{
    answer_role role = answer_role::Statement;
    session_id session = 0;
    std::uint64_t serial = 0; ///< of the request
};

/// Invariants: a link with an open transaction belongs to one session, and no statement of another
/// session is sent on it. `values` and `prepared` are what the member was told; they count as
/// unknown (`tainted`) after a failed preparation, and the link is then closed.
struct upstream_link
{
    link_id id = 0;
    std::string member;
    std::string workspace; ///< named when the connection was opened
    std::string via; ///< daemon that lends the connection; empty: it is a direct one
    bool control = false; ///< for the proxy's own orders only
    link_state state = link_state::Connecting;
    std::deque<expected_answer> expected;
    session_values values;
    std::set<prepared_shape> prepared;
    session_id pinnedTo = 0; ///< session whose transaction runs here
    bool beginProvesLeader = false; ///< the newest begin proves that the member leads
    bool beginFailed = false; ///< the transaction's begin of the current batch was refused
    reply_code beginCode = reply_code::Success;
    bool refused = false; ///< the opening was refused, and with it what was sent behind it
    bool tainted = false;
    core::time_point lastSent{};
    core::time_point idleSince{};
    core::time_point openedAt{};
    core::time_point answerDeadline = core::noDeadline; ///< closed then if answers are outstanding
};

} // namespace fuchsiagw::proxy
