#include <teaseltally/ownership/assignment.hpp>

#include <teaseltally/json.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Index of the owner in the row of a range. Two elements for each former owner follow: its index in the
/// table of incarnations and the log time of the reassignment.
constexpr Json::ArrayIndex owner_field = 3;
/// Number of assignment records whose read times are kept.
constexpr std::size_t max_read_times = 4096;

Json::Value to_json(const target_incarnation& incarnation)
{
    Json::Value row(Json::arrayValue);
    row.append(incarnation.id);
    row.append(Json::Value{static_cast<Json::Int64>(incarnation.start_unix_ms)});
    row.append(incarnation.address);
    return row;
}

std::optional<target_incarnation> incarnation_from(const Json::Value& row)
{
    if (!row.isArray() || row.size() != 3 || !row[0].isString() || !row[1].isInt64() || !row[2].isString())
        return std::nullopt;
    return target_incarnation{row[0].asString(), row[1].asInt64(), row[2].asString()};
}

using incarnation_table = std::vector<target_incarnation>;

std::optional<incarnation_table> incarnations_from(const Json::Value& rows)
{
    incarnation_table incarnations;
    if (!rows.isArray())
        return std::nullopt;
    for (const auto& row : rows) {
        auto incarnation = incarnation_from(row);
        if (!incarnation)
            return std::nullopt;
        incarnations.push_back(std::move(*incarnation));
    }
    return incarnations;
}

const target_incarnation* incarnation_at(const Json::Value& index, const incarnation_table& incarnations)
{
    return index.isUInt() && index.asUInt() < incarnations.size() ? &incarnations[index.asUInt()] : nullptr;
}

/// Decodes a row with the first key, the last key, the fencing token and the owner, followed by each former
/// owner and the log time at which it lost the range. Owners are indices into a table of incarnations.
std::optional<owned_range> range_from(const Json::Value& row, const incarnation_table& incarnations)
{
    if (!row.isArray() || row.size() <= owner_field || row.size() % 2 != 0 || !row[0].isUInt() ||
        !row[1].isUInt() || !row[2].isUInt64())
        return std::nullopt;
    if (row[0].asUInt() > row[1].asUInt() || row[1].asUInt() > last_key)
        return std::nullopt;
    owned_range range;
    range.keys = {static_cast<key_number>(row[0].asUInt()), static_cast<key_number>(row[1].asUInt())};
    range.fence = row[2].asUInt64();
    const auto* owner = incarnation_at(row[owner_field], incarnations);
    if (owner == nullptr)
        return std::nullopt;
    range.owner = *owner;
    for (Json::ArrayIndex index = owner_field + 1; index < row.size(); index += 2) {
        const auto* incarnation = incarnation_at(row[index], incarnations);
        if (incarnation == nullptr || !row[index + 1].isInt64() || row[index + 1].asInt64() < 0)
            return std::nullopt;
        range.former_owners.push_back({*incarnation, milliseconds{row[index + 1].asInt64()}});
    }
    return range;
}

/// Table of the incarnations in an assignment, in which each occurs once.
class incarnation_index {
public:
    Json::Value index_of(const target_incarnation& incarnation)
    {
        const auto found = std::ranges::find(incarnations_, incarnation);
        const auto index = static_cast<Json::UInt64>(found - incarnations_.begin());
        if (found == incarnations_.end())
            incarnations_.push_back(incarnation);
        return Json::Value{index};
    }
    [[nodiscard]] Json::Value rows() const
    {
        Json::Value rows(Json::arrayValue);
        for (const auto& incarnation : incarnations_)
            rows.append(to_json(incarnation));
        return rows;
    }

private:
    incarnation_table incarnations_;
};

error malformed(std::string message)
{
    return {result_code::message_malformed, std::move(message), "ownership log"};
}

} // namespace

const owned_range* assignment::find(key_number key) const noexcept
{
    const auto after =
        std::ranges::upper_bound(ranges_, key, {}, [](const owned_range& range) { return range.keys.first; });
    if (after == ranges_.begin())
        return nullptr;
    const auto& candidate = *std::prev(after);
    return candidate.keys.contains(key) ? &candidate : nullptr;
}

void assignment::assign(key_range keys, const target_incarnation& owner, std::uint64_t fence,
                        milliseconds log_time)
{
    std::vector<owned_range> next;
    owned_range assigned{keys, owner, fence, {}};
    const auto add_former = [&](const former_owner& former) {
        if (former.incarnation.id == owner.id)
            return;
        const auto existing =
            std::ranges::find(assigned.former_owners, former.incarnation, &former_owner::incarnation);
        if (existing == assigned.former_owners.end())
            assigned.former_owners.push_back(former);
        else
            existing->reassigned_at = std::max(existing->reassigned_at, former.reassigned_at);
    };
    for (const auto& range : ranges_) {
        if (!range.keys.overlaps(keys)) {
            next.push_back(range);
            continue;
        }
        add_former({range.owner, log_time});
        std::ranges::for_each(range.former_owners, add_former);
        if (range.keys.first < keys.first) {
            next.push_back(range);
            next.back().keys.last = static_cast<key_number>(keys.first - 1);
        }
        if (range.keys.last > keys.last) {
            next.push_back(range);
            next.back().keys.first = static_cast<key_number>(keys.last + 1);
        }
    }
    next.push_back(std::move(assigned));
    std::ranges::sort(next, {}, [](const owned_range& range) { return range.keys.first; });
    ranges_ = std::move(next);
}

std::string encode(const assignment& value)
{
    incarnation_index incarnations;
    Json::Value rows(Json::arrayValue);
    for (const auto& range : value.ranges()) {
        Json::Value row(Json::arrayValue);
        row.append(range.keys.first);
        row.append(range.keys.last);
        row.append(teaseltally::to_json(range.fence));
        row.append(incarnations.index_of(range.owner));
        for (const auto& [incarnation, reassigned_at] : range.former_owners) {
            row.append(incarnations.index_of(incarnation));
            row.append(Json::Value{static_cast<Json::Int64>(reassigned_at.count())});
        }
        rows.append(row);
    }
    Json::Value object;
    object["targets"] = incarnations.rows();
    object["ranges"] = rows;
    return json_text(object);
}

result<assignment> decode_assignment(std::string_view text)
{
    auto parsed = parse_json(text, "ownership log");
    if (const auto* problem = failure(parsed))
        return *problem;
    const auto& object = std::get<Json::Value>(parsed);
    if (!object.isObject() || !object["ranges"].isArray())
        return malformed("assignment is not an object with an array \"ranges\"");
    const auto incarnations = incarnations_from(object["targets"]);
    if (!incarnations)
        return malformed("assignment has no valid array \"targets\" of [id, start time, address]");
    std::vector<owned_range> ranges;
    for (const auto& row : object["ranges"]) {
        auto range = range_from(row, *incarnations);
        if (!range)
            return malformed(
                "range " + std::to_string(ranges.size()) +
                " is not [first, last, fence, owner, (former owner, time)...]: " + json_text(row));
        if (!ranges.empty() && ranges.back().keys.last >= range->keys.first)
            return malformed("range " + std::to_string(ranges.size()) + " overlaps the previous range");
        ranges.push_back(std::move(*range));
    }
    return assignment(std::move(ranges));
}

std::string encode(const coordinator_claim& value)
{
    Json::Value object;
    object["instance"] = value.instance;
    object["session"] = teaseltally::to_json(value.session);
    object["address"] = value.address;
    object["elapsed"] = Json::Value{static_cast<Json::Int64>(value.log_time.count())};
    if (value.resigned)
        object["resigned"] = true;
    return json_text(object);
}

result<coordinator_claim> decode_claim(std::string_view text)
{
    auto parsed = parse_json(text, "ownership log");
    if (const auto* problem = failure(parsed))
        return *problem;
    const auto& object = std::get<Json::Value>(parsed);
    if (!object.isObject() || !object["instance"].isString() || !object["session"].isUInt64() ||
        !object["address"].isString() || !object["elapsed"].isInt64() || object["elapsed"].asInt64() < 0)
        return malformed(
            "coordinator claim lacks a valid \"instance\", \"session\", \"address\" or \"elapsed\": " +
            json_text(object));
    return coordinator_claim{object["instance"].asString(), object["session"].asUInt64(),
                             object["address"].asString(), milliseconds{object["elapsed"].asInt64()},
                             object["resigned"].isBool() && object["resigned"].asBool()};
}

std::optional<error> ownership_log::apply(time_point now, std::string_view key, std::string_view value,
                                          std::uint64_t offset)
{
    auto& next_offset = next_offsets_[std::string{key}];
    const bool repeated = next_offset != 0 && offset + 1 <= next_offset;
    position_ = std::max(position_, offset + 1);
    if (repeated)
        return std::nullopt;
    next_offset = offset + 1;
    last_record_at_ = now;
    if (key == claim_key) {
        auto decoded = decode_claim(value);
        if (const auto* problem = failure(decoded))
            return *problem;
        auto& claim = std::get<coordinator_claim>(decoded);
        if (!claim_ || claim_->resigned || claim_->session != claim.session)
            term_ = offset;
        claim_ = std::move(claim);
        claim_read_at_ = now;
        return std::nullopt;
    }
    if (!key.starts_with(service_prefix))
        return std::nullopt;
    auto decoded = decode_assignment(value);
    if (const auto* problem = failure(decoded))
        return *problem;
    read_times_.emplace(offset, now);
    if (read_times_.size() > max_read_times)
        read_times_.erase(read_times_.begin());
    services_[std::string{key.substr(service_prefix.size())}] = std::get<assignment>(std::move(decoded));
    return std::nullopt;
}

time_point ownership_log::latest_reassignment_time(const owned_range& range, const former_owner& former) const
{
    const auto found = read_times_.lower_bound(range.fence);
    const auto read_at = found == read_times_.end() ? last_record_at_ : found->second;
    if (!claim_ || claim_->log_time <= former.reassigned_at)
        return read_at;
    return std::min<time_point>(read_at, claim_read_at_ - (claim_->log_time - former.reassigned_at));
}

milliseconds ownership_log::log_time(time_point now) const noexcept
{
    if (!claim_)
        return milliseconds{0};
    const auto since_claim = std::chrono::duration_cast<milliseconds>(now - claim_read_at_);
    return claim_->log_time + since_claim - since_claim / clock_error_divisor;
}

const assignment* ownership_log::find(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace teaseltally
