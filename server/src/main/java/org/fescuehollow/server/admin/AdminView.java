package org.fescuehollow.server.admin;

import static org.fescuehollow.error.ShouldBeAllowedTarget.shouldBeAllowedTarget;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.fescuehollow.error.FescuehollowException;
import org.fescuehollow.kernel.Kernel;
import org.fescuehollow.model.AdapterRef;
import org.fescuehollow.model.Vm;
import org.fescuehollow.model.VmRole;
import org.fescuehollow.routing.FleetView;
import org.fescuehollow.server.config.NodeConfig;
import org.fescuehollow.server.fleet.FleetService;
import org.fescuehollow.server.routing.RoutingService;
import org.fescuehollow.server.settings.SettingsService;
import org.fescuehollow.settings.PathState;
import org.fescuehollow.settings.SettingsParser;
import org.fescuehollow.settings.SettingsView;
import org.fescuehollow.settings.TeamAccess;
import org.fescuehollow.settings.TeamTraffic;

/**
 * What operators can ask of one node; nothing here changes any state.
 *
 * <p>Used on the node's loop.
 */
final class AdminView {
    private final Kernel mKernel;
    private final NodeConfig mConfig;

    AdminView(Kernel kernel, NodeConfig config) {
        mKernel = kernel;
        mConfig = config;
    }

    private SettingsService settings() {
        return mKernel.find(SettingsService.NAME, SettingsService.class);
    }

    private FleetService fleet() {
        return mKernel.find(FleetService.NAME, FleetService.class);
    }

    Object section(String service) {
        return mKernel.dump().get(service);
    }

    /** One screen: is anything refused, stalled, cut off or behind? */
    SortedMap<String, Object> status() {
        SortedMap<String, Object> out = new TreeMap<>();
        long refused =
                settings().store().paths().values().stream()
                        .filter(p -> p.refusal().isPresent())
                        .count();
        out.put("node", mConfig.nodeId());
        out.put("failure_domain", mConfig.domain());
        out.put("settings_refused", refused);
        out.put("settings_digest", Long.toHexString(settings().store().digest()));
        out.put("settings_age_ms", settings().platformAgeMillis());
        out.put("vm_list_age_ms", fleet().platformAgeMillis());
        out.put("nodes_listed", fleet().view().vms().withRole(VmRole.ENTRY).size());
        out.put("nodes_live", fleet().liveNodes().size());
        out.put("cut_off_domains", cutOffDomains());
        out.put("in_flight", mKernel.find(RoutingService.NAME, RoutingService.class).inFlight());
        out.put("coordinated", fleet().view().coordinatedBy(mConfig.nodeId()).size());
        return out;
    }

    private SortedSet<String> cutOffDomains() {
        SortedSet<String> domains = new TreeSet<>();
        fleet().view().vms().vms().forEach(vm -> domains.add(vm.domain()));
        fleet().liveNodes().stream()
                .flatMap(n -> fleet().view().vms().find(n).stream())
                .forEach(vm -> domains.remove(vm.domain()));
        return domains;
    }

    SortedMap<String, Object> teams() {
        SortedMap<String, Object> out = new TreeMap<>();
        settings().view().teams().forEach(t -> out.put(t, team(t)));
        return out;
    }

    private SortedMap<String, Object> team(String team) {
        SettingsView view = settings().view();
        TeamTraffic traffic = view.traffic(team);
        TeamAccess access = view.access(team).orElseThrow();
        SortedMap<String, Object> out = new TreeMap<>();
        SortedMap<String, String> adapters = new TreeMap<>();
        access.adapters().forEach((a, service) -> adapters.put(a.toString(), service));
        out.put("adapters", adapters);
        out.put("services", new TreeSet<>(access.services()));
        out.put("keys", access.keyHashes().size());
        out.put("priority", traffic.priority().name().toLowerCase(Locale.ROOT));
        out.put("weight", traffic.weight());
        out.put("never_repeat_rules", traffic.rules().size());
        out.put("access_revision", revision("teams/" + team + "/access"));
        out.put("traffic_revision", revision("teams/" + team + "/traffic"));
        return out;
    }

    private long revision(String path) {
        return Optional.ofNullable(settings().store().paths().get(path))
                .flatMap(PathState::accepted)
                .map(e -> e.revision().number())
                .orElse(0L);
    }

    /** Why a team's request for an adapter would go where it goes. */
    SortedMap<String, Object> explain(String team, String model) {
        AdapterRef adapter =
                AdapterRef.parse(model)
                        .orElseThrow(() -> new FescuehollowException(shouldBeAllowedTarget(model)));
        Optional<String> service =
                settings().view().access(team).map(a -> a.adapters().get(adapter));
        SortedMap<String, Object> out = new TreeMap<>();
        out.put("adapter", adapter.toString());
        out.put("team", team);
        out.put("allowed", service.isPresent());
        service.ifPresent(s -> out.put("service", s));
        service.ifPresent(s -> out.put("engines_in_order", engines(s, adapter)));
        out.put(
                "must_not_repeat",
                settings()
                        .view()
                        .traffic(team)
                        .mustNotRepeat(adapter.name(), "POST", "/v1/chat/completions"));
        return out;
    }

    private List<String> engines(String service, AdapterRef adapter) {
        FleetView view = fleet().view();
        return view.candidates(service, adapter).stream()
                .map(
                        vm ->
                                vm.id()
                                        + " in "
                                        + vm.domain()
                                        + ", coordinated by "
                                        + view.coordinatorOf(vm).map(Vm::id).orElse("nobody"))
                .toList();
    }

    /** What a change would do if it were published now. */
    SortedMap<String, Object> trial(String path, String text) {
        Object value = SettingsParser.parse(path, text);
        SortedMap<String, Object> out = new TreeMap<>();
        out.put("path", path);
        out.put("valid", true);
        out.put("revision_in_force", revision(path));
        if (value instanceof TeamAccess access) {
            SortedSet<String> lost = new TreeSet<>();
            settings()
                    .view()
                    .access(access.team())
                    .ifPresent(a -> a.adapters().keySet().forEach(x -> lost.add(x.toString())));
            access.adapters().keySet().forEach(x -> lost.remove(x.toString()));
            out.put("adapters_no_longer_callable", lost);
            out.put("services_unknown", unknownServices(access));
        }
        return out;
    }

    private SortedSet<String> unknownServices(TeamAccess access) {
        SortedSet<String> services = new TreeSet<>(access.services());
        services.addAll(access.adapters().values());
        services.removeAll(settings().view().services());
        return services;
    }
}
