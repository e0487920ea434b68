#pragma once

// Stand-ins for the second review: the platform's store, upstreams, clients and the operator, and the processes of
// the deploy file. Everything listens on loopback addresses that belong to one run.

#include <boost/asio.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <json/json.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace world {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using request_message = http::request<http::string_body>;
using response_message = http::response<http::string_body>;

/// Interval of the upstreams' reports.
constexpr auto heartbeat = 1500ms;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline asio::awaitable<void> sleep_for(clock::duration time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(as_result);
}

/// Writes what was sent, answered and run.
class recorder {
public:
    explicit recorder(const std::string& path) : file_(path) {}
    template <typename... Parts>
    void line(const Parts&... parts)
    {
        const auto now = std::chrono::duration_cast<milliseconds>(clock::now() - began_).count();
        file_ << now << " ms";
        ((file_ << ' ' << parts), ...);
        file_ << std::endl;
    }

private:
    std::ofstream file_;
    clock::time_point began_ = clock::now();
};

/// Returns an address of this run.
inline asio::ip::address host(unsigned number)
{
    const auto process = static_cast<unsigned>(::getpid());
    return asio::ip::make_address("127." + std::to_string(64 + process % 128) + "." +
                                  std::to_string(process / 128 % 250 + 1) + "." + std::to_string(number));
}

inline std::string text_of(const tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

inline std::string json_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value parse_json(const std::string& text)
{
    Json::Value value;
    std::istringstream stream(text);
    Json::CharReaderBuilder builder;
    std::string errors;
    if (!Json::parseFromStream(builder, stream, &value, &errors))
        return {};
    return value;
}

inline response_message make_response(unsigned status, std::string body = {})
{
    response_message response{static_cast<http::status>(status), 11};
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

/// The platform's store: a log of keyed topics. Each machine has an endpoint of its own, so that the store can
/// turn single machines away.
class store {
public:
    enum class access { served, silent, busy };

    store(asio::io_context& io, unsigned machines)
    {
        for (unsigned machine = 0; machine < machines; ++machine) {
            auto acceptor = std::make_shared<tcp::acceptor>(
                io, tcp::endpoint{host(200 + machine), 8541});
            acceptors_.push_back(acceptor);
            access_.push_back(access::served);
            asio::co_spawn(io, accept(acceptor, machine), asio::detached);
        }
    }
    [[nodiscard]] std::string address(unsigned machine) const
    {
        return text_of(acceptors_.at(machine)->local_endpoint());
    }
    void set_access(unsigned machine, access value) { access_.at(machine) = value; }
    /// Appends a record of the operator or an upstream; no value drops the key.
    void put(const std::string& topic, const std::string& key, const std::string& value)
    {
        topics_[topic].push_back({key, value});
    }
    /// Returns the newest value of a key; empty if it has none.
    [[nodiscard]] std::string newest(const std::string& topic, const std::string& key)
    {
        const auto& records = topics_[topic];
        for (auto at = records.rbegin(); at != records.rend(); ++at)
            if (at->key == key)
                return at->value;
        return {};
    }

private:
    struct record {
        std::string key;
        std::string value;
    };

    static std::string query(std::string_view target, const std::string& name)
    {
        auto at = target.find('?');
        while (at != std::string_view::npos) {
            target.remove_prefix(at + 1);
            const auto pair = target.substr(0, target.find('&'));
            if (pair.starts_with(name + "="))
                return std::string{pair.substr(name.size() + 1)};
            at = target.find('&');
        }
        return {};
    }
    static std::string big_endian(std::uint64_t value, unsigned bytes)
    {
        std::string text;
        while (bytes-- > 0)
            text += static_cast<char>(value >> (8 * bytes) & 0xff);
        return text;
    }
    static std::string base64(const std::string& bytes)
    {
        std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
        text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
        return text;
    }

    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, unsigned machine)
    {
        while (true) {
            auto [failed, socket] = co_await acceptor->async_accept(as_result);
            if (failed)
                co_return;
            socket.set_option(tcp::no_delay(true));
            asio::co_spawn(co_await asio::this_coro::executor, serve(std::move(socket), machine),
                           asio::detached);
        }
    }
    asio::awaitable<void> serve(tcp::socket socket, unsigned machine)
    {
        beast::flat_buffer buffer;
        while (true) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(8U << 20U);
            if (const auto [failed, size] = co_await http::async_read(socket, buffer, parser, as_result);
                failed)
                co_return;
            // A call without an answer is not carried out; its connection carries nothing further.
            if (access_[machine] == access::silent) {
                while (access_[machine] == access::silent)
                    co_await sleep_for(20ms);
                co_return;
            }
            response_message response = make_response(503);
            if (access_[machine] == access::served)
                response = co_await answer(parser.release(), machine);
            if (access_[machine] == access::silent)
                co_return;
            response.prepare_payload();
            if (const auto [failed, size] = co_await http::async_write(socket, response, as_result); failed)
                co_return;
        }
    }
    asio::awaitable<response_message> answer(request_message request, unsigned machine)
    {
        const std::string target{request.target()};
        const auto topic = query(target, "topic");
        auto& records = topics_[topic];
        if (target.starts_with("/api/log-append")) {
            co_await sleep_for(1ms);
            const auto as_of = query(target, "as-of");
            Json::Value body;
            if (!as_of.empty() && std::stoull(as_of) != records.size()) {
                body["end"] = Json::UInt64{records.size()};
                co_return make_response(412, json_text(body));
            }
            body["offset"] = Json::UInt64{records.size()};
            for (std::string_view rest = request.body(); rest.size() > 4;) {
                std::size_t length = 0;
                for (int at = 0; at < 4; ++at)
                    length = length << 8U | static_cast<unsigned char>(rest[static_cast<std::size_t>(at)]);
                const auto content = rest.substr(4, length);
                const std::size_t key = static_cast<unsigned char>(content.front());
                records.push_back({std::string{content.substr(1, key)}, std::string{content.substr(1 + key)}});
                rest.remove_prefix(4 + length);
            }
            body["end"] = Json::UInt64{records.size()};
            co_return make_response(200, json_text(body));
        }
        if (target.starts_with("/api/log-newest")) {
            std::map<std::string, std::size_t> newest;
            for (std::size_t offset = 0; offset < records.size(); ++offset)
                newest[records[offset].key] = offset;
            Json::Value body;
            body["items"] = Json::Value(Json::arrayValue);
            for (const auto& [key, offset] : newest) {
                if (records[offset].value.empty())
                    continue;
                Json::Value item;
                item["key"] = key;
                item["value"] = base64(records[offset].value);
                item["offset"] = Json::UInt64{offset};
                body["items"].append(item);
            }
            body["more"] = false;
            body["end"] = Json::UInt64{records.size()};
            co_return make_response(200, json_text(body));
        }
        const auto from = std::stoull(query(target, "from"));
        const auto wait = query(target, "wait-ms");
        const auto until = clock::now() + milliseconds{wait.empty() ? 0 : std::stoll(wait)};
        while (records.size() <= from && clock::now() < until && access_[machine] == access::served)
            co_await sleep_for(5ms);
        std::string body = big_endian(records.size(), 8) + big_endian(0, 8);
        for (auto offset = from; offset < records.size(); ++offset) {
            const auto& [key, value] = records[offset];
            body += big_endian(1 + key.size() + value.size(), 4) + static_cast<char>(key.size()) + key + value;
        }
        co_return make_response(200, body);
    }

    std::vector<std::shared_ptr<tcp::acceptor>> acceptors_;
    std::vector<access> access_;
    std::map<std::string, std::vector<record>> topics_;
};

/// A request that an upstream has begun to work on.
struct run {
    std::string upstream;
    std::string id;
    std::optional<unsigned> key;
    clock::time_point began;
};

/// Time in which a life of an upstream held keys.
struct hold {
    std::string life;
    unsigned first = 0;
    unsigned last = 0;
    std::uint64_t fence = 0;
    clock::time_point from;
    clock::time_point until;
};

struct upstream_options {
    std::string service;
    std::string zone = "grandi";
    unsigned slots = 4;
    bool sharded = false;
    milliseconds work{30};
};

/// An upstream. Each life has a start time (`born`) of its own and keeps the id.
class upstream {
public:
    upstream(asio::io_context& io, store& platform, recorder& record, unsigned number, upstream_options options)
        : io_(io), store_(platform), record_(record), endpoint_(host(100 + number), 8080),
          id_("i-" + std::to_string(1000 + number)), options_(std::move(options))
    {
        start();
    }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::string life() const { return id_ + "/" + std::to_string(life_); }
    [[nodiscard]] const std::vector<run>& runs() const { return runs_; }
    [[nodiscard]] std::vector<hold>& holds() { return holds_; }
    [[nodiscard]] bool holds_any() const
    {
        return std::ranges::any_of(held_until_, [now = clock::now()](auto until) { return until > now; });
    }
    [[nodiscard]] bool is_working() const { return running_ > 0; }
    [[nodiscard]] unsigned refused_grants() const { return refused_grants_; }

    /// Starts a new life under the same id, which knows nothing of before.
    void start()
    {
        ++life_;
        running_ = 0;
        work_.clear();
        held_until_.assign(65'536, {});
        fences_.assign(65'536, 0);
        sequence_ = 1;
        born_ = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                    .count();
        acceptor_ = std::make_shared<tcp::acceptor>(io_, endpoint_);
        asio::co_spawn(io_, accept(acceptor_, life_), asio::detached);
        write_state("ready");
        record_.line("upstream", id_, "starts, life", life_);
    }
    /// Sets the address of the next lives.
    void set_address(const tcp::endpoint& endpoint) { endpoint_ = endpoint; }
    /// Ends the process as a crash does: its connections are reset, and it says nothing to the store, which
    /// removes the registration after three heartbeats.
    void crash()
    {
        record_.line("upstream", id_, "crashes, life", life_);
        end_holds(0, 65'535);
        beast::error_code ignored;
        acceptor_->close(ignored);
        for (const auto& socket : std::exchange(sockets_, {})) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
        running_life_ = 0;
        asio::co_spawn(io_, expire(life_), asio::detached);
    }
    /// Writes its entry again, as with the next report after another writer has changed the entry.
    void report() { write_state("ready"); }
    [[nodiscard]] std::string address() const { return text_of(endpoint_); }
    void report_draining()
    {
        write_state("draining");
        record_.line("upstream", id_, "reports draining");
    }
    /// Ends the process and removes its registration.
    void leave()
    {
        record_.line("upstream", id_, "leaves, life", life_);
        end_holds(0, 65'535);
        beast::error_code ignored;
        acceptor_->close(ignored);
        for (const auto& socket : std::exchange(sockets_, {}))
            socket->close(ignored);
        running_life_ = 0;
        store_.put("keyed.servers", id_, "");
    }

private:
    void write_state(const std::string& state)
    {
        Json::Value entry;
        entry["address"] = text_of(endpoint_);
        entry["born"] = Json::Int64{born_};
        entry["info"]["service"] = options_.service;
        entry["info"]["version"] = "v1";
        entry["info"]["zone"] = options_.zone;
        entry["info"]["slots"] = options_.slots;
        entry["status"]["state"] = state;
        entry["status"]["sequence"] = sequence_++;
        entry["status"]["cold-remaining"] = "0ms";
        store_.put("keyed.servers", id_, json_text(entry));
        running_life_ = life_;
    }
    asio::awaitable<void> expire(unsigned life)
    {
        co_await sleep_for(3 * heartbeat);
        if (life == life_)
            store_.put("keyed.servers", id_, "");
    }
    void end_holds(unsigned first, unsigned last)
    {
        const auto now = clock::now();
        std::vector<hold> rests;
        for (auto& held : holds_) {
            if (held.life != life() || held.until <= now || held.last < first || held.first > last)
                continue;
            if (held.first < first)
                rests.push_back({held.life, held.first, first - 1, held.fence, held.from, held.until});
            if (held.last > last)
                rests.push_back({held.life, last + 1, held.last, held.fence, held.from, held.until});
            held.until = now;
        }
        holds_.insert(holds_.end(), rests.begin(), rests.end());
    }
    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, unsigned life)
    {
        while (true) {
            auto [failed, socket] = co_await acceptor->async_accept(as_result);
            if (failed)
                co_return;
            socket.set_option(tcp::no_delay(true));
            auto shared = std::make_shared<tcp::socket>(std::move(socket));
            sockets_.insert(shared);
            asio::co_spawn(io_, serve(shared, life), asio::detached);
        }
    }
    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket, unsigned life)
    {
        beast::flat_buffer buffer;
        while (true) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            if (const auto [failed, size] = co_await http::async_read(*socket, buffer, parser, as_result);
                failed)
                break;
            // What arrives at a process that has ended has no effect.
            if (life != running_life_)
                break;
            auto response = co_await answer(parser.release());
            if (life != running_life_)
                break;
            response.set("X-Instance-Id", id_);
            response.prepare_payload();
            if (const auto [failed, size] = co_await http::async_write(*socket, response, as_result); failed)
                break;
        }
        sockets_.erase(socket);
    }
    asio::awaitable<response_message> answer(request_message request)
    {
        if (request.target() == "/health")
            co_return make_response(200);
        if (const auto expected = request["X-Expected-Instance"]; !expected.empty() && expected != id_)
            co_return make_response(421);
        if (request.target() == "/api/grant" || request.target() == "/api/release")
            co_return co_await answer_order(std::move(request));
        co_return co_await work(std::move(request));
    }
    asio::awaitable<response_message> answer_order(request_message request)
    {
        const auto order = parse_json(request.body());
        const bool grants = request.target() == "/api/grant";
        if (!order["from"].isUInt() || !order["target"].isUInt() || !order["fence"].isUInt64())
            co_return make_response(400);
        const auto first = order["from"].asUInt();
        const auto last = order["target"].asUInt();
        const auto fence = order["fence"].asUInt64();
        if (first > last || last > 65'535)
            co_return make_response(400);
        const auto now = clock::now();
        if (grants) {
            for (auto key = first; key <= last; ++key)
                if (fences_[key] > fence) {
                    ++refused_grants_;
                    co_return make_response(409);
                }
            const auto until = now + milliseconds{std::stoll(order["hold_time"].asString())};
            for (auto key = first; key <= last; ++key) {
                fences_[key] = fence;
                held_until_[key] = until;
            }
            add_hold({life(), first, last, fence, now, until});
            co_return make_response(200);
        }
        for (auto key = first; key <= last; ++key) {
            fences_[key] = std::max(fences_[key], fence);
            held_until_[key] = {};
        }
        record_.line("upstream", id_, "life", life_, "releases", first, "to", last, "fence", fence);
        end_holds(first, last);
        const auto life = life_;
        while (life == running_life_ && std::ranges::any_of(work_, [&](unsigned key) {
                   return key >= first && key <= last;
               }))
            co_await sleep_for(2ms);
        auto response = make_response(200);
        response.set("X-Handover", "h" + std::to_string(fence));
        co_return response;
    }
    void add_hold(hold added)
    {
        for (auto& held : holds_)
            if (held.life == added.life && held.first == added.first && held.last == added.last &&
                held.fence == added.fence && held.until > added.from) {
                held.until = added.until;
                return;
            }
        record_.line("upstream", id_, "life", life_, "takes", added.first, "to", added.last, "fence",
                     added.fence);
        holds_.push_back(std::move(added));
    }
    asio::awaitable<response_message> work(request_message request)
    {
        const std::string id{request["X-Request-Id"]};
        const auto refuse = [&](unsigned status) {
            auto response = make_response(status);
            response.set("X-Request-Id", id);
            response.set("X-Not-Executed", "1");
            return response;
        };
        if (id.empty())
            co_return refuse(400);
        std::optional<unsigned> key;
        if (options_.sharded) {
            key = static_cast<unsigned>(std::atoi(std::string{request["X-Shard-Key"]}.c_str()));
            if (*key > 65'535 || held_until_[*key] <= clock::now())
                co_return refuse(421);
        }
        if (running_ >= options_.slots * 4)
            co_return refuse(503);
        ++running_;
        const auto life = life_;
        if (key)
            work_.insert(*key);
        runs_.push_back({this->life(), id, key, clock::now()});
        record_.line("upstream", id_, "life", life_, "runs", id, "key", key ? int(*key) : -1);
        co_await sleep_for(options_.work);
        if (life != running_life_)
            co_return make_response(500);
        --running_;
        if (key)
            work_.erase(work_.find(*key));
        auto response = make_response(200, "done " + id + " by " + id_ + "\n");
        response.set("X-Request-Id", id);
        response.set("X-Server-Signature", "s." + id);
        response.set("X-Instance-Load", std::to_string(running_) + ",0," + std::to_string(options_.slots));
        co_return response;
    }

    asio::io_context& io_;
    store& store_;
    recorder& record_;
    tcp::endpoint endpoint_;
    std::string id_;
    upstream_options options_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::set<std::shared_ptr<tcp::socket>> sockets_;
    unsigned life_ = 0;
    unsigned running_life_ = 0;
    unsigned running_ = 0;
    unsigned refused_grants_ = 0;
    std::int64_t born_ = 0;
    unsigned sequence_ = 1;
    std::multiset<unsigned> work_;
    std::vector<clock::time_point> held_until_;
    std::vector<std::uint64_t> fences_;
    std::vector<run> runs_;
    std::vector<hold> holds_;
};

/// A process of the deploy file.
class front {
public:
    /// @param number machine, which has an address and an endpoint of the store of its own.
    front(recorder& record, store& platform, const std::filesystem::path& folder, unsigned number,
          const std::string& zone)
        : record_(record), name_("front-" + zone + "-" + std::to_string(number)), callers_(host(10 + number), 8548),
          ready_(host(10 + number), 8542), settings_(folder / (name_ + ".ini")), log_(folder / (name_ + ".log"))
    {
        const std::map<std::string, std::string> fields{
            {"node-name", name_},
            {"zone", zone},
            {"listen.front", text_of(callers_)},
            {"listen.ready", text_of(ready_)},
            {"ip", host(10 + number).to_string()},
            {"internal-port-range.0", "7540"},
            {"limits.max-fds", "4100"},
            {"limits.cpu-share", "0.2"},
            {"limits.memory-mb", "260"},
            {"provider.address", platform.address(number)},
            {"heartbeat", "1500ms"},
            {"bounds.config-apply", "2000ms"},
            {"bounds.grace", "6s"},
            {"bounds.hold-max", "10000ms"},
            {"bounds.retry-budget-ratio", "0.2"},
            {"bounds.budget-slack", "64"}};
        std::ifstream source("deploy/instance.ini");
        std::stringstream text;
        text << source.rdbuf();
        auto rest = text.str();
        std::string rendered;
        for (auto at = rest.find("{{"); at != std::string::npos; at = rest.find("{{")) {
            const auto end = rest.find("}}", at);
            const auto found = fields.find(rest.substr(at + 2, end - at - 2));
            rendered += rest.substr(0, at) + (found == fields.end() ? "" : found->second);
            rest.erase(0, end + 2);
        }
        std::ofstream(settings_) << rendered << rest;
    }
    ~front() { signal(SIGKILL); }
    front(const front&) = delete;
    front& operator=(const front&) = delete;

    void start()
    {
        static const std::string program = deployed_program();
        const auto variable = "TEASELTALLY_CONFIG=" + settings_.string();
        process_ = ::fork();
        if (process_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::close_range(3, ~0U, 0);
            char* arguments[] = {const_cast<char*>(program.c_str()), nullptr};
            char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
            ::execve(program.c_str(), arguments, environment);
            ::_exit(127);
        }
        record_.line("front", name_, "started");
    }
    void signal(int number)
    {
        if (process_ <= 0)
            return;
        record_.line("front", name_, "gets signal", number);
        ::kill(process_, number);
        if (number == SIGKILL) {
            ::waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }
    [[nodiscard]] bool has_ended()
    {
        if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_)
            process_ = -1;
        return process_ <= 0;
    }
    [[nodiscard]] const tcp::endpoint& callers() const { return callers_; }
    [[nodiscard]] const tcp::endpoint& ready() const { return ready_; }
    [[nodiscard]] const std::string& name() const { return name_; }

private:
    static std::string deployed_program()
    {
        std::ifstream file("deploy/system.toml");
        for (std::string line; std::getline(file, line);)
            if (line.starts_with("run = \""))
                return line.substr(7, line.rfind('"') - 7);
        return {};
    }

    recorder& record_;
    std::string name_;
    tcp::endpoint callers_;
    tcp::endpoint ready_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    pid_t process_ = -1;
};

/// Answer that a client got; status 0 if there was none.
struct answer {
    std::string id;
    unsigned status = 0;
    std::string signature;
    std::string body;
};

/// Sends a request over a new connection.
inline asio::awaitable<answer> call(tcp::endpoint to, request_message request, milliseconds patience)
{
    answer got;
    got.id = std::string{request["X-Request-Id"]};
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(patience);
    if (const auto [failed] = co_await stream.async_connect(to, as_result); failed)
        co_return got;
    request.prepare_payload();
    if (const auto [failed, size] = co_await http::async_write(stream, request, as_result); failed)
        co_return got;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    if (const auto [failed, size] = co_await http::async_read(stream, buffer, parser, as_result); failed)
        co_return got;
    got.status = parser.get().result_int();
    got.signature = std::string{parser.get()["X-Server-Signature"]};
    got.body = parser.get().body();
    co_return got;
}

inline request_message make_request(http::verb verb, const std::string& host_name, const std::string& target,
                                    const std::string& id, unsigned deadline_ms)
{
    request_message request{verb, target, 11};
    request.set(http::field::host, host_name);
    request.set("X-Request-Id", id);
    request.set("X-Deadline-Ms", std::to_string(deadline_ms));
    return request;
}

/// Returns a configuration. Rows as the page on the protocol shows them.
inline std::string configuration(const std::string& version, const std::string& routes, const std::string& services)
{
    return R"({"version":")" + version +
           R"(","routes":{"columns":["name","host","path-prefix","kind","timeout","target-latency","priority","backends","max-attempts","service"],"rows":[)" +
           routes +
           R"(]},"services":{"columns":["name","health-path","max-connections","protocol","tls","sharded","warm","grants"],"rows":[)" +
           services +
           R"(]},"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}})";
}

/// Runs a case in a temporary folder and ends its processes.
template <typename Case>
int run_case(int count, char** words, Case run)
{
    if (count != 2) {
        std::cerr << "usage: " << words[0] << " FOLDER\n";
        return could_not_run;
    }
    const char* trouble = std::getenv("TROUBLE");
    const bool troubled = trouble == nullptr || std::string{trouble} != "0";
    const auto folder =
        std::filesystem::temp_directory_path() / ("teaseltally-review-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    int result = could_not_run;
    try {
        asio::io_context io(1);
        recorder record(std::string{words[1]} + "/record.txt");
        record.line("trouble", troubled ? 1 : 0);
        asio::co_spawn(io, run(io, record, folder, troubled), [&](std::exception_ptr failed, int value) {
            result = failed ? could_not_run : value;
            if (failed)
                try {
                    std::rethrow_exception(failed);
                }
                catch (const std::exception& problem) {
                    std::cerr << problem.what() << "\n";
                }
            record.line("exit", result);
            io.stop();
        });
        io.run();
    }
    catch (const std::exception& problem) {
        std::cerr << problem.what() << "\n";
        result = could_not_run;
    }
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder);
    else
        std::cerr << folder << "\n";
    return result;
}

} // namespace world
