/// @file
/// @brief Stand-ins of the users' platform for the review's scripts: store, promotion call, one
/// database group and callers, as PROTOCOL.md describes them, around real fuchsiagwd processes on
/// loopback addresses.
///
/// Everything but the daemons runs on one thread, so the record has one order. A stand-in without
/// trouble behaves like a sound server: a commit is acknowledged once one replica has received it,
/// PAUSE holds until RESUME, a promotion or a restart, a promotion takes effect some time after the
/// call, and lines end with CR LF.

#pragma once

#include <utility> // std::exchange, which Boost.Asio 1.74 uses without including it

#include <boost/asio.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;
template <typename result = void>
using task = asio::awaitable<result>;

/// Exit codes of a script.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

struct position
{
    std::uint64_t term = 0;
    std::uint64_t index = 0;
    auto operator<=>(const position &) const = default;
};

[[nodiscard]] std::string toString(const position &value);

/// One committed transaction or single write.
struct log_entry
{
    position at;
    std::string id; ///< of the write, or of the COMMIT
    std::vector<std::pair<std::string, std::string>> writes; ///< item and value
};

/// A statement that a member has run.
struct executed
{
    double at = 0; ///< seconds since the start
    std::string member;
    std::string id;
    std::string text;
    std::string tenant;
    std::size_t applied = 0; ///< log entries that the member had applied
};

/// A commit that a caller was told of.
struct acknowledged
{
    double at = 0;
    std::string id;
};

struct world;

struct member
{
    std::string id;
    std::string zone;
    std::uint16_t port = 0;
    std::unique_ptr<tcp::acceptor> acceptor;
    bool up = true; ///< false: crashed and dark; it neither reads nor answers
    bool reachesStore = true;
    bool listed = false; ///< has an entry in the store
    double lastBeatAt = 0;
    std::int64_t born = 0;
    std::uint64_t generation = 0; ///< number of its restarts
    std::vector<log_entry> log;
    std::size_t applied = 0;
    std::uint64_t pausedTerm = 0;
    milliseconds lag{ 60 }; ///< between receiving and applying
    milliseconds work{ 3 }; ///< of one statement
    milliseconds beginDelay{ 0 };
    int running = 0; ///< occupied slots
    int waiting = 0;
    int connections = 0;
    std::set<std::shared_ptr<tcp::socket>> sockets;
};

struct group_options
{
    std::string service = "huvo11a";
    int slots = 2;
    int queue = 16;
    int maxConnections = 16;
    milliseconds promoteDelay{ 1'000 };
    milliseconds zoneDelay{ 4 }; ///< one way, between zones
};

/// One database group: a primary and its replicas.
struct group
{
    group_options options;
    std::vector<std::unique_ptr<member>> members;
    std::size_t primary = 0;
    bool hasPrimary = true; ///< false between STEPDOWN and the next promotion
    std::uint64_t term = 3;
    std::uint64_t highestToken = 0;
    std::map<std::size_t, std::size_t>
            received; ///< by replica: log length that the primary knows of
    std::vector<std::string> lost; ///< acknowledged commits that a promoted member lacks
};

struct table_row
{
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
};

struct reply
{
    bool closed = false; ///< the connection ended without a complete answer
    std::string code; ///< of an error; empty: success
    std::string text;
    std::vector<std::string> rows;
    std::string digest;
    std::string state;
    std::string at; ///< position

    [[nodiscard]] bool isSuccess() const { return !closed && code.empty(); }
};

/// A caller's session.
struct session
{
    world &owner;
    std::string name;
    tcp::socket socket;
    std::string input;
    std::string lastId;

    session(world &owner, std::string name);
    task<bool> open(std::size_t daemon, const char *database, const char *key,
                    milliseconds limit = milliseconds(2'000));
    task<reply> query(const std::string &text, milliseconds limit = milliseconds(3'000));
    task<reply> readReply(milliseconds limit);
    bool sendRaw(const std::string &bytes);
    void close();
};

struct daemon_process
{
    std::string name;
    std::string zone;
    std::string address;
    int pid = -1;
};

struct world
{
    asio::io_context io{ 1 };
    std::string folder; ///< temporary: settings and logs of the daemons
    std::string recordPath;
    bool trouble = true;
    group database;
    std::vector<daemon_process> daemons;
    std::map<std::string, std::map<std::string, table_row>> tables;
    std::uint64_t version = 1;
    std::list<std::shared_ptr<asio::steady_timer>> feeds;
    std::vector<executed> runs;
    std::vector<acknowledged> acks;
    std::map<std::string, double> sentAt; ///< by id: when a caller sent the statement
    json manifest;
    json routes = json::array();
    std::uint16_t storePort = 0;
    std::uint16_t cloudPort = 0;
    std::uint16_t callerPort = 0;
    double manifestAt = 0; ///< when the newest manifest was acknowledged
    int exitCode = couldNotRun;
    /// Called for each promotion order, before it is carried out. False: the order gets no answer;
    /// the hook then decides whether it is carried out later.
    std::function<bool(const std::string &id, const std::string &holder, std::uint64_t token)>
            onPromotionOrder;
    /// Work of one statement; not set: member::work.
    std::function<std::chrono::milliseconds(const std::string &tenant, const std::string &text)>
            workOf;
    /// Called when a member accepts BEGIN.
    std::function<void(member &, const std::string &tenant)> onBegin;

    world(std::string record, std::vector<std::string> zones, group_options options = {});
    ~world();

    [[nodiscard]] double now() const;
    void record(const std::string &who, const std::string &what);
    task<> sleep(milliseconds duration);
    task<> sleepUntil(double seconds);
    void runAfter(milliseconds delay, std::function<void()> callback);
    void spawn(task<> work);

    /// @brief Builds the manifest of a small installation: three routes to the group, and one
    /// tenant.
    void writeManifest(std::uint64_t newVersion);
    /// @brief Adds a route to the manifest; only before the first writeManifest().
    void addRoute(const std::string &database, const std::string &type, int timeout, int target,
                  int staleness);
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);

    void startDaemons(const std::vector<std::string> &zones);
    void signalDaemon(std::size_t index, int number);
    task<bool> waitUntilReady(double limitSeconds);

    member &at(std::size_t index) { return *database.members[index]; }
    [[nodiscard]] bool isPrimary(std::size_t index) const;
    void crash(std::size_t index); ///< the member goes dark
    void restart(std::size_t index); ///< it comes back with its log
    int promote(const std::string &id, const std::string &holder, std::uint64_t token);
    /// @brief Runs the scenario, ends the daemons and returns the exit code.
    int run(std::function<task<>()> scenario, double limitSeconds);
    /// @brief Ends the daemons and removes the temporary folder, unless KEEP_LOGS is set.
    void cleanUp();

private:
    friend struct session;
    void publish(std::size_t index);
    task<> beat(std::size_t index);
    task<> expireEntries();
    task<> acceptMembers(std::size_t index);
    task<> serveMember(std::size_t index, std::shared_ptr<tcp::socket> socket,
                       std::uint64_t generation);
    task<> acceptHttp(std::shared_ptr<tcp::acceptor> acceptor);
    task<> serveHttp(tcp::socket socket);
    task<> answerHttp(tcp::socket &socket, std::string method, std::string target,
                      std::map<std::string, std::string> headers, std::string body);
    task<> follow(tcp::socket &socket, std::map<std::string, std::string> query);
    void append(std::size_t index, log_entry entry);
    void send(std::size_t replica);
    void becomePrimary(std::size_t index, const std::string &holder, std::uint64_t token);
    void endDaemons();

    std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
    std::FILE *file_ = nullptr;
};

/// @brief Writes one value after the other through one daemon until @p isStopped, and opens a new
/// session after each failure.
/// @param first pause before the first write, which spreads several callers over time
task<> writeUntilStopped(world &owner, std::size_t daemon, int number,
                         std::chrono::milliseconds first, std::chrono::milliseconds pause,
                         const bool &isStopped);

/// @brief Reads TROUBLE and the path of the record, builds a world and runs a scenario in it.
int runCase(int argc, char **argv, const std::vector<std::string> &memberZones,
            const group_options &options, const std::function<void(world &)> &prepare,
            const std::function<task<>(world &)> &scenario, double limitSeconds);

} // namespace review
