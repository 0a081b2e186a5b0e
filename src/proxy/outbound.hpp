#ifndef KUMQUATDRIFT_PROXY_OUTBOUND_HPP
#define KUMQUATDRIFT_PROXY_OUTBOUND_HPP

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

/*! @brief Largest answer head that is taken from a node or target. */
inline constexpr std::uint32_t max_answer_head_bytes = 16 * 1024;

/*! @brief Input buffer of a connection to a node or target. */
inline constexpr std::size_t answer_buffer_bytes = max_answer_head_bytes + 4 * 1024;

/*! @brief What all attempts of one request have in common. */
struct call {
    /*! @brief Exchange with the client. */
    exchange& client;
    /*! @brief Body of the request. */
    request_body& body;
    /*! @brief Method. */
    std::string method{};
    /*! @brief Path with query. */
    std::string path{};
    /*! @brief Field lines that go from end to end. */
    std::string fields{};
    /*! @brief Deadline of the whole call. */
    timestamp deadline{};
    /*! @brief Fingerprint of the request. */
    std::uint64_t fingerprint{};
    /*! @brief Trace context of the current span. */
    trace_context trace{};
};

/**
 * @brief Computes the deadline that is passed on with a request.
 *
 * The other side gets a little less time than is left here, so that its statement that the request was not
 * run still arrives in time; without it the request would have to count as possibly run.
 *
 * @param deadline Deadline of the whole call.
 * @return Text of the deadline header: milliseconds.
 */
[[nodiscard]] std::string deadline_text(timestamp deadline);

/*! @brief First bytes of an answer's body, kept for the claim on an idempotency key. */
struct body_copy {
    /*! @brief Largest body that is kept. */
    static constexpr std::size_t max_bytes = 4 * 1024;
    /*! @brief The bytes. */
    std::string bytes{};
    /*! @brief True if the body is larger. */
    bool overflowed{};
};

/*! @brief One request on one pooled connection to a node or target. */
class outbound {
public:
    /**
     * @brief Constructs a request that was not sent.
     * @param taken Connection.
     * @param peer Kind of the other side.
     * @param request What to send.
     */
    outbound(pooled_connection taken, hop_peer peer, const call& request);

    /**
     * @brief Sends the request and receives the head of the final answer.
     * @param extra_fields Field lines for this hop.
     * @param expect_continue True to ask before a large body is sent.
     * @return True if there is an answer head; else see `observed` and `body_error`.
     */
    [[nodiscard]] bool exchange_heads(std::string_view extra_fields, bool expect_continue);

    /**
     * @brief Passes the answer on to the client and decides whether the connection is reused.
     * @param extra_fields Field lines to add.
     * @param copy Receives the start of the body; may be null.
     * @return True if the client has the complete answer.
     */
    bool relay(std::string_view extra_fields, body_copy* copy);

    /*! @brief Drops the answer; keeps the connection if the answer has already arrived in full. */
    void discard();

    /*! @brief Returns the head of the answer. There must be one. */
    [[nodiscard]] const answer_reader::head_type& answer() const noexcept
    {
        return this->reader->head();
    }

    /*! @brief Returns what was observed so far. The verdict text refers to the head of the answer. */
    [[nodiscard]] const hop_observation& observed() const noexcept
    {
        return this->observation;
    }

    /*! @brief Returns why the client's body could not be read, if that ended the hop. */
    [[nodiscard]] const std::optional<read_status>& body_error() const noexcept
    {
        return this->failed_body;
    }

private:
    [[nodiscard]] std::string request_head(std::string_view extra_fields, bool expect_continue) const;
    [[nodiscard]] bool send_all(std::string_view extra_fields);
    [[nodiscard]] bool send_after_continue(std::string_view extra_fields);
    [[nodiscard]] bool send_body(std::string output);
    [[nodiscard]] bool send_rest();
    [[nodiscard]] bool send(std::string_view bytes);
    [[nodiscard]] bool receive_final_head();
    [[nodiscard]] bool receive_head();
    [[nodiscard]] answer_head relayed_head(std::string_view extra_fields) const;
    [[nodiscard]] hop_end relay_body(body_copy* copy);
    [[nodiscard]] timestamp until() const;
    void fail(hop_end end);
    void fail_body(read_status status);
    void finish();

    pooled_connection connection;
    const call& request;
    hop_observation observation{};
    std::optional<answer_reader> reader{};
    std::optional<read_status> failed_body{};
    std::uint64_t sent_before;
    bool is_chunked;
    bool is_sent{};
    bool is_broken{};
};

} // namespace kumquatdrift::internal

#endif
