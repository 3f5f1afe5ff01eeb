/// @file
/// @brief Table of requests to other daemons that await an answer.

#pragma once

#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/time.hpp>
#include <fuchsiagw/net/tcp_link.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace fuchsiagw::net {

/// Matches answers to requests. An answer is accepted only if it has the id of a pending request
/// and arrives on the link on which the request was sent. A duplicate answer matches no entry.
/// Invariant: every entry has exactly one element in deadlines_.
template <typename context>
class pending_requests
{
public:
    struct entry
    {
        core::request_id id;
        link_id link = 0;
        core::time_point deadline = core::noDeadline;
        context value;
    };

    explicit pending_requests(std::size_t capacity)
        : capacity_(capacity)
    { }

    /// @return false if the id is in use or the table is full
    /// @complexity logarithmic in the number of requests
    [[nodiscard]] bool add(const core::request_id &id, link_id link, core::time_point deadline,
                           context value)
    {
        if (entries_.size() >= capacity_)
            return false;
        const bool isNew =
                entries_.try_emplace(id, entry{ id, link, deadline, std::move(value) }).second;
        if (isNew)
            deadlines_.emplace(deadline, id);
        return isNew;
    }

    /// @return the request with this id on this link, or nullptr
    /// @complexity logarithmic in the number of requests
    [[nodiscard]] entry *find(const core::request_id &id, link_id link)
    {
        const auto found = entries_.find(id);
        return found == entries_.end() || found->second.link != link ? nullptr : &found->second;
    }

    /// @brief Removes and returns the request that an answer completes.
    /// @complexity logarithmic in the number of requests
    [[nodiscard]] std::optional<entry> take(const core::request_id &id, link_id link)
    {
        if (find(id, link) == nullptr)
            return std::nullopt;
        return remove(entries_.find(id));
    }

    /// @brief Removes and returns the requests of a closed link.
    /// @complexity linear in the number of requests
    [[nodiscard]] std::vector<entry> takeByLink(link_id link)
    {
        std::vector<entry> taken;
        for (auto each = entries_.begin(); each != entries_.end();) {
            const auto next = std::next(each);
            if (each->second.link == link)
                taken.push_back(remove(each));
            each = next;
        }
        return taken;
    }

    /// @brief Removes and returns the requests whose deadline has been reached.
    /// @complexity logarithmic in the number of requests for each removed one
    [[nodiscard]] std::vector<entry> takeExpired(core::time_point now)
    {
        std::vector<entry> taken;
        while (!deadlines_.empty() && deadlines_.begin()->first <= now)
            taken.push_back(remove(entries_.find(deadlines_.begin()->second)));
        return taken;
    }

    /// @return the earliest deadline, noDeadline if there is no request
    [[nodiscard]] core::time_point nextDeadline() const
    {
        return deadlines_.empty() ? core::noDeadline : deadlines_.begin()->first;
    }

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    using map = std::map<core::request_id, entry>;

    std::size_t capacity_;
    map entries_;
    std::set<std::pair<core::time_point, core::request_id>> deadlines_;

    entry remove(typename map::iterator where)
    {
        entry taken = std::move(where->second);
        deadlines_.erase({ taken.deadline, taken.id });
        entries_.erase(where);
        return taken;
    }
};

} // namespace fuchsiagw::net
