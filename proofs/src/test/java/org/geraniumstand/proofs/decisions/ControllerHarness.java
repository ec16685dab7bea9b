package org.geraniumstand.proofs.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.TrafficController;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.LoadReport;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.AttemptResult;
import org.geraniumstand.model.request.RequestInfo;
import org.geraniumstand.model.time.Timestamp;

/** Sends observations to one controller and checks each of its actions against a ledger. */
final class ControllerHarness {
    static final ProcessId SELF = new ProcessId("p1");

    private static final long REQUEST_TIMEOUT_MILLIS = 5_000;
    private static final long RECLAIM_NOTICE_MILLIS = 10_000;

    private final TrafficController controller = new TrafficController(SELF);
    private final Map<RequestId, LedgerEntry> ledger = new TreeMap<>();
    private final Map<ServerId, Integer> inFlight = new HashMap<>();
    private final Set<ServerId> knownWarm = new HashSet<>();
    private final Set<HostId> reclaimed = new HashSet<>();
    private Map<ServerId, BackendServer> fleet = new TreeMap<>();
    private Configuration configuration = Fixtures.configuration();
    private Timestamp now = new Timestamp(1_000_000_000L, 1_000_000L);
    private int nextRequest = 1;

    ControllerHarness() {
        fleet = Fixtures.fleet();
        observe(new Observation.ConfigurationAccepted(configuration));
        observe(new Observation.MembersUpdated(
                List.of(new Member(SELF, new DataCentreId("dc-a"), "127.0.0.1", 1, 2, 3, 1, false))));
        observe(new Observation.ServersListed(List.copyOf(fleet.values())));
    }

    void arrive(boolean order) {
        RequestId id = new RequestId("r" + nextRequest++);
        RequestInfo requestInfo = new RequestInfo(
                id,
                Fixtures.TEAM,
                order ? Fixtures.ORDER_DESK : Fixtures.MODEL,
                order ? Fixtures.ORDERS_ROUTE : Fixtures.CHAT_ROUTE,
                !order,
                !order,
                Priority.INTERACTIVE,
                now.nanos() + REQUEST_TIMEOUT_MILLIS * Timestamp.NANOS_PER_MILLI,
                200,
                50,
                List.of());
        ledger.put(id, new LedgerEntry(requestInfo));
        observe(new Observation.RequestArrived(requestInfo));
    }

    void endAttempt(int pick, AttemptEnd end) {
        Optional<LedgerEntry> picked = pickRunning(pick);
        if (picked.isEmpty()) {
            return;
        }
        LedgerEntry entry = picked.get();
        int attempt = entry.endAttempt(end);
        BackendServer server = entry.server();
        inFlight.merge(server.id(), -1, Integer::sum);
        if (end == AttemptEnd.ANSWERED) {
            knownWarm.add(server.id());
        }
        AttemptResult report = new AttemptResult(end, 20, 100, end == AttemptEnd.ANSWERED ? 50 : 0, -1);
        observe(new Observation.AttemptEnded(entry.requestInfo().id(), attempt, report));
    }

    void disconnectCaller(int pick) {
        pickRunning(pick).ifPresent(entry -> {
            inFlight.merge(entry.server().id(), -1, Integer::sum);
            entry.disconnectCaller();
            observe(new Observation.CallerDisconnected(entry.requestInfo().id()));
        });
    }

    void markDraining(int pick) {
        BackendServer server = pickServer(pick);
        fleet.put(server.id(), Fixtures.withDraining(server));
        observe(new Observation.ServersListed(List.copyOf(fleet.values())));
    }

    void reclaim(int pick) {
        reclaimed.add(pickServer(pick).host());
        long due = now.epochMillis() + RECLAIM_NOTICE_MILLIS;
        observe(new Observation.ReclaimNoticesRead(
                reclaimed.stream().map(host -> new ReclaimNotice(host, due)).toList()));
    }

    void setDataCentresOut(Set<DataCentreId> out) {
        configuration = configuration.withDataCentresOut(out).withGeneration(configuration.generation() + 1);
        observe(new Observation.ConfigurationAccepted(configuration));
    }

    void replayOldConfiguration() {
        observe(new Observation.ConfigurationAccepted(
                Fixtures.configuration().withGeneration(configuration.generation() - 1)));
    }

    void reportLoad(int pick, boolean warm) {
        BackendServer server = pickServer(pick);
        if (warm) {
            knownWarm.add(server.id());
        }
        int running = inFlight.getOrDefault(server.id(), 0);
        observe(new Observation.LoadReported(server.id(), new LoadReport(running, 0, warm, 0, 50)));
    }

    void advanceTime(long millis) {
        long remaining = millis;
        while (remaining > 0) {
            now = now.plus(Duration.ofMillis(Observation.TICK_MILLIS));
            remaining -= Observation.TICK_MILLIS;
            observe(new Observation.Tick());
        }
    }

    void stepWallClock(long millis) {
        now = new Timestamp(now.nanos(), now.epochMillis() + millis);
        observe(new Observation.Tick());
    }

    /** Advances time beyond all deadlines and requires that each request has ended or has an attempt in progress. */
    void expireWaitingRequests() {
        advanceTime(2 * REQUEST_TIMEOUT_MILLIS);
        ledger.values().forEach(LedgerEntry::requireEndedOrInProgress);
    }

    void requireGeneration() {
        long inForce = controller.configuration().orElseThrow().generation();
        Require.that(inForce == configuration.generation(), "generation " + inForce + " is in force");
    }

    private Optional<LedgerEntry> pickRunning(int pick) {
        List<LedgerEntry> running =
                ledger.values().stream().filter(LedgerEntry::running).toList();
        return running.isEmpty() ? Optional.empty() : Optional.of(running.get(pick % running.size()));
    }

    private BackendServer pickServer(int pick) {
        List<BackendServer> servers = new ArrayList<>(fleet.values());
        return servers.get(pick % servers.size());
    }

    private void observe(Observation observation) {
        controller.handle(observation, now).forEach(this::check);
    }

    private void check(Action action) {
        if (action instanceof Action.Dispatch dispatch) {
            checkDispatch(dispatch);
        } else if (action instanceof Action.Refuse refuse) {
            LedgerEntry entry = ledger.get(refuse.request());
            if (entry.running()) {
                inFlight.merge(entry.server().id(), -1, Integer::sum);
            }
            entry.refuse(refuse.refusal());
        }
    }

    private void checkDispatch(Action.Dispatch dispatch) {
        LedgerEntry entry = ledger.get(dispatch.request());
        BackendServer server = fleet.get(dispatch.server().id());
        String description = dispatch.request() + " to " + dispatch.server().id();
        Require.that(server != null, description + ": the server is not listed");
        Require.that(!server.leaving(), description + ": the server is draining");
        Require.that(!reclaimed.contains(server.host()), description + ": the host is being reclaimed");
        Require.that(
                !configuration.dataCentresOut().contains(server.dataCentre()),
                description + ": the data centre is out of service");
        Require.that(now.nanos() < entry.requestInfo().deadlineNanos(), description + ": the deadline has passed");
        if (entry.running()) {
            inFlight.merge(entry.server().id(), -1, Integer::sum);
        }
        entry.dispatch(dispatch);
        int load = inFlight.merge(server.id(), 1, Integer::sum);
        int cold = configuration.service(server.service()).orElseThrow().coldConcurrency();
        Require.that(
                knownWarm.contains(server.id()) || load <= cold, description + ": the server is cold, load " + load);
    }
}
