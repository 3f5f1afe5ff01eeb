/// @file
/// @brief Field lists and names that several JSON messages about members share.

#pragma once

#include <fuchsiagw/core/member_protocol.hpp>
#include <fuchsiagw/detail/json_value.hpp>

namespace fuchsiagw::detail {

template <>
struct json_names<core::member_role>
{
    static constexpr const auto &table = core::memberRoleNames;
};

template <>
struct json_names<core::statement_kind>
{
    static constexpr const auto &table = core::statementKindNames;
};

template <>
struct json_names<core::execute_status>
{
    static constexpr const auto &table = core::executeStatusNames;
};

template <>
struct json_fields<core::log_position>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &position)
    {
        ar("term", position.term);
        ar("index", position.index);
    }
};

template <>
struct json_fields<core::member_status>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &status)
    {
        ar("member", status.member);
        ar("group", status.group);
        ar("role", status.role);
        ar("term", status.term);
        ar("last", status.last);
        ar("applied", status.applied);
        ar("leaving", status.leaving);
    }
};

} // namespace fuchsiagw::detail
