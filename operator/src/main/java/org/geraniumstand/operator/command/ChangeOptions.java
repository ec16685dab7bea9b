package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.model.operation.ChangeResponse;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ChangeConfirmation;
import org.geraniumstand.operator.client.ClientError;
import org.geraniumstand.operator.client.ConnectionOptions;
import org.geraniumstand.operator.client.OperatorClient;

/** Defines the options of all commands that change the configuration, and sends their changes. */
final class ChangeOptions {
    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Parameter(
            names = "--wait",
            description = "Maximum seconds to wait until the change is in force at every member; 0 returns at once")
    private double waitSeconds = 10;

    /** Sends a change, prints the result and waits until the change is in force at every member. */
    ExitCode submit(Console console, String method, String path, Object document) {
        return connection.withClient(console, client -> send(console, client, method, path, document));
    }

    private ExitCode send(Console console, OperatorClient client, String method, String path, Object document) {
        Result<ChangeResponse, ClientError> result = client.send(method, path, document, ChangeResponse.class);
        return result.fold(
                response -> {
                    print(console, response);
                    return ChangeConfirmation.await(client, response.generation(), waitSeconds, console);
                },
                error -> error.report(console));
    }

    private static void print(Console console, ChangeResponse response) {
        console.print(
                response.changed()
                        ? "Accepted as generation " + response.generation() + "."
                        : "No change; generation " + response.generation() + " already contains it.");
        response.warnings().forEach(finding -> console.printError(ClientError.line(finding)));
    }
}
