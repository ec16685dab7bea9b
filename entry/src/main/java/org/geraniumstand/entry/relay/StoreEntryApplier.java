package org.geraniumstand.entry.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumstand.decisions.relay.RelayDispatcher;
import org.geraniumstand.http.opaque.DeskTask;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreFact;
import org.geraniumstand.model.relay.VersionOrder;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;

/** Applies the entries of the store to the servers, the configuration and the move orders of this process. */
final class StoreEntryApplier implements StoreWatcher.Listener {
    private static final Log LOG = Log.of(StoreEntryApplier.class);

    private final DeskTask dispatcherTask;
    private final MoveOrderReverter moveOrderReverter;
    private final ConfigurationListener onConfiguration;

    /** Receives a configuration that came into force. */
    @FunctionalInterface
    interface ConfigurationListener {
        void accept(long version, String text);
    }

    StoreEntryApplier(
            DeskTask dispatcherTask, MoveOrderReverter moveOrderReverter, ConfigurationListener onConfiguration) {
        this.dispatcherTask = dispatcherTask;
        this.moveOrderReverter = moveOrderReverter;
        this.onConfiguration = onConfiguration;
    }

    private RelayDispatcher dispatcher() {
        return dispatcherTask.desk();
    }

    @Override
    public void onEntry(StoreFact entry) {
        apply(entry);
        dispatcherTask.look();
    }

    private void apply(StoreFact entry) {
        if (entry instanceof StoreFact.Planned planned) {
            boolean inForce = dispatcher().onConfiguration(planned.plan(), System.nanoTime());
            LOG.info("configuration-read", Field.of("version", planned.plan().version()), Field.of("inForce", inForce));
            if (inForce) {
                onConfiguration.accept(planned.plan().version(), planned.text());
            }
        } else if (entry instanceof StoreFact.Listed listed) {
            applyServer(listed.server());
        } else if (entry instanceof StoreFact.UnreadableServer unreadable) {
            dispatcher().fleet().onRemoved(unreadable.server());
        } else if (entry instanceof StoreFact.DataCentreOut dataCentreOut) {
            LOG.info("data-centre-out", Field.of("dataCentre", dataCentreOut.dataCentre()));
            dispatcher().fleet().onDataCentreState(dataCentreOut.dataCentre(), true, System.nanoTime());
        } else if (entry instanceof StoreFact.Ordered ordered) {
            applyOrder(ordered.order());
        }
    }

    private void applyOrder(VersionOrder order) {
        LOG.info("move-ordered", Field.of("service", order.service()), Field.of("target", order.target()));
        dispatcher().fleet().onVersionOrdered(order.service(), order.target());
        moveOrderReverter.onOrder(order);
    }

    private void applyServer(RelayServer server) {
        dispatcher().fleet().onListed(server, System.nanoTime());
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
    public void onRemoved(StoreFact.Removed removed, long retainedMillis) {
        if (removed instanceof StoreFact.Removed.Server server) {
            LOG.info("server-gone", Field.of("server", server.server()), Field.of("heldMillis", retainedMillis));
            dispatcher().fleet().onRemoved(server.server());
        } else if (removed instanceof StoreFact.Removed.DataCentreIn dataCentreIn) {
            LOG.info("data-centre-in", Field.of("dataCentre", dataCentreIn.dataCentre()));
            dispatcher().fleet().onDataCentreState(dataCentreIn.dataCentre(), false, System.nanoTime());
        } else if (removed instanceof StoreFact.Removed.Order removedOrder) {
            LOG.info("move-order-gone", Field.of("service", removedOrder.service()));
            dispatcher().fleet().onVersionOrderRemoved(removedOrder.service());
            moveOrderReverter.onOrderRemoved(removedOrder.service());
        }
        dispatcherTask.look();
    }

    @Override
    public void onUpToDate() {
        dispatcher().fleet().onStoreUpToDate(System.nanoTime());
    }

    @Override
    public void onSnapshot(List<StoreFact> entries) {
        Set<ServerId> listed = new HashSet<>();
        Set<DataCentreId> dataCentresOut = new HashSet<>();
        Set<ServiceId> ordered = new HashSet<>();
        for (StoreFact entry : entries) {
            if (entry instanceof StoreFact.Listed server) {
                listed.add(server.server().id());
            } else if (entry instanceof StoreFact.DataCentreOut dataCentre) {
                dataCentresOut.add(dataCentre.dataCentre());
            } else if (entry instanceof StoreFact.Ordered move) {
                ordered.add(move.order().service());
            }
        }
        dispatcher().fleet().retain(listed);
        dispatcher().fleet().retainOrders(ordered);
        moveOrderReverter.retain(ordered);
        dispatcher().fleet().onDataCentresOut(dataCentresOut, System.nanoTime());
        entries.forEach(this::apply);
        dispatcherTask.look();
    }
}
