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
import org.geraniumstand.standins.load.Told;

/** Command line of the load tool. */
@Parameters(commandDescription = "Sends requests to the system, checks each answer and prints one line a measure")
final class LoadCommand {
    @Parameter(names = "--url", required = true, description = "Where the system listens for callers")
    private String url;

    @Parameter(names = "--token", required = true, description = "Bearer token of a team; may be given more than once")
    private List<String> tokens = new ArrayList<>();

    @Parameter(names = "--profile", description = "Mix of requests: dunmore or hearthguard")
    private String profile = "dunmore";

    @Parameter(names = "--rate", description = "Requests a second")
    private double rate = 20;

    @Parameter(names = "--count", description = "Most requests to send")
    private int count = 1_000;

    @Parameter(names = "--seconds", description = "Most seconds to send for")
    private int seconds = 10;

    @Parameter(names = "--timeout", description = "Seconds that a caller waits for an answer")
    private int timeout = 30;

    @Parameter(names = "--seed", description = "Gives arrivals and requests")
    private long seed = 1;

    @Parameter(names = "--run", description = "Prefix of the names of requests")
    private String run = "load";

    @Parameter(names = "--ledger", description = "File for what each caller was told, in JSON lines")
    private String ledger = "";

    @SuppressWarnings("SystemOut")
    void run() {
        List<Caller> callers = tokens.stream()
                .map(token -> new Caller(URI.create(url), token, timeout * 1_000L))
                .toList();
        try {
            List<Told> told = new Load(callers, Profile.named(profile), seed, run).run(count, seconds * 1_000L, rate);
            Report.lines(told).forEach(System.out::println);
            if (!ledger.isEmpty()) {
                Report.write(told, Path.of(ledger));
            }
            boolean wrong = told.stream().anyMatch(t -> t.verdict() == Told.Verdict.WRONG);
            System.exit(wrong ? 1 : 0);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write the ledger", e);
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }
}
