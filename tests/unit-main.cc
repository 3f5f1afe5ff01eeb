/// @file
/// @brief Entry point of the unit test programs.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv)
{
    // CppUTest reports static caches of the standard library as leaks. Leaks are detected by the
    // sanitizer build instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
