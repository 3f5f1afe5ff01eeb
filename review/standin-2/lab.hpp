/// @file
/// @brief Stand-ins of the second review: the platform's store, a database group, consumers, and
/// the daemons as processes.
///
/// All servers use blocking sockets with a thread for each connection. Everything that is sent,
/// answered and run goes to the record of the case.

#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

inline std::int64_t nowMs()
{
    static const steady::time_point start = steady::now();
    return std::chrono::duration_cast<milliseconds>(steady::now() - start).count();
}

inline void pause(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// @return false if the time is over first
inline bool waitUntil(std::int64_t limitMs, const std::function<bool()> &condition)
{
    const std::int64_t end = nowMs() + limitMs;
    while (!condition()) {
        if (nowMs() >= end)
            return false;
        pause(5);
    }
    return true;
}

/// The record of a case; thread-safe.
class record
{
public:
    explicit record(const std::string &path)
        : out_(path)
    { }

    template <typename... Parts>
    void line(const Parts &...parts)
    {
        std::ostringstream text;
        text << nowMs() << " ms  ";
        (text << ... << parts);
        const std::lock_guard lock(mutex_);
        out_ << text.str() << '\n' << std::flush;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

struct address
{
    std::string ip;
    std::uint16_t port = 0;
    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toSocketAddress(const address &from)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(from.port);
    inet_pton(AF_INET, from.ip.c_str(), &result.sin_addr);
    return result;
}

/// A connection that sends and receives lines and bytes; closed in the destructor.
class stream
{
public:
    explicit stream(int descriptor)
        : descriptor_(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    stream(const stream &) = delete;
    stream &operator=(const stream &) = delete;
    ~stream() { ::close(descriptor_); }

    [[nodiscard]] static std::shared_ptr<stream> connect(const address &to)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in target = toSocketAddress(to);
        if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&target), sizeof(target))
            != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_shared<stream>(descriptor);
    }

    bool send(const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t count =
                    ::send(descriptor_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// @return a line without its CR LF; none at the end of the connection or of the time
    std::optional<std::string> readLine(std::int64_t limitMs = 600'000)
    {
        const std::int64_t end = nowMs() + limitMs;
        std::size_t scanned = 0;
        while (true) {
            const std::size_t found = input_.find("\r\n", scanned);
            if (found != std::string::npos) {
                std::string line = input_.substr(0, found);
                input_.erase(0, found + 2);
                return line;
            }
            scanned = input_.empty() ? 0 : input_.size() - 1;
            if (!fill(end))
                return std::nullopt;
        }
    }

    std::optional<std::string> readBytes(std::size_t count, std::int64_t limitMs)
    {
        const std::int64_t end = nowMs() + limitMs;
        while (input_.size() < count) {
            if (!fill(end))
                return std::nullopt;
        }
        std::string bytes = input_.substr(0, count);
        input_.erase(0, count);
        return bytes;
    }

    /// @return what has come, which is empty if nothing came in time; none at the end
    std::optional<std::string> readSome(std::int64_t limitMs)
    {
        if (input_.empty() && !fill(nowMs() + limitMs) && isEnded_)
            return std::nullopt;
        return std::exchange(input_, {});
    }

    [[nodiscard]] bool isEnded() const { return isEnded_; }
    /// @brief Wakes a thread that reads.
    void shutDown() { ::shutdown(descriptor_, SHUT_RDWR); }
    /// @brief Makes the peer see a reset.
    void reset()
    {
        const linger now{ 1, 0 };
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::shutdown(descriptor_, SHUT_RDWR);
    }

private:
    bool fill(std::int64_t end)
    {
        const std::int64_t left = end - nowMs();
        pollfd waiting{ descriptor_, POLLIN, 0 };
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[65'536];
        const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            isEnded_ = true;
            return false;
        }
        input_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int descriptor_;
    std::string input_;
    std::atomic<bool> isEnded_{ false };
};

/// Accepts connections until it is closed; each one is handled on its own thread.
class server
{
public:
    using handler = std::function<void(const std::shared_ptr<stream> &)>;

    /// @param port 0: any
    server(const std::string &ip, handler handle, std::uint16_t port = 0)
        : handle_(std::move(handle))
    {
        address_ = { ip, port };
        open();
    }
    ~server() { close(); }

    [[nodiscard]] const address &at() const { return address_; }

    /// @brief Ends all connections and refuses new ones.
    void close()
    {
        if (!isOpen_.exchange(false))
            return;
        ::shutdown(descriptor_, SHUT_RDWR);
        acceptor_.join();
        ::close(descriptor_);
        std::vector<std::thread> handlers;
        {
            const std::lock_guard lock(mutex_);
            for (const auto &each : streams_) {
                if (const auto open = each.lock())
                    open->reset();
            }
            streams_.clear();
            handlers.swap(handlers_);
        }
        for (std::thread &each : handlers)
            each.join();
    }

    /// @brief Listens again at the same address.
    void open()
    {
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in local = toSocketAddress(address_);
        socklen_t length = sizeof(local);
        if (::bind(descriptor_, reinterpret_cast<sockaddr *>(&local), sizeof(local)) != 0
            || ::listen(descriptor_, 512) != 0) {
            std::perror("listen");
            std::exit(couldNotRun);
        }
        getsockname(descriptor_, reinterpret_cast<sockaddr *>(&local), &length);
        address_.port = ntohs(local.sin_port);
        isOpen_ = true;
        acceptor_ = std::thread([this] { accept(); });
    }

private:
    void accept()
    {
        while (isOpen_) {
            const int connection = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                return;
            const auto accepted = std::make_shared<stream>(connection);
            const std::lock_guard lock(mutex_);
            streams_.push_back(accepted);
            handlers_.emplace_back([this, accepted] { handle_(accepted); });
        }
    }

    handler handle_;
    address address_;
    int descriptor_ = -1;
    std::atomic<bool> isOpen_{ false };
    std::thread acceptor_;
    std::mutex mutex_;
    std::vector<std::weak_ptr<stream>> streams_;
    std::vector<std::thread> handlers_;
};

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (k < left ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += k <= left ? digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

/// The platform's store and its promotion service. Each daemon reaches it at an address of its own,
/// so that it can be silent for some of them.
class store
{
public:
    using json = nlohmann::json;

    explicit store(record &out)
        : record_(out)
    { }

    /// Handles an order; returns the status of the response.
    std::function<int(const std::string &service, const std::string &id, std::uint64_t token)>
            onPromote;
    /// Daemons that get no response. The response that would have been given is lost, and its
    /// connection delivers nothing further.
    std::function<bool(const std::string &daemon)> isSilentFor = [](const std::string &) {
        return false;
    };

    /// Daemons that are partitioned from the store: their calls don't reach it either.
    std::function<bool(const std::string &daemon)> isCutOff = [](const std::string &) {
        return false;
    };

    /// @brief Opens an address for a daemon.
    address openFor(const std::string &daemon, const std::string &ip)
    {
        servers_.push_back(std::make_unique<server>(
                ip, [this, daemon](const auto &connection) { serve(daemon, *connection); }));
        return servers_.back()->at();
    }

    /// @brief Writes a row as the operator or a member does.
    /// @return when the store had accepted it
    std::int64_t put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        ++version_;
        tables_[table][key] = { encodeBase64(value), version_, false };
        changed_.notify_all();
        return nowMs();
    }
    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        ++version_;
        tables_[table][key] = { {}, version_, true };
        changed_.notify_all();
    }
    /// @return the daemon that last wrote under a condition
    [[nodiscard]] std::string lastWriter()
    {
        const std::lock_guard lock(mutex_);
        return lastWriter_;
    }
    /// @return the daemon that has made the fewest calls
    [[nodiscard]] std::size_t quietest(const std::vector<std::string> &daemons)
    {
        const std::lock_guard lock(mutex_);
        for (const std::string &each : daemons)
            record_.line("store: ", calls_[each], " calls of ", each);
        const auto found = std::min_element(
                daemons.begin(), daemons.end(),
                [&](const auto &left, const auto &right) { return calls_[left] < calls_[right]; });
        return static_cast<std::size_t>(found - daemons.begin());
    }
    void forgetCalls()
    {
        const std::lock_guard lock(mutex_);
        calls_.clear();
    }
    /// An order to promote a member.
    struct order
    {
        std::int64_t atMs = 0;
        std::string service;
        std::string member;
        std::string holder;
        std::uint64_t token = 0;
        int status = 0;
    };
    [[nodiscard]] std::vector<order> orders()
    {
        const std::lock_guard lock(mutex_);
        return orders_;
    }

    /// @brief Keeps a copy from which the store can come back.
    void keepCopy()
    {
        const std::lock_guard lock(mutex_);
        copy_ = tables_;
        copyVersion_ = version_;
        record_.line("store: a copy is kept, at version ", version_);
    }
    /// @brief Is away for a moment and comes back from the copy. Versions go back.
    void comeBackFromCopy(std::int64_t awayMs)
    {
        {
            const std::lock_guard lock(mutex_);
            ++era_;
            isAway_ = true;
            changed_.notify_all();
        }
        for (const auto &each : servers_)
            each->close();
        pause(awayMs);
        {
            const std::lock_guard lock(mutex_);
            record_.line("store: comes back from the copy, at version ", copyVersion_,
                         " in place of ", version_);
            tables_ = copy_;
            version_ = copyVersion_;
            isAway_ = false;
        }
        for (const auto &each : servers_)
            each->open();
    }
    /// @brief Records the calls of a daemon from now on.
    void watch(const std::string &daemon)
    {
        const std::lock_guard lock(mutex_);
        watched_ = daemon;
    }

    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            isClosed_ = true;
            changed_.notify_all();
        }
        for (const auto &each : servers_)
            each->close();
    }

private:
    struct row
    {
        std::string value; ///< base64
        std::uint64_t version = 0;
        bool isDeleted = false;
    };
    struct response
    {
        int status = 200;
        json body = json::object();
    };

    void serve(const std::string &daemon, stream &connection)
    {
        bool isDead = false;
        while (const auto head = connection.readLine()) {
            std::istringstream words(*head);
            std::string method;
            std::string target;
            words >> method >> target;
            std::size_t length = 0;
            std::uint64_t token = 0;
            while (true) {
                const auto header = connection.readLine();
                if (!header)
                    return;
                if (header->empty())
                    break;
                const std::size_t colon = header->find(':');
                std::string name = header->substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                if (name == "content-length")
                    length = std::stoul(header->substr(colon + 1));
                else if (name == "x-fencing-token")
                    token = std::stoull(header->substr(colon + 1));
            }
            const auto body = connection.readBytes(length, 10'000);
            if (!body)
                return;
            if (isCutOff(daemon)) {
                isDead = true;
                continue;
            }
            // A call that gets no response may have been performed.
            const response answer = handle(method, target, *body, token, daemon);
            if (isDead || isCutOff(daemon) || isSilentFor(daemon)) {
                if (!isDead)
                    record_.line("store: a response to ", daemon, " is lost: ", method, " ",
                                 target);
                isDead = true;
                continue;
            }
            const std::string text = answer.body.dump();
            connection.send("HTTP/1.1 " + std::to_string(answer.status)
                            + " X\r\nStore-Era: " + std::to_string(era())
                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                            + std::to_string(text.size()) + "\r\n\r\n" + text);
        }
    }

    [[nodiscard]] int era()
    {
        const std::lock_guard lock(mutex_);
        return era_;
    }

    static std::string decode(const std::string &text)
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

    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> result;
        const std::size_t mark = target.find('?');
        if (mark == std::string::npos)
            return result;
        std::istringstream parts(target.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            const std::size_t equals = part.find('=');
            result[part.substr(0, equals)] = decode(part.substr(equals + 1));
        }
        return result;
    }

    response handle(const std::string &method, const std::string &target, const std::string &body,
                    std::uint64_t token, const std::string &daemon)
    {
        const std::string path = target.substr(0, target.find('?'));
        {
            const std::lock_guard lock(mutex_);
            ++calls_[daemon];
            if (daemon == watched_)
                record_.line("store: ", daemon, " calls ", method, " ", target);
        }
        const auto query = queryOf(target);
        if (method == "POST" && path == "/promote") {
            const json order = json::parse(body);
            const std::string service = order.at("service");
            const std::string id = order.at("id");
            const int status = onPromote ? onPromote(service, id, token) : 503;
            {
                const std::lock_guard lock(mutex_);
                orders_.push_back({ nowMs(), service, id, daemon, token, status });
            }
            record_.line("platform: ", daemon, " orders ", id, " with token ", token, ": ", status);
            return { status, json::object() };
        }
        if (path == "/-/rows-get")
            return read(query);
        if (path == "/-/rows-feed")
            return follow(query);
        if (path == "/-/rows-tx")
            return change(json::parse(body), daemon);
        return { 404, json::object() };
    }

    json toJson(const std::string &table, const std::string &key, const row &from) const
    {
        json result = { { "table-name", table },
                        { "part", "" },
                        { "key", key },
                        { "value", from.value },
                        { "row-version", from.version } };
        if (from.isDeleted)
            result["deleted"] = true;
        return result;
    }

    response read(const std::map<std::string, std::string> &query)
    {
        const std::lock_guard lock(mutex_);
        response answer;
        json rows = json::array();
        const std::string table = query.at("table-name");
        const std::size_t limit = query.contains("limit") ? std::stoul(query.at("limit")) : 500;
        bool hasMore = false;
        for (const auto &[key, each] : tables_[table]) {
            if (each.isDeleted || (query.contains("from") && key < query.at("from")))
                continue;
            if (rows.size() == limit) {
                hasMore = true;
                break;
            }
            rows.push_back(toJson(table, key, each));
        }
        answer.body = { { "rows", rows },
                        { "has-more", hasMore },
                        { "row-version", version_ },
                        { "now-ms", nowMs() } };
        return answer;
    }

    response follow(const std::map<std::string, std::string> &query)
    {
        const std::string table = query.at("table-name");
        const std::uint64_t after = std::stoull(query.at("after"));
        const std::int64_t waitMs = std::stoll(query.at("wait-ms"));
        std::unique_lock lock(mutex_);
        if (after > version_)
            return { 410, json::object() }; // a version that the store doesn't have
        json rows = json::array();
        const auto collect = [&] {
            std::vector<std::pair<std::uint64_t, json>> found;
            for (const auto &[key, each] : tables_[table]) {
                if (each.version > after)
                    found.emplace_back(each.version, toJson(table, key, each));
            }
            std::sort(found.begin(), found.end(),
                      [](const auto &left, const auto &right) { return left.first < right.first; });
            for (auto &each : found)
                rows.push_back(std::move(each.second));
            return !rows.empty() || isClosed_ || isAway_;
        };
        changed_.wait_for(lock, milliseconds(waitMs), collect);
        response answer;
        answer.body = { { "rows", rows },
                        { "has-more", false },
                        { "row-version", version_ },
                        { "now-ms", nowMs() } };
        return answer;
    }

    response change(const json &body, const std::string &daemon)
    {
        const std::lock_guard lock(mutex_);
        response answer;
        json present = json::array();
        bool isMet = true;
        for (const json &each : body.at("expected")) {
            const std::string table = each.at("table-name");
            const std::string key = each.at("key");
            const auto found = tables_[table].find(key);
            const bool exists = found != tables_[table].end() && !found->second.isDeleted;
            if (exists)
                present.push_back(toJson(table, key, found->second));
            isMet = isMet
                    && (exists ? found->second.version : 0)
                               == each.at("row-version").get<std::uint64_t>();
        }
        if (!isMet) {
            answer.status = 412;
            answer.body = { { "rows", present },
                            { "row-version", version_ },
                            { "now-ms", nowMs() } };
            return answer;
        }
        ++version_;
        lastWriter_ = daemon;
        for (const json &each : body.at("puts"))
            tables_[each.at("table-name")][each.at("key")] = { each.at("value"), version_, false };
        for (const json &each : body.at("remove"))
            tables_[each.at("table-name")][each.at("key")] = { {}, version_, true };
        changed_.notify_all();
        answer.body = { { "row-version", version_ }, { "now-ms", nowMs() } };
        return answer;
    }

    record &record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isClosed_ = false;
    std::uint64_t version_ = 1;
    std::map<std::string, std::map<std::string, row>> tables_;
    std::map<std::string, std::size_t> calls_; ///< by daemon
    std::string lastWriter_;
    std::vector<order> orders_;
    int era_ = 1;
    bool isAway_ = false;
    std::map<std::string, std::map<std::string, row>> copy_;
    std::uint64_t copyVersion_ = 0;
    std::string watched_; ///< daemon whose calls are recorded
    std::vector<std::unique_ptr<server>> servers_;
};

struct position
{
    std::uint64_t term = 1;
    std::uint64_t number = 0;
    auto operator<=>(const position &) const = default;
    [[nodiscard]] std::string text() const
    {
        return std::to_string(term) + "." + std::to_string(number);
    }
};

/// A statement that a member has run.
struct run
{
    std::int64_t atMs = 0; ///< when it reached the member
    std::string member;
    std::string who;
    std::string id;
    std::string text;
};

/// Three members of one database: a primary and replicas that receive each commit at once, unless
/// they are paused or deaf.
class group
{
public:
    struct member
    {
        std::string id;
        std::string zone;
        std::string state = "ready";
        bool isListed = true;
        bool isDeaf = false; ///< receives nothing
        std::set<std::string> hiddenFrom; ///< daemons that are partitioned from the member
        std::int64_t born = 0;
        std::uint64_t term = 1;
        std::uint64_t pausedTerm = 0;
        std::vector<std::pair<position, std::string>> log; ///< position and id of each commit
        bool isRunning = true;
        std::unique_ptr<server> listener;
    };

    /// A promotion that has taken effect, with the log that the new primary had then.
    struct promotion
    {
        std::int64_t atMs = 0;
        std::string member;
        std::uint64_t term = 0;
        std::set<std::string> commits; ///< ids
    };

    std::string service;
    std::uint32_t slots = 4;
    std::int64_t statementMs = 2;
    std::int64_t promoteMs = 1'000;
    /// Rows of a read; none: one row with the item's name.
    std::function<std::vector<std::string>(const std::string &item)> rowsOf;

    /// @param number of the group, from 1; a part of its name, its members' ids and addresses
    group(record &out, store &platform, const std::string &network,
          const std::vector<std::string> &zones, int number = 1)
        : service("libros" + std::to_string(number))
        , record_(out)
        , platform_(platform)
    {
        for (std::size_t i = 0; i < zones.size(); ++i) {
            auto next = std::make_unique<member>();
            next->id = "i-" + std::to_string(10 * number + static_cast<int>(i) + 1);
            next->zone = zones[i];
            next->born = 1'700'000'000'000 + static_cast<std::int64_t>(i);
            member &self = *next;
            members_.push_back(std::move(next));
            self.listener = std::make_unique<server>(
                    network + ".2." + std::to_string(10 * number + static_cast<int>(i) + 1),
                    [this, &self](const auto &connection) { serve(self, *connection); });
        }
        for (const auto &each : members_)
            list(*each);
    }

    [[nodiscard]] member &at(std::size_t index) { return *members_.at(index); }

    /// @brief Writes the member's entry.
    /// @return when the store had accepted it
    std::int64_t list(member &self)
    {
        nlohmann::json entry = {
            { "service", service },     { "address", self.listener->at().text() },
            { "zone", self.zone },      { "version", "v1" },
            { "slots", slots },         { "state", self.state },
            { "cold-remaining-ms", 0 }, { "db-role", &self == primary() ? "primary" : "replica" },
            { "sequence", 1 },          { "born", self.born }
        };
        const std::int64_t at = platform_.put("servers", self.id, entry.dump());
        record_.line("store: entry of ", self.id, ": ", self.state, ", ",
                     &self == primary() ? "primary" : "replica");
        return at;
    }

    /// @brief Ends a member's process; its log stays.
    void crash(member &self)
    {
        {
            const std::lock_guard lock(mutex_);
            self.isRunning = false;
            received_.notify_all();
        }
        self.listener->close();
        record_.line("member ", self.id, ": crashes");
    }

    /// @brief Starts a member again with its log, as a replica if another one was promoted.
    /// @param reachesStore whether it can write its entry
    void restart(member &self, bool reachesStore = true)
    {
        self.listener->open();
        {
            const std::lock_guard lock(mutex_);
            self.isRunning = true;
            record_.line("member ", self.id, ": runs again");
            replicate();
        }
        if (reachesStore)
            list(self);
    }

    /// @brief Partitions a member from one daemon, silently; that daemon's own connections to it
    /// carry the daemon's name.
    void hide(member &self, const std::string &daemon)
    {
        const std::lock_guard lock(mutex_);
        self.hiddenFrom.insert(daemon);
        record_.line("member ", self.id, ": is partitioned from ", daemon);
    }
    void show(member &self)
    {
        const std::lock_guard lock(mutex_);
        self.hiddenFrom.clear();
        record_.line("member ", self.id, ": is reached by all daemons");
    }

    void setDeaf(member &self, bool isDeaf)
    {
        const std::lock_guard lock(mutex_);
        self.isDeaf = isDeaf;
        record_.line("member ", self.id, isDeaf ? ": receives nothing" : ": receives again",
                     ", its log ends at ", received(self).text());
        if (!isDeaf && primary()->isRunning)
            replicate();
    }

    /// @brief Handles an order of the platform, which takes effect a second later.
    /// @return status of the platform's response
    int promote(const std::string &id, std::uint64_t token)
    {
        const std::lock_guard lock(mutex_);
        const auto found = std::find_if(members_.begin(), members_.end(),
                                        [&](const auto &each) { return each->id == id; });
        if (token < highestToken_ || found == members_.end() || !(*found)->isRunning)
            return 409;
        highestToken_ = token;
        if (found->get() == primary() && !isDeposed_)
            return 200;
        effects_.emplace_back([this, index = static_cast<std::size_t>(found - members_.begin())] {
            pause(promoteMs);
            takeLead(index);
        });
        return 200;
    }

    [[nodiscard]] std::vector<promotion> promotions()
    {
        const std::lock_guard lock(mutex_);
        return promotions_;
    }
    [[nodiscard]] std::string primaryId()
    {
        const std::lock_guard lock(mutex_);
        return primary()->id;
    }

    [[nodiscard]] std::vector<run> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

    void close()
    {
        {
            const std::lock_guard lock(mutex_);
            isClosed_ = true;
            received_.notify_all();
        }
        for (std::thread &each : effects_)
            each.join();
        for (const auto &each : members_)
            each->listener->close();
    }

private:
    struct session
    {
        std::string who;
        char state = 'I';
        bool isPlain = false; ///< the open transaction is read-write
        std::vector<std::string> writes; ///< ids of the writes of the open transaction
        std::map<std::string, std::string> prepared; ///< READ or WRITE, by name
    };

    [[nodiscard]] member *primary() { return members_.at(primary_).get(); }
    [[nodiscard]] bool leads(const member &self) const
    {
        return members_.at(primary_).get() == &self && !isDeposed_;
    }
    [[nodiscard]] static position received(const member &self)
    {
        return self.log.empty() ? position{ self.term, 0 } : self.log.back().first;
    }

    void serve(member &self, stream &connection)
    {
        session client;
        const auto opening = connection.readLine();
        if (!opening)
            return;
        std::istringstream words(*opening);
        std::string verb;
        std::string name;
        std::string id;
        words >> verb >> name >> client.who >> id;
        if (isHidden(self, client.who)) {
            connection.readLine();
            return;
        }
        const bool isRight = verb == "STARTUP" && name == service && (id.empty() || id == self.id);
        if (!isRight) {
            connection.send("ERROR MISROUTED " + self.id + "\r\n");
            return;
        }
        connection.send("READY I " + textOf(self) + "\r\n");
        while (const auto line = connection.readLine()) {
            if (line->rfind("QUERY ", 0) != 0)
                return;
            if (isHidden(self, client.who))
                continue;
            const std::size_t end = line->find(' ', 6);
            const std::string answer =
                    handle(self, client, line->substr(6, end - 6), line->substr(end + 1));
            if (answer.empty()
                || !connection.send(answer + "READY " + client.state + " " + textOf(self) + "\r\n"))
                return;
        }
    }

    [[nodiscard]] bool isHidden(const member &self, const std::string &who)
    {
        const std::lock_guard lock(mutex_);
        return self.hiddenFrom.contains(who);
    }

    std::string textOf(const member &self)
    {
        const std::lock_guard lock(mutex_);
        return received(self).text();
    }

    static std::string succeed(const std::string &digest = "-")
    {
        return "COMPLETE " + digest + "\r\n";
    }
    std::string fail(const member &self, session &client, const std::string &code)
    {
        if (client.state == 'T')
            client.state = 'E';
        return "ERROR " + code + " " + self.id + "\r\n";
    }

    std::string handle(member &self, session &client, const std::string &id, std::string text)
    {
        const std::int64_t arrivedAt = nowMs();
        std::string after;
        if (text.rfind("AFTER ", 0) == 0) {
            const std::size_t end = text.find(' ', 6);
            after = text.substr(6, end - 6);
            text.erase(0, end + 1);
        }
        std::istringstream words(text);
        std::string verb;
        std::string name;
        words >> verb >> name;
        if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN")
            return control(self, verb, name);
        if (verb == "PREPARE") {
            words >> client.prepared[name];
            return succeed();
        }
        if (verb == "SET" || verb == "DISCARD" || verb == "DEALLOC")
            return succeed();
        if (verb == "EXECUTE") {
            if (!client.prepared.contains(name))
                return fail(self, client, "NOSTMT");
            verb = client.prepared[name];
            words >> name;
        }
        if (verb == "ROLLBACK") {
            client.state = 'I';
            client.writes.clear();
            return succeed();
        }
        if (!after.empty() && lacks(self, after))
            return fail(self, client, "LAGGING");
        if (verb == "BEGIN") {
            client.isPlain = name != "READ";
            if (client.isPlain && !isPrimary(self))
                return "ERROR READONLY " + self.id + "\r\n";
            client.state = 'T';
            return succeed();
        }
        const bool needsPrimary = verb == "WRITE" || (client.state == 'T' && client.isPlain);
        if (needsPrimary && !isPrimary(self))
            return fail(self, client, "READONLY");
        {
            const std::lock_guard lock(mutex_);
            runs_.push_back({ arrivedAt, self.id, client.who, id, text });
        }
        record_.line(self.id, ": runs ", id, " of ", client.who, ": ", text.substr(0, 60));
        pause(statementMs);
        const std::string digest = "d" + std::to_string(++lastDigest_);
        if (verb == "READ") {
            std::string rows;
            for (const std::string &each :
                 rowsOf ? rowsOf(name) : std::vector<std::string>{ "row-of-" + name })
                rows += "DATAROW " + each + "\r\n";
            return rows + succeed(digest);
        }
        if (verb == "WRITE" && client.state == 'T') {
            client.writes.push_back(id);
            return succeed(digest);
        }
        if (verb == "COMMIT") {
            client.state = 'I';
            const bool wrote = !std::exchange(client.writes, {}).empty();
            if (wrote && !commit(self, id))
                return {};
            return succeed(digest);
        }
        if (verb == "WRITE" && commit(self, id))
            return succeed(digest);
        return {};
    }

    std::string control(member &self, const std::string &verb, const std::string &argument)
    {
        const std::lock_guard lock(mutex_);
        const std::uint64_t term = argument.empty() ? 0 : std::stoull(argument);
        if (verb == "PAUSE" && !leads(self) && term > self.term)
            self.pausedTerm = term;
        if (verb == "STEPDOWN" && leads(self) && term > self.term)
            isDeposed_ = true;
        if (verb == "RESUME" && self.pausedTerm != 0) {
            self.pausedTerm = 0;
            replicate();
        }
        return "DATAROW " + std::string(leads(self) ? "primary " : "replica ")
               + std::to_string(self.term) + " " + received(self).text() + " "
               + std::to_string(self.pausedTerm) + " 0 0 1\r\n" + succeed();
    }

    [[nodiscard]] bool isPrimary(const member &self)
    {
        const std::lock_guard lock(mutex_);
        return leads(self);
    }

    [[nodiscard]] bool lacks(const member &self, const std::string &after)
    {
        const std::size_t dot = after.find('.');
        const position wanted{ std::stoull(after.substr(0, dot)),
                               std::stoull(after.substr(dot + 1)) };
        const std::lock_guard lock(mutex_);
        return received(self) < wanted;
    }

    /// Copies the primary's log to the replicas that receive.
    void replicate()
    {
        const member &source = *primary();
        for (const auto &each : members_) {
            if (each.get() == &source || each->pausedTerm != 0 || each->isDeaf || !each->isRunning
                || !source.isRunning)
                continue;
            each->log = source.log;
            each->term = source.term;
        }
        received_.notify_all();
    }

    void takeLead(std::size_t index)
    {
        const std::lock_guard lock(mutex_);
        if (isClosed_ || !members_.at(index)->isRunning)
            return;
        const std::uint64_t term = primary()->term + 1;
        member &previous = *primary();
        primary_ = index;
        isDeposed_ = false;
        member &next = *primary();
        next.term = term;
        next.pausedTerm = 0;
        promotion made{ nowMs(), next.id, term, {} };
        for (const auto &each : next.log)
            made.commits.insert(each.second);
        record_.line("member ", next.id, ": leads term ", term, ", its log ends at ",
                     received(next).text());
        promotions_.push_back(std::move(made));
        list(next);
        if (&previous != &next && previous.isListed && previous.isRunning)
            list(previous);
        replicate();
    }

    /// @return false if no replica has received the commit in time
    bool commit(member &self, const std::string &id)
    {
        std::unique_lock lock(mutex_);
        position next = received(self);
        next = { self.term, next.number + 1 };
        self.log.emplace_back(next, id);
        replicate();
        const auto hasCopy = [&] {
            return isClosed_ || !self.isRunning
                   || std::any_of(members_.begin(), members_.end(), [&](const auto &each) {
                          return each.get() != &self && received(*each) >= next;
                      });
        };
        return received_.wait_for(lock, std::chrono::seconds(30), hasCopy) && !isClosed_
               && self.isRunning;
    }

    record &record_;
    store &platform_;
    std::mutex mutex_;
    std::condition_variable received_;
    bool isClosed_ = false;
    std::size_t primary_ = 0;
    bool isDeposed_ = false; ///< the primary has stepped down
    std::uint64_t highestToken_ = 0;
    std::vector<promotion> promotions_;
    std::vector<std::thread> effects_;
    std::vector<std::unique_ptr<member>> members_;
    std::vector<run> runs_;
    std::atomic<std::uint64_t> lastDigest_{ 0 };
};

/// One daemon as a process, with the command of the deploy file and the settings of its template.
class daemon
{
public:
    struct options
    {
        std::string name;
        std::string zone;
        std::string ip;
        address storeAt;
        int memoryMb = 260;
        std::uint16_t peerPort = 7'560;
    };

    daemon(record &out, const std::filesystem::path &root, const std::filesystem::path &folder,
           options values)
        : record_(out)
        , root_(root)
        , options_(std::move(values))
        , settings_(folder / (options_.name + ".yaml"))
        , log_(folder / (options_.name + ".log"))
    {
        writeSettings();
    }
    ~daemon()
    {
        if (isRunning())
            kill(SIGKILL);
    }

    void start()
    {
        const std::vector<std::string> words = command();
        process_ = ::fork();
        if (process_ == 0) {
            std::vector<char *> arguments;
            for (const std::string &each : words)
                arguments.push_back(const_cast<char *>(each.c_str()));
            arguments.push_back(nullptr);
            const int output = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            if (::chdir(root_.c_str()) == 0)
                ::execv(arguments.front(), arguments.data());
            ::_exit(127);
        }
        record_.line("daemon ", options_.name, ": started at ", callerAddress().text());
    }

    /// @return false once the process has ended; a signal that ended it is recorded
    bool isRunning()
    {
        if (process_ <= 0)
            return false;
        int status = 0;
        if (::waitpid(process_, &status, WNOHANG) == 0)
            return true;
        noteEnd(status);
        return false;
    }

    void kill(int signal)
    {
        if (process_ <= 0)
            return;
        ::kill(process_, signal);
        record_.line("daemon ", options_.name, ": sent signal ", signal);
        if (signal != SIGKILL)
            return;
        int status = 0;
        ::waitpid(process_, &status, 0);
        process_ = 0;
    }

    /// @return the signal that ended the process by itself; 0: none
    [[nodiscard]] int endSignal() const { return endSignal_; }
    [[nodiscard]] const std::string &name() const { return options_.name; }
    [[nodiscard]] address callerAddress() const { return { options_.ip, 8465 }; }
    [[nodiscard]] std::string logText() const
    {
        std::ifstream in(log_);
        return { std::istreambuf_iterator<char>(in), {} };
    }

    /// @return resident memory, in megabytes
    [[nodiscard]] double residentMb() const
    {
        std::ifstream in("/proc/" + std::to_string(process_) + "/status");
        std::string line;
        while (std::getline(in, line)) {
            if (line.rfind("VmRSS:", 0) == 0)
                return std::stod(line.substr(6)) / 1'024;
        }
        return 0;
    }

    bool isReady()
    {
        const auto connection = stream::connect({ options_.ip, 8460 });
        if (!connection
            || !connection->send(
                    "GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
            return false;
        const auto line = connection->readLine(1'000);
        return line && line->find(" 200") != std::string::npos;
    }

private:
    void noteEnd(int status)
    {
        process_ = 0;
        endSignal_ = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
        record_.line("daemon ", options_.name, ": ended by itself, ",
                     WIFSIGNALED(status) ? "signal " : "exit code ",
                     WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
    }

    void writeSettings() const
    {
        const std::map<std::string, std::string> values{
            { "node-name", options_.name },
            { "zone", options_.zone },
            { "ip-address", options_.ip },
            { "listen-addrs.frontend", options_.ip + ":8465" },
            { "listen-addrs.ready", options_.ip + ":8460" },
            { "internal-port-range.0", std::to_string(options_.peerPort) },
            { "platform.address", options_.storeAt.text() },
            { "cloud-api.address", options_.storeAt.text() },
            { "limits.max-open-files", "4200" },
            { "limits.memory-mb", std::to_string(options_.memoryMb) },
            { "bounds.grace-period-s", "6" },
            { "bounds.drain-timeout-ms", "7000" },
            { "bounds.config-apply-ms", "3000" },
            { "bounds.require-fencing", "true" },
            { "limits.cpu-share", "0.25" },
            { "limits.bandwidth-mbps", "1000.0" },
        };
        std::ifstream in(root_ / "deploy/instance.yaml");
        std::ofstream out(settings_);
        std::string line;
        while (std::getline(in, line)) {
            const std::size_t begin = line.find("{{");
            const std::size_t end = line.find("}}");
            if (begin != std::string::npos && end != std::string::npos) {
                const auto found = values.find(line.substr(begin + 2, end - begin - 2));
                line = line.substr(0, begin) + (found == values.end() ? "" : found->second)
                       + line.substr(end + 2);
            }
            out << line << '\n';
        }
    }

    [[nodiscard]] std::vector<std::string> command() const
    {
        std::ifstream in(root_ / "deploy/system.toml");
        std::string line;
        std::vector<std::string> words;
        while (std::getline(in, line)) {
            if (line.rfind("run = \"", 0) != 0)
                continue;
            std::istringstream parts(line.substr(7, line.rfind('"') - 7));
            std::string word;
            while (parts >> word)
                words.push_back(word.rfind("--settings=", 0) == 0
                                        ? "--settings=" + settings_.string()
                                        : word);
        }
        return words;
    }

    record &record_;
    std::filesystem::path root_;
    options options_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    pid_t process_ = 0;
    int endSignal_ = 0;
};

/// The network between one daemon and the others, which can be cut silently. The daemon has another
/// peer port than the others, as each daemon reaches its peers at the port of its own settings;
/// both ends are proxies.
class peer_link
{
public:
    /// @param one address of the daemon
    /// @param others addresses of the others
    peer_link(const std::string &one, std::uint16_t onePort, const std::vector<std::string> &others,
              std::uint16_t othersPort)
    {
        join({ one, othersPort }, { one, onePort });
        for (const std::string &each : others)
            join({ each, onePort }, { each, othersPort });
    }
    ~peer_link()
    {
        isCut_ = false;
        isClosed_ = true;
        for (std::thread &each : threads_)
            each.join();
        for (const auto &each : servers_)
            each->close();
    }

    void setCut(bool isCut) { isCut_ = isCut; }

private:
    /// Passes on what comes to one address to the other one.
    void join(const address &from, const address &to)
    {
        threads_.emplace_back([this, from, to] { passDatagrams(from, to); });
        servers_.push_back(std::make_unique<server>(
                from.ip,
                [this, to](const std::shared_ptr<stream> &near) {
                    awaitLink();
                    const auto far = stream::connect(to);
                    if (!far)
                        return;
                    std::thread back([&] { pass(*far, *near); });
                    pass(*near, *far);
                    back.join();
                },
                from.port));
    }

    void awaitLink() const
    {
        while (isCut_)
            pause(5);
    }

    void pass(stream &from, stream &to)
    {
        while (!isClosed_) {
            const auto bytes = from.readSome(100);
            if (!bytes)
                break;
            awaitLink();
            if (!bytes->empty() && !to.send(*bytes))
                break;
        }
        from.shutDown();
        to.shutDown();
    }

    void passDatagrams(const address &from, const address &to)
    {
        const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const sockaddr_in local = toSocketAddress(from);
        const sockaddr_in target = toSocketAddress(to);
        if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) != 0) {
            std::perror("bind");
            std::exit(couldNotRun);
        }
        std::vector<char> bytes(65'536);
        while (!isClosed_) {
            pollfd waiting{ descriptor, POLLIN, 0 };
            if (::poll(&waiting, 1, 100) <= 0)
                continue;
            const ssize_t count = ::recv(descriptor, bytes.data(), bytes.size(), 0);
            if (count > 0 && !isCut_)
                ::sendto(descriptor, bytes.data(), static_cast<std::size_t>(count), 0,
                         reinterpret_cast<const sockaddr *>(&target), sizeof(target));
        }
        ::close(descriptor);
    }

    std::atomic<bool> isCut_{ false };
    std::atomic<bool> isClosed_{ false };
    std::vector<std::thread> threads_;
    std::vector<std::unique_ptr<server>> servers_;
};

/// What a consumer gets for a statement.
struct answer
{
    std::string code; ///< empty: the connection ended or the time was over; OK: success
    std::string message;
    std::string digest;
    std::size_t rows = 0;
    char state = '?';
};

/// A consumer's session.
class consumer
{
public:
    consumer(record &out, std::string name)
        : record_(out)
        , name_(std::move(name))
    { }

    bool open(const address &daemon, const std::string &database, const std::string &key)
    {
        connection_ = stream::connect(daemon);
        if (!connection_ || !connection_->send("STARTUP " + database + " " + key + "\r\n"))
            return false;
        const auto line = connection_->readLine(2'000);
        if (line && line->rfind("READY", 0) == 0)
            return true;
        record_.line(name_, ": session refused: ", line.value_or("no answer"));
        connection_.reset();
        return false;
    }

    bool send(const std::string &id, const std::string &text)
    {
        record_.line(name_, ": sends ", id, ": ", text.substr(0, 60));
        return connection_ && connection_->send("QUERY " + id + " " + text + "\r\n");
    }

    answer receive(std::int64_t limitMs)
    {
        answer result;
        while (connection_) {
            const auto line = connection_->readLine(limitMs);
            if (!line)
                break;
            std::istringstream words(*line);
            std::string kind;
            words >> kind;
            if (kind == "DATAROW") {
                ++result.rows;
            } else if (kind == "COMPLETE") {
                result.code = "OK";
                words >> result.digest;
            } else if (kind == "ERROR") {
                words >> result.code;
                std::getline(words, result.message);
            } else if (kind == "READY") {
                words >> result.state;
                record_.line(name_, ": gets ", result.code, result.message, " ", result.digest,
                             ", state ", result.state);
                return result;
            }
        }
        record_.line(name_, ": ",
                     connection_ && !connection_->isEnded() ? "no answer in time"
                                                            : "the connection ended");
        connection_.reset();
        return {};
    }

    answer ask(const std::string &id, const std::string &text, std::int64_t limitMs = 3'000)
    {
        if (!send(id, text)) {
            connection_.reset();
            return {};
        }
        return receive(limitMs);
    }

    [[nodiscard]] bool isOpen() const { return connection_ != nullptr; }
    void close() { connection_.reset(); }

private:
    record &record_;
    std::string name_;
    std::shared_ptr<stream> connection_;
};

/// One route of a manifest.
struct route
{
    std::string database;
    std::string type;
    int targetMs = 300;
    int timeoutMs = 1'200;
    int maxStalenessMs = 0;
};

/// One tenant of a manifest.
struct tenant
{
    std::string name;
    std::string key; ///< empty: it has none
    double ratePerSecond = 1'000;
    double burst = 1'000;
};

/// @param service of all routes
/// @param others further services
inline std::string manifest(int version, const std::string &service,
                            const std::vector<route> &routes, const std::vector<tenant> &tenants,
                            const std::vector<std::string> &others = {})
{
    using nlohmann::json;
    json result = { { "version", version },
                    { "routes", json::array() },
                    { "services", json::array() },
                    { "tenants", json::array() },
                    { "limits", { { "tx-idle-ms", 3'000 } } } };
    for (const route &each : routes) {
        json entry = { { "name", "r-" + each.database },
                       { "database", each.database },
                       { "prefix", "/" },
                       { "type", each.type },
                       { "timeout-ms", each.timeoutMs },
                       { "target-latency-ms", each.targetMs },
                       { "priority", 1 },
                       { "service", service },
                       { "max-attempts", 2 },
                       { "allow-anonymous", false } };
        if (each.maxStalenessMs > 0)
            entry["max-staleness-ms"] = each.maxStalenessMs;
        result["routes"].push_back(std::move(entry));
    }
    std::vector<std::string> services{ service };
    services.insert(services.end(), others.begin(), others.end());
    for (const std::string &each : services)
        result["services"].push_back({ { "name", each },
                                       { "health-check-path", "/health" },
                                       { "max-connections", 60 },
                                       { "protocol", "h1" },
                                       { "tls", false },
                                       { "sync-replicas", 1 } });
    for (const tenant &each : tenants) {
        json entry = { { "name", each.name },
                       { "api-keys", json::array() },
                       { "priority", 1 },
                       { "rate-per-s", each.ratePerSecond },
                       { "burst-size", each.burst } };
        if (!each.key.empty())
            entry["api-keys"].push_back(each.key);
        result["tenants"].push_back(std::move(entry));
    }
    return result.dump();
}

/// What all cases have in common: folders, the network, the store and whether there is trouble.
struct trial
{
    std::filesystem::path root; ///< of the repository
    std::filesystem::path folder; ///< temporary
    std::string network; ///< the first two numbers of all addresses
    bool hasTrouble = true;
    std::unique_ptr<record> out;

    explicit trial(int argumentCount, char **arguments)
    {
        if (argumentCount != 3)
            std::exit(couldNotRun);
        nowMs();
        root = arguments[1];
        out = std::make_unique<record>(std::filesystem::path(arguments[2]) / "record.txt");
        const char *trouble = std::getenv("TROUBLE");
        hasTrouble = trouble == nullptr || std::string(trouble) != "0";
        const auto temporary = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        std::vector<char> name(temporary.begin(), temporary.end());
        name.push_back('\0');
        if (::mkdtemp(name.data()) == nullptr)
            std::exit(couldNotRun);
        folder = name.data();
        network = "127." + std::to_string(10 + ::getpid() % 200);
        out->line(hasTrouble ? "with the disruption" : "without the disruption");
    }
    ~trial()
    {
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr)
            std::filesystem::remove_all(folder, ignored);
    }

    [[nodiscard]] int finish(int result, const std::string &text) const
    {
        out->line(text);
        std::printf("%s\n", text.c_str());
        return result;
    }
};

} // namespace lab
