/// @file
/// @brief The list of members: read as a whole, followed through the feed of changes, and brought
/// up to date before a fencing token is reported.

#include <fuchsiagw/daemon/store_client.hpp>

#include <fuchsiagw/detail/store_calls.hpp>
#include <fuchsiagw/net/clock.hpp>

#include <algorithm>
#include <utility>

namespace fuchsiagw::daemon {

using std::chrono::milliseconds;

void store_client::refreshMembers()
{
    // A read in progress is not replaced: a list that takes longer than the interval between two
    // reads would otherwise never be applied.
    const core::duration sinceLastRead = net::currentBootTime() - lastMemberRead_;
    if (!isReadingMembers_ && sinceLastRead >= pacing().minMemberReadInterval)
        readMembers();
}

void store_client::readMembers()
{
    lastMemberRead_ = net::currentBootTime();
    const std::uint64_t generation = ++memberGeneration_;
    isReadingMembers_ = true;
    isFollowingMembers_ = false;
    readMemberPages({}, {}, generation, [this, generation](std::optional<member_list> &&list) {
        isReadingMembers_ = false;
        if (!list) {
            runAfter(backoff(memberFailures_++), [this, generation] {
                if (generation == memberGeneration_)
                    readMembers();
            });
            return;
        }
        memberFailures_ = 0;
        applyMemberList(std::move(*list));
        followMembers();
    });
}

/// @param list rows before @p from
/// @param generation the read ends without a result once memberGeneration_ differs; none: never
void store_client::readMemberPages(const std::string &from, member_list &&list,
                                   std::optional<std::uint64_t> generation,
                                   member_list_handler done)
{
    call(store_purpose::Members, adapter::readRows(adapter::memberTable(), from), callTimeout,
         [this, from, generation, list = std::move(list),
          done = std::move(done)](const store_answer &answer) mutable {
             if (generation && generation != memberGeneration_)
                 return;
             const auto rows = rowsOf(answer);
             if (!rows || !leadsOn(*rows, from)) {
                 done(std::nullopt);
                 return;
             }
             for (const adapter::store_row &row : rows->rows) {
                 if (const auto entry = decodeMember(row))
                     list.rows[row.key] = *entry;
             }
             // The feed then repeats what changed while the pages were read.
             if (from.empty())
                 list.version = rows->version;
             if (rows->hasMore)
                 readMemberPages(rows->rows.back().key, std::move(list), generation, done);
             else
                 done(std::move(list));
         });
}

void store_client::followMembers()
{
    isFollowingMembers_ = true;
    call(store_purpose::Members,
         adapter::followRows(adapter::memberTable(), members_.version, longPollWait),
         longPollWait + longPollGrace,
         [this, generation = memberGeneration_,
          after = members_.version](const store_answer &received) {
             const store_answer answer = checkedFeed(received, after);
             const auto rows = rowsOf(answer);
             if (rows)
                 applyMemberChanges(*rows);
             if (generation != memberGeneration_)
                 return;
             isFollowingMembers_ = false;
             const auto waitTime = rows                          ? pacing().memberPollPause
                                   : answer.status == statusGone ? milliseconds(0)
                                                                 : backoff(memberFailures_++);
             if (rows)
                 memberFailures_ = 0;
             runAfter(waitTime, [this, generation, isRead = rows.has_value()] {
                 if (generation != memberGeneration_)
                     return;
                 if (isRead)
                     followMembers();
                 else
                     readMembers();
             });
         });
}

/// Reads run beside each other, so a list can arrive after newer rows.
void store_client::applyMemberList(member_list &&list)
{
    if (list.version >= members_.version) {
        for (const auto &[key, known] : members_.rows) {
            const auto found = list.rows.find(key);
            const core::store_version readVersion =
                    found == list.rows.end() ? list.version : found->second.version;
            if (known.version > readVersion)
                list.rows[key] = known;
        }
        members_ = std::move(list);
    }
    reportMembers();
}

/// Skips the changes that another read has brought already: the feed's answer can be late.
void store_client::applyMemberChanges(const adapter::store_rows &changes)
{
    bool isChanged = false;
    for (const adapter::store_row &row : changes.rows) {
        const auto known = members_.rows.find(row.key);
        const bool isKnown = known != members_.rows.end() && known->second.version >= row.version;
        if (isKnown || row.version <= members_.version)
            continue;
        if (const auto entry = decodeMember(row))
            members_.rows[row.key] = *entry;
        else
            members_.rows.erase(row.key);
        isChanged = true;
    }
    members_.version = std::max(members_.version, changes.version);
    if (isChanged)
        reportMembers();
}

void store_client::reportMembers()
{
    std::vector<proxy::listed_member> list;
    for (const auto &[key, each] : members_.rows)
        list.push_back(each);
    callbacks_.onMembers(list);
}

/// Reports a token once the members are known as of a moment after it. Without this read a feed
/// whose connection has fallen silent would hide a replica that has joined for up to 28 s: the
/// promotion would neither pause nor ask it, although it may hold the second copy of a commit.
void store_client::reportWithMembers(unreported_token &&token)
{
    unreportedTokens_.push_back(std::move(token));
    if (tokensBeforeRead_ == 0)
        readMembersForTokens();
}

/// A later request for a token of the service reports its own result.
void store_client::dropUnreportedTokens(const std::string &service)
{
    for (unreported_token &each : unreportedTokens_)
        each.isReplaced = each.isReplaced || each.service == service;
}

/// Reads once for all tokens that wait, as a zone can take the primaries of thousands of groups
/// with it. The loop of followMembers() goes on beside it.
void store_client::readMembersForTokens()
{
    tokensBeforeRead_ = unreportedTokens_.size();
    if (members_.version == 0) {
        readMemberListForTokens();
        return;
    }
    const core::store_version after = members_.version;
    call(store_purpose::Members,
         adapter::followRows(adapter::memberTable(), after, milliseconds(0)), callTimeout,
         [this, after](const store_answer &received) {
             const store_answer answer = checkedFeed(received, after);
             if (answer.status == statusGone) {
                 readMemberListForTokens();
                 return;
             }
             const auto rows = rowsOf(answer);
             if (!rows) {
                 reportTokens(0, false);
                 return;
             }
             applyMemberChanges(*rows);
             // A store may name the version of the last change that it returns, which can precede
             // the token; the version of a whole list is the newest one.
             const bool hasMore = !rows->rows.empty() && rows->version > after;
             const bool isBehind = !hasMore && !unreportedTokens_.empty()
                                   && rows->version < unreportedTokens_.front().token;
             if (isBehind)
                 readMemberListForTokens();
             else
                 reportTokens(rows->version, hasMore);
         });
}

void store_client::readMemberListForTokens()
{
    readMemberPages({}, {}, std::nullopt, [this](std::optional<member_list> &&list) {
        if (!list) {
            reportTokens(0, false);
            return;
        }
        const core::store_version version = list->version;
        applyMemberList(std::move(*list));
        reportTokens(version, false);
    });
}

/// Tokens are versions of the store, so a list as of a version that is not lower than a token is as
/// of a moment after it, even if the token came while the read was in flight.
/// @param listVersion version of the store that the read has reached; 0: it has failed
/// @param hasMore a further read may reach a higher version
void store_client::reportTokens(core::store_version listVersion, bool hasMore)
{
    while (!unreportedTokens_.empty()) {
        const bool isCovered = unreportedTokens_.front().token <= listVersion;
        if (!isCovered && (tokensBeforeRead_ == 0 || hasMore))
            break;
        const unreported_token next = std::move(unreportedTokens_.front());
        unreportedTokens_.pop_front();
        tokensBeforeRead_ -= std::min<std::size_t>(tokensBeforeRead_, 1);
        reportToken(next, isCovered);
    }
    tokensBeforeRead_ = 0;
    if (!unreportedTokens_.empty())
        readMembersForTokens();
}

void store_client::reportToken(const unreported_token &token, bool isCovered)
{
    if (token.isReplaced)
        return;
    if (isCovered)
        callbacks_.onTokenAcquired(token.service, token.token, token.orders);
    else
        callbacks_.onTokenAcquired(token.service, 0, {});
}

std::optional<proxy::listed_member> store_client::decodeMember(const adapter::store_row &row)
{
    if (row.deleted)
        return std::nullopt;
    const auto entry = adapter::decodeMember(row);
    if (entry)
        return proxy::listed_member{ *entry, row.version };
    reportUnreadable(row);
    return std::nullopt;
}

} // namespace fuchsiagw::daemon
