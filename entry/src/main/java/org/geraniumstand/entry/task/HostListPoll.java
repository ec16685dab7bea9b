package org.geraniumstand.entry.task;

import java.util.Random;
import java.util.function.Consumer;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.decisions.membership.DiscoveryView;
import org.geraniumstand.model.fleet.FleetChange;
import org.geraniumstand.outside.cloud.HostList;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerNetwork;

/**
 * Reads the platform's list of hosts again and again, tells the core what it says and the peers what is new in it.
 *
 * <p>The longer the list, the less often each process reads it, so that the bytes stay within bounds; as all read at
 * different times and pass changes on, the fleet as a whole still sees them soon.
 */
public final class HostListPoll {
    private static final long SHORTEST_PERIOD_MILLIS = 500;
    private static final long LONGEST_PERIOD_MILLIS = 30_000;
    private static final int BYTES_PER_SERVER = 250;
    private static final int BYTES_PER_SECOND = 6_000;
    private static final int MILLIS_PER_SECOND = 1_000;

    private final HostList hosts;
    private final Timer timer;
    private final PeerNetwork peers;
    private final Consumer<Observation> core;
    private final Random random;
    private final DiscoveryView view = new DiscoveryView();

    /**
     * Creates a poll.
     *
     * @param hosts the platform's list
     * @param timer waits between reads; its thread owns the state
     * @param peers told of changes
     * @param core told what the list says
     * @param random spreads the reads over time
     */
    public HostListPoll(HostList hosts, Timer timer, PeerNetwork peers, Consumer<Observation> core, Random random) {
        this.hosts = hosts;
        this.timer = timer;
        this.peers = peers;
        this.core = core;
        this.random = random;
    }

    /** Starts to read; it goes on until the timer stops. */
    public void start() {
        peers.subscribe(PeerMessage.FleetUpdate.class, (_from, news) -> timer.after(() -> onNews(news.change()), 0));
        read();
    }

    private void read() {
        hosts.read(result -> {
            result.value().ifPresent(this::accept);
            timer.after(this::read, spread(periodMillis(view.servers().size())));
        });
    }

    private void accept(HostList.Listing listing) {
        FleetChange change = view.onRead(listing.servers(), listing.notices(), System.nanoTime());
        tell();
        if (!change.isEmpty()) {
            peers.broadcast(new PeerMessage.FleetUpdate(change));
        }
    }

    private void onNews(FleetChange change) {
        view.onChange(change, System.nanoTime());
        if (view.hasRead()) {
            tell();
        }
    }

    private void tell() {
        core.accept(new Observation.ServersListed(view.servers()));
        core.accept(new Observation.ReclaimNoticesRead(view.notices()));
    }

    static long periodMillis(int servers) {
        long period = (long) MILLIS_PER_SECOND * BYTES_PER_SERVER * servers / BYTES_PER_SECOND;
        return Math.max(SHORTEST_PERIOD_MILLIS, Math.min(LONGEST_PERIOD_MILLIS, period));
    }

    private long spread(long millis) {
        return millis * 3 / 4 + (long) (random.nextDouble() * millis / 2);
    }
}
