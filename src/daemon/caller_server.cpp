/// @file
/// @brief Routes and metrics of the callers' HTTP interface.

#include <utility>

#include <fuchsiagw/daemon/caller_server.hpp>

#include <fuchsiagw/net/clock.hpp>
#include <fuchsiagw/wire/key_hash.hpp>

#include <sodium.h>

#include <algorithm>
#include <array>
#include <optional>

namespace fuchsiagw::daemon {

namespace {

using core::error_kind;
using core::statement_kind;

constexpr std::size_t maxRequestBodyBytes =
        1024 * 1024; // larger bodies are refused with an error answer
constexpr core::duration publishInterval = std::chrono::seconds(1);
constexpr std::string_view versionBody = R"({"name":"fuchsiagw","version":"0.1.0"})";
constexpr std::string_view transactionsPrefix = "/v1/transactions/";

/// Meaning of a route.
struct route_match
{
    statement_kind kind = statement_kind::Read;
    std::optional<core::transaction_id> transaction;
    bool isStatement = false; ///< the kind (read or write) is in the body
};

std::uint64_t randomSeed()
{
    std::uint64_t seed = 0;
    randombytes_buf(&seed, sizeof seed);
    return seed;
}

std::optional<std::string_view> headerOf(const net::http_request &request, std::string_view name)
{
    const std::string_view value = net::findHeader(request.headers, name);
    return value.data() == nullptr ? std::nullopt : std::optional(value);
}

/// Matches the routes of a transaction: {id}/statements, {id}/commit, {id}/rollback.
std::optional<error_kind> matchTransaction(std::string_view rest, route_match &match)
{
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos)
        return error_kind::UnknownRoute;
    const std::string_view action = rest.substr(slash + 1);
    match.isStatement = action == "statements";
    if (action == "commit")
        match.kind = statement_kind::Commit;
    else if (action == "rollback")
        match.kind = statement_kind::Rollback;
    else if (!match.isStatement)
        return error_kind::UnknownRoute;
    match.transaction = wire::transactionFromText(rest.substr(0, slash));
    if (!match.transaction)
        return error_kind::TransactionUnknown;
    return std::nullopt;
}

std::optional<error_kind> matchRoute(const net::http_request &request, route_match &match)
{
    const std::string_view target = request.target;
    std::optional<error_kind> problem = error_kind::UnknownRoute;
    if (target == "/v1/statements") {
        match.isStatement = true;
        problem.reset();
    } else if (target == "/v1/transactions") {
        match.kind = statement_kind::Begin;
        problem.reset();
    } else if (target.substr(0, transactionsPrefix.size()) == transactionsPrefix) {
        problem = matchTransaction(target.substr(transactionsPrefix.size()), match);
    }
    if (!problem && request.method != "POST")
        return error_kind::MethodNotAllowed;
    return problem;
}

std::error_code parseBody(const route_match &match, std::string_view body,
                          wire::parsed_statement &parsed, std::string &problem)
{
    if (match.isStatement && match.transaction)
        return wire::parseTransactionStatement(body, parsed, problem);
    if (match.isStatement)
        return wire::parseStatement(body, parsed, problem);
    std::error_code error;
    if (match.kind == statement_kind::Begin)
        error = wire::parseBegin(body, parsed, problem);
    else if (match.kind == statement_kind::Commit)
        error = wire::parseCommit(body, parsed, problem);
    else
        error = wire::parseRollback(body, parsed, problem);
    parsed.kind = match.kind;
    return error;
}

/// Reads the session token of a request. An invalid token sets hasSessionToken without a session.
void readSession(const net::http_request &request, const wire::token_keys &tokens,
                 core::caller_request &into)
{
    const std::string_view cookies = net::findHeader(request.headers, "Cookie");
    const wire::requested_session named =
            wire::sessionFromHeaders(headerOf(request, "Fuchsiagw-Session"), cookies);
    into.hasSessionToken = named.isPresent;
    core::session known;
    if (!named.token.empty() && !wire::open(named.token, tokens, known))
        into.sessionState = std::move(known);
}

net::http_response jsonResponse(int status, std::string body)
{
    return { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

/// @return the answer to requests that were not accepted because the instance stops
net::http_response drainingResponse(const core::request_id &id)
{
    net::http_response response = jsonResponse(core::answerOf(error_kind::Draining).httpStatus,
                                               wire::errorBody(error_kind::Draining, {}, id));
    // Other instances are ready at once; this is the shortest time in seconds.
    response.headers.emplace_back("Retry-After", "1");
    return response;
}

} // namespace

caller_server::caller_server(boost::asio::io_context &context, const settings &values,
                             wire::token_keys tokens, request_sink sink)
    : settings_(values)
    , tokens_(std::move(tokens))
    , requestSink_(std::move(sink))
    , server_(
              context,
              [&values] {
                  net::http_server_options options;
                  options.listenAddress = values.callerAddress;
                  // Twice the limit, so that a slightly larger body gets an error answer and does
                  // not close the connection.
                  options.maxBodyBytes = 2 * maxRequestBodyBytes;
                  options.maxConnections = values.callerConnections;
                  return options;
              }(),
              [this](net::http_request &&request, net::connection_number connection,
                     net::http_responder &&reply) {
                  connections_.insert(connection);
                  onRequest(std::move(request), std::move(reply));
              },
              [this](net::connection_number connection) { connections_.erase(connection); })
    , timer_(context)
    , closeTimer_(context)
    , random_(randomSeed())
{ }

std::error_code caller_server::start()
{
    const std::error_code error = server_.start();
    if (!error)
        publish();
    return error;
}

void caller_server::publish()
{
    counts_.set(gauge::CallerConnections, static_cast<double>(connections_.size()));
    published_.publish(counts_);
    timer_.expires_after(publishInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            publish();
    });
}

void caller_server::count(const open_request &request, const core::caller_reply &reply)
{
    workspace_counters *const workspace =
            reply.workspace.empty() ? nullptr : &counts_.of(reply.workspace);
    if (workspace != nullptr)
        ++workspace->requests;
    if (reply.answer.error) {
        const core::error_answer &row = core::answerOf(*reply.answer.error);
        ++counts_.errors[row.kind];
        if (workspace != nullptr && row.outcome == core::request_outcome::NotRun)
            ++workspace->refused;
        return;
    }
    if (workspace != nullptr)
        ++workspace->served;
    const core::duration elapsed = net::currentTime() - request.arrivedAt;
    if (request.kind == statement_kind::Read) {
        counts_.count(counter::Reads);
        counts_.count(counter::ReadsReplicaAllowed, request.mayUseReplica ? 1 : 0);
        counts_.count(counter::ReadsReplicaServed, reply.answer.fromReplica ? 1 : 0);
        counts_.add(delay::Read, elapsed);
    } else if (request.kind == statement_kind::Write) {
        counts_.count(counter::Writes);
        counts_.add(delay::Write, elapsed);
    } else if (request.kind == statement_kind::Begin) {
        counts_.count(counter::Transactions);
    }
}

void caller_server::answer(net::http_responder &reply, net::http_response &&response)
{
    reply.send(response, isDraining_);
}

void caller_server::refuse(net::http_responder &reply, error_kind kind, std::string_view problem,
                           const core::request_id &id)
{
    ++counts_.errors[kind];
    answer(reply,
           jsonResponse(core::answerOf(kind).httpStatus, wire::errorBody(kind, problem, id)));
}

void caller_server::onRequest(net::http_request &&request, net::http_responder &&reply)
{
    if (request.target == "/healthz") {
        answer(reply, { 200, {}, "ok\n" });
    } else if (request.target == "/readyz") {
        const bool ready = isReady_ && !isDraining_;
        answer(reply, { ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n" });
    } else if (request.target == "/version") {
        answer(reply, jsonResponse(200, std::string(versionBody)));
    } else {
        handleStatement(request, std::move(reply));
    }
}

void caller_server::handleStatement(const net::http_request &request, net::http_responder &&reply)
{
    const core::request_id id{ random_(), random_() };
    if (isClosing_) {
        ++counts_.errors[error_kind::Draining];
        answer(reply, drainingResponse(id));
        return;
    }
    route_match match;
    if (const auto problem = matchRoute(request, match)) {
        refuse(reply, *problem, {}, id);
        return;
    }
    const auto key = wire::keyFromAuthorization(net::findHeader(request.headers, "Authorization"));
    if (!key) {
        refuse(reply, error_kind::KeyMissing, {}, id);
        return;
    }
    wire::parsed_statement parsed;
    parsed.timeLimit = settings_.defaultDeadline;
    std::string problem;
    if (const std::error_code error = parseBody(match, request.body, parsed, problem)) {
        refuse(reply, core::kindOf(error), problem, id);
        return;
    }
    core::caller_request callerRequest;
    callerRequest.ticket = nextTicket_++;
    callerRequest.key = wire::hashKey(*key);
    readSession(request, tokens_, callerRequest);
    const core::time_point now = net::currentTime();
    callerRequest.statement = wire::toRequest(std::move(parsed), id, {}, now);
    callerRequest.statement.transaction = match.transaction;
    const std::uint64_t ticket = callerRequest.ticket;
    const statement_kind kind = callerRequest.statement.kind;
    const bool isSessionUsable =
            callerRequest.sessionState.has_value() || !callerRequest.hasSessionToken;
    const bool mayUseReplica = kind == statement_kind::Read && !match.transaction && isSessionUsable
                               && !callerRequest.statement.readClass.empty();
    if (!requestSink_(std::move(callerRequest))) {
        refuse(reply, error_kind::Overloaded, {}, id);
        return;
    }
    openRequests_.emplace(ticket, open_request{ std::move(reply), now, kind, mayUseReplica });
    openRequestCount_ = openRequests_.size();
}

void caller_server::onReply(core::caller_reply &reply)
{
    const auto entry = openRequests_.find(reply.ticket);
    if (entry == openRequests_.end())
        return;
    count(entry->second, reply);
    net::http_responder http = std::move(entry->second.reply);
    openRequests_.erase(entry);
    openRequestCount_ = openRequests_.size();
    net::http_response response;
    if (reply.answer.error) {
        const core::error_answer &row = core::answerOf(*reply.answer.error);
        response = jsonResponse(row.httpStatus,
                                wire::errorBody(row.kind, reply.answer.problem, reply.answer.id));
    } else {
        response = jsonResponse(200, wire::answerBody(reply.answer));
    }
    if (reply.sessionState) {
        const std::string token = wire::seal(*reply.sessionState, tokens_);
        response.headers.emplace_back("Set-Cookie", wire::sessionCookie(token));
        response.headers.emplace_back("Fuchsiagw-Session", token);
    }
    answer(http, std::move(response));
}

void caller_server::drain()
{
    isDraining_ = true;
    server_.stopAccepting(drainingResponse({ random_(), random_() }));
}

void caller_server::close(core::time_point answersDue, std::function<void(std::size_t)> done)
{
    isDraining_ = true;
    isClosing_ = true;
    answersDue_ = answersDue;
    onClosed_ = std::move(done);
    awaitAnswers();
}

void caller_server::awaitAnswers()
{
    constexpr std::chrono::milliseconds checkInterval{ 10 };
    const core::time_point now = net::currentTime();
    if (!openRequests_.empty() && now < answersDue_) {
        closeTimer_.expires_after(checkInterval);
        closeTimer_.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                awaitAnswers();
        });
        return;
    }
    const std::size_t interrupted = openRequests_.size();
    for (auto &[ticket, open] : openRequests_)
        refuse(open.reply, error_kind::OutcomeUnknown, "the instance stopped",
               { random_(), random_() });
    openRequests_.clear();
    openRequestCount_ = 0;
    server_.close(drainingResponse({ random_(), random_() }), now + lastAnswerLimit,
                  [done = std::move(onClosed_), interrupted] { done(interrupted); });
}

} // namespace fuchsiagw::daemon
