#pragma once

#include <teaseltally/net/framing_budget.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

/// @file
/// Reading of messages from outside within a framing budget.

namespace teaseltally {

/// Reads one message from a connection. Whoever reads messages from outside uses it, so that no form of
/// framing can take memory without a bound.
/// @tparam IsRequest whether the message is a request.
template <bool IsRequest>
class message_reader {
public:
    using parser_type = boost::beast::http::parser<IsRequest, boost::beast::http::string_body>;
    using result = boost::asio::awaitable<boost::system::error_code>;

    /// The parameters must outlive the reader.
    /// @param stream connection; the caller sets its time limits.
    /// @param buffer bytes that were read from the connection and are not parsed yet.
    /// @param parser parser of the message.
    /// @param budget budget of the message; that of a response also covers the interim ones before it.
    message_reader(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, parser_type& parser,
                   framing_budget& budget)
        : stream_(stream), buffer_(buffer), parser_(parser), budget_(budget)
    {
    }

    /// Reads the header.
    /// @returns the error, or nothing once the header is complete.
    [[nodiscard]] result read_header();
    /// Reads until more of the body has arrived or the message is complete. Other bytes are no progress, so
    /// that a time limit for each call also ends a message that consists of framing.
    /// @returns the error, or nothing.
    [[nodiscard]] result read_some();
    /// Reads the rest of the message.
    /// @returns the error, or nothing once the message is complete.
    [[nodiscard]] result read_rest();

private:
    /// Parses the bytes in the buffer.
    /// @returns the error, `need_more` if more bytes are needed, or nothing.
    [[nodiscard]] boost::system::error_code parse();
    /// Reads bytes from the connection unless the budget is exceeded.
    [[nodiscard]] result read_bytes();
    [[nodiscard]] std::size_t body_bytes() const { return parser_.get().body().size(); }

    boost::beast::tcp_stream& stream_;
    boost::beast::flat_buffer& buffer_;
    parser_type& parser_;
    framing_budget& budget_;
};

extern template class message_reader<true>;
extern template class message_reader<false>;

} // namespace teaseltally
