#include <teaseltally/result.hpp>

namespace teaseltally {

std::string_view name_of(result_code code) noexcept
{
    switch (code) {
    case result_code::ok:
        return "ok";
    case result_code::done:
        return "done";
    case result_code::not_run_no_owner:
        return "not_run_no_owner";
    case result_code::not_run_not_dispatcher:
        return "not_run_not_dispatcher";
    case result_code::not_run_moving:
        return "not_run_moving";
    case result_code::not_run_behind:
        return "not_run_behind";
    case result_code::not_run_overloaded:
        return "not_run_overloaded";
    case result_code::not_run_unreachable:
        return "not_run_unreachable";
    case result_code::not_run_target_refused:
        return "not_run_target_refused";
    case result_code::not_run_draining:
        return "not_run_draining";
    case result_code::not_run_deadline:
        return "not_run_deadline";
    case result_code::not_run_moved:
        return "not_run_moved";
    case result_code::not_run_busy_key:
        return "not_run_busy_key";
    case result_code::unknown_connection_lost:
        return "unknown_connection_lost";
    case result_code::unknown_deadline:
        return "unknown_deadline";
    case result_code::unknown_predecessor:
        return "unknown_predecessor";
    case result_code::refused_unknown_service:
        return "refused_unknown_service";
    case result_code::refused_key_missing:
        return "refused_key_missing";
    case result_code::refused_quarantined:
        return "refused_quarantined";
    case result_code::refused_key_reuse:
        return "refused_key_reuse";
    case result_code::refused_too_large:
        return "refused_too_large";
    case result_code::refused_malformed:
        return "refused_malformed";
    case result_code::rejected_stale_base:
        return "rejected_stale_base";
    case result_code::rejected_repeat:
        return "rejected_repeat";
    case result_code::rejected_malformed:
        return "rejected_malformed";
    case result_code::rejected_unknown_name:
        return "rejected_unknown_name";
    case result_code::rejected_moving:
        return "rejected_moving";
    case result_code::rejected_no_majority:
        return "rejected_no_majority";
    case result_code::rejected_limit:
        return "rejected_limit";
    case result_code::configuration_unreadable:
        return "configuration_unreadable";
    case result_code::configuration_unknown_key:
        return "configuration_unknown_key";
    case result_code::configuration_bad_value:
        return "configuration_bad_value";
    case result_code::configuration_missing:
        return "configuration_missing";
    case result_code::configuration_lost_race:
        return "configuration_lost_race";
    case result_code::platform_unavailable:
        return "platform_unavailable";
    case result_code::platform_bad_answer:
        return "platform_bad_answer";
    case result_code::message_malformed:
        return "message_malformed";
    }
    return "unnamed";
}

result_class class_of(result_code code) noexcept
{
    const auto value = static_cast<int>(code);
    constexpr int first_not_run = 110;
    constexpr int first_unknown = 130;
    constexpr int first_refused = 140;
    if (value < first_not_run)
        return result_class::done;
    if (value < first_unknown)
        return result_class::not_run;
    return value < first_refused ? result_class::unknown : result_class::refused;
}

std::string_view name_of(result_class value) noexcept
{
    switch (value) {
    case result_class::done:
        return "done";
    case result_class::not_run:
        return "not_run";
    case result_class::unknown:
        return "unknown";
    case result_class::refused:
        return "refused";
    }
    return "unnamed";
}

std::string to_string(const error& value)
{
    std::string text = value.source.empty() ? std::string{} : value.source + ": ";
    text += value.message;
    text += " (" + std::to_string(static_cast<int>(value.code)) + " ";
    text += name_of(value.code);
    return text + ")";
}

} // namespace teaseltally
