/// @file
/// @brief Serialization and parsing of lease and pool rows.

#include <fuchsiagw/core/share_table.hpp>

#include <fuchsiagw/core/configuration.hpp>

#include <algorithm>
#include <charconv>

namespace fuchsiagw::core {

namespace {

constexpr std::string_view leaseFormat = "fuchsiagw-lease 1";
constexpr std::string_view poolFormat = "fuchsiagw-pool 1";

/// Tells whether the text is one word of a line: printable ASCII characters without spaces.
bool isWord(std::string_view text)
{
    return !text.empty() && text.size() <= maxRowTextLength
           && std::all_of(text.begin(), text.end(),
                          [](char each) { return each > ' ' && each < '\x7f'; });
}

std::string formatResource(const resource_id &resource)
{
    return std::string(resourceKindNames.at(static_cast<std::size_t>(resource.kind))) + ' '
           + resource.name;
}

std::optional<std::string> writeLease(const lease_row &row)
{
    if (!isWord(row.instance.value) || !isName(row.zone.value) || !isWord(row.writtenBy)
        || row.witnesses.size() > maxRowWitnesses || row.homes.size() > maxRowHomes)
        return std::nullopt;
    std::string text(leaseFormat);
    text += "\nincarnation " + std::to_string(row.incarnation);
    text += "\ninstance " + row.instance.value;
    text += "\nzone " + row.zone.value;
    text += "\nwitnesses";
    for (const incarnation_id each : row.witnesses)
        text += ' ' + std::to_string(each);
    for (const auto &[resource, shares] : row.homes) {
        if (!isName(resource.name))
            return std::nullopt;
        text += "\nhome " + formatResource(resource) + ' ' + std::to_string(shares);
    }
    text += "\nby " + row.writtenBy + '\n';
    return text;
}

std::optional<std::string> writePool(const pool_row &row)
{
    if (!isName(row.resource.name) || !isWord(row.writtenBy))
        return std::nullopt;
    std::string text(poolFormat);
    text += "\nresource " + formatResource(row.resource);
    text += "\ntotal " + std::to_string(row.total);
    text += "\nfree " + std::to_string(row.free);
    text += "\ntokens " + std::to_string(row.tokens);
    text += "\nby " + row.writtenBy + '\n';
    return text;
}

/// Reads words separated by single spaces, and lines that end with a newline. After the first
/// mismatch every later read fails.
struct row_reader
{
    std::string_view rest;
    bool isValid = true;

    /// Consumes @p text if the rest starts with it.
    bool skip(std::string_view text)
    {
        if (!isValid || !rest.starts_with(text))
            return false;
        rest.remove_prefix(text.size());
        return true;
    }

    void expect(std::string_view text) { isValid = skip(text) && isValid; }

    std::string word()
    {
        const std::string_view text = rest.substr(0, rest.find_first_of(" \n"));
        isValid = isValid && isWord(text);
        if (!isValid)
            return {};
        rest.remove_prefix(text.size());
        return std::string(text);
    }

    std::string name()
    {
        std::string text = word();
        isValid = isValid && isName(text);
        return text;
    }

    template <typename number>
    number integer()
    {
        const std::string text = word();
        number value = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
        // Accepts only the form that toValue() writes, without leading zeros.
        isValid = isValid && parsed.ec == std::errc{} && std::to_string(value) == text;
        return value;
    }

    resource_id resource()
    {
        const std::string kind = word();
        const auto known = std::find(resourceKindNames.begin(), resourceKindNames.end(), kind);
        isValid = isValid && known != resourceKindNames.end();
        expect(" ");
        std::string text = name();
        if (!isValid)
            return {};
        return { static_cast<resource_kind>(known - resourceKindNames.begin()), std::move(text) };
    }
};

std::optional<share_row> parseLease(row_reader reader)
{
    lease_row row;
    reader.expect("\nincarnation ");
    row.incarnation = reader.integer<incarnation_id>();
    reader.expect("\ninstance ");
    row.instance.value = reader.word();
    reader.expect("\nzone ");
    row.zone.value = reader.name();
    reader.expect("\nwitnesses");
    while (reader.skip(" ")) {
        row.witnesses.push_back(reader.integer<incarnation_id>());
        reader.isValid = reader.isValid && row.witnesses.size() <= maxRowWitnesses;
    }
    while (reader.skip("\nhome ")) {
        const resource_id resource = reader.resource();
        reader.expect(" ");
        const auto shares = reader.integer<share_count>();
        reader.isValid = reader.isValid && shares > 0 && row.homes.size() < maxRowHomes
                         && row.homes.emplace(resource, shares).second;
    }
    reader.expect("\nby ");
    row.writtenBy = reader.word();
    reader.expect("\n");
    if (!reader.isValid || !reader.rest.empty())
        return std::nullopt;
    return row;
}

std::optional<share_row> parsePool(row_reader reader)
{
    pool_row row;
    reader.expect("\nresource ");
    row.resource = reader.resource();
    reader.expect("\ntotal ");
    row.total = reader.integer<share_count>();
    reader.expect("\nfree ");
    row.free = reader.integer<share_count>();
    reader.expect("\ntokens ");
    row.tokens = reader.integer<token_amount>();
    reader.expect("\nby ");
    row.writtenBy = reader.word();
    reader.expect("\n");
    if (!reader.isValid || !reader.rest.empty() || row.total <= 0 || row.free > row.total
        || row.tokens < 0)
        return std::nullopt;
    return row;
}

} // namespace

std::optional<std::string> toValue(const share_row &row)
{
    if (const auto *lease = std::get_if<lease_row>(&row))
        return writeLease(*lease);
    return writePool(std::get<pool_row>(row));
}

std::optional<share_row> parseShareRow(std::string_view key, std::string_view value)
{
    row_reader reader{ value };
    std::optional<share_row> row;
    if (reader.skip(leaseFormat)) {
        row = parseLease(reader);
        if (row && leaseKey(std::get<lease_row>(*row).incarnation) != key)
            row.reset();
    } else if (reader.skip(poolFormat)) {
        row = parsePool(reader);
        if (row && poolKey(std::get<pool_row>(*row).resource) != key)
            row.reset();
    }
    return row;
}

std::optional<transact_request> toRequest(const table_transaction &transaction)
{
    transact_request request;
    request.id = transaction.id;
    request.deletes = transaction.deletes;
    for (const share_check &each : transaction.checks)
        request.checks.push_back({ each.key, each.version });
    for (const share_put &each : transaction.puts) {
        auto value = toValue(each.row);
        if (!value)
            return std::nullopt;
        request.puts.push_back({ each.key, std::move(*value) });
    }
    return request;
}

std::vector<std::string> addRows(table_view &view, const scan_answer &answer)
{
    std::vector<std::string> damaged;
    for (const table_row &each : answer.rows) {
        if (!each.key.starts_with(poolPrefix) && !each.key.starts_with(leasePrefix))
            continue;
        if (auto row = parseShareRow(each.key, each.value))
            view.insert_or_assign(each.key, versioned_share_row{ each.version, std::move(*row) });
        else
            damaged.push_back(each.key);
    }
    return damaged;
}

} // namespace fuchsiagw::core
