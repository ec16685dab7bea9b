package org.geraniumstand.entry.relay;

import java.util.Optional;
import java.util.Random;
import org.geraniumstand.decisions.relay.DutyHold;
import org.geraniumstand.decisions.relay.DutySeeking;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.DutyDesk;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.support.log.Log;

/** Takes the duties for this process when nobody holds them, and keeps them by a lease in the store. */
final class LeaderElection {
    private static final Log LOG = Log.of(LeaderElection.class);

    /** Key of the record that names the holder. */
    static final String KEY = "geraniumstand/duty";

    /** Renewals in the lease's time; one may fail without the duty being lost. */
    private static final int RENEWALS = 3;

    private final RevisionStore store;
    private final Timer timer;
    private final Random random;
    private final String holder;
    private final long ttlMillis;
    private final DutyHold hold;
    private boolean first = true;
    private boolean free;
    private boolean trying;
    private boolean ended;

    LeaderElection(RevisionStore store, Timer timer, Random random, String holder, long ttlMillis) {
        this.store = store;
        this.timer = timer;
        this.random = random;
        this.holder = holder;
        this.ttlMillis = ttlMillis;
        this.hold = new DutyHold(ttlMillis);
    }

    void start() {
        look();
    }

    /** Gives the duty back, so that another process takes it at once. */
    void end() {
        ended = true;
        if (hold.held()) {
            hold.onLost();
            store.endLease(hold.lease(), _result -> {});
        }
    }

    /** Returns the words to act under, or nothing if this process may not act now. */
    Optional<DutyDesk.Claim> claim() {
        return hold.fence(System.nanoTime()).map(fence -> new DutyDesk.Claim(holder, fence));
    }

    /** Notes that a higher fence was seen. */
    void onFenced() {
        if (hold.held()) {
            LOG.warn("duty-fenced", Field.of("holder", holder));
            hold.onLost();
            store.endLease(hold.lease(), _result -> {});
        }
    }

    /** Takes in whether this process is one of the first to take the duty when nobody holds it. */
    void onFirst(boolean next) {
        first = next;
    }

    /** Takes in that the record that names the holder was written or removed. */
    void onRecord(boolean present) {
        free = !present;
        if (free && !hold.held()) {
            tryLater();
        }
    }

    private void look() {
        timer.after(this::look, DutySeeking.lookMillis(first, random.nextDouble()));
        if (hold.held() || trying || ended) {
            return;
        }
        store.read(KEY, result -> result.value().ifPresent(item -> onRecord(item.isPresent())));
    }

    private void tryLater() {
        if (!trying && !ended) {
            trying = true;
            timer.after(this::open, DutySeeking.waitMillis(first, random.nextDouble()));
        }
    }

    private void open() {
        if (!free) {
            // Another process took it meanwhile.
            trying = false;
            return;
        }
        long asked = System.nanoTime();
        store.openLease(
                ttlMillis,
                result -> result.fold(
                        lease -> {
                            take(lease, asked);
                            return true;
                        },
                        _error -> {
                            trying = false;
                            return false;
                        }));
    }

    private void take(long lease, long askedNanos) {
        Commit commit = Commit.put(KEY, holder, lease).expecting(KEY, 0);
        store.commit(commit, result -> {
            trying = false;
            result.fold(
                    revision -> {
                        hold.onTaken(lease, revision, askedNanos);
                        LOG.info("duty-taken", Field.of("holder", holder), Field.of("fence", revision));
                        timer.after(this::renew, ttlMillis / RENEWALS);
                        return true;
                    },
                    _error -> {
                        // Whether or not the write took effect, the lease ends and with it the record.
                        store.endLease(lease, _ended -> {});
                        return false;
                    });
        });
    }

    private void renew() {
        if (!hold.held()) {
            return;
        }
        long asked = System.nanoTime();
        store.renewLease(
                hold.lease(),
                result -> result.fold(
                        _lease -> {
                            hold.onRenewed(asked);
                            timer.after(this::renew, ttlMillis / RENEWALS);
                            return true;
                        },
                        error -> {
                            onRenewFailed(error);
                            return false;
                        }));
    }

    private void onRenewFailed(StoreError error) {
        if (error == StoreError.LEASE_LOST) {
            LOG.warn("duty-lost", Field.of("holder", holder));
            hold.onLost();
        } else {
            timer.after(this::renew, ttlMillis / RENEWALS / 2);
        }
    }
}
