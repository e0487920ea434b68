#include <teaseltally/json.hpp>
#include <teaseltally/knowledge/traffic_report.hpp>

#include <utility>

namespace teaseltally {
namespace {

/// Silence after which an instance no longer counts: longer than cuts and restarts, so that limits which
/// instances share hold meanwhile.
constexpr milliseconds reporter_silence{15'000};
/// Greatest number of instances that one report may stand for.
constexpr unsigned most_instances = 100'000;

bool decode_requests(const Json::Value& load, traffic_report& into)
{
    for (const auto& service : load.getMemberNames()) {
        const auto& row = load[service];
        if (!row.isArray() || row.size() % 2 != 0)
            return false;
        auto& keys = into.requests[service];
        for (Json::ArrayIndex index = 0; index < row.size(); index += 2) {
            if (!row[index].isUInt() || row[index].asUInt() > last_key || !row[index + 1].isUInt())
                return false;
            keys[static_cast<key_number>(row[index].asUInt())] += row[index + 1].asUInt();
        }
    }
    return true;
}

bool decode_speeds(const Json::Value& speeds, traffic_report& into)
{
    for (const auto& target : speeds.getMemberNames()) {
        const auto& row = speeds[target];
        if (!row.isArray() || row.size() != 4 || !row[0].isUInt() || !row[1].isUInt() || !row[2].isUInt() ||
            !row[3].isInt64())
            return false;
        into.speeds[target] = {row[0].asUInt(), row[1].asUInt(), row[2].asUInt(),
                               microseconds{row[3].asInt64()}};
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
    for (const auto& [target, seen] : other.speeds) {
        auto& sum = speeds[target];
        sum.answers += seen.answers;
        sum.saturated += seen.saturated;
        sum.unqueued += seen.unqueued;
        sum.unqueued_total += seen.unqueued_total;
    }
}

std::string encode(const instance_report& report)
{
    Json::Value text;
    text["instance"] = report.instance;
    text["instances"] = report.instances;
    if (report.coordinator)
        text["coordinator"] = to_json(*report.coordinator);
    auto& load = text["load"] = Json::Value(Json::objectValue);
    for (const auto& [service, keys] : report.traffic.requests) {
        auto& row = load[service] = Json::Value(Json::arrayValue);
        for (const auto& [key, count] : keys) {
            row.append(key);
            row.append(count);
        }
    }
    auto& speed = text["speed"] = Json::Value(Json::objectValue);
    for (const auto& [target, samples] : report.traffic.speeds) {
        auto& row = speed[target] = Json::Value(Json::arrayValue);
        row.append(samples.answers);
        row.append(samples.saturated);
        row.append(samples.unqueued);
        row.append(Json::Value{static_cast<Json::Int64>(samples.unqueued_total.count())});
    }
    return json_text(text);
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
    report.instances = (*object)["instances"].asUInt();
    if (report.instances == 0 || report.instances > most_instances)
        return std::nullopt;
    if (const auto& session = (*object)["coordinator"]; session.isUInt64())
        report.coordinator = session.asUInt64();
    if (!decode_requests((*object)["load"], report.traffic) ||
        !decode_speeds((*object)["speed"], report.traffic))
        return std::nullopt;
    return report;
}

void report_collector::take(const instance_report& report, time_point now)
{
    reporters_[report.instance] = {report.instances, now};
    pending_.merge(report.traffic);
}

traffic_report report_collector::take_traffic()
{
    return std::exchange(pending_, {});
}

unsigned report_collector::instances(time_point now) const
{
    unsigned sum = 1;
    for (const auto& [name, reporter] : reporters_)
        if (now - reporter.heard < reporter_silence)
            sum += reporter.instances;
    return sum;
}

} // namespace teaseltally
