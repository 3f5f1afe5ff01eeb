/// @file
/// @brief Looks up the sockets of processes under /proc.

#include <fuchsiagw/testing/process_sockets.hpp>

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace fuchsiagw::testing {

namespace {

/// @return inode of the connection's local socket; empty: there is none
std::string inodeOf(std::uint16_t localPort, std::uint16_t remotePort)
{
    std::ifstream connections("/proc/net/tcp");
    const std::string localEnd = fmt::format(":{:04X}", localPort);
    const std::string remoteEnd = fmt::format(":{:04X}", remotePort);
    std::string line;
    while (std::getline(connections, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        std::string timer;
        std::string retransmits;
        std::string user;
        std::string timeout;
        std::string inode;
        fields >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user
                >> timeout >> inode;
        if (local.ends_with(localEnd) && remote.ends_with(remoteEnd))
            return inode;
    }
    return {};
}

} // namespace

bool holdsConnection(pid_t process, std::uint16_t localPort, std::uint16_t remotePort)
{
    const std::string inode = inodeOf(localPort, remotePort);
    if (inode.empty() || inode == "0") // 0: the socket is closed
        return false;
    const std::string wanted = "socket:[" + inode + "]";
    std::error_code error;
    const std::filesystem::path folder = fmt::format("/proc/{}/fd", process);
    for (std::filesystem::directory_iterator each(folder, error), end; !error && each != end;
         each.increment(error)) {
        std::error_code ignored;
        if (std::filesystem::read_symlink(each->path(), ignored) == wanted)
            return true;
    }
    return false;
}

} // namespace fuchsiagw::testing
