#include <teaseltally/json.hpp>
#include <teaseltally/knowledge/traffic_report.hpp>

#include <utility>

namespace teaseltally {
namespace {

/// Time without a report after which an instance is no longer counted. It exceeds the duration of network
/// partitions and restarts, so that limits that instances share still hold during them.
constexpr milliseconds reporter_timeout{15'000};
/// Maximum number of instances that one report may cover.
constexpr unsigned max_instances = 100'000;
/// Maximum sum of the service times in one report; the sum of those of `max_instances` does not overflow.
constexpr microseconds max_unqueued_total = std::chrono::hours{24};

/// Adds the request counts of a message to a report.
/// @returns false if they are malformed.
bool decode_requests(const Json::Value& load, traffic_report& out)
{
    for (const auto& service : load.getMemberNames()) {
        const auto& row = load[service];
        if (!row.isArray() || row.size() % 2 != 0)
            return false;
        auto& keys = out.requests[service];
        for (Json::ArrayIndex index = 0; index < row.size(); index += 2) {
            if (!row[index].isUInt() || row[index].asUInt() > last_key || !row[index + 1].isUInt())
                return false;
            keys[static_cast<key_number>(row[index].asUInt())] += row[index + 1].asUInt();
        }
    }
    return true;
}

/// Adds the speed samples of a message to a report.
/// @returns false if they are malformed.
bool decode_speeds(const Json::Value& speeds, traffic_report& out)
{
    for (const auto& target : speeds.getMemberNames()) {
        const auto& row = speeds[target];
        if (!row.isArray() || row.size() != 4 || !row[0].isUInt() || !row[1].isUInt() || !row[2].isUInt() ||
            !row[3].isInt64() || row[3].asInt64() < 0 || row[3].asInt64() > max_unqueued_total.count())
            return false;
        out.speeds[target] = {row[0].asUInt(), row[1].asUInt(), row[2].asUInt(),
                              microseconds{row[3].asInt64()}};
    }
    return true;
}

void encode_leaving(const std::set<std::string, std::less<>>& incarnations, Json::Value& out)
{
    for (const auto& incarnation : incarnations)
        out["leaving"].append(incarnation);
}

/// Reads the leaving targets of a message, which has none if the member is missing.
/// @returns false if they are malformed.
bool decode_leaving(const Json::Value& message, std::set<std::string, std::less<>>& out)
{
    const auto& incarnations = message["leaving"];
    if (incarnations.isNull())
        return true;
    if (!incarnations.isArray())
        return false;
    for (const auto& incarnation : incarnations) {
        if (!incarnation.isString())
            return false;
        out.insert(incarnation.asString());
    }
    return true;
}

} // namespace

void traffic_report::merge(const traffic_report& other)
{
    for (const auto& [service, keys] : other.requests) {
        auto& sums = requests[service];
        for (const auto& [key, count] : keys)
            sums[key] += count;
    }
    for (const auto& [target, samples] : other.speeds) {
        auto& sum = speeds[target];
        sum.answers += samples.answers;
        sum.saturated += samples.saturated;
        sum.unqueued += samples.unqueued;
        sum.unqueued_total += samples.unqueued_total;
    }
    leaving.insert(other.leaving.begin(), other.leaving.end());
}

std::string encode(const instance_report& report)
{
    Json::Value object;
    object["instance"] = report.instance;
    object["instances"] = report.instance_count;
    if (report.coordinator)
        object["coordinator"] = to_json(*report.coordinator);
    auto& load = object["load"] = Json::Value(Json::objectValue);
    for (const auto& [service, keys] : report.traffic.requests) {
        auto& row = load[service] = Json::Value(Json::arrayValue);
        for (const auto& [key, count] : keys) {
            row.append(key);
            row.append(count);
        }
    }
    auto& speed = object["speed"] = Json::Value(Json::objectValue);
    for (const auto& [target, samples] : report.traffic.speeds) {
        auto& row = speed[target] = Json::Value(Json::arrayValue);
        row.append(samples.answers);
        row.append(samples.saturated);
        row.append(samples.unqueued);
        row.append(Json::Value{static_cast<Json::Int64>(samples.unqueued_total.count())});
    }
    encode_leaving(report.traffic.leaving, object);
    return json_text(object);
}

std::optional<instance_report> decode_report(std::string_view text)
{
    const auto parsed = parse_json(text, "report");
    const auto* object = std::get_if<Json::Value>(&parsed);
    if (object == nullptr || !object->isObject() || !(*object)["instance"].isString() ||
        !(*object)["instances"].isUInt() || !(*object)["load"].isObject() || !(*object)["speed"].isObject())
        return std::nullopt;
    instance_report report;
    report.instance = (*object)["instance"].asString();
    report.instance_count = (*object)["instances"].asUInt();
    if (report.instance_count == 0 || report.instance_count > max_instances)
        return std::nullopt;
    if (const auto& session = (*object)["coordinator"]; session.isUInt64())
        report.coordinator = session.asUInt64();
    if (!decode_requests((*object)["load"], report.traffic) ||
        !decode_speeds((*object)["speed"], report.traffic) ||
        !decode_leaving(*object, report.traffic.leaving))
        return std::nullopt;
    return report;
}

std::string encode(const report_answer& answer)
{
    Json::Value object(Json::objectValue);
    if (answer.instance_count)
        object["instances"] = *answer.instance_count;
    encode_leaving(answer.leaving, object);
    return json_text(object);
}

std::optional<report_answer> decode_report_answer(std::string_view text)
{
    const auto parsed = parse_json(text, "report answer");
    const auto* object = std::get_if<Json::Value>(&parsed);
    if (object == nullptr || !object->isObject())
        return std::nullopt;
    report_answer answer;
    if (const auto& instances = (*object)["instances"]; instances.isUInt())
        answer.instance_count = instances.asUInt();
    else if (!instances.isNull())
        return std::nullopt;
    if (!decode_leaving(*object, answer.leaving))
        return std::nullopt;
    return answer;
}

void report_aggregator::add(const instance_report& report, time_point now)
{
    reporters_[report.instance] = {report.instance_count, now};
    pending_.merge(report.traffic);
}

traffic_report report_aggregator::extract_traffic()
{
    return std::exchange(pending_, {});
}

unsigned report_aggregator::instance_count(time_point now) const
{
    unsigned sum = 1;
    for (const auto& [name, reporter] : reporters_)
        if (now - reporter.received_at < reporter_timeout)
            sum += reporter.instance_count;
    return sum;
}

} // namespace teaseltally
