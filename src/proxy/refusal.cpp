/// @file
/// @brief Builds the answers to refused statements.

#include <fuchsiagw/proxy/refusal.hpp>

namespace fuchsiagw::proxy {

reply refuse(refusal_reason reason, transaction_state state, core::duration retryAfter)
{
    reply answer;
    answer.code = rowOf(reason).code;
    answer.message = std::string(rowOf(reason).name);
    if (retryAfter > core::duration::zero()) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(retryAfter);
        answer.message += " retry-after-ms=" + std::to_string(wait.count());
    }
    answer.state = state;
    return answer;
}

} // namespace fuchsiagw::proxy
