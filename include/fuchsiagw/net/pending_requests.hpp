/// @file
/// @brief Requests to other daemons that wait for their answer.

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

/// Matches answers to requests. An answer counts only if it has the id of a request and comes on
/// the link on which the request was sent; a second answer finds nothing.
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

    /// @return false if the id is in use or there are too many requests
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

    /// @return the request, nullptr if there is none with this id on this link
    /// @complexity logarithmic in the number of requests
    [[nodiscard]] entry *find(const core::request_id &id, link_id link)
    {
        const auto found = entries_.find(id);
        return found == entries_.end() || found->second.link != link ? nullptr : &found->second;
    }

    /// @brief Removes a request whose answer is complete.
    /// @complexity logarithmic in the number of requests
    [[nodiscard]] std::optional<entry> take(const core::request_id &id, link_id link)
    {
        if (find(id, link) == nullptr)
            return std::nullopt;
        return remove(entries_.find(id));
    }

    /// @brief Removes the requests of a link that has closed.
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

    /// @brief Removes the requests whose deadline has come.
    /// @complexity logarithmic in the number of requests for each
    [[nodiscard]] std::vector<entry> takeExpired(core::time_point now)
    {
        std::vector<entry> taken;
        while (!deadlines_.empty() && deadlines_.begin()->first <= now)
            taken.push_back(remove(entries_.find(deadlines_.begin()->second)));
        return taken;
    }

    /// @return when takeExpired() has something to do
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
