#include <teaseltally/net/feed_messages.hpp>

#include <teaseltally/json.hpp>

#include <algorithm>
#include <charconv>

namespace teaseltally {
namespace {

/// Member of an update with the records that are held back. Earlier versions ignore it, and so leave them
/// out.
constexpr auto held_back_records = "held_back";
/// Member of an update with the records whose values are sent as differences. Each row holds the offset, the
/// key and the differences from the value that the receiver has, oldest first.
constexpr auto record_differences = "differences";
/// Member that is true in place of an update that was left out.
constexpr auto left_out = "left_out";
/// Minimum size of a whole value that is left out of an update of several streams: 50 ms on a link of
/// 10 Mbit/s, by which the other streams would be late.
constexpr std::size_t min_left_out_bytes = 64U << 10U;

/// Reads a time since an event, which has to lie on the boot clock.
milliseconds age_from(const Json::Value& value)
{
    const auto longest = std::chrono::duration_cast<milliseconds>(boot_clock::now().time_since_epoch());
    return std::clamp(milliseconds{value.asInt64()}, milliseconds{0}, longest);
}

Json::Value encode_difference(const text_difference& difference)
{
    Json::Value object;
    object["from"] = to_json(difference.from);
    object["to"] = to_json(difference.to);
    object["edits"] = Json::Value(Json::arrayValue);
    for (const auto& edit : difference.edits) {
        Json::Value row(Json::arrayValue);
        row.append(to_json(edit.offset));
        row.append(to_json(edit.removed));
        row.append(edit.inserted);
        object["edits"].append(std::move(row));
    }
    return object;
}

std::optional<text_difference> decode_difference(const Json::Value& object)
{
    if (!object.isObject() || !object["from"].isUInt64() || !object["to"].isUInt64() ||
        !object["edits"].isArray())
        return std::nullopt;
    text_difference difference{object["from"].asUInt64(), object["to"].asUInt64(), {}};
    for (const auto& row : object["edits"]) {
        if (!row.isArray() || row.size() != 3 || !row[0].isUInt64() || !row[1].isUInt64() ||
            !row[2].isString())
            return std::nullopt;
        difference.edits.push_back({row[0].asUInt64(), row[1].asUInt64(), row[2].asString()});
    }
    return difference;
}

Json::Value encode_row(const stream_record& record)
{
    Json::Value row(Json::arrayValue);
    row.append(to_json(record.position.offset));
    row.append(record.key);
    return row;
}

/// Encodes a record by the differences from the value that the receiver has.
/// @returns the row, or nothing if the differences are not known.
std::optional<Json::Value> encode_differences(const record_stream& stream, const stream_record& record,
                                              std::uint64_t known)
{
    const auto differences = stream.differences_since(record.key, known);
    if (known == 0 || (differences.empty() && stream.digest_of(record.key) != known))
        return std::nullopt;
    auto row = encode_row(record);
    auto& encoded = row.append(Json::Value(Json::arrayValue));
    for (const auto* difference : differences)
        encoded.append(encode_difference(*difference));
    return row;
}

/// Parses records of an update.
/// @param rows array of arrays: offset, key, and value or null.
/// @param into receives the records.
/// @returns false if the array is malformed.
bool decode_records(const Json::Value& rows, std::uint64_t era, bool held_back,
                    std::vector<stream_record>& into)
{
    for (const auto& row : rows) {
        if (!row.isArray() || row.size() != 3 || !row[0].isUInt64() || !row[1].isString() ||
            !(row[2].isNull() || row[2].isString()))
            return false;
        stream_record record{row[1].asString(), std::nullopt, {era, row[0].asUInt64()}, held_back};
        if (row[2].isString())
            record.value = row[2].asString();
        into.push_back(std::move(record));
    }
    return true;
}

/// Parses a record that is sent as differences.
std::variant<stream_record, error> decode_differences(const Json::Value& row, const record_stream& local,
                                                      std::uint64_t era)
{
    if (!row.isArray() || row.size() != 3 || !row[0].isUInt64() || !row[1].isString() || !row[2].isArray())
        return error{result_code::message_malformed, "expected an offset, a key and differences", ""};
    stream_record record{row[1].asString(), std::nullopt, {era, row[0].asUInt64()}};
    const auto* known = local.find(record.key);
    if (known == nullptr || !known->value)
        return error{result_code::message_malformed, "differences from an unknown value", record.key};
    auto differences = std::make_shared<std::vector<text_difference>>();
    auto digest = local.digest_of(record.key);
    for (const auto& item : row[2]) {
        auto difference = decode_difference(item);
        if (!difference || difference->from != digest)
            return error{result_code::message_malformed, "differences from another value", record.key};
        record.value = apply_difference(*difference, record.value ? *record.value : *known->value);
        if (!record.value)
            return error{result_code::message_malformed, "differences that do not lead to their digest",
                         record.key};
        digest = difference->to;
        differences->push_back(std::move(*difference));
    }
    if (differences->empty())
        record.value = known->value;
    record.differences = std::move(differences);
    return record;
}

} // namespace

Json::Value encode_update(const record_stream& stream, const stream_delta& delta,
                          const large_value_form& form)
{
    Json::Value object;
    object["snapshot"] = delta.snapshot;
    object["next"] = to_json(delta.next.offset);
    object["era"] = to_json(delta.next.era);
    object["age"] = Json::Value{static_cast<Json::Int64>(delta.age.count())};
    if (delta.outage_age)
        object["outage_age"] = Json::Value{static_cast<Json::Int64>(delta.outage_age->count())};
    object["records"] = Json::Value(Json::arrayValue);
    for (const auto& record : delta.records) {
        if (form.known && !record.held_back && record.value &&
            record.value->size() >= record_stream::min_large_value) {
            if (auto row = encode_differences(stream, record, *form.known)) {
                object[record_differences].append(std::move(*row));
                continue;
            }
            if (form.leaves_out && record.value->size() >= min_left_out_bytes) {
                Json::Value mark;
                mark[left_out] = true;
                return mark;
            }
        }
        auto row = encode_row(record);
        row.append(record.value ? Json::Value{*record.value} : Json::Value{});
        object[record.held_back ? held_back_records : "records"].append(std::move(row));
    }
    return object;
}

decoded_update decode_update(const Json::Value& object, const record_stream& local,
                             std::optional<std::uint64_t> only_era)
{
    const auto malformed = [](const char* what) {
        return error{result_code::message_malformed, what, "update"};
    };
    if (!object.isObject())
        return malformed("expected an object");
    if (object[left_out].isBool() && object[left_out].asBool())
        return update_left_out{};
    if (!object["snapshot"].isBool() || !object["next"].isUInt64() || !object["age"].isInt64() ||
        !object["records"].isArray())
        return malformed("expected \"snapshot\", \"next\", \"age\" and \"records\"");
    const auto& named_era = object["era"];
    const auto era = named_era.isUInt64() ? std::optional{named_era.asUInt64()} : only_era;
    if (!era || !(named_era.isUInt64() || named_era.isNull()))
        return malformed("the era is missing or not a number");
    stream_delta delta;
    delta.snapshot = object["snapshot"].asBool();
    delta.next = {*era, object["next"].asUInt64()};
    delta.age = age_from(object["age"]);
    if (object["outage_age"].isInt64())
        delta.outage_age = age_from(object["outage_age"]);
    const auto& held_back = object[held_back_records];
    const auto& differences = object[record_differences];
    if (!(held_back.isNull() || held_back.isArray()) || !(differences.isNull() || differences.isArray()) ||
        !decode_records(object["records"], *era, false, delta.records) ||
        !decode_records(held_back, *era, true, delta.records))
        return malformed("malformed records");
    for (const auto& row : differences) {
        auto decoded = decode_differences(row, local, *era);
        if (auto* problem = std::get_if<error>(&decoded))
            return std::move(*problem);
        delta.records.push_back(std::get<stream_record>(std::move(decoded)));
    }
    if (!held_back.empty() || !differences.empty())
        std::ranges::stable_sort(delta.records, {}, &stream_record::position);
    return delta;
}

std::optional<std::vector<std::uint64_t>> parse_numbers(std::string_view text)
{
    std::vector<std::uint64_t> numbers;
    const auto* at = text.data();
    const auto* const end = at + text.size();
    while (true) {
        const auto [rest, failed] = std::from_chars(at, end, numbers.emplace_back());
        if (failed != std::errc{} || (rest != end && *rest != ','))
            return std::nullopt;
        if (rest == end)
            return numbers;
        at = rest + 1;
    }
}

std::optional<log_position> position_from(const Json::Value& value, std::uint64_t era)
{
    return value.isUInt64() ? std::optional{log_position{era, value.asUInt64()}} : std::nullopt;
}

} // namespace teaseltally
