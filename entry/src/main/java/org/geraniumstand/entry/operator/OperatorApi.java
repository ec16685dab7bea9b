package org.geraniumstand.entry.operator;

import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.geraniumstand.entry.metrics.Exposition;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.operation.ChangeResponse;
import org.geraniumstand.model.operation.MoveDeclaration;
import org.geraniumstand.model.operation.PresetList;
import org.geraniumstand.model.operation.PresetSwitch;
import org.geraniumstand.model.operation.TimelinePage;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.status.StatusReport;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;

/** Defines the operators' HTTP API: methods and paths with their endpoints. */
public final class OperatorApi {
    private static final int NOT_FOUND = 404;
    private static final int FAILED = 500;
    private static final String ID = "id";
    private static final String FORCE = "force";
    private static final String CONFIGURATION_PATH = "/v1/configuration";
    private static final String DATA_CENTRE_PATH = "/v1/data-centres/{id}";

    private final ProcessId self;
    private final Supplier<Optional<Configuration>> configuration;
    private final CheckedChanges changes;
    private final Supplier<CompletableFuture<StatusReport>> status;
    private final Observability observability;
    private final LongSupplier wallMillis;

    /**
     * An endpoint with its HTTP method and path.
     *
     * @param method the HTTP method
     * @param path the path, with parameters in braces
     * @param endpoint handles requests for the method and path
     */
    public record Binding(HttpString method, String path, Endpoint endpoint) {}

    /**
     * Creates the API.
     *
     * @param self ID of this process
     * @param configuration returns the configuration in force
     * @param changes validates and applies configuration changes
     * @param status reads the status of this process
     * @param observability timeline and metrics of this process
     * @param wallMillis returns the wall clock time, in milliseconds since 1970
     */
    public OperatorApi(
            ProcessId self,
            Supplier<Optional<Configuration>> configuration,
            CheckedChanges changes,
            Supplier<CompletableFuture<StatusReport>> status,
            Observability observability,
            LongSupplier wallMillis) {
        this.self = self;
        this.configuration = configuration;
        this.changes = changes;
        this.status = status;
        this.observability = observability;
        this.wallMillis = wallMillis;
    }

    /** Returns all endpoints. */
    public List<Binding> endpoints() {
        List<Binding> bindings = new ArrayList<>();
        bindings.add(new Binding(Methods.GET, CONFIGURATION_PATH, this::showConfiguration));
        bindings.add(new Binding(Methods.PUT, CONFIGURATION_PATH, this::applyConfiguration));
        bindings.add(new Binding(Methods.POST, CONFIGURATION_PATH + "/validate", this::validate));
        bindings.add(new Binding(Methods.GET, "/v1/presets", this::presets));
        bindings.add(new Binding(Methods.PUT, "/v1/presets/in-force", this::switchPreset));
        bindings.add(new Binding(
                Methods.GET, "/v1/moves", (_request, reply) -> replyWithStatus(reply, StatusReport::moves)));
        bindings.add(new Binding(Methods.POST, "/v1/moves", this::declareMove));
        bindings.add(new Binding(Methods.POST, "/v1/moves/{id}/withdraw", this::withdrawMove));
        bindings.add(new Binding(Methods.POST, DATA_CENTRE_PATH + "/out", this::takeDataCentreOut));
        bindings.add(new Binding(Methods.POST, DATA_CENTRE_PATH + "/in", this::returnDataCentre));
        bindings.add(
                new Binding(Methods.GET, "/v1/status", (_request, reply) -> replyWithStatus(reply, report -> report)));
        bindings.add(new Binding(Methods.GET, "/v1/requests/{id}", this::explain));
        bindings.add(new Binding(Methods.GET, "/v1/timeline", this::events));
        bindings.add(new Binding(Methods.POST, TimelineHandover.PATH, this::importEvents));
        bindings.add(new Binding(
                Methods.GET,
                "/metrics",
                (_request, reply) -> reply.accept(Reply.text(
                        Exposition.CONTENT_TYPE, observability.metrics().text()))));
        return List.copyOf(bindings);
    }

    private void showConfiguration(OperatorRequest _request, Consumer<Reply> reply) {
        reply.accept(configuration.get().map(Reply::json).orElseGet(OperatorApi::noConfiguration));
    }

    private void applyConfiguration(OperatorRequest request, Consumer<Reply> reply) {
        Result<Configuration, Reply> document = request.document(Configuration.class)
                .fold(read -> request.number("expected", read.generation()).map(read::withGeneration), Result::err);
        ifOk(document, reply, read -> change("config apply", ConfigurationEdits.replace(read), request, reply));
    }

    private void validate(OperatorRequest request, Consumer<Reply> reply) {
        ifOk(
                request.document(Configuration.class),
                reply,
                read -> reply.accept(Reply.json(changes.check(read, configuration.get(), request.flag(FORCE)))));
    }

    private void presets(OperatorRequest _request, Consumer<Reply> reply) {
        reply.accept(configuration
                .get()
                .map(c -> Reply.json(new PresetList(c.presetInForce(), c.presets())))
                .orElseGet(OperatorApi::noConfiguration));
    }

    private void switchPreset(OperatorRequest request, Consumer<Reply> reply) {
        ifOk(
                request.document(PresetSwitch.class),
                reply,
                command -> change(
                        "preset switch " + command.preset(),
                        ConfigurationEdits.switchPreset(command.preset()),
                        request,
                        reply));
    }

    private void declareMove(OperatorRequest request, Consumer<Reply> reply) {
        ifOk(
                request.document(MoveDeclaration.class),
                reply,
                command -> change(
                        "move declare " + command.service() + " " + command.to(),
                        ConfigurationEdits.declareMove(command, wallMillis.getAsLong()),
                        request,
                        reply));
    }

    private void withdrawMove(OperatorRequest request, Consumer<Reply> reply) {
        MoveId move = new MoveId(request.parameter(ID).orElse(""));
        change("move withdraw " + move, ConfigurationEdits.withdrawMove(move), request, reply);
    }

    private void takeDataCentreOut(OperatorRequest request, Consumer<Reply> reply) {
        DataCentreId dataCentre = dataCentre(request);
        change("data-centre out " + dataCentre, ConfigurationEdits.takeDataCentreOut(dataCentre), request, reply);
    }

    private void returnDataCentre(OperatorRequest request, Consumer<Reply> reply) {
        DataCentreId dataCentre = dataCentre(request);
        change("data-centre in " + dataCentre, ConfigurationEdits.returnDataCentre(dataCentre), request, reply);
    }

    private void explain(OperatorRequest request, Consumer<Reply> reply) {
        String id = request.parameter(ID).orElse("");
        reply.accept(Reply.json(new TimelinePage(
                self,
                observability.timeline().eventsFor(id),
                observability.timeline().dropped())));
    }

    private void events(OperatorRequest request, Consumer<Reply> reply) {
        ifOk(
                request.number("since", 0),
                reply,
                since -> reply.accept(Reply.json(new TimelinePage(
                        self,
                        observability.timeline().since(since, request.flag("requests")),
                        observability.timeline().dropped()))));
    }

    private void importEvents(OperatorRequest request, Consumer<Reply> reply) {
        ifOk(request.document(TimelinePage.class), reply, page -> {
            observability.timeline().importEvents(page.events());
            reply.accept(Reply.accepted(new TimelinePage(self, List.of(), 0)));
        });
    }

    private void change(String command, ConfigurationEdit edit, OperatorRequest request, Consumer<Reply> reply) {
        changes.change(edit, request.flag(FORCE), result -> {
            recordEvent(command, result);
            reply.accept(result.fold(Reply::accepted, Reply::of));
        });
    }

    private void recordEvent(String command, Result<ChangeResponse, ChangeError> result) {
        String outcome = result.fold(
                response -> response.changed() ? "accepted" : "nothing to change",
                error -> error.kind().text());
        List<Field> fields = new ArrayList<>();
        fields.add(Field.of("order", command));
        fields.add(Field.of("outcome", outcome));
        result.value().ifPresent(response -> fields.add(Field.of("generation", response.generation())));
        observability.recordEvent(EventKind.CONFIGURATION_CHANGED, fields.toArray(new Field[0]));
    }

    // The callback handles both success and failure, so the returned future is not used.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void replyWithStatus(Consumer<Reply> reply, StatusSelector selector) {
        status.get()
                .whenComplete((report, failure) -> reply.accept(
                        failure == null
                                ? Reply.json(selector.of(report))
                                : Reply.problem(FAILED, "failed", "The status could not be read.")));
    }

    private static <T> void ifOk(Result<T, Reply> result, Consumer<Reply> reply, Consumer<T> onOk) {
        result.error().ifPresent(reply);
        result.value().ifPresent(onOk);
    }

    private static DataCentreId dataCentre(OperatorRequest request) {
        return new DataCentreId(request.parameter(ID).orElse(""));
    }

    private static Reply noConfiguration() {
        return Reply.problem(NOT_FOUND, "not-found", "There is no configuration yet; apply one first.");
    }

    /** Selects the requested part of the status. */
    @FunctionalInterface
    private interface StatusSelector {
        Object of(StatusReport report);
    }
}
