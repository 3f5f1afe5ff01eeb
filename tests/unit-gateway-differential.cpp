/// @file
/// @brief Runs random histories through simulated instances and through one reference process and
/// compares the rows wherever the consistency guarantees determine the answer.

#include <fuchsiagw/testing/gateway_world.hpp>
#include <fuchsiagw/testing/member_model.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

using namespace fuchsiagw::core;
using namespace fuchsiagw::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 20240618;
constexpr std::uint64_t firstTransactionConnection = 1'000'000;

struct comparison
{
    unsigned compared = 0; ///< answers that the guarantees determine
    unsigned prefixes = 0; ///< reads of other sessions' data
    unsigned different = 0;
    unsigned unknown = 0; ///< items whose outcome is unknown
};

using item_list = std::vector<std::uint64_t>;

item_list itemsIn(const std::vector<std::vector<std::string>> &rows,
                  const std::set<std::uint64_t> &unknown)
{
    item_list items = rows.empty() ? item_list{} : itemsOf(rows.front().front());
    std::erase_if(items, [&](std::uint64_t each) { return unknown.count(each) != 0; });
    return items;
}

bool isOk(const caller_operation &operation)
{
    return operation.answer && !operation.answer->error;
}

/// @return the items that may or may not have taken effect
std::set<std::uint64_t> findUnknown(const gateway_history &history)
{
    std::set<std::uint64_t> items;
    std::set<std::uint64_t> transactions;
    for (const caller_operation &each : history.operations) {
        const bool isUnknown =
                !each.answer
                || (each.answer->error
                    && answerOf(*each.answer->error).outcome == request_outcome::Unknown);
        if (!isUnknown || each.request.kind == statement_kind::Read)
            continue;
        items.insert(each.item);
        if (each.transactionNumber != 0)
            transactions.insert(each.transactionNumber);
    }
    for (const caller_operation &each : history.operations) {
        if (each.transactionNumber != 0 && transactions.count(each.transactionNumber) != 0)
            items.insert(each.item);
    }
    return items;
}

/// Reference implementation: one process that runs every statement at a primary in order of
/// arrival.
class reference_process
{
public:
    explicit reference_process(const gateway_history &history)
    {
        for (const auto &[group, settings] : history.config.groups) {
            member_model &model = models_[group];
            model.member = { "only" };
            model.group = group;
            acceptTerm(model, 1);
            static_cast<void>(lead(model, 1, {}));
        }
    }

    execute_answer run(const caller_operation &operation)
    {
        execute_request request;
        request.id = operation.request.id;
        request.workspace = operation.workspace;
        request.term = 1;
        request.kind = operation.request.kind;
        request.statement = operation.request.text;
        request.parameters = operation.request.parameters;
        request.idempotencyKey = operation.request.idempotencyKey;
        const connection_number connection =
                operation.transactionNumber != 0
                        ? firstTransactionConnection + operation.transactionNumber
                        : operation.session;
        return execute(models_.at(operation.request.group), connection, request,
                       operation.arrivedAt)
                .answer;
    }

    item_list itemsAt(const caller_operation &operation)
    {
        const auto &data = models_.at(operation.request.group).data[operation.workspace];
        const auto stored = data.find(operation.request.parameters.front());
        return stored == data.end() ? item_list{} : itemsOf(stored->second.value);
    }

private:
    std::map<group_id, member_model> models_;
};

comparison compare(const gateway_history &history)
{
    comparison result;
    const std::set<std::uint64_t> unknown = findUnknown(history);
    result.unknown = static_cast<unsigned>(unknown.size());
    std::vector<const caller_operation *> ordered;
    for (const caller_operation &each : history.operations) {
        if (isOk(each))
            ordered.push_back(&each);
    }
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto *left, const auto *right) {
        return left->arrivedAt < right->arrivedAt;
    });
    reference_process reference(history);
    std::vector<const caller_operation *> foreign;
    for (const caller_operation *each : ordered) {
        if (!each->isOwnData) {
            foreign.push_back(each);
            continue;
        }
        // A write with an unknown outcome is left out of both results.
        if (each->request.kind != statement_kind::Read && unknown.count(each->item) != 0)
            continue;
        const execute_answer expected = reference.run(*each);
        ++result.compared;
        if (expected.status != execute_status::Ok
            || itemsIn(expected.rows, unknown) != itemsIn(each->answer->rows, unknown))
            ++result.different;
    }
    for (const caller_operation *each : foreign) {
        item_list whole = reference.itemsAt(*each);
        std::erase_if(whole, [&](std::uint64_t item) { return unknown.count(item) != 0; });
        const item_list seen = itemsIn(each->answer->rows, unknown);
        ++result.prefixes;
        if (seen.size() > whole.size() || !std::equal(seen.begin(), seen.end(), whole.begin()))
            ++result.different;
    }
    return result;
}

comparison run(std::uint64_t worldSeed, unsigned faults, bool isRateAmple, unsigned *refused)
{
    gateway_world_settings settings;
    settings.seed = worldSeed;
    settings.gateways = 4 + worldSeed % 6;
    settings.zones = 2 + worldSeed % 3;
    settings.groups = 1 + worldSeed % 2;
    settings.isRateAmple = isRateAmple;
    const auto world = makeGatewayWorld(settings);
    random_engine random(worldSeed);
    runFor(*world, 3s);
    for (unsigned i = 0; i < faults; ++i) {
        startFault(*world, static_cast<gateway_fault>(drawBelow(random, gatewayFaultNames.size())),
                   { drawBelow(random, settings.gateways), {} });
        runFor(*world, 2s);
    }
    runFor(*world, 3s);
    const auto found = finishWorld(*world);
    for (const world_finding &each : found)
        std::printf("\nseed=%llu %s: %s", static_cast<unsigned long long>(worldSeed),
                    std::string(toString(each.which)).c_str(), each.text.c_str());
    UNSIGNED_LONGS_EQUAL(0, found.size());
    for (const caller_operation &each : world->history.operations)
        *refused += each.arrivedAt != noDeadline && !isOk(each) ? 1 : 0;
    return compare(world->history);
}

void runAll(const char *name, std::uint64_t first, unsigned runs, unsigned faults, bool isRateAmple,
            unsigned *refused)
{
    comparison sum;
    for (unsigned i = 0; i < runs; ++i) {
        const comparison each = run(first + i, faults, isRateAmple, refused);
        sum.compared += each.compared;
        sum.prefixes += each.prefixes;
        sum.different += each.different;
        sum.unknown += each.unknown;
    }
    std::printf("\n%s: %u runs, %u answers compared, %u prefixes, %u different, %u items unknown, "
                "%u requests without success\n",
                name, runs, sum.compared, sum.prefixes, sum.different, sum.unknown, *refused);
    CHECK_TRUE(sum.compared > 0 && sum.prefixes > 0);
    UNSIGNED_LONGS_EQUAL(0, sum.different);
}

} // namespace

TEST_GROUP(gateway_differential){};

// Guards against rows that differ from those of a single process without any fault.
TEST(gateway_differential, sameRowsWithoutFaults)
{
    unsigned refused = 0;
    runAll("without faults", seed, 12, 0, true, &refused);
}

// Guards against a refused statement that takes effect, for example one over the rate limit.
TEST(gateway_differential, sameRowsUnderRefusals)
{
    unsigned refused = 0;
    runAll("under refusals", seed + 100, 12, 0, false, &refused);
    CHECK_TRUE(refused > 0);
}

// Guards against rows that differ from those of a single process after failover, changes of the
// gateway and lost answers.
TEST(gateway_differential, sameRowsUnderFaults)
{
    unsigned refused = 0;
    runAll("under faults", seed + 200, 30, 3, false, &refused);
}
