#pragma once
// HTTP statuses of targets' answers, by what they mean to a caller.

namespace dragonfly::forward {

inline constexpr int statusOk = 200;
inline constexpr int firstRedirect = 300;
inline constexpr int statusRequestTimeout = 408;
inline constexpr int statusMisdirected = 421;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int firstServerError = 500;
inline constexpr int statusUnavailable = 503;

constexpr bool isSuccess(int status)
{
    return status >= statusOk && status < firstRedirect;
}

/// Whether a caller may conclude from @p status that its request did not run.
constexpr bool impliesNotRun(int status)
{
    return status == statusRequestTimeout || status == statusMisdirected || status == statusTooManyRequests
        || status == statusUnavailable;
}

}
