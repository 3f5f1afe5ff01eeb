/// @file
/// @brief Human-readable tables.

#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace fuchsiagw::ctl {

/// Rows with equal numbers of columns.
using text_table = std::vector<std::vector<std::string>>;

/// @brief Prints a table with aligned columns.
/// @complexity linear in the size of the table
void printTable(std::ostream &out, const text_table &table);

} // namespace fuchsiagw::ctl
