package org.geraniumstand.entry.operator;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.geraniumstand.entry.task.ConfigurationWriter;
import org.geraniumstand.entry.task.WriteError;
import org.geraniumstand.model.result.Result;

/** Applies operators' changes with the configuration writer and converts its errors. */
public final class WriterChanges implements ConfigurationChanges {
    private final ConfigurationWriter writer;

    /**
     * Creates an adapter to a writer.
     *
     * @param writer configuration writer
     */
    public WriterChanges(ConfigurationWriter writer) {
        this.writer = writer;
    }

    @Override
    public void change(ConfigurationEdit edit, Consumer<Result<Accepted, ChangeError>> callback) {
        AtomicReference<ChangeError> refusal = new AtomicReference<>();
        writer.change(
                current -> edit.apply(Optional.of(current).filter(c -> c.generation() > 0))
                        .mapError(error -> {
                            refusal.set(error);
                            return error.title();
                        }),
                result -> callback.accept(result.map(a -> new Accepted(a.configuration(), a.changed()))
                        .mapError(error -> toChangeError(error, refusal.get()))));
    }

    private static ChangeError toChangeError(WriteError error, ChangeError refusal) {
        if (error.kind() == WriteError.Kind.REFUSED && refusal != null) {
            return refusal;
        }
        return new ChangeError(kind(error.kind()), error.detail(), List.of());
    }

    private static ChangeError.Kind kind(WriteError.Kind kind) {
        return switch (kind) {
            case STORE_UNAVAILABLE -> ChangeError.Kind.STORE_UNAVAILABLE;
            case UNSETTLED -> ChangeError.Kind.UNSETTLED;
            case TOO_MANY_CONFLICTS -> ChangeError.Kind.CONFLICT;
            case REFUSED, LEVEL_TOO_HIGH, DOCUMENT_TOO_NEW, TOO_LARGE -> ChangeError.Kind.INVALID;
        };
    }
}
