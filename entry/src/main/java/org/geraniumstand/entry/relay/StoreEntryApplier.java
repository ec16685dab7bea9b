package org.geraniumstand.entry.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumstand.decisions.relay.RelayDesk;
import org.geraniumstand.http.opaque.DeskTask;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreFact;
import org.geraniumstand.model.relay.VersionOrder;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/** Tells the desk what the store says. */
final class StoreEntryApplier implements StoreWatcher.Listener {
    private static final Log LOG = Log.of(StoreEntryApplier.class);

    private final DeskTask task;
    private final MoveOrderReverter orders;
    private final PlanListener onPlan;

    /** Told a configuration that came into force. */
    @FunctionalInterface
    interface PlanListener {
        void accept(long version, String text);
    }

    StoreEntryApplier(DeskTask task, MoveOrderReverter orders, PlanListener onPlan) {
        this.task = task;
        this.orders = orders;
        this.onPlan = onPlan;
    }

    private RelayDesk desk() {
        return task.desk();
    }

    @Override
    public void onFact(StoreFact fact) {
        apply(fact);
        task.look();
    }

    private void apply(StoreFact fact) {
        if (fact instanceof StoreFact.Planned planned) {
            boolean inForce = desk().onPlan(planned.plan(), System.nanoTime());
            LOG.info("configuration-read", Field.of("version", planned.plan().version()), Field.of("inForce", inForce));
            if (inForce) {
                onPlan.accept(planned.plan().version(), planned.text());
            }
        } else if (fact instanceof StoreFact.Listed listed) {
            list(listed.server());
        } else if (fact instanceof StoreFact.UnreadableServer unreadable) {
            desk().fleet().onGone(unreadable.server());
        } else if (fact instanceof StoreFact.DataCentreOut out) {
            LOG.info("data-centre-out", Field.of("dataCentre", out.dataCentre()));
            desk().fleet().onDataCentre(out.dataCentre(), true, System.nanoTime());
        } else if (fact instanceof StoreFact.Ordered ordered) {
            order(ordered.order());
        }
    }

    private void order(VersionOrder order) {
        LOG.info("move-ordered", Field.of("service", order.service()), Field.of("target", order.target()));
        desk().fleet().onOrdered(order.service(), order.target());
        orders.onOrdered(order);
    }

    private void list(RelayServer server) {
        desk().fleet().onListed(server, System.nanoTime());
        LOG.info(
                "server-listed",
                Field.of("server", server.id()),
                Field.of("service", server.service()),
                Field.of("version", server.version()),
                Field.of("dataCentre", server.dataCentre()),
                Field.of("leaving", server.leaving()),
                Field.of("coldMillis", server.coldMillis()),
                Field.of("reclaimable", server.reclaimable()));
    }

    @Override
    public void onRemoved(StoreFact.Removed removed, long heldMillis) {
        if (removed instanceof StoreFact.Removed.Server server) {
            LOG.info("server-gone", Field.of("server", server.server()), Field.of("heldMillis", heldMillis));
            desk().fleet().onGone(server.server());
        } else if (removed instanceof StoreFact.Removed.DataCentreIn in) {
            LOG.info("data-centre-in", Field.of("dataCentre", in.dataCentre()));
            desk().fleet().onDataCentre(in.dataCentre(), false, System.nanoTime());
        } else if (removed instanceof StoreFact.Removed.Order gone) {
            LOG.info("move-order-gone", Field.of("service", gone.service()));
            desk().fleet().onOrderGone(gone.service());
            orders.onGone(gone.service());
        }
        task.look();
    }

    @Override
    public void onInformed() {
        desk().fleet().onStoreInformed(System.nanoTime());
    }

    @Override
    public void onWhole(List<StoreFact> facts) {
        Set<ServerId> listed = new HashSet<>();
        Set<DataCentreId> out = new HashSet<>();
        Set<ServiceId> ordered = new HashSet<>();
        for (StoreFact fact : facts) {
            if (fact instanceof StoreFact.Listed server) {
                listed.add(server.server().id());
            } else if (fact instanceof StoreFact.DataCentreOut dataCentre) {
                out.add(dataCentre.dataCentre());
            } else if (fact instanceof StoreFact.Ordered move) {
                ordered.add(move.order().service());
            }
        }
        desk().fleet().retain(listed);
        desk().fleet().retainOrders(ordered);
        orders.retain(ordered);
        desk().fleet().onDataCentresOut(out, System.nanoTime());
        facts.forEach(this::apply);
        task.look();
    }
}
