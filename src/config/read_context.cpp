#include "read_context.hpp"

namespace kumquatdrift::internal {

void read_context::fail(std::string_view message)
{
    if (this->failed()) {
        return;
    }
    for (const auto name : this->path) {
        append_token(this->error, name);
    }
    if (this->path.empty()) {
        this->error = "/";
    }
    this->error.append(": ").append(message);
}

std::uint64_t read_integer(const json_value& value, integer_range range, read_context& context)
{
    const auto accepted =
        "; accepted are integers from " + std::to_string(range.low) + " to " + std::to_string(range.high);
    if (value.isEmpty() || !value.isInteger() || value.isBoolean()) {
        context.fail(std::string{type_name(value)} + " found" + accepted);
        return range.low;
    }
    const auto negative = value.isSigned() && value.convert<std::int64_t>() < 0;
    if (negative || value.convert<std::uint64_t>() < range.low ||
        value.convert<std::uint64_t>() > range.high) {
        context.fail(to_text(value) + " is out of range" + accepted);
        return range.low;
    }
    return value.convert<std::uint64_t>();
}

bool read_boolean(const json_value& value, read_context& context)
{
    if (value.isEmpty() || !value.isBoolean()) {
        context.fail(std::string{type_name(value)} + " found; accepted are true and false");
        return false;
    }
    return value.extract<bool>();
}

std::string read_string(const json_value& value, read_context& context)
{
    const auto* const text = as_string(value);
    if (text == nullptr) {
        context.fail(std::string{type_name(value)} + " found; accepted is a string");
        return {};
    }
    return *text;
}

std::string_view type_name(const json_value& value) noexcept
{
    if (value.isEmpty()) {
        return "null";
    }
    if (as_object(value) != nullptr) {
        return "an object";
    }
    if (as_array(value) != nullptr) {
        return "an array";
    }
    if (value.isBoolean()) {
        return "a boolean";
    }
    return value.isString() ? "a string" : value.isInteger() ? "an integer" : "a fraction";
}

} // namespace kumquatdrift::internal
