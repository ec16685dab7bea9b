package org.geraniumstand.entry.relay;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumstand.entry.task.MemberDocument;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.support.log.Log;

/** Registers this process in the store under a lease, and reads the registered processes at startup. */
final class StoreRegistration {
    private static final Log LOG = Log.of(StoreRegistration.class);
    private static final String PREFIX = "geraniumstand/member/";

    /** Duration of the lease, in milliseconds; it may be long, as live members discover each other without the store. */
    private static final long LEASE_MILLIS = 12_000;

    /** Interval between renewals, in milliseconds; one renewal may fail without the lease expiring. */
    private static final long RENEW_MILLIS = 4_000;

    /** Delay before a failed call is retried, in milliseconds. */
    private static final long RETRY_MILLIS = 700;

    private final RevisionStore store;
    private final Timer timer;
    private final PeerTask peers;
    private StoreLease lease = StoreLease.NONE;

    StoreRegistration(RevisionStore store, Timer timer, PeerTask peers) {
        this.store = store;
        this.timer = timer;
        this.peers = peers;
    }

    /** Removes the registration by ending its lease. */
    void deregister() {
        if (!lease.equals(StoreLease.NONE)) {
            store.endLease(lease, _result -> {});
        }
    }

    /** Opens a lease and registers this process under it. */
    void register() {
        store.openLease(LEASE_MILLIS, result -> result.fold(this::writeEntry, _error -> retry(this::register)));
    }

    private boolean writeEntry(StoreLease opened) {
        Member self = peers.self();
        store.commit(
                Commit.put(PREFIX + self.id(), MemberDocument.write(self), opened),
                result -> result.fold(
                        _revision -> {
                            lease = opened;
                            LOG.info("member-registered", Field.of("process", self.id()));
                            timer.after(this::renew, RENEW_MILLIS);
                            return true;
                        },
                        _error -> retry(this::register)));
        return true;
    }

    private void renew() {
        store.renewLease(
                lease,
                result -> result.fold(
                        _renewed -> {
                            timer.after(this::renew, RENEW_MILLIS);
                            return true;
                        },
                        error -> retry(error == StoreError.LEASE_LOST ? this::register : this::renew)));
    }

    private boolean retry(Runnable call) {
        timer.after(call, RETRY_MILLIS);
        return false;
    }

    /** Reads the registered processes and passes them to the peers. */
    void readMembers() {
        store.list(
                PREFIX,
                result -> result.fold(
                        listing -> {
                            peers.onRegisteredMembers(parseMembers(listing.items()));
                            return true;
                        },
                        _error -> retry(this::readMembers)));
    }

    private static List<Member> parseMembers(List<Item> items) {
        return items.stream().flatMap(StoreRegistration::parseMember).toList();
    }

    private static Stream<Member> parseMember(Item item) {
        try {
            return Stream.of(MemberDocument.read(item.value()));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("member-unreadable", Field.of("entry", item.key()), Field.of("reason", e.getMessage()));
            return Stream.empty();
        }
    }
}
