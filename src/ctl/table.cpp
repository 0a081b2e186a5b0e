#include "table.hpp"

#include <algorithm>
#include <ostream>

#include <Poco/JSON/Stringifier.h>

namespace kumquatdrift::internal {

namespace {

std::string make_heading(std::string name)
{
    std::transform(name.begin(), name.end(), name.begin(), [](char c) {
        return c == '_' ? ' ' : c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
    });
    return name;
}

std::string cell_text(const Poco::Dynamic::Var& cell)
{
    return cell.isEmpty() ? "-" : cell.convert<std::string>();
}

void print_row(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths,
               std::ostream& out)
{
    for (std::size_t column = 0; column < cells.size(); ++column) {
        out << cells[column];
        if (column + 1 < cells.size()) {
            out << std::string(widths[column] - cells[column].size() + 2, ' ');
        }
    }
    out << '\n';
}

} // namespace

void print_text(const table& content, std::ostream& out)
{
    std::vector<std::vector<std::string>> lines(1);
    std::transform(content.columns.begin(), content.columns.end(), std::back_inserter(lines.front()),
                   make_heading);
    for (const auto& row : content.rows) {
        auto& line = lines.emplace_back();
        std::transform(row.begin(), row.end(), std::back_inserter(line), cell_text);
    }
    std::vector<std::size_t> widths(content.columns.size());
    for (const auto& line : lines) {
        for (std::size_t column = 0; column < line.size(); ++column) {
            widths[column] = std::max(widths[column], line[column].size());
        }
    }
    for (const auto& line : lines) {
        print_row(line, widths, out);
    }
}

Poco::JSON::Array::Ptr to_json(const table& content)
{
    Poco::JSON::Array::Ptr rows{new Poco::JSON::Array};
    for (const auto& row : content.rows) {
        auto object = make_object();
        for (std::size_t column = 0; column < row.size(); ++column) {
            object->set(content.columns[column], row[column]);
        }
        rows->add(object);
    }
    return rows;
}

Poco::JSON::Object::Ptr make_object()
{
    return new Poco::JSON::Object{Poco::JSON_PRESERVE_KEY_ORDER};
}

void print_json(const Poco::Dynamic::Var& value, std::ostream& out)
{
    constexpr unsigned int indentation = 2;
    Poco::JSON::Stringifier::stringify(value, out, indentation);
    out << '\n';
}

} // namespace kumquatdrift::internal
