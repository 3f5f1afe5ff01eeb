/// @file
/// @brief Directed schedules beside one open promotion order, one for each way in which another
/// replica than the ordered one may become the second copy of a commit.

#pragma once

#include "schedule-cluster.hpp"

#include <string>

namespace fuchsiagw::proxy {

/// Course of the ordered member while its order is open.
enum class ordered_member : std::uint8_t {
    Receives,
    ReceivesNothing, ///< it is cut off from the primary, so that another replica acknowledges
};

inline constexpr milliseconds directedDuration{ 20'000 };

/// @return the replica of the first three members that was not ordered
inline std::string otherReplica(const std::string &ordered)
{
    return ordered == "m2" ? "m3" : "m2";
}

/// Hides the primary from the daemons until an order was sent that takes effect late.
/// @return the ordered member
inline std::string openOrder(schedule_cluster &cluster, ordered_member course)
{
    const std::vector<std::string> all{ "n1", "n2", "n3" };
    cluster.ordersAreLateUntil = cluster.now + directedDuration;
    cluster.hide("m1", all, directedDuration);
    const std::string ordered = cluster.awaitOrder(std::chrono::seconds(5));
    if (!ordered.empty() && course == ordered_member::ReceivesNothing)
        cluster.cut("m1", ordered, directedDuration);
    return ordered;
}

/// The sender of the order is cut off, another daemon starts an attempt, and then sees that the
/// primary leads (`primary_leads`).
inline void playReturnBesideAttempt(schedule_cluster &cluster, ordered_member course)
{
    if (openOrder(cluster, course).empty())
        return;
    cluster.isolateDaemon(cluster.sender, directedDuration);
    cluster.awaitOtherHolder(cluster.sender, std::chrono::seconds(8));
    cluster.show("m1", cluster.daemonsExcept(cluster.sender));
    cluster.advance(directedDuration);
}

/// The sender of the order is cut off, and another daemon starts an attempt that does not reach the
/// ordered member, while the third one reaches the primary.
/// @param isListed whether the old primary has an entry, so that it is told to step down; else the
/// attempt ends with `members_missing`
inline void playAttemptWithoutMember(schedule_cluster &cluster, ordered_member course,
                                     bool isListed)
{
    const std::string ordered = openOrder(cluster, course);
    if (ordered.empty())
        return;
    const std::string sender = cluster.sender;
    cluster.isolateDaemon(sender, directedDuration);
    cluster.hide(ordered, cluster.daemonsExcept(sender), directedDuration);
    if (!isListed) {
        for (const std::string &daemon : cluster.daemonsExcept(sender)) {
            cluster.unlisted[daemon].insert("m1");
            cluster.publishTo(daemon);
        }
    }
    cluster.awaitOtherHolder(sender, std::chrono::seconds(8));
    for (const std::string &daemon : cluster.daemonsExcept(sender)) {
        if (daemon == cluster.leaseHolder)
            continue;
        cluster.show("m1", { daemon });
        cluster.unlisted[daemon].erase("m1");
        cluster.publishTo(daemon);
    }
    cluster.advance(directedDuration);
}

/// The primary is back, and a member joins that the daemons list seconds later.
inline void playJoin(schedule_cluster &cluster, ordered_member course)
{
    if (openOrder(cluster, course).empty())
        return;
    cluster.show("m1", { "n1", "n2", "n3" });
    cluster.join(std::chrono::seconds(3));
    cluster.advance(directedDuration);
}

/// The primary is back and the ordered member receives at first. When it no longer does, a member
/// that no daemon lists yet joins and becomes the second copy of the commits that wait.
inline void playJoinAfterLoss(schedule_cluster &cluster)
{
    const std::string ordered = openOrder(cluster, ordered_member::Receives);
    if (ordered.empty())
        return;
    cluster.show("m1", { "n1", "n2", "n3" });
    cluster.advance(milliseconds(700));
    cluster.cut("m1", ordered, directedDuration);
    cluster.advance(milliseconds(300));
    cluster.join(std::chrono::seconds(1));
    cluster.advance(directedDuration);
}

/// A member joins that no daemon lists, and the primary is hidden from two daemons: the third one
/// goes on giving it writes until the order is under way.
inline void playPartlyHidden(schedule_cluster &cluster)
{
    cluster.join(std::chrono::seconds(6));
    cluster.advance(milliseconds(100 + cluster.below(300)));
    cluster.hide("m1", { "n1", "n2" }, std::chrono::seconds(4));
    cluster.advance(directedDuration);
}

/// The network splits: the primary, one daemon and a member that no daemon lists on one side, the
/// other members, the other daemons and the store on the other side.
inline void playSplit(schedule_cluster &cluster)
{
    const std::string joined = cluster.join(directedDuration);
    cluster.advance(milliseconds(200));
    for (const std::string &here : { std::string("m1"), std::string("n3"), joined }) {
        for (const char *there : { "store", "n1", "n2", "m2", "m3" })
            cluster.cut(here, there, std::chrono::seconds(5));
    }
    cluster.advance(directedDuration);
}

/// A member joins before the primary is hidden from two daemons, and is in no list when one of them
/// pauses the replicas.
inline void playMissingEntry(schedule_cluster &cluster, ordered_member course)
{
    cluster.join(std::chrono::seconds(4));
    cluster.advance(milliseconds(200));
    if (openOrder(cluster, course).empty())
        return;
    cluster.show("m1", { "n1", "n2", "n3" });
    cluster.advance(directedDuration);
}

/// The primary is back, and the paused replica restarts.
/// @param senderRuns whether the daemon that has sent the order goes on
inline void playRestart(schedule_cluster &cluster, ordered_member course, bool senderRuns)
{
    const std::string ordered = openOrder(cluster, course);
    if (ordered.empty())
        return;
    cluster.show("m1", cluster.daemonsExcept(cluster.sender));
    if (senderRuns)
        cluster.show("m1", { cluster.sender });
    else
        cluster.isolateDaemon(cluster.sender, directedDuration);
    cluster.advance(milliseconds(200));
    cluster.restart(otherReplica(ordered));
    cluster.advance(directedDuration);
}

} // namespace fuchsiagw::proxy
