/// @file
/// @brief Reads tables of documentation pages for comparison with the program.

#pragma once

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

/// @return the cells of each table row whose first cell starts with a digit or a backtick, trimmed
/// and without backticks; empty if the page does not exist
inline std::vector<std::vector<std::string>> readDocRows(const std::string &page)
{
    std::ifstream file(std::filesystem::path(FUCHSIAGW_SOURCE_DIR) / "docs" / page);
    std::vector<std::vector<std::string>> rows;
    for (std::string line; std::getline(file, line);) {
        const bool isRow = line.size() > 2 && line[0] == '|'
                           && (line[2] == '`' || (line[2] >= '0' && line[2] <= '9'));
        if (!isRow)
            continue;
        std::vector<std::string> cells(1);
        for (const char each : line.substr(2)) {
            if (each == '|')
                cells.emplace_back();
            else if (each != '`')
                cells.back() += each;
        }
        cells.pop_back();
        for (std::string &cell : cells) {
            const std::size_t first = cell.find_first_not_of(' ');
            cell = first == std::string::npos
                           ? std::string()
                           : cell.substr(first, cell.find_last_not_of(' ') - first + 1);
        }
        rows.push_back(cells);
    }
    return rows;
}
