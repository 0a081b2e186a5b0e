#ifndef KUMQUATDRIFT_CORE_RESULT_HPP
#define KUMQUATDRIFT_CORE_RESULT_HPP

#include <cassert>
#include <optional>
#include <string>
#include <utility>

#include <kumquatdrift/core/fwd.hpp>

namespace kumquatdrift {

/*! @brief Reason why an operation returned no value. Converts to any `result`. */
struct failure {
    /*! @brief One short sentence that says what is wrong and what to do. */
    std::string reason{};
};

/**
 * @brief An optional value with the last reason for its absence.
 * @tparam Type Type of the value.
 */
template<typename Type>
class [[nodiscard]] result {
public:
    /*! @brief Type of the value. */
    using value_type = Type;

    /**
     * @brief Constructs a result that holds a value.
     * @param value The value to hold.
     */
    result(Type value) : optional_value{std::move(value)} {}

    /**
     * @brief Constructs a result without value.
     * @param cause The reason for the absence.
     */
    result(failure cause) : reason{std::move(cause.reason)} {}

    /**
     * @brief Checks whether a value is present.
     * @return True if there is a value, false otherwise.
     */
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return this->optional_value.has_value();
    }

    /**
     * @brief Checks whether a value is present.
     * @return True if there is a value, false otherwise.
     */
    [[nodiscard]] bool has_value() const noexcept
    {
        return this->optional_value.has_value();
    }

    /**
     * @brief Returns the value. There must be one.
     * @return A reference to the value.
     */
    [[nodiscard]] Type& operator*() noexcept
    {
        assert(this->optional_value.has_value());
        return *this->optional_value;
    }

    /*! @copydoc operator* */
    [[nodiscard]] const Type& operator*() const noexcept
    {
        assert(this->optional_value.has_value());
        return *this->optional_value;
    }

    /**
     * @brief Returns a pointer to the value. There must be one.
     * @return A pointer to the value.
     */
    [[nodiscard]] Type* operator->() noexcept
    {
        assert(this->optional_value.has_value());
        return &*this->optional_value;
    }

    /*! @copydoc operator-> */
    [[nodiscard]] const Type* operator->() const noexcept
    {
        assert(this->optional_value.has_value());
        return &*this->optional_value;
    }

    /**
     * @brief Returns the value as a standard optional.
     * @return The optional value.
     */
    [[nodiscard]] const std::optional<Type>& value() const noexcept
    {
        return this->optional_value;
    }

    /**
     * @brief Returns why there is no value.
     * @return The reason, empty if a value is present.
     */
    [[nodiscard]] const std::string& last_reason() const noexcept
    {
        return this->reason;
    }

private:
    std::optional<Type> optional_value{};
    std::string reason{};
};

} // namespace kumquatdrift

#endif
