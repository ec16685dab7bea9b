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
    private static final int MAX_CONFLICTS = 50;
    private static final int MAX_READS_BACK = 20;
    private static final long READ_BACK_DELAY_MILLIS = 250;
    private static final long CONFLICT_DELAY_MILLIS = 40;
    private static final int MAX_VALUE_BYTES = 1_000_000;

    private final ConfigurationStore store;
    private final Timer timer;
    private final String key;
    private final SharedState sharedState;
    private final Supplier<String> tokens;
    private final Function<Long, Long> jitter;

    /**
     * Creates a writer.
     *
     * @param store platform's configuration store
     * @param timer schedules retries
     * @param key key of the configuration document
     * @param sharedState provides the document in force and the members' protocol levels
     * @param tokens generates unique change tokens
     * @param jitter adds random jitter to a delay in milliseconds
     */
    public ConfigurationWriter(
            ConfigurationStore store,
            Timer timer,
            String key,
            SharedState sharedState,
            Supplier<String> tokens,
            Function<Long, Long> jitter) {
        this.store = store;
        this.timer = timer;
        this.key = key;
        this.sharedState = sharedState;
        this.tokens = tokens;
        this.jitter = jitter;
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
        attempt(new PendingChange(change, callback, 0));
    }

    /**
     * An accepted change.
     *
     * @param configuration document that contains the change
     * @param changed whether the change modified the document
     */
    public record Accepted(Configuration configuration, boolean changed) {}

    private record PendingChange(Change change, Consumer<Result<Accepted, WriteError>> callback, int conflicts) {
        private PendingChange afterConflict() {
            return new PendingChange(change, callback, conflicts + 1);
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

    private void attempt(PendingChange pending) {
        store.read(
                key,
                result -> result.fold(
                        stored -> prepare(pending, stored),
                        _error -> pending.fail(Kind.STORE_UNAVAILABLE, "the store does not answer")));
    }

    private boolean prepare(PendingChange pending, Optional<StoredValue> stored) {
        Result<Configuration, WriteError> baseDocument = baseDocument(stored);
        return baseDocument.fold(
                current -> pending.change()
                        .apply(current)
                        .fold(
                                next -> propose(pending, current, next, stored),
                                reason -> pending.fail(Kind.REFUSED, reason)),
                error -> pending.fail(error.kind(), error.detail()));
    }

    // If the store was restored to an earlier state, the document in force is the base; a generation based on the
    // stored document could be lower than the one in force, and all processes would ignore it.
    private Result<Configuration, WriteError> baseDocument(Optional<StoredValue> stored) {
        GossipView view = sharedState.view();
        Optional<String> inForce = view.text();
        Result<Configuration, WriteError> storedDocument =
                stored.map(s -> parse(s.value())).orElseGet(() -> Result.ok(Configuration.empty()));
        boolean behind = storedDocument
                .value()
                .map(c -> c.generation() < view.generation())
                .orElse(false);
        return behind && inForce.isPresent() ? parse(inForce.get()) : storedDocument;
    }

    private static Result<Configuration, WriteError> parse(String text) {
        return Json.read(text, Configuration.class).fold(Result::ok, reason -> Result.err(unreadable(text, reason)));
    }

    private static WriteError unreadable(String text, String reason) {
        try {
            Json.LENIENT.readValue(text, Configuration.class);
            return new WriteError(
                    Kind.DOCUMENT_TOO_NEW,
                    "this process does not know all entries of the document and would drop them: " + reason);
        } catch (JsonProcessingException _e) {
            return new WriteError(Kind.REFUSED, "the stored document is invalid: " + reason);
        }
    }

    private boolean propose(
            PendingChange pending, Configuration current, Configuration next, Optional<StoredValue> stored) {
        Configuration unchanged = next.withGeneration(current.generation()).withChangeTokens(current.writer());
        if (stored.isPresent() && unchanged.equals(current)) {
            return pending.accept(current, false);
        }
        int lowest = sharedState.view().lowestLevel();
        if (next.requiredLevel() > lowest) {
            String detail = "a live member supports only protocol level " + lowest + ", the document requires level "
                    + next.requiredLevel();
            return pending.fail(Kind.LEVEL_TOO_HIGH, detail);
        }
        String token = tokens.get();
        Configuration document = next.withGeneration(current.generation() + 1)
                .withChangeTokens(WriterTokens.prepend(token, current.writer()));
        String text = Json.write(document);
        if (text.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
            return pending.fail(Kind.TOO_LARGE, "the document would be larger than " + MAX_VALUE_BYTES + " bytes");
        }
        long index = stored.map(StoredValue::index).orElse(0L);
        write(pending, new Draft(document, text, token, index), MAX_READS_BACK);
        return true;
    }

    private void write(PendingChange pending, Draft draft, int readsLeft) {
        store.compareAndSwap(
                key,
                draft.text(),
                draft.index(),
                result -> result.fold(
                        written -> written ? complete(pending, draft) : readBack(pending, draft, readsLeft - 1),
                        _error -> readBackLater(pending, draft, readsLeft)));
    }

    private boolean complete(PendingChange pending, Draft draft) {
        sharedState.onStoredConfiguration(draft.text());
        return pending.accept(draft.document(), true);
    }

    private boolean readBackLater(PendingChange pending, Draft draft, int readsLeft) {
        if (readsLeft <= 0) {
            return pending.fail(
                    Kind.UNSETTLED,
                    "generation " + draft.generation()
                            + " was sent, but the store did not confirm whether it was written");
        }
        timer.after(() -> readBack(pending, draft, readsLeft - 1), jitter.apply(READ_BACK_DELAY_MILLIS));
        return false;
    }

    // Reads back also after a failed compare-and-swap, because an earlier attempt of the same write may have succeeded.
    private boolean readBack(PendingChange pending, Draft draft, int readsLeft) {
        store.read(
                key,
                result -> result.fold(
                        stored -> resolve(pending, draft, stored, readsLeft),
                        _error -> readBackLater(pending, draft, readsLeft)));
        return false;
    }

    private boolean resolve(PendingChange pending, Draft draft, Optional<StoredValue> stored, int readsLeft) {
        long index = stored.map(StoredValue::index).orElse(0L);
        if (index == draft.index()) {
            return readsLeft > 0 ? rewrite(pending, draft, readsLeft) : readBackLater(pending, draft, 0);
        }
        Optional<Configuration> found = stored.flatMap(s -> parseLeniently(s.value()));
        if (found.map(c -> WriterTokens.contains(c.writer(), draft.token())).orElse(false)) {
            return complete(pending, draft);
        }
        if (found.map(c -> c.generation() - draft.generation() >= WriterTokens.CAPACITY)
                .orElse(true)) {
            return pending.fail(Kind.UNSETTLED, "too many changes were written after generation " + draft.generation());
        }
        if (pending.conflicts() >= MAX_CONFLICTS) {
            return pending.fail(Kind.TOO_MANY_CONFLICTS, "the change conflicted with other changes too many times");
        }
        timer.after(() -> attempt(pending.afterConflict()), jitter.apply(CONFLICT_DELAY_MILLIS));
        return false;
    }

    // Rewriting is safe: the same text with the same token and index can take effect at most once.
    private boolean rewrite(PendingChange pending, Draft draft, int readsLeft) {
        write(pending, draft, readsLeft);
        return false;
    }

    private static Optional<Configuration> parseLeniently(String text) {
        try {
            return Optional.ofNullable(Json.LENIENT.readValue(text, Configuration.class));
        } catch (JsonProcessingException _e) {
            return Optional.empty();
        }
    }
}
