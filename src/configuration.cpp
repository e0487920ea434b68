#include <teaseltally/configuration.hpp>

#include <algorithm>
#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <functional>
#include <limits>
#include <numeric>
#include <set>
#include <sstream>

namespace teaseltally {
namespace {

using boost::property_tree::ptree;

/// Returns the minimum number of single-character edits that turn one name into the other.
std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t above = row[j];
            const std::size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            row[j] = std::min({row[j - 1] + 1, above + 1, substitution});
            diagonal = above;
        }
    }
    return row.back();
}

/// A value and the last document that set it.
struct located_value {
    std::string text;
    std::string file;
};

using section_values = std::map<std::string, located_value>;
using document_values = std::map<std::string, section_values>;

/// Collects errors with the file and section in which they were found.
class error_list {
public:
    void add(result_code code, const std::string& file, const std::string& section,
             const std::string& message)
    {
        errors_.push_back({code, message, file + " [" + section + "]"});
    }
    [[nodiscard]] bool empty() const { return errors_.empty(); }
    [[nodiscard]] std::vector<error> release() { return std::move(errors_); }

private:
    std::vector<error> errors_;
};

/// Parses an INI document; its values replace those that earlier documents set for the same keys.
void merge_document(const std::string& file, const std::string& text, document_values& values,
                    error_list& errors)
{
    ptree tree;
    std::istringstream input(text);
    try {
        boost::property_tree::read_ini(input, tree);
    }
    catch (const boost::property_tree::ini_parser_error& parse_error) {
        errors.add(result_code::configuration_unreadable, file + ":" + std::to_string(parse_error.line()), "",
                   parse_error.message());
        return;
    }
    for (const auto& [section, keys] : tree) {
        if (keys.empty() && !keys.data().empty()) {
            errors.add(result_code::configuration_unknown_key, file, "",
                       "key \"" + section + "\" is outside any section");
            continue;
        }
        auto& target = values[section];
        for (const auto& [key, value] : keys)
            target[key] = {value.data(), file};
    }
}

/// Reads the values of one section and reports the keys that were not read.
class section_reader {
public:
    section_reader(std::string section, const section_values& values, error_list& errors)
        : section_(std::move(section)), values_(values), errors_(errors)
    {
    }

    void read(const std::string& key, std::string& destination)
    {
        if (const auto* value = find(key))
            destination = value->text;
    }

    void read(const std::string& key, bool& destination)
    {
        const auto* value = find(key);
        if (value == nullptr)
            return;
        if (value->text == "true" || value->text == "false")
            destination = value->text == "true";
        else
            add_bad_value(key, *value, "true or false");
    }

    template <typename Number>
    requires std::is_integral_v<Number>
    void read(const std::string& key, Number& destination, std::uint64_t minimum, std::uint64_t maximum)
    {
        const auto* value = find(key);
        if (value == nullptr)
            return;
        std::uint64_t parsed = 0;
        const char* end = value->text.data() + value->text.size();
        const auto [number_end, conversion_error] = std::from_chars(value->text.data(), end, parsed);
        if (conversion_error != std::errc{} || number_end != end || parsed < minimum || parsed > maximum)
            add_bad_value(key, *value, std::to_string(minimum) + " to " + std::to_string(maximum));
        else
            destination = static_cast<Number>(parsed);
    }

    void read(const std::string& key, milliseconds& destination, std::uint64_t minimum, std::uint64_t maximum)
    {
        auto count = static_cast<std::uint64_t>(destination.count());
        read(key, count, minimum, maximum);
        destination = milliseconds{count};
    }

    void require(const std::string& key)
    {
        if (!values_.contains(key))
            errors_.add(result_code::configuration_missing, file(), section_,
                        "key \"" + key + "\" is missing");
    }

    void add_bad_value(const std::string& key, const located_value& value, const std::string& allowed)
    {
        errors_.add(result_code::configuration_bad_value, value.file, section_,
                    "key \"" + key + "\": value \"" + value.text + "\" is not allowed; allowed: " + allowed);
    }

    [[nodiscard]] const located_value* find(const std::string& key)
    {
        known_keys_.insert(key);
        const auto found = values_.find(key);
        return found == values_.end() ? nullptr : &found->second;
    }

    [[nodiscard]] std::string file() const
    {
        return values_.empty() ? std::string{"configuration"} : values_.begin()->second.file;
    }

    /// Reports each key that was not read, with the most similar known key.
    void report_unknown_keys()
    {
        for (const auto& [key, value] : values_) {
            if (known_keys_.contains(key))
                continue;
            const auto nearest =
                std::min_element(known_keys_.begin(), known_keys_.end(), [&key = key](auto& a, auto& b) {
                    return edit_distance(key, a) < edit_distance(key, b);
                });
            errors_.add(result_code::configuration_unknown_key, value.file, section_,
                        "key \"" + key + "\" is unknown; the nearest known key is \"" + *nearest + "\"");
        }
    }

private:
    std::string section_;
    const section_values& values_;
    error_list& errors_;
    std::set<std::string> known_keys_;
};

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream input(text);
    for (std::string item; std::getline(input, item, ',');) {
        const auto first = item.find_first_not_of(' ');
        if (first != std::string::npos)
            items.push_back(item.substr(first, item.find_last_not_of(' ') - first + 1));
    }
    return items;
}

constexpr std::uint64_t max_slots = 1'048'576;
constexpr std::uint64_t max_deadline_ms = 600'000;
/// Minimum isolation grace period other than zero.
constexpr milliseconds min_isolation_grace{3'000};

service_settings read_service(const std::string& name, section_reader& reader)
{
    service_settings service;
    service.name = name;
    reader.read("keyed", service.keyed);
    reader.read("slots", service.slots, 1, max_slots);
    std::string paths;
    reader.read("idempotent_paths", paths);
    service.idempotent_paths = split_list(paths);
    reader.read("deadline_ms", service.deadline, 1, max_deadline_ms);
    reader.read("max_deadline_ms", service.max_deadline, 1, max_deadline_ms);
    reader.read("queue", service.queue, 0, 65'536);
    reader.read("retry_percent", service.retry_percent, 0, 100);
    reader.read("hedge", service.hedge);
    reader.read("isolation_grace_ms", service.isolation_grace, 0, 86'400'000);
    if (const auto* value = reader.find("isolation_grace_ms");
        value && service.isolation_grace.count() > 0 && service.isolation_grace < min_isolation_grace)
        reader.add_bad_value("isolation_grace_ms", *value, "0, or 3000 to 86400000");
    if (const auto* value = reader.find("priority")) {
        if (value->text == "late_tolerant")
            service.priority = work_priority::late_tolerant;
        else if (value->text != "prompt")
            reader.add_bad_value("priority", *value, "prompt or late_tolerant");
    }
    return service;
}

data_centre_settings read_data_centre(const std::string& name, section_reader& reader)
{
    data_centre_settings data_centre;
    data_centre.name = name;
    reader.read("region", data_centre.region);
    reader.read("cells", data_centre.cells, 1, 256);
    reader.read("lost", data_centre.lost);
    reader.read("voters_gone_before", data_centre.voters_gone_before, 0,
                std::numeric_limits<std::int64_t>::max());
    return data_centre;
}

target_settings read_target(const std::string& name, section_reader& reader)
{
    target_settings target;
    target.name = name;
    for (const char* key : {"service", "data_centre", "address"})
        reader.require(key);
    reader.read("service", target.service);
    reader.read("data_centre", target.data_centre);
    reader.read("address", target.address);
    reader.read("slots", target.slots, 1, 4096);
    reader.read("connections", target.connections, 1, 4096);
    reader.read("checks_grants", target.checks_grants);
    reader.read("draining", target.draining);
    reader.read("lost", target.lost);
    return target;
}

deployment_settings read_deployment(section_reader& reader)
{
    deployment_settings deployment;
    reader.require("name");
    reader.read("name", deployment.name);
    reader.read("seed", deployment.seed, 0, std::numeric_limits<std::int64_t>::max());
    reader.read("churn_per_minute", deployment.churn_per_minute, 1, max_slots);
    reader.read("hot_keys", deployment.hot_keys, 0, 4096);
    reader.read("crashes_to_quarantine", deployment.crashes_to_quarantine, 1, 100);
    reader.read("quarantine_ms", deployment.quarantine, 1, 86'400'000);
    reader.read("mark_window_ms", deployment.mark_window, 1'000, 3'600'000);
    reader.read("retention_ms", deployment.retention, 1'000, 31'536'000'000);
    return deployment;
}

/// Checks that the services and data centres that targets name exist, that addresses contain a port, and that
/// `deadline_ms` does not exceed `max_deadline_ms`.
void check_references(const configuration& parsed, document_values& values, error_list& errors)
{
    for (const auto& target : parsed.targets) {
        const std::string section = "target." + target.name;
        section_reader reader(section, values[section], errors);
        if (const auto* value = reader.find("service"); value && !parsed.find_service(target.service))
            reader.add_bad_value("service", *value, "the name of a [service.NAME] section");
        if (const auto* value = reader.find("data_centre");
            value && !parsed.find_data_centre(target.data_centre))
            reader.add_bad_value("data_centre", *value, "the name of a [data_centre.NAME] section");
        if (const auto* value = reader.find("address"); value && value->text.find(':') == std::string::npos)
            reader.add_bad_value("address", *value, "IP:PORT");
    }
    for (const auto& service : parsed.services) {
        const std::string section = "service." + service.name;
        section_reader reader(section, values[section], errors);
        if (const auto* value = reader.find("deadline_ms"); value && service.deadline > service.max_deadline)
            reader.add_bad_value("deadline_ms", *value, "at most max_deadline_ms");
    }
}

template <typename Range>
auto find_named(const Range& range, std::string_view name) noexcept -> decltype(&*range.begin())
{
    const auto found =
        std::ranges::find(range, name, [](const auto& item) { return std::string_view{item.name}; });
    return found == range.end() ? nullptr : &*found;
}

} // namespace

const service_settings* configuration::find_service(std::string_view name) const noexcept
{
    return find_named(services, name);
}

const data_centre_settings* configuration::find_data_centre(std::string_view name) const noexcept
{
    return find_named(data_centres, name);
}

const target_settings* configuration::find_target(std::string_view name) const noexcept
{
    return find_named(targets, name);
}

parsed_configuration parse_configuration(const configuration_documents& documents)
{
    error_list errors;
    document_values values;
    merge_document("base.ini", documents.base, values, errors);
    for (const auto& [file, text] : documents.overlays)
        merge_document(file, text, values, errors);

    configuration parsed;
    for (const auto& [section, keys] : values) {
        section_reader reader(section, keys, errors);
        const auto dot = section.find('.');
        const std::string kind = section.substr(0, dot);
        const std::string name = dot == std::string::npos ? std::string{} : section.substr(dot + 1);
        if (section == "deployment")
            parsed.deployment = read_deployment(reader);
        else if (kind == "service" && !name.empty())
            parsed.services.push_back(read_service(name, reader));
        else if (kind == "data_centre" && !name.empty())
            parsed.data_centres.push_back(read_data_centre(name, reader));
        else if (kind == "target" && !name.empty())
            parsed.targets.push_back(read_target(name, reader));
        else {
            errors.add(result_code::configuration_unknown_key, reader.file(), section,
                       "section is unknown; expected deployment, service.NAME, data_centre.NAME or "
                       "target.NAME");
            continue;
        }
        reader.report_unknown_keys();
    }
    if (!values.contains("deployment"))
        errors.add(result_code::configuration_missing, "base.ini", "deployment", "section is missing");
    check_references(parsed, values, errors);
    if (!errors.empty())
        return errors.release();
    return parsed;
}

std::variant<instance_settings, std::vector<error>> parse_instance_settings(const std::string& text,
                                                                            const std::string& file)
{
    error_list errors;
    document_values values;
    merge_document(file, text, values, errors);
    constexpr std::uint64_t max_port = 65'535;
    instance_settings settings;
    section_reader reader("instance", values["instance"], errors);
    for (const char* key : {"name", "data_centre", "platform"})
        reader.require(key);
    reader.read("name", settings.name);
    reader.read("data_centre", settings.data_centre);
    reader.read("address", settings.address);
    reader.read("caller_port", settings.caller_port, 0, max_port);
    reader.read("peer_port", settings.peer_port, 0, max_port);
    reader.read("operator_port", settings.operator_port, 0, max_port);
    reader.read("platform", settings.platform);
    std::string peers;
    reader.read("peers", peers);
    settings.peers = split_list(peers);
    reader.read("log_file", settings.log_file);
    reader.read("log_level", settings.log_level);
    if (const auto* value = reader.find("log_level"); value && value->text != "info" &&
                                                      value->text != "warning" && value->text != "error" &&
                                                      value->text != "debug")
        reader.add_bad_value("log_level", *value, "debug, info, warning or error");
    reader.report_unknown_keys();
    if (!errors.empty())
        return errors.release();
    return settings;
}

} // namespace teaseltally
