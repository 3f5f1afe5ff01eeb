/// @file
/// @brief Parser of release note files.

#include <fuchsiagw/ctl/note_file.hpp>

#include <fuchsiagw/wire/note_json.hpp>

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>

namespace fuchsiagw::ctl {

namespace {

using nlohmann::json;

constexpr int maxDepth = 8;

struct yaml_error
{
    std::string text;
};

[[noreturn]] void throwAt(const YAML::Node &node, const std::string &what)
{
    throw yaml_error{ "line " + std::to_string(node.Mark().line + 1) + ": " + what };
}

/// A plain scalar becomes a number or a boolean if it has that form; a quoted one is a string.
json parseScalar(const YAML::Node &node)
{
    const std::string &text = node.Scalar();
    if (node.Tag() == "!")
        return text;
    if (text == "true" || text == "false")
        return text == "true";
    const char *end = text.data() + text.size();
    std::uint64_t whole = 0;
    if (const auto read = std::from_chars(text.data(), end, whole);
        read.ec == std::errc{} && read.ptr == end)
        return whole;
    double number = 0;
    if (const auto read = std::from_chars(text.data(), end, number);
        read.ec == std::errc{} && read.ptr == end)
        return number;
    return text;
}

/// Fields that are strings even if the content has the form of a number.
bool isTextField(const std::string &name)
{
    static const std::set<std::string> fields{ "id",   "group", "workspace", "member", "name",
                                               "hash", "zone",  "address",   "switch" };
    return fields.contains(name);
}

json parseNode(const YAML::Node &node, int depth)
{
    if (depth > maxDepth)
        throwAt(node, "nested too deeply");
    if (node.IsScalar())
        return parseScalar(node);
    if (node.IsSequence()) {
        json list = json::array();
        for (const YAML::Node &each : node)
            list.push_back(parseNode(each, depth + 1));
        return list;
    }
    if (!node.IsMap())
        throwAt(node, "is empty");
    json object = json::object();
    for (const auto &each : node) {
        const std::string name = each.first.Scalar();
        if (object.contains(name))
            throwAt(each.first, "the name '" + name + "' is repeated");
        if (isTextField(name) && each.second.IsScalar())
            object[name] = each.second.Scalar();
        else if (name == "groups" && each.second.IsSequence()) {
            object[name] = json::array();
            for (const YAML::Node &group : each.second)
                object[name].push_back(group.IsScalar() ? json(group.Scalar()) : json());
        } else {
            object[name] = parseNode(each.second, depth + 1);
        }
    }
    return object;
}

} // namespace

std::string parseNote(const std::string &text, core::release_note &note)
{
    json document;
    try {
        document = parseNode(YAML::Load(text), 0);
    } catch (const YAML::Exception &error) {
        return "line " + std::to_string(error.mark.line + 1) + ": " + error.msg;
    } catch (const yaml_error &error) {
        return error.text;
    }
    std::string problem;
    if (wire::readNote(document.dump(-1, ' ', false, json::error_handler_t::replace), note,
                       problem))
        return problem;
    return {};
}

std::string readFile(const std::string &path, std::string &text)
{
    if (path == "-") {
        text.assign(std::istreambuf_iterator<char>(std::cin), {});
        return {};
    }
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return "the file '" + path + "' can't be read";
    text.assign(std::istreambuf_iterator<char>(file), {});
    return {};
}

} // namespace fuchsiagw::ctl
