#ifndef KUMQUATDRIFT_SRC_CONFIG_READ_CONTEXT_HPP
#define KUMQUATDRIFT_SRC_CONFIG_READ_CONTEXT_HPP

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "json.hpp"

namespace kumquatdrift::internal {

/*! @brief Tracks the path to the value that is read and the first error found. */
class read_context {
public:
    /*! @brief Appends the name of a member to the path for its own lifetime. */
    class member_scope {
    public:
        /**
         * @brief Appends a member to the path.
         * @param context The context.
         * @param name Name of the member; must outlive the scope.
         */
        member_scope(read_context& context, std::string_view name) : owner{context}
        {
            this->owner.path.push_back(name);
        }
        member_scope(const member_scope&) = delete;
        member_scope& operator=(const member_scope&) = delete;
        ~member_scope()
        {
            this->owner.path.pop_back();
        }

    private:
        read_context& owner;
    };

    /**
     * @brief Records an error at the current path, unless one has been recorded before.
     * @param message What was found and what is accepted.
     */
    void fail(std::string_view message);

    /**
     * @brief Checks whether an error has been recorded.
     * @return True if there is one.
     */
    [[nodiscard]] bool failed() const noexcept
    {
        return !this->error.empty();
    }

    /**
     * @brief Returns the first error.
     * @return JSON pointer to the value, a colon and the message; empty if there is no error.
     */
    [[nodiscard]] const std::string& first_error() const noexcept
    {
        return this->error;
    }

private:
    std::vector<std::string_view> path{};
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
 * @param context Path of the value; receives the error.
 * @return The integer, or the low end of the range after an error.
 */
[[nodiscard]] std::uint64_t read_integer(const json_value& value, integer_range range, read_context& context);

/**
 * @brief Reads a boolean.
 * @param value The value.
 * @param context Path of the value; receives the error.
 * @return The boolean, or false after an error.
 */
[[nodiscard]] bool read_boolean(const json_value& value, read_context& context);

/**
 * @brief Reads a string.
 * @param value The value.
 * @param context Path of the value; receives the error.
 * @return The string, empty after an error.
 */
[[nodiscard]] std::string read_string(const json_value& value, read_context& context);

/**
 * @brief Names the JSON type of a value for error messages.
 * @param value The value.
 * @return Name of the type with its article.
 */
[[nodiscard]] std::string_view type_name(const json_value& value) noexcept;

/*! @brief Reads one member of a JSON object into a struct. */
template<typename Type>
struct member_rule {
    /*! @brief Name of the member. */
    std::string_view name{};
    /*! @brief Reads the value and stores it in the struct. */
    void (*read)(const json_value& value, Type& into, read_context& context){};
};

/**
 * @brief Reads the members of an object into a struct. A member without a rule is an error.
 * @param value The object.
 * @param rules One rule for each known member.
 * @param into Struct to write to.
 * @param skip_null True to skip null members instead of passing them to their rules.
 * @param context Path of the object; receives the first error.
 */
template<typename Type>
void read_members(const json_value& value, std::span<const member_rule<Type>> rules, Type& into,
                  bool skip_null, read_context& context)
{
    const auto* const object = as_object(value);
    if (object == nullptr) {
        context.fail(std::string{type_name(value)} + " found; accepted is an object");
        return;
    }
    for (const auto& [name, member] : std::as_const(**object)) {
        const read_context::member_scope scope{context, name};
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
            context.fail("unknown member; accepted are " + names);
        }
        else if (!member.isEmpty() || !skip_null) {
            matching->read(member, into, context);
        }
        if (context.failed()) {
            return;
        }
    }
}

} // namespace kumquatdrift::internal

#endif
