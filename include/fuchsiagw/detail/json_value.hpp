/// @file
/// @brief Strict conversion between plain structs and JSON, from one list of fields per struct.

#pragma once

#include <fuchsiagw/core/error_kind.hpp>
#include <fuchsiagw/core/ids.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <type_traits>
#include <utility>
#include <vector>

namespace fuchsiagw::detail {

/// @brief Lists the fields of a struct for reading and writing.
///
/// A specialization has `template <typename archive, typename record> static void visit(archive &,
/// record &)`, which calls the archive with name and member of each field.
template <typename type>
struct json_fields;

/// @brief Provides the names of an enumeration as `static constexpr const auto &table`.
template <typename type>
struct json_names;

/// @brief Converts one value. Structs use their json_fields, enumerations their json_names.
template <typename type>
struct json_value;

/// Reads the fields of one JSON object. Keeps the first error and skips the fields after it.
class json_object_reader
{
public:
    explicit json_object_reader(const nlohmann::json &source)
        : object_(source)
    {
        if (!object_.is_object())
            error_ = core::error_kind::WrongType;
    }

    template <typename type>
    void operator()(const char *name, type &value)
    {
        if (error_)
            return;
        const auto found = object_.find(name);
        if (found != object_.end()) {
            ++readCount_;
            error_ = json_value<type>::read(*found, value);
        } else if constexpr (requires { value.reset(); }) {
            value.reset();
        } else {
            error_ = core::error_kind::MissingField;
        }
    }

    /// @return the first error, or UnknownField if the object has more fields than were read
    [[nodiscard]] std::error_code finish() const
    {
        if (!error_ && readCount_ != object_.size())
            return core::error_kind::UnknownField;
        return error_;
    }

private:
    const nlohmann::json &object_;
    std::size_t readCount_ = 0;
    std::error_code error_;
};

/// Builds one JSON object.
class json_object_writer
{
public:
    template <typename type>
    void operator()(const char *name, const type &value)
    {
        if constexpr (requires { value.has_value(); }) {
            if (!value.has_value())
                return;
        }
        object[name] = json_value<type>::write(value);
    }

    nlohmann::json object = nlohmann::json::object();
};

template <typename type>
struct json_value
{
    static std::error_code read(const nlohmann::json &source, type &value)
    {
        if constexpr (std::is_enum_v<type>) {
            if (!source.is_string())
                return core::error_kind::WrongType;
            const auto &names = json_names<type>::table;
            const auto found = std::find(names.begin(), names.end(),
                                         source.template get_ref<const std::string &>());
            if (found == names.end())
                return core::error_kind::InvalidValue;
            value = static_cast<type>(found - names.begin());
            return {};
        } else {
            json_object_reader reader(source);
            json_fields<type>::visit(reader, value);
            return reader.finish();
        }
    }

    static nlohmann::json write(const type &value)
    {
        if constexpr (std::is_enum_v<type>) {
            return json_names<type>::table.at(static_cast<std::size_t>(value));
        } else {
            json_object_writer writer;
            json_fields<type>::visit(writer, value);
            return std::move(writer.object);
        }
    }
};

template <>
struct json_value<bool>
{
    static std::error_code read(const nlohmann::json &source, bool &value)
    {
        if (!source.is_boolean())
            return core::error_kind::WrongType;
        value = source.get<bool>();
        return {};
    }
    static nlohmann::json write(bool value) { return value; }
};

/// Negative numbers, fractions and numbers of more than 64 bits are of the wrong type.
template <>
struct json_value<std::uint64_t>
{
    static std::error_code read(const nlohmann::json &source, std::uint64_t &value)
    {
        if (!source.is_number_unsigned())
            return core::error_kind::WrongType;
        value = source.get<std::uint64_t>();
        return {};
    }
    static nlohmann::json write(std::uint64_t value) { return value; }
};

template <>
struct json_value<std::string>
{
    static std::error_code read(const nlohmann::json &source, std::string &value)
    {
        if (!source.is_string())
            return core::error_kind::WrongType;
        value = source.get_ref<const std::string &>();
        return {};
    }
    static nlohmann::json write(const std::string &value) { return value; }
};

template <typename tag>
struct json_value<core::named_id<tag>>
{
    static std::error_code read(const nlohmann::json &source, core::named_id<tag> &value)
    {
        return json_value<std::string>::read(source, value.value);
    }
    static nlohmann::json write(const core::named_id<tag> &value) { return value.value; }
};

/// A field of this type may be missing, but must not be `null`.
template <typename item>
struct json_value<std::optional<item>>
{
    static std::error_code read(const nlohmann::json &source, std::optional<item> &value)
    {
        return json_value<item>::read(source, value.emplace());
    }
    static nlohmann::json write(const std::optional<item> &value)
    {
        return json_value<item>::write(*value);
    }
};

/// 32 hexadecimal digits.
template <>
struct json_value<core::request_id>
{
    static std::error_code read(const nlohmann::json &source, core::request_id &value)
    {
        if (!source.is_string())
            return core::error_kind::WrongType;
        if (!core::fromString(source.get_ref<const std::string &>(), value))
            return core::error_kind::InvalidValue;
        return {};
    }
    static nlohmann::json write(const core::request_id &value) { return core::toString(value); }
};

template <typename item>
struct json_value<std::vector<item>>
{
    static std::error_code read(const nlohmann::json &source, std::vector<item> &value)
    {
        if (!source.is_array())
            return core::error_kind::WrongType;
        value.clear();
        value.reserve(source.size());
        for (const nlohmann::json &element : source) {
            if (const auto error = json_value<item>::read(element, value.emplace_back()))
                return error;
        }
        return {};
    }
    static nlohmann::json write(const std::vector<item> &value)
    {
        nlohmann::json array = nlohmann::json::array();
        for (const item &each : value)
            array.push_back(json_value<item>::write(each));
        return array;
    }
};

/// @brief Writes a message as JSON without spaces.
///
/// Bytes that are not valid UTF-8 are replaced by U+FFFD, since JSON allows no others.
/// @complexity linear in the size of the message
template <typename message>
[[nodiscard]] std::string writeJson(const message &value)
{
    return json_value<message>::write(value).dump(-1, ' ', false,
                                                  nlohmann::json::error_handler_t::replace);
}

/// @brief Parses a message. Every listed field must occur exactly once, and no other field may
/// occur; a std::optional field may be missing.
/// @param value unchanged on error
/// @complexity linear in the size of @p text
template <typename message>
[[nodiscard]] std::error_code readJson(std::string_view text, message &value)
{
    // Two parsers of one body could read different values of a repeated name.
    bool hasRepeatedName = false;
    std::vector<std::set<std::string>> openObjectNames;
    const auto recordNames = [&](int, nlohmann::json::parse_event_t event, nlohmann::json &name) {
        if (event == nlohmann::json::parse_event_t::object_start)
            openObjectNames.emplace_back();
        else if (event == nlohmann::json::parse_event_t::object_end)
            openObjectNames.pop_back();
        else if (event == nlohmann::json::parse_event_t::key
                 && !openObjectNames.back().insert(name.get<std::string>()).second)
            hasRepeatedName = true;
        return true;
    };
    const nlohmann::json source = nlohmann::json::parse(text, recordNames, false);
    if (source.is_discarded() || hasRepeatedName)
        return core::error_kind::MalformedBody;
    message parsed;
    if (const auto error = json_value<message>::read(source, parsed))
        return error;
    value = std::move(parsed);
    return {};
}

} // namespace fuchsiagw::detail
