package org.geraniumstand.entry.operator;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.geraniumstand.decisions.configuration.CheckContext;
import org.geraniumstand.decisions.configuration.ConfigurationChecks;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.operation.ChangeResponse;
import org.geraniumstand.model.result.Result;

/** Validates configuration changes and rejects those that violate a rule. */
public final class CheckedChanges {
    private final ConfigurationChanges changes;
    private final LongSupplier wallMillis;
    private final IntSupplier lowestMemberLevel;
    private final Consumer<Configuration> onAccepted;

    /**
     * Creates a validator in front of a writer.
     *
     * @param changes writes accepted documents
     * @param wallMillis reads the wall clock, in milliseconds since 1970
     * @param lowestMemberLevel returns the lowest protocol level of the live members
     * @param onAccepted receives each accepted document, so that it takes effect in this process immediately
     */
    public CheckedChanges(
            ConfigurationChanges changes,
            LongSupplier wallMillis,
            IntSupplier lowestMemberLevel,
            Consumer<Configuration> onAccepted) {
        this.changes = changes;
        this.wallMillis = wallMillis;
        this.lowestMemberLevel = lowestMemberLevel;
        this.onAccepted = onAccepted;
    }

    /**
     * Changes the configuration.
     *
     * @param edit edit to apply
     * @param force whether to accept a change that takes the last data centre out
     * @param callback receives the generation with the change, or the error
     */
    public void change(ConfigurationEdit edit, boolean force, Consumer<Result<ChangeResponse, ChangeError>> callback) {
        changes.change(
                current -> edit.apply(current).fold(next -> validated(current, next, force), Result::err),
                result -> callback.accept(result.map(accepted -> toResponse(accepted, force))));
    }

    /**
     * Validates a document without writing it.
     *
     * @param document document to validate
     * @param current document in force, if any
     * @param force whether to accept a document that takes the last data centre out
     */
    public List<ConfigurationFinding> check(Configuration document, Optional<Configuration> current, boolean force) {
        CheckContext context = new CheckContext(current, wallMillis.getAsLong(), lowestMemberLevel.getAsInt(), force);
        return ConfigurationChecks.check(document, context);
    }

    private Result<Configuration, ChangeError> validated(
            Optional<Configuration> current, Configuration next, boolean force) {
        if (current.filter(next::equals).isPresent()) {
            return Result.ok(next);
        }
        List<ConfigurationFinding> findings = check(next, current, force);
        if (ConfigurationChecks.hasErrors(findings)) {
            return Result.err(new ChangeError(
                    ChangeError.Kind.INVALID, "The configuration violates rules; it was not changed.", findings));
        }
        return Result.ok(next);
    }

    private ChangeResponse toResponse(ConfigurationChanges.Accepted accepted, boolean force) {
        onAccepted.accept(accepted.configuration());
        List<ConfigurationFinding> warnings =
                check(accepted.configuration(), Optional.of(accepted.configuration()), force);
        return new ChangeResponse(accepted.configuration().generation(), accepted.changed(), warnings);
    }
}
