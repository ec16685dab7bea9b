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
import org.geraniumstand.model.request.RequestFacts;

/** Sends attempt 1 to the first port, attempt 2 to the second one, and refuses when there is no more. */
public final class FakeCore implements CoreInbox {
    private final Configuration configuration;
    private final List<Integer> ports;
    private final Map<RequestId, RequestFacts> facts = new HashMap<>();
    private final Map<RequestId, RequestMailbox> mailboxes = new HashMap<>();
    private final List<Observation> seen = new CopyOnWriteArrayList<>();
    private long firstByteMillis = 5_000;
    private long betweenBytesMillis = 5_000;

    /**
     * Creates a core.
     *
     * @param configuration the configuration in force
     * @param ports ports of the backend servers, one an attempt
     */
    public FakeCore(Configuration configuration, List<Integer> ports) {
        this.configuration = configuration;
        this.ports = List.copyOf(ports);
    }

    /**
     * Sets the silence that attempts allow.
     *
     * @param millis in milliseconds
     */
    public FakeCore allowSilence(long millis) {
        firstByteMillis = millis;
        betweenBytesMillis = millis;
        return this;
    }

    /** Returns all that was observed. */
    public List<Observation> seen() {
        return List.copyOf(seen);
    }

    /** Returns how attempts ended, in order. */
    public List<AttemptEnd> ends() {
        List<AttemptEnd> ends = new ArrayList<>();
        for (Observation observation : seen) {
            if (observation instanceof Observation.AttemptEnded ended) {
                ends.add(ended.report().end());
            }
        }
        return ends;
    }

    /** Returns whether a request was given up because its caller left. */
    public boolean abandoned() {
        return seen.stream().anyMatch(Observation.CallerDisconnected.class::isInstance);
    }

    /** Returns how many requests arrived. */
    public synchronized int arrivals() {
        return facts.size();
    }

    /**
     * Moves all requests to another attempt while the earlier one runs.
     *
     * @param attempt number of the attempt
     */
    public synchronized void move(int attempt) {
        mailboxes.forEach((id, mailbox) -> mailbox.post(dispatch(id, attempt)));
    }

    @Override
    public synchronized void tell(Observation observation) {
        seen.add(observation);
        if (observation instanceof Observation.AttemptEnded ended) {
            onEnd(ended);
        }
    }

    @Override
    public synchronized void arrive(RequestFacts request, RequestMailbox mailbox) {
        facts.put(request.id(), request);
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
        boolean repeat = facts.get(id).idempotent() || notRun;
        if (repeat && ended.attempt() < ports.size()) {
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
