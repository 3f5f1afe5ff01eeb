/// @file
/// @brief What daemons say to each other.
///
/// Times are sent as remaining microseconds, because instances share no clock. The receiver counts
/// them from the time when it sent its question, or from arrival where that only makes a deadline
/// later for the side that does not rely on it.

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

/// The numbers are part of the protocol.
enum class peer_kind : std::uint8_t {
    Hello = 1, ///< TCP: sender_info, first message on each link in both directions
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

/// One row of the list of kinds.
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

/// Who sends. The incarnation stands in the header. Names and address may be left out together: the
/// receiver of an earlier message knows them by the incarnation.
struct sender_info
{
    core::instance_id instance; ///< empty: zone and address are not sent either
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

/// @brief Tells whether a digest must name its sender: the first ones to each incarnation, since
/// datagrams are lost, and some later ones. Names in every digest would be a third of the traffic.
/// @param receiver 0 if it is not known
/// @param sent digests sent to this incarnation so far
[[nodiscard]] constexpr bool mustIncludeSenderNames(core::incarnation_id receiver,
                                                    std::uint64_t sent)
{
    constexpr std::uint64_t always = 3;
    constexpr std::uint64_t every = 16;
    return receiver == 0 || sent < always || sent % every == 0;
}

/// @tparam report_type what the tree over which configuration spreads needs to say
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

/// Asks an instance that was silent for a sign of life, or gives one.
struct probe_message
{
    sender_info sender;
    bool isAnswer = false; ///< an answer is not answered

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(sender, isAnswer);
    }
};

/// A statement that the owner of the group or of the transaction shall carry out.
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
    std::int64_t remainingMicros =
            0; ///< counted from arrival; the sender enforces its own deadline

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(id, workspace, group, kind, text, parameters, readClass, idempotencyKey, transaction,
           minPosition, isSessionUnusable, remainingMicros);
    }
};

/// One part of an answer. Answers may exceed one frame, so they travel in parts over one link.
struct forward_answer
{
    core::request_id id; ///< of the request
    std::uint32_t part = 0; ///< from 0, in order
    std::uint32_t parts = 1;
    std::string content;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(id, part, parts, content);
    }
};

struct configuration_request
{
    std::uint64_t version = 0; ///< wanted, or newer; 0: whatever is in force

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(version);
    }
};

/// One part of a configuration in the JSON form of the object store.
struct configuration_body
{
    std::uint64_t version = 0; ///< 0: none is in force
    std::uint64_t tag = 0; ///< tells two contents of one version apart
    std::uint32_t part = 0; ///< from 0, in order
    std::uint32_t parts = 1;
    std::string content;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(version, tag, part, parts, content);
    }
};

/// Leaves room in a frame of 1 MiB for the other fields.
inline constexpr std::size_t maxPartBytes = 786'432;
/// Bound of a message that travels in parts: 15 MiB.
inline constexpr std::uint32_t maxPartCount = 20;

/// @brief Makes the message that forwards a request.
[[nodiscard]] forward_request makeForwardRequest(const core::statement_request &request,
                                                 core::time_point now);

/// @brief Makes the request that the receiver of a forwarded one carries out.
/// @param now when the message arrived
[[nodiscard]] core::statement_request toRequest(forward_request forward, core::time_point now);

/// @brief Cuts an answer into parts.
/// @param[out] parts the messages to send, in order
/// @return MessageTooLarge if it exceeds maxPartCount or has more than 262,144 rows and cells; the
/// caller must then be told `unknown` for a write, since it may have run
[[nodiscard]] std::error_code splitAnswer(const core::statement_answer &answer,
                                          std::vector<forward_answer> &parts);

/// @brief Cuts the text of a configuration into parts; see splitAnswer().
[[nodiscard]] std::error_code splitConfiguration(std::uint64_t version, std::uint64_t tag,
                                                 std::string_view text,
                                                 std::vector<configuration_body> &parts);

/// Puts the parts of one message together. Invariant: `next` parts are in `content`.
struct part_assembler
{
    std::string content;
    std::uint32_t next = 0;
    std::uint32_t parts = 0; ///< 0: none has come

    /// @brief Takes the next part.
    /// @return MessageDamaged unless it follows the last one within the bounds
    [[nodiscard]] std::error_code add(std::uint32_t part, std::uint32_t of,
                                      const std::string &piece);
    [[nodiscard]] bool isComplete() const { return parts > 0 && next == parts; }
};

/// @brief Reads the content of an answer whose parts are complete.
/// @return MessageDamaged if it is not an answer to @p id
[[nodiscard]] std::error_code readAnswer(const core::request_id &id, std::string_view content,
                                         core::statement_answer &answer);

/// @brief Tells whether a value that was read is one that the program can hold. Types with
/// enumerations or bounds overload it.
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
