/// @file
/// @brief Conversion of forwarded statements and splitting of large messages.

#include <fuchsiagw/wire/peer_message.hpp>

#include <fuchsiagw/wire/peer_codec.hpp>

#include <algorithm>
#include <utility>

namespace fuchsiagw::wire {

namespace {

/// Bound on a remaining time, also used for a request without a deadline.
constexpr core::duration maxRemaining = std::chrono::hours(1);

/// Content of an answer before it is split into parts.
struct answer_content
{
    core::request_id id;
    std::int32_t error = 0; ///< number of the error kind; 0: success
    std::string problem;
    std::vector<std::vector<std::string>> rows;
    core::log_position position;
    core::log_position applied;
    core::member_id member;
    bool fromReplica = false;
    std::optional<core::transaction_id> transaction;

    template <typename archive>
    void serialize(archive &ar)
    {
        ar(id, error, problem, rows, position, applied, member, fromReplica, transaction);
    }
};

bool isKnownError(std::int32_t number)
{
    const core::error_answer *rows = core::errorAnswers();
    return std::any_of(rows, rows + core::errorAnswerCount(), [number](const auto &row) {
        return static_cast<std::int32_t>(row.kind) == number;
    });
}

/// Calls @p add with the index of each part, the number of parts and the part's content.
template <typename adder>
std::error_code split(std::string_view content, const adder &add)
{
    const std::size_t count =
            std::max<std::size_t>(1, (content.size() + maxPartBytes - 1) / maxPartBytes);
    if (count > maxPartCount)
        return core::error_kind::MessageTooLarge;
    for (std::size_t part = 0; part < count; ++part)
        add(static_cast<std::uint32_t>(part), static_cast<std::uint32_t>(count),
            std::string(content.substr(part * maxPartBytes, maxPartBytes)));
    return {};
}

} // namespace

forward_request makeForwardRequest(const core::statement_request &request, core::time_point now)
{
    const core::duration remaining =
            request.deadline == core::noDeadline
                    ? maxRemaining
                    : std::clamp(request.deadline - now, core::duration(0), maxRemaining);
    return { request.id,
             request.workspace,
             request.group,
             request.kind,
             request.text,
             request.parameters,
             request.readClass,
             request.idempotencyKey,
             request.transaction,
             request.minPosition,
             request.isSessionUnusable,
             remaining.count() };
}

core::statement_request toRequest(forward_request forward, core::time_point now)
{
    core::statement_request request;
    request.id = forward.id;
    request.workspace = std::move(forward.workspace);
    request.group = std::move(forward.group);
    request.kind = forward.kind;
    request.text = std::move(forward.text);
    request.parameters = std::move(forward.parameters);
    request.readClass = std::move(forward.readClass);
    request.idempotencyKey = std::move(forward.idempotencyKey);
    request.transaction = forward.transaction;
    request.minPosition = forward.minPosition;
    request.isSessionUnusable = forward.isSessionUnusable;
    request.deadline =
            now
            + std::clamp(core::duration(forward.remainingMicros), core::duration(0), maxRemaining);
    return request;
}

std::error_code splitAnswer(const core::statement_answer &answer,
                            std::vector<forward_answer> &parts)
{
    const answer_content content{
        answer.id,         answer.error ? static_cast<std::int32_t>(*answer.error) : 0,
        answer.problem,    answer.rows,
        answer.position,   answer.applied,
        answer.member,     answer.fromReplica,
        answer.transaction
    };
    parts.clear();
    std::size_t elements = content.rows.size();
    for (const std::vector<std::string> &row : content.rows)
        elements += row.size();
    if (elements > detail::maxListElements)
        return core::error_kind::MessageTooLarge;
    return split(writeBody(content),
                 [&](std::uint32_t part, std::uint32_t partCount, std::string piece) {
                     parts.push_back({ answer.id, part, partCount, std::move(piece) });
                 });
}

std::error_code splitConfiguration(std::uint64_t version, std::uint64_t tag, std::string_view text,
                                   std::vector<configuration_body> &parts)
{
    parts.clear();
    return split(text, [&](std::uint32_t part, std::uint32_t partCount, std::string piece) {
        parts.push_back({ version, tag, part, partCount, std::move(piece) });
    });
}

std::error_code part_assembler::add(std::uint32_t part, std::uint32_t partCount,
                                    const std::string &piece)
{
    const bool isFirst = parts == 0;
    if (partCount == 0 || partCount > maxPartCount || part != nextPart || part >= partCount
        || (!isFirst && partCount != parts) || piece.size() > maxPartBytes)
        return core::error_kind::MessageDamaged;
    parts = partCount;
    ++nextPart;
    content += piece;
    return {};
}

std::error_code readAnswer(const core::request_id &id, std::string_view bytes,
                           core::statement_answer &answer)
{
    answer_content content;
    if (readBody(bytes, content) || content.id != id
        || (content.error != 0 && !isKnownError(content.error)))
        return core::error_kind::MessageDamaged;
    answer.id = content.id;
    answer.error.reset();
    if (content.error != 0)
        answer.error = static_cast<core::error_kind>(content.error);
    answer.problem = std::move(content.problem);
    answer.rows = std::move(content.rows);
    answer.position = content.position;
    answer.applied = content.applied;
    answer.member = std::move(content.member);
    answer.fromReplica = content.fromReplica;
    answer.transaction = content.transaction;
    return {};
}

} // namespace fuchsiagw::wire
