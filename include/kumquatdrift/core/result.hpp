#ifndef KUMQUATDRIFT_CORE_RESULT_HPP
#define KUMQUATDRIFT_CORE_RESULT_HPP

#include <cassert>
#include <optional>
#include <string>
#include <utility>

#include <kumquatdrift/core/fwd.hpp>

namespace kumquatdrift {

/*! @brief Reason why an operation failed. Converts implicitly to any `result`. */
struct failure {
    /*! @brief One short sentence that says what is wrong and what to do. */
    std::string reason{};
};

/**
 * @brief Result of an operation: a value, or the reason why there is none.
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
     * @brief Constructs a failed result without a value.
     * @param cause The reason of the failure.
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
     * @brief Returns the value. The result must hold one.
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
     * @brief Returns a pointer to the value. The result must hold one.
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
     * @brief Returns the reason why there is no value.
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
