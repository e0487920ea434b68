#include <teaseltally/admission/target_statements.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace teaseltally {
namespace {

/// Longest rest that is kept to at once; a target that needs more asks again.
constexpr milliseconds max_rest{600'000};
/// Time after the end of a rest, the first statement that it leaves or the first response of another process,
/// for which an incarnation is remembered without a registration.
constexpr milliseconds lifetime{600'000};
constexpr double ms_per_s = 1000;
/// Longest time between two checks who responds at an address. Each instance checks by itself, so that 30 of
/// them cost the process there four health probes a second.
constexpr milliseconds max_check_delay{8000};

} // namespace

std::optional<milliseconds> parse_rest(std::string_view text) noexcept
{
    double seconds = 0;
    const auto [end, problem] =
        std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
    if (end != text.data() + text.size() || text.empty())
        return std::nullopt;
    if (text.front() == '-')
        return std::nullopt;
    if (problem == std::errc::result_out_of_range) {
        const bool below_one =
            text.substr(0, text.find('.')).find_first_not_of('0') == std::string_view::npos;
        return below_one ? milliseconds{0} : max_rest;
    }
    if (problem != std::errc{} || !std::isfinite(seconds))
        return std::nullopt;
    const double max_seconds = static_cast<double>(max_rest.count()) / ms_per_s;
    return milliseconds{static_cast<std::int64_t>(std::min(seconds, max_seconds) * ms_per_s)};
}

void target_statements::apply(const target_statement& statement, time_point sent_at, time_point now)
{
    if (statement.leaving)
        mark_leaving(now);
    if (statement.rest && statement.rest->count() > 0) {
        if (now + *statement.rest > rest_until_) {
            rest_until_ = now + *statement.rest;
            rest_length_ = *statement.rest;
        }
        returning_ = true;
        return;
    }
    // A response to an earlier request says nothing about the time after the rest.
    if (sent_at >= rest_until_)
        returning_ = false;
}

void target_statements::mark_leaving(time_point now) noexcept
{
    if (!leaving_since_)
        leaving_since_ = now;
}

bool target_statements::mark_unconfirmed(const std::string& address, time_point asked_at, time_point now)
{
    if (asked_at < asked_at_)
        return false;
    asked_at_ = asked_at;
    if (unconfirmed_since_)
        return false;
    unconfirmed_since_ = now;
    unconfirmed_address_ = address;
    return true;
}

bool target_statements::confirm(time_point asked_at) noexcept
{
    if (asked_at < asked_at_)
        return false;
    asked_at_ = asked_at;
    return std::exchange(unconfirmed_since_, std::nullopt).has_value();
}

void target_statements::on_registered(const std::string& address) noexcept
{
    if (unconfirmed_since_ && address != unconfirmed_address_)
        unconfirmed_since_.reset();
}

milliseconds target_statements::next_check_delay() noexcept
{
    return std::exchange(check_delay_, std::min(check_delay_ * 2, max_check_delay));
}

void target_statements::on_request_sent(time_point now) noexcept
{
    if (returning_)
        trial_sent_at_ = now;
}

void target_statements::on_request_ended(time_point sent_at) noexcept
{
    if (trial_sent_at_ == sent_at)
        trial_sent_at_.reset();
}

bool target_statements::is_outdated(time_point now) const noexcept
{
    return now >= std::max({rest_until_, leaving_since_.value_or(time_point{}),
                            unconfirmed_since_.value_or(time_point{})}) +
                      lifetime;
}

std::shared_ptr<target_statements> target_statement_table::of(const std::string& incarnation)
{
    auto& statements = statements_[incarnation];
    if (!statements)
        statements = std::make_shared<target_statements>();
    return statements;
}

void target_statement_table::remove_expired(time_point now)
{
    std::erase_if(statements_, [&](const auto& entry) {
        return entry.second.use_count() == 1 && entry.second->is_outdated(now);
    });
}

} // namespace teaseltally
