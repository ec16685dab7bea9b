package org.geraniumstand.entry.relay;

import java.util.Optional;
import java.util.Random;
import org.geraniumstand.decisions.relay.LeaderElectionTiming;
import org.geraniumstand.decisions.relay.LeadershipState;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.LeaderApi;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.support.log.Log;

/**
 * Acquires leadership for this process when there is no leader, and holds it by a lease in the store.
 *
 * <p>Only the leader orders backend servers and reports usage. A leader resigns when the store was restored from a backup, as
 * leases are lost with it, and the record of a leader of an earlier era is replaced.
 */
final class LeaderElection {
    private static final Log LOG = Log.of(LeaderElection.class);

    /** Key of the record that names the leader. */
    static final String KEY = "geraniumstand/duty";

    /** Renewals during the lease time; one may fail without loss of leadership. */
    private static final int RENEWALS_PER_LEASE = 3;

    private final RevisionStore store;
    private final Timer timer;
    private final Random random;
    private final String holder;
    private final long ttlMillis;
    private final LeadershipState leadership;
    private boolean preferred = true;
    private boolean vacant;

    /** Revision of the record to replace, which an earlier era of the store left behind; none if there is no record. */
    private StoreRevision abandonedRecord = StoreRevision.NONE;

    private boolean attempting;
    private boolean resigned;

    LeaderElection(RevisionStore store, Timer timer, Random random, String holder, long ttlMillis) {
        this.store = store;
        this.timer = timer;
        this.random = random;
        this.holder = holder;
        this.ttlMillis = ttlMillis;
        this.leadership = new LeadershipState(ttlMillis);
        store.era().onRestored(this::onRestored);
    }

    void start() {
        checkRecord();
    }

    /** Resigns leadership and ends the lease, so that another process can take over at once. */
    void resign() {
        resigned = true;
        if (leadership.held()) {
            leadership.onLost();
            store.endLease(leadership.lease(), _result -> {});
        }
    }

    /**
     * Returns the time for which no other process can become leader after this one could last act as leader, in
     * milliseconds.
     */
    long leaseReserveMillis() {
        return leadership.reserveMillis();
    }

    /** Returns whether this process became leader and has not been informed of a loss since. */
    boolean held() {
        return leadership.held();
    }

    /** Returns the holder and the fencing token to send with calls, or empty if this process may not act as leader now. */
    Optional<LeaderApi.Claim> fencingToken() {
        if (store.era().isOutdated(leadership.lease().era())) {
            return Optional.empty();
        }
        return leadership.fencingToken(System.nanoTime()).map(token -> new LeaderApi.Claim(holder, token));
    }

    /** Gives up leadership because a call was rejected: the platform has seen a higher fencing token. */
    void onFenced() {
        if (leadership.held()) {
            LOG.warn("duty-fenced", Field.of("holder", holder));
            leadership.onLost();
            store.endLease(leadership.lease(), _result -> {});
        }
    }

    private void onRestored(long era) {
        if (leadership.held()) {
            LOG.warn("duty-lost", Field.of("holder", holder), Field.of("era", era));
            leadership.onLost();
        }
        if (preferred) {
            readRecord();
        }
    }

    /** Sets whether this process is one of the preferred candidates when there is no leader. */
    void setPreferred(boolean next) {
        preferred = next;
    }

    /**
     * Records whether the record that names the leader is present, and schedules an attempt to acquire leadership if it
     * is not.
     */
    void onRecord(boolean present) {
        abandonedRecord = StoreRevision.NONE;
        vacant = !present;
        if (vacant && !leadership.held()) {
            scheduleAttempt();
        }
    }

    private void checkRecord() {
        timer.after(this::checkRecord, LeaderElectionTiming.pollDelayMillis(preferred, random.nextDouble()));
        readRecord();
    }

    private void readRecord() {
        if (leadership.held() || attempting || resigned) {
            return;
        }
        store.read(KEY, result -> result.value().ifPresent(this::onRead));
    }

    private void onRead(Optional<Item> record) {
        Optional<Item> abandoned = record.filter(
                item -> store.era().isOutdated(LeaderRecord.read(item.value()).era()));
        onRecord(record.isPresent() && abandoned.isEmpty());
        abandonedRecord = abandoned.map(Item::revision).orElse(StoreRevision.NONE);
    }

    private void scheduleAttempt() {
        if (!attempting && !resigned) {
            attempting = true;
            timer.after(this::attempt, LeaderElectionTiming.acquireDelayMillis(preferred, random.nextDouble()));
        }
    }

    private void attempt() {
        if (!vacant) {
            // Another process became the leader in the meantime.
            attempting = false;
            return;
        }
        long startNanos = System.nanoTime();
        store.openLease(
                ttlMillis,
                result -> result.fold(
                        lease -> {
                            acquire(lease, startNanos);
                            return true;
                        },
                        _error -> {
                            attempting = false;
                            return false;
                        }));
    }

    private void acquire(StoreLease lease, long startNanos) {
        String record = new LeaderRecord(holder, lease.era()).write();
        Commit commit = Commit.put(KEY, record, lease).expecting(KEY, abandonedRecord);
        store.commit(commit, result -> {
            attempting = false;
            result.fold(
                    revision -> {
                        leadership.onAcquired(lease, revision, startNanos);
                        LOG.info(
                                "duty-taken",
                                Field.of("holder", holder),
                                Field.of("fence", revision.toNumber()),
                                Field.of("revision", revision));
                        scheduleRenewal(lease, ttlMillis / RENEWALS_PER_LEASE);
                        return true;
                    },
                    _error -> {
                        // If the write took effect after all, ending the lease also removes the record.
                        store.endLease(lease, _ended -> {});
                        return false;
                    });
        });
    }

    private void scheduleRenewal(StoreLease lease, long delayMillis) {
        timer.after(() -> renew(lease), delayMillis);
    }

    private boolean holds(StoreLease lease) {
        return leadership.held() && leadership.lease().equals(lease);
    }

    private void renew(StoreLease lease) {
        if (!holds(lease)) {
            return;
        }
        long startNanos = System.nanoTime();
        store.renewLease(lease, result -> {
            if (holds(lease)) {
                result.fold(
                        _lease -> {
                            leadership.onRenewed(startNanos);
                            scheduleRenewal(lease, ttlMillis / RENEWALS_PER_LEASE);
                            return true;
                        },
                        error -> {
                            onRenewFailed(lease, error);
                            return false;
                        });
            }
        });
    }

    private void onRenewFailed(StoreLease lease, StoreError error) {
        if (error == StoreError.LEASE_LOST) {
            LOG.warn("duty-lost", Field.of("holder", holder));
            leadership.onLost();
        } else {
            scheduleRenewal(lease, ttlMillis / RENEWALS_PER_LEASE / 2);
        }
    }
}
