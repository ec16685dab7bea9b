package org.geraniumstand.entry.task;

import org.geraniumstand.decisions.Observation;
import org.geraniumstand.http.CoreInbox;
import org.geraniumstand.platform.cloud.HostList;
import org.geraniumstand.platform.net.HttpCalls;

/** Reads the platform's list of hosts again and again and tells the core what it says. */
public final class HostListPoll {
    private static final long PERIOD_MILLIS = 500;

    private final HostList hosts;
    private final HttpCalls calls;
    private final CoreInbox core;

    /**
     * Creates a poll.
     *
     * @param hosts the platform's list
     * @param calls waits between reads
     * @param core told what the list says
     */
    public HostListPoll(HostList hosts, HttpCalls calls, CoreInbox core) {
        this.hosts = hosts;
        this.calls = calls;
        this.core = core;
    }

    /** Starts to read; it goes on until the calls are closed. */
    public void start() {
        hosts.read(result -> {
            result.value().ifPresent(this::accept);
            calls.schedule(this::start, PERIOD_MILLIS);
        });
    }

    private void accept(HostList.Listing listing) {
        core.tell(new Observation.FleetListed(listing.servers()));
        core.tell(new Observation.ReclaimsNoticed(listing.notices()));
    }
}
