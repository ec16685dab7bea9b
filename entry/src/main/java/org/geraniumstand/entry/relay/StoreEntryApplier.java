package org.geraniumstand.entry.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumstand.decisions.relay.RelayDispatcher;
import org.geraniumstand.http.opaque.DispatcherTask;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.RelayServer;
import org.geraniumstand.model.relay.StoreEntry;
import org.geraniumstand.model.relay.VersionMoveOrder;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.task.StepGuard;

/** Applies the entries of the store to the servers, the configuration and the move orders of this process. */
final class StoreEntryApplier implements StoreWatcher.Listener {
    private static final Log LOG = Log.of(StoreEntryApplier.class);

    private final StepGuard guard = new StepGuard("store-entries");
    private final DispatcherTask dispatcherTask;
    private final MoveOrderReverter moveOrderReverter;
    private final ConfigurationListener onConfiguration;

    /** Receives a configuration that came into force. */
    @FunctionalInterface
    interface ConfigurationListener {
        void accept(long version, String text);
    }

    StoreEntryApplier(
            DispatcherTask dispatcherTask, MoveOrderReverter moveOrderReverter, ConfigurationListener onConfiguration) {
        this.dispatcherTask = dispatcherTask;
        this.moveOrderReverter = moveOrderReverter;
        this.onConfiguration = onConfiguration;
    }

    /** Returns the number of entries that could not be applied because of an exception. */
    long failures() {
        return guard.failures();
    }

    private RelayDispatcher dispatcher() {
        return dispatcherTask.dispatcher();
    }

    @Override
    public void onEntry(StoreEntry entry) {
        apply(entry);
        dispatcherTask.recheckWaitingCalls();
    }

    private void apply(StoreEntry entry) {
        if (entry instanceof StoreEntry.ConfigurationEntry planned) {
            boolean inForce = dispatcher().onConfiguration(planned.configuration(), System.nanoTime());
            LOG.info(
                    "configuration-read",
                    Field.of("version", planned.configuration().version()),
                    Field.of("inForce", inForce));
            if (inForce) {
                onConfiguration.accept(planned.configuration().version(), planned.text());
            }
        } else if (entry instanceof StoreEntry.ServerEntry listed) {
            applyServer(listed.server());
        } else if (entry instanceof StoreEntry.UnreadableServer unreadable) {
            dispatcher().fleet().onRemoved(unreadable.server());
        } else if (entry instanceof StoreEntry.DataCentreOut dataCentreOut) {
            LOG.info("data-centre-out", Field.of("dataCentre", dataCentreOut.dataCentre()));
            dispatcher().fleet().onDataCentreState(dataCentreOut.dataCentre(), true, System.nanoTime());
        } else if (entry instanceof StoreEntry.MoveOrderEntry ordered) {
            applyOrder(ordered.order());
        }
    }

    private void applyOrder(VersionMoveOrder order) {
        LOG.info("move-ordered", Field.of("service", order.service()), Field.of("target", order.target()));
        dispatcher().fleet().onVersionOrdered(order.service(), order.target());
        moveOrderReverter.onOrder(order);
    }

    private void applyServer(RelayServer server) {
        dispatcher().fleet().onListed(server, System.nanoTime());
        if (dispatcher().fleet().isProcessEndpoint(server)) {
            LOG.warn("entry-names-process", Field.of("server", server.id()), Field.of("endpoint", server.endpoint()));
        }
        LOG.info(
                "server-listed",
                Field.of("server", server.id()),
                Field.of("service", server.service()),
                Field.of("version", server.version()),
                Field.of("dataCentre", server.dataCentre()),
                Field.of("leaving", server.draining()),
                Field.of("coldMillis", server.coldRemainingMillis()),
                Field.of("reclaimable", server.reclaimable()));
    }

    @Override
    public void onRemoved(StoreEntry.Removed removed, long retainedMillis) {
        if (removed instanceof StoreEntry.Removed.Server server) {
            LOG.info("server-gone", Field.of("server", server.server()), Field.of("heldMillis", retainedMillis));
            dispatcher().fleet().onRemoved(server.server());
        } else if (removed instanceof StoreEntry.Removed.DataCentreIn dataCentreIn) {
            LOG.info("data-centre-in", Field.of("dataCentre", dataCentreIn.dataCentre()));
            dispatcher().fleet().onDataCentreState(dataCentreIn.dataCentre(), false, System.nanoTime());
        } else if (removed instanceof StoreEntry.Removed.Order removedOrder) {
            LOG.info("move-order-gone", Field.of("service", removedOrder.service()));
            dispatcher().fleet().onVersionOrderRemoved(removedOrder.service());
            moveOrderReverter.onOrderRemoved(removedOrder.service());
        }
        dispatcherTask.recheckWaitingCalls();
    }

    @Override
    public void onUpToDate() {
        dispatcher().fleet().onStoreUpToDate(System.nanoTime());
    }

    @Override
    public void onSnapshot(List<StoreEntry> entries) {
        Set<ServerId> listed = new HashSet<>();
        Set<DataCentreId> dataCentresOut = new HashSet<>();
        Set<ServiceId> ordered = new HashSet<>();
        for (StoreEntry entry : entries) {
            if (entry instanceof StoreEntry.ServerEntry server) {
                listed.add(server.server().id());
            } else if (entry instanceof StoreEntry.DataCentreOut dataCentre) {
                dataCentresOut.add(dataCentre.dataCentre());
            } else if (entry instanceof StoreEntry.MoveOrderEntry move) {
                ordered.add(move.order().service());
            }
        }
        dispatcher().fleet().retain(listed);
        dispatcher().fleet().retainOrders(ordered);
        moveOrderReverter.retain(ordered);
        dispatcher().fleet().onDataCentresOut(dataCentresOut, System.nanoTime());
        entries.forEach(entry -> guard.run("apply", entry.getClass().getSimpleName(), () -> apply(entry)));
        dispatcherTask.recheckWaitingCalls();
    }
}
