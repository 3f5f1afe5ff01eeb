/// @file
/// @brief Ends of sessions: by their callers, or by the proxy with an answer to every statement.

#include <fuchsiagw/detail/engine_steps.hpp>

namespace fuchsiagw::proxy {

namespace {

/// Refuses a statement that waits behind the last one that the session runs.
void refuseWaiting(engine &state, const session &caller, const caller_statement &statement,
                   const session_close &close)
{
    ++state.counters.refused.at(static_cast<std::size_t>(close.refusal));
    decision_note note;
    note.kind = note_kind::StatementRefused;
    note.request = statement.id;
    note.session = caller.id;
    note.workspace = caller.workspace;
    note.reason = toString(close.refusal);
    note.manifestVersion = manifestVersionOf(state);
    state.out.emplace_back(std::move(note));
    state.out.emplace_back(
            send_to_caller{ caller.id, refuse(close.refusal, caller.state, close.retryAfter) });
}

/// Ends a session once its accepted statements are answered.
void endAfterAccepted(engine &state, session_id id, session_end why, core::time_point now)
{
    session *caller = findSession(state, id);
    if (caller == nullptr || caller->ending)
        return;
    caller->ending =
            session_close{ why, refusal_reason::OutOfPlace, {}, accepted_statements::AreRun };
    if (!caller->current)
        closeSession(state, *caller, now);
}

} // namespace

void closeSession(engine &state, session &caller, core::time_point now)
{
    const session_close close = *caller.ending;
    for (const caller_statement &each : caller.waiting)
        refuseWaiting(state, caller, each, close);
    caller.waiting.clear();
    close_caller ended{ caller.id, {} };
    if (close.why != session_end::Terminated)
        ended.notice = refuse(close.refusal, caller.state, close.retryAfter);
    state.out.emplace_back(std::move(ended));
    onCallerDisconnected(state, caller.id, now, close.why);
}

void onCallerUnreadable(engine &state, session_id id, core::time_point now)
{
    endAfterAccepted(state, id, session_end::Unreadable, now);
}

void onCallerTerminated(engine &state, session_id id, core::time_point now)
{
    endAfterAccepted(state, id, session_end::Terminated, now);
}

void onCallerDisconnected(engine &state, session_id id, core::time_point now, session_end reason)
{
    session *caller = findSession(state, id);
    if (caller == nullptr)
        return;
    state.active.erase(id);
    link_id pinnedLink = caller->transaction ? caller->transaction->link : 0;
    const bool neverSent =
            caller->current && caller->current->admitted && !caller->current->wasSent;
    if (neverSent && caller->state == transaction_state::Idle)
        refundToken(state.quota, caller->workspace, now);
    decision_note note;
    note.kind = note_kind::SessionClosed;
    note.session = id;
    note.workspace = caller->workspace;
    note.reason = toString(reason);
    const std::size_t unanswered = caller->waiting.size() + (caller->current ? 1 : 0);
    note.number = static_cast<std::int64_t>(unanswered);
    ++state.counters.sessionsEnded.at(static_cast<std::size_t>(reason));
    state.counters.statementsUnanswered += unanswered;
    state.out.emplace_back(std::move(note));
    state.stateBytes -= caller->stateBytes;
    state.sessions.erase(id);
    if (upstream_link *link = findLink(state, pinnedLink))
        rollBack(state, *link, now);
}

} // namespace fuchsiagw::proxy
