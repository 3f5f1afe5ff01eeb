/// @file
/// @brief Fields of the messages between the proxy and the platform.

#include <fuchsiagw/wire/platform_json.hpp>

#include <fuchsiagw/detail/json_value.hpp>

#include <algorithm>
#include <charconv>

namespace fuchsiagw::detail {

template <>
struct json_names<core::instance_kind>
{
    static constexpr const auto &table = core::instanceKindNames;
};

template <>
struct json_names<core::instance_state>
{
    static constexpr const auto &table = core::instanceStateNames;
};

template <>
struct json_fields<core::table_row>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &row)
    {
        ar("key", row.key);
        ar("version", row.version);
        ar("value", row.value);
    }
};

template <>
struct json_fields<core::scan_answer>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &answer)
    {
        ar("rows", answer.rows);
    }
};

template <>
struct json_fields<core::row_check>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &check)
    {
        ar("key", check.key);
        ar("version", check.version);
    }
};

template <>
struct json_fields<core::row_put>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &put)
    {
        ar("key", put.key);
        ar("value", put.value);
    }
};

template <>
struct json_fields<core::transact_request>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &request)
    {
        ar("id", request.id);
        ar("checks", request.checks);
        ar("puts", request.puts);
        ar("deletes", request.deletes);
    }
};

template <>
struct json_fields<core::transact_answer>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &answer)
    {
        ar("committed", answer.committed);
        ar("conflicts", answer.conflicts);
    }
};

template <>
struct json_fields<core::instance_entry>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &entry)
    {
        ar("instance", entry.instance);
        ar("kind", entry.kind);
        ar("zone", entry.zone);
        ar("address", entry.address);
        ar("state", entry.state);
    }
};

template <>
struct json_fields<core::instance_list>
{
    template <typename archive, typename record>
    static void visit(archive &ar, record &list)
    {
        ar("instances", list.instances);
    }
};

} // namespace fuchsiagw::detail

namespace fuchsiagw::wire {

namespace {

constexpr std::string_view hexDigits = "0123456789ABCDEF";
constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                                        "0123456789-._~/";

std::string percentEncoded(std::string_view text)
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        if (unreserved.find(c) != std::string_view::npos) {
            encoded += c;
        } else {
            const auto byte = static_cast<unsigned char>(c);
            encoded += '%';
            encoded += hexDigits[byte >> 4U];
            encoded += hexDigits[byte & 0xFU];
        }
    }
    return encoded;
}

} // namespace

std::string toJson(const core::table_row &row)
{
    return detail::writeJson(row);
}

std::string toJson(const core::scan_answer &answer)
{
    return detail::writeJson(answer);
}

std::string toJson(const core::transact_request &request)
{
    return detail::writeJson(request);
}

std::string toJson(const core::transact_answer &answer)
{
    return detail::writeJson(answer);
}

std::string toJson(const core::instance_entry &entry)
{
    return detail::writeJson(entry);
}

std::string toJson(const core::instance_list &list)
{
    return detail::writeJson(list);
}

std::error_code fromJson(std::string_view text, core::table_row &row)
{
    return detail::readJson(text, row);
}

std::error_code fromJson(std::string_view text, core::scan_answer &answer)
{
    return detail::readJson(text, answer);
}

std::error_code fromJson(std::string_view text, core::transact_request &request)
{
    return detail::readJson(text, request);
}

std::error_code fromJson(std::string_view text, core::transact_answer &answer)
{
    return detail::readJson(text, answer);
}

std::error_code fromJson(std::string_view text, core::instance_entry &entry)
{
    return detail::readJson(text, entry);
}

std::error_code fromJson(std::string_view text, core::instance_list &list)
{
    return detail::readJson(text, list);
}

bool isPlatformName(std::string_view name)
{
    return !name.empty()
           && std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::string tableTarget(std::string_view key)
{
    return "/table/" + percentEncoded(key);
}

std::string scanTarget(std::string_view prefix)
{
    return "/scan?prefix=" + percentEncoded(prefix);
}

std::string objectTarget(std::string_view name)
{
    return "/object/" + percentEncoded(name);
}

std::string instanceTarget(const core::instance_id &instance)
{
    return "/instances/" + percentEncoded(instance.value);
}

std::error_code nameFromTarget(std::string_view target, std::string_view prefix, std::string &name)
{
    if (!target.starts_with(prefix))
        return core::error_kind::UnknownRoute;
    target.remove_prefix(prefix.size());
    std::string decoded;
    for (std::size_t i = 0; i < target.size(); ++i) {
        if (target[i] != '%') {
            decoded += target[i];
            continue;
        }
        if (target.size() - i < 3)
            return core::error_kind::InvalidValue;
        const char *digits = target.data() + i + 1;
        unsigned char byte = 0;
        const auto [stop, error] = std::from_chars(digits, digits + 2, byte, 16);
        if (error != std::errc{} || stop != digits + 2)
            return core::error_kind::InvalidValue;
        decoded += static_cast<char>(byte);
        i += 2;
    }
    const bool isEmptyScan = decoded.empty() && prefix.ends_with('=');
    if (!isEmptyScan && !isPlatformName(decoded))
        return core::error_kind::InvalidValue;
    name = std::move(decoded);
    return {};
}

} // namespace fuchsiagw::wire
