#include <teaseltally/ownership/assignment.hpp>

#include <teaseltally/json.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Place of the owner in the row of a range; a place and a time for each former owner come after it.
constexpr Json::ArrayIndex owner_field = 3;
/// Assignments whose time of reading is remembered.
constexpr std::size_t most_seen = 4096;

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

using life_table = std::vector<target_life>;

std::optional<life_table> lives_from(const Json::Value& rows)
{
    life_table lives;
    if (!rows.isArray())
        return std::nullopt;
    for (const auto& row : rows) {
        auto life = life_from(row);
        if (!life)
            return std::nullopt;
        lives.push_back(std::move(*life));
    }
    return lives;
}

const target_life* life_at(const Json::Value& place, const life_table& lives)
{
    return place.isUInt() && place.asUInt() < lives.size() ? &lives[place.asUInt()] : nullptr;
}

/// Reads a row of first key, last key, fence and owner, then each former owner and when it was one last. The
/// owners are places in a table.
std::optional<owned_range> range_from(const Json::Value& row, const life_table& lives)
{
    if (!row.isArray() || row.size() <= owner_field || row.size() % 2 != 0 || !row[0].isUInt() ||
        !row[1].isUInt() || !row[2].isUInt64())
        return std::nullopt;
    if (row[0].asUInt() > row[1].asUInt() || row[1].asUInt() > last_key)
        return std::nullopt;
    owned_range range;
    range.keys = {static_cast<key_number>(row[0].asUInt()), static_cast<key_number>(row[1].asUInt())};
    range.fence = row[2].asUInt64();
    const auto* owner = life_at(row[owner_field], lives);
    if (owner == nullptr)
        return std::nullopt;
    range.owner = *owner;
    for (Json::ArrayIndex index = owner_field + 1; index < row.size(); index += 2) {
        const auto* life = life_at(row[index], lives);
        if (life == nullptr || !row[index + 1].isInt64() || row[index + 1].asInt64() < 0)
            return std::nullopt;
        range.former.push_back({*life, milliseconds{row[index + 1].asInt64()}});
    }
    return range;
}

/// Places of the lives of an assignment in its table.
class life_index {
public:
    Json::Value place(const target_life& life)
    {
        const auto found = std::ranges::find(lives_, life);
        const auto index = static_cast<Json::UInt64>(found - lives_.begin());
        if (found == lives_.end())
            lives_.push_back(life);
        return Json::Value{index};
    }
    [[nodiscard]] Json::Value rows() const
    {
        Json::Value rows(Json::arrayValue);
        for (const auto& life : lives_)
            rows.append(to_json(life));
        return rows;
    }

private:
    life_table lives_;
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

void assignment::give(key_range keys, const target_life& owner, std::uint64_t fence, milliseconds at)
{
    std::vector<owned_range> next;
    owned_range given{keys, owner, fence, {}};
    const auto note_former = [&](const former_owner& former) {
        if (former.life.id == owner.id)
            return;
        const auto noted = std::ranges::find(given.former, former.life, &former_owner::life);
        if (noted == given.former.end())
            given.former.push_back(former);
        else
            noted->since = std::max(noted->since, former.since);
    };
    for (const auto& range : ranges_) {
        if (!range.keys.overlaps(keys)) {
            next.push_back(range);
            continue;
        }
        note_former({range.owner, at});
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
    life_index lives;
    Json::Value rows(Json::arrayValue);
    for (const auto& range : value.ranges()) {
        Json::Value row(Json::arrayValue);
        row.append(range.keys.first);
        row.append(range.keys.last);
        row.append(teaseltally::to_json(range.fence));
        row.append(lives.place(range.owner));
        for (const auto& [life, since] : range.former) {
            row.append(lives.place(life));
            row.append(Json::Value{static_cast<Json::Int64>(since.count())});
        }
        rows.append(row);
    }
    Json::Value object;
    object["targets"] = lives.rows();
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
        return malformed("an assignment has no ranges");
    const auto lives = lives_from(object["targets"]);
    if (!lives)
        return malformed("the targets of an assignment are malformed");
    std::vector<owned_range> ranges;
    for (const auto& row : object["ranges"]) {
        auto range = range_from(row, *lives);
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
    object["elapsed"] = Json::Value{static_cast<Json::Int64>(value.elapsed.count())};
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
        return malformed("a coordinator's claim is malformed: " + json_text(object));
    return coordinator_claim{object["instance"].asString(), object["session"].asUInt64(),
                             object["address"].asString(), milliseconds{object["elapsed"].asInt64()}};
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
        claim_heard_ = now;
        return std::nullopt;
    }
    if (!key.starts_with(service_prefix))
        return std::nullopt;
    auto decoded = decode_assignment(value);
    if (const auto* problem = failure(decoded))
        return *problem;
    seen_.emplace(offset, now);
    if (seen_.size() > most_seen)
        seen_.erase(seen_.begin());
    services_[std::string{key.substr(service_prefix.size())}] = std::get<assignment>(std::move(decoded));
    return std::nullopt;
}

time_point ownership_log::taken_by(const owned_range& range, const former_owner& former) const
{
    const auto found = seen_.lower_bound(range.fence);
    const auto read = found == seen_.end() ? heard_ : found->second;
    if (!claim_ || claim_->elapsed <= former.since)
        return read;
    return std::min<time_point>(read, claim_heard_ - (claim_->elapsed - former.since));
}

milliseconds ownership_log::elapsed(time_point now) const noexcept
{
    if (!claim_)
        return milliseconds{0};
    const auto since = std::chrono::duration_cast<milliseconds>(now - claim_heard_);
    return claim_->elapsed + since - since / clock_error;
}

const assignment* ownership_log::find(std::string_view service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace teaseltally
