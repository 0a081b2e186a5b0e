#ifndef KUMQUATDRIFT_PROXY_CONNECTION_POOL_HPP
#define KUMQUATDRIFT_PROXY_CONNECTION_POOL_HPP

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/proxy/fwd.hpp>
#include <kumquatdrift/proxy/tcp_connection.hpp>

namespace kumquatdrift {

/*! @brief Outcome of acquiring a connection from a pool. */
enum class connect_status : std::uint8_t {
    /*! @brief A connection was acquired. */
    connected,
    /*! @brief The connection was refused, or the address is unreachable. */
    refused,
    /*! @brief The connection was not established before the timeout. */
    timed_out,
    /*! @brief All connections to the address were in use until the deadline. */
    exhausted,
};

/*! @brief Limits of a connection pool. */
struct connection_limits {
    /*! @brief Maximum number of connections to one address. */
    std::uint32_t per_address{64};
    /*! @brief Timeout for establishing a connection. */
    milliseconds connect_timeout{500};
    /*! @brief Time after which an idle connection is not reused. A later `acquire` closes it. */
    milliseconds idle_timeout{20'000};
};

/*! @brief Connection acquired from a pool. Closed by the destructor unless it was returned to the pool. */
class pooled_connection {
public:
    /*! @brief Constructs an empty handle. */
    pooled_connection() noexcept = default;

    /**
     * @brief Constructs a handle to an open connection; called by the pool.
     * @param owner Pool.
     * @param peer Address of the peer.
     * @param open Connection.
     * @param was_reused True if the connection was idle in the pool.
     */
    pooled_connection(std::shared_ptr<connection_pool> owner, std::string peer,
                      std::unique_ptr<tcp_connection> open, bool was_reused) noexcept;

    pooled_connection(pooled_connection&& other) noexcept = default;
    pooled_connection& operator=(pooled_connection&& other) noexcept;
    pooled_connection(const pooled_connection&) = delete;
    pooled_connection& operator=(const pooled_connection&) = delete;
    ~pooled_connection();

    /*! @brief Checks whether the handle holds a connection. */
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return this->connection != nullptr;
    }

    /*! @brief Returns the connection. There must be one. */
    [[nodiscard]] tcp_connection& io() const noexcept
    {
        return *this->connection;
    }

    /*! @brief Checks whether the connection was idle in the pool before it was acquired. */
    [[nodiscard]] bool is_reused() const noexcept
    {
        return this->reused;
    }

    /*! @brief Returns the connection to the pool. Must not be called before the request was sent and its
     *         response was received completely. */
    void return_to_pool();

    /*! @brief Closes the connection with a reset. */
    void abort();

private:
    void release(bool reusable);

    std::shared_ptr<connection_pool> pool{};
    std::string address{};
    std::unique_ptr<tcp_connection> connection{};
    bool reused{};
};

/*! @brief Result of acquiring a connection: the connection, or the reason why there is none. */
struct acquire_result {
    /*! @brief Outcome. */
    connect_status status{connect_status::refused};
    /*! @brief Connection. Valid only if the outcome is `connected`. */
    pooled_connection connection{};
};

/**
 * @brief Pool of keep-alive connections by address. Thread-safe.
 *
 * The most recently used connection is reused first, so that surplus connections stay idle and expire.
 * An idle connection that the peer has closed, or on which it has sent unsolicited bytes, is discarded
 * instead of being reused.
 */
class connection_pool : public std::enable_shared_from_this<connection_pool> {
public:
    /**
     * @brief Creates a pool.
     * @param limits Limits.
     * @param input_bytes Capacity of the input buffer of each connection in bytes.
     * @return The pool.
     */
    [[nodiscard]] static std::shared_ptr<connection_pool> create(const connection_limits& limits,
                                                                 std::size_t input_bytes);

    /**
     * @brief Acquires an idle connection or opens one. Blocks while the limit of connections is reached.
     * @param address IP address and port.
     * @param until Deadline.
     * @return The connection, or the reason why there is none. No byte of a request was sent in either case.
     */
    [[nodiscard]] acquire_result acquire(const std::string& address, timestamp until);

    /**
     * @brief Closes the idle connections to an address, for example after its process has failed.
     * @param address IP address and port.
     */
    void discard_idle(const std::string& address);

    /**
     * @brief Returns the number of idle connections.
     * @return Number of connections.
     */
    [[nodiscard]] std::size_t idle_connections() const;

private:
    friend class pooled_connection;

    struct idle_connection {
        std::unique_ptr<tcp_connection> connection{};
        timestamp since{};
    };

    struct address_entry {
        std::vector<idle_connection> idle{};
        std::uint32_t in_use{};
        std::uint32_t waiters{};
    };

    connection_pool(const connection_limits& settings, std::size_t input_bytes) noexcept;

    [[nodiscard]] std::unique_ptr<tcp_connection> take_idle(address_entry& peer, timestamp now);
    [[nodiscard]] acquire_result open(const std::string& address, timestamp until);
    void release(const std::string& address, std::unique_ptr<tcp_connection> connection, bool reusable);
    void close_expired(timestamp now);

    connection_limits limits;
    std::size_t input_buffer_bytes;
    mutable std::mutex mutex{};
    std::condition_variable connection_released{};
    std::map<std::string, address_entry, std::less<>> entries{};
    timestamp last_expiry_check{};
};

} // namespace kumquatdrift

#endif
