#include <teaseltally/log_line.hpp>
#include <teaseltally/net/request_router.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>

namespace teaseltally {
namespace {

namespace http = boost::beast::http;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Times before the probes of a target. A process that exits may close its connections before its listener,
/// so that the first probe can still connect.
constexpr std::array<milliseconds, 2> probe_delays{milliseconds{5}, milliseconds{60}};
/// Time limit for the connection of a probe.
constexpr milliseconds probe_timeout{250};

} // namespace

void request_router::record_crash_evidence(const routed_request& request, const routed_attempt& attempt)
{
    if (quarantine_ == nullptr)
        return;
    const auto& result = attempt.result;
    const auto incarnation = attempt.target->incarnation();
    // A target that reports its start time may start again under the same id; the process that responds is
    // then not known to be the one that the request was meant for. Another process may accept a connection
    // over which nothing is sent.
    if (result.status == exchange_status::answered || result.status == exchange_status::not_executed)
        if (result.connected && !result.held_back && attempt.target->entry().start_unix_ms == 0)
            quarantine_->on_target_alive(incarnation, attempt.started);
    const auto& fingerprints = request.fingerprints;
    if (result.status == exchange_status::answered) {
        quarantine_->on_request_completed(fingerprints.content);
        quarantine_->on_request_completed(fingerprints.caller);
    }
    // A cut of the links may refuse connections too.
    if (result.failure == connection_failure::refused && !is_isolated())
        record_target_end(*attempt.target);
    // The target may still run an abandoned request. Most abandoned requests are innocent: their callers left
    // or a hedged attempt was faster.
    const bool lost =
        result.failure == connection_failure::lost || result.failure == connection_failure::timed_out;
    const bool abandoned = result.failure == connection_failure::abandoned;
    if (result.status != exchange_status::outcome_unknown || !(lost || abandoned))
        return;
    for (const auto fingerprint : {fingerprints.content, fingerprints.caller})
        if (lost || !quarantine_->has_completed(fingerprint))
            quarantine_->on_attempt_lost(incarnation, fingerprint, attempt.ended_at);
    if (!quarantine_->has_lost_attempts(incarnation))
        return;
    const auto registered = targets_.find(attempt.target->entry().id);
    if (registered == targets_.end() || registered->second != attempt.target)
        record_target_end(*attempt.target);
    else if (result.failure == connection_failure::lost && probed_incarnations_.insert(incarnation).second)
        asio::co_spawn(executor_, probe_target(attempt.target), asio::detached);
}

void request_router::record_target_end(const target_node& target)
{
    if (quarantine_ != nullptr && quarantine_->on_target_ended(target.incarnation(), boot_clock::now()))
        log_(log_line("target_crashed")
                 .add("target", target.entry().id)
                 .add("service", target.entry().service)
                 .add("start_ms", target.entry().start_unix_ms)
                 .text());
}

asio::awaitable<void> request_router::probe_target(std::shared_ptr<target_node> target)
{
    const auto incarnation = target->incarnation();
    for (const auto delay : probe_delays) {
        co_await sleep_for(delay);
        if (!quarantine_->has_lost_attempts(incarnation))
            break;
        boost::beast::tcp_stream stream(executor_);
        stream.expires_after(probe_timeout);
        const auto [failed] = co_await stream.async_connect(target->endpoint(), as_result);
        if (failed == asio::error::connection_refused)
            record_target_end(*target);
        if (failed)
            break;
    }
    probed_incarnations_.erase(incarnation);
}

std::optional<std::uint64_t> request_router::quarantined_fingerprint(const routed_request& request) const
{
    if (quarantine_ == nullptr)
        return std::nullopt;
    for (const auto fingerprint : {request.fingerprints.content, request.fingerprints.caller})
        if (quarantine_->crashes(fingerprint) >= quarantine_->crash_limit())
            return fingerprint;
    return std::nullopt;
}

bool request_router::is_last_crash_tolerated(const routed_request& request) const
{
    if (quarantine_ == nullptr)
        return false;
    const auto crashes = std::max(quarantine_->crashes(request.fingerprints.content),
                                  quarantine_->crashes(request.fingerprints.caller));
    return crashes > 0 && crashes + 1 >= quarantine_->crash_limit();
}

asio::awaitable<bool> request_router::claim_trial(const std::shared_ptr<routed_request>& request,
                                                  service_state& state)
{
    const auto fingerprint = quarantined_fingerprint(*request);
    if (!claim_trial_ || is_isolated() || !fingerprint ||
        !quarantine_->next_trial(*fingerprint, boot_clock::now()))
        co_return false;
    if (*fingerprint == request->fingerprints.content &&
        quarantine_->is_trial_reserved(request->fingerprints, boot_clock::now()))
        co_return false;
    // The owner of a key stays registered for seconds after its end, and would not run the trial.
    const auto target = choose_target(*request, state);
    if (!target || quarantine_->is_reported(target->incarnation()))
        co_return false;
    const bool claimed = co_await claim_trial_(*fingerprint);
    log_(log_line("trial")
             .add("id", request->id)
             .add("fingerprint", *fingerprint)
             .add("claimed", claimed ? 1 : 0)
             .text());
    co_return claimed;
}

http_response request_router::make_quarantine_response(routed_request& request) const
{
    auto response = make_failure_response(request, "quarantined because targets crashed", {});
    const auto fingerprint = quarantined_fingerprint(request);
    if (!request.may_have_executed && fingerprint)
        response.set(http::field::retry_after,
                     format_seconds(quarantine_->quarantine_time(*fingerprint, boot_clock::now())));
    return response;
}

} // namespace teaseltally
