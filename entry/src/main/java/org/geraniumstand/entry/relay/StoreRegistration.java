package org.geraniumstand.entry.relay;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.support.log.Log;

/** Keeps this process registered in the store by a lease, and reads at its start who else is. */
final class StoreRegistration {
    private static final Log LOG = Log.of(StoreRegistration.class);
    private static final String PREFIX = "geraniumstand/member/";

    /** Milliseconds that the lease holds; members that live are known from each other, so it may be long. */
    private static final long LEASE_MILLIS = 12_000;

    /** Milliseconds between renewals; one may fail. */
    private static final long RENEW_MILLIS = 4_000;

    /** Milliseconds until a failed call is tried again. */
    private static final long RETRY_MILLIS = 700;

    private final RevisionStore store;
    private final Timer timer;
    private final PeerTask peers;
    private long lease;

    StoreRegistration(RevisionStore store, Timer timer, PeerTask peers) {
        this.store = store;
        this.timer = timer;
        this.peers = peers;
    }

    /** Ends the registration. */
    void end() {
        if (lease != 0) {
            store.endLease(lease, _result -> {});
        }
    }

    /** Registers this process. */
    void open() {
        store.openLease(LEASE_MILLIS, result -> result.fold(this::register, _error -> again(this::open)));
    }

    private boolean register(long opened) {
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
                        _error -> again(this::open)));
        return true;
    }

    private void renew() {
        store.renewLease(
                lease,
                result -> result.fold(
                        _lease -> {
                            timer.after(this::renew, RENEW_MILLIS);
                            return true;
                        },
                        error -> again(error == StoreError.LEASE_LOST ? this::open : this::renew)));
    }

    private boolean again(Runnable step) {
        timer.after(step, RETRY_MILLIS);
        return false;
    }

    /** Reads who is registered. */
    void list() {
        store.list(
                PREFIX,
                result -> result.fold(
                        listing -> {
                            peers.offerListed(members(listing.items()));
                            return true;
                        },
                        _error -> again(this::list)));
    }

    private static List<Member> members(List<Item> items) {
        return items.stream().flatMap(StoreRegistration::member).toList();
    }

    private static Stream<Member> member(Item item) {
        try {
            return Stream.of(MemberDocument.read(item.value()));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("member-unreadable", Field.of("entry", item.key()), Field.of("reason", e.getMessage()));
            return Stream.empty();
        }
    }
}
