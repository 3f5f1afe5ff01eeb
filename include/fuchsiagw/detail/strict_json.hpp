/// @file
/// @brief Strict reader of operators' JSON documents, whose errors name the path of the field.

#pragma once

#include <fuchsiagw/core/error_kind.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>

namespace fuchsiagw::detail {

/// The first error in a document.
struct json_problem
{
    std::error_code error;
    std::string text; ///< path of the field, then what is wrong with it

    [[nodiscard]] bool exists() const { return static_cast<bool>(error); }
    /// Records a problem unless there is one already.
    void set(core::error_kind kind, const std::string &path, const std::string &what);
};

/// @brief Parses one JSON document of at most 1 MiB. An object must not repeat a name.
/// @return whether it succeeded; otherwise @p problem is set
/// @complexity linear in the size of @p text
bool parseStrict(std::string_view text, nlohmann::json &document, json_problem &problem);

/// Reads the fields of one object. finish() reports each field that was not read as unknown.
class object_reader
{
public:
    object_reader(const nlohmann::json &value, std::string path, json_problem &problem);

    /// @return the field, or nullptr if the object does not have it
    [[nodiscard]] const nlohmann::json *find(std::string_view name);
    /// @return the field, or nullptr if it is missing, which is recorded as a problem
    [[nodiscard]] const nlohmann::json *require(std::string_view name);

    void text(std::string_view name, std::string &out);
    void number(std::string_view name, double &out);
    void integer(std::string_view name, std::uint64_t &out);
    void integer(std::string_view name, std::uint32_t &out);
    void boolean(std::string_view name, bool &out);
    /// Calls @p each with the name, value and path of every field of a required object.
    void forEachField(std::string_view name,
                      const std::function<void(const std::string &, const nlohmann::json &,
                                               const std::string &)> &each);
    /// Calls @p each with the value and path of every element of a required array.
    void
    forEachElement(std::string_view name,
                   const std::function<void(const nlohmann::json &, const std::string &)> &each);

    [[nodiscard]] std::string pathOf(std::string_view name) const;
    /// Records a problem for a field that was not read.
    void finish();

private:
    const nlohmann::json &value_;
    std::string path_;
    json_problem &problem_;
    std::set<std::string, std::less<>> requestedNames_;
};

} // namespace fuchsiagw::detail
