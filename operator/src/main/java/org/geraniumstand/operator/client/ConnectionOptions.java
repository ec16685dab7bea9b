package org.geraniumstand.operator.client;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Options that tell which entry processes to ask and how to show that an operator asks. */
public final class ConnectionOptions {
    private static final Pattern ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}");
    private static final String ENTRY_VARIABLE = "GERANIUMSTAND_ENTRY";
    private static final String TOKEN_VARIABLE = "GERANIUMSTAND_TOKEN";

    @Parameter(
            names = "--entry",
            description = "Operators' listeners as IP:port, separated by commas; the next is asked when one does not"
                    + " answer (or variable GERANIUMSTAND_ENTRY)")
    private List<String> entries = new ArrayList<>();

    @Parameter(
            names = "--token",
            description = "Operators' bearer token; others on this host may see it, prefer --token-file or variable"
                    + " GERANIUMSTAND_TOKEN")
    private String token;

    @Parameter(names = "--token-file", description = "File that holds the operators' bearer token")
    private String tokenFile;

    @Parameter(names = "--timeout-millis", description = "Milliseconds that one call may take")
    private long timeoutMillis = 5_000;

    /**
     * Runs something with a client and closes it.
     *
     * @param console takes what is wrong with the options
     * @param task what to run
     */
    public ExitCode with(Console console, Function<OperatorClient, ExitCode> task) {
        return client().fold(
                        client -> {
                            try (client) {
                                return task.apply(client);
                            }
                        },
                        error -> error.report(console));
    }

    private Result<OperatorClient, ClientError> client() {
        List<String> named = entries.isEmpty() ? fromVariable() : entries;
        List<String> wrong =
                named.stream().filter(e -> !ADDRESS.matcher(e).matches()).toList();
        if (named.isEmpty()) {
            return usage("No entry process is named; use --entry IP:port or the variable " + ENTRY_VARIABLE + ".");
        }
        if (!wrong.isEmpty()) {
            return usage("--entry takes IP:port, such as 127.0.0.1:9101, not " + String.join(", ", wrong) + ".");
        }
        return readToken()
                .map(secret -> new OperatorClient(
                        named.stream().map(e -> URI.create("http://" + e)).toList(), secret, timeoutMillis));
    }

    private static List<String> fromVariable() {
        String value = System.getenv(ENTRY_VARIABLE);
        return value == null || value.isBlank() ? List.of() : List.of(value.split(","));
    }

    private Result<String, ClientError> readToken() {
        if (token != null) {
            return Result.ok(token);
        }
        if (tokenFile != null) {
            try {
                return Result.ok(Files.readString(Path.of(tokenFile)).trim());
            } catch (IOException _e) {
                return usage("The token file " + tokenFile + " cannot be read.");
            }
        }
        String value = System.getenv(TOKEN_VARIABLE);
        return value == null
                ? usage("No token is given; use --token-file FILE or the variable " + TOKEN_VARIABLE + ".")
                : Result.ok(value);
    }

    private static <T> Result<T, ClientError> usage(String message) {
        return Result.err(ClientError.of(ExitCode.USAGE, message));
    }
}
