/// @file
/// @brief Strict reader of operators' JSON documents.

#include <fuchsiagw/detail/strict_json.hpp>

#include <limits>
#include <vector>

namespace fuchsiagw::detail {

namespace {

using core::error_kind;
using nlohmann::json;

constexpr std::size_t maxDocumentBytes = 1U << 20U;
constexpr int maxDepth = 16;

} // namespace

void json_problem::set(error_kind kind, const std::string &path, const std::string &what)
{
    if (exists())
        return;
    error = kind;
    text = path.empty() ? what : path + ": " + what;
}

bool parseStrict(std::string_view text, json &document, json_problem &problem)
{
    if (text.size() > maxDocumentBytes) {
        problem.set(error_kind::BodyTooLarge, "", "the document exceeds 1 MiB");
        return false;
    }
    std::vector<std::set<std::string>> names;
    const auto checkEvent = [&](int depth, json::parse_event_t event, json &parsed) {
        if (depth > maxDepth)
            problem.set(error_kind::MalformedBody, "", "the document is nested too deeply");
        if (event == json::parse_event_t::object_start)
            names.emplace_back();
        else if (event == json::parse_event_t::object_end)
            names.pop_back();
        else if (event == json::parse_event_t::key) {
            const std::string &name = parsed.get_ref<const std::string &>();
            if (!names.back().insert(name).second)
                problem.set(error_kind::InvalidValue, "",
                            "the name '" + name + "' is repeated in one object");
        }
        return true;
    };
    json parsed = json::parse(text, checkEvent, false);
    if (parsed.is_discarded())
        problem.set(error_kind::MalformedBody, "", "the document is not valid JSON");
    if (problem.exists())
        return false;
    document = std::move(parsed);
    return true;
}

object_reader::object_reader(const json &value, std::string path, json_problem &problem)
    : value_(value)
    , path_(std::move(path))
    , problem_(problem)
{
    if (!value_.is_object())
        problem_.set(error_kind::WrongType, path_, "must be an object");
}

std::string object_reader::pathOf(std::string_view name) const
{
    return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

const json *object_reader::find(std::string_view name)
{
    requestedNames_.emplace(name);
    if (!value_.is_object())
        return nullptr;
    const auto field = value_.find(name);
    return field == value_.end() ? nullptr : &*field;
}

const json *object_reader::require(std::string_view name)
{
    const json *field = find(name);
    if (field == nullptr)
        problem_.set(error_kind::MissingField, pathOf(name), "is missing");
    return field;
}

void object_reader::text(std::string_view name, std::string &out)
{
    const json *field = require(name);
    if (field == nullptr)
        return;
    if (field->is_string())
        out = field->get<std::string>();
    else
        problem_.set(error_kind::WrongType, pathOf(name), "must be a string");
}

void object_reader::number(std::string_view name, double &out)
{
    const json *field = require(name);
    if (field == nullptr)
        return;
    if (field->is_number())
        out = field->get<double>();
    else
        problem_.set(error_kind::WrongType, pathOf(name), "must be a number");
}

void object_reader::integer(std::string_view name, std::uint64_t &out)
{
    const json *field = require(name);
    if (field == nullptr)
        return;
    if (field->is_number_unsigned())
        out = field->get<std::uint64_t>();
    else
        problem_.set(error_kind::WrongType, pathOf(name), "must be a whole number, 0 or more");
}

void object_reader::integer(std::string_view name, std::uint32_t &out)
{
    std::uint64_t value = out;
    integer(name, value);
    if (value > std::numeric_limits<std::uint32_t>::max())
        problem_.set(error_kind::InvalidValue, pathOf(name), "is too large");
    else
        out = static_cast<std::uint32_t>(value);
}

void object_reader::boolean(std::string_view name, bool &out)
{
    const json *field = require(name);
    if (field == nullptr)
        return;
    if (field->is_boolean())
        out = field->get<bool>();
    else
        problem_.set(error_kind::WrongType, pathOf(name), "must be true or false");
}

void object_reader::forEachField(
        std::string_view name,
        const std::function<void(const std::string &, const json &, const std::string &)> &each)
{
    const json *field = require(name);
    if (field == nullptr)
        return;
    if (!field->is_object()) {
        problem_.set(error_kind::WrongType, pathOf(name), "must be an object");
        return;
    }
    for (const auto &item : field->items())
        each(item.key(), item.value(), pathOf(name) + "." + item.key());
}

void object_reader::forEachElement(
        std::string_view name, const std::function<void(const json &, const std::string &)> &each)
{
    const json *field = require(name);
    if (field == nullptr)
        return;
    if (!field->is_array()) {
        problem_.set(error_kind::WrongType, pathOf(name), "must be an array");
        return;
    }
    for (std::size_t i = 0; i < field->size(); ++i)
        each((*field)[i], pathOf(name) + "[" + std::to_string(i) + "]");
}

void object_reader::finish()
{
    if (!value_.is_object())
        return;
    for (const auto &item : value_.items()) {
        if (!requestedNames_.contains(item.key()))
            problem_.set(error_kind::UnknownField, pathOf(item.key()),
                         "no such field; remove it or correct its name");
    }
}

} // namespace fuchsiagw::detail
