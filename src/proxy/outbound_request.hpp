#ifndef KUMQUATDRIFT_PROXY_OUTBOUND_REQUEST_HPP
#define KUMQUATDRIFT_PROXY_OUTBOUND_REQUEST_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/connection_pool.hpp>
#include <kumquatdrift/telemetry/trace.hpp>
#include <kumquatdrift/traffic/verdicts.hpp>

#include "proxy/exchange.hpp"
#include "proxy/request_body.hpp"

namespace kumquatdrift::internal {

/*! @brief Maximum size of a response head from a node or target in bytes. */
inline constexpr std::uint32_t max_response_head_bytes = 16 * 1024;

/*! @brief Maximum number of interim responses before the final one; a peer that sends more may go on without
 * end. */
inline constexpr std::uint32_t max_interim_responses = 16;

/*! @brief Size of the input buffer of a connection to a node or target in bytes. */
inline constexpr std::size_t response_buffer_bytes = max_response_head_bytes + 4 * 1024;

/*! @brief Properties of a client request that all its attempts share. */
struct client_request {
    /*! @brief Exchange with the client. */
    exchange& client;
    /*! @brief Body of the request. */
    request_body& body;
    /*! @brief Method. */
    std::string method{};
    /*! @brief Path with query. */
    std::string path{};
    /*! @brief End-to-end field lines. */
    std::string fields{};
    /*! @brief Deadline of the whole request, all attempts included. */
    timestamp deadline{};
    /*! @brief Fingerprint of the request. */
    std::uint64_t fingerprint{};
    /*! @brief Trace context of the current span. */
    trace_context trace{};
};

/**
 * @brief Computes the value of the deadline header of a forwarded request.
 *
 * The peer gets 5% less than the remaining time, but at least 2 ms and at most 20 ms less, so that a response
 * with the verdict `not_run` still arrives before the deadline. Without that response, the verdict would have
 * to be `may_have_run`.
 *
 * @param deadline Deadline of the whole request.
 * @return Remaining time of the peer in milliseconds; 0 if none is left.
 */
[[nodiscard]] std::string deadline_text(timestamp deadline);

/*! @brief Copy of a small response body, stored with the claim on an idempotency key. */
struct body_copy {
    /*! @brief Maximum size in bytes of a body that is copied. */
    static constexpr std::size_t max_bytes = 4 * 1024;
    /*! @brief Bytes of the body. Incomplete if `overflowed` is set. */
    std::string bytes{};
    /*! @brief True if the body is larger than `max_bytes`. */
    bool overflowed{};
};

/*! @brief One attempt of a request on a pooled connection to a node or target. */
class outbound_request {
public:
    /**
     * @brief Constructs an attempt. Sends nothing.
     * @param acquired Connection.
     * @param peer Kind of the peer.
     * @param source Request to send; must outlive this object.
     * @param attempt_number Number of the attempt that a response has to have if it has one; empty to send
     * none.
     */
    outbound_request(pooled_connection acquired, hop_peer peer, const client_request& source,
                     std::string attempt_number = {});

    /**
     * @brief Sends the request and receives the head of the final response.
     * @param extra_fields Additional field lines for this hop.
     * @param expect_continue True to wait for `100 Continue` before the body is sent.
     * @return True if a response head was received; otherwise see `observed` and `body_error`.
     */
    [[nodiscard]] bool send_and_receive_head(std::string_view extra_fields, bool expect_continue);

    /**
     * @brief Relays the response to the client, then returns the connection to the pool if it is reusable.
     * @param extra_fields Field lines to add.
     * @param copy Receives a copy of a small body; may be null.
     * @return True if the complete response was sent to the client.
     */
    bool relay(std::string_view extra_fields, body_copy* copy);

    /*! @brief Discards the response. Keeps the connection if the complete response has already arrived. */
    void discard();

    /*! @brief Returns the head of the response. There must be one. */
    [[nodiscard]] const response_reader::head_type& response() const noexcept
    {
        return this->reader->head();
    }

    /*! @brief Returns the observation so far. Its verdict text points into the head of the response. */
    [[nodiscard]] const hop_observation& observed() const noexcept
    {
        return this->observation;
    }

    /*! @brief Returns the error of reading the body of the client, if that ended the attempt. */
    [[nodiscard]] const std::optional<read_status>& body_error() const noexcept
    {
        return this->body_read_error;
    }

private:
    [[nodiscard]] std::string request_head(std::string_view extra_fields, bool expect_continue) const;
    [[nodiscard]] bool send_all(std::string_view extra_fields);
    [[nodiscard]] bool send_after_continue(std::string_view extra_fields);
    [[nodiscard]] bool send_body(std::string output);
    [[nodiscard]] bool stream_remainder();
    // Returns true also if not all bytes were sent, but the head of a final response was received.
    [[nodiscard]] bool send(std::string_view bytes);
    [[nodiscard]] bool has_final_head() const noexcept;
    [[nodiscard]] bool receive_final_head();
    [[nodiscard]] bool receive_head();
    [[nodiscard]] bool is_response_to_another_attempt() const;
    [[nodiscard]] response_head make_relayed_head(std::string_view extra_fields) const;
    [[nodiscard]] hop_end relay_body(body_copy* copy);
    [[nodiscard]] timestamp io_deadline() const;
    void fail(hop_end end);
    void fail_body_read(read_status status);
    void release_connection();

    pooled_connection connection;
    const client_request& request;
    std::string attempt;
    hop_observation observation{};
    std::optional<response_reader> reader{};
    std::optional<read_status> body_read_error{};
    std::uint64_t sent_bytes_at_start;
    std::uint32_t interim_responses{};
    bool is_chunked;
    bool is_request_complete{};
};

} // namespace kumquatdrift::internal

#endif
