#include <teaseltally/ownership/assignment.hpp>

#include <teaseltally/json.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

constexpr Json::ArrayIndex range_fields = 5;

Json::Value to_json(const target_life& life)
{
    Json::Value row(Json::arrayValue);
    row.append(life.id);
    row.append(Json::Value{static_cast<Json::Int64>(life.born)});
    row.append(life.address);
    return row;
}

std::optional<target_life> life_from(const Json::Value& row)
{
    if (!row.isArray() || row.size() != 3 || !row[0].isString() || !row[1].isInt64() || !row[2].isString())
        return std::nullopt;
    return target_life{row[0].asString(), row[1].asInt64(), row[2].asString()};
}

std::optional<owned_range> range_from(const Json::Value& row)
{
    if (!row.isArray() || row.size() != range_fields || !row[0].isUInt() || !row[1].isUInt() ||
        !row[2].isUInt64() || !row[4].isArray())
        return std::nullopt;
    if (row[0].asUInt() > row[1].asUInt() || row[1].asUInt() > last_key)
        return std::nullopt;
    auto owner = life_from(row[3]);
    if (!owner)
        return std::nullopt;
    owned_range range{{static_cast<key_number>(row[0].asUInt()), static_cast<key_number>(row[1].asUInt())},
                      std::move(*owner),
                      row[2].asUInt64(),
                      {}};
    for (const auto& item : row[4]) {
        auto former = life_from(item);
        if (!former)
            return std::nullopt;
        range.former.push_back(std::move(*former));
    }
    return range;
}

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

void assignment::give(key_range keys, const target_life& owner, std::uint64_t fence)
{
    std::vector<owned_range> next;
    owned_range given{keys, owner, fence, {}};
    const auto note_former = [&](const target_life& life) {
        if (life.id != owner.id && std::ranges::find(given.former, life) == given.former.end())
            given.former.push_back(life);
    };
    for (const auto& range : ranges_) {
        if (!range.keys.overlaps(keys)) {
            next.push_back(range);
            continue;
        }
        note_former(range.owner);
        std::ranges::for_each(range.former, note_former);
        if (range.keys.first < keys.first) {
            next.push_back(range);
            next.back().keys.last = static_cast<key_number>(keys.first - 1);
        }
        if (range.keys.last > keys.last) {
            next.push_back(range);
            next.back().keys.first = static_cast<key_number>(keys.last + 1);
        }
    }
    next.push_back(std::move(given));
    std::ranges::sort(next, {}, [](const owned_range& range) { return range.keys.first; });
    ranges_ = std::move(next);
}

std::string encode(const assignment& value)
{
    Json::Value rows(Json::arrayValue);
    for (const auto& range : value.ranges()) {
        Json::Value row(Json::arrayValue);
        row.append(range.keys.first);
        row.append(range.keys.last);
        row.append(teaseltally::to_json(range.fence));
        row.append(to_json(range.owner));
        Json::Value former(Json::arrayValue);
        for (const auto& life : range.former)
            former.append(to_json(life));
        row.append(former);
        rows.append(row);
    }
    return json_text(rows);
}

result<assignment> decode_assignment(std::string_view text)
{
    auto parsed = parse_json(text, "ownership log");
    if (const auto* problem = failure(parsed))
        return *problem;
    const auto& rows = std::get<Json::Value>(parsed);
    if (!rows.isArray())
        return malformed("an assignment is not a list");
    std::vector<owned_range> ranges;
    for (const auto& row : rows) {
        auto range = range_from(row);
        if (!range)
            return malformed("range " + std::to_string(ranges.size()) + " is malformed: " + json_text(row));
        if (!ranges.empty() && ranges.back().keys.last >= range->keys.first)
            return malformed("range " + std::to_string(ranges.size()) + " overlaps the one before it");
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
    return json_text(object);
}

result<coordinator_claim> decode_claim(std::string_view text)
{
    auto parsed = parse_json(text, "ownership log");
    if (const auto* problem = failure(parsed))
        return *problem;
    const auto& object = std::get<Json::Value>(parsed);
    if (!object.isObject() || !object["instance"].isString() || !object["session"].isUInt64() ||
        !object["address"].isString())
        return malformed("a coordinator's claim is malformed: " + json_text(object));
    return coordinator_claim{object["instance"].asString(), object["session"].asUInt64(),
                             object["address"].asString()};
}

std::optional<error> ownership_log::apply(time_point now, std::string_view key, std::string_view value,
                                          std::uint64_t offset)
{
    auto& newest = offsets_[std::string{key}];
    const bool repeated = newest != 0 && offset + 1 <= newest;
    position_ = std::max(position_, offset + 1);
    if (repeated)
        return std::nullopt;
    newest = offset + 1;
    heard_ = now;
    if (key == claim_key) {
        auto decoded = decode_claim(value);
        if (const auto* problem = failure(decoded))
            return *problem;
        auto& claim = std::get<coordinator_claim>(decoded);
        if (!claim_ || claim_->session != claim.session)
            term_ = offset;
        claim_ = std::move(claim);
        return std::nullopt;
    }
    if (!key.starts_with(service_prefix))
        return std::nullopt;
    auto decoded = decode_assignment(value);
    if (const auto* problem = failure(decoded))
        return *problem;
    services_[std::string{key.substr(service_prefix.size())}] = std::get<assignment>(std::move(decoded));
    return std::nullopt;
}

const assignment* ownership_log::find(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace teaseltally
