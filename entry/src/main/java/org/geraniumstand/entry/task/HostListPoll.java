package org.geraniumstand.entry.task;

import java.util.Random;
import java.util.function.Consumer;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.membership.DiscoveryView;
import org.geraniumstand.model.fleet.FleetChange;
import org.geraniumstand.outside.cloud.HostList;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerNetwork;
import org.geraniumstand.support.task.StepGuard;

/**
 * Polls the platform's host list, passes it to the core and broadcasts changes to the peers.
 *
 * <p>The polling period grows with the length of the list, which bounds the bytes read per second. Processes poll at
 * different times and broadcast changes, so all processes learn of a change soon in spite of long periods.
 */
public final class HostListPoll {
    private static final long MIN_PERIOD_MILLIS = 500;
    private static final long MAX_PERIOD_MILLIS = 30_000;
    private static final int BYTES_PER_SERVER = 250;
    private static final int READ_BYTES_PER_SECOND = 6_000;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final StepGuard guard = new StepGuard("host-list");
    private final HostList hosts;
    private final Timer timer;
    private final PeerNetwork peers;
    private final Consumer<Observation> core;
    private final Random random;
    private final DiscoveryView view = new DiscoveryView();

    /**
     * Creates a poll.
     *
     * @param hosts platform's host list
     * @param timer schedules reads; its thread owns the state
     * @param peers receives and sends changes
     * @param core receives the servers and reclaim notices listed
     * @param random adds jitter to the polling period
     */
    public HostListPoll(HostList hosts, Timer timer, PeerNetwork peers, Consumer<Observation> core, Random random) {
        this.hosts = hosts;
        this.timer = timer;
        this.peers = peers;
        this.core = core;
        this.random = random;
    }

    /** Starts polling, which runs until the timer stops. */
    public void start() {
        peers.subscribe(
                PeerMessage.FleetUpdate.class, (_from, update) -> timer.after(() -> onPeerChange(update.change()), 0));
        read();
    }

    private void read() {
        hosts.read(result -> {
            guard.run("listing", "", () -> result.value().ifPresent(this::accept));
            timer.after(this::read, jitter(periodMillis(view.servers().size())));
        });
    }

    private void accept(HostList.Listing listing) {
        FleetChange change = view.onRead(listing.servers(), listing.notices(), System.nanoTime());
        publish();
        if (!change.isEmpty()) {
            peers.broadcast(new PeerMessage.FleetUpdate(change));
        }
    }

    private void onPeerChange(FleetChange change) {
        view.onChange(change, System.nanoTime());
        if (view.hasRead()) {
            publish();
        }
    }

    private void publish() {
        core.accept(new Observation.ServersListed(view.servers()));
        core.accept(new Observation.ReclaimNoticesRead(view.notices()));
    }

    static long periodMillis(int servers) {
        long period = (long) MILLIS_PER_SECOND * BYTES_PER_SERVER * servers / READ_BYTES_PER_SECOND;
        return Math.max(MIN_PERIOD_MILLIS, Math.min(MAX_PERIOD_MILLIS, period));
    }

    private long jitter(long millis) {
        return millis * 3 / 4 + (long) (random.nextDouble() * millis / 2);
    }
}
