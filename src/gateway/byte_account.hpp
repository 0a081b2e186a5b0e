#ifndef KUMQUATDRIFT_GATEWAY_BYTE_ACCOUNT_HPP
#define KUMQUATDRIFT_GATEWAY_BYTE_ACCOUNT_HPP

#include <cstddef>
#include <limits>
#include <utility>

namespace kumquatdrift {

/**
 * @brief Bytes that the process holds for others: input, bodies, answers and frames.
 *
 * Up to half of the limit nothing is restricted. Above it the memory is short: long answers of the target are
 * read one after the other, and callers that read slowly are dropped. Above three quarters it is full, and
 * new requests are rejected. What is left is for the requests under way, for links and for the store.
 */
class byte_account {
public:
    /**
     * @brief Sets the limit.
     * @param bytes Number of bytes.
     */
    void set_limit(std::size_t bytes) noexcept
    {
        this->limit_bytes = bytes;
    }

    /*! @brief Returns the limit in bytes. */
    [[nodiscard]] std::size_t limit() const noexcept
    {
        return this->limit_bytes;
    }

    /*! @brief Returns the number of bytes held. */
    [[nodiscard]] std::size_t held() const noexcept
    {
        return this->held_bytes;
    }

    /*! @brief Returns the number of bytes from which on the memory is short. */
    [[nodiscard]] std::size_t short_from() const noexcept
    {
        return this->limit_bytes / 2;
    }

    /*! @brief Checks whether callers that read slowly have to give way. */
    [[nodiscard]] bool is_short() const noexcept
    {
        return this->held_bytes > this->short_from();
    }

    /*! @brief Checks whether new requests have to be rejected. */
    [[nodiscard]] bool is_full() const noexcept
    {
        return this->held_bytes > this->limit_bytes / 4 * 3;
    }

    /*! @brief Checks whether the limit is exceeded. */
    [[nodiscard]] bool is_exceeded() const noexcept
    {
        return this->held_bytes > this->limit_bytes;
    }

private:
    friend class byte_charge;
    std::size_t limit_bytes{std::numeric_limits<std::size_t>::max()};
    std::size_t held_bytes{};
};

/*! @brief Part of an account that one holder uses; returned when the holder ends. */
class byte_charge {
public:
    /**
     * @brief Constructs an empty charge.
     * @param account Account; must outlive the charge.
     */
    explicit byte_charge(byte_account& account) noexcept : owner{&account} {}
    byte_charge(byte_charge&& other) noexcept : owner{other.owner}, bytes{std::exchange(other.bytes, 0)} {}
    byte_charge(const byte_charge&) = delete;
    byte_charge& operator=(const byte_charge&) = delete;
    byte_charge& operator=(byte_charge&&) = delete;
    ~byte_charge()
    {
        this->set(0);
    }

    /**
     * @brief Sets the number of bytes that the holder uses.
     * @param now_held Number of bytes.
     */
    void set(std::size_t now_held) noexcept
    {
        this->owner->held_bytes += now_held - this->bytes;
        this->bytes = now_held;
    }

    /*! @brief Returns the number of bytes that the holder uses. */
    [[nodiscard]] std::size_t held() const noexcept
    {
        return this->bytes;
    }

private:
    byte_account* owner;
    std::size_t bytes{};
};

} // namespace kumquatdrift

#endif
