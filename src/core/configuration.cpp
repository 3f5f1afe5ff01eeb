/// @file
/// @brief Questions to a configuration.

#include <fuchsiagw/core/configuration.hpp>

namespace fuchsiagw::core {

bool isAutomatic(const configuration &config, automatic_action action)
{
    const auto isOn = [&config](automatic_action each) {
        const auto entry = config.switches.find(each);
        return entry == config.switches.end() || entry->second;
    };
    return isOn(automatic_action::All) && isOn(action);
}

} // namespace fuchsiagw::core
