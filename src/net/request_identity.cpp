#include <teaseltally/log_line.hpp>
#include <teaseltally/net/message_framing.hpp>
#include <teaseltally/net/message_reader.hpp>
#include <teaseltally/net/request_router.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

/// @file
/// Registrations at whose addresses other processes respond.

namespace teaseltally {
namespace {

namespace http = boost::beast::http;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Time limit for the connection and the response of a check, as for the connection of a request.
constexpr milliseconds check_timeout{400};
/// Maximum size of the body of the response to a health probe.
constexpr std::size_t max_health_bytes = 64U << 10U;
/// Maximum size of its header.
constexpr std::uint32_t max_health_header_bytes = 8U << 10U;

} // namespace

bool request_router::is_registered(const target_node& target) const
{
    const auto registered = targets_.find(target.entry().id);
    return registered != targets_.end() && registered->second.get() == &target;
}

void request_router::record_misdirection(const routed_request& request, const routed_attempt& attempt)
{
    const auto& target = attempt.target;
    const auto answering = attempt.result.response[settings_.headers.target_id];
    if (!answering.empty() && answering != target->entry().id)
        record_responder(target->entry().address, {answering.data(), answering.size()}, attempt.started);
    else if (!request.key)
        leave_alone(target, attempt.started, {answering.data(), answering.size()});
}

void request_router::record_other_process(const std::string& incarnation)
{
    const auto found = targets_.find(std::string_view{incarnation}.substr(0, incarnation.rfind('@')));
    if (found != targets_.end() && found->second->incarnation() == incarnation)
        leave_alone(found->second, boot_clock::now(), {});
}

void request_router::record_responder(const std::string& address, std::string_view id, time_point asked_at)
{
    for (const auto& [registered, target] : targets_) {
        if (target->entry().address != address)
            continue;
        if (registered == id)
            confirm(*target, asked_at);
        else
            leave_alone(target, asked_at, id);
    }
}

void request_router::leave_alone(const std::shared_ptr<target_node>& target, time_point asked_at,
                                 std::string_view answering)
{
    const auto now = boot_clock::now();
    if (!target->statements().mark_unconfirmed(target->entry().address, asked_at, now))
        return;
    log_(log_line("target_unconfirmed")
             .add("target", target->entry().id)
             .add("address", target->entry().address)
             .add("answering", answering)
             .text());
    target->load().on_failure(now);
    target->close_idle(now, true);
    if (is_registered(*target))
        start_identity_checks(target, target->statements().next_check_delay());
}

void request_router::start_identity_checks(const std::shared_ptr<target_node>& target, milliseconds delay)
{
    unconfirmed_targets_.insert(target->incarnation());
    asio::co_spawn(executor_, check_identity(target, delay), asio::detached);
}

asio::awaitable<void> request_router::check_identity(std::shared_ptr<target_node> target, milliseconds delay)
{
    const auto since = target->statements().unconfirmed_since();
    while (true) {
        co_await sleep_for(delay);
        // Its next registration begins the checks anew.
        if (target->statements().unconfirmed_since() != since || !is_registered(*target))
            co_return;
        const auto asked_at = boot_clock::now();
        const auto answering = co_await query_identity(target);
        // Only a request shows whether a process that does not name itself is the target.
        if (answering && answering->empty())
            confirm(*target, asked_at);
        else if (answering)
            record_responder(target->entry().address, *answering, asked_at);
        delay = target->statements().next_check_delay();
    }
}

asio::awaitable<std::optional<std::string>>
request_router::query_identity(std::shared_ptr<const target_node> target)
{
    const auto* rules = table_ ? table_->find_service(target->entry().service) : nullptr;
    if (rules == nullptr)
        co_return std::nullopt;
    http::request<http::empty_body> request{http::verb::get,
                                            rules->health_path.empty() ? "/" : rules->health_path, 11};
    request.set(http::field::host, target->entry().address);
    request.keep_alive(false);
    boost::beast::tcp_stream stream(executor_);
    stream.expires_after(check_timeout);
    if (const auto [failed] = co_await stream.async_connect(target->endpoint(), as_result); failed)
        co_return std::nullopt;
    configure_client_socket(stream.socket());
    if (const auto [failed, size] = co_await http::async_write(stream, request, as_result); failed)
        co_return std::nullopt;
    boost::beast::flat_buffer buffer;
    framing_budget budget(max_health_header_bytes);
    for (int interim = 0; interim <= max_interim_responses; ++interim) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_health_bytes);
        parser.header_limit(max_health_header_bytes);
        message_reader<false> reader(stream, buffer, parser, budget);
        auto failed = co_await reader.read_header();
        if (!failed)
            failed = co_await reader.read_rest();
        if (is_framing_excess(failed))
            log_(log_line("message_rejected")
                     .add("way", "identity")
                     .add("sender", target->entry().id)
                     .add("reason", describe_read_failure(failed))
                     .text());
        if (failed)
            break;
        if (!is_interim_status(parser.get().result_int()))
            co_return std::string{parser.get()[settings_.headers.target_id]};
    }
    co_return std::nullopt;
}

void request_router::confirm(target_node& target, time_point asked_at)
{
    if (!target.statements().confirm(asked_at))
        return;
    unconfirmed_targets_.erase(target.incarnation());
    log_(log_line("target_responds")
             .add("target", target.entry().id)
             .add("address", target.entry().address)
             .text());
    wake_waiting(state_of(target.entry().service));
}

} // namespace teaseltally
