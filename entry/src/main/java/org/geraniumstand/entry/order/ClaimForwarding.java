package org.geraniumstand.entry.order;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimKeys;
import org.geraniumstand.decisions.orders.ClaimResult;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.peer.PeerMessage;
import org.geraniumstand.peer.PeerNetwork;

/**
 * Forwards claim changes to the preferred writer of their slot, which combines concurrent changes into one write
 * (group commit).
 *
 * <p>If the preferred writer does not reply in time, this process writes the change itself; safety depends on the
 * compare-and-swap alone. Confined to the timer's thread.
 */
final class ClaimForwarding {
    /** Timeout in milliseconds for the preferred writer's reply. */
    static final long REPLY_TIMEOUT_MILLIS = 150;

    private final ProcessId self;
    private final PeerNetwork peers;
    private final SlotOwner owner;
    private final Timer timer;
    private final ConfigurationStore store;
    private final String prefix;
    private final LongSupplier epochMillis;
    private final Map<Integer, SlotTask> slots = new HashMap<>();
    private final Map<Long, Consumer<ClaimResult>> forwarded = new HashMap<>();
    private long lastCorrelation;

    ClaimForwarding(
            ProcessId self,
            PeerNetwork peers,
            SlotOwner owner,
            Timer timer,
            ConfigurationStore store,
            String prefix,
            LongSupplier epochMillis) {
        this.self = self;
        this.peers = peers;
        this.owner = owner;
        this.timer = timer;
        this.store = store;
        this.prefix = prefix;
        this.epochMillis = epochMillis;
        peers.subscribe(
                PeerMessage.ClaimForward.class, (from, message) -> timer.after(() -> handleForward(from, message), 0));
        peers.subscribe(PeerMessage.ClaimReply.class, (_from, message) -> timer.after(() -> accept(message), 0));
    }

    void submit(ClaimChange change, Consumer<ClaimResult> callback) {
        Optional<ProcessId> writer = owner.of(ClaimKeys.slot(change.key()));
        if (writer.isEmpty() || writer.get().equals(self)) {
            write(change, callback);
            return;
        }
        lastCorrelation++;
        long correlation = lastCorrelation;
        if (!peers.send(writer.get(), new PeerMessage.ClaimForward(correlation, change))) {
            write(change, callback);
            return;
        }
        forwarded.put(correlation, callback);
        timer.after(
                () -> {
                    if (forwarded.remove(correlation) != null) {
                        write(change, callback);
                    }
                },
                REPLY_TIMEOUT_MILLIS);
    }

    private void handleForward(ProcessId from, PeerMessage.ClaimForward message) {
        write(message.change(), result -> peers.send(from, new PeerMessage.ClaimReply(message.correlation(), result)));
    }

    private void accept(PeerMessage.ClaimReply reply) {
        Consumer<ClaimResult> callback = forwarded.remove(reply.correlation());
        if (callback != null) {
            callback.accept(reply.verdict());
        }
    }

    private void write(ClaimChange change, Consumer<ClaimResult> callback) {
        int slot = ClaimKeys.slot(change.key());
        SlotTask task = slots.computeIfAbsent(slot, s -> new SlotTask(store, prefix + s, timer, epochMillis));
        task.submit(change, result -> {
            if (task.isIdle()) {
                slots.remove(slot, task);
            }
            callback.accept(result);
        });
    }
}
