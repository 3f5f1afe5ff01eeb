/// @file
/// @brief Fields of the messages between the proxy and a member.

#include <fuchsiagw/wire/member_json.hpp>

#include <fuchsiagw/detail/member_fields.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace fuchsiagw::detail {

template <>
struct json_fields<core::execute_request>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &request)
    {
        ar("request_id", request.id);
        ar("workspace", request.workspace);
        ar("term", request.term);
        ar("kind", request.kind);
        ar("statement", request.statement);
        ar("parameters", request.parameters);
        ar("idempotency_key", request.idempotencyKey);
    }
};

template <>
struct json_fields<core::execute_answer>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &answer)
    {
        ar("request_id", answer.id);
        ar("status", answer.status);
        ar("problem", answer.problem);
        ar("rows", answer.rows);
        ar("position", answer.position);
        ar("applied", answer.applied);
        ar("term", answer.term);
    }
};

template <>
struct json_fields<core::accept_term_answer>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &answer)
    {
        ar("accepted", answer.accepted);
        ar("status", answer.status);
    }
};

template <>
struct json_fields<wire::term_request>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &request)
    {
        ar("term", request.term);
    }
};

template <>
struct json_fields<wire::follow_request>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &request)
    {
        ar("term", request.term);
        ar("primary", request.primary);
    }
};

} // namespace fuchsiagw::detail

namespace fuchsiagw::wire {

namespace {

constexpr std::string_view waitPath = "/wait?";

/// Bound on `wait_ms`, one day. It keeps the computation of a deadline from overflowing.
constexpr std::uint64_t maxWaitMillis = 86'400'000;

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end)
        return std::nullopt;
    return number;
}

} // namespace

std::string toJson(const core::execute_request &request)
{
    return detail::writeJson(request);
}

std::string toJson(const core::execute_answer &answer)
{
    return detail::writeJson(answer);
}

std::string toJson(const core::member_status &status)
{
    return detail::writeJson(status);
}

std::string toJson(const core::accept_term_answer &answer)
{
    return detail::writeJson(answer);
}

std::string toJson(const term_request &request)
{
    return detail::writeJson(request);
}

std::string toJson(const follow_request &request)
{
    return detail::writeJson(request);
}

std::error_code fromJson(std::string_view text, core::execute_request &request)
{
    return detail::readJson(text, request);
}

std::error_code fromJson(std::string_view text, core::execute_answer &answer)
{
    return detail::readJson(text, answer);
}

std::error_code fromJson(std::string_view text, core::member_status &status)
{
    return detail::readJson(text, status);
}

std::error_code fromJson(std::string_view text, core::accept_term_answer &answer)
{
    return detail::readJson(text, answer);
}

std::error_code fromJson(std::string_view text, term_request &request)
{
    return detail::readJson(text, request);
}

std::error_code fromJson(std::string_view text, follow_request &request)
{
    return detail::readJson(text, request);
}

std::string toTarget(const wait_request &request)
{
    return std::string(waitPath) + "term=" + std::to_string(request.until.term)
           + "&index=" + std::to_string(request.until.index)
           + "&wait_ms=" + std::to_string(request.wait.count());
}

std::error_code fromTarget(std::string_view target, wait_request &request)
{
    if (!target.starts_with(waitPath))
        return core::error_kind::UnknownRoute;
    target.remove_prefix(waitPath.size());
    constexpr std::array<std::string_view, 3> names{ "term", "index", "wait_ms" };
    std::array<std::optional<std::uint64_t>, 3> values;
    while (!target.empty()) {
        const std::string_view part = target.substr(0, target.find('&'));
        target.remove_prefix(std::min(target.size(), part.size() + 1));
        const std::size_t equals = part.find('=');
        if (equals == std::string_view::npos)
            return core::error_kind::InvalidValue;
        const auto *name = std::find(names.begin(), names.end(), part.substr(0, equals));
        if (name == names.end())
            return core::error_kind::UnknownField;
        auto &value = values.at(static_cast<std::size_t>(name - names.begin()));
        if (value.has_value())
            return core::error_kind::InvalidValue;
        value = parseNumber(part.substr(equals + 1));
        if (!value.has_value())
            return core::error_kind::InvalidValue;
    }
    const auto &[term, index, wait] = values;
    if (!term.has_value() || !index.has_value() || !wait.has_value())
        return core::error_kind::MissingField;
    if (*wait > maxWaitMillis)
        return core::error_kind::InvalidValue;
    request.until = { *term, *index };
    request.wait = std::chrono::milliseconds(*wait);
    return {};
}

} // namespace fuchsiagw::wire
