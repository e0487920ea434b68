#include <teaseltally/admission/target_rate_limits.hpp>

#include <teaseltally/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace teaseltally {
namespace {

constexpr double us_per_s = 1e6;
/// Largest limit that is accepted, in requests per second; far above what one target can execute.
constexpr double max_limit_per_s = 1e6;
/// Share of a limit for which permits are issued; the rest covers delays between instances and targets.
constexpr double issued_share = 0.95;
/// Requests per second for which permits are issued at least, so that a response can show the end of a limit.
constexpr double min_issued_per_s = 0.25;
/// Time for which permits may be saved up by the issuer and held by an instance.
constexpr milliseconds max_saved_time{500};
/// Time for which an instance requests permits in advance.
constexpr milliseconds requested_time{250};
/// Number of requests to the issuer for each permit, while all instances want more permits than there are.
constexpr double requests_per_permit = 4;
/// Bounds of the time from a request that was granted nothing to the next one.
constexpr milliseconds min_pause{10};
constexpr milliseconds max_pause{1000};
/// Amount by which a statement from another instance counts as older than its age, so that a statement that
/// is passed on and back does not become newer.
constexpr milliseconds transit_allowance{10};
/// Maximum number of permits in one request.
constexpr double max_permits_per_request = 64;
/// Time after a failed request to the issuer in which this instance uses permits of its own.
constexpr milliseconds issuer_retry_interval{250};
/// Time after which statements and permits that nothing has renewed are forgotten.
constexpr milliseconds lifetime{600'000};
/// The same time for limits of cold targets, whose end no response shows.
constexpr milliseconds cold_lifetime{60'000};
constexpr std::string_view cold_suffix = "#cold";

double issued_rate(double limit_per_s)
{
    return std::max(limit_per_s * issued_share, min_issued_per_s);
}

double seconds(microseconds time)
{
    return static_cast<double>(time.count()) / us_per_s;
}

microseconds time_for(double tokens, double per_s)
{
    return microseconds{std::llround(std::ceil(tokens / per_s * us_per_s))};
}

Json::Value encode_limit(const rate_limit& limit, time_point now)
{
    Json::Value row(Json::arrayValue);
    row.append(limit.per_s ? Json::Value{*limit.per_s} : Json::Value{});
    row.append(Json::Value{static_cast<Json::Int64>((now - limit.stated_at).count())});
    return row;
}

std::optional<rate_limit> decode_limit(const Json::Value& row, time_point now)
{
    if (!row.isArray() || row.size() != 2 || !(row[0].isNull() || row[0].isNumeric()) || !row[1].isInt64())
        return std::nullopt;
    rate_limit limit;
    limit.stated_at = now - microseconds{std::max<std::int64_t>(row[1].asInt64(), 0)} - transit_allowance;
    if (row[0].isNumeric()) {
        limit.per_s = row[0].asDouble();
        if (!(*limit.per_s >= 0 && *limit.per_s <= max_limit_per_s))
            return std::nullopt;
    }
    return limit;
}

/// Row of a permit message: incarnation, limit, number of permits and, in an answer, the time to wait.
struct permit_row {
    std::string incarnation;
    rate_limit known;
    unsigned count = 0;
    microseconds wait{0};
};

Json::Value encode_row(const permit_row& fields, time_point now)
{
    Json::Value row(Json::arrayValue);
    row.append(fields.incarnation);
    row.append(encode_limit(fields.known, now));
    row.append(fields.count);
    row.append(Json::Value{static_cast<Json::Int64>(fields.wait.count())});
    return row;
}

/// Longest wait that an answer may ask for; sums of it with points in time do not overflow.
constexpr microseconds longest_wait = std::chrono::hours{24};

std::optional<permit_row> decode_row(const Json::Value& row, time_point now)
{
    if (!row.isArray() || row.size() != 4 || !row[0].isString() || !row[2].isUInt() || !row[3].isInt64())
        return std::nullopt;
    const auto known = decode_limit(row[1], now);
    if (!known)
        return std::nullopt;
    return permit_row{row[0].asString(), *known, row[2].asUInt(),
                      microseconds{std::clamp<std::int64_t>(row[3].asInt64(), 0, longest_wait.count())}};
}

std::string encode_rows(const std::vector<permit_row>& rows, time_point now)
{
    if (rows.size() == 1)
        return json_text(encode_row(rows.front(), now));
    Json::Value encoded(Json::arrayValue);
    for (const auto& row : rows)
        encoded.append(encode_row(row, now));
    return json_text(encoded);
}

std::optional<std::vector<permit_row>> decode_rows(std::string_view text, time_point now)
{
    const auto parsed = parse_json(text, "permits");
    const auto* message = std::get_if<Json::Value>(&parsed);
    if (message == nullptr || !message->isArray() || message->empty())
        return std::nullopt;
    Json::Value rows(Json::arrayValue);
    if ((*message)[0].isArray())
        rows = *message;
    else
        rows.append(*message);
    std::vector<permit_row> decoded;
    for (const auto& row : rows) {
        auto fields = decode_row(row, now);
        if (!fields)
            return std::nullopt;
        decoded.push_back(std::move(*fields));
    }
    return decoded;
}

} // namespace

std::optional<double> parse_rate_limit(std::string_view text) noexcept
{
    double value = 0;
    const auto [end, problem] =
        std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    if (problem != std::errc{} || end != text.data() + text.size() ||
        !(value >= 0 && value <= max_limit_per_s))
        return std::nullopt;
    return value;
}

bool rate_limit_table::apply(const std::string& incarnation, const rate_limit& stated)
{
    const auto found = limits_.find(incarnation);
    if (found == limits_.end()) {
        if (stated.per_s)
            limits_.emplace(incarnation, stated);
        return stated.per_s.has_value();
    }
    if (stated.stated_at <= found->second.stated_at)
        return false;
    const bool changed = found->second.per_s != stated.per_s;
    found->second = stated;
    return changed;
}

const rate_limit* rate_limit_table::latest(std::string_view incarnation) const
{
    const auto found = limits_.find(incarnation);
    return found == limits_.end() ? nullptr : &found->second;
}

const rate_limit* rate_limit_table::find(std::string_view incarnation) const
{
    const auto* found = latest(incarnation);
    return found != nullptr && found->per_s ? found : nullptr;
}

void rate_limit_table::remove_expired(time_point now)
{
    std::erase_if(limits_, [&](const auto& entry) {
        return now - entry.second.stated_at >=
               (entry.first.ends_with(cold_suffix) ? cold_lifetime : lifetime);
    });
}

permit_grant permit_issuer::grant(const permit_request& request, time_point now)
{
    limits_.apply(request.incarnation, request.known);
    permit_grant answer{request.incarnation, request.known, request.count, microseconds{0}};
    if (const auto* latest = limits_.latest(request.incarnation))
        answer.known = *latest;
    if (!answer.known.per_s)
        return answer;
    const double per_s = issued_rate(*answer.known.per_s);
    auto& issued = buckets_.try_emplace(request.incarnation, bucket{0, now}).first->second;
    issued.tokens = std::min(issued.tokens + per_s * seconds(now - issued.updated_at),
                             std::max(1.0, per_s * seconds(max_saved_time)));
    issued.updated_at = now;
    answer.granted = std::min(request.count, static_cast<unsigned>(issued.tokens));
    issued.tokens -= answer.granted;
    if (answer.granted == 0 && request.count > 0)
        answer.wait = time_for(1 - issued.tokens, per_s);
    return answer;
}

std::vector<permit_grant> permit_issuer::grant_first(std::span<const permit_request> requests, time_point now)
{
    std::vector<permit_grant> answers;
    for (const auto& request : requests) {
        answers.push_back(grant(request, now));
        if (answers.back().granted > 0)
            break;
    }
    return answers;
}

void permit_issuer::remove_expired(time_point now)
{
    limits_.remove_expired(now);
    std::erase_if(buckets_, [&](const auto& entry) { return now - entry.second.updated_at >= lifetime; });
}

double permit_holder::own_rate(double limit_per_s) const noexcept
{
    return issued_rate(limit_per_s) / std::max(1U, instance_count_);
}

bool permit_holder::on_response(const std::string& incarnation, const rate_limit_statement& statement,
                                time_point sent_at, time_point now)
{
    if (statement.present)
        return statement.per_s && limits_.apply(incarnation, {statement.per_s, now});
    const auto* known = limits_.find(incarnation);
    return known != nullptr && known->stated_at < sent_at && limits_.apply(incarnation, {std::nullopt, now});
}

std::string cold_permit_name(std::string_view incarnation)
{
    return std::string{incarnation}.append(cold_suffix);
}

void permit_holder::accrue_own_tokens(std::string_view incarnation, held_permits& held, double per_s,
                                      time_point now)
{
    const bool is_cold = incarnation.ends_with(cold_suffix);
    if (held.own_tokens_at < *unreachable_since_) {
        held.own_tokens = is_cold ? -phase_ : 0;
        held.own_tokens_at = *unreachable_since_;
    }
    held.own_tokens += own_rate(per_s) * seconds(now - held.own_tokens_at);
    held.own_tokens_at = now;
    if (!is_cold) {
        held.own_tokens = std::min(1.0, held.own_tokens);
        return;
    }
    // Tokens that instances have saved up would come together when a key of the target becomes hot, so each
    // lasts as long as a permit.
    const double whole = std::floor(held.own_tokens);
    const double part = held.own_tokens - whole;
    if (whole >= 1)
        held.own_tokens = part + (part <= own_rate(per_s) * seconds(max_saved_time) ? 1 : 0);
}

bool permit_holder::has_permit(const std::string& incarnation, time_point now)
{
    const auto* limit = limits_.find(incarnation);
    if (limit == nullptr)
        return true;
    auto& held = permits_[incarnation];
    if (held.valid_until <= now)
        held.count = 0;
    if (unreachable_since_)
        accrue_own_tokens(incarnation, held, *limit->per_s, now);
    return held.count > 0 || (unreachable_since_ && held.own_tokens >= 1);
}

bool permit_holder::use_permit(const std::string& incarnation, time_point now)
{
    if (!is_limited(incarnation))
        return true;
    if (!has_permit(incarnation, now))
        return false;
    auto& held = permits_[incarnation];
    ++held.used;
    if (held.count > 0)
        --held.count;
    else
        held.own_tokens -= 1;
    return true;
}

time_point permit_holder::held_back_until(std::string_view incarnation) const
{
    const auto found = permits_.find(incarnation);
    return found == permits_.end() ? unreachable_until_
                                   : std::max(unreachable_until_, found->second.held_back_until);
}

permit_request permit_holder::report(const std::string& incarnation) const
{
    const auto* latest = limits_.latest(incarnation);
    return {incarnation, latest == nullptr ? rate_limit{} : *latest, 0};
}

permit_request permit_holder::next_request(const std::string& incarnation, time_point now)
{
    auto request = report(incarnation);
    auto& held = permits_[incarnation];
    if (const auto elapsed = now - held.used_from; elapsed >= max_saved_time) {
        held.used_per_s = held.used / seconds(elapsed);
        held.used = 0;
        held.used_from = now;
    }
    request.count = static_cast<unsigned>(
        std::clamp(held.used_per_s * seconds(requested_time), 1.0, max_permits_per_request));
    return request;
}

void permit_holder::on_grant(const permit_grant& grant, time_point now)
{
    limits_.apply(grant.incarnation, grant.known);
    auto& held = permits_[grant.incarnation];
    unreachable_since_.reset();
    unreachable_until_ = {};
    const bool is_after_pause = held.held_back_until != time_point{} && now >= held.held_back_until;
    if (is_after_pause)
        held.pause_share = grant.granted == 0 ? 1 : held.pause_share / 2;
    if (grant.granted == 0) {
        const double fair_interval_s = grant.known.per_s ? 1 / own_rate(*grant.known.per_s) : 0;
        const auto pause = std::clamp(time_for(fair_interval_s * held.pause_share / requests_per_permit, 1),
                                      microseconds{min_pause}, microseconds{max_pause});
        held.held_back_until = now + std::max(grant.wait, pause);
        return;
    }
    if (held.valid_until <= now)
        held.count = 0;
    held.count += grant.granted;
    held.valid_until = now + max_saved_time;
    held.held_back_until = {};
}

void permit_holder::on_issuer_unreachable(time_point now)
{
    if (!unreachable_since_)
        unreachable_since_ = now;
    unreachable_until_ = now + issuer_retry_interval;
}

void permit_holder::remove_expired(time_point now)
{
    limits_.remove_expired(now);
    std::erase_if(permits_, [&](const auto& entry) {
        const auto& held = entry.second;
        return now - std::max({held.used_from, held.valid_until, held.own_tokens_at, held.held_back_until}) >=
               lifetime;
    });
}

std::string encode(std::span<const permit_request> requests, time_point now)
{
    std::vector<permit_row> rows;
    for (const auto& request : requests)
        rows.push_back({request.incarnation, request.known, request.count, microseconds{0}});
    return encode_rows(rows, now);
}

std::optional<std::vector<permit_request>> decode_permit_requests(std::string_view text, time_point now)
{
    auto rows = decode_rows(text, now);
    if (!rows)
        return std::nullopt;
    std::vector<permit_request> requests;
    for (auto& row : *rows)
        requests.push_back({std::move(row.incarnation), row.known, row.count});
    return requests;
}

std::string encode(std::span<const permit_grant> grants, time_point now)
{
    std::vector<permit_row> rows;
    for (const auto& grant : grants)
        rows.push_back({grant.incarnation, grant.known, grant.granted, grant.wait});
    return encode_rows(rows, now);
}

std::optional<std::vector<permit_grant>> decode_permit_grants(std::string_view text, time_point now)
{
    auto rows = decode_rows(text, now);
    if (!rows)
        return std::nullopt;
    std::vector<permit_grant> grants;
    for (auto& row : *rows)
        grants.push_back({std::move(row.incarnation), row.known, row.count, row.wait});
    return grants;
}

} // namespace teaseltally
