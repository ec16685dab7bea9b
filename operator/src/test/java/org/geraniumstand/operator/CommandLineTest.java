package org.geraniumstand.operator;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.operation.ChangeResponse;
import org.geraniumstand.model.operation.Problem;
import org.geraniumstand.model.operation.TimelinePage;
import org.geraniumstand.model.time.HybridTime;
import org.geraniumstand.model.timeline.EventKind;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.model.timeline.TimelineEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class CommandLineTest {
    private static final ChangeResponse ACCEPTED = new ChangeResponse(5, true, List.of());

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final FakeEntry entry = FakeEntry.start();
    private final FakeEntry other = FakeEntry.start();

    @TempDir
    private Path directory;

    @AfterEach
    void closeServers() {
        entry.close();
        other.close();
    }

    @Test
    void helpShowsExampleOfEachCommand() {
        assertThat(runCommand("--help"), is(ExitCode.DONE));
        for (String example : List.of(
                "geraniumctl config validate",
                "geraniumctl config apply",
                "geraniumctl config show",
                "geraniumctl preset list",
                "geraniumctl preset switch",
                "geraniumctl move declare",
                "geraniumctl move status",
                "geraniumctl move withdraw",
                "geraniumctl data-centre out",
                "geraniumctl data-centre in",
                "geraniumctl status",
                "geraniumctl explain",
                "geraniumctl timeline")) {
            assertThat(text(out), containsString(example));
        }
    }

    @Test
    void helpOfCommandShowsItsOptions() {
        assertThat(runCommand("move", "declare", "--help"), is(ExitCode.DONE));
        assertThat(text(out), containsString("--deadline"));
        assertThat(text(out), containsString("Example: geraniumctl move declare"));
    }

    @Test
    void rejectsInvalidCommandLines() {
        assertThat(runCommand(), is(ExitCode.USAGE));
        assertThat(runCommand("preset"), is(ExitCode.USAGE));
        assertThat(runCommand("preset", "stitch"), is(ExitCode.USAGE));
        assertThat(runCommand("preset", "switch"), is(ExitCode.USAGE));
        assertThat(runWithConnection("preset", "list", "--entry", "localhost:1"), is(ExitCode.USAGE));
        assertThat(
                runWithConnection("move", "declare", "--service", "s", "--to", "v2", "--deadline", "soon"),
                is(ExitCode.USAGE));
        assertThat(text(err), containsString("preset stitch"));
    }

    @Test
    void waitsUntilChangeIsInForceAtAllMembers() {
        entry.respond("PUT /v1/presets/in-force", 202, ACCEPTED)
                .respond("GET /v1/status", 200, StatusReports.report("p1", entry.port(), 5));

        assertThat(runWithConnection("preset", "switch", "peak"), is(ExitCode.DONE));
        assertThat(text(out), containsString("Accepted as generation 5."));
        assertThat(text(out), containsString("in force at all 1 members"));
        assertThat(entry.requests(), hasItem("PUT /v1/presets/in-force {\"preset\":\"peak\"}"));
    }

    @Test
    void listsMembersThatDoNotConfirmInTime() {
        entry.respond("POST /v1/data-centres/west-1/out", 202, ACCEPTED)
                .respond("GET /v1/status", 200, StatusReports.report("p1", entry.port(), 5));
        other.respond("POST /v1/data-centres/west-1/out", 202, ACCEPTED)
                .respond("GET /v1/status", 200, StatusReports.report("p2", other.port(), 4));

        ExitCode code = runWithConnection(
                "data-centre", "out", "west-1", "--wait", "0.2", "--entry", "127.0.0.1:" + other.port());

        assertThat(code, is(ExitCode.NOT_CONFIRMED));
        assertThat(text(err), containsString("not confirmed by: p2"));
    }

    @Test
    void printsRefusalWithFindings() {
        ConfigurationFinding finding = ConfigurationFinding.error("presetInForce", "unknown preset night");
        entry.respond(
                "PUT /v1/presets/in-force",
                422,
                new Problem("about:blank", "The configuration is invalid.", 422, "invalid", List.of(finding)));

        assertThat(runWithConnection("preset", "switch", "night"), is(ExitCode.REFUSED));
        assertThat(text(err), containsString("ERROR presetInForce: unknown preset night"));
    }

    @Test
    void triesNextEntryProcessWhenOneDoesNotRespond() throws IOException {
        entry.respond("GET /v1/status", 200, StatusReports.report("p1", entry.port(), 5));

        assertThat(runWithConnection("status", "--entry", "127.0.0.1:" + closedPort()), is(ExitCode.DONE));
        assertThat(text(out), containsString("generation 5, preset peak"));
        assertThat(text(err), containsString("did not accept the connection"));
    }

    @Test
    void reportsErrorWhenNoEntryProcessResponds() throws IOException {
        int port = closedPort();
        String address = "127.0.0.1:" + port;

        assertThat(runCommand("preset", "list", "--entry", address, "--token", "x"), is(ExitCode.UNREACHABLE));
        assertThat(runCommand("status", "--entry", address, "--token", "x"), is(ExitCode.UNREACHABLE));
        assertThat(text(err), containsString(address));
    }

    @Test
    void sumsStatusOverAllProcesses() {
        entry.respond("GET /v1/status", 200, StatusReports.report("p1", entry.port(), 5));
        other.respond("GET /v1/status", 200, StatusReports.report("p2", other.port(), 5));

        assertThat(runWithConnection("status", "--entry", "127.0.0.1:" + other.port()), is(ExitCode.DONE));
        assertThat(text(out), containsString("OUT  3 servers, 8 requests in flight"));
        assertThat(text(out), containsString("weight 3  in flight 8  answered 100  refused 12"));
    }

    @Test
    void declaresMoveWithDeadline() {
        entry.respond("POST /v1/moves", 202, ACCEPTED);

        assertThat(
                runWithConnection(
                        "move",
                        "declare",
                        "--service",
                        "s",
                        "--to",
                        "v2",
                        "--deadline",
                        "2030-01-01T00:00:00Z",
                        "--wait",
                        "0"),
                is(ExitCode.DONE));
        assertThat(entry.requests(), hasItem(containsString("\"deadlineEpochMillis\":1893456000000")));
    }

    @Test
    void mergesTimelinesInOrderOfTime() throws IOException {
        entry.respond("GET /v1/status", 200, StatusReports.report("p1", entry.port(), 5))
                .respond("GET /v1/timeline", 200, page("p1", 30));
        other.respond("GET /v1/status", 200, StatusReports.report("p2", other.port(), 5))
                .respond("GET /v1/timeline", 200, page("p2", 20));
        Path html = directory.resolve("page.html");

        assertThat(runWithConnection("timeline", "--entry", "127.0.0.1:" + other.port()), is(ExitCode.DONE));
        assertThat(runWithConnection("timeline", "--html", html.toString()), is(ExitCode.DONE));
        assertThat(text(out).indexOf("p2"), not(-1));
        assertThat(text(out).indexOf("p2") < text(out).indexOf("p1"), is(true));
        assertThat(Files.readString(html), startsWith("<!DOCTYPE html>"));
    }

    @Test
    void explainsRequestFromLogsWithoutConnecting() throws IOException {
        Path log = directory.resolve("a.log");
        Files.writeString(
                log,
                "time=2026-05-16T15:16:20.931+0000 level=INFO event=call-refused request=r1 reason=no-server\n"
                        + "a line of another program\n");

        assertThat(runWithConnection("explain", "r1", "--logs", log.toString()), is(ExitCode.DONE));
        assertThat(runWithConnection("explain", "r2", "--logs", log.toString()), is(ExitCode.REFUSED));
        assertThat(
                runWithConnection(
                        "explain", "r1", "--logs", directory.resolve("none").toString()),
                is(ExitCode.REFUSED));
        assertThat(text(out), containsString("Cause: No server of the service accepted requests."));
    }

    @Test
    void explainsRequestAndRefusesUnknownRequest() {
        entry.respond("GET /v1/status", 200, StatusReports.report("p1", entry.port(), 5))
                .respond("GET /v1/requests/r1", 200, page("p1", 30))
                .respond("GET /v1/requests/r2", 200, new TimelinePage(new ProcessId("p1"), List.of(), 0));

        assertThat(runWithConnection("explain", "r1"), is(ExitCode.DONE));
        assertThat(runWithConnection("explain", "r2"), is(ExitCode.REFUSED));
        assertThat(text(out), containsString("# A new generation was read."));
    }

    @Test
    void validatesFileOffline() throws IOException {
        Path file = Files.writeString(directory.resolve("c.yaml"), """
                generation: 0
                requiredLevel: 1
                presetInForce: night
                presets:
                  - {id: ordinary, firstTokenMillis: 490, betweenTokensMillis: 57, onDemandFloor: 1, spareServers: 1, retryPercent: 10}
                """);

        assertThat(runCommand("config", "validate", file.toString()), is(ExitCode.REFUSED));
        assertThat(text(err), containsString("presetInForce: unknown preset night; allowed: ordinary"));
    }

    @Test
    void reportsLineOfUnknownAndMissingFields() throws IOException {
        Path file = Files.writeString(directory.resolve("c.yaml"), "generation: 0\npreset: night\n");

        assertThat(runCommand("config", "validate", file.toString()), is(ExitCode.USAGE));
        assertThat(text(err), containsString("c.yaml:2: preset: unknown entry; allowed entries: generation,"));
        assertThat(text(err), containsString("c.yaml:1: requiredLevel: is missing"));
    }

    private static TimelinePage page(String process, long millis) {
        TimelineEvent event = new TimelineEvent(
                new HybridTime(millis, 0),
                new ProcessId(process),
                EventKind.CONFIGURATION_IN_FORCE,
                "A new generation was read.",
                List.of(Field.of("generation", 5)));
        return new TimelinePage(new ProcessId(process), List.of(event), 0);
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private ExitCode runWithConnection(String... args) {
        List<String> allArgs = new ArrayList<>(List.of(args));
        allArgs.addAll(List.of("--entry", "127.0.0.1:" + entry.port(), "--token", FakeEntry.TOKEN));
        return runCommand(allArgs.toArray(new String[0]));
    }

    private ExitCode runCommand(String... args) {
        Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        return new CommandLine().run(List.of(args), console);
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
