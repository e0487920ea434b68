#include "deployment.hpp"

#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <iomanip>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

using teaseltally::json_text;
using teaseltally::make_response;
using teaseltally::sleep_for;

constexpr milliseconds read_check_interval{5};
constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_body_bytes = 128U << 20U;

teaseltally::http_server_limits server_limits()
{
    teaseltally::http_server_limits limits;
    limits.max_body_bytes = max_body_bytes;
    return limits;
}

tcp_endpoint any_port()
{
    return {asio::ip::make_address("127.0.0.1"), 0};
}

std::string text_of(const tcp_endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    while (bytes-- > 0)
        text += static_cast<char>(value >> (8 * bytes) & 0xffU);
    return text;
}

std::uint64_t parse_big_endian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes)
        value = value << 8U | static_cast<unsigned char>(byte);
    return value;
}

std::string encode_base64(const std::string& bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string query_value(std::string_view target, const std::string& name)
{
    auto query = target.substr(std::min(target.find('?'), target.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const auto pair = query.substr(0, query.find('&'));
        if (pair.starts_with(name + "="))
            return std::string{pair.substr(name.size() + 1)};
        query.remove_prefix(pair.size());
    }
    return {};
}

/// Returns a field by its path, such as "listen.front" or "internal-port-range.0".
const Json::Value* find_field(const Json::Value& fields, const std::string& path)
{
    const Json::Value* found = &fields;
    std::stringstream parts(path);
    for (std::string part; std::getline(parts, part, '.');) {
        if (found->isObject() && found->isMember(part))
            found = &(*found)[part];
        else if (found->isArray() && std::ranges::all_of(part, ::isdigit) && std::stoul(part) < found->size())
            found = &(*found)[static_cast<Json::ArrayIndex>(std::stoul(part))];
        else
            return nullptr;
    }
    return found;
}

std::string plain_text(const Json::Value& value)
{
    if (value.isString())
        return value.asString();
    if (!value.isArray())
        return value.isNull() ? "" : json_text(value);
    std::string text;
    for (const auto& element : value)
        text += (text.empty() ? "" : ",") + plain_text(element);
    return text;
}

/// Values of the placeholders inside a section.
struct section_entry {
    const Json::Value* value = nullptr;
    std::string name;
    bool last = true;
};

std::string render_part(std::string_view text, const Json::Value& fields, const section_entry& entry)
{
    std::string out;
    while (true) {
        const auto open = text.find("{{");
        if (open == std::string_view::npos)
            return out.append(text);
        out.append(text.substr(0, open));
        const auto close = text.find("}}", open);
        std::string name{text.substr(open + 2, close - open - 2)};
        text.remove_prefix(close + 2);
        if (name.starts_with('#') || name.starts_with('^')) {
            const bool inverted = name.front() == '^';
            name.erase(0, 1);
            const auto end_mark = "{{/" + name + "}}";
            const auto end = text.find(end_mark);
            const auto inner = text.substr(0, end);
            text.remove_prefix(end + end_mark.size());
            const auto* value = find_field(fields, name);
            const bool is_set =
                value != nullptr && !value->isNull() && !(value->isBool() && !value->asBool());
            if (inverted != is_set) {
                if (inverted || !(value->isArray() || value->isObject()))
                    out += render_part(inner, fields, entry);
                else
                    for (auto it = value->begin(); it != value->end(); ++it)
                        out += render_part(inner, fields,
                                           {&*it, value->isObject() ? it.name() : std::to_string(it.index()),
                                            std::next(it) == value->end()});
            }
            continue;
        }
        const bool as_json = name.ends_with("|json");
        if (as_json)
            name.resize(name.size() - 5);
        if (name == ",") {
            out += entry.last ? "" : ",";
            continue;
        }
        if (name == "@") {
            out += entry.name;
            continue;
        }
        const auto* value = name == "." ? (entry.value != nullptr ? entry.value : &fields) : nullptr;
        if (value == nullptr && entry.value != nullptr)
            value = find_field(*entry.value, name);
        if (value == nullptr)
            value = find_field(fields, name);
        if (value != nullptr)
            out += as_json ? json_text(*value) : plain_text(*value);
    }
}

/// Returns a free port of an address.
std::uint16_t free_port(asio::io_context& io, const asio::ip::address& address)
{
    const asio::ip::tcp::acceptor probe(io, {address, 0});
    return probe.local_endpoint().port();
}

} // namespace

void record_file::add(const std::string& line)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(boot_clock::now() - started_).count();
    file_ << std::setw(7) << elapsed << " ms  " << line << std::endl;
}

store::store(asio::io_context& io)
    : server_(io.get_executor(), any_port(), server_limits(),
              [this](http_request request) { return answer(std::move(request)); })
{
}

void store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    topics_[topic].push_back({key, value});
}

std::optional<std::string> store::newest(const std::string& topic, const std::string& key) const
{
    std::optional<std::string> value;
    if (const auto found = topics_.find(topic); found != topics_.end())
        for (const auto& written : found->second)
            if (written.key == key)
                value = written.value;
    return value;
}

asio::awaitable<http_response> store::answer(http_request request)
{
    const std::string target{request.target()};
    auto topic = query_value(target, "topic");
    if (target.starts_with("/api/log-newest"))
        co_return read_newest(topic);
    if (target.starts_with("/api/log-append"))
        co_return append(topic, request.body(), query_value(target, "as-of"));
    if (!target.starts_with("/api/log-read"))
        co_return make_response(404, "unknown call\n");
    const auto wait = query_value(target, "wait-ms");
    const auto from = std::stoull(query_value(target, "from"));
    co_return co_await read(std::move(topic), from, milliseconds{wait.empty() ? 0 : std::stoll(wait)});
}

asio::awaitable<http_response> store::read(std::string topic, std::uint64_t from, milliseconds wait)
{
    const auto until = boot_clock::now() + wait;
    while (topics_[topic].size() <= from && boot_clock::now() < until)
        co_await sleep_for(read_check_interval);
    const auto& records = topics_[topic];
    std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
    for (auto offset = from; offset < records.size(); ++offset) {
        const auto& [key, value] = records[offset];
        body += big_endian(1 + key.size() + value.size(), length_bytes);
        body += static_cast<char>(key.size());
        body += key + value;
    }
    co_return make_response(200, body, "application/octet-stream");
}

http_response store::read_newest(const std::string& topic) const
{
    std::map<std::string, std::uint64_t> offsets;
    const auto found = topics_.find(topic);
    const std::vector<record> none;
    const auto& records = found == topics_.end() ? none : found->second;
    for (std::uint64_t offset = 0; offset < records.size(); ++offset)
        offsets[records[offset].key] = offset;
    Json::Value body;
    body["items"] = Json::Value(Json::arrayValue);
    for (const auto& [key, offset] : offsets) {
        if (records[offset].value.empty())
            continue;
        Json::Value item;
        item["key"] = key;
        item["value"] = encode_base64(records[offset].value);
        item["offset"] = teaseltally::to_json(offset);
        body["items"].append(item);
    }
    body["more"] = false;
    body["end"] = teaseltally::to_json(records.size());
    return make_response(200, json_text(body), "application/json");
}

http_response store::append(const std::string& topic, const std::string& body, const std::string& as_of)
{
    auto& records = topics_[topic];
    Json::Value result;
    if (!as_of.empty() && std::stoull(as_of) != records.size()) {
        result["end"] = teaseltally::to_json(records.size());
        return make_response(412, json_text(result), "application/json");
    }
    result["offset"] = teaseltally::to_json(records.size());
    std::string_view rest = body;
    while (rest.size() > length_bytes) {
        const auto length = parse_big_endian(rest.substr(0, length_bytes));
        const auto content = rest.substr(length_bytes, length);
        const auto key_length = static_cast<unsigned char>(content.front());
        records.push_back(
            {std::string{content.substr(1, key_length)}, std::string{content.substr(1 + key_length)}});
        rest.remove_prefix(length_bytes + length);
    }
    result["end"] = teaseltally::to_json(records.size());
    return make_response(200, json_text(result), "application/json");
}

upstream::upstream(asio::io_context& io, store& registrations, record_file& record, std::string id,
                   std::string service, std::string zone)
    : record_(record), id_(std::move(id)),
      server_(io.get_executor(), any_port(), server_limits(),
              [this](http_request request) { return serve(std::move(request)); })
{
    Json::Value entry;
    entry["address"] = text_of(server_.local_endpoint());
    entry["info"]["service"] = service;
    entry["info"]["version"] = "v1";
    entry["info"]["zone"] = zone;
    entry["info"]["slots"] = 4;
    entry["status"]["state"] = "ready";
    entry["status"]["sequence"] = 1;
    entry["status"]["cold-remaining"] = "0ms";
    registrations.put("keyed.servers", id_, json_text(entry));
}

asio::awaitable<http_response> upstream::serve(http_request request)
{
    const std::string id{request["X-Request-Id"]};
    auto response = make_response(200, "done by " + id_ + "\n");
    response.set("X-Instance-Id", id_);
    if (request.target() == "/health")
        co_return response;
    if (id.empty()) {
        response.result(400);
        response.set("X-Not-Executed", "1");
        co_return response;
    }
    response.set("X-Request-Id", id);
    if (const auto expected = request["X-Expected-Instance"]; !expected.empty() && expected != id_) {
        response.result(421);
        response.set("X-Not-Executed", "1");
        co_return response;
    }
    const std::string work{request["X-Work-Ms"]};
    const std::string left{request["X-Deadline-Ms"]};
    const milliseconds work_time{work.empty() ? 0 : std::stoll(work)};
    const auto now = boot_clock::now();
    auto added = std::make_shared<run>(run{id, id_, now, now + work_time, {}});
    runs_.push_back(added);
    record_.add("run      " + id + " starts at " + id_ + ", work " + std::to_string(work_time.count()) +
                " ms, X-Deadline-Ms " + left);
    const auto allowed = left.empty() ? work_time : std::min(work_time, milliseconds{std::stoll(left)});
    co_await sleep_for(allowed);
    added->answered = boot_clock::now();
    if (allowed < work_time)
        response.result(504);
    response.set("X-Server-Signature", "receipt." + id);
    record_.add("run      " + id + " ends, status " + std::to_string(response.result_int()));
    co_return response;
}

std::string render(const std::string& text, const Json::Value& fields)
{
    return render_part(text, fields, {});
}

machine::machine(std::filesystem::path root, const std::filesystem::path& folder, unsigned number,
                 const std::string& zone, const Json::Value& site, const tcp_endpoint& store)
    : root_(std::move(root)), name_("front-" + zone + "-" + std::to_string(number))
{
    asio::io_context io;
    constexpr std::uint32_t loopback = 127U << 24U;
    constexpr std::uint32_t process_mask = 0xffffU;
    const asio::ip::address_v4 address{
        loopback | (static_cast<std::uint32_t>(::getpid()) & process_mask) << 8U | (10 + number)};
    front_ = {address, free_port(io, address)};
    ready_ = {address, free_port(io, address)};
    auto fields = site;
    fields["node-name"] = name_;
    fields["ip"] = address.to_string();
    fields["zone"] = zone;
    fields["internal-port-range"][0] = free_port(io, address);
    fields["listen"]["front"] = text_of(front_);
    fields["listen"]["ready"] = text_of(ready_);
    fields["provider"]["address"] = text_of(store);
    std::ifstream file(root_ / "deploy/instance.ini");
    std::stringstream text;
    text << file.rdbuf();
    settings_ = folder / (name_ + ".ini");
    output_ = folder / (name_ + ".log");
    std::ofstream(settings_) << render(text.str(), fields);
}

machine::~machine()
{
    if (has_ended())
        return;
    signal(SIGKILL);
    ::waitpid(process_, nullptr, 0);
}

void machine::start()
{
    std::string program = "target/platform/teaseltally-front";
    std::string config = "TEASELTALLY_CONFIG=" + settings_.string();
    std::array<char*, 2> arguments{program.data(), nullptr};
    std::array<char*, 2> environment{config.data(), nullptr};
    posix_spawn_file_actions_t files{};
    posix_spawn_file_actions_init(&files);
    constexpr mode_t mode = 0644;
    posix_spawn_file_actions_addchdir_np(&files, root_.c_str());
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, output_.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     mode);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    const auto path = (root_ / program).string();
    if (posix_spawn(&process_, path.c_str(), &files, nullptr, arguments.data(), environment.data()) != 0)
        process_ = -1;
    posix_spawn_file_actions_destroy(&files);
}

void machine::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

bool machine::has_ended()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = -1;
    return process_ <= 0;
}

double machine::memory_mb() const
{
    std::ifstream file("/proc/" + std::to_string(process_) + "/statm");
    double size = 0;
    double resident = 0;
    constexpr double bytes_per_mb = 1U << 20U;
    if (!(file >> size >> resident))
        return 0;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / bytes_per_mb;
}

asio::awaitable<bool> wait_until_ready(const machine& started)
{
    constexpr milliseconds limit{15'000};
    teaseltally::http_client prober(co_await asio::this_coro::executor, {});
    const auto until = boot_clock::now() + limit;
    while (boot_clock::now() < until) {
        auto request = teaseltally::make_request(http::verb::get, "/api/readiness");
        request.set(http::field::host, "platform");
        const auto deadline = boot_clock::now() + milliseconds{500};
        const auto outcome = co_await prober.exchange(started.ready(), std::move(request), deadline);
        if (const auto* response = std::get_if<http_response>(&outcome);
            response != nullptr && response->result_int() == 200)
            co_return true;
        co_await sleep_for(milliseconds{50});
    }
    co_return false;
}

asio::awaitable<answer> client::call(http_request request, milliseconds patience)
{
    answer result;
    result.id = std::string{request["X-Request-Id"]};
    result.sent = boot_clock::now();
    stream_.expires_after(patience);
    if (!connected_) {
        const auto [failed] = co_await stream_.async_connect(front_, as_result);
        result.ended = boot_clock::now();
        if (failed)
            co_return result;
        connected_ = true;
    }
    request.prepare_payload();
    static_cast<void>(co_await http::async_write(stream_, request, as_result));
    http_response response;
    const auto [unread, read] = co_await http::async_read(stream_, buffer_, response, as_result);
    result.ended = boot_clock::now();
    if (!unread) {
        result.status = response.result_int();
        result.is_signed = !response["X-Server-Signature"].empty();
    }
    if (unread || !response.keep_alive()) {
        stream_.close();
        buffer_.clear();
        connected_ = false;
    }
    co_return result;
}

http_request make_call(http::verb method, const std::string& host, const std::string& path,
                       const std::string& id, milliseconds deadline, milliseconds work, std::string body)
{
    auto request = teaseltally::make_request(method, path, std::move(body));
    request.set(http::field::host, host);
    request.set("X-Request-Id", id);
    request.set("X-Deadline-Ms", std::to_string(deadline.count()));
    request.set("X-Work-Ms", std::to_string(work.count()));
    return request;
}

} // namespace review
