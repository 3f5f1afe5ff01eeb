/// @file
/// @brief Formatting of tables.

#include <fuchsiagw/ctl/table.hpp>

#include <algorithm>

namespace fuchsiagw::ctl {

void printTable(std::ostream &out, const text_table &table)
{
    std::vector<std::size_t> widths;
    for (const auto &row : table) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : table) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool isLast = i + 1 == row.size();
            out << row[i] << (isLast ? "" : std::string(widths[i] - row[i].size() + 2, ' '));
        }
        out << '\n';
    }
}

} // namespace fuchsiagw::ctl
