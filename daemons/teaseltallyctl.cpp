// Command line tool for operators.

#include <teaseltally/json.hpp>
#include <teaseltally/net/platform_client.hpp>
#include <teaseltally/snapshot.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <random>
#include <sstream>

DEFINE_string(platform, "", "IP:PORT of the platform's log service");
DEFINE_string(instance, "", "IP:PORT of the operator port of an instance");
DEFINE_int64(expect, -1, "version that the new configuration must replace; -1 replaces the current version");
DEFINE_bool(json, false, "print JSON instead of text; errors in a configuration are printed as both");
DEFINE_bool(undo, false, "with drain or declare: remove the setting that the command makes");

namespace {

using namespace teaseltally;
namespace http = boost::beast::http;

constexpr int exit_ok = 0;
constexpr int exit_invalid_or_different = 1;
constexpr int exit_usage = 2;
constexpr int exit_version_conflict = 3;
constexpr int exit_unreachable = 4;
/// Time limit for the response of an instance.
constexpr milliseconds request_timeout{5000};
/// Time limit for the log to show whether a publication was accepted.
constexpr milliseconds publish_timeout{10'000};
/// Time for which a read of the log waits for new records.
constexpr milliseconds log_read_wait{300};
/// Overlay that holds the changes of `drain` and `declare`. Its name sorts after those of the overlays of
/// data centres.
constexpr auto operator_overlay = "zz-operator.ini";

constexpr auto usage = R"(command line tool for operators of teaseltally

  teaseltallyctl check BASE.ini [OVERLAY.ini ...]
  teaseltallyctl diff    --platform=IP:PORT BASE.ini [OVERLAY.ini ...]
  teaseltallyctl publish --platform=IP:PORT [--expect=VERSION] BASE.ini [OVERLAY.ini ...]
  teaseltallyctl drain   --platform=IP:PORT [--undo] TARGET
  teaseltallyctl declare --platform=IP:PORT [--undo] target-lost NAME
  teaseltallyctl declare --platform=IP:PORT [--undo] data-centre-lost NAME
  teaseltallyctl declare --platform=IP:PORT voters-gone DATA_CENTRE EPOCH
  teaseltallyctl status  --instance=IP:PORT [--json]
  teaseltallyctl explain --instance=IP:PORT SERVICE KEY

Example:
  teaseltallyctl check examples/lagos/base.ini examples/lagos/ikeja.ini

Exit codes: 0 success; 1 invalid or rejected configuration, or differences found; 2 wrong usage;
3 version conflict with another operator; 4 the platform or the instance gave no usable answer.)";

/// Thrown to end the program with an exit code and a message.
struct command_failure {
    int exit_code;
    std::string message;
};

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw command_failure{exit_usage, "cannot read file \"" + path + "\""};
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

configuration_documents read_documents(std::span<const std::string> files)
{
    if (files.empty())
        throw command_failure{exit_usage, "no file given; expected BASE.ini [OVERLAY.ini ...]"};
    configuration_documents documents;
    documents.base = read_file(files.front());
    for (const auto& file : files.subspan(1))
        documents.overlays[file.substr(file.rfind('/') + 1)] = read_file(file);
    return documents;
}

/// Parses the documents. If they have errors, prints every error and throws a command_failure.
/// @returns the configuration.
configuration require_valid(const configuration_documents& documents)
{
    auto parsed = parse_configuration(documents);
    if (auto* valid_configuration = std::get_if<configuration>(&parsed))
        return std::move(*valid_configuration);
    const auto& configuration_errors = std::get<std::vector<error>>(parsed);
    if (FLAGS_json) {
        Json::Value out;
        for (const auto& reported_error : configuration_errors) {
            Json::Value entry;
            entry["code"] = static_cast<int>(reported_error.code);
            entry["source"] = reported_error.source;
            entry["message"] = reported_error.message;
            out["faults"].append(entry);
        }
        std::cout << json_text(out) << "\n";
    }
    for (const auto& reported_error : configuration_errors)
        std::cerr << to_string(reported_error) << "\n";
    throw command_failure{exit_invalid_or_different,
                          std::to_string(configuration_errors.size()) + " error(s) in the configuration"};
}

/// Runs a coroutine until it has completed.
/// @returns its result; rethrows its exception.
template <typename Value>
Value run_to_completion(asio::io_context& io, asio::awaitable<Value> task)
{
    std::optional<Value> result;
    std::exception_ptr thrown;
    asio::co_spawn(io, std::move(task), [&](std::exception_ptr exception, Value value) {
        thrown = exception;
        result = std::move(value);
        io.stop();
    });
    io.restart();
    io.run();
    if (thrown)
        std::rethrow_exception(thrown);
    return std::move(*result);
}

/// Client of the control stream: applies its records to a cluster state and publishes configurations.
class control_log_client {
public:
    control_log_client() : client_(io_.get_executor(), {})
    {
        const auto address = parse_endpoint(FLAGS_platform);
        if (const auto* problem = failure(address))
            throw command_failure{exit_usage, "--platform: " + problem->message};
        platform_.emplace(client_, std::get<tcp_endpoint>(address));
        load_state();
    }

    [[nodiscard]] const cluster_state& state() const { return state_; }

    /// Publishes documents and waits until the log shows whether they were accepted. Throws a command_failure
    /// if they were rejected, or if the log shows no decision within publish_timeout.
    void publish(const configuration_documents& documents)
    {
        require_valid(documents);
        const std::uint64_t expected =
            FLAGS_expect >= 0 ? static_cast<std::uint64_t>(FLAGS_expect) : state_.version();
        std::random_device device;
        const session_id session{(static_cast<std::uint64_t>(device()) << 31U | device()) | 1U};
        const std::string record = encode({session, 1, configuration_publish{expected, documents}});
        const auto deadline = boot_clock::now() + publish_timeout;
        while (boot_clock::now() < deadline) {
            (void)run_to_completion(io_, platform_->append("control", record));
            for (int reads = 0; reads < 4; ++reads) {
                if (const auto outcome = apply_next_page(session)) {
                    report_outcome(*outcome, expected);
                    return;
                }
            }
        }
        throw command_failure{exit_unreachable, "publication not confirmed by the log within " +
                                                    std::to_string(publish_timeout / milliseconds{1}) +
                                                    " ms; run the command again: "
                                                    "at most one publication is accepted for each version"};
    }

private:
    void report_outcome(const apply_outcome& outcome, std::uint64_t expected) const
    {
        if (outcome.code == result_code::ok) {
            std::cout << "version " << state_.version() << " accepted at epoch "
                      << number(state_.configured_at()) << "\n";
            return;
        }
        if (outcome.code == result_code::configuration_lost_race)
            throw command_failure{exit_version_conflict,
                                  "expected version " + std::to_string(expected) + ", but version " +
                                      std::to_string(state_.version()) + " is current"};
        throw command_failure{exit_invalid_or_different,
                              "rejected: " + std::string{name_of(outcome.code)} +
                                  "; the slots, cells, services and data centres of existing names "
                                  "cannot change and targets that own slots cannot be removed"};
    }

    void load_state()
    {
        snapshot_collector collector;
        for (epoch from{1};;) {
            const auto page = read_page("snapshots", from, milliseconds{0});
            if (page.entries.empty())
                break;
            for (const auto& entry : page.entries)
                collector.add(entry.text);
            from = epoch{number(page.entries.back().offset) + 1};
        }
        if (auto state = collector.newest())
            state_ = std::move(*state);
        while (true) {
            const auto before = state_.position();
            (void)apply_next_page(no_session);
            if (state_.position() == before)
                return;
        }
    }

    log_page read_page(const std::string& stream, epoch from, milliseconds wait)
    {
        auto response = run_to_completion(io_, platform_->read(stream, from, wait));
        if (const auto* problem = failure(response))
            throw command_failure{exit_unreachable, to_string(*problem)};
        return std::get<log_page>(std::move(response));
    }

    /// Applies the next page of records.
    /// @returns the outcome of the first record in the page that the session wrote, or nothing if it wrote
    /// none of them.
    std::optional<apply_outcome> apply_next_page(session_id session)
    {
        const epoch from{number(state_.position()) + 1};
        const auto page = read_page("control", from, session == no_session ? milliseconds{0} : log_read_wait);
        if (page.first > from)
            throw command_failure{
                exit_unreachable,
                "records before offset " + std::to_string(number(page.first)) +
                    " were deleted from the control stream, and no complete snapshot replaces them"};
        std::optional<apply_outcome> session_outcome;
        for (const auto& entry : page.entries) {
            const auto record = decode_record(entry.text, "control");
            if (failure(record) != nullptr) {
                state_.skip(entry.offset);
                continue;
            }
            const auto outcome = state_.apply(entry.offset, std::get<control_record>(record));
            if (session != no_session && std::get<control_record>(record).session == session &&
                !session_outcome)
                session_outcome = outcome;
        }
        return session_outcome;
    }

    asio::io_context io_{1};
    http_client client_;
    std::optional<platform_client> platform_;
    cluster_state state_;
};

std::string format_change(char sign, const std::string& file, const std::string& key,
                          const std::string& value)
{
    std::string line(1, sign);
    return line.append(" ").append(file).append(" ").append(key).append(" =").append(value);
}

/// Returns a line for each key that was removed (-), changed (~) or added (+).
std::vector<std::string> diff_documents(const configuration_documents& before,
                                        const configuration_documents& after)
{
    std::map<std::string, std::pair<std::string, std::string>> files{{"base.ini", {before.base, after.base}}};
    for (const auto& [file, text] : before.overlays)
        files[file].first = text;
    for (const auto& [file, text] : after.overlays)
        files[file].second = text;
    std::vector<std::string> changes;
    const auto parse_lines = [](const std::string& text) {
        std::map<std::string, std::string> values_by_key;
        std::istringstream input(text);
        std::string section;
        for (std::string line; std::getline(input, line);) {
            if (line.starts_with('['))
                section = line;
            else if (const auto equals = line.find('=');
                     equals != std::string::npos && !line.starts_with(';'))
                values_by_key[section + " " + line.substr(0, line.find_last_not_of(' ', equals - 1) + 1)] =
                    line.substr(equals + 1);
        }
        return values_by_key;
    };
    for (const auto& [file, texts] : files) {
        const auto old_lines = parse_lines(texts.first);
        const auto new_lines = parse_lines(texts.second);
        for (const auto& [key, value] : old_lines) {
            const auto found = new_lines.find(key);
            if (found == new_lines.end())
                changes.push_back(format_change('-', file, key, value));
            else if (found->second != value)
                changes.push_back(format_change('~', file, key, value).append(" ->").append(found->second));
        }
        for (const auto& [key, value] : new_lines) {
            if (!old_lines.contains(key))
                changes.push_back(format_change('+', file, key, value));
        }
    }
    return changes;
}

/// Sets a key of the operator overlay, or removes it with --undo.
void change_overlay(configuration_documents& documents, const std::string& section, const std::string& key,
                    const std::string& value)
{
    std::string& text = documents.overlays[operator_overlay];
    std::map<std::string, std::map<std::string, std::string>> sections;
    std::istringstream input(text);
    std::string current_section;
    for (std::string line; std::getline(input, line);) {
        if (line.starts_with('['))
            current_section = line.substr(1, line.size() - 2);
        else if (const auto equals = line.find(" = "); equals != std::string::npos)
            sections[current_section][line.substr(0, equals)] = line.substr(equals + 3);
    }
    if (FLAGS_undo)
        sections[section].erase(key);
    else
        sections[section][key] = value;
    text.clear();
    for (const auto& [name, keys] : sections) {
        if (keys.empty())
            continue;
        text.append("[").append(name).append("]\n");
        for (const auto& [name_of_key, value_of_key] : keys)
            text.append(name_of_key).append(" = ").append(value_of_key).append("\n");
    }
    if (text.empty())
        documents.overlays.erase(operator_overlay);
}

void change_and_publish(const std::string& section, const std::string& key, const std::string& value)
{
    control_log_client log;
    auto documents = log.state().documents();
    change_overlay(documents, section, key, value);
    log.publish(documents);
}

void drain(std::span<const std::string> arguments)
{
    if (arguments.size() != 1)
        throw command_failure{exit_usage, "drain: expected the name of one target, got " +
                                              std::to_string(arguments.size()) + " arguments"};
    change_and_publish("target." + arguments[0], "draining", "true");
}

void declare(std::span<const std::string> arguments)
{
    if (arguments.size() == 2 && arguments[0] == "target-lost")
        change_and_publish("target." + arguments[1], "lost", "true");
    else if (arguments.size() == 2 && arguments[0] == "data-centre-lost")
        change_and_publish("data_centre." + arguments[1], "lost", "true");
    else if (arguments.size() == 3 && arguments[0] == "voters-gone")
        change_and_publish("data_centre." + arguments[1], "voters_gone_before", arguments[2]);
    else
        throw command_failure{exit_usage, "declare: expected target-lost NAME, data-centre-lost NAME or "
                                          "voters-gone DATA_CENTRE EPOCH"};
}

std::string query_instance(const std::string& path)
{
    const auto address = parse_endpoint(FLAGS_instance);
    if (const auto* problem = failure(address))
        throw command_failure{exit_usage, "--instance: " + problem->message};
    asio::io_context io(1);
    http_client client(io.get_executor(), {});
    auto outcome = run_to_completion(io, client.exchange(std::get<tcp_endpoint>(address),
                                                         make_request(http::verb::get, path),
                                                         boot_clock::now() + request_timeout));
    if (const auto* exchange_failure = std::get_if<http_failure>(&outcome))
        throw command_failure{exit_unreachable, FLAGS_instance + ": " + exchange_failure->message};
    return std::get<http_response>(outcome).body();
}

/// Prints the status of an instance, its services and targets.
void print_status(const Json::Value& status)
{
    std::cout << "instance " << status["instance"].asString() << "  position "
              << status["position"].asUInt64() << "  configuration "
              << status["configuration"]["version"].asUInt64() << "  platform "
              << (status["platform_up"].asBool() ? "up" : "away") << "  sessions "
              << status["sessions"].size() << "  moves seen " << status["moves_seen"].asUInt64()
              << "  hot keys " << status["hot_keys"].asUInt64() << "\n";
    for (const auto& name : status["services"].getMemberNames()) {
        const auto& service = status["services"][name];
        std::cout << "  service " << name << "  imbalance "
                  << (service.isMember("imbalance") ? std::to_string(service["imbalance"].asDouble())
                                                    : "unknown")
                  << " over " << service["loads_known"].asUInt64() << " targets  last hour: moves "
                  << service["moves_last_hour"].asUInt64() << ", unavailable "
                  << service["unavailable_seconds_last_hour"].asUInt64() << " s\n";
    }
    for (const auto& target : status["targets"]) {
        std::cout << "  " << target["service"].asString() << "  " << target["name"].asString() << "  "
                  << (target["up"].asBool() ? "up" : "down") << (target["accepts"].asBool() ? "" : " leaving")
                  << "  slots " << target["slots_owned"].asUInt64() << "  dispatcher "
                  << target["dispatcher"].asUInt64() << "  busy " << target["busy_ms_per_s"].asUInt()
                  << " ms/s\n";
    }
}

void show_status()
{
    const std::string text = query_instance("/status");
    const auto parsed = parse_json(text, FLAGS_instance);
    if (const auto* problem = failure(parsed))
        throw command_failure{exit_unreachable, to_string(*problem)};
    if (FLAGS_json)
        std::cout << text;
    else
        print_status(std::get<Json::Value>(parsed));
}

int run_command(const std::string& command, std::span<const std::string> arguments)
{
    if (command == "check") {
        const auto valid_configuration = require_valid(read_documents(arguments));
        std::cout << "ok: " << valid_configuration.services.size() << " services, "
                  << valid_configuration.data_centres.size() << " data centres, "
                  << valid_configuration.targets.size() << " targets\n";
    }
    else if (command == "diff") {
        const auto documents = read_documents(arguments);
        require_valid(documents);
        const auto changes = diff_documents(control_log_client().state().documents(), documents);
        for (const auto& change : changes)
            std::cout << change << "\n";
        return changes.empty() ? exit_ok : exit_invalid_or_different;
    }
    else if (command == "publish")
        control_log_client().publish(read_documents(arguments));
    else if (command == "drain")
        drain(arguments);
    else if (command == "declare")
        declare(arguments);
    else if (command == "status")
        show_status();
    else if (command == "explain" && arguments.size() == 2)
        std::cout << query_instance("/explain?service=" + arguments[0] + "&key=" + arguments[1]);
    else
        throw command_failure{exit_usage,
                              "command \"" + command +
                                  "\" is unknown or has the wrong number of arguments; see --help"};
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty()) {
        std::cerr << usage << "\n";
        return exit_usage;
    }
    try {
        return run_command(arguments.front(), std::span{arguments}.subspan(1));
    }
    catch (const command_failure& failed_command) {
        std::cerr << "teaseltallyctl: " << failed_command.message << "\n";
        return failed_command.exit_code;
    }
}
