package org.geraniumstand.entry.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.VersionOrder;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.MoveStatusFormat;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.support.log.Log;

/**
 * Answers orders to move a service while this process holds the duty.
 *
 * <p>Relaying processes make no moves, so each order is taken back at once; operators would otherwise wait for its deadline.
 */
final class MoveOrderReverter {
    private static final Log LOG = Log.of(MoveOrderReverter.class);

    /** Milliseconds between looks; orders run for 12 s and more. */
    private static final long TICK_MILLIS = 500;

    private final RevisionStore store;
    private final MoveStatusFormat format;
    private final LeaderElection lease;
    private final Timer timer;
    private final Map<ServiceId, VersionOrder> open = new HashMap<>();

    MoveOrderReverter(RevisionStore store, MoveStatusFormat format, LeaderElection lease, Timer timer) {
        this.store = store;
        this.format = format;
        this.lease = lease;
        this.timer = timer;
    }

    void start() {
        timer.after(this::start, TICK_MILLIS);
        if (lease.claim().isPresent()) {
            List.copyOf(open.values()).forEach(this::answer);
        }
    }

    /** Takes in an order. */
    void onOrdered(VersionOrder order) {
        open.put(order.service(), order);
    }

    /** Takes in that no move of a service is ordered any more. */
    void onGone(ServiceId service) {
        open.remove(service);
    }

    /** Takes in which services are ordered to move, all of them. */
    void retain(Set<ServiceId> ordered) {
        open.keySet().retainAll(ordered);
    }

    private void answer(VersionOrder order) {
        store.read(
                format.key(order.service()),
                result -> result.fold(
                        item -> {
                            takeBack(order, item);
                            return true;
                        },
                        error -> {
                            LOG.warn(
                                    "move-status-unread",
                                    Field.of("service", order.service()),
                                    Field.of("error", error));
                            return false;
                        }));
    }

    private void takeBack(VersionOrder order, Optional<Item> status) {
        if (status.filter(item -> format.ended(item.value(), order.target())).isPresent()) {
            open.remove(order.service(), order);
            return;
        }
        String key = format.key(order.service());
        Commit commit = Commit.put(key, format.takenBack(order), 0)
                .expecting(key, status.map(Item::revision).orElse(0L));
        store.commit(
                commit,
                result -> result.fold(
                        _revision -> {
                            LOG.info(
                                    "move-taken-back",
                                    Field.of("service", order.service()),
                                    Field.of("target", order.target()),
                                    Field.of("reason", "relaying processes make no moves"));
                            open.remove(order.service(), order);
                            return true;
                        },
                        error -> {
                            // It may have been written; the next look reads it.
                            LOG.warn(
                                    "move-status-unwritten",
                                    Field.of("service", order.service()),
                                    Field.of("error", error));
                            return false;
                        }));
    }
}
