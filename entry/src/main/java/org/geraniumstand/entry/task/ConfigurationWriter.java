package org.geraniumstand.entry.task;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.geraniumstand.entry.task.WriteError.Kind;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.outside.store.ConfigurationStore;
import org.geraniumstand.outside.store.StoredValue;
import org.geraniumstand.peer.SharedState;
import org.geraniumstand.peer.exchange.GossipView;
import org.geraniumstand.support.json.Json;

/**
 * Changes the operators' configuration by compare-and-swap.
 *
 * <p>A change that conflicts with another one is applied again to the newer document. If the response to a write is
 * lost, the writer reads the document back and looks for the change's token among the tokens of the latest changes.
 * Callbacks run on the store's thread.
 */
public final class ConfigurationWriter {
    private static final int CONFLICTS_ALLOWED = 50;
    private static final int READS_BACK = 20;
    private static final long READ_BACK_MILLIS = 250;
    private static final long CONFLICT_MILLIS = 40;
    private static final int VALUE_BYTES = 1_000_000;

    private final ConfigurationStore store;
    private final Timer timer;
    private final String key;
    private final SharedState facts;
    private final Supplier<String> tokens;
    private final Function<Long, Long> spread;

    /**
     * Creates a writer.
     *
     * @param store platform's configuration store
     * @param timer schedules retries
     * @param key key of the configuration document
     * @param facts provides the document in force and the members' protocol levels
     * @param tokens generates unique change tokens
     * @param spread adds random jitter to a delay in milliseconds
     */
    public ConfigurationWriter(
            ConfigurationStore store,
            Timer timer,
            String key,
            SharedState facts,
            Supplier<String> tokens,
            Function<Long, Long> spread) {
        this.store = store;
        this.timer = timer;
        this.key = key;
        this.facts = facts;
        this.tokens = tokens;
        this.spread = spread;
    }

    /** Derives the desired document from the one in force, or returns an error message. */
    @FunctionalInterface
    public interface Change {
        /**
         * Returns the desired document; the configuration writer sets its generation and change tokens.
         *
         * @param current the document to start from; the empty document if there is none yet
         */
        Result<Configuration, String> apply(Configuration current);
    }

    /**
     * Applies a change.
     *
     * @param change change to apply; applied again after a conflict
     * @param callback receives the accepted document, or the error
     */
    public void change(Change change, Consumer<Result<Accepted, WriteError>> callback) {
        attempt(new Order(change, callback, 0));
    }

    /**
     * An accepted change.
     *
     * @param configuration document that contains the change
     * @param changed whether the change modified the document
     */
    public record Accepted(Configuration configuration, boolean changed) {}

    private record Order(Change change, Consumer<Result<Accepted, WriteError>> callback, int conflicts) {
        private Order afterConflict() {
            return new Order(change, callback, conflicts + 1);
        }

        private boolean fail(Kind kind, String detail) {
            callback.accept(Result.err(new WriteError(kind, detail)));
            return false;
        }

        private boolean accept(Configuration configuration, boolean changed) {
            callback.accept(Result.ok(new Accepted(configuration, changed)));
            return true;
        }
    }

    private record Draft(Configuration document, String text, String token, long index) {
        private long generation() {
            return document.generation();
        }
    }

    private void attempt(Order order) {
        store.read(
                key,
                result -> result.fold(
                        stored -> prepare(order, stored),
                        _error -> order.fail(Kind.STORE_UNAVAILABLE, "the store does not answer")));
    }

    private boolean prepare(Order order, Optional<StoredValue> stored) {
        Result<Configuration, WriteError> base = base(stored);
        return base.fold(
                current -> order.change()
                        .apply(current)
                        .fold(next -> propose(order, current, next, stored), why -> order.fail(Kind.REFUSED, why)),
                error -> order.fail(error.kind(), error.detail()));
    }

    // If the store was restored to an earlier state, the document in force is the base; a new generation on top of the
    // stored one would be lower than the one in force, and all processes would ignore it.
    private Result<Configuration, WriteError> base(Optional<StoredValue> stored) {
        GossipView view = facts.view();
        Optional<String> inForce = view.text();
        Result<Configuration, WriteError> kept =
                stored.map(s -> read(s.value())).orElseGet(() -> Result.ok(Configuration.empty()));
        boolean behind =
                kept.value().map(c -> c.generation() < view.generation()).orElse(false);
        return behind && inForce.isPresent() ? read(inForce.get()) : kept;
    }

    private static Result<Configuration, WriteError> read(String text) {
        return Json.read(text, Configuration.class).fold(Result::ok, why -> Result.err(unreadable(text, why)));
    }

    private static WriteError unreadable(String text, String why) {
        try {
            Json.LENIENT.readValue(text, Configuration.class);
            return new WriteError(Kind.DOCUMENT_TOO_NEW, "this process does not know all entries of the document and would drop them: " + why);
        } catch (JsonProcessingException _e) {
            return new WriteError(Kind.REFUSED, "the stored document is invalid: " + why);
        }
    }

    private boolean propose(Order order, Configuration current, Configuration next, Optional<StoredValue> stored) {
        Configuration unchanged = next.withGeneration(current.generation()).withChangeTokens(current.writer());
        if (stored.isPresent() && unchanged.equals(current)) {
            return order.accept(current, false);
        }
        int lowest = facts.view().lowestLevel();
        if (next.requiredLevel() > lowest) {
            String detail =
                    "a live member supports only protocol level " + lowest + ", the document requires level " + next.requiredLevel();
            return order.fail(Kind.LEVEL_TOO_HIGH, detail);
        }
        String token = tokens.get();
        Configuration document = next.withGeneration(current.generation() + 1)
                .withChangeTokens(WriterTokens.prepend(token, current.writer()));
        String text = Json.write(document);
        if (text.getBytes(StandardCharsets.UTF_8).length > VALUE_BYTES) {
            return order.fail(Kind.TOO_LARGE, "the document would be larger than " + VALUE_BYTES + " bytes");
        }
        long index = stored.map(StoredValue::index).orElse(0L);
        write(order, new Draft(document, text, token, index), READS_BACK);
        return true;
    }

    private void write(Order order, Draft draft, int readsLeft) {
        store.compareAndSwap(
                key,
                draft.text(),
                draft.index(),
                result -> result.fold(
                        written -> written ? take(order, draft) : settle(order, draft, readsLeft - 1),
                        _error -> settleLater(order, draft, readsLeft)));
    }

    private boolean take(Order order, Draft draft) {
        facts.onStoredConfiguration(draft.text());
        return order.accept(draft.document(), true);
    }

    private boolean settleLater(Order order, Draft draft, int readsLeft) {
        if (readsLeft <= 0) {
            return order.fail(
                    Kind.UNSETTLED, "generation " + draft.generation() + " was sent, but the store did not confirm whether it was written");
        }
        timer.after(() -> settle(order, draft, readsLeft - 1), spread.apply(READ_BACK_MILLIS));
        return false;
    }

    // Reads back also after a failed compare-and-swap, because an earlier attempt of the same write may have succeeded.
    private boolean settle(Order order, Draft draft, int readsLeft) {
        store.read(
                key,
                result -> result.fold(
                        stored -> compare(order, draft, stored, readsLeft),
                        _error -> settleLater(order, draft, readsLeft)));
        return false;
    }

    private boolean compare(Order order, Draft draft, Optional<StoredValue> stored, int readsLeft) {
        long index = stored.map(StoredValue::index).orElse(0L);
        if (index == draft.index()) {
            return readsLeft > 0 ? rewrite(order, draft, readsLeft) : settleLater(order, draft, 0);
        }
        Optional<Configuration> found = stored.flatMap(s -> lenient(s.value()));
        if (found.map(c -> WriterTokens.contains(c.writer(), draft.token())).orElse(false)) {
            return take(order, draft);
        }
        if (found.map(c -> c.generation() - draft.generation() >= WriterTokens.KEPT)
                .orElse(true)) {
            return order.fail(Kind.UNSETTLED, "too many changes were written after generation " + draft.generation());
        }
        if (order.conflicts() >= CONFLICTS_ALLOWED) {
            return order.fail(Kind.TOO_MANY_CONFLICTS, "the change conflicted with other changes too many times");
        }
        timer.after(() -> attempt(order.afterConflict()), spread.apply(CONFLICT_MILLIS));
        return false;
    }

    // Rewriting is safe: the same text with the same token and index can take effect at most once.
    private boolean rewrite(Order order, Draft draft, int readsLeft) {
        write(order, draft, readsLeft);
        return false;
    }

    private static Optional<Configuration> lenient(String text) {
        try {
            return Optional.ofNullable(Json.LENIENT.readValue(text, Configuration.class));
        } catch (JsonProcessingException _e) {
            return Optional.empty();
        }
    }
}
