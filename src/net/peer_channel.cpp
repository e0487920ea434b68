#include <teaseltally/net/peer_channel.hpp>

#include <teaseltally/json.hpp>

#include <boost/asio/buffer.hpp>
#include <jsonrpccpp/server/abstractserver.h>

namespace teaseltally {
namespace {

/// Connector without a listener; datagrams are passed to its handler directly.
class datagram_connector final : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string&, void*) override { return true; }
};

/// Methods of the notifications that peers exchange.
constexpr std::array notification_names{"lease_request",  "lease_reply", "lease_resign",
                                        "release_notice", "load_report", "quarantine_notice"};

} // namespace

namespace {

/// Base class that owns the connector, so that it is constructed before the server that refers to it.
struct connector_owner {
    datagram_connector connector;
};

} // namespace

/// Decodes the notification that the protocol handler extracts from a datagram.
class notification_codec::server final : private connector_owner, public jsonrpc::AbstractServer<server> {
public:
    server() : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2)
    {
        for (const char* name : notification_names)
            bindAndAddNotification(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, nullptr),
                                   &server::unused);
    }

    void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& input) override
    {
        decoded_ = decode_peer_message(procedure.GetProcedureName(), input);
    }

    result<peer_message> decode(std::string_view text)
    {
        decoded_.reset();
        std::string answer;
        connector.GetHandler()->HandleRequest(std::string{text}, answer);
        if (decoded_)
            return *decoded_;
        return error{result_code::message_malformed,
                     "expected a notification of a known method; the protocol handler answered: " + answer,
                     "peer"};
    }

private:
    void unused(const Json::Value&) {}

    std::optional<result<peer_message>> decoded_;
};

notification_codec::notification_codec() : server_(std::make_unique<server>()) {}
notification_codec::~notification_codec() = default;

result<peer_message> notification_codec::decode(std::string_view text)
{
    return server_->decode(text);
}

peer_channel::peer_channel(const asio::any_io_executor& executor, const asio::ip::udp::endpoint& local,
                           handler handle)
    : socket_(executor, local), handle_(std::move(handle))
{
    socket_.non_blocking(true);
    receive();
}

peer_channel::~peer_channel()
{
    *alive_ = false;
}

void peer_channel::send(const asio::ip::udp::endpoint& to, const peer_message& message)
{
    const std::string text = encode(message);
    boost::system::error_code send_error;
    bytes_sent_ += socket_.send_to(asio::buffer(text), to, 0, send_error);
}

void peer_channel::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this, alive = alive_](boost::system::error_code failed, std::size_t size) {
                                   if (!*alive || failed == asio::error::operation_aborted)
                                       return;
                                   if (!failed) {
                                       const auto message = codec_.decode({buffer_.data(), size});
                                       if (failure(message) != nullptr)
                                           ++malformed_datagrams_;
                                       else
                                           handle_(std::get<peer_message>(message));
                                   }
                                   receive();
                               });
}

} // namespace teaseltally
