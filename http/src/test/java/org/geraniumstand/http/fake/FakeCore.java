package org.geraniumstand.http.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.http.RequestMailbox;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.HostId;
import org.geraniumstand.model.id.RequestId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.request.AttemptEnd;
import org.geraniumstand.model.request.Refusal;
import org.geraniumstand.model.request.RefusalReason;
import org.geraniumstand.model.request.RequestInfo;

/** Dispatches attempt 1 to the first port and attempt 2 to the second, and refuses when no port is left. */
public final class FakeCore implements CoreInbox {
    private final Configuration configuration;
    private final List<Integer> ports;
    private final Map<RequestId, RequestInfo> requests = new HashMap<>();
    private final Map<RequestId, RequestMailbox> mailboxes = new HashMap<>();
    private final List<Observation> observations = new CopyOnWriteArrayList<>();
    private long firstByteMillis = 5_000;
    private long betweenBytesMillis = 5_000;

    /**
     * Creates a core.
     *
     * @param configuration the configuration in force
     * @param ports ports of the backend servers, one for each attempt
     */
    public FakeCore(Configuration configuration, List<Integer> ports) {
        this.configuration = configuration;
        this.ports = List.copyOf(ports);
    }

    /**
     * Sets the response timeout of attempts.
     *
     * @param millis the timeout in milliseconds
     */
    public FakeCore setResponseTimeout(long millis) {
        firstByteMillis = millis;
        betweenBytesMillis = millis;
        return this;
    }

    /** Returns all observations in order. */
    public List<Observation> observations() {
        return List.copyOf(observations);
    }

    /** Returns the ends of all attempts in order. */
    public List<AttemptEnd> attemptEnds() {
        List<AttemptEnd> attemptEnds = new ArrayList<>();
        for (Observation observation : observations) {
            if (observation instanceof Observation.AttemptEnded ended) {
                attemptEnds.add(ended.report().end());
            }
        }
        return attemptEnds;
    }

    /** Returns whether the disconnect of any caller was reported. */
    public boolean anyCallerDisconnected() {
        return observations.stream().anyMatch(Observation.CallerDisconnected.class::isInstance);
    }

    /** Returns the number of requests that arrived. */
    public synchronized int arrivals() {
        return requests.size();
    }

    /**
     * Migrates all requests to another attempt while the earlier one is in progress.
     *
     * @param attempt the number of the new attempt
     */
    public synchronized void migrateTo(int attempt) {
        mailboxes.forEach((id, mailbox) -> mailbox.post(dispatch(id, attempt)));
    }

    @Override
    public synchronized void observe(Observation observation) {
        observations.add(observation);
        if (observation instanceof Observation.AttemptEnded ended) {
            onEnd(ended);
        }
    }

    @Override
    public synchronized void submit(RequestInfo request, RequestMailbox mailbox) {
        requests.put(request.id(), request);
        mailboxes.put(request.id(), mailbox);
        mailbox.post(dispatch(request.id(), 1));
    }

    @Override
    public Optional<Configuration> configuration() {
        return Optional.of(configuration);
    }

    private void onEnd(Observation.AttemptEnded ended) {
        AttemptEnd end = ended.report().end();
        if (end == AttemptEnd.ANSWERED) {
            return;
        }
        RequestId id = ended.request();
        boolean notRun = end == AttemptEnd.NOT_CONNECTED || end == AttemptEnd.DECLINED;
        boolean retry = requests.get(id).idempotent() || notRun;
        if (retry && ended.attempt() < ports.size()) {
            mailboxes.get(id).post(dispatch(id, ended.attempt() + 1));
            return;
        }
        Refusal refusal =
                notRun ? Refusal.notRun(RefusalReason.NO_SERVER, 1_000) : Refusal.unknown(RefusalReason.SERVER_FAILED);
        mailboxes.get(id).post(new Action.Refuse(id, refusal));
    }

    private Action dispatch(RequestId id, int attempt) {
        int port = ports.get(attempt - 1);
        BackendServer server = new BackendServer(
                new ServerId("s" + attempt),
                new ServiceId("any"),
                new VersionId("v1"),
                new DataCentreId("dc1"),
                new HostId("h" + attempt),
                "small",
                true,
                1,
                "127.0.0.1",
                port,
                false);
        Action.AttemptLimits limits = new Action.AttemptLimits(firstByteMillis, betweenBytesMillis, false);
        return new Action.Dispatch(id, attempt, server, limits, Action.Transfer.NONE);
    }
}
