/// @file
/// @brief Entry point of fuchsiagwctl, the operators' command-line tool.

#include <utility>

#include <fuchsiagw/ctl/commands.hpp>
#include <fuchsiagw/ctl/flags.hpp>
#include <fuchsiagw/ctl/note_file.hpp>
#include <fuchsiagw/wire/key_hash.hpp>

#include <absl/flags/flag.h>
#include <sodium.h>

#include <cstdlib>
#include <iostream>
#include <thread>

namespace {

/// Reads the operators' secret from a file or the environment. It is never passed as an argument,
/// because other processes can read arguments.
std::string readSecret()
{
    std::string secret;
    const std::string path = absl::GetFlag(FLAGS_secret_file);
    if (!path.empty()) {
        const std::string problem = fuchsiagw::ctl::readFile(path, secret);
        if (!problem.empty())
            std::cerr << problem << '\n';
    } else if (const char *variable = std::getenv("FUCHSIAGW_OPERATOR_SECRET")) {
        secret = variable;
    }
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    return secret;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace fuchsiagw;
    using std::chrono::milliseconds;
    if (sodium_init() < 0)
        return static_cast<int>(ctl::exit_code::Usage);
    const auto start = std::chrono::steady_clock::now();
    // The secret is read at the first request, after runCommandLine() has parsed the flags.
    const ctl::admin_transport transport = [](const std::string &address, const std::string &method,
                                              const std::string &target, const std::string &body) {
        static const ctl::admin_transport http = ctl::httpTransport(readSecret());
        return http(address, method, target, body);
    };
    const ctl::command_context context{
        transport,
        [] { return wire::hashKey(readSecret()); },
        std::cout,
        std::cerr,
        [](milliseconds pause) { std::this_thread::sleep_for(pause); },
        [start] {
            return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now()
                                                            - start);
        },
    };
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(ctl::runCommandLine(arguments, context));
}
