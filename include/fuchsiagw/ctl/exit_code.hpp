/// @file
/// @brief Exit codes of fuchsiagwctl.

#pragma once

namespace fuchsiagw::ctl {

enum class exit_code : int {
    Done = 0,
    Refused = 1, ///< the daemon rejected the request; nothing was changed
    Usage = 2, ///< the command line or a file is invalid; nothing was sent
    Unreachable = 3, ///< no daemon answered; nothing was changed
    Unknown = 4, ///< the request was sent and its outcome is unknown
};

} // namespace fuchsiagw::ctl
