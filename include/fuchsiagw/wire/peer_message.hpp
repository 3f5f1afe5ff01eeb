/// @file
/// @brief Messages between the daemons of a deployment.
///
/// Times are sent as remaining microseconds, because instances share no clock. The receiver
/// counts a remaining time from when it sent its own request, so that its deadline is not later
/// than the sender's. It counts from the arrival of the message only where it does not rely on the
/// deadline, which may then be later than the sender's.

#pragma once

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/ids.hpp>
#include <fuchsiagw/core/log_position.hpp>
#include <fuchsiagw/core/membership.hpp>
#include <fuchsiagw/core/statement.hpp>
#include <fuchsiagw/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace fuchsiagw::wire {

/// Kinds of messages. Their numbers are part of the protocol.
enum class peer_kind : std::uint8_t {
    Hello = 1, ///< TCP: sender_info, first message on each connection, in both directions
    Digest = 2, ///< UDP: digest_message
    Probe = 3, ///< UDP: probe_message
    GroupView = 4, ///< UDP: core::published_view
    LeaseRequest = 10,
    LeasePromise = 11,
    VoteRequest = 12,
    ExpiryVote = 13,
    LoanRequest = 20,
    LoanGrant = 21,
    LoanReturns = 22,
    ForwardRequest = 30, ///< TCP
    ForwardAnswer = 31, ///< TCP
    ConfigurationRequest = 40, ///< TCP
    ConfigurationBody = 41, ///< TCP
};

enum class peer_transport : std::uint8_t {
    Datagram,
    Stream,
};

/// Name and transport of a message kind.
struct peer_kind_row
{
    peer_kind kind;
    std::string_view name;
    peer_transport transport;
};

inline constexpr auto peerKinds = std::to_array<peer_kind_row>({
        { peer_kind::Hello, "hello", peer_transport::Stream },
        { peer_kind::Digest, "digest", peer_transport::Datagram },
        { peer_kind::Probe, "probe", peer_transport::Datagram },
        { peer_kind::GroupView, "group_view", peer_transport::Datagram },
        { peer_kind::LeaseRequest, "lease_request", peer_transport::Datagram },
        { peer_kind::LeasePromise, "lease_promise", peer_transport::Datagram },
        { peer_kind::VoteRequest, "vote_request", peer_transport::Datagram },
        { peer_kind::ExpiryVote, "expiry_vote", peer_transport::Datagram },
        { peer_kind::LoanRequest, "loan_request", peer_transport::Datagram },
        { peer_kind::LoanGrant, "loan_grant", peer_transport::Datagram },
        { peer_kind::LoanReturns, "loan_returns", peer_transport::Datagram },
        { peer_kind::ForwardRequest, "forward_request", peer_transport::Stream },
        { peer_kind::ForwardAnswer, "forward_answer", peer_transport::Stream },
        { peer_kind::ConfigurationRequest, "configuration_request", peer_transport::Stream },
        { peer_kind::ConfigurationBody, "configuration_body", peer_transport::Stream },
});

/// @return the row of a kind, nullptr if there is no such kind
[[nodiscard]] constexpr const peer_kind_row *findPeerKind(peer_kind kind)
{
    for (const peer_kind_row &row : peerKinds) {
        if (row.kind == kind)
            return &row;
    }
    return nullptr;
}

[[nodiscard]] constexpr std::string_view toString(peer_kind kind)
{
    const peer_kind_row *row = findPeerKind(kind);
    return row == nullptr ? "unknown" : row->name;
}

using core::sender_state;

/// Identity and state of a sender, whose incarnation is in the header. Instance name, zone and
/// address may be omitted together: a receiver that got them in an earlier message finds them by
/// the incarnation.
struct sender_info
{
    core::instance_id instance; ///< empty: zone and address are omitted too
    core::zone_name zone;
    std::string address; ///< IP number and port of the sender's peer address
    sender_state state = sender_state::Live;

    friend bool operator==(const sender_info &, const sender_info &) = default;

    template <typename archive>
    void serialize(archive &ar)
    {
        bool isNamed = !instance.empty();
        ar(isNamed);
        if constexpr (archive::is_loading::value)
            *this = {};
        if (isNamed)
            ar(instance, zone, address);
        ar(state);
    }
};

/// @brief Tells whether a digest must include the names and address of its sender.
///
/// The first digests to an incarnation and every 16th include the names and address, because a
/// datagram may be lost. If every digest included them, they would be a third of the traffic.
/// @param receiver incarnation of the receiver, 0 if it is not known
/// @param sent digests sent to this incarnation so far
[[nodiscard]] constexpr bool mustIncludeSenderNames(core::incarnation_id receiver,
                                                    std::uint64_t sent)
{
    constexpr std::uint64_t initialCount = 3;
    constexpr std::uint64_t repeatPeriod = 16;
    return receiver == 0 || sent < initialCount || sent % repeatPeriod == 0;
}

/// @tparam report_type state that neighbours of the configuration tree exchange
template <typename report_type>
struct digest_message
{
    sender_info sender;
    report_type report;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(sender, report);
    }
};

/// Liveness probe of an instance that sent nothing for some time, or the answer to a probe.
struct probe_message
{
    sender_info sender;
    bool isAnswer = false; ///< answers are not acknowledged

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(sender, isAnswer);
    }
};

/// A statement that is forwarded to the owner of its group or transaction for execution.
struct forward_request
{
    core::request_id id;
    core::workspace_id workspace;
    core::group_id group;
    core::statement_kind kind = core::statement_kind::Read;
    std::string text;
    std::vector<std::string> parameters;
    std::string readClass;
    std::string idempotencyKey;
    std::optional<core::transaction_id> transaction;
    core::log_position minPosition;
    bool isSessionUnusable = false;
    /// Time to the deadline, counted from arrival; the sender enforces its own deadline.
    std::int64_t remainingMicros = 0;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(id, workspace, group, kind, text, parameters, readClass, idempotencyKey, transaction,
           minPosition, isSessionUnusable, remainingMicros);
    }
};

/// One part of an answer. An answer may exceed a frame, so its parts are sent in order over one
/// connection.
struct forward_answer
{
    core::request_id id; ///< of the request
    std::uint32_t part = 0; ///< from 0, in order
    std::uint32_t parts = 1; ///< number of all parts
    std::string content;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(id, part, parts, content);
    }
};

/// Asks a neighbour for a configuration.
struct configuration_request
{
    std::uint64_t version = 0; ///< oldest acceptable version; 0: the version in force

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(version);
    }
};

/// One part of a configuration, in the JSON form of the object store.
struct configuration_body
{
    std::uint64_t version = 0; ///< 0: no configuration is in force
    /// Hash of the content. It tells apart different contents that have the same version.
    std::uint64_t tag = 0;
    std::uint32_t part = 0; ///< from 0, in order
    std::uint32_t parts = 1;
    std::string content;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(version, tag, part, parts, content);
    }
};

/// Bound on the content of one part. Leaves room in a frame of 1 MiB for the other fields.
inline constexpr std::size_t maxPartBytes = 786'432;
/// Bound on the parts of one message, which limits it to 15 MiB.
inline constexpr std::uint32_t maxPartCount = 20;

/// @brief Converts a request to the message that forwards it.
[[nodiscard]] forward_request makeForwardRequest(const core::statement_request &request,
                                                 core::time_point now);

/// @brief Converts a forwarded request to the one that the receiver executes.
/// @param now when the message arrived
[[nodiscard]] core::statement_request toRequest(forward_request forward, core::time_point now);

/// @brief Splits an answer into parts.
/// @param[out] parts the messages to send, in order
/// @return MessageTooLarge if it exceeds maxPartCount or has more than 262,144 rows and cells; a
/// write must then be answered with the outcome `unknown`, since it may have been executed
[[nodiscard]] std::error_code splitAnswer(const core::statement_answer &answer,
                                          std::vector<forward_answer> &parts);

/// @brief Splits the text of a configuration into parts; see splitAnswer().
[[nodiscard]] std::error_code splitConfiguration(std::uint64_t version, std::uint64_t tag,
                                                 std::string_view text,
                                                 std::vector<configuration_body> &parts);

/// Reassembles a message from its parts. Invariant: `content` holds the first `nextPart` parts.
struct part_assembler
{
    std::string content;
    std::uint32_t nextPart = 0;
    std::uint32_t parts = 0; ///< number of all parts; 0: none has arrived

    /// @brief Appends the next part.
    /// @param part number of the part, from 0
    /// @param partCount number of all parts
    /// @return MessageDamaged unless the part follows the previous one within the bounds
    [[nodiscard]] std::error_code add(std::uint32_t part, std::uint32_t partCount,
                                      const std::string &piece);
    [[nodiscard]] bool isComplete() const { return parts > 0 && nextPart == parts; }
};

/// @brief Reads an answer from its reassembled content.
/// @return MessageDamaged if it is not an answer to @p id
[[nodiscard]] std::error_code readAnswer(const core::request_id &id, std::string_view content,
                                         core::statement_answer &answer);

/// @brief Tells whether a decoded value is in the range of its type. Types with enumerations or
/// bounds have overloads.
template <typename type>
[[nodiscard]] bool isValid(const type & /*value*/)
{
    return true;
}
[[nodiscard]] inline bool isValid(const sender_info &value)
{
    return value.state <= sender_state::Gone;
}
[[nodiscard]] inline bool isValid(const probe_message &value)
{
    return isValid(value.sender);
}
[[nodiscard]] inline bool isValid(const forward_request &value)
{
    return value.kind <= core::statement_kind::Rollback && value.remainingMicros >= 0;
}
template <typename report_type>
[[nodiscard]] bool isValid(const digest_message<report_type> &value)
{
    return isValid(value.sender) && isValid(value.report);
}

} // namespace fuchsiagw::wire
