#include <teaseltally/json.hpp>
#include <teaseltally/peer_messages.hpp>

namespace teaseltally {
namespace {

/// Maximum number of claims, answers, entries or loads in a message.
constexpr Json::ArrayIndex max_rows = 4096;

/// Encodes each entry as a row of unsigned numbers.
template <typename Items, typename Columns>
Json::Value to_json_rows(const Items& items, Columns columns)
{
    Json::Value out{Json::arrayValue};
    for (const auto& item : items) {
        Json::Value row{Json::arrayValue};
        for (const std::uint64_t column : columns(item))
            row.append(to_json(column));
        out.append(std::move(row));
    }
    return out;
}

/// A row of unsigned numbers.
using number_row = std::vector<std::uint64_t>;

/// Decodes rows of `width` unsigned numbers. The columns `uint32_columns` must fit into 32 bits.
result<std::vector<number_row>> read_rows(const Json::Value& rows, std::size_t width,
                                          std::initializer_list<std::size_t> uint32_columns,
                                          std::string_view source)
{
    const auto malformed = [&] {
        return error{result_code::message_malformed,
                     "malformed rows: expected at most " + std::to_string(max_rows) + " rows of " +
                         std::to_string(width) + " unsigned numbers in range, got " +
                         std::to_string(rows.size()) + " rows",
                     std::string{source}};
    };
    if (rows.size() > max_rows)
        return malformed();
    std::vector<number_row> out;
    for (const auto& row : rows) {
        if (!row.isArray() || row.size() != width)
            return malformed();
        number_row& numbers = out.emplace_back();
        for (const auto& column : row) {
            if (!column.isUInt64())
                return malformed();
            numbers.push_back(column.asUInt64());
        }
        for (const std::size_t column : uint32_columns) {
            if (numbers[column] > std::numeric_limits<std::uint32_t>::max())
                return malformed();
        }
    }
    return out;
}

target_id to_target_id(std::uint64_t value)
{
    return target_id{static_cast<std::uint32_t>(value)};
}

std::string_view method_of(const lease_request&)
{
    return "lease_request";
}
std::string_view method_of(const lease_reply&)
{
    return "lease_reply";
}
std::string_view method_of(const lease_resign&)
{
    return "lease_resign";
}
std::string_view method_of(const release_notice&)
{
    return "release_notice";
}
std::string_view method_of(const load_report&)
{
    return "load_report";
}
std::string_view method_of(const quarantine_notice&)
{
    return "quarantine_notice";
}

void write_parameters(const lease_request& message, Json::Value& out)
{
    out["cell"] = message.cell;
    out["voters"] = to_json(message.voters);
    out["sequence"] = to_json(message.sequence);
    out["position"] = to_json(message.position);
    out["leaving"] = message.leaving;
    out["claims"] = to_json_rows(message.claims, [](const lease_claim& claim) {
        return number_row{number(claim.target), number(claim.term), claim.renewal ? 1U : 0U};
    });
}

void write_parameters(const lease_reply& message, Json::Value& out)
{
    out["cell"] = message.cell;
    out["voters"] = to_json(message.voters);
    out["sequence"] = to_json(message.sequence);
    out["position"] = to_json(message.position);
    out["beat"] = to_json(message.beat);
    out["beat_age"] = to_json(static_cast<std::uint64_t>(message.beat_age.count()));
    out["answers"] = to_json_rows(message.answers, [](const lease_answer& answer) {
        return number_row{number(answer.target), number(answer.term), answer.granted ? 1U : 0U,
                          number(answer.holder), number(answer.highest)};
    });
}

void write_parameters(const lease_resign& message, Json::Value& out)
{
    out["cell"] = message.cell;
    out["target"] = to_json(message.target);
    out["term"] = to_json(message.term);
    out["successor"] = to_json(message.successor);
    out["clean"] = message.clean;
}

void write_parameters(const release_notice& message, Json::Value& out)
{
    out["entries"] = to_json_rows(message.entries, [](const release_entry& entry) {
        return number_row{number(entry.service), entry.slot_or_key, entry.hot ? 1U : 0U, number(entry.since)};
    });
}

void write_parameters(const load_report& message, Json::Value& out)
{
    const auto columns = [](const load_entry& entry) { return number_row{entry.slot_or_key, entry.load}; };
    out["target"] = to_json(message.target);
    out["load"] = message.load;
    out["slots"] = to_json_rows(message.slots, columns);
    out["keys"] = to_json_rows(message.keys, columns);
}

void write_parameters(const quarantine_notice& message, Json::Value& out)
{
    out["fingerprint"] = to_json(message.fingerprint);
    out["crashes"] = message.crashes;
}

result<peer_message> read_lease_request(json_reader& reader)
{
    lease_request message;
    message.from = reader.id<session_id>("from");
    message.cell = reader.string_at("cell");
    message.voters = reader.id<epoch>("voters");
    message.sequence = reader.unsigned_at("sequence");
    message.position = reader.id<epoch>("position");
    message.leaving = reader.bool_at("leaving");
    const auto rows = read_rows(reader.array_at("claims"), 3, {0}, "lease_request");
    if (const auto* problem = failure(rows))
        return *problem;
    for (const auto& row : std::get<0>(rows))
        message.claims.push_back({to_target_id(row[0]), term{row[1]}, row[2] != 0});
    return message;
}

result<peer_message> read_lease_reply(json_reader& reader)
{
    lease_reply message;
    message.from = reader.id<session_id>("from");
    message.cell = reader.string_at("cell");
    message.voters = reader.id<epoch>("voters");
    message.sequence = reader.unsigned_at("sequence");
    message.position = reader.id<epoch>("position");
    message.beat = reader.id<epoch>("beat");
    message.beat_age = milliseconds{reader.unsigned_at("beat_age")};
    const auto rows = read_rows(reader.array_at("answers"), 5, {0}, "lease_reply");
    if (const auto* problem = failure(rows))
        return *problem;
    for (const auto& row : std::get<0>(rows))
        message.answers.push_back(
            {to_target_id(row[0]), term{row[1]}, row[2] != 0, session_id{row[3]}, term{row[4]}});
    return message;
}

result<peer_message> read_release_notice(json_reader& reader)
{
    release_notice message;
    message.from = reader.id<session_id>("from");
    const auto rows = read_rows(reader.array_at("entries"), 4, {0}, "release_notice");
    if (const auto* problem = failure(rows))
        return *problem;
    for (const auto& row : std::get<0>(rows))
        message.entries.push_back(
            {service_id{static_cast<std::uint32_t>(row[0])}, row[1], row[2] != 0, epoch{row[3]}});
    return message;
}

result<peer_message> read_load_report(json_reader& reader)
{
    load_report message;
    message.from = reader.id<session_id>("from");
    message.target = reader.id<target_id>("target");
    message.load = static_cast<std::uint32_t>(reader.unsigned_at("load"));
    for (auto [key, items] : {std::pair{"slots", &message.slots}, std::pair{"keys", &message.keys}}) {
        const auto rows = read_rows(reader.array_at(key), 2, {1}, "load_report");
        if (const auto* problem = failure(rows))
            return *problem;
        for (const auto& row : std::get<0>(rows))
            items->push_back({row[0], static_cast<std::uint32_t>(row[1])});
    }
    return message;
}

result<peer_message> read_message(std::string_view method, json_reader& reader)
{
    if (method == "lease_request")
        return read_lease_request(reader);
    if (method == "lease_reply")
        return read_lease_reply(reader);
    if (method == "lease_resign")
        return lease_resign{reader.id<session_id>("from"),      reader.string_at("cell"),
                            reader.id<target_id>("target"),     reader.id<term>("term"),
                            reader.id<session_id>("successor"), reader.bool_at("clean")};
    if (method == "release_notice")
        return read_release_notice(reader);
    if (method == "load_report")
        return read_load_report(reader);
    if (method == "quarantine_notice")
        return quarantine_notice{reader.id<session_id>("from"), reader.unsigned_at("fingerprint"),
                                 static_cast<std::uint32_t>(reader.unsigned_at("crashes"))};
    return error{result_code::message_malformed, "unknown method \"" + std::string{method} + "\"", "peer"};
}

} // namespace

std::string encode(const peer_message& message)
{
    Json::Value out;
    out["jsonrpc"] = "2.0";
    std::visit(
        [&](const auto& body) {
            out["method"] = std::string{method_of(body)};
            out["params"]["from"] = to_json(body.from);
            write_parameters(body, out["params"]);
        },
        message);
    return json_text(out);
}

result<peer_message> decode_peer_message(std::string_view method, const Json::Value& parameters)
{
    json_reader reader(parameters, method);
    auto message = read_message(method, reader);
    if (const auto* fault = reader.first_error())
        return *fault;
    return message;
}

result<peer_message> decode_notification(std::string_view text)
{
    const auto parsed = parse_json(text, "peer");
    if (const auto* problem = failure(parsed))
        return *problem;
    const auto& value = std::get<Json::Value>(parsed);
    json_reader reader(value, "peer");
    const std::string method = reader.string_at("method");
    const auto& parameters = reader.object_at("params");
    if (const auto* fault = reader.first_error())
        return *fault;
    return decode_peer_message(method, parameters);
}

} // namespace teaseltally
