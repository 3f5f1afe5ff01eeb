/// @file
/// @brief JSON fields of the messages of the fault ports.

#include <fuchsiagw/testing/standin_json.hpp>

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/detail/json_value.hpp>
#include <fuchsiagw/detail/member_fields.hpp>

namespace fuchsiagw::detail {

template <>
struct json_names<testing::member_fault>
{
    static constexpr const auto &table = testing::memberFaultNames;
};

template <>
struct json_names<testing::platform_fault>
{
    static constexpr const auto &table = testing::platformFaultNames;
};

template <>
struct json_fields<testing::member_fault_request>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &value)
    {
        ar("member", value.member);
        ar("kind", value.kind);
        ar("on", value.on);
        ar("value", value.value);
    }
};

template <>
struct json_fields<testing::platform_fault_request>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &value)
    {
        ar("kind", value.kind);
        ar("on", value.on);
        ar("value", value.value);
        ar("instance", value.instance);
    }
};

template <>
struct json_fields<testing::executed_statement>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &value)
    {
        ar("number", value.number);
        ar("member", value.member);
        ar("connection", value.connection);
        ar("request_id", value.id);
        ar("workspace", value.workspace);
        ar("term", value.term);
        ar("kind", value.kind);
        ar("statement", value.statement);
        ar("parameters", value.parameters);
        ar("idempotency_key", value.idempotencyKey);
        ar("status", value.status);
        ar("has_run", value.hasRun);
        ar("position", value.position);
        ar("applied", value.applied);
        ar("headers", value.headers);
    }
};

template <>
struct json_fields<testing::statement_history>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &value)
    {
        ar("statements", value.statements);
        ar("newest", value.newest);
    }
};

template <>
struct json_fields<testing::member_description>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &value)
    {
        ar("zone", value.zone);
        ar("address", value.address);
        ar("status", value.status);
    }
};

template <>
struct json_fields<testing::group_description>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &value)
    {
        ar("members", value.members);
    }
};

template <>
struct json_fields<testing::group_counters>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &value)
    {
        ar("received", value.received);
        ar("executed", value.executed);
        ar("connections", value.connections);
        ar("peak_connections", value.peakConnections);
        ar("refused_connections", value.refusedConnections);
    }
};

template <>
struct json_fields<testing::platform_counters>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &value)
    {
        ar("reads", value.reads);
        ar("writes", value.writes);
    }
};

} // namespace fuchsiagw::detail

namespace fuchsiagw::testing {

std::string toJson(const member_fault_request &request)
{
    return detail::writeJson(request);
}

std::string toJson(const platform_fault_request &request)
{
    return detail::writeJson(request);
}

std::string toJson(const statement_history &history)
{
    return detail::writeJson(history);
}

std::string toJson(const group_description &description)
{
    return detail::writeJson(description);
}

std::string toJson(const group_counters &counters)
{
    return detail::writeJson(counters);
}

std::string toJson(const platform_counters &counters)
{
    return detail::writeJson(counters);
}

std::error_code fromJson(std::string_view text, member_fault_request &request)
{
    return detail::readJson(text, request);
}

std::error_code fromJson(std::string_view text, platform_fault_request &request)
{
    return detail::readJson(text, request);
}

std::error_code fromJson(std::string_view text, statement_history &history)
{
    return detail::readJson(text, history);
}

std::error_code fromJson(std::string_view text, group_description &description)
{
    return detail::readJson(text, description);
}

std::error_code fromJson(std::string_view text, group_counters &counters)
{
    return detail::readJson(text, counters);
}

std::error_code fromJson(std::string_view text, platform_counters &counters)
{
    return detail::readJson(text, counters);
}

net::http_response jsonResponse(int status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

net::http_response errorResponse(const std::error_code &error)
{
    const core::error_answer &answer = core::answerOf(core::kindOf(error));
    return jsonResponse(answer.httpStatus, "{\"problem\":\"" + std::string(answer.name) + "\"}");
}

} // namespace fuchsiagw::testing
