// Stands in for a target: slots, cold start, drain, shedding, cancellation, deadlines, crash and grants
// that are checked or not. It writes a history line for each start and end of work.

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

DEFINE_int32(port, 0, "port to listen on; 0 takes one from the system");
DEFINE_string(port_file, "", "file to write the port to");
DEFINE_string(name, "target", "name in the history");
DEFINE_string(history, "", "file for history lines");
DEFINE_bool(checks, false, "refuse work without a grant");
DEFINE_uint64(slots, 4, "requests that run at a time");
DEFINE_int32(service_us, 2000, "service time in microseconds");
DEFINE_int32(cold_ms, 0, "time after the start during which work takes cold_factor times as long");
DEFINE_int32(cold_factor, 10, "slowness while cold");

namespace {

using namespace teaseltally;
namespace http = boost::beast::http;

using fencing_token = std::pair<std::uint64_t, std::uint64_t>;

std::int64_t wall_microseconds()
{
    return boot_clock::now().time_since_epoch().count();
}

class target {
public:
    target() : started_(boot_clock::now())
    {
        if (!FLAGS_history.empty())
            history_ = std::fopen(FLAGS_history.c_str(), "a");
    }
    ~target()
    {
        if (history_ != nullptr)
            std::fclose(history_);
    }
    target(const target&) = delete;
    target& operator=(const target&) = delete;
    target(target&&) = delete;
    target& operator=(target&&) = delete;

    asio::awaitable<http_response> serve(http_request request)
    {
        const std::string path{request.target()};
        if (path == "/tt/grants")
            co_return grant(request.body());
        if (path == "/tt/revoke")
            co_return revoke(request.body());
        if (path == "/tt/control")
            co_return control(request.body());
        co_return co_await work(std::move(request));
    }

private:
    [[nodiscard]] std::uint64_t clock_ms() const
    {
        return static_cast<std::uint64_t>((boot_clock::now() - started_) / milliseconds{1}) + 1'000'000;
    }

    http_response answer(unsigned status)
    {
        Json::Value out;
        out["clock_ms"] = static_cast<Json::UInt64>(clock_ms());
        out["granted"] = static_cast<Json::UInt64>(granted_.size());
        out["draining"] = draining_;
        out["running"] = static_cast<Json::UInt64>(claims_idle_ ? 0 : running_);
        return make_response(status, json_text(out), "application/json");
    }

    static http_response refuse(unsigned status, const std::string& reason)
    {
        auto response = make_response(status, reason + "\n");
        response.set("tt-refused", reason);
        return response;
    }

    bool takes_token(const Json::Value& pair)
    {
        if (!pair.isArray() || pair.size() != 2)
            return false;
        const fencing_token token{pair[0U].asUInt64(), pair[1U].asUInt64()};
        if (token < token_)
            return false;
        token_ = token;
        return true;
    }

    http_response grant(const std::string& body)
    {
        const auto parsed = parse_json(body, "grant");
        if (failure(parsed) != nullptr || !FLAGS_checks)
            return answer(200);
        const auto& value = std::get<Json::Value>(parsed);
        if (!takes_token(value["token"]))
            return answer(409);
        if (const auto expires = value["expires_at_ms"].asUInt64(); expires > 0)
            expires_ = expires;
        for (const auto& item : value["slots"]) {
            auto& floor = floors_[item[0U].asString()];
            if (item[1U].asUInt64() < floor)
                continue;
            granted_[item[0U].asString()] = item[1U].asUInt64();
        }
        return answer(200);
    }

    http_response revoke(const std::string& body)
    {
        const auto parsed = parse_json(body, "revoke");
        if (failure(parsed) != nullptr)
            return answer(400);
        const auto& value = std::get<Json::Value>(parsed);
        if (!takes_token(value["token"]))
            return answer(409);
        bool idle = true;
        for (const auto& item : value["slots"]) {
            const std::string name = item[0U].asString();
            auto& floor = floors_[name];
            floor = std::max<std::uint64_t>(floor, item[1U].asUInt64());
            granted_.erase(name);
            idle = idle && busy_[name] == 0;
        }
        return answer(idle ? 200 : 202);
    }

    http_response control(const std::string& body)
    {
        const auto parsed = parse_json(body, "control");
        if (const auto* problem = failure(parsed))
            return make_response(400, to_string(*problem));
        const auto& value = std::get<Json::Value>(parsed);
        draining_ = value.get("draining", draining_).asBool();
        slowness_ = value.get("slowness", slowness_).asDouble();
        claims_idle_ = value.get("claims_idle", claims_idle_).asBool();
        if (const auto freeze = value.get("freeze_ms", 0).asInt64(); freeze > 0) {
            const timespec pause{freeze / 1000, freeze % 1000 * 1'000'000};
            nanosleep(&pause, nullptr);
        }
        return answer(200);
    }

    /// @returns why an order is not to be taken, or nothing.
    std::string refusal(const http_request& request)
    {
        const std::string deadline{request["tt-deadline-at"]};
        if (!deadline.empty() && std::strtoull(deadline.c_str(), nullptr, 10) <= clock_ms())
            return "deadline";
        if (draining_)
            return "draining";
        if (FLAGS_checks) {
            const std::string token{request["tt-token"]};
            const auto dot = token.find('.');
            const fencing_token given{
                std::strtoull(token.c_str(), nullptr, 10),
                dot == std::string::npos ? 0 : std::strtoull(token.c_str() + dot + 1, nullptr, 10)};
            if (given < token_)
                return "token";
            token_ = given;
            const std::string item{request["tt-item"]};
            const auto granted = granted_.find(item);
            const auto since = std::strtoull(std::string{request["tt-epoch"]}.c_str(), nullptr, 10);
            if (!item.empty() &&
                (granted == granted_.end() || granted->second != since || clock_ms() >= expires_))
                return "grant";
        }
        return running_ >= FLAGS_slots ? "shed" : "";
    }

    void record(const char* event, const std::string& id, const std::string& item, const std::string& key,
                const std::string& since)
    {
        if (history_ == nullptr)
            return;
        std::fprintf(history_, "%s %s %lld request=%s item=%s key=%s epoch=%s\n", event, FLAGS_name.c_str(),
                     static_cast<long long>(wall_microseconds()), id.c_str(), item.c_str(), key.c_str(),
                     since.c_str());
        std::fflush(history_);
    }

    /// Ends a run and its history entry with the scope, also when the caller goes away.
    class run_guard {
    public:
        run_guard(target& owner, const http_request& request)
            : owner_(owner), id_(request["x-invocation"]), item_(request["tt-item"]), key_(request["tt-key"]),
              since_(request["tt-epoch"])
        {
            ++owner_.running_;
            ++owner_.busy_[item_];
            owner_.record("start", id_, item_, key_, since_);
        }
        ~run_guard()
        {
            owner_.record(whole_ ? "end" : "cancelled", id_, item_, key_, since_);
            --owner_.busy_[item_];
            --owner_.running_;
        }
        run_guard(const run_guard&) = delete;
        run_guard& operator=(const run_guard&) = delete;
        run_guard(run_guard&&) = delete;
        run_guard& operator=(run_guard&&) = delete;
        void whole() { whole_ = true; }

    private:
        target& owner_;
        std::string id_;
        std::string item_;
        std::string key_;
        std::string since_;
        bool whole_ = false;
    };

    /// Works for a time, or until the deadline or the caller ends it.
    /// @returns whether the work was done to its end.
    asio::awaitable<bool> work_until(const http_request& request, microseconds duration)
    {
        const std::string deadline{request["tt-deadline-at"]};
        const std::int64_t left = deadline.empty() ? std::numeric_limits<std::int32_t>::max()
                                                   : std::strtoll(deadline.c_str(), nullptr, 10) -
                                                         static_cast<std::int64_t>(clock_ms());
        const milliseconds allowed{std::max<std::int64_t>(0, left)};
        co_await sleep_for(std::min<microseconds>(duration, allowed));
        const auto state = co_await asio::this_coro::cancellation_state;
        if (state.cancelled() != asio::cancellation_type::none)
            co_return false;
        if (duration <= allowed)
            co_return true;
        // Work that met its deadline gives no answer.
        co_await sleep_for(std::chrono::seconds{5});
        co_return false;
    }

    asio::awaitable<http_response> work(http_request request)
    {
        if (const std::string reason = refusal(request); !reason.empty())
            co_return refuse(503, reason);
        run_guard run(*this, request);
        if (request["x-crash"] == "1")
            std::_Exit(3);
        const bool cold = boot_clock::now() < started_ + milliseconds{FLAGS_cold_ms};
        const std::string asked{request["x-service-us"]};
        const double service = asked.empty() ? FLAGS_service_us : std::strtod(asked.c_str(), nullptr);
        microseconds duration{
            static_cast<std::int64_t>(service * slowness_ * (cold ? FLAGS_cold_factor : 1))};
        const bool in_time = co_await work_until(request, duration);
        if (!in_time)
            co_return refuse(504, "deadline");
        run.whole();
        auto response = make_response(200, std::string{request["x-invocation"]} + " " + FLAGS_name + "\n");
        response.set("x-invocation", request["x-invocation"]);
        response.set("x-target", FLAGS_name);
        co_return response;
    }

    time_point started_;
    std::FILE* history_ = nullptr;
    fencing_token token_{};
    std::uint64_t expires_ = 0;
    std::map<std::string, std::uint64_t> granted_;
    std::map<std::string, std::uint64_t> floors_;
    std::map<std::string, std::uint64_t> busy_;
    std::uint64_t running_ = 0;
    bool draining_ = false;
    bool claims_idle_ = false;
    double slowness_ = 1.0;
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context io(1);
    target service;
    http_server server(io.get_executor(),
                       {asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(FLAGS_port)}, {},
                       [&](http_request request) { return service.serve(std::move(request)); });
    if (!FLAGS_port_file.empty())
        std::ofstream(FLAGS_port_file) << server.local_endpoint().port() << "\n";
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    io.run();
}
