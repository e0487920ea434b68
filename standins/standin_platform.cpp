// Stand-in for the platform: log streams with offsets and limited retention, an instance list whose changes
// are delayed, and simulated faults that `POST /faults` switches on and off.

#include <teaseltally/json.hpp>
#include <teaseltally/net/http.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(port, 0, "port to listen on; 0 lets the system choose one");
DEFINE_string(port_file, "", "path of the file that the port is written to");
DEFINE_uint64(retention_ms, 3'600'000, "time in milliseconds for which a stream retains records");
DEFINE_uint64(appends_per_second, 500, "maximum number of appends per second over all streams");
DEFINE_int32(list_lag_ms, 3000,
             "time in milliseconds after which a change of the instance list becomes visible");

namespace {

using namespace teaseltally;
namespace http = boost::beast::http;

/// Maximum number of records in a page.
constexpr std::size_t max_page_records = 256;
/// Total size of records in bytes at which no further record is added to a page.
constexpr std::size_t max_page_bytes = 1U << 20U;

/// Simulated faults.
struct fault_switches {
    /// Whether requests for streams and the instance list get status 503.
    bool outage = false;
    /// Delay before a request for a stream or the instance list is handled.
    milliseconds delay{0};
    /// Number of further appends that are stored but answered with an error.
    std::uint64_t responses_to_lose = 0;
};

/// Stream with the records that it retains.
struct log_stream {
    std::uint64_t first_offset = 1;
    std::deque<std::string> records;
    std::deque<time_point> append_times;
    /// Returns the offset that the next append gets.
    [[nodiscard]] std::uint64_t next_offset() const { return first_offset + records.size(); }
};

/// Entry of the instance list. The latest value becomes visible list_lag_ms after its change.
struct instance_entry {
    Json::Value visible;
    Json::Value latest;
    time_point changed_at{};
};

/// Streams and instance list of the platform, kept in memory.
class standin_platform {
public:
    explicit standin_platform(asio::any_io_executor executor)
        : change_signal_(executor, asio::steady_timer::time_point::max())
    {
    }

    /// Handles requests for streams, the instance list, simulated faults and statistics.
    asio::awaitable<http_response> serve(http_request request)
    {
        const std::string target{request.target()};
        if (target == "/faults")
            co_return set_faults(request.body());
        if (target == "/statistics")
            co_return make_response(200, "{\"appends\":" + std::to_string(appends_) + "}");
        if (faults_.delay.count() > 0)
            co_await sleep_for(faults_.delay);
        if (faults_.outage)
            co_return make_response(503, "simulated outage\n");
        if (target.starts_with("/instances"))
            co_return serve_instances(request, target);
        if (!target.starts_with("/streams/"))
            co_return make_response(404, "unknown path " + target + "\n");
        const std::string path = target.substr(0, target.find('?'));
        const std::string name = path.substr(path.rfind('/') + 1);
        if (request.method() == http::verb::post)
            co_return append(name, std::move(request.body()));
        co_return co_await read(name, query_number(target, "from="),
                                milliseconds{query_number(target, "wait_ms=")});
    }

private:
    /// Returns the number that follows a name such as "from=" in the request target, or 0 if the name is
    /// absent.
    static std::uint64_t query_number(const std::string& target, const std::string& name)
    {
        const auto name_position = target.find(name);
        return name_position == std::string::npos
                   ? 0
                   : std::strtoull(target.c_str() + name_position + name.size(), nullptr, 10);
    }

    http_response set_faults(const std::string& body)
    {
        const auto parsed = parse_json(body, "faults");
        if (const auto* problem = failure(parsed))
            return make_response(400, to_string(*problem));
        const auto& value = std::get<Json::Value>(parsed);
        faults_.outage = value.get("outage", faults_.outage).asBool();
        faults_.delay = milliseconds{value.get("delay_ms", Json::Int64(faults_.delay.count())).asInt64()};
        faults_.responses_to_lose =
            value.get("lose_answers", Json::UInt64(faults_.responses_to_lose)).asUInt64();
        change_signal_.cancel();
        return make_response(200, "{}");
    }

    http_response append(const std::string& name, std::string text)
    {
        const auto current_second = boot_clock::now().time_since_epoch() / std::chrono::seconds{1};
        if (current_second != std::exchange(append_second_, current_second))
            appends_this_second_ = 0;
        if (++appends_this_second_ > FLAGS_appends_per_second)
            return make_response(429, "more than " + std::to_string(FLAGS_appends_per_second) +
                                          " appends per second\n");
        auto& stream = streams_[name];
        stream.records.push_back(std::move(text));
        ++appends_;
        const std::uint64_t offset = stream.next_offset() - 1;
        stream.append_times.push_back(boot_clock::now());
        remove_expired(stream);
        change_signal_.cancel();
        if (faults_.responses_to_lose > 0) {
            --faults_.responses_to_lose;
            return make_response(500, "record stored; response lost by a simulated fault\n");
        }
        return make_response(200, "{\"offset\":" + std::to_string(offset) + "}", "application/json");
    }

    static void remove_expired(log_stream& stream)
    {
        const auto oldest_retained = boot_clock::now() - milliseconds{FLAGS_retention_ms};
        while (!stream.append_times.empty() && stream.append_times.front() < oldest_retained) {
            stream.records.pop_front();
            stream.append_times.pop_front();
            ++stream.first_offset;
        }
    }

    asio::awaitable<http_response> read(std::string name, std::uint64_t from, milliseconds wait)
    {
        const auto deadline = boot_clock::now() + wait;
        while (streams_[name].next_offset() <= from && boot_clock::now() < deadline && !faults_.outage) {
            asio::steady_timer wait_timer(change_signal_.get_executor(), deadline - boot_clock::now());
            wait_timer.async_wait([this](boost::system::error_code timer_error) {
                if (!timer_error)
                    change_signal_.cancel();
            });
            co_await change_signal_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        if (faults_.outage)
            co_return make_response(503, "simulated outage\n");
        auto& stream = streams_[name];
        remove_expired(stream);
        Json::Value page;
        page["first"] = static_cast<Json::UInt64>(stream.first_offset);
        page["next"] = static_cast<Json::UInt64>(stream.next_offset());
        page["records"] = Json::Value{Json::arrayValue};
        std::size_t bytes = 0;
        for (std::uint64_t offset = std::max(from, stream.first_offset);
             offset < stream.next_offset() && page["records"].size() < max_page_records &&
             bytes < max_page_bytes;
             ++offset) {
            const auto& text = stream.records[offset - stream.first_offset];
            bytes += text.size();
            Json::Value row{Json::arrayValue};
            row.append(static_cast<Json::UInt64>(offset));
            row.append(text);
            page["records"].append(std::move(row));
        }
        co_return make_response(200, json_text(page), "application/json");
    }

    http_response serve_instances(const http_request& request, const std::string& target)
    {
        const auto now = boot_clock::now();
        const milliseconds lag{FLAGS_list_lag_ms};
        if (request.method() == http::verb::put) {
            auto parsed = parse_json(request.body(), "instance");
            if (const auto* problem = failure(parsed))
                return make_response(400, to_string(*problem));
            auto& entry = instances_[target.substr(target.rfind('/') + 1)];
            if (now >= entry.changed_at + lag)
                entry.visible = entry.latest;
            entry.latest = std::get<Json::Value>(parsed);
            entry.changed_at = now;
            return make_response(200, "{}");
        }
        Json::Value out;
        out["instances"] = Json::Value{Json::arrayValue};
        for (const auto& [name, entry] : instances_) {
            const auto& visible = now >= entry.changed_at + lag ? entry.latest : entry.visible;
            if (!visible.isNull())
                out["instances"].append(visible);
        }
        return make_response(200, json_text(out), "application/json");
    }

    /// Timer that never expires. It is cancelled to wake reads that wait for a new record or a change of
    /// faults.
    asio::steady_timer change_signal_;
    fault_switches faults_;
    std::map<std::string, log_stream> streams_;
    std::map<std::string, instance_entry> instances_;
    /// Second of the boot clock that appends_this_second_ refers to.
    std::int64_t append_second_ = 0;
    std::uint64_t appends_this_second_ = 0;
    std::uint64_t appends_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context io(1);
    standin_platform platform_server(io.get_executor());
    http_server_limits limits;
    limits.max_body_bytes = 16U << 20U;
    http_server server(io.get_executor(),
                       {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(FLAGS_port)}, limits,
                       [&](http_request request) { return platform_server.serve(std::move(request)); });
    if (!FLAGS_port_file.empty())
        std::ofstream(FLAGS_port_file) << server.local_endpoint().port() << "\n";
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    io.run();
}
