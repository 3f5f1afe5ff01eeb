/// @file
/// @brief Injects every fault at every step of a configuration change, alone and in all pairs.
///
/// The prefixes of the failure texts name the checked guarantees. M6: a withdrawn key is refused at
/// every instance after the lifetime of a proof. M13: versions never revert, and an accepted
/// version comes into force at every instance.

#include <fuchsiagw/testing/config_world.hpp>

#include <array>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace fuchsiagw;
using namespace fuchsiagw::testing;
using namespace std::chrono_literals;
using core::section_kind;
using core::submit_step;

namespace {

/// Step at which a fault begins. ReadBack happens only if the answer to the commit is lost, so the
/// test case loses it.
enum class stage : std::uint8_t { Read, PutObject, Commit, ReadBack, Spread, Apply, Accepted };

constexpr std::array<std::string_view, 7> stageNames{ "read",      "put_object", "commit",
                                                      "read_back", "spread",     "apply",
                                                      "accepted" };

enum class fault_kind : std::uint8_t {
    PlatformDown,
    PlatformSlow,
    AnswerLost,
    OperatorsRace,
    DuplicateSubmit,
    PeerCut,
    ZoneCut,
    LateMessages,
    SubmitterSilent,
    RestartSubmitter,
    RestartOther,
};

constexpr std::array<std::string_view, 11> faultNames{
    "platform_down",    "platform_slow",     "answer_lost",  "operators_race",
    "duplicate_submit", "peer_cut",          "zone_cut",     "late_messages",
    "submitter_silent", "restart_submitter", "restart_other"
};

constexpr std::size_t instanceCount = 12;
constexpr std::size_t submitter = 4;
constexpr std::size_t otherInstance = 7; ///< in another zone than the submitter
constexpr core::duration faultDuration = 8s; ///< longer than the lifetime of a proof
constexpr core::duration inForceBound = 12s; ///< docs/design.md, 1.4
constexpr auto observationInterval = 50ms;
const core::time_point changeAt{ 112s };
const core::time_point runEndsAt{ 165s };

const core::key_hash keptKey(core::keyHashLength, 'a');
const core::key_hash withdrawnKey(core::keyHashLength, 'b');

core::release_note baseNote()
{
    core::release_note note{ "base", 0, {} };
    auto &added = note.changes.added;
    added[{ section_kind::Group, "hire", "" }] = core::group_section{ 2, 16 };
    added[{ section_kind::Member, "hire", "m1" }] =
            core::member_settings{ { "zone-0" }, "127.0.0.1:1" };
    added[{ section_kind::Workspace, "cafe", "" }] = core::workspace_section{ { { "hire" } } };
    added[{ section_kind::Rate, "cafe", "" }] = core::rate_section{ 5, 5 };
    added[{ section_kind::Key, "cafe", keptKey }] = core::key_section{};
    added[{ section_kind::Key, "cafe", withdrawnKey }] = core::key_section{};
    return note;
}

core::release_note changeNote()
{
    core::release_note note{ "change", 1, {} };
    note.changes.withdrawn = { { section_kind::Key, "cafe", withdrawnKey } };
    note.changes.changed[{ section_kind::Rate, "cafe", "" }] = core::rate_section{ 6, 6 };
    return note;
}

core::release_note rivalNote()
{
    core::release_note note{ "rival", 1, {} };
    note.changes.changed[{ section_kind::Rate, "cafe", "" }] = core::rate_section{ 9, 9 };
    return note;
}

struct planned_fault
{
    fault_kind kind = fault_kind::PlatformDown;
    stage at = stage::Read;
    core::duration time = faultDuration;
};

std::string toString(const planned_fault &each)
{
    return std::string(faultNames.at(static_cast<std::size_t>(each.kind))) + "@"
           + std::string(stageNames.at(static_cast<std::size_t>(each.at)));
}

/// One run with planned faults, and the first violation that the checks found.
class matrix_case
{
public:
    explicit matrix_case(std::vector<planned_fault> planned,
                         config_defect error = config_defect::None)
        : world_({ instanceCount, 3, 7, 300us, 4ms, 5ms, error })
        , planned_(std::move(planned))
        , hasStarted_(planned_.size(), false)
        , versions_(instanceCount, 0)
    { }

    std::string run()
    {
        world_.onSubmitStep = [this](submit_step step, std::size_t /*instance*/) { onStep(step); };
        world_.onVersionInstalled = [this](std::size_t /*instance*/,
                                           core::configuration_version version) {
            if (version >= 2)
                onStageReached(stage::Spread);
        };
        world_.onBodyArrived = [this](std::size_t instance, core::configuration_version version) {
            if (version >= 2 && instance != submitter)
                onStageReached(stage::Apply);
        };
        world_.at(core::time_point(103s), [this] { world_.submit(baseNote(), 0); });
        world_.runUntil(changeAt);
        for (std::size_t i = 0; i < world_.size(); ++i)
            require(!world_.check(i, withdrawnKey).error.has_value(), "base is not in force");
        world_.submit(changeNote(), submitter);
        while (world_.now() < runEndsAt) {
            world_.runUntil(world_.now() + observationInterval);
            observe();
        }
        checkOutcome();
        return problem_;
    }

    /// Tells whether all planned faults began; a run that never reaches the stage of a fault tests
    /// nothing. If the rival note won, the change is never accepted and stage Accepted is exempt.
    [[nodiscard]] bool haveAllStarted() const
    {
        for (std::size_t i = 0; i < planned_.size(); ++i) {
            const bool isDeadlineUnreachable = planned_[i].at == stage::Accepted && !acceptedAt();
            if (!hasStarted_[i] && !isDeadlineUnreachable)
                return false;
        }
        return true;
    }

private:
    void require(bool holds, const std::string &what)
    {
        if (!holds && problem_.empty())
            problem_ = what + " at " + std::to_string((world_.now() - changeAt) / 1ms) + " ms";
    }

    void onStep(submit_step step)
    {
        if (world_.now() < changeAt)
            return;
        if (step == submit_step::ReadRow)
            onStageReached(hasCommitted_ ? stage::ReadBack : stage::Read);
        if (step == submit_step::PutObject)
            onStageReached(stage::PutObject);
        if (step == submit_step::Commit) {
            hasCommitted_ = true;
            for (std::size_t i = 0; i < planned_.size(); ++i) {
                if (planned_[i].at == stage::ReadBack && !hasStarted_[i])
                    world_.faults.lostAnswers = 1;
            }
            onStageReached(stage::Commit);
        }
    }

    void onStageReached(stage reached)
    {
        for (std::size_t i = 0; i < planned_.size(); ++i) {
            if (hasStarted_[i] || planned_[i].at != reached)
                continue;
            hasStarted_[i] = true;
            injectFault(planned_[i]);
            lastFaultEndsAt_ = std::max(lastFaultEndsAt_, world_.now() + planned_[i].time);
        }
    }

    void injectFault(const planned_fault &fault)
    {
        world_faults &faults = world_.faults;
        const core::time_point end = world_.now() + fault.time;
        switch (fault.kind) {
        case fault_kind::PlatformDown:
            faults.platformDown = true;
            world_.at(end, [&faults] { faults.platformDown = false; });
            break;
        case fault_kind::PlatformSlow:
            faults.platformDelay = 1500ms;
            world_.at(end, [&faults] { faults.platformDelay = {}; });
            break;
        case fault_kind::AnswerLost:
            faults.lostAnswers += 2;
            break;
        case fault_kind::OperatorsRace:
            world_.at(world_.now(), [this] { world_.submit(rivalNote(), otherInstance); });
            break;
        case fault_kind::DuplicateSubmit:
            world_.at(world_.now(), [this] { world_.submit(changeNote(), otherInstance); });
            break;
        case fault_kind::PeerCut:
            faults.cut.insert(otherInstance);
            world_.at(end, [&faults] { faults.cut.erase(otherInstance); });
            break;
        case fault_kind::ZoneCut:
            faults.cutZone = { "zone-2" };
            world_.at(end, [&faults] { faults.cutZone.reset(); });
            break;
        case fault_kind::LateMessages:
            faults.messageDelay = 1500ms;
            faults.duplicatePercent = 30;
            faults.lossPercent = 20;
            world_.at(end, [&faults] {
                faults.messageDelay = {};
                faults.duplicatePercent = 0;
                faults.lossPercent = 0;
            });
            break;
        case fault_kind::SubmitterSilent:
            faults.silent.insert(submitter);
            world_.at(end, [&faults] { faults.silent.erase(submitter); });
            break;
        case fault_kind::RestartSubmitter:
            restart(submitter);
            break;
        case fault_kind::RestartOther:
            restart(otherInstance);
            break;
        }
    }

    void restart(std::size_t instance)
    {
        world_.restart(instance);
        versions_[instance] = 0;
    }

    /// Time at which the acceptance of the withdrawal was reported to an operator. A commit alone
    /// is not reported.
    [[nodiscard]] std::optional<core::time_point> acceptedAt() const
    {
        const auto record = world_.operators().find("change");
        return record == world_.operators().end() ? std::nullopt : record->second.acceptedAt;
    }

    void observe()
    {
        const auto accepted = acceptedAt();
        if (accepted)
            onStageReached(stage::Accepted);
        for (std::size_t i = 0; i < world_.size(); ++i) {
            require(world_.versionOf(i) >= versions_[i], "M13: an instance reverted");
            versions_[i] = world_.versionOf(i);
            // The lifetime of a proof counts from the acceptance, also at partitioned instances.
            if (accepted && world_.now() > *accepted + core::defaultProofLifetime)
                require(world_.check(i, withdrawnKey).error.has_value(),
                        "M6: the withdrawn key is accepted");
        }
        const core::time_point end = std::max(lastFaultEndsAt_, accepted.value_or(changeAt));
        if (world_.now() < end + inForceBound || world_.commits().empty())
            return;
        const world_commit &newest = world_.commits().back();
        if (world_.now() < newest.at + inForceBound)
            return;
        for (std::size_t i = 0; i < world_.size(); ++i) {
            require(world_.versionOf(i) == newest.config.version,
                    "M13: a version is not in force everywhere");
            require(!world_.check(i, keptKey).error.has_value(), "a valid key is refused");
        }
    }

    void checkOutcome()
    {
        const std::map<std::string, core::release_note> notes{ { "base", baseNote() },
                                                               { "change", changeNote() },
                                                               { "rival", rivalNote() } };
        std::map<std::string, unsigned> applied;
        core::configuration before;
        for (const world_commit &each : world_.commits()) {
            require(++applied[each.noteId] == 1, "a note was applied twice");
            require(core::diffConfigurations(before, each.config) == notes.at(each.noteId).changes,
                    "the change is not the note's list");
            before = each.config;
        }
        for (const auto &[id, record] : world_.operators()) {
            require(record.acceptedAt.has_value() != record.isRefused, "an outcome is not known");
            require(record.acceptedAt.has_value() == (applied[id] == 1),
                    "an operator was told a wrong outcome");
        }
        require(applied["change"] + applied["rival"] == 1, "not exactly one of the rivals won");
    }

    config_world world_;
    std::vector<planned_fault> planned_;
    std::vector<bool> hasStarted_;
    std::vector<core::configuration_version> versions_;
    core::time_point lastFaultEndsAt_ = changeAt;
    bool hasCommitted_ = false;
    std::string problem_;
};

std::vector<planned_fault> allFaults()
{
    std::vector<planned_fault> faults;
    for (std::size_t kind = 0; kind < faultNames.size(); ++kind) {
        for (std::size_t at = 0; at < stageNames.size(); ++at)
            faults.push_back({ static_cast<fault_kind>(kind), static_cast<stage>(at) });
    }
    return faults;
}

} // namespace

TEST_GROUP(config_matrix){};

// Guards against a single fault at any step that breaks a guarantee.
TEST(config_matrix, everyFaultAtEveryStage)
{
    for (const planned_fault &each : allFaults()) {
        matrix_case one({ each });
        const std::string problem = one.run();
        CHECK_TEXT(problem.empty(), (toString(each) + ": " + problem).c_str());
        CHECK_TEXT(one.haveAllStarted(), (toString(each) + " never began").c_str());
    }
}

// Guards against two faults in one change, or the same fault twice, that break a guarantee.
TEST(config_matrix, everyPairOfFaults)
{
    const std::vector<planned_fault> faults = allFaults();
    std::size_t begun = 0;
    std::size_t count = 0;
    for (std::size_t i = 0; i < faults.size(); ++i) {
        for (std::size_t j = i; j < faults.size(); ++j) {
            matrix_case pair({ faults[i], faults[j] });
            const std::string problem = pair.run();
            CHECK_TEXT(
                    problem.empty(),
                    (toString(faults[i]) + " and " + toString(faults[j]) + ": " + problem).c_str());
            ++count;
            begun += pair.haveAllStarted() ? 1 : 0;
        }
    }
    LONGS_EQUAL(count, begun);
}

// Guards against the loss of an accepted version: if the submitter reports the acceptance before a
// peer has the version, and restarts during an outage of the platform, the version is lost.
TEST(config_matrix, acceptanceSurvivesTheSubmitter)
{
    const std::vector<planned_fault> faults{
        { fault_kind::SubmitterSilent, stage::Commit, 3s },
        { fault_kind::PlatformDown, stage::Spread, 30s },
        { fault_kind::RestartSubmitter, stage::Accepted },
    };
    STRCMP_EQUAL("", matrix_case(faults).run().c_str());
    const std::string early = matrix_case(faults, config_defect::EarlyAnswer).run();
    STRCMP_CONTAINS("M6: the withdrawn key is accepted", early.c_str());
}

// Guards against checks that detect nothing: each one must detect its injected defect.
TEST(config_matrix, checkersFindDeliberateErrors)
{
    const std::vector<std::tuple<config_defect, planned_fault, std::string>> errors{
        { config_defect::Revert, { fault_kind::AnswerLost, stage::Read }, "reverted" },
        { config_defect::ExtraChange, { fault_kind::AnswerLost, stage::Read }, "the note's list" },
        { config_defect::NoProof, { fault_kind::PeerCut, stage::Read }, "M6" },
        { config_defect::RepeatedCommit,
          { fault_kind::DuplicateSubmit, stage::Read },
          "a note was applied twice" },
        { config_defect::NoSpread,
          { fault_kind::AnswerLost, stage::Read },
          "M13: a version is not in force" },
        { config_defect::WrongAnswer,
          { fault_kind::OperatorsRace, stage::PutObject },
          "an operator was told a wrong outcome" },
    };
    for (const auto &[error, fault, expected] : errors) {
        const std::string problem = matrix_case({ fault }, error).run();
        CHECK_TEXT(!problem.empty(), (expected + " was not found").c_str());
        CHECK_TEXT(problem.find(expected) != std::string::npos, problem.c_str());
    }
}
