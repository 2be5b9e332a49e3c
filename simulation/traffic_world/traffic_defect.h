/// @file
/// Defects of the world around the product, or of its thin drivers as the world plays them: each is to
/// be caught by one of the oracle's promises. They need no special build.
#pragma once

#include <array>
#include <string_view>

namespace graniteseam::simulation {

enum class TrafficDefect {
    kNone,
    kLeaseNeverEnds,
    kOrderTakenByAnyInstance,
    kRequestSentTwice,
    kLostCountsAsRefused,
    kSurplusAnswerTaken,
    kDrainForgotten,
    kAcknowledgedBeforeCommit,
    kCutNeverHealed,
    kAttemptsShareConnection,
    kOrderAnswersBelieved,
};

struct SeededTrafficDefect {
    TrafficDefect defect;
    std::string_view name;
    std::string_view promise; ///< That is to catch it.
    std::string_view description;
};

constexpr auto seeded_traffic_defects() -> std::array<SeededTrafficDefect, 10>
{
    return {{
        {TrafficDefect::kLeaseNeverEnds, "lease-never-ends", "one_owner",
            "workers go on with keys whose lease is over"},
        {TrafficDefect::kOrderTakenByAnyInstance, "order-taken-by-any-instance", "fences",
            "workers carry out orders that are meant for another instance"},
        {TrafficDefect::kRequestSentTwice, "request-sent-twice", "at_most_once",
            "a gateway's connection sends some requests again by itself"},
        {TrafficDefect::kLostCountsAsRefused, "lost-counts-as-refused", "refusal_true",
            "an attempt without an answer counts as one that did not run"},
        {TrafficDefect::kSurplusAnswerTaken, "surplus-answer-taken", "own_answer",
            "a gateway does not look whose answer it got"},
        {TrafficDefect::kDrainForgotten, "drain-forgotten", "drained",
            "control's doorstep acknowledges the word of a drain and keeps it to itself"},
        {TrafficDefect::kAcknowledgedBeforeCommit, "acknowledged-before-commit", "accepted_stays",
            "control's doorstep acknowledges a change when it comes"},
        {TrafficDefect::kCutNeverHealed, "cut-never-healed", "recovers",
            "gateways that were cut off once never find control again"},
        {TrafficDefect::kAttemptsShareConnection, "attempts-share-connection", "refusal_true",
            "a request goes to a server again over the connection of its first attempt"},
        {TrafficDefect::kOrderAnswersBelieved, "order-answers-believed", "one_owner",
            "control believes any answer on a connection to be that of its newest order"},
    }};
}

} // namespace graniteseam::simulation
