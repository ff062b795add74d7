#include "changes/effects.hpp"

#include <algorithm>
#include <array>

#include "replicated/codec_error.hpp"

namespace tealcart::changes {
namespace {

using replicated::CodecError;

constexpr std::array stale_reasons = {"malformed",
                                      "no room for so many members",
                                      "no room for so many relays",
                                      "it is not known: all is to be said",
                                      "an earlier life",
                                      "overtaken",
                                      "a new life: all is to be said",
                                      "its lease was over: all is to be said"};

StaleReason stale_reason(const std::string& description) {
    const auto found = std::find(stale_reasons.begin(), stale_reasons.end(), description);
    if (found == stale_reasons.end())
        throw CodecError(CodecError::Fault::malformed,
                         "unknown reason of a stale report: '" + description + "'");
    return static_cast<StaleReason>(found - stale_reasons.begin());
}

const std::string& only_name(const EffectRecord& record) {
    if (record.names.size() != 1)
        throw CodecError(
            CodecError::Fault::malformed,
            "an effect names " + std::to_string(record.names.size()) + " members or relays; expected one");
    return record.names.front();
}

struct ToRecord {
    EffectRecord operator()(const VersionPublished& e) const {
        return {EffectCode::published, e.version, {}, {}};
    }
    EffectRecord operator()(const CommandRejected& e) const {
        EffectRecord record{EffectCode::refused, e.version, e.reason, {}};
        if (e.member) record.names.push_back(*e.member);
        return record;
    }
    EffectRecord operator()(const AppliedEverywhere& e) const {
        return {EffectCode::in_force, e.version, {}, e.may_lag};
    }
    EffectRecord operator()(const MemberRefused& e) const {
        return {EffectCode::member_refuses, e.version, e.reason, {e.member}};
    }
    EffectRecord operator()(const PublishingHalted& e) const {
        return {EffectCode::halted, e.version, e.reason, {}};
    }
    EffectRecord operator()(const PublishingResumed& e) const {
        return {EffectCode::resumed, e.version, {}, {}};
    }
    EffectRecord operator()(const RelayLeaseExpired& e) const {
        return {EffectCode::over, e.version, {}, {e.relay}};
    }
    EffectRecord operator()(const StaleReport& e) const {
        return {EffectCode::stale, e.version, describe(e.reason), {e.sender}};
    }
    EffectRecord operator()(const MemberForgotten& e) const {
        return {EffectCode::forgotten, e.version, {}, {e.member}};
    }
};

}  // namespace

const char* describe(StaleReason reason) { return stale_reasons.at(static_cast<std::size_t>(reason)); }

EffectRecord record_of(const Effect& effect) { return std::visit(ToRecord{}, effect); }

Effect effect_of(const EffectRecord& record) {
    switch (record.code) {
        case EffectCode::published:
            return VersionPublished{record.version};
        case EffectCode::refused:
            if (record.names.empty()) return CommandRejected{record.version, record.reason, std::nullopt};
            return CommandRejected{record.version, record.reason, only_name(record)};
        case EffectCode::in_force:
            return AppliedEverywhere{record.version, record.names};
        case EffectCode::member_refuses:
            return MemberRefused{record.version, only_name(record), record.reason};
        case EffectCode::halted:
            return PublishingHalted{record.version, record.reason};
        case EffectCode::resumed:
            return PublishingResumed{record.version};
        case EffectCode::over:
            return RelayLeaseExpired{record.version, only_name(record)};
        case EffectCode::stale:
            return StaleReport{record.version, only_name(record), stale_reason(record.reason)};
        case EffectCode::forgotten:
            return MemberForgotten{record.version, only_name(record)};
    }
    throw CodecError(CodecError::Fault::malformed,
                     "unknown effect code " + std::to_string(static_cast<int>(record.code)));
}

}  // namespace tealcart::changes
