package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.model.operation.ChangeAnswer;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ClientError;
import org.geraniumstand.operator.client.ConnectionOptions;
import org.geraniumstand.operator.client.InForce;
import org.geraniumstand.operator.client.OperatorClient;

/** Options and manner that all changes of the configuration share. */
final class ChangeOptions {
    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Parameter(
            names = "--wait",
            description = "Seconds to wait until the change is in force at every member; 0 not to wait")
    private double waitSeconds = 10;

    /** Sends a change, says what became of it and follows it until it is in force. */
    ExitCode change(Console console, String method, String path, Object document) {
        return connection.with(console, client -> send(console, client, method, path, document));
    }

    private ExitCode send(Console console, OperatorClient client, String method, String path, Object document) {
        Result<ChangeAnswer, ClientError> result = client.send(method, path, document, ChangeAnswer.class);
        return result.fold(
                answer -> {
                    print(console, answer);
                    return InForce.follow(client, answer.generation(), waitSeconds, console);
                },
                error -> error.report(console));
    }

    private static void print(Console console, ChangeAnswer answer) {
        console.print(
                answer.changed()
                        ? "Accepted as generation " + answer.generation() + "."
                        : "Nothing to change; generation " + answer.generation() + " has it already.");
        answer.warnings().forEach(finding -> console.complain(ClientError.line(finding)));
    }
}
