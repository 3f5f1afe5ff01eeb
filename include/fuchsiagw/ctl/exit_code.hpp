/// @file
/// @brief Exit codes of fuchsiagwctl.

#pragma once

namespace fuchsiagw::ctl {

enum class exit_code : int {
    Done = 0,
    Refused = 1, ///< the daemon refused; nothing was changed
    Usage = 2, ///< the command line or a file is wrong; nothing was sent
    Unreachable = 3, ///< no daemon answered; nothing was sent
    Unknown = 4, ///< the request was sent, its outcome is not known
};

} // namespace fuchsiagw::ctl
