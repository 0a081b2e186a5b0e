#ifndef KUMQUATDRIFT_SRC_CONFIG_READING_HPP
#define KUMQUATDRIFT_SRC_CONFIG_READING_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "json.hpp"

namespace kumquatdrift::internal {

/*! @brief Place in a document and the first error found. */
class reading {
public:
    /*! @brief Keeps a member name on the place as long as it exists. */
    class scope {
    public:
        /**
         * @brief Enters a member.
         * @param in The reading.
         * @param name Name of the member; must outlive the scope.
         */
        scope(reading& in, std::string_view name) : owner{in}
        {
            this->owner.place.push_back(name);
        }
        scope(const scope&) = delete;
        scope& operator=(const scope&) = delete;
        ~scope()
        {
            this->owner.place.pop_back();
        }

    private:
        reading& owner;
    };

    /**
     * @brief Records an error at the current place, unless there is an earlier one.
     * @param message What is wrong and what is accepted.
     */
    void fail(std::string_view message);

    /**
     * @brief Checks for an error.
     * @return True if there is one.
     */
    [[nodiscard]] bool failed() const noexcept
    {
        return !this->error.empty();
    }

    /**
     * @brief Returns the first error.
     * @return JSON pointer, a colon and the message.
     */
    [[nodiscard]] const std::string& first_error() const noexcept
    {
        return this->error;
    }

private:
    std::vector<std::string_view> place{};
    std::string error{};
};

/*! @brief Accepted range of an integer, both ends included. */
struct integer_range {
    /*! @brief Smallest value. */
    std::uint64_t low{};
    /*! @brief Largest value. */
    std::uint64_t high{};
};

/**
 * @brief Reads an integer.
 * @param value The value.
 * @param range Accepted range.
 * @param in Place of the value.
 * @return The integer, or the low end of the range after an error.
 */
[[nodiscard]] std::uint64_t read_integer(const json_value& value, integer_range range, reading& in);

/**
 * @brief Reads a boolean.
 * @param value The value.
 * @param in Place of the value.
 * @return The boolean, or false after an error.
 */
[[nodiscard]] bool read_boolean(const json_value& value, reading& in);

/**
 * @brief Reads a string.
 * @param value The value.
 * @param in Place of the value.
 * @return The string, empty after an error.
 */
[[nodiscard]] std::string read_string(const json_value& value, reading& in);

/**
 * @brief Names the type of a value for messages.
 * @param value The value.
 * @return Name of the JSON type.
 */
[[nodiscard]] std::string_view type_name(const json_value& value) noexcept;

/*! @brief How to read one member of an object into a struct. */
template<typename Type>
struct member_rule {
    /*! @brief Name of the member. */
    std::string_view name{};
    /*! @brief Reads the value. */
    void (*read)(const json_value& value, Type& into, reading& in){};
};

/**
 * @brief Reads the members of an object by rules. A member without rule is an error.
 * @param value The object.
 * @param rules Rules by member.
 * @param into Struct to fill.
 * @param skip_null True to skip null members.
 * @param in Place of the object.
 */
template<typename Type>
void read_members(const json_value& value, std::span<const member_rule<Type>> rules, Type& into,
                  bool skip_null, reading& in)
{
    const auto* const object = as_object(value);
    if (object == nullptr) {
        in.fail(std::string{type_name(value)} + " found; accepted is an object");
        return;
    }
    for (const auto& [name, member] : std::as_const(**object)) {
        const reading::scope inner{in, name};
        const member_rule<Type>* matching = nullptr;
        std::string names;
        for (const auto& rule : rules) {
            if (rule.name == name) {
                matching = &rule;
                break;
            }
        }
        if (matching == nullptr) {
            for (const auto& rule : rules) {
                names.append(names.empty() ? "" : ", ").append(rule.name);
            }
            in.fail("unknown member; accepted are " + names);
        }
        else if (!member.isEmpty() || !skip_null) {
            matching->read(member, into, in);
        }
        if (in.failed()) {
            return;
        }
    }
}

} // namespace kumquatdrift::internal

#endif
