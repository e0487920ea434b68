#include <teaseltally/records.hpp>

#include <teaseltally/json.hpp>

#include <functional>

namespace teaseltally {
namespace {

Json::Value body_json(const session_join& body)
{
    Json::Value out;
    out["type"] = "session_join";
    out["instance"] = body.instance;
    out["data_centre"] = body.data_centre;
    out["cell"] = body.voter_group;
    out["address"] = body.address;
    out["peer_port"] = body.peer_port;
    return out;
}

Json::Value body_json(const session_leave& body)
{
    Json::Value out;
    out["type"] = "session_leave";
    out["member"] = to_json(body.session);
    return out;
}

Json::Value body_json(const voter_change& body)
{
    Json::Value out;
    out["type"] = "voter_change";
    out["cell"] = body.voter_group;
    out["base"] = to_json(body.base);
    out["member"] = to_json(body.session);
    out["add"] = body.add;
    out["acknowledged"] = Json::Value{Json::arrayValue};
    for (const session_id voter : body.acknowledged)
        out["acknowledged"].append(to_json(voter));
    return out;
}

Json::Value body_json(const voter_challenge& body)
{
    Json::Value out;
    out["type"] = "voter_challenge";
    out["cell"] = body.voter_group;
    out["base"] = to_json(body.base);
    return out;
}

Json::Value body_json(const voter_reset& body)
{
    Json::Value out;
    out["type"] = "voter_reset";
    out["cell"] = body.voter_group;
    out["base"] = to_json(body.base);
    out["challenge"] = to_json(body.challenge);
    out["member"] = to_json(body.session);
    return out;
}

Json::Value body_json(const configuration_publish& body)
{
    Json::Value out;
    out["type"] = "configuration_publish";
    out["expected_version"] = to_json(body.expected_version);
    out["documents"]["base"] = body.documents.base;
    out["documents"]["overlays"] = Json::Value{Json::objectValue};
    for (const auto& [file, text] : body.documents.overlays)
        out["documents"]["overlays"][file] = text;
    return out;
}

Json::Value body_json(const slot_move& body)
{
    Json::Value out;
    out["type"] = "slot_move";
    out["service"] = to_json(body.service);
    out["slots"] = Json::Value{Json::arrayValue};
    for (const auto& entry : body.slots) {
        Json::Value triple{Json::arrayValue};
        triple.append(to_json(entry.slot));
        triple.append(to_json(entry.base));
        triple.append(to_json(entry.to));
        out["slots"].append(std::move(triple));
    }
    return out;
}

Json::Value body_json(const key_move& body)
{
    Json::Value out;
    out["type"] = "key_move";
    out["service"] = to_json(body.service);
    out["key"] = to_json(body.key);
    out["base"] = to_json(body.base);
    out["to"] = to_json(body.to);
    return out;
}

Json::Value body_json(const slots_released& body)
{
    Json::Value out;
    out["type"] = "slots_released";
    out["service"] = to_json(body.service);
    out["slots"] = Json::Value{Json::arrayValue};
    for (const auto& entry : body.slots) {
        Json::Value pair{Json::arrayValue};
        pair.append(to_json(entry.slot));
        pair.append(to_json(entry.since));
        out["slots"].append(std::move(pair));
    }
    return out;
}

Json::Value body_json(const key_released& body)
{
    Json::Value out;
    out["type"] = "key_released";
    out["service"] = to_json(body.service);
    out["key"] = to_json(body.key);
    out["since"] = to_json(body.since);
    return out;
}

Json::Value body_json(const target_report& body)
{
    Json::Value out;
    out["type"] = "target_report";
    out["target"] = to_json(body.target);
    out["base"] = to_json(body.base);
    out["up"] = body.condition == target_condition::up;
    return out;
}

Json::Value body_json(const log_heartbeat_record& body)
{
    Json::Value out;
    out["type"] = "cell_beat";
    out["cell"] = body.voter_group;
    return out;
}

Json::Value body_json(const voter_group_relinquish& body)
{
    Json::Value out;
    out["type"] = "cell_yield";
    out["cell"] = body.voter_group;
    out["service"] = to_json(body.service);
    out["base"] = to_json(body.base);
    return out;
}

session_join read_session_join(json_reader& reader)
{
    session_join body;
    body.instance = reader.string_at("instance");
    body.data_centre = reader.string_at("data_centre");
    body.voter_group = static_cast<std::uint32_t>(reader.unsigned_at("cell"));
    body.address = reader.string_at("address");
    body.peer_port = static_cast<std::uint16_t>(reader.unsigned_at("peer_port"));
    return body;
}

voter_change read_voter_change(json_reader& reader)
{
    voter_change body;
    body.voter_group = reader.string_at("cell");
    body.base = reader.id<epoch>("base");
    body.session = reader.id<session_id>("member");
    body.add = reader.bool_at("add");
    for (const auto& voter : reader.array_at("acknowledged")) {
        if (voter.isUInt64())
            body.acknowledged.push_back(session_id{voter.asUInt64()});
    }
    return body;
}

configuration_publish read_publish(json_reader& reader)
{
    configuration_publish body;
    body.expected_version = reader.unsigned_at("expected_version");
    const Json::Value& documents = reader.object_at("documents");
    if (documents["base"].isString())
        body.documents.base = documents["base"].asString();
    if (const Json::Value& overlays = documents["overlays"]; overlays.isObject()) {
        for (const auto& file : overlays.getMemberNames())
            body.documents.overlays[file] = overlays[file].isString() ? overlays[file].asString() : "";
    }
    return body;
}

/// Passes each row of `width` unsigned integers, of which the first has at most 32 bits, to `accept`. Stops
/// at the first malformed row and sets `valid` to false.
void read_rows(const Json::Value& rows, Json::ArrayIndex width, bool& valid,
               const std::function<void(const Json::Value&)>& accept)
{
    for (const auto& row : rows) {
        valid = valid && row.isArray() && row.size() == width;
        for (Json::ArrayIndex column = 0; valid && column < width; ++column)
            valid = row[column].isUInt64();
        valid = valid && row[0U].isUInt();
        if (!valid)
            return;
        accept(row);
    }
}

slot_move read_slot_move(json_reader& reader, bool& valid)
{
    slot_move body;
    body.service = reader.id<service_id>("service");
    read_rows(reader.array_at("slots"), 3, valid, [&](const Json::Value& row) {
        if (!row[2U].isUInt()) {
            valid = false;
            return;
        }
        body.slots.push_back(
            {slot_id{row[0U].asUInt()}, epoch{row[1U].asUInt64()}, target_id{row[2U].asUInt()}});
    });
    return body;
}

slots_released read_slots_released(json_reader& reader, bool& valid)
{
    slots_released body;
    body.service = reader.id<service_id>("service");
    read_rows(reader.array_at("slots"), 2, valid, [&](const Json::Value& row) {
        body.slots.push_back({slot_id{row[0U].asUInt()}, epoch{row[1U].asUInt64()}});
    });
    return body;
}

key_move read_key_move(json_reader& reader)
{
    return {reader.id<service_id>("service"), reader.id<key_hash>("key"), reader.id<epoch>("base"),
            reader.id<target_id>("to")};
}

target_report read_target_report(json_reader& reader)
{
    return {reader.id<target_id>("target"), reader.id<epoch>("base"),
            reader.bool_at("up") ? target_condition::up : target_condition::down};
}

} // namespace

std::string encode(const control_record& record)
{
    Json::Value out = std::visit([](const auto& body) { return body_json(body); }, record.body);
    out["session"] = to_json(record.session);
    out["sequence"] = to_json(record.sequence);
    return json_text(out);
}

result<control_record> decode_record(std::string_view text, std::string_view source)
{
    const auto parsed = parse_json(text, source);
    if (const auto* problem = failure(parsed))
        return *problem;
    json_reader reader(std::get<Json::Value>(parsed), source);
    control_record record;
    record.session = reader.id<session_id>("session");
    record.sequence = reader.unsigned_at("sequence");
    const std::string type = reader.string_at("type");
    bool valid = true;
    if (type == "session_join")
        record.body = read_session_join(reader);
    else if (type == "session_leave")
        record.body = session_leave{reader.id<session_id>("member")};
    else if (type == "voter_change")
        record.body = read_voter_change(reader);
    else if (type == "voter_reset")
        record.body = voter_reset{reader.string_at("cell"), reader.id<epoch>("base"),
                                  reader.id<epoch>("challenge"), reader.id<session_id>("member")};
    else if (type == "voter_challenge")
        record.body = voter_challenge{reader.string_at("cell"), reader.id<epoch>("base")};
    else if (type == "configuration_publish")
        record.body = read_publish(reader);
    else if (type == "slot_move")
        record.body = read_slot_move(reader, valid);
    else if (type == "key_move")
        record.body = read_key_move(reader);
    else if (type == "slots_released")
        record.body = read_slots_released(reader, valid);
    else if (type == "key_released")
        record.body = key_released{reader.id<service_id>("service"), reader.id<key_hash>("key"),
                                   reader.id<epoch>("since")};
    else if (type == "target_report")
        record.body = read_target_report(reader);
    else if (type == "cell_beat")
        record.body = log_heartbeat_record{reader.string_at("cell")};
    else if (type == "cell_yield")
        record.body = voter_group_relinquish{reader.string_at("cell"), reader.id<service_id>("service"),
                                             reader.id<epoch>("base")};
    else
        return error{result_code::message_malformed, "record type \"" + type + "\" is unknown",
                     std::string{source}};
    if (const auto* field_error = reader.first_error())
        return *field_error;
    if (!valid)
        return error{result_code::message_malformed,
                     "field \"slots\": malformed row; expected an array of unsigned integers",
                     std::string{source}};
    return record;
}

} // namespace teaseltally
