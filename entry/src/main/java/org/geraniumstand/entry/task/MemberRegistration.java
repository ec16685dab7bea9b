package org.geraniumstand.entry.task;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.ConfigurationStore.Lease;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.peer.SharedState;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.log.Log;

/** Registers this process in the store under a lease and periodically lists the registered members. */
public final class MemberRegistration {
    private static final Log LOG = Log.of(MemberRegistration.class);
    private static final long LEASE_TTL_MILLIS = 15_000;
    private static final long RENEW_INTERVAL_MILLIS = 4_000;
    private static final long LIST_INTERVAL_MILLIS = 60_000;
    private static final long LIST_WITHOUT_PEERS_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final ConfigurationStore store;
    private final Timer timer;
    private final String prefix;
    private final Member self;
    private final SharedState sharedState;
    private final StoreAvailability availability;
    private Optional<Lease> lease = Optional.empty();
    private long listedNanos;
    private long listIntervalNanos;

    /**
     * Creates a registration.
     *
     * @param store platform's configuration store
     * @param timer schedules the calls
     * @param prefix key prefix of the members, ends with a slash
     * @param self this process as a member
     * @param sharedState receives the registered members
     * @param availability tracks whether the store answers
     */
    public MemberRegistration(
            ConfigurationStore store,
            Timer timer,
            String prefix,
            Member self,
            SharedState sharedState,
            StoreAvailability availability) {
        this.store = store;
        this.timer = timer;
        this.prefix = prefix;
        this.self = self;
        this.sharedState = sharedState;
        this.availability = availability;
    }

    /** Starts the registration, which is renewed until the timer stops. */
    public void start() {
        list();
        open();
    }

    /** Closes the lease, which removes the registration. */
    public void end() {
        lease.ifPresent(held -> store.closeLease(held, _result -> {}));
    }

    private void open() {
        store.openLease(LEASE_TTL_MILLIS, result -> result.fold(this::register, this::reopen));
    }

    private boolean register(Lease opened) {
        store.acquire(
                prefix + self.id(),
                Json.write(self),
                opened,
                result -> result.fold(
                        held -> {
                            availability.onSuccess();
                            lease = held ? Optional.of(opened) : Optional.empty();
                            LOG.info("member-registered", Field.of("process", self.id()), Field.of("held", held));
                            renewLater();
                            return held;
                        },
                        this::reopen));
        return true;
    }

    private void renewLater() {
        timer.after(this::renew, availability.jitter(RENEW_INTERVAL_MILLIS));
    }

    private void renew() {
        listIfDue();
        if (lease.isEmpty()) {
            open();
            return;
        }
        store.renewLease(
                lease.get(),
                result -> result.fold(
                        _held -> {
                            availability.onSuccess();
                            renewLater();
                            return true;
                        },
                        this::onRenewFailed));
    }

    private boolean onRenewFailed(StoreError error) {
        if (error == StoreError.LEASE_LOST) {
            availability.onSuccess();
            lease = Optional.empty();
            open();
        } else {
            timer.after(this::renew, availability.onFailure());
        }
        return false;
    }

    private boolean reopen(StoreError _error) {
        timer.after(this::open, availability.onFailure());
        return false;
    }

    private void listIfDue() {
        boolean withoutPeers = sharedState.view().members().size() <= 1;
        if (System.nanoTime() - listedNanos > (withoutPeers ? LIST_WITHOUT_PEERS_NANOS : listIntervalNanos)) {
            list();
        }
    }

    private void list() {
        listedNanos = System.nanoTime();
        // Jitter keeps processes that started at the same time from listing at the same time.
        listIntervalNanos = TimeUnit.MILLISECONDS.toNanos(availability.jitter(LIST_INTERVAL_MILLIS));
        store.list(
                prefix,
                result -> result.value().ifPresent(entries -> {
                    availability.onSuccess();
                    sharedState.onListedMembers(members(entries));
                }));
    }

    private static List<Member> members(List<ConfigurationStore.Entry> entries) {
        return entries.stream().flatMap(MemberRegistration::member).toList();
    }

    private static Stream<Member> member(ConfigurationStore.Entry entry) {
        try {
            return Stream.of(MemberDocument.read(entry.storedValue().value()));
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("member-unreadable", Field.of("key", entry.key()), Field.of("reason", e.getMessage()));
            return Stream.empty();
        }
    }
}
