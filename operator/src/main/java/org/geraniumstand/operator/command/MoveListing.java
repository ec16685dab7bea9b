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

/** Shows the declared version moves. */
@Parameters(commandDescription = "Show version moves with share and evidence")
public final class MoveListing implements Command {
    @Parameter(description = "[MOVE]")
    private String move;

    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Override
    public ExitCode run(Console console) {
        return connection.with(
                console,
                client -> client.get("/v1/moves", MoveStatus[].class)
                        .fold(moves -> print(console, moves), error -> error.report(console)));
    }

    @Override
    public String example() {
        return "geraniumctl move status board-model-to-v2";
    }

    private ExitCode print(Console console, MoveStatus[] moves) {
        MoveStatus[] chosen = Stream.of(moves)
                .filter(m -> move == null || m.move().id().value().equals(move))
                .toArray(MoveStatus[]::new);
        if (chosen.length == 0) {
            console.complain(move == null ? "No move is declared." : "No move is named " + move + ".");
            return move == null ? ExitCode.DONE : ExitCode.REFUSED;
        }
        Stream.of(chosen).map(StatusText::move).forEach(console::print);
        return ExitCode.DONE;
    }
}
