/// @file
/// @brief Store, members, callers and daemons of the review's stand-in.

#include "world.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

extern char **environ; // NOLINT

namespace review {

namespace {

constexpr double heartbeatSeconds = 1.2;
constexpr double entryLifetimeSeconds = 3 * heartbeatSeconds;
constexpr milliseconds storeDelay{ 4 };
constexpr milliseconds transactionDelay{ 8 };
constexpr milliseconds connectDelay{ 12 };
constexpr milliseconds inZoneDelay{ 1 };

std::string takeWord(std::string &text)
{
    const std::size_t end = std::min(text.find(' '), text.size());
    std::string word = text.substr(0, end);
    text.erase(0, std::min(end + 1, text.size()));
    return word;
}

position readPosition(const std::string &text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string::npos)
        return {};
    return { std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1)) };
}

std::string randomHex()
{
    static std::uint64_t state =
            std::uint64_t(::getpid()) * 0x9e3779b97f4a7c15ULL
            + std::uint64_t(std::chrono::steady_clock::now().time_since_epoch().count());
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(state ^ (state >> 29)));
    return text;
}

std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t chunk = 0;
        for (std::size_t j = 0; j < 3; ++j)
            chunk = chunk << 8
                    | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            result += i + j > bytes.size() ? '=' : digits[chunk >> (18 - 6 * j) & 63];
    }
    return result;
}

std::string urlDecode(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> result;
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return result;
    std::stringstream parts(target.substr(mark + 1));
    for (std::string each; std::getline(parts, each, '&');) {
        const std::size_t equals = each.find('=');
        if (equals != std::string::npos)
            result[each.substr(0, equals)] = urlDecode(each.substr(equals + 1));
    }
    return result;
}

std::string httpResponse(int status, const json &body)
{
    const std::string text = body.dump();
    return "HTTP/1.1 " + std::to_string(status)
           + " X\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(text.size()) + "\r\n\r\n" + text;
}

json rowJson(const std::string &table, const std::string &key, const table_row &row)
{
    json result = {
        { "table-name", table }, { "part", "" }, { "key", key }, { "row-version", row.version }
    };
    if (row.deleted)
        result["deleted"] = true;
    else
        result["value"] = row.value;
    return result;
}

std::uint16_t freePort()
{
    asio::io_context context;
    const tcp::acceptor probe(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return probe.local_endpoint().port();
}

void reset(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

std::string toString(const position &value)
{
    return std::to_string(value.term) + "." + std::to_string(value.index);
}

world::world(std::string record, std::vector<std::string> zones, group_options options)
    : recordPath(std::move(record))
{
    const char *setting = std::getenv("TROUBLE");
    trouble = setting == nullptr || std::string(setting) != "0";
    std::string pattern =
            (std::filesystem::temp_directory_path() / "fuchsiagw-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    folder = pattern;
    file_ = std::fopen(recordPath.c_str(), "w");
    if (file_ == nullptr)
        throw std::runtime_error("cannot write " + recordPath);
    database.options = std::move(options);
    for (std::size_t i = 0; i < zones.size(); ++i) {
        auto created = std::make_unique<member>();
        created->id = "i-" + std::string(1, static_cast<char>('a' + i)) + randomHex().substr(0, 6);
        created->zone = zones[i];
        created->born = std::chrono::duration_cast<milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
        created->acceptor = std::make_unique<tcp::acceptor>(
                io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        created->port = created->acceptor->local_endpoint().port();
        database.members.push_back(std::move(created));
    }
    for (std::uint16_t *port : { &storePort, &cloudPort }) {
        auto acceptor = std::make_shared<tcp::acceptor>(
                io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        *port = acceptor->local_endpoint().port();
        spawn(acceptHttp(acceptor));
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        spawn(acceptMembers(i));
        spawn(beat(i));
    }
    spawn(expireEntries());
}

world::~world()
{
    cleanUp();
}

void world::cleanUp()
{
    endDaemons();
    if (file_ != nullptr)
        std::fclose(std::exchange(file_, nullptr));
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder);
}

double world::now() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt_).count();
}

void world::record(const std::string &who, const std::string &what)
{
    std::string shown;
    for (const char each : what)
        shown += each == '\n' ? std::string("\\n") : std::string(1, each);
    std::fprintf(file_, "%8.3f %-14s %s\n", now(), who.c_str(), shown.c_str());
    std::fflush(file_);
}

task<> world::sleep(milliseconds duration)
{
    asio::steady_timer timer(io, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

task<> world::sleepUntil(double seconds)
{
    const double left = seconds - now();
    if (left > 0)
        co_await sleep(milliseconds(static_cast<int>(left * 1'000)));
}

void world::runAfter(milliseconds delay, std::function<void()> callback)
{
    const auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait(
            [timer, callback = std::move(callback)](const boost::system::error_code &error) {
                if (!error)
                    callback();
            });
}

void world::spawn(task<> work)
{
    asio::co_spawn(io, std::move(work), [](std::exception_ptr) {});
}

// Store

void world::put(const std::string &table, const std::string &key, const std::string &value)
{
    tables[table][key] = { base64(value), ++version, false };
    for (const auto &each : feeds)
        each->cancel();
}

void world::remove(const std::string &table, const std::string &key)
{
    const auto found = tables[table].find(key);
    if (found == tables[table].end() || found->second.deleted)
        return;
    found->second = { {}, ++version, true };
    for (const auto &each : feeds)
        each->cancel();
}

task<> world::acceptHttp(std::shared_ptr<tcp::acceptor> acceptor)
{
    for (;;) {
        tcp::socket socket = co_await acceptor->async_accept(asio::use_awaitable);
        socket.set_option(tcp::no_delay(true));
        spawn(serveHttp(std::move(socket)));
    }
}

task<> world::serveHttp(tcp::socket socket)
{
    std::string input;
    for (;;) {
        const std::size_t head = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(input), "\r\n\r\n", asio::use_awaitable);
        std::stringstream lines(input.substr(0, head));
        std::string line;
        std::string method;
        std::string target;
        std::getline(lines, line);
        std::stringstream(line) >> method >> target;
        std::map<std::string, std::string> headers;
        while (std::getline(lines, line) && line != "\r") {
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char each) { return std::tolower(each); });
            std::string value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            value.erase(value.find_last_not_of("\r ") + 1);
            headers[name] = value;
        }
        const std::size_t length =
                headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
        input.erase(0, head);
        if (input.size() < length)
            co_await asio::async_read(socket, asio::dynamic_buffer(input),
                                      asio::transfer_at_least(length - input.size()),
                                      asio::use_awaitable);
        std::string body = input.substr(0, length);
        input.erase(0, length);
        co_await answerHttp(socket, method, target, headers, body);
        if (!socket.is_open())
            co_return;
    }
}

task<> world::answerHttp(tcp::socket &socket, std::string method, std::string target,
                         std::map<std::string, std::string> headers, std::string body)
{
    const auto query = queryOf(target);
    const auto clock = static_cast<std::int64_t>(now() * 1'000) + 50'000;
    std::string answer;
    if (target.starts_with("/-/rows-feed")) {
        co_await follow(socket, query);
        co_return;
    }
    if (target.starts_with("/-/rows-get")) {
        co_await sleep(storeDelay);
        json rows = json::array();
        bool hasMore = false;
        const std::string name = query.contains("table-name") ? query.at("table-name") : "";
        const std::string from = query.contains("from") ? query.at("from") : "";
        const std::size_t limit = query.contains("limit") ? std::stoul(query.at("limit")) : 500;
        for (const auto &[key, row] : tables[name]) {
            if (row.deleted || key < from || (query.contains("to") && key >= query.at("to")))
                continue;
            hasMore = rows.size() >= limit;
            if (hasMore)
                break;
            rows.push_back(rowJson(name, key, row));
        }
        answer = httpResponse(200, { { "rows", rows },
                                     { "has-more", hasMore },
                                     { "row-version", version },
                                     { "now-ms", clock } });
    } else if (target == "/-/rows-tx") {
        co_await sleep(transactionDelay);
        const json call = json::parse(body);
        bool matches = true;
        bool isForbidden = false;
        json present = json::array();
        for (const json &each : call["expected"]) {
            const table_row row = tables[each["table-name"]][each["key"]];
            const std::uint64_t found = row.deleted ? 0 : row.version;
            matches = matches && found == each["row-version"].get<std::uint64_t>();
            if (found != 0)
                present.push_back(rowJson(each["table-name"], each["key"], row));
        }
        for (const char *list : { "puts", "remove" }) {
            for (const json &each : call[list])
                isForbidden = isForbidden || each["table-name"] == "op"
                              || each["table-name"] == "servers";
        }
        if (isForbidden) {
            answer = httpResponse(403, json::object());
        } else if (!matches) {
            answer = httpResponse(
                    412, { { "rows", present }, { "row-version", version }, { "now-ms", clock } });
        } else {
            ++version;
            for (const json &each : call["puts"])
                tables[each["table-name"]][each["key"]] = { each["value"], version, false };
            for (const json &each : call["remove"])
                tables[each["table-name"]][each["key"]] = { {}, version, true };
            for (const auto &each : feeds)
                each->cancel();
            answer = httpResponse(200, { { "row-version", version }, { "now-ms", clock } });
        }
    } else if (method == "POST" && target == "/promote") {
        co_await sleep(storeDelay);
        const json call = json::parse(body);
        const std::string id = call["id"];
        const std::string holder = headers["x-lease-holder"];
        const std::uint64_t token = std::stoull(headers["x-fencing-token"]);
        record("platform",
               "POST /promote " + id + " by " + holder + " with token " + std::to_string(token));
        if (onPromotionOrder && !onPromotionOrder(id, holder, token)) {
            record("platform", "leaves this call unanswered");
            char next = 0;
            boost::system::error_code ignored;
            co_await asio::async_read(socket, asio::buffer(&next, 1),
                                      asio::redirect_error(asio::use_awaitable, ignored));
            socket.close(ignored);
            co_return;
        }
        const int status = promote(id, holder, token);
        record("platform", "answers " + std::to_string(status));
        answer = httpResponse(status, json::object());
    } else {
        answer = httpResponse(404, json::object());
    }
    asio::write(socket, asio::buffer(answer));
}

task<> world::follow(tcp::socket &socket, std::map<std::string, std::string> query)
{
    const std::string name = query["table-name"];
    const std::uint64_t after = std::stoull(query["after"]);
    const double until = now() + std::stod(query["wait-ms"]) / 1'000;
    for (;;) {
        std::map<std::uint64_t, json> changed;
        for (const auto &[key, row] : tables[name]) {
            if (row.version > after)
                changed.try_emplace(row.version, json::array())
                        .first->second.push_back(rowJson(name, key, row));
        }
        if (!changed.empty() || now() >= until) {
            co_await sleep(storeDelay);
            json rows = json::array();
            for (const auto &[each, list] : changed)
                rows.insert(rows.end(), list.begin(), list.end());
            const std::string answer = httpResponse(
                    200, { { "rows", rows },
                           { "row-version", changed.empty() ? version : changed.rbegin()->first },
                           { "now-ms", static_cast<std::int64_t>(now() * 1'000) + 50'000 } });
            asio::write(socket, asio::buffer(answer));
            co_return;
        }
        const auto waiter = std::make_shared<asio::steady_timer>(
                io, milliseconds(static_cast<int>(std::max(1.0, (until - now()) * 1'000))));
        const auto place = feeds.insert(feeds.end(), waiter);
        boost::system::error_code ignored;
        co_await waiter->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        feeds.erase(place);
    }
}

void world::addRoute(const std::string &name, const std::string &type, int timeout, int target,
                     int staleness)
{
    json route = { { "name", "r-" + name },   { "database", name },
                   { "prefix", "/" },         { "type", type },
                   { "timeout-ms", timeout }, { "target-latency-ms", target },
                   { "priority", 1 },         { "service", database.options.service },
                   { "max-attempts", 2 },     { "allow-anonymous", false } };
    if (staleness > 0)
        route["max-staleness-ms"] = staleness;
    routes.push_back(std::move(route));
}

void world::writeManifest(std::uint64_t newVersion)
{
    const auto tenant = [](const char *name, const char *key) -> json {
        return { { "name", name },
                 { "api-keys", json::array({ key }) },
                 { "priority", 1 },
                 { "rate-per-s", 5'000 },
                 { "burst-size", 5'000 } };
    };
    if (manifest.is_null()) {
        addRoute("current", "primary", 800, 120, 0);
        addRoute("bounded", "bounded_staleness", 1'200, 300, 1'500);
        addRoute("own", "read_your_writes", 800, 250, 2'500);
        manifest = {
            { "routes", routes },
            { "services", json::array({ { { "name", database.options.service },
                                          { "health-check-path", "/health" },
                                          { "max-connections", database.options.maxConnections },
                                          { "protocol", "h1" },
                                          { "tls", false },
                                          { "sync-replicas", 1 } } }) },
            { "limits", { { "idle-timeout-ms", 15'000 }, { "tx-idle-ms", 3'000 } } },
            { "tenants",
              json::array({ tenant("nypu920", "key-one"), tenant("kara114", "key-two") }) },
        };
    }
    manifest["version"] = newVersion;
    put("op", "config", manifest.dump());
    manifestAt = now();
    record("operator", "manifest " + std::to_string(newVersion) + " is acknowledged");
}

// Members

bool world::isPrimary(std::size_t index) const
{
    return database.hasPrimary && database.primary == index;
}

void world::publish(std::size_t index)
{
    member &self = at(index);
    if (!self.up || !self.reachesStore)
        return;
    self.listed = true;
    const json row = { { "service", database.options.service },
                       { "address", "127.0.0.1:" + std::to_string(self.port) },
                       { "zone", self.zone },
                       { "version", "v1" },
                       { "slots", database.options.slots },
                       { "state", "ready" },
                       { "cold-remaining-ms", 0 },
                       { "sequence", 1 },
                       { "born", self.born },
                       { "db-role", isPrimary(index) ? "primary" : "replica" } };
    const std::string text = row.dump();
    const auto known = tables["servers"].find(self.id);
    if (known == tables["servers"].end() || known->second.deleted
        || known->second.value != base64(text))
        put("servers", self.id, text);
}

task<> world::beat(std::size_t index)
{
    for (;;) {
        member &self = at(index);
        if (self.up && self.reachesStore) {
            self.lastBeatAt = now();
            const bool isBack = !std::exchange(self.listed, true);
            publish(index);
            if (isBack)
                record(self.id, "writes its entry in the store");
        }
        co_await sleep(milliseconds(static_cast<int>(heartbeatSeconds * 1'000)));
    }
}

task<> world::expireEntries()
{
    for (;;) {
        co_await sleep(milliseconds(20));
        for (const auto &each : database.members) {
            if (each->listed && now() - each->lastBeatAt >= entryLifetimeSeconds) {
                each->listed = false;
                remove("servers", each->id);
                record("store",
                       "removes the entry of " + each->id + ": three heartbeats were missed");
            }
        }
    }
}

void world::crash(std::size_t index)
{
    at(index).up = false;
    ++at(index).generation;
    record(at(index).id, "goes dark");
}

void world::restart(std::size_t index)
{
    member &self = at(index);
    self.up = true;
    ++self.generation;
    ++self.born;
    self.pausedTerm = 0;
    self.applied = self.log.size();
    self.running = self.waiting = self.connections = 0;
    for (const auto &each : std::exchange(self.sockets, {}))
        reset(*each);
    record(self.id,
           std::string("is back with its log, as ") + (isPrimary(index) ? "primary" : "replica"));
    self.lastBeatAt = now();
    publish(index);
    for (std::size_t i = 0; i < database.members.size(); ++i) {
        if (i != database.primary)
            send(i);
    }
}

/// Sends the primary's log to a replica, which receives it after the delay of the network.
void world::send(std::size_t replica)
{
    const std::size_t from = database.primary;
    const member &source = at(from);
    if (!source.up)
        return;
    const milliseconds delay =
            source.zone == at(replica).zone ? inZoneDelay : database.options.zoneDelay;
    const std::size_t length = source.log.size();
    runAfter(delay, [this, replica, from, length, delay, term = database.term] {
        member &self = at(replica);
        if (!self.up || self.pausedTerm != 0 || database.term != term || database.primary != from
            || !database.hasPrimary)
            return;
        const member &primary = at(from);
        while (self.log.size() < length)
            self.log.push_back(primary.log[self.log.size()]);
        runAfter(self.lag, [this, replica, length, term, generation = self.generation] {
            member &later = at(replica);
            if (database.term == term && later.generation == generation)
                later.applied = std::max(later.applied, std::min(length, later.log.size()));
        });
        runAfter(delay, [this, replica, length, term] {
            if (database.term == term)
                database.received[replica] = std::max(database.received[replica], length);
        });
    });
}

void world::append(std::size_t index, log_entry entry)
{
    member &self = at(index);
    entry.at = { database.term, self.log.size() + 1 };
    self.log.push_back(std::move(entry));
    self.applied = self.log.size();
    for (std::size_t i = 0; i < database.members.size(); ++i) {
        if (i != index)
            send(i);
    }
}

int world::promote(const std::string &id, const std::string &holder, std::uint64_t token)
{
    if (token < database.highestToken)
        return 409;
    std::size_t index = 0;
    while (index < database.members.size() && at(index).id != id)
        ++index;
    if (index == database.members.size() || !at(index).up)
        return 409;
    database.highestToken = token;
    if (isPrimary(index))
        return 200;
    runAfter(database.options.promoteDelay, [this, index, holder, token] {
        if (token == database.highestToken && at(index).up && !isPrimary(index))
            becomePrimary(index, holder, token);
    });
    return 200;
}

void world::becomePrimary(std::size_t index, const std::string &holder, std::uint64_t token)
{
    member &leader = at(index);
    record("platform", "promotes " + leader.id + " by the order of " + holder + ", token "
                               + std::to_string(token) + ": it leads term "
                               + std::to_string(database.term + 1) + " with "
                               + std::to_string(leader.log.size()) + " entries");
    std::set<std::string> held;
    for (const log_entry &each : leader.log)
        held.insert(each.id);
    for (const acknowledged &each : acks) {
        if (!held.contains(each.id)) {
            database.lost.push_back(each.id);
            record("check",
                   "acknowledged commit " + each.id + " is not in the log of " + leader.id);
        }
    }
    database.primary = index;
    database.hasPrimary = true;
    ++database.term;
    database.received.clear();
    leader.applied = leader.log.size();
    for (const auto &each : database.members) {
        each->pausedTerm = 0;
        std::size_t common = 0;
        while (common < each->log.size() && common < leader.log.size()
               && each->log[common].at == leader.log[common].at)
            ++common;
        each->log.resize(common);
        each->applied = std::min(each->applied, common);
    }
    for (std::size_t i = 0; i < database.members.size(); ++i) {
        if (i != index)
            send(i);
        publish(i);
    }
}

task<> world::acceptMembers(std::size_t index)
{
    member &self = at(index);
    for (;;) {
        if (!self.up) {
            co_await sleep(milliseconds(5));
            continue;
        }
        auto socket = std::make_shared<tcp::socket>(
                co_await self.acceptor->async_accept(asio::use_awaitable));
        socket->set_option(tcp::no_delay(true));
        while (!self.up)
            co_await sleep(milliseconds(5));
        self.sockets.insert(socket);
        spawn(serveMember(index, socket, self.generation));
    }
}

namespace {

/// State of one connection to a member.
struct connection_state
{
    std::string tenant;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared; ///< by name: access and shape
    bool inTransaction = false;
    bool isPlain = false;
    bool hasFailed = false;
    bool hasWritten = false;
    std::uint64_t term = 0;
    log_entry pending;

    void endTransaction()
    {
        inTransaction = isPlain = hasFailed = hasWritten = false;
        pending = {};
    }
};

} // namespace

task<> world::serveMember(std::size_t index, std::shared_ptr<tcp::socket> socket,
                          std::uint64_t generation)
{
    member &self = at(index);
    connection_state client;
    std::string input;
    struct guard
    {
        world &owner;
        member &self;
        std::shared_ptr<tcp::socket> socket;
        std::uint64_t generation;
        bool counted = false;
        ~guard()
        {
            // The connections of a dark member stay open and silent until it is back.
            if (generation != self.generation)
                return;
            self.sockets.erase(socket);
            if (counted)
                --self.connections;
        }
    } connection{ *this, self, socket, generation };
    const auto isDead = [&] { return generation != self.generation; };
    // Written without co_await: GCC 12 destroys temporaries of such expressions twice.
    const auto write = [&](const std::string &text) {
        boost::system::error_code ignored;
        if (!isDead())
            asio::write(*socket, asio::buffer(text), ignored);
    };
    const auto readLine = [&]() -> task<std::string> {
        const std::size_t length = co_await asio::async_read_until(
                *socket, asio::dynamic_buffer(input), "\r\n", asio::use_awaitable);
        std::string line = input.substr(0, length - 2);
        input.erase(0, length);
        co_return line;
    };
    const auto readyLine = [&] {
        const char *state = client.hasFailed ? "E" : client.inTransaction ? "T" : "I";
        const position held =
                self.applied == 0 ? position{ database.term, 0 } : self.log[self.applied - 1].at;
        return std::string("READY ") + state + " " + toString(held) + "\r\n";
    };
    const auto fail = [&](const std::string &error) {
        if (client.inTransaction)
            client.hasFailed = true;
        write("ERROR " + error + "\r\n" + readyLine());
    };
    const auto succeed = [&](const std::string &row, const std::string &digest) {
        write((row.empty() ? "" : "DATAROW " + row + "\r\n") + "COMPLETE " + digest + "\r\n"
              + readyLine());
    };

    std::string opening = co_await readLine();
    if (takeWord(opening) != "STARTUP")
        co_return;
    const std::string service = takeWord(opening);
    client.tenant = takeWord(opening);
    if (service != database.options.service || (!opening.empty() && opening != self.id)) {
        write("ERROR MISROUTED -\r\n");
        co_return;
    }
    if (self.connections >= database.options.maxConnections) {
        write("ERROR CONNLIMIT -\r\n");
        co_return;
    }
    ++self.connections;
    connection.counted = true;
    co_await sleep(connectDelay);
    write(readyLine());

    while (!isDead()) {
        std::string line = co_await readLine();
        if (isDead())
            co_return;
        if (takeWord(line) != "QUERY")
            co_return;
        const std::string id = takeWord(line);
        const std::string whole = line;
        std::string verb = takeWord(line);
        std::optional<position> after;
        std::string text = whole;
        if (verb == "AFTER") {
            after = readPosition(takeWord(line));
            text = line;
            verb = takeWord(line);
        }
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN") {
            const std::uint64_t term =
                    verb == "PAUSE" || verb == "STEPDOWN" ? std::stoull(line) : 0;
            if (verb == "PAUSE" && !isPrimary(index) && term > database.term) {
                self.pausedTerm = term;
                record(self.id, "PAUSE " + std::to_string(term) + ": receives no more");
            } else if (verb == "RESUME" && self.pausedTerm != 0) {
                self.pausedTerm = 0;
                record(self.id, "RESUME: receives again");
                send(index);
            } else if (verb == "STEPDOWN" && isPrimary(index) && database.term < term) {
                database.hasPrimary = false;
                record(self.id, "STEPDOWN " + std::to_string(term));
                publish(index);
            }
            const position received =
                    self.log.empty() ? position{ database.term, 0 } : self.log.back().at;
            succeed((isPrimary(index) ? "primary " : "replica ") + std::to_string(database.term)
                            + " " + toString(received) + " " + std::to_string(self.pausedTerm)
                            + " 0 " + std::to_string(self.running) + " "
                            + std::to_string(self.connections),
                    "-");
            continue;
        }
        if (verb == "SET" || verb == "PREPARE" || verb == "DISCARD") {
            const std::string name = takeWord(line);
            if (verb == "SET")
                client.values[name] = line;
            else if (verb == "PREPARE")
                client.prepared[name] = line;
            else
                client.values.clear(), client.prepared.clear();
            succeed({}, "-");
            continue;
        }
        if (verb == "ROLLBACK") {
            client.endTransaction();
            succeed({}, "-");
            continue;
        }
        if (client.hasFailed && verb != "COMMIT") {
            fail("MALFORMED -");
            continue;
        }
        const position held = self.applied == 0 ? position{ 0, 0 } : self.log[self.applied - 1].at;
        if (after && after->index != 0 && held < *after) {
            fail("LAGGING -");
            continue;
        }
        if (verb == "BEGIN") {
            const bool isPlain = line.empty();
            if (isPlain && !isPrimary(index)) {
                fail("READONLY " + self.id);
                continue;
            }
            client.inTransaction = true;
            client.isPlain = isPlain;
            client.term = database.term;
            const std::string answer = "COMPLETE -\r\n" + readyLine();
            record(self.id, "accepts " + whole + " for " + client.tenant);
            if (onBegin)
                onBegin(self, client.tenant);
            write(answer);
            continue;
        }
        // Reads, writes and commits occupy a slot.
        if (self.running >= database.options.slots) {
            if (self.waiting >= database.options.queue) {
                write("ERROR BUSY -\r\n" + readyLine());
                continue;
            }
            ++self.waiting;
            while (!isDead() && self.running >= database.options.slots)
                co_await sleep(milliseconds(1));
            if (isDead())
                co_return;
            --self.waiting;
        }
        ++self.running;
        const milliseconds work = workOf ? workOf(client.tenant, text) : self.work;
        co_await sleep(work);
        if (isDead())
            co_return;
        --self.running;
        std::string shape;
        std::string arguments = line;
        bool isWrite = verb == "WRITE";
        if (verb == "EXECUTE") {
            const auto prepared = client.prepared.find(takeWord(line));
            if (prepared == client.prepared.end()) {
                fail("NOSTMT -");
                continue;
            }
            shape = prepared->second;
            isWrite = shape.starts_with("WRITE");
        } else if (verb != "READ" && verb != "WRITE" && verb != "COMMIT") {
            fail("MALFORMED -");
            continue;
        }
        const bool lostLead =
                !isPrimary(index) || (client.inTransaction && client.term != database.term);
        const bool mustLead = verb == "COMMIT"
                                      ? client.hasWritten
                                      : isWrite || (client.inTransaction && client.isPlain);
        if (mustLead && lostLead) {
            if (verb == "COMMIT")
                client.endTransaction();
            fail("READONLY " + self.id);
            continue;
        }
        const std::string digest = randomHex();
        runs.push_back({ now(), self.id, id, text, client.tenant, self.applied });
        record(self.id, "runs " + id + " " + text.substr(0, 60) + " for " + client.tenant
                                + ", applied " + std::to_string(self.applied));
        if (verb == "COMMIT" || (isWrite && !client.inTransaction)) {
            log_entry entry = verb == "COMMIT" ? client.pending : log_entry{};
            const bool changes = isWrite || client.hasWritten;
            if (isWrite) {
                const std::string item = takeWord(line);
                entry.writes.emplace_back(item, line);
            }
            client.endTransaction();
            entry.id = id;
            if (changes) {
                append(index, std::move(entry));
                const std::size_t length = self.log.size();
                const std::uint64_t term = database.term;
                const auto isReceived = [&] {
                    return std::any_of(
                            database.received.begin(), database.received.end(),
                            [length](const auto &each) { return each.second >= length; });
                };
                while (!isDead() && database.term == term && database.hasPrimary && !isReceived())
                    co_await sleep(milliseconds(1));
                if (isDead() || database.term != term || !isReceived())
                    co_return; // the outcome is not known: the connection ends
            }
            succeed({}, digest);
            continue;
        }
        if (isWrite) {
            const std::string item = takeWord(line);
            client.pending.writes.emplace_back(item, line);
            client.hasWritten = true;
            succeed({}, digest);
            continue;
        }
        const std::string item = takeWord(line);
        std::string value = "none";
        for (std::size_t i = 0; i < self.applied; ++i) {
            for (const auto &[name, written] : self.log[i].writes) {
                if (name == item)
                    value = written;
            }
        }
        succeed(value, digest);
    }
}

// Callers

session::session(world &from, std::string label)
    : owner(from)
    , name(std::move(label))
    , socket(from.io)
{ }

void session::close()
{
    boost::system::error_code ignored;
    socket.close(ignored);
    input.clear();
}

bool session::sendRaw(const std::string &bytes)
{
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    return !error;
}

task<bool> session::open(std::size_t daemon, const char *database, const char *key,
                         milliseconds limit)
{
    close();
    socket = tcp::socket(owner.io);
    boost::system::error_code error;
    const tcp::endpoint peer(asio::ip::make_address(owner.daemons[daemon].address),
                             owner.callerPort);
    co_await socket.async_connect(peer, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return false;
    socket.set_option(tcp::no_delay(true), error);
    sendRaw(std::string("STARTUP ") + database + " " + key + "\r\n");
    const reply answer = co_await readReply(limit);
    co_return answer.isSuccess();
}

task<reply> session::readReply(milliseconds limit)
{
    reply result;
    auto timer = std::make_shared<asio::steady_timer>(owner.io, limit);
    const auto expired = std::make_shared<bool>(false);
    timer->async_wait([this, expired, timer](const boost::system::error_code &failed) {
        if (failed)
            return;
        *expired = true;
        close();
    });
    for (;;) {
        boost::system::error_code error;
        const std::size_t length =
                co_await asio::async_read_until(socket, asio::dynamic_buffer(input), "\r\n",
                                                asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            result.closed = true;
            result.text = *expired ? "no answer" : "closed";
            break;
        }
        std::string line = input.substr(0, length - 2);
        input.erase(0, length);
        const std::string verb = takeWord(line);
        if (verb == "DATAROW")
            result.rows.push_back(line);
        else if (verb == "COMPLETE")
            result.digest = line;
        else if (verb == "ERROR") {
            result.code = takeWord(line);
            result.text = line;
        } else if (verb == "READY") {
            result.state = takeWord(line);
            result.at = line;
            break;
        }
    }
    if (!*expired)
        timer->cancel();
    co_return result;
}

task<reply> session::query(const std::string &text, milliseconds limit)
{
    lastId = randomHex();
    owner.sentAt[lastId] = owner.now();
    owner.record(name, "sends " + lastId + " " + text);
    const std::string id = lastId;
    if (!sendRaw("QUERY " + id + " " + text + "\r\n")) {
        reply lost;
        lost.closed = true;
        co_return lost;
    }
    const reply answer = co_await readReply(limit);
    std::string shown = answer.closed         ? answer.text
                        : answer.code.empty() ? "COMPLETE " + answer.digest
                                              : "ERROR " + answer.code;
    for (const std::string &row : answer.rows)
        shown += " row " + row;
    owner.record(name, "gets " + id + " " + shown + " " + answer.state + " " + answer.at);
    const bool commits = text == "COMMIT" || (text.starts_with("WRITE") && answer.state == "I");
    if (answer.isSuccess() && commits)
        owner.acks.push_back({ owner.now(), id });
    co_return answer;
}

task<> writeUntilStopped(world &owner, std::size_t daemon, int number, milliseconds first,
                         milliseconds pause, const bool &isStopped)
{
    co_await owner.sleep(first);
    const std::string name = "writer-" + std::to_string(daemon + 1) + "-" + std::to_string(number);
    session caller(owner, name);
    bool isOpen = false;
    for (int i = 0; !isStopped; ++i) {
        if (!isOpen)
            isOpen = co_await caller.open(daemon, "current", "key-one");
        if (isOpen) {
            const std::string text = "WRITE " + name + " v" + std::to_string(i);
            const reply answer = co_await caller.query(text, milliseconds(1'000));
            isOpen = answer.isSuccess();
        }
        co_await owner.sleep(pause);
    }
}

// Daemons

void world::startDaemons(const std::vector<std::string> &zones)
{
    const int process = ::getpid();
    const std::string network = "127." + std::to_string(100 + process / 250 % 100) + "."
                                + std::to_string(1 + process % 250) + ".";
    callerPort = freePort();
    const std::uint16_t readyPort = freePort();
    const std::uint16_t peerPort = freePort();
    for (std::size_t i = 0; i < zones.size(); ++i) {
        daemon_process created;
        created.name = "frontend-" + zones[i] + "-" + std::to_string(i + 1);
        created.zone = zones[i];
        created.address = network + std::to_string(2 + i);
        const std::map<std::string, std::string> fields = {
            { "node-name", created.name },
            { "zone", created.zone },
            { "ip-address", created.address },
            { "listen-addrs.frontend", created.address + ":" + std::to_string(callerPort) },
            { "listen-addrs.ready", created.address + ":" + std::to_string(readyPort) },
            { "internal-port-range.0", std::to_string(peerPort) },
            { "platform.address", "127.0.0.1:" + std::to_string(storePort) },
            { "cloud-api.address", "127.0.0.1:" + std::to_string(cloudPort) },
            { "limits.max-open-files", "4200" },
            { "limits.memory-mb", "260" },
            { "bounds.grace-period-s", "6" },
            { "bounds.drain-timeout-ms", "7000" },
            { "bounds.config-apply-ms", "3000" },
            { "bounds.require-fencing", "true" },
        };
        std::ifstream templateFile("deploy/instance.yaml");
        std::stringstream content;
        content << templateFile.rdbuf();
        std::string text = content.str();
        for (const auto &[name, value] : fields) {
            const std::string mark = "{{" + name + "}}";
            for (std::size_t found = text.find(mark); found != std::string::npos;
                 found = text.find(mark))
                text.replace(found, mark.size(), value);
        }
        const std::string settings = folder + "/" + created.name + ".yaml";
        std::ofstream(settings) << text;
        const std::string log = folder + "/" + created.name + ".log";
        std::vector<std::string> words = { "target/fuchsiagwd", "--interface=sessions",
                                           "--settings=" + settings };
        std::vector<char *> arguments;
        for (std::string &word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         0644);
        posix_spawn_file_actions_adddup2(&files, 1, 2);
        posix_spawn_file_actions_addclosefrom_np(&files, 3);
        if (posix_spawn(&created.pid, arguments[0], &files, nullptr, arguments.data(), environ)
            != 0)
            throw std::runtime_error(
                    "target/fuchsiagwd does not start; build the deploy file first");
        posix_spawn_file_actions_destroy(&files);
        record(created.name,
               "starts at " + created.address + ", process " + std::to_string(created.pid));
        daemons.push_back(created);
    }
}

void world::signalDaemon(std::size_t index, int number)
{
    record(daemons[index].name, "gets signal " + std::string(strsignal(number)));
    ::kill(daemons[index].pid, number);
}

void world::endDaemons()
{
    for (daemon_process &each : daemons) {
        if (each.pid <= 0)
            continue;
        ::kill(each.pid, SIGKILL);
        ::waitpid(each.pid, nullptr, 0);
        each.pid = -1;
    }
}

/// Waits until a write and a read work through each daemon.
task<bool> world::waitUntilReady(double limitSeconds)
{
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        for (;;) {
            if (now() > limitSeconds)
                co_return false;
            session probe(*this, "probe");
            if (co_await probe.open(i, "current", "key-one")) {
                const std::string text = "WRITE probe " + std::to_string(i);
                const reply answer = co_await probe.query(text);
                if (answer.isSuccess())
                    break;
            }
            probe.close();
            co_await sleep(milliseconds(200));
        }
    }
    co_return true;
}

int world::run(std::function<task<>()> scenario, double limitSeconds)
{
    asio::co_spawn(io, scenario(), [this](std::exception_ptr failure) {
        if (failure) {
            try {
                std::rethrow_exception(failure);
            } catch (const std::exception &error) {
                record("script", std::string("could not run: ") + error.what());
            }
            exitCode = couldNotRun;
        }
        io.stop();
    });
    runAfter(milliseconds(static_cast<int>(limitSeconds * 1'000)), [this] {
        record("script", "took too long");
        exitCode = couldNotRun;
        io.stop();
    });
    io.run();
    for (const daemon_process &each : daemons) {
        if (each.pid > 0 && ::waitpid(each.pid, nullptr, WNOHANG) == each.pid)
            record(each.name, "had ended by itself");
    }
    endDaemons();
    record("script", "exit code " + std::to_string(exitCode));
    return exitCode;
}

int runCase(int argc, char **argv, const std::vector<std::string> &memberZones,
            const group_options &options, const std::function<void(world &)> &prepare,
            const std::function<task<>(world &)> &scenario, double limitSeconds)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD\n";
        return couldNotRun;
    }
    ::signal(SIGPIPE, SIG_IGN);
    try {
        world owner(argv[1], memberZones, options);
        prepare(owner);
        const int code = owner.run([&owner, &scenario] { return scenario(owner); }, limitSeconds);
        std::cout << (code == ruleBroken ? "the rule was broken"
                      : code == ruleHeld ? "the rule held"
                                         : "could not run")
                  << std::endl;
        owner.cleanUp();
        std::_Exit(code); // the stand-ins' open connections need no orderly end
    } catch (const std::exception &failure) {
        std::cerr << "could not run: " << failure.what() << "\n";
        return couldNotRun;
    }
}

} // namespace review
