#include "fleet/effects.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "replicated/codec_error.hpp"

namespace tealcart::fleet {
namespace {

using replicated::CodecError;

constexpr std::array stage_names = {"queued", "granted", "done", "returning", "ended"};
constexpr std::array stale_reasons = {"an earlier life", "not a member, or of another life",
                                      "a generation that is not agreed"};
constexpr std::string_view already = "already ";

template <typename Enum, typename Names>
Enum value_named(const Names& names, std::string_view name) {
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end())
        throw CodecError(CodecError::Fault::malformed,
                         "unknown reason of an effect: '" + std::string(name) + "'");
    return static_cast<Enum>(found - names.begin());
}

struct ToRecord {
    EffectRecord operator()(const RemovalQueued& e) const {
        return {EffectCode::asked, e.request, 0, 0, e.target, {}};
    }
    EffectRecord operator()(const RemovalAlreadyOpen& e) const {
        return {EffectCode::asked, e.request, e.fence,
                e.generation,      e.target,  std::string(already) + stage_name(e.stage)};
    }
    EffectRecord operator()(const CommandRejected& e) const {
        return {EffectCode::refused, e.request, 0, e.generation, e.subject, e.reason};
    }
    EffectRecord operator()(const RemovalGranted& e) const { return request_record(EffectCode::granted, e); }
    EffectRecord operator()(const RemovalDone& e) const { return request_record(EffectCode::done, e); }
    EffectRecord operator()(const TargetReturned& e) const { return request_record(EffectCode::returned, e); }
    EffectRecord operator()(const RequestEnded& e) const { return request_record(EffectCode::ended, e); }
    EffectRecord operator()(const GrantsHalted& e) const {
        return {EffectCode::halted, 0, 0, e.generation, {}, e.reason};
    }
    EffectRecord operator()(const GrantsResumed& e) const {
        return {EffectCode::resumed, 0, 0, e.generation, {}, {}};
    }
    EffectRecord operator()(const MemberLeaseExpired& e) const {
        return {EffectCode::over, 0, 0, e.generation, e.member, {}};
    }
    EffectRecord operator()(const StaleReport& e) const {
        return {EffectCode::stale, 0,        0,
                e.generation,      e.member, stale_reasons.at(static_cast<std::size_t>(e.reason))};
    }
    EffectRecord operator()(const MemberForgotten& e) const {
        return {EffectCode::forgotten, 0, 0, e.generation, e.member, {}};
    }

  private:
    template <typename RequestEffect>
    static EffectRecord request_record(EffectCode code, const RequestEffect& e) {
        return {code, e.request, e.fence, e.generation, e.target, {}};
    }
};

Effect asked_effect(const EffectRecord& record) {
    if (record.reason.empty()) return RemovalQueued{record.request, record.subject};
    const std::string_view reason = record.reason;
    const auto stage =
        value_named<Stage>(stage_names, reason.substr(std::min(already.size(), reason.size())));
    return RemovalAlreadyOpen{record.request, record.fence, record.generation, record.subject, stage};
}

}  // namespace

const char* stage_name(Stage stage) { return stage_names.at(static_cast<std::size_t>(stage)); }

EffectRecord record_of(const Effect& effect) { return std::visit(ToRecord{}, effect); }

Effect effect_of(const EffectRecord& record) {
    switch (record.code) {
        case EffectCode::asked:
            return asked_effect(record);
        case EffectCode::refused:
            return CommandRejected{record.request, record.generation, record.subject, record.reason};
        case EffectCode::granted:
            return RemovalGranted{record.request, record.fence, record.generation, record.subject};
        case EffectCode::done:
            return RemovalDone{record.request, record.fence, record.generation, record.subject};
        case EffectCode::returned:
            return TargetReturned{record.request, record.fence, record.generation, record.subject};
        case EffectCode::ended:
            return RequestEnded{record.request, record.fence, record.generation, record.subject};
        case EffectCode::halted:
            return GrantsHalted{record.generation, record.reason};
        case EffectCode::resumed:
            return GrantsResumed{record.generation};
        case EffectCode::over:
            return MemberLeaseExpired{record.generation, record.subject};
        case EffectCode::stale:
            return StaleReport{record.generation, record.subject,
                               value_named<StaleReason>(stale_reasons, record.reason)};
        case EffectCode::forgotten:
            return MemberForgotten{record.generation, record.subject};
    }
    throw CodecError(CodecError::Fault::malformed,
                     "unknown effect code " + std::to_string(static_cast<int>(record.code)));
}

}  // namespace tealcart::fleet
