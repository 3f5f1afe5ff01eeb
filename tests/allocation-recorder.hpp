/// @file
/// @brief Records the largest allocation, for tests that bound the memory of a parser.

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdlib>

namespace fuchsiagw {

inline thread_local std::size_t largestAllocation = 0;

/// Records the largest allocation; CppUTest's operator new calls it once it is set as
/// PlatformSpecificMalloc.
inline void *recordingMalloc(std::size_t size)
{
    largestAllocation = std::max(largestAllocation, size);
    return std::malloc(size);
}

} // namespace fuchsiagw
