#include <kumquatdrift/core/json_comments.hpp>

namespace kumquatdrift {

namespace {

/*! @brief Returns the position after the string literal whose opening quote is at the given position. */
std::size_t skip_string(std::string_view text, std::size_t position)
{
    for (++position; position < text.size() && text[position] != '"'; ++position) {
        if (text[position] == '\\') {
            ++position;
        }
    }
    return position + 1;
}

/*! @brief Returns the position after the comment at the given position, or that position if there is none. */
std::size_t skip_comment(std::string_view text, std::size_t position)
{
    const auto rest = text.substr(position);
    if (rest.starts_with("//")) {
        const auto end = text.find('\n', position);
        return end == std::string_view::npos ? text.size() : end;
    }
    if (rest.starts_with("/*")) {
        const auto end = text.find("*/", position + 2);
        return end == std::string_view::npos ? position : end + 2;
    }
    return position;
}

} // namespace

std::string strip_json_comments(std::string_view text)
{
    std::string blanked{text};
    for (std::size_t position = 0; position < text.size();) {
        if (text[position] == '"') {
            position = skip_string(text, position);
            continue;
        }
        const auto end = skip_comment(text, position);
        for (auto index = position; index < end; ++index) {
            if (blanked[index] != '\n') {
                blanked[index] = ' ';
            }
        }
        position = end > position ? end : position + 1;
    }
    return blanked;
}

} // namespace kumquatdrift
