/// @file
/// @brief Strict parsing of request bodies and headers, and writing of answers.

#include <fuchsiagw/wire/caller_json.hpp>

#include <fuchsiagw/core/configuration.hpp>
#include <fuchsiagw/wire/session_token.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <map>
#include <utility>
#include <variant>

namespace fuchsiagw::wire {

namespace {

using core::error_kind;
using core::statement_kind;

/// Bound on the nesting of a body; no route needs more than 2.
constexpr std::size_t maxDepth = 8;
constexpr std::size_t maxFields = 16; ///< fields of a body; no route has more than 7
constexpr std::size_t maxQuotedNameBytes = 64; ///< bytes of a caller's field name in a problem text

struct unsupported_value
{ };

/// A list whose elements are all strings.
using string_list = std::vector<std::string>;
using field_value = std::variant<unsupported_value, std::string, std::int64_t, string_list>;
using field_map = std::map<std::string, field_value>;

/// Collects the fields of one JSON object from SAX events. It stores only values of types that a
/// route can use, so that its memory stays below the size of the body.
class field_collector
{
public:
    using json = nlohmann::json;

    field_map fields;
    std::string problem; ///< set if the body is not acceptable JSON

    bool null() { return unsupportedValue(); }
    bool boolean(bool /*value*/) { return unsupportedValue(); }
    bool number_integer(json::number_integer_t value) { return integer(value); }
    bool number_unsigned(json::number_unsigned_t value)
    {
        constexpr std::uint64_t maxNumber = std::numeric_limits<std::int64_t>::max();
        return integer(static_cast<std::int64_t>(std::min<std::uint64_t>(value, maxNumber)));
    }
    bool number_float(json::number_float_t /*value*/, const std::string & /*text*/)
    {
        return unsupportedValue();
    }
    bool string(std::string &value)
    {
        if (depth_ == 1)
            fields[name_] = std::move(value);
        else if (isInList())
            std::get<string_list>(fields[name_]).push_back(std::move(value));
        return depth_ > 0 || fail("The body must be one JSON object.");
    }
    bool binary(json::binary_t & /*value*/) { return unsupportedValue(); }

    bool start_object(std::size_t /*size*/)
    {
        if (depth_ > 0)
            unsupportedValue();
        return enterNested();
    }
    bool key(std::string &value)
    {
        if (depth_ > 1)
            return true;
        name_ = std::move(value);
        if (fields.size() >= maxFields)
            return fail("The body has too many fields; send only those that the route knows.");
        if (!fields.emplace(name_, unsupported_value{}).second)
            return fail("The field '" + sanitizedName(name_) + "' is given twice; send it once.");
        return true;
    }
    bool end_object() { return leaveNested(); }
    bool start_array(std::size_t /*size*/)
    {
        if (depth_ == 0)
            return fail("The body must be one JSON object.");
        if (depth_ == 1)
            fields[name_] = string_list{};
        else
            unsupportedValue();
        return enterNested();
    }
    bool end_array() { return leaveNested(); }
    bool parse_error(std::size_t position, const std::string & /*token*/,
                     const json::exception & /*error*/)
    {
        return fail("The body is not valid JSON at byte " + std::to_string(position) + ".");
    }

    /// @return a caller's field name, shortened and sanitized for use in a problem text
    static std::string sanitizedName(const std::string &text)
    {
        std::string result = text.substr(0, maxQuotedNameBytes);
        std::replace_if(
                result.begin(), result.end(),
                [](unsigned char each) { return each < 0x20 || each > 0x7e || each == '\''; }, '?');
        return result;
    }

private:
    std::size_t depth_ = 0;
    std::string name_; ///< name of the current field

    bool fail(std::string text)
    {
        if (problem.empty())
            problem = std::move(text);
        return false;
    }
    bool isInList() { return depth_ == 2 && std::holds_alternative<string_list>(fields[name_]); }
    bool integer(std::int64_t value)
    {
        if (depth_ != 1)
            return unsupportedValue();
        fields[name_] = value;
        return true;
    }
    /// Records a value of a type that no field accepts. An element of such a type invalidates its
    /// whole list.
    bool unsupportedValue()
    {
        if (depth_ == 0)
            return fail("The body must be one JSON object.");
        fields[name_] = unsupported_value{};
        return true;
    }
    bool enterNested()
    {
        return ++depth_ <= maxDepth
               || fail("The body is nested too deeply; no field needs nesting.");
    }
    bool leaveNested()
    {
        --depth_;
        return true;
    }
};

/// Reads one body field by field and keeps the first error.
class body_reader
{
public:
    body_reader(std::string_view body, bool mayBeEmpty)
    {
        if (body.size() > maxBodyBytes) {
            refuse(error_kind::BodyTooLarge, "The body has more than 1048576 bytes; send less.");
            return;
        }
        if (body.empty() && mayBeEmpty)
            return;
        field_collector collector;
        const bool isValid = nlohmann::json::sax_parse(body, &collector);
        if (!isValid || !collector.problem.empty())
            refuse(error_kind::MalformedBody, collector.problem);
        else
            fields_ = std::move(collector.fields);
    }

    /// Rejects every field that is not in @p names.
    void allow(std::initializer_list<std::string_view> names)
    {
        for (const auto &[name, value] : fields_) {
            if (std::find(names.begin(), names.end(), name) == names.end()) {
                refuse(error_kind::UnknownField,
                       "The field '" + field_collector::sanitizedName(name)
                               + "' is not known to this route; remove it.");
                return;
            }
        }
    }

    /// Reads a string of 1 to @p maxBytes bytes; only printable ASCII if @p isPrintable.
    std::string takeString(const std::string &name, bool isRequired, std::size_t maxBytes,
                           bool isPrintable)
    {
        const field_value *value = find(name, isRequired);
        if (value == nullptr)
            return {};
        const auto *text = std::get_if<std::string>(value);
        if (text == nullptr) {
            refuse(error_kind::WrongType, "The field '" + name + "' must be a string.");
            return {};
        }
        const bool hasOnlyPrintable =
                std::all_of(text->begin(), text->end(),
                            [](unsigned char each) { return each >= 0x20 && each <= 0x7e; });
        if (text->empty() || text->size() > maxBytes || (isPrintable && !hasOnlyPrintable)) {
            refuse(error_kind::InvalidValue,
                   "The field '" + name + "' must have 1 to " + std::to_string(maxBytes)
                           + (isPrintable ? " printable ASCII characters." : " bytes."));
            return {};
        }
        return *text;
    }

    std::vector<std::string> takeParameters()
    {
        const field_value *value = find("parameters", false);
        if (value == nullptr)
            return {};
        const auto *list = std::get_if<string_list>(value);
        if (list == nullptr) {
            refuse(error_kind::WrongType, "The field 'parameters' must be a list of strings.");
            return {};
        }
        std::size_t bytes = 0;
        for (const std::string &each : *list)
            bytes += each.size();
        if (list->size() > maxParameters || bytes > maxParameterBytes) {
            refuse(error_kind::InvalidValue,
                   "The field 'parameters' must have at most " + std::to_string(maxParameters)
                           + " strings of together at most " + std::to_string(maxParameterBytes)
                           + " bytes.");
            return {};
        }
        return *list;
    }

    statement_kind takeKind()
    {
        const field_value *value = find("kind", true);
        if (value == nullptr)
            return statement_kind::Read;
        const auto *text = std::get_if<std::string>(value);
        if (text == nullptr)
            refuse(error_kind::WrongType, "The field 'kind' must be a string.");
        else if (*text == "write")
            return statement_kind::Write;
        else if (*text != "read")
            refuse(error_kind::InvalidValue, "The field 'kind' must be 'read' or 'write'.");
        return statement_kind::Read;
    }

    std::chrono::milliseconds takeTimeLimit()
    {
        const field_value *value = find("deadline_ms", false);
        if (value == nullptr)
            return defaultTimeLimit;
        const auto *number = std::get_if<std::int64_t>(value);
        if (number == nullptr)
            refuse(error_kind::WrongType, "The field 'deadline_ms' must be an integer.");
        else if (*number < minTimeLimit.count() || *number > maxTimeLimit.count())
            refuse(error_kind::InvalidValue, "The field 'deadline_ms' must be from 1 to 60000.");
        else
            return std::chrono::milliseconds(*number);
        return defaultTimeLimit;
    }

    void refuse(error_kind kind, std::string text)
    {
        if (error_)
            return;
        error_ = kind;
        problem_ = std::move(text);
    }

    std::error_code finish(parsed_statement &&read, parsed_statement &parsed,
                           std::string &text) const
    {
        if (error_)
            text = problem_;
        else
            parsed = std::move(read);
        return error_;
    }

private:
    field_map fields_;
    std::error_code error_;
    std::string problem_;

    const field_value *find(const std::string &name, bool isRequired)
    {
        const auto entry = fields_.find(name);
        if (entry != fields_.end())
            return &entry->second;
        if (isRequired)
            refuse(error_kind::MissingField, "The field '" + name + "' is missing; add it.");
        return nullptr;
    }
};

bool isTokenCharacter(unsigned char each)
{
    return std::isalnum(each) != 0
           || std::string_view("-._~+/=").find(static_cast<char>(each)) != std::string_view::npos;
}

bool isToken(std::string_view text, std::size_t maxBytes)
{
    return !text.empty() && text.size() <= maxBytes
           && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

nlohmann::json toJson(const core::log_position &position)
{
    return { { "term", position.term }, { "index", position.index } };
}

/// Serializes a body. Bytes from a member that are not UTF-8 are replaced by U+FFFD, since the
/// library throws on them by default.
std::string dump(const nlohmann::json &body)
{
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

constexpr std::string_view cookieName = "fuchsiagw_session";
constexpr std::size_t idDigits = 16; ///< digits of each half of a transaction id

bool parseHalf(std::string_view text, std::uint64_t &value)
{
    const bool isLowerHex = std::all_of(text.begin(), text.end(), [](unsigned char each) {
        return (each >= '0' && each <= '9') || (each >= 'a' && each <= 'f');
    });
    const char *end = text.data() + text.size();
    return isLowerHex && std::from_chars(text.data(), end, value, 16).ptr == end;
}

} // namespace

std::error_code parseStatement(std::string_view body, parsed_statement &parsed,
                               std::string &problem)
{
    body_reader reader(body, false);
    reader.allow({ "group", "kind", "statement", "parameters", "read_class", "idempotency_key",
                   "deadline_ms" });
    parsed_statement read;
    read.group.value = reader.takeString("group", true, core::maxNameLength, true);
    read.kind = reader.takeKind();
    read.text = reader.takeString("statement", true, maxStatementBytes, false);
    read.parameters = reader.takeParameters();
    read.readClass = reader.takeString("read_class", false, core::maxNameLength, true);
    read.idempotencyKey = reader.takeString("idempotency_key", false, maxIdempotencyKeyBytes, true);
    read.timeLimit = reader.takeTimeLimit();
    if (!read.readClass.empty() && read.kind != statement_kind::Read)
        reader.refuse(error_kind::InvalidValue,
                      "The field 'read_class' is only for reads; remove it or set 'kind'.");
    return reader.finish(std::move(read), parsed, problem);
}

std::error_code parseBegin(std::string_view body, parsed_statement &parsed, std::string &problem)
{
    body_reader reader(body, false);
    reader.allow({ "group", "deadline_ms" });
    parsed_statement read;
    read.kind = statement_kind::Begin;
    read.group.value = reader.takeString("group", true, core::maxNameLength, true);
    read.timeLimit = reader.takeTimeLimit();
    return reader.finish(std::move(read), parsed, problem);
}

std::error_code parseTransactionStatement(std::string_view body, parsed_statement &parsed,
                                          std::string &problem)
{
    body_reader reader(body, false);
    reader.allow({ "kind", "statement", "parameters", "deadline_ms" });
    parsed_statement read;
    read.kind = reader.takeKind();
    read.text = reader.takeString("statement", true, maxStatementBytes, false);
    read.parameters = reader.takeParameters();
    read.timeLimit = reader.takeTimeLimit();
    return reader.finish(std::move(read), parsed, problem);
}

std::error_code parseCommit(std::string_view body, parsed_statement &parsed, std::string &problem)
{
    body_reader reader(body, true);
    reader.allow({ "idempotency_key", "deadline_ms" });
    parsed_statement read;
    read.kind = statement_kind::Commit;
    read.idempotencyKey = reader.takeString("idempotency_key", false, maxIdempotencyKeyBytes, true);
    read.timeLimit = reader.takeTimeLimit();
    return reader.finish(std::move(read), parsed, problem);
}

std::error_code parseRollback(std::string_view body, parsed_statement &parsed, std::string &problem)
{
    body_reader reader(body, true);
    reader.allow({ "deadline_ms" });
    parsed_statement read;
    read.kind = statement_kind::Rollback;
    read.timeLimit = reader.takeTimeLimit();
    return reader.finish(std::move(read), parsed, problem);
}

core::statement_request toRequest(parsed_statement parsed, core::request_id id,
                                  core::workspace_id workspace, core::time_point now)
{
    core::statement_request request;
    request.id = id;
    request.workspace = std::move(workspace);
    request.group = std::move(parsed.group);
    request.kind = parsed.kind;
    request.text = std::move(parsed.text);
    request.parameters = std::move(parsed.parameters);
    request.readClass = std::move(parsed.readClass);
    request.idempotencyKey = std::move(parsed.idempotencyKey);
    request.deadline = now + parsed.timeLimit;
    return request;
}

std::string answerBody(const core::statement_answer &answer)
{
    nlohmann::json body{ { "request_id", core::toString(answer.id) },
                         { "rows", answer.rows },
                         { "applied", toJson(answer.applied) },
                         { "member", answer.member.value },
                         { "from_replica", answer.fromReplica } };
    if (answer.position != core::log_position{})
        body["position"] = toJson(answer.position);
    if (answer.transaction)
        body["transaction"] = toText(*answer.transaction);
    return dump(body);
}

std::string errorBody(core::error_kind kind, std::string_view problem, const core::request_id &id)
{
    const core::error_answer &row = core::answerOf(kind);
    return dump({ { "error", row.name },
                  { "number", static_cast<int>(kind) },
                  { "outcome", core::toString(row.outcome) },
                  { "retry", core::toString(row.advice) },
                  { "problem", problem.empty() ? row.defaultProblem : problem },
                  { "request_id", core::toString(id) } });
}

std::string toText(const core::transaction_id &id)
{
    return core::toString(core::request_id{ id.owner, id.number }).insert(idDigits, "-");
}

std::optional<core::transaction_id> transactionFromText(std::string_view text)
{
    core::transaction_id id;
    if (text.size() != 2 * idDigits + 1 || text[idDigits] != '-'
        || !parseHalf(text.substr(0, idDigits), id.owner)
        || !parseHalf(text.substr(idDigits + 1), id.number))
        return std::nullopt;
    return id;
}

std::optional<std::string> keyFromAuthorization(std::string_view value)
{
    constexpr std::string_view scheme = "bearer";
    value = trim(value);
    const bool isBearer =
            value.size() > scheme.size() && value[scheme.size()] == ' '
            && std::equal(scheme.begin(), scheme.end(), value.begin(), [](char want, char got) {
                   return want == std::tolower(static_cast<unsigned char>(got));
               });
    if (!isBearer)
        return std::nullopt;
    const std::string_view key = trim(value.substr(scheme.size()));
    if (!isToken(key, maxKeyBytes))
        return std::nullopt;
    return std::string(key);
}

requested_session sessionFromHeaders(std::optional<std::string_view> header,
                                     std::string_view cookies)
{
    requested_session session;
    if (header) {
        session.isPresent = true;
        const std::string_view token = trim(*header);
        if (isToken(token, maxTokenLength))
            session.token = token;
        return session;
    }
    while (!cookies.empty()) {
        const std::size_t end = std::min(cookies.find(';'), cookies.size());
        const std::string_view cookie = trim(cookies.substr(0, end));
        cookies.remove_prefix(std::min(end + 1, cookies.size()));
        const std::size_t equals = cookie.find('=');
        if (equals == std::string_view::npos || trim(cookie.substr(0, equals)) != cookieName)
            continue;
        std::string_view token = trim(cookie.substr(equals + 1));
        if (token.size() >= 2 && token.front() == '"' && token.back() == '"')
            token = token.substr(1, token.size() - 2);
        const bool isUsable =
                isToken(token, maxTokenLength) && (!session.isPresent || session.token == token);
        session.isPresent = true;
        session.token = isUsable ? std::string(token) : std::string();
        if (!isUsable)
            break;
    }
    return session;
}

std::string sessionCookie(std::string_view token)
{
    return std::string(cookieName) + "=" + std::string(token)
           + "; Path=/v1; HttpOnly; SameSite=Strict";
}

} // namespace fuchsiagw::wire
