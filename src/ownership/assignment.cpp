#include <teaseltally/ownership/assignment.hpp>

#include <teaseltally/json.hpp>
#include <teaseltally/json_cursor.hpp>

#include <algorithm>

namespace teaseltally {
namespace {

/// Index of the owner in the row of a range. Two elements for each former owner follow: its index in the
/// table of incarnations and the log time of the reassignment.
constexpr Json::ArrayIndex owner_field = 3;

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

/// Returns whether a value is a log time or a part of one: at most a hundred years, so that sums with points
/// in time do not overflow.
bool is_log_time(std::int64_t value)
{
    constexpr milliseconds longest = std::chrono::hours{100 * 365 * 24};
    return value >= 0 && value <= longest.count();
}

bool is_log_time(const Json::Value& value)
{
    return value.isInt64() && is_log_time(value.asInt64());
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
        if (incarnation == nullptr || !is_log_time(row[index + 1]))
            return std::nullopt;
        range.former_owners.push_back({*incarnation, milliseconds{row[index + 1].asInt64()}, std::nullopt});
    }
    return range;
}

/// Decodes rows with the index of a range, that of one of its former owners, and the time in milliseconds
/// from the reassignment by which the grants of that one have expired. Earlier builds write and read none.
bool read_grants_left(const Json::Value& rows, std::vector<owned_range>& ranges)
{
    if (!rows.isArray())
        return rows.isNull();
    for (const auto& row : rows) {
        if (!row.isArray() || row.size() != 3 || !row[0].isUInt() || !row[1].isUInt() ||
            !is_log_time(row[2]) || row[0].asUInt() >= ranges.size())
            return false;
        auto& former_owners = ranges[row[0].asUInt()].former_owners;
        if (row[1].asUInt() >= former_owners.size())
            return false;
        former_owners[row[1].asUInt()].grants_left = milliseconds{row[2].asInt64()};
    }
    return true;
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

bool is_set(const Json::Value& flag)
{
    return flag.isBool() && flag.asBool();
}

/// Records of builds that knew no eras have none.
bool has_valid_era(const Json::Value& object)
{
    return !object.isMember("era") || object["era"].isUInt64();
}

std::optional<std::uint64_t> era_of(const Json::Value& object)
{
    if (!object.isMember("era"))
        return std::nullopt;
    return object["era"].asUInt64();
}

/// Reads the rows of ranges. Owners are resolved afterwards, since the table of incarnations follows.
class encoded_ranges {
public:
    [[nodiscard]] bool read(json_cursor& cursor)
    {
        if (!cursor.read("["))
            return false;
        if (cursor.read("]"))
            return true;
        do {
            if (!read_row(cursor))
                return false;
        } while (cursor.read(","));
        return cursor.read("]");
    }

    [[nodiscard]] std::optional<std::vector<owned_range>> resolve(const incarnation_table& incarnations) const
    {
        std::vector<owned_range> ranges;
        ranges.reserve(rows_.size());
        std::size_t former = 0;
        for (const auto& row : rows_) {
            if (row.owner >= incarnations.size())
                return std::nullopt;
            ranges.push_back({row.keys, incarnations[row.owner], row.fence, {}});
            for (; former < row.former_end; ++former) {
                const auto& [index, reassigned_at] = formers_[former];
                if (index >= incarnations.size())
                    return std::nullopt;
                ranges.back().former_owners.push_back(
                    {incarnations[index], milliseconds{reassigned_at}, std::nullopt});
            }
        }
        return ranges;
    }

private:
    struct row {
        key_range keys;
        std::uint64_t fence = 0;
        std::uint32_t owner = 0;
        /// Number of former owners of this row and the earlier ones.
        std::size_t former_end = 0;
    };
    struct former_row {
        std::uint32_t incarnation = 0;
        std::int64_t reassigned_at = 0;
    };

    [[nodiscard]] bool read_row(json_cursor& cursor)
    {
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        row added;
        const bool is_row = cursor.read("[") && cursor.read_number(first) && cursor.read(",") &&
                            cursor.read_number(last) && cursor.read(",") && cursor.read_number(added.fence) &&
                            cursor.read(",") && cursor.read_number(added.owner);
        if (!is_row || first > last || last > last_key)
            return false;
        added.keys = {static_cast<key_number>(first), static_cast<key_number>(last)};
        if (!rows_.empty() && rows_.back().keys.last >= added.keys.first)
            return false;
        while (cursor.read(",")) {
            former_row former;
            if (!cursor.read_number(former.incarnation) || !cursor.read(",") ||
                !cursor.read_number(former.reassigned_at) || !is_log_time(former.reassigned_at))
                return false;
            formers_.push_back(former);
        }
        added.former_end = formers_.size();
        rows_.push_back(added);
        return cursor.read("]");
    }

    std::vector<row> rows_;
    std::vector<former_row> formers_;
};

/// When the grants of a former owner have expired; see `read_grants_left`.
struct grants_left_row {
    std::uint32_t range = 0;
    std::uint32_t former = 0;
    std::int64_t left = 0;
};

std::optional<std::vector<grants_left_row>> read_grants_left(json_cursor& cursor)
{
    std::vector<grants_left_row> rows;
    if (!cursor.read("["))
        return std::nullopt;
    do {
        grants_left_row row;
        if (!cursor.read("[") || !cursor.read_number(row.range) || !cursor.read(",") ||
            !cursor.read_number(row.former) || !cursor.read(",") || !cursor.read_number(row.left) ||
            !cursor.read("]") || !is_log_time(row.left))
            return std::nullopt;
        rows.push_back(row);
    } while (cursor.read(","));
    if (!cursor.read("]"))
        return std::nullopt;
    return rows;
}

std::optional<incarnation_table> read_incarnations(json_cursor& cursor)
{
    incarnation_table incarnations;
    if (!cursor.read("["))
        return std::nullopt;
    if (cursor.read("]"))
        return incarnations;
    do {
        if (!cursor.read("["))
            return std::nullopt;
        const auto id = cursor.read_string();
        std::int64_t started = 0;
        if (!id || !cursor.read(",") || !cursor.read_number(started) || !cursor.read(","))
            return std::nullopt;
        const auto address = cursor.read_string();
        if (!address || !cursor.read("]"))
            return std::nullopt;
        incarnations.push_back({std::string{*id}, started, std::string{*address}});
    } while (cursor.read(","));
    if (!cursor.read("]"))
        return std::nullopt;
    return incarnations;
}

/// Decodes an assignment in the form that `encode` writes and that most records have. Each instance decodes
/// each record, and building a tree of its values takes most of that time.
/// @returns nothing if the text has another form.
std::optional<assignment_record> decode_usual_form(std::string_view text)
{
    json_cursor cursor(text);
    std::optional<std::uint64_t> era;
    if (!cursor.read("{"))
        return std::nullopt;
    if (cursor.read("\"era\":") && (!cursor.read_number(era.emplace()) || !cursor.read(",")))
        return std::nullopt;
    std::vector<grants_left_row> grants_left;
    if (cursor.read("\"grants_left\":")) {
        auto read = read_grants_left(cursor);
        if (!read || !cursor.read(","))
            return std::nullopt;
        grants_left = std::move(*read);
    }
    encoded_ranges rows;
    if (!cursor.read("\"ranges\":") || !rows.read(cursor) || !cursor.read(",\"targets\":"))
        return std::nullopt;
    const auto incarnations = read_incarnations(cursor);
    if (!incarnations || !cursor.read("}") || !cursor.at_end())
        return std::nullopt;
    auto ranges = rows.resolve(*incarnations);
    if (!ranges)
        return std::nullopt;
    for (const auto& row : grants_left) {
        if (row.range >= ranges->size() || row.former >= (*ranges)[row.range].former_owners.size())
            return std::nullopt;
        (*ranges)[row.range].former_owners[row.former].grants_left = milliseconds{row.left};
    }
    return assignment_record{assignment(std::move(*ranges)), era};
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
        else {
            existing->reassigned_at = std::max(existing->reassigned_at, former.reassigned_at);
            existing->grants_left = existing->grants_left && former.grants_left
                                        ? std::max(existing->grants_left, former.grants_left)
                                        : std::nullopt;
        }
    };
    for (const auto& range : ranges_) {
        if (!range.keys.overlaps(keys)) {
            next.push_back(range);
            continue;
        }
        add_former({range.owner, log_time, std::nullopt});
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

void assignment::restart_former_owners(milliseconds log_time)
{
    for (auto& range : ranges_)
        for (auto& former : range.former_owners)
            former.reassigned_at = log_time;
}

std::string encode(const assignment& value, std::optional<std::uint64_t> era)
{
    incarnation_index incarnations;
    Json::Value rows(Json::arrayValue);
    Json::Value grants_left(Json::arrayValue);
    for (const auto& range : value.ranges()) {
        Json::Value row(Json::arrayValue);
        row.append(range.keys.first);
        row.append(range.keys.last);
        row.append(teaseltally::to_json(range.fence));
        row.append(incarnations.index_of(range.owner));
        for (Json::ArrayIndex index = 0; index < range.former_owners.size(); ++index) {
            const auto& former = range.former_owners[index];
            row.append(incarnations.index_of(former.incarnation));
            row.append(Json::Value{static_cast<Json::Int64>(former.reassigned_at.count())});
            if (!former.grants_left)
                continue;
            Json::Value left(Json::arrayValue);
            left.append(rows.size());
            left.append(index);
            left.append(Json::Value{static_cast<Json::Int64>(former.grants_left->count())});
            grants_left.append(left);
        }
        rows.append(row);
    }
    Json::Value object;
    object["targets"] = incarnations.rows();
    object["ranges"] = rows;
    if (!grants_left.empty())
        object["grants_left"] = grants_left;
    if (era)
        object["era"] = teaseltally::to_json(*era);
    return json_text(object);
}

result<assignment> decode_assignment(std::string_view text)
{
    auto decoded = decode_assignment_record(text);
    if (const auto* problem = failure(decoded))
        return *problem;
    return std::get<assignment_record>(std::move(decoded)).value;
}

result<assignment_record> decode_assignment_record(std::string_view text)
{
    if (auto usual = decode_usual_form(text))
        return std::move(*usual);
    auto parsed = parse_json(text, "ownership log");
    if (const auto* problem = failure(parsed))
        return *problem;
    const auto& object = std::get<Json::Value>(parsed);
    if (!object.isObject() || !object["ranges"].isArray())
        return malformed("assignment is not an object with an array \"ranges\"");
    const auto incarnations = incarnations_from(object["targets"]);
    if (!incarnations)
        return malformed("assignment has no valid array \"targets\" of [id, start time, address]");
    if (!has_valid_era(object))
        return malformed("assignment has an \"era\" that is not an unsigned number");
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
    if (!read_grants_left(object["grants_left"], ranges))
        return malformed("assignment has a \"grants_left\" with other rows than [range, former owner, time]");
    return assignment_record{assignment(std::move(ranges)), era_of(object)};
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
    if (value.era)
        object["era"] = teaseltally::to_json(*value.era);
    if (value.fence_origin)
        object["fence_origin"] = Json::Value{static_cast<Json::Int64>(*value.fence_origin)};
    if (value.unsettled)
        object["unsettled"] = true;
    if (value.began)
        object["began"] = Json::Value{static_cast<Json::Int64>(value.began->count())};
    return json_text(object);
}

result<coordinator_claim> decode_claim(std::string_view text)
{
    auto parsed = parse_json(text, "ownership log");
    if (const auto* problem = failure(parsed))
        return *problem;
    const auto& object = std::get<Json::Value>(parsed);
    if (!object.isObject() || !object["instance"].isString() || !object["session"].isUInt64() ||
        !object["address"].isString() || !is_log_time(object["elapsed"]))
        return malformed(
            "coordinator claim lacks a valid \"instance\", \"session\", \"address\" or \"elapsed\": " +
            json_text(object));
    if (!has_valid_era(object) || (object.isMember("fence_origin") && !object["fence_origin"].isInt64()))
        return malformed("coordinator claim has an invalid \"era\" or \"fence_origin\": " +
                         json_text(object));
    if (object.isMember("began") &&
        (!is_log_time(object["began"]) || object["began"].asInt64() > object["elapsed"].asInt64()))
        return malformed("coordinator claim has a \"began\" that is not from 0 to \"elapsed\": " +
                         json_text(object));
    coordinator_claim claim{object["instance"].asString(), object["session"].asUInt64(),
                            object["address"].asString(), milliseconds{object["elapsed"].asInt64()},
                            is_set(object["resigned"])};
    claim.era = era_of(object);
    if (object.isMember("fence_origin"))
        claim.fence_origin = object["fence_origin"].asInt64();
    claim.unsettled = is_set(object["unsettled"]);
    if (object.isMember("began"))
        claim.began = milliseconds{object["began"].asInt64()};
    return claim;
}

} // namespace teaseltally
