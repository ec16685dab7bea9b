package org.geraniumstand.entry.order;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.geraniumstand.decisions.orders.ClaimChange;
import org.geraniumstand.decisions.orders.ClaimResult;
import org.geraniumstand.decisions.orders.ClaimSlot;
import org.geraniumstand.decisions.orders.SlotWriter;
import org.geraniumstand.decisions.orders.WriterStep;
import org.geraniumstand.entry.task.Timer;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.StoreError;
import org.geraniumstand.outside.store.StoredValue;
import org.geraniumstand.support.json.Json;

/** Executes the steps of a slot's writer; confined to the thread on which the store answers. */
final class SlotTask {
    private final ConfigurationStore store;
    private final String key;
    private final Timer timer;
    private final LongSupplier epochMillis;
    private final SlotWriter writer = new SlotWriter();
    private final Map<Long, Consumer<ClaimResult>> callbacks = new HashMap<>();
    private long lastChangeId;

    SlotTask(ConfigurationStore store, String key, Timer timer, LongSupplier epochMillis) {
        this.store = store;
        this.key = key;
        this.timer = timer;
        this.epochMillis = epochMillis;
    }

    boolean isIdle() {
        return writer.isIdle();
    }

    void submit(ClaimChange change, Consumer<ClaimResult> callback) {
        lastChangeId++;
        callbacks.put(lastChangeId, callback);
        execute(writer.submit(lastChangeId, change));
    }

    private void execute(List<WriterStep> steps) {
        for (WriterStep step : steps) {
            if (step instanceof WriterStep.Read read) {
                read(read.delayMillis());
            } else if (step instanceof WriterStep.Write write) {
                store.compareAndSwap(key, Json.write(write.slot()), write.index(), this::onWritten);
            } else if (step instanceof WriterStep.Complete completion) {
                callbacks.remove(completion.changeNumber()).accept(completion.result());
            }
        }
    }

    private void read(long delayMillis) {
        if (delayMillis == 0) {
            store.read(key, this::onRead);
        } else {
            timer.after(() -> store.read(key, this::onRead), delayMillis);
        }
    }

    private void onRead(Result<Optional<StoredValue>, StoreError> result) {
        Optional<StoredValue> stored = result.value().flatMap(found -> found);
        Optional<ClaimSlot> slot = stored.isEmpty() ? Optional.of(ClaimSlot.EMPTY) : parse(stored.get());
        if (result.error().isPresent() || slot.isEmpty()) {
            execute(writer.onFailure());
            return;
        }
        execute(writer.onRead(slot.get(), stored.map(StoredValue::index).orElse(0L), epochMillis.getAsLong()));
    }

    private void onWritten(Result<Boolean, StoreError> result) {
        execute(result.fold(writer::onWritten, _error -> writer.onFailure()));
    }

    private static Optional<ClaimSlot> parse(StoredValue stored) {
        try {
            return Optional.ofNullable(Json.LENIENT.readValue(stored.value(), ClaimSlot.class));
        } catch (JsonProcessingException _e) {
            return Optional.empty();
        }
    }
}
