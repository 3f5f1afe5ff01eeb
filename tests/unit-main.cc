/// @file
/// @brief Entry point shared by the unit test programs.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv)
{
    // The sanitizer build looks for leaks; CppUTest's own count is wrong for static caches of the
    // standard library.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
