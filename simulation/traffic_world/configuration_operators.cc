#include "simulation/traffic_world/configuration_operators.h"

#include <algorithm>
#include <utility>

namespace graniteseam::simulation {
namespace {

    constexpr Duration kPauseMinimum {1'000'000};
    constexpr Duration kPauseMaximum {6'000'000};
    constexpr Duration kCallLimit {1'000'000};
    constexpr Duration kTurnPause {50'000};
    /// The route whose source says which change made a configuration.
    constexpr auto kMarker = "marker";

    constexpr std::int64_t kTargetMs = 500;
    /// Long enough for coordinated admission.
    constexpr std::int64_t kCoordinatedTargetMs = 1'000;

    auto route(std::string const& name, std::string const& host, std::string const& prefix,
        std::string const& service, bool repeatable, std::int64_t target_ms = kTargetMs) -> traffic::Route
    {
        traffic::Route route;
        route.name = {name};
        route.host = host;
        route.path_prefix = prefix;
        route.kind = repeatable ? traffic::RouteKind::kSafe : traffic::RouteKind::kUnsafe;
        route.timeout_ms = 2'500;
        route.target_latency_ms = target_ms;
        route.attempts_maximum = 3;
        route.split = {{{service}, 1.0}};
        return route;
    }

    auto marker(std::string const& content) -> traffic::Route
    {
        auto marker = route(kMarker, kMarker, "/marker/", kPooledService, true);
        marker.source = content;
        return marker;
    }

    auto content_of(traffic::Configuration const& configuration) -> std::string
    {
        auto const& routes = configuration.routes;
        auto const found = std::find_if(
            routes.begin(), routes.end(), [](auto const& route) { return route.name.value == kMarker; });
        return found == routes.end() ? "" : found->source;
    }

    auto service(std::string const& name, bool keyed, traffic::LeaseForm form) -> traffic::Service
    {
        traffic::Service service;
        service.name = {name};
        service.keyed = keyed;
        service.health_path = "/health";
        service.connections_maximum = 100;
        service.lease_form = form;
        return service;
    }

    auto first_change(bool coordination, int further_routes) -> traffic::ConfigurationChange
    {
        traffic::ConfigurationChange change;
        change.version = {1};
        change.whole = true;
        change.digest = "first";
        change.services = {service(kOrderedService, true, traffic::LeaseForm::kOrders),
            service(kLeasedService, true, traffic::LeaseForm::kHeartbeat),
            service(kPooledService, false, traffic::LeaseForm::kOrders)};
        for (auto const* name : {kOrderedService, kLeasedService, kPooledService}) {
            for (auto const repeatable : {true, false}) {
                auto const prefix = "/" + std::string(name) + (repeatable ? "/safe/" : "/unsafe/");
                auto const coordinated = coordination && name == kLeasedService;
                auto const target = coordinated ? kCoordinatedTargetMs : kTargetMs;
                change.routes.push_back(route(prefix, "host", prefix, name, repeatable, target));
            }
        }
        for (int number = 0; number < further_routes; ++number) {
            auto const prefix = "/further/" + std::to_string(number) + "/";
            change.routes.push_back(route(prefix, "host", prefix, kPooledService, true, kTargetMs));
        }
        change.routes.push_back(marker(change.digest));
        return change;
    }

} // namespace

auto ConfigurationOperators::start() -> void
{
    send(0, first_change(m_fleet.options().coordination, m_fleet.options().further_routes));
    plan(1);
}

auto ConfigurationOperators::plan(std::uint32_t number) -> void
{
    m_world.queue.After(m_world.random.Between(kPauseMinimum, kPauseMaximum), [this, number] {
        if (!m_resting)
            read(number, [this, number](auto const& base) { change(number, base); });
    });
}

auto ConfigurationOperators::race() -> void
{
    for (std::uint32_t const number : {0, 1}) {
        read(number, [this, number](auto const& base) {
            if (!m_resting)
                change(number, base);
        });
    }
}

auto ConfigurationOperators::ask(std::uint32_t number, control::OperatorRequest const& request,
    OnAnswer const& answered, std::function<void()> const& silent) -> void
{
    auto const ended = std::make_shared<bool>(false);
    auto& target = m_targets[number];
    m_fleet.ask({NodeKind::kOperator, number + 1}, target, request,
        [this, number, answered, ended](control::OperatorAnswer const& answer) {
            if (std::exchange(*ended, true))
                return;
            if (std::holds_alternative<Error>(answer))
                m_targets[number] = m_targets[number] % kTrafficControls + 1;
            answered(answer);
        });
    m_world.queue.After(kCallLimit, [this, number, silent, ended] {
        if (std::exchange(*ended, true))
            return;
        m_targets[number] = m_targets[number] % kTrafficControls + 1;
        silent();
    });
}

auto ConfigurationOperators::read(std::uint32_t number, OnConfiguration const& taken) -> void
{
    auto const again = [this, number, taken] {
        m_world.queue.After(kTurnPause, [this, number, taken] { read(number, taken); });
    };
    ask(
        number, control::ReadConfiguration {},
        [this, asked = m_world.now(), taken, again](control::OperatorAnswer const& answer) {
            auto const* const view = std::get_if<control::ConfigurationView>(&answer);
            if (view == nullptr)
                return again();
            auto const& configuration = view->configuration;
            // Before the first one there is nothing to look at.
            if (configuration.version.value == 0)
                return again();
            m_oracle.on_configuration_read(
                configuration.version.value, content_of(configuration), asked, m_world.now());
            taken(configuration);
        },
        again);
}

auto ConfigurationOperators::read_once(std::function<void()> const& answered) -> void
{
    read(0, [answered](auto const&) { answered(); });
}

auto ConfigurationOperators::change(std::uint32_t number, traffic::Configuration const& base) -> void
{
    traffic::ConfigurationChange change;
    change.base = base.version;
    // Racing operators choose the same number now and then.
    change.version = {base.version.value + 1 + m_world.random.Below(2)};
    change.digest = "change " + std::to_string(++m_changes) + " of operator " + std::to_string(number + 1);
    change.routes.push_back(marker(change.digest));
    auto changed = base.routes[m_world.random.Below(base.routes.size())];
    if (changed.name.value != kMarker) {
        changed.timeout_ms = static_cast<std::int64_t>(1'500 + m_world.random.Below(1'500));
        change.routes.push_back(changed);
    }
    if (std::exchange(m_turns_form, false)) {
        for (auto const& service : base.services) {
            auto const name = m_world.random.Chance(0.5) ? kOrderedService : kLeasedService;
            if (!service.keyed || service.name.value != name)
                continue;
            auto turned = service;
            turned.lease_form = service.lease_form == traffic::LeaseForm::kOrders
                ? traffic::LeaseForm::kHeartbeat
                : traffic::LeaseForm::kOrders;
            change.services.push_back(turned);
            m_world.Count("lease form turned");
            m_world.Trace("the lease form of " + turned.name.value + " turns");
            break;
        }
    }
    send(number, change);
}

auto ConfigurationOperators::send(std::uint32_t number, traffic::ConfigurationChange const& change) -> void
{
    auto const again = [this, number, change] {
        m_world.queue.After(kTurnPause, [this, number, change] { send(number, change); });
    };
    if (m_fleet.defect() == TrafficDefect::kAcknowledgedBeforeCommit && change.base.value > 0)
        m_oracle.on_change_accepted(change.version.value, change.base.value, change.digest, m_world.now());
    ask(
        number, control::ChangeConfiguration {change},
        [this, number, change, again](control::OperatorAnswer const& answer) {
            if (on_answer(number, change, answer))
                return plan(number);
            again();
        },
        again);
}

/// @return whether the answer is clear, so that the change is not sent again.
auto ConfigurationOperators::on_answer(std::uint32_t number, traffic::ConfigurationChange const& change,
    control::OperatorAnswer const& answer) -> bool
{
    auto const version = change.version.value;
    if (std::holds_alternative<control::Accepted>(answer)) {
        ++m_accepted;
        m_world.Trace("operator " + std::to_string(number + 1) + " has version " + std::to_string(version)
            + " accepted");
        m_oracle.on_change_accepted(version, change.base.value, change.digest, m_world.now());
        return true;
    }
    auto const* const error = std::get_if<Error>(&answer);
    auto const refused = error != nullptr
        && (error->kind == ErrorKind::kVersionConflict || error->kind == ErrorKind::kInvalidArgument);
    if (!refused)
        return false;
    m_world.Count("change refused");
    m_oracle.on_change_refused(version, change.digest, m_world.now());
    return true;
}

} // namespace graniteseam::simulation
