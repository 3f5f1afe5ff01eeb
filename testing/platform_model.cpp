/// @file
/// @brief Transactions, objects and instance list of the platform model.

#include <fuchsiagw/testing/platform_model.hpp>

#include <fuchsiagw/wire/platform_json.hpp>

#include <algorithm>
#include <chrono>
#include <set>

namespace fuchsiagw::testing {

namespace {

/// The platform protocol guarantees that answers are retained for one hour.
constexpr core::duration answerRetention = std::chrono::hours(1);

bool isValid(const core::transact_request &request)
{
    std::set<std::string_view> changed;
    const auto isFirstChangeOf = [&changed](const std::string &key) {
        return wire::isPlatformName(key) && changed.insert(key).second;
    };
    return !request.id.empty()
           && std::all_of(request.checks.begin(), request.checks.end(),
                          [](const auto &check) { return wire::isPlatformName(check.key); })
           && std::all_of(request.puts.begin(), request.puts.end(),
                          [&isFirstChangeOf](const auto &put) { return isFirstChangeOf(put.key); })
           && std::all_of(request.deletes.begin(), request.deletes.end(), isFirstChangeOf);
}

void evictExpiredAnswers(platform_model &model, core::time_point now)
{
    while (!model.answersByAge.empty()
           && model.answersByAge.front().first + answerRetention < now) {
        model.answers.erase(model.answersByAge.front().second);
        model.answersByAge.pop_front();
    }
}

} // namespace

const core::table_row *findRow(const platform_model &model, const std::string &key)
{
    const auto found = model.rows.find(key);
    return found == model.rows.end() ? nullptr : &found->second;
}

core::scan_answer scan(const platform_model &model, std::string_view prefix)
{
    core::scan_answer answer;
    for (auto row = model.rows.lower_bound(std::string(prefix));
         row != model.rows.end() && row->first.starts_with(prefix); ++row)
        answer.rows.push_back(row->second);
    return answer;
}

std::optional<core::transact_answer>
transact(platform_model &model, const core::transact_request &request, core::time_point now)
{
    if (!isValid(request))
        return std::nullopt;
    evictExpiredAnswers(model, now);
    if (const auto first = model.answers.find(request.id); first != model.answers.end())
        return first->second;
    core::transact_answer answer;
    for (const core::row_check &check : request.checks) {
        const core::table_row *row = findRow(model, check.key);
        if (check.version != (row == nullptr ? 0 : row->version))
            answer.conflicts.push_back(check.key);
    }
    answer.committed = answer.conflicts.empty();
    if (answer.committed) {
        for (const core::row_put &put : request.puts) {
            core::table_row &row = model.rows[put.key];
            row = { put.key, row.version + 1, put.value };
        }
        for (const std::string &key : request.deletes)
            model.rows.erase(key);
    }
    model.answers[request.id] = answer;
    model.answersByAge.emplace_back(now, request.id);
    return answer;
}

bool putObject(platform_model &model, const std::string &name, const std::string &content)
{
    return model.objects.try_emplace(name, content).first->second == content;
}

void setInstance(platform_model &model, const core::instance_id &instance,
                 std::optional<core::instance_entry> entry, core::time_point now,
                 core::duration lag)
{
    core::time_point visibleAt = now + lag;
    if (!model.pending.empty())
        visibleAt = std::max(visibleAt, model.pending.back().visibleAt);
    model.pending.push_back({ visibleAt, instance, std::move(entry) });
}

std::optional<core::instance_entry> newestEntry(const platform_model &model,
                                                const core::instance_id &instance)
{
    const auto change =
            std::find_if(model.pending.rbegin(), model.pending.rend(),
                         [&instance](const auto &each) { return each.instance == instance; });
    if (change != model.pending.rend())
        return change->entry;
    const auto visible = model.instances.find(instance);
    if (visible == model.instances.end())
        return std::nullopt;
    return visible->second;
}

core::instance_list listInstances(platform_model &model, core::time_point now)
{
    while (!model.pending.empty() && model.pending.front().visibleAt <= now) {
        const instance_change &change = model.pending.front();
        if (change.entry.has_value())
            model.instances[change.instance] = *change.entry;
        else
            model.instances.erase(change.instance);
        model.pending.pop_front();
    }
    core::instance_list list;
    for (const auto &[instance, entry] : model.instances)
        list.instances.push_back(entry);
    return list;
}

} // namespace fuchsiagw::testing
