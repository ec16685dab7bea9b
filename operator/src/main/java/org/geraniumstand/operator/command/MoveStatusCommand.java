package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.stream.Stream;
import org.geraniumstand.model.status.MoveStatus;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ConnectionOptions;
import org.geraniumstand.operator.text.StatusText;

/** Prints the status of the declared version moves. */
@Parameters(commandDescription = "Show version moves with their traffic shares and request counts")
public final class MoveStatusCommand implements Command {
    @Parameter(description = "[MOVE]")
    private String move;

    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Override
    public ExitCode run(Console console) {
        return connection.withClient(
                console,
                client -> client.get("/v1/moves", MoveStatus[].class)
                        .fold(moves -> print(console, moves), error -> error.report(console)));
    }

    @Override
    public String example() {
        return "geraniumctl move status board-model-to-v2";
    }

    private ExitCode print(Console console, MoveStatus[] moves) {
        MoveStatus[] selected = Stream.of(moves)
                .filter(m -> move == null || m.move().id().value().equals(move))
                .toArray(MoveStatus[]::new);
        if (selected.length == 0) {
            console.printError(move == null ? "No version move is declared." : "Unknown version move " + move + ".");
            return move == null ? ExitCode.DONE : ExitCode.REFUSED;
        }
        Stream.of(selected).map(StatusText::move).forEach(console::print);
        return ExitCode.DONE;
    }
}
