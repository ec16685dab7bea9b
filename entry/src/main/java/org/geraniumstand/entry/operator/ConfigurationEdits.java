package org.geraniumstand.entry.operator;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.geraniumstand.decisions.moves.MoveEndRecorder;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.MoveState;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.VersionMove;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.operation.MoveDeclaration;
import org.geraniumstand.model.result.Result;

/** Creates the configuration edits that operators request; each edit is idempotent. */
public final class ConfigurationEdits {
    private static final String WITHDRAWN_REASON = "withdrawn by operators";

    private ConfigurationEdits() {}

    /**
     * Replaces the whole document.
     *
     * @param document new document, with the generation that it is based on
     */
    public static ConfigurationEdit replace(Configuration document) {
        return current -> {
            boolean first = current.isEmpty();
            boolean stale = !first && current.get().generation() != document.generation();
            if (stale
                    && current.get()
                            .equals(document.withGeneration(current.get().generation()))) {
                return Result.ok(current.get());
            }
            if (stale) {
                return Result.err(ChangeError.of(
                        ChangeError.Kind.CONFLICT,
                        "The document is based on generation " + document.generation() + ", but generation "
                                + current.get().generation()
                                + " is in force; apply the edit to the output of `geraniumctl config show`."));
            }
            return Result.ok(first ? document : basedOn(current.get(), document));
        };
    }

    /**
     * Switches the preset in force.
     *
     * @param preset preset to put in force
     */
    public static ConfigurationEdit switchPreset(PresetId preset) {
        return requireCurrent(current -> Result.ok(current.withPreset(preset)));
    }

    /**
     * Takes a data centre out of service.
     *
     * @param dataCentre ID of the data centre
     */
    public static ConfigurationEdit takeDataCentreOut(DataCentreId dataCentre) {
        return requireCurrent(current -> {
            Set<DataCentreId> out = new TreeSet<>(current.dataCentresOut());
            out.add(dataCentre);
            return Result.ok(current.withDataCentresOut(out));
        });
    }

    /**
     * Returns a data centre to service.
     *
     * @param dataCentre ID of the data centre
     */
    public static ConfigurationEdit returnDataCentre(DataCentreId dataCentre) {
        return requireCurrent(current -> {
            Set<DataCentreId> out = new TreeSet<>(current.dataCentresOut());
            out.remove(dataCentre);
            return Result.ok(current.withDataCentresOut(out));
        });
    }

    /**
     * Declares a version move.
     *
     * @param declaration service, target version and deadline of the move
     * @param nowEpochMillis current wall clock time, in milliseconds since 1970
     */
    public static ConfigurationEdit declareMove(MoveDeclaration declaration, long nowEpochMillis) {
        return requireCurrent(current -> {
            Optional<Service> service = current.service(declaration.service());
            if (service.isEmpty()) {
                return notFound("No service is named " + declaration.service() + ".");
            }
            MoveId id = declaration.id() == null ? unusedId(current, declaration) : declaration.id();
            VersionMove move = new VersionMove(
                    id,
                    declaration.service(),
                    service.get().version(),
                    declaration.to(),
                    declaration.startEpochMillis() == 0 ? nowEpochMillis : declaration.startEpochMillis(),
                    declaration.deadlineEpochMillis(),
                    declaration.firstSharePercent(),
                    MoveState.UNDER_WAY,
                    "");
            return Result.ok(
                    current.moveInProgress(move.service())
                                    .filter(m -> sameTarget(m, move))
                                    .isPresent()
                            ? current
                            : current.withMoves(Stream.concat(current.moves().stream(), Stream.of(move))
                                    .toList()));
        });
    }

    /**
     * Withdraws a version move, so that the old version receives all traffic again.
     *
     * @param id ID of the move
     */
    public static ConfigurationEdit withdrawMove(MoveId id) {
        return endMove(id, MoveState.WITHDRAWN, WITHDRAWN_REASON);
    }

    /**
     * Ends a version move; the service keeps the old version if the move is withdrawn and gets the new version if it
     * is done.
     *
     * @param id ID of the move
     * @param end final state, done or withdrawn
     * @param reason reason for the end
     */
    public static ConfigurationEdit endMove(MoveId id, MoveState end, String reason) {
        return requireCurrent(current -> {
            Optional<VersionMove> found =
                    current.moves().stream().filter(m -> m.id().equals(id)).findFirst();
            if (found.isEmpty()) {
                return notFound("No move is named " + id + ".");
            }
            VersionMove move = found.get();
            if (move.state() == end) {
                return Result.ok(current);
            }
            if (move.state() != MoveState.UNDER_WAY) {
                return Result.err(ChangeError.of(
                        ChangeError.Kind.CONFLICT, "The move " + id + " has ended as " + move.state() + "."));
            }
            return Result.ok(MoveEndRecorder.apply(current, id, end, reason));
        });
    }

    /** Returns the document with the generation and the change tokens, which only writers set, of the one in force. */
    private static Configuration basedOn(Configuration current, Configuration document) {
        return document.withGeneration(current.generation()).withChangeTokens(current.writer());
    }

    private static boolean sameTarget(VersionMove known, VersionMove declared) {
        return known.to().equals(declared.to())
                && known.deadlineEpochMillis() == declared.deadlineEpochMillis()
                && known.firstSharePercent() == declared.firstSharePercent();
    }

    private static MoveId unusedId(Configuration current, MoveDeclaration declaration) {
        String base = declaration.service() + "-to-" + declaration.to();
        return Stream.iterate(1, n -> n + 1)
                .map(n -> new MoveId(n == 1 ? base : base + "-" + n))
                .filter(id -> current.moves().stream().noneMatch(m -> m.id().equals(id)))
                .findFirst()
                .orElseThrow();
    }

    private static ConfigurationEdit requireCurrent(CurrentEdit edit) {
        return current ->
                current.map(edit::apply).orElseGet(() -> notFound("There is no configuration yet; apply one first."));
    }

    private static Result<Configuration, ChangeError> notFound(String title) {
        return Result.err(ChangeError.of(ChangeError.Kind.NOT_FOUND, title));
    }

    /** An edit that requires a document in force. */
    @FunctionalInterface
    private interface CurrentEdit {
        Result<Configuration, ChangeError> apply(Configuration current);
    }
}
