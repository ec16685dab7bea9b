package org.geraniumstand.entry.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.StoreLease;
import org.geraniumstand.model.relay.StoreRevision;
import org.geraniumstand.model.relay.VersionMoveOrder;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.outside.relay.MoveStatusFormat;
import org.geraniumstand.outside.relay.RevisionStore;
import org.geraniumstand.outside.relay.RevisionStore.Commit;
import org.geraniumstand.outside.relay.RevisionStore.Item;
import org.geraniumstand.support.log.Log;

/**
 * Marks operators' orders to move a service to another version as reverted while this process is the leader.
 *
 * <p>Processes that relay calls do not execute moves. Without a status in the store, operators would wait until the deadline of
 * their order.
 */
final class MoveOrderReverter {
    private static final Log LOG = Log.of(MoveOrderReverter.class);

    /** Interval between attempts to revert open orders, in milliseconds; orders run for 12 s or longer. */
    private static final long TICK_MILLIS = 500;

    private final RevisionStore store;
    private final MoveStatusFormat statusFormat;
    private final LeaderElection leaderElection;
    private final Timer timer;
    private final Map<ServiceId, VersionMoveOrder> openOrders = new HashMap<>();

    MoveOrderReverter(RevisionStore store, MoveStatusFormat statusFormat, LeaderElection leaderElection, Timer timer) {
        this.store = store;
        this.statusFormat = statusFormat;
        this.leaderElection = leaderElection;
        this.timer = timer;
    }

    void start() {
        timer.after(this::start, TICK_MILLIS);
        if (leaderElection.fencingToken().isPresent()) {
            List.copyOf(openOrders.values()).forEach(this::processOrder);
        }
    }

    /** Records an order that was written to the store. */
    void onOrder(VersionMoveOrder order) {
        openOrders.put(order.service(), order);
    }

    /** Drops the order of a service whose entry was removed from the store. */
    void onOrderRemoved(ServiceId service) {
        openOrders.remove(service);
    }

    /** Drops the orders of all services except those that have an order in the store. */
    void retain(Set<ServiceId> ordered) {
        openOrders.keySet().retainAll(ordered);
    }

    private void processOrder(VersionMoveOrder order) {
        store.read(
                statusFormat.key(order.service()),
                result -> result.fold(
                        item -> {
                            revert(order, item);
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

    private void revert(VersionMoveOrder order, Optional<Item> status) {
        if (status.filter(item -> statusFormat.hasEnded(item.value(), order.target()))
                .isPresent()) {
            openOrders.remove(order.service(), order);
            return;
        }
        String key = statusFormat.key(order.service());
        Commit commit = Commit.put(key, statusFormat.reverted(order), StoreLease.NONE)
                .expecting(key, status.map(Item::revision).orElse(StoreRevision.NONE));
        store.commit(
                commit,
                result -> result.fold(
                        _revision -> {
                            LOG.info(
                                    "move-taken-back",
                                    Field.of("service", order.service()),
                                    Field.of("target", order.target()),
                                    Field.of("reason", "processes that relay calls do not execute moves"));
                            openOrders.remove(order.service(), order);
                            return true;
                        },
                        error -> {
                            // The write may have taken effect; the next tick reads the status again.
                            LOG.warn(
                                    "move-status-unwritten",
                                    Field.of("service", order.service()),
                                    Field.of("error", error));
                            return false;
                        }));
    }
}
