package org.geraniumstand.standins;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.standins.load.Caller;
import org.geraniumstand.standins.load.Load;
import org.geraniumstand.standins.load.Profile;
import org.geraniumstand.standins.load.Report;
import org.geraniumstand.standins.load.RequestResult;

/** Defines the command line options of the load generator and runs it. */
@Parameters(commandDescription = "Sends requests to the system, checks each response and prints one line per metric")
final class LoadCommand {
    @Parameter(names = "--url", required = true, description = "URL at which the system accepts requests of callers")
    private String url;

    @Parameter(names = "--token", required = true, description = "Bearer token of a team; may be repeated")
    private List<String> tokens = new ArrayList<>();

    @Parameter(names = "--profile", description = "Mix of requests: dunmore or hearthguard")
    private String profile = "dunmore";

    @Parameter(names = "--rate", description = "Requests per second")
    private double rate = 20;

    @Parameter(names = "--count", description = "Maximum number of requests")
    private int count = 1_000;

    @Parameter(names = "--seconds", description = "Maximum duration in seconds")
    private int seconds = 10;

    @Parameter(names = "--timeout", description = "Timeout of a request in seconds")
    private int timeout = 30;

    @Parameter(names = "--seed", description = "Seed of the random arrivals and requests")
    private long seed = 1;

    @Parameter(names = "--run", description = "Prefix of the request ids")
    private String run = "load";

    @Parameter(names = "--ledger", description = "File to write the result of each request to, as JSON lines")
    private String ledger = "";

    @SuppressWarnings("SystemOut")
    void run() {
        List<Caller> callers = tokens.stream()
                .map(token -> new Caller(URI.create(url), token, timeout * 1_000L))
                .toList();
        try {
            List<RequestResult> results =
                    new Load(callers, Profile.byName(profile), seed, run).run(count, seconds * 1_000L, rate);
            Report.lines(results).forEach(System.out::println);
            if (!ledger.isEmpty()) {
                Report.write(results, Path.of(ledger));
            }
            boolean anyWrong = results.stream().anyMatch(result -> result.verdict() == RequestResult.Verdict.WRONG);
            System.exit(anyWrong ? 1 : 0);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the ledger file", e);
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }
}
