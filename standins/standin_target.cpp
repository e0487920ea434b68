// Stand-in for a target. It simulates slots, cold start, draining, load shedding, cancellation, deadlines,
// crashes and, with --checks, checks of grants. It writes a history line for each start and end of a request.

#include <teaseltally/json.hpp>
#include <teaseltally/net/http.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <limits>

DEFINE_int32(port, 0, "port to listen on; 0 lets the system choose one");
DEFINE_string(port_file, "", "path of the file that the port is written to");
DEFINE_string(name, "target", "name of the target in the history");
DEFINE_string(history, "", "path of the history file; empty writes none");
DEFINE_bool(checks, false, "refuse requests without a valid grant");
DEFINE_uint64(slots, 4, "maximum number of requests that run at a time");
DEFINE_int32(service_us, 2000, "service time in microseconds");
DEFINE_int32(cold_ms, 0,
             "time in milliseconds after the start during which requests take cold_factor times as long");
DEFINE_int32(cold_factor, 10, "factor of the service time during cold_ms");

namespace {

using namespace teaseltally;
namespace http = boost::beast::http;

/// Fencing token of a dispatcher. A token that is less than the greatest accepted token is stale.
using fencing_token = std::pair<std::uint64_t, std::uint64_t>;

/// Returns the time of the boot clock in microseconds.
std::int64_t boot_clock_us()
{
    return boot_clock::now().time_since_epoch().count();
}

/// Target that keeps its grants in memory and executes requests by waiting.
class standin_target {
public:
    standin_target() : started_(boot_clock::now())
    {
        if (!FLAGS_history.empty())
            history_ = std::fopen(FLAGS_history.c_str(), "a");
    }
    ~standin_target()
    {
        if (history_ != nullptr)
            std::fclose(history_);
    }
    standin_target(const standin_target&) = delete;
    standin_target& operator=(const standin_target&) = delete;
    standin_target(standin_target&&) = delete;
    standin_target& operator=(standin_target&&) = delete;

    /// Handles the requests of dispatchers and the test control.
    asio::awaitable<http_response> serve(http_request request)
    {
        const std::string path{request.target()};
        if (path == "/tt/grants")
            co_return handle_grant(request.body());
        if (path == "/tt/revoke")
            co_return handle_revoke(request.body());
        if (path == "/tt/control")
            co_return handle_control(request.body());
        co_return co_await execute(std::move(request));
    }

private:
    /// Returns the clock of the target in milliseconds. Deadlines and expiry times of grants refer to it.
    [[nodiscard]] std::uint64_t clock_ms() const
    {
        return static_cast<std::uint64_t>((boot_clock::now() - started_) / milliseconds{1}) + 1'000'000;
    }

    http_response status_response(unsigned status)
    {
        Json::Value out;
        out["clock_ms"] = static_cast<Json::UInt64>(clock_ms());
        out["granted"] = static_cast<Json::UInt64>(granted_epochs_.size());
        out["draining"] = draining_;
        out["running"] = static_cast<Json::UInt64>(reports_idle_ ? 0 : running_requests_);
        return make_response(status, json_text(out), "application/json");
    }

    static http_response refusal_response(unsigned status, const std::string& reason)
    {
        auto response = make_response(status, reason + "\n");
        response.set("tt-refused", reason);
        return response;
    }

    /// Records a token that is not stale.
    /// @returns false if the token is malformed or stale.
    bool accept_token(const Json::Value& pair)
    {
        if (!pair.isArray() || pair.size() != 2)
            return false;
        const fencing_token token{pair[0U].asUInt64(), pair[1U].asUInt64()};
        if (token < token_)
            return false;
        token_ = token;
        return true;
    }

    http_response handle_grant(const std::string& body)
    {
        const auto parsed = parse_json(body, "grant");
        if (failure(parsed) != nullptr || !FLAGS_checks)
            return status_response(200);
        const auto& value = std::get<Json::Value>(parsed);
        if (!accept_token(value["token"]))
            return status_response(409);
        if (const auto expires = value["expires_at_ms"].asUInt64(); expires > 0)
            grants_expire_at_ms_ = expires;
        for (const auto& entry : value["slots"]) {
            auto& min_epoch = min_epochs_[entry[0U].asString()];
            if (entry[1U].asUInt64() < min_epoch)
                continue;
            granted_epochs_[entry[0U].asString()] = entry[1U].asUInt64();
        }
        return status_response(200);
    }

    http_response handle_revoke(const std::string& body)
    {
        const auto parsed = parse_json(body, "revoke");
        if (failure(parsed) != nullptr)
            return status_response(400);
        const auto& value = std::get<Json::Value>(parsed);
        if (!accept_token(value["token"]))
            return status_response(409);
        bool idle = true;
        for (const auto& entry : value["slots"]) {
            const std::string name = entry[0U].asString();
            auto& min_epoch = min_epochs_[name];
            min_epoch = std::max<std::uint64_t>(min_epoch, entry[1U].asUInt64());
            granted_epochs_.erase(name);
            idle = idle && running_by_slot_or_key_[name] == 0;
        }
        return status_response(idle ? 200 : 202);
    }

    http_response handle_control(const std::string& body)
    {
        const auto parsed = parse_json(body, "control");
        if (const auto* problem = failure(parsed))
            return make_response(400, to_string(*problem));
        const auto& value = std::get<Json::Value>(parsed);
        draining_ = value.get("draining", draining_).asBool();
        slowness_ = value.get("slowness", slowness_).asDouble();
        reports_idle_ = value.get("claims_idle", reports_idle_).asBool();
        if (const auto freeze = value.get("freeze_ms", 0).asInt64(); freeze > 0) {
            const timespec pause{freeze / 1000, freeze % 1000 * 1'000'000};
            nanosleep(&pause, nullptr);
        }
        return status_response(200);
    }

    /// Returns the reason to refuse a request, or an empty string if the request may run.
    std::string refusal_reason(const http_request& request)
    {
        const std::string deadline{request["tt-deadline-at"]};
        if (!deadline.empty() && std::strtoull(deadline.c_str(), nullptr, 10) <= clock_ms())
            return "deadline";
        if (draining_)
            return "draining";
        if (FLAGS_checks) {
            const std::string token{request["tt-token"]};
            const auto dot = token.find('.');
            const fencing_token request_token{
                std::strtoull(token.c_str(), nullptr, 10),
                dot == std::string::npos ? 0 : std::strtoull(token.c_str() + dot + 1, nullptr, 10)};
            if (request_token < token_)
                return "token";
            token_ = request_token;
            const std::string slot_or_key{request["tt-item"]};
            const auto granted = granted_epochs_.find(slot_or_key);
            const auto owner_epoch = std::strtoull(std::string{request["tt-epoch"]}.c_str(), nullptr, 10);
            if (!slot_or_key.empty() && (granted == granted_epochs_.end() || granted->second != owner_epoch ||
                                         clock_ms() >= grants_expire_at_ms_))
                return "grant";
        }
        return running_requests_ >= FLAGS_slots ? "shed" : "";
    }

    void write_history(const char* event, const std::string& id, const std::string& slot_or_key,
                       const std::string& key, const std::string& owner_epoch)
    {
        if (history_ == nullptr)
            return;
        std::fprintf(history_, "%s %s %lld request=%s item=%s key=%s epoch=%s\n", event, FLAGS_name.c_str(),
                     static_cast<long long>(boot_clock_us()), id.c_str(), slot_or_key.c_str(), key.c_str(),
                     owner_epoch.c_str());
        std::fflush(history_);
    }

    /// Counts a running request and records its start and end in the history, even if the caller disconnects.
    class scoped_execution {
    public:
        scoped_execution(standin_target& executing_target, const http_request& request)
            : target_(executing_target), id_(request["x-invocation"]), slot_or_key_(request["tt-item"]),
              key_(request["tt-key"]), owner_epoch_(request["tt-epoch"])
        {
            ++target_.running_requests_;
            ++target_.running_by_slot_or_key_[slot_or_key_];
            target_.write_history("start", id_, slot_or_key_, key_, owner_epoch_);
        }
        ~scoped_execution()
        {
            target_.write_history(complete_ ? "end" : "cancelled", id_, slot_or_key_, key_, owner_epoch_);
            --target_.running_by_slot_or_key_[slot_or_key_];
            --target_.running_requests_;
        }
        scoped_execution(const scoped_execution&) = delete;
        scoped_execution& operator=(const scoped_execution&) = delete;
        scoped_execution(scoped_execution&&) = delete;
        scoped_execution& operator=(scoped_execution&&) = delete;
        /// Marks the request as executed completely. The end of an unmarked request is recorded as cancelled.
        void mark_complete() { complete_ = true; }

    private:
        standin_target& target_;
        std::string id_;
        std::string slot_or_key_;
        std::string key_;
        std::string owner_epoch_;
        bool complete_ = false;
    };

    /// Waits for the duration, or until the deadline passes or the request is cancelled.
    /// @returns whether the request was executed completely.
    asio::awaitable<bool> run_until_deadline(const http_request& request, microseconds duration)
    {
        const std::string deadline{request["tt-deadline-at"]};
        const std::int64_t remaining_ms = deadline.empty() ? std::numeric_limits<std::int32_t>::max()
                                                           : std::strtoll(deadline.c_str(), nullptr, 10) -
                                                                 static_cast<std::int64_t>(clock_ms());
        const milliseconds allowed{std::max<std::int64_t>(0, remaining_ms)};
        co_await sleep_for(std::min<microseconds>(duration, allowed));
        const auto state = co_await asio::this_coro::cancellation_state;
        if (state.cancelled() != asio::cancellation_type::none)
            co_return false;
        if (duration <= allowed)
            co_return true;
        // Delays the response, so that a request that exceeds its deadline gets no response in time.
        co_await sleep_for(std::chrono::seconds{5});
        co_return false;
    }

    asio::awaitable<http_response> execute(http_request request)
    {
        if (const std::string reason = refusal_reason(request); !reason.empty())
            co_return refusal_response(503, reason);
        scoped_execution execution(*this, request);
        if (request["x-crash"] == "1")
            std::_Exit(3);
        const bool cold = boot_clock::now() < started_ + milliseconds{FLAGS_cold_ms};
        const std::string requested_us{request["x-service-us"]};
        const double service_us =
            requested_us.empty() ? FLAGS_service_us : std::strtod(requested_us.c_str(), nullptr);
        microseconds duration{
            static_cast<std::int64_t>(service_us * slowness_ * (cold ? FLAGS_cold_factor : 1))};
        const bool in_time = co_await run_until_deadline(request, duration);
        if (!in_time)
            co_return refusal_response(504, "deadline");
        execution.mark_complete();
        auto response = make_response(200, std::string{request["x-invocation"]} + " " + FLAGS_name + "\n");
        response.set("x-invocation", request["x-invocation"]);
        response.set("x-target", FLAGS_name);
        co_return response;
    }

    time_point started_;
    std::FILE* history_ = nullptr;
    fencing_token token_{};
    std::uint64_t grants_expire_at_ms_ = 0;
    std::map<std::string, std::uint64_t> granted_epochs_;
    std::map<std::string, std::uint64_t> min_epochs_;
    std::map<std::string, std::uint64_t> running_by_slot_or_key_;
    std::uint64_t running_requests_ = 0;
    bool draining_ = false;
    /// Whether status responses report 0 running requests, to simulate misleading load reports.
    bool reports_idle_ = false;
    /// Factor of the service time.
    double slowness_ = 1.0;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context io(1);
    standin_target target_process;
    http_server server(io.get_executor(),
                       {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(FLAGS_port)}, {},
                       [&](http_request request) { return target_process.serve(std::move(request)); });
    if (!FLAGS_port_file.empty())
        std::ofstream(FLAGS_port_file) << server.local_endpoint().port() << "\n";
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    io.run();
}
