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

/** Defines the options that select the entry processes to connect to and the token that authenticates the operator. */
public final class ConnectionOptions {
    private static final Pattern ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}:\\d{1,5}");
    private static final String ENTRY_VARIABLE = "GERANIUMSTAND_ENTRY";
    private static final String TOKEN_VARIABLE = "GERANIUMSTAND_TOKEN";

    @Parameter(
            names = "--entry",
            description = "Operators' listeners as IP:port, separated by commas; if one does not respond, the next is"
                    + " tried (or variable GERANIUMSTAND_ENTRY)")
    private List<String> entries = new ArrayList<>();

    @Parameter(
            names = "--token",
            description =
                    "Operators' bearer token; visible to other users of this host, prefer --token-file or variable"
                            + " GERANIUMSTAND_TOKEN")
    private String token;

    @Parameter(names = "--token-file", description = "File that contains the operators' bearer token")
    private String tokenFile;

    @Parameter(names = "--timeout-millis", description = "Timeout of one call in milliseconds")
    private long timeoutMillis = 5_000;

    /**
     * Runs a task with a client and closes the client.
     *
     * @param console receives the error if the options are invalid
     * @param task the task to run
     */
    public ExitCode withClient(Console console, Function<OperatorClient, ExitCode> task) {
        return createClient()
                .fold(
                        client -> {
                            try (client) {
                                return task.apply(client);
                            }
                        },
                        error -> error.report(console));
    }

    private Result<OperatorClient, ClientError> createClient() {
        List<String> addresses = entries.isEmpty() ? addressesFromEnvironment() : entries;
        List<String> malformed =
                addresses.stream().filter(e -> !ADDRESS.matcher(e).matches()).toList();
        if (addresses.isEmpty()) {
            return usageError("No entry process given; use --entry IP:port or the variable " + ENTRY_VARIABLE + ".");
        }
        if (!malformed.isEmpty()) {
            return usageError(
                    "--entry expects IP:port, such as 127.0.0.1:9101, but got " + String.join(", ", malformed) + ".");
        }
        return readToken()
                .map(bearerToken -> new OperatorClient(
                        addresses.stream().map(e -> URI.create("http://" + e)).toList(), bearerToken, timeoutMillis));
    }

    private static List<String> addressesFromEnvironment() {
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
                return usageError("The token file " + tokenFile + " cannot be read.");
            }
        }
        String value = System.getenv(TOKEN_VARIABLE);
        return value == null
                ? usageError("No token given; use --token-file FILE or the variable " + TOKEN_VARIABLE + ".")
                : Result.ok(value);
    }

    private static <T> Result<T, ClientError> usageError(String message) {
        return Result.err(ClientError.of(ExitCode.USAGE, message));
    }
}
